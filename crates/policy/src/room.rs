//! Room of a rank group while some of its ranks may take no requests.
//!
//! The load: a data centre is evacuated and demand stays as it is. The ranks of the other data
//! centres get all of it, more than they can run at once; what waits at an engine delays every
//! request behind it, so all first events become late. Requests beyond the places of the open ranks
//! are refused. No entry sees the whole group at once, and entries have unequal numbers of requests.
//! So each has a part of the places, which it counts itself without delay, and may exceed it while
//! the group's last report shows free places.

/// Requests at which an entry's part is full, relative to its places. Above 1, since some that wait
/// for a place for a moment are still in time.
const FULL_SHARE: f64 = 1.05;

/// Width of the range in which requests are refused at random, relative to the entry's places: with a
/// hard limit all entries would refuse and admit at once.
const SOFT_WIDTH: f64 = 0.2;

/// How much an entry's part grows with the share of the group's places that are free. Reports are
/// late, so free places are lent a few at a time.
const LENDING: f64 = 5.0;

/// Places of the ranks that may take requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Requests that the open ranks run at once.
    pub places: f64,
    /// This entry's part of them.
    pub own_places: f64,
}

impl Room {
    /// The room of `open_ranks` ranks that run `slots` requests each, shared by `entries` entries.
    ///
    /// ```
    /// let room = flamingowheel_policy::room::Room::new(20, 10, 40);
    /// assert_eq!((room.places, room.own_places), (200.0, 5.0));
    /// ```
    pub fn new(open_ranks: usize, slots: u32, entries: usize) -> Self {
        let places = open_ranks as f64 * f64::from(slots);
        Self { places, own_places: places / entries.max(1) as f64 }
    }

    /// How crowded the open ranks are for a further request; above 1 it is refused. `reported` is
    /// the number of requests at the open ranks, if a recent report tells it, and `draw` a random
    /// number between 0 and 1, drawn once per request.
    ///
    /// ```
    /// let room = flamingowheel_policy::room::Room::new(20, 10, 40);
    /// assert!(room.crowding(9, Some(100), 0.5) < 1.0);
    /// assert!(room.crowding(3, Some(250), 0.5) < 1.0);
    /// assert!(room.crowding(9, Some(250), 0.5) > 1.0);
    /// assert!(room.crowding(9, None, 0.5) > 1.0);
    /// ```
    pub fn crowding(&self, own_requests: u32, reported: Option<u32>, draw: f64) -> f64 {
        let full = FULL_SHARE + SOFT_WIDTH * (draw - 0.5);
        let used_share = |requests| f64::from(requests) / self.places.max(f64::EPSILON);
        let free_share = reported.map_or(0.0, |requests| (1.0 - used_share(requests)).max(0.0));
        let part = self.own_places * full * (1.0 + LENDING * free_share);
        f64::from(own_requests) / part.max(f64::EPSILON)
    }
}
