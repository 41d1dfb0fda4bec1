//! Room of a rank group while some of its ranks may take no requests.
//!
//! The load: a data centre is evacuated and demand stays as it is. The ranks of the other data
//! centres get all of it, more than they can run at once; what waits at an engine delays every
//! request behind it, so all first events become late. Beyond the places of the open ranks requests
//! are refused. No entry sees the whole group at once, and entries have unequal numbers of requests,
//! so one is refused only if both its entry is above its part and the group is above its places.

use crate::batch;

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
    /// assert!(room.crowding(9, Some(150), 0.5) < 1.0);
    /// assert!(room.crowding(3, Some(250), 0.5) < 1.0);
    /// assert!(room.crowding(9, Some(250), 0.5) > 1.0);
    /// assert!(room.crowding(9, None, 0.5) > 1.0);
    /// ```
    pub fn crowding(&self, own_requests: u32, reported: Option<u32>, draw: f64) -> f64 {
        let own = batch::crowding(own_requests, self.own_places, draw);
        let whole = reported.map(|requests| batch::crowding(requests, self.places, draw));
        whole.map_or(own, |whole| whole.min(own))
    }
}
