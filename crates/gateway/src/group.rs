//! How loaded a rank group is, as this entry sees it on its own streams.
//!
//! All ranks of a group do each pass together, and a stream gets one event a pass. So every entry
//! that has a stream in a group knows how long its passes take, now and for nothing, and sends new
//! requests where passes are short.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Weight of one pause in the mean; an entry sees some ten a pass.
const PAUSE_WEIGHT: f64 = 0.04;

/// Pauses longer than this are stops of the group, not passes, in milliseconds.
const LONGEST_PASS_MS: f64 = 600.0;

/// One group's load.
#[derive(Debug, Default)]
pub struct GroupLoad {
    in_flight: AtomicU32,
    /// Mean time of a pass, in milliseconds; 0 before the first is seen.
    pass_ms: Mutex<f64>,
}

/// A rank of a group, for the choice of a server.
#[derive(Clone, Debug)]
pub struct Seat {
    /// The group.
    pub group: Arc<GroupLoad>,
    /// Above 1 if the rank is slower than published.
    pub pace: f64,
}

impl GroupLoad {
    /// This entry's requests in the group.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request in the group until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> InGroup {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InGroup(Arc::clone(self))
    }

    /// Expected cost of a request in the group: grows with its passes and this entry's part in
    /// them.
    pub fn cost(&self) -> f64 {
        self.lock().max(1.0) * f64::from(self.in_flight() + 1)
    }

    /// Notes a pause between two events of one stream.
    ///
    /// ```
    /// use flamingowheel_gateway::group::GroupLoad;
    /// let (fast, slow) = (GroupLoad::default(), GroupLoad::default());
    /// fast.note_pause(40.0);
    /// slow.note_pause(90.0);
    /// assert!(fast.cost() < slow.cost());
    /// ```
    pub fn note_pause(&self, pause_ms: f64) {
        if pause_ms > LONGEST_PASS_MS {
            return;
        }
        let mut pass_ms = self.lock();
        if *pass_ms == 0.0 {
            *pass_ms = pause_ms;
        }
        *pass_ms += PAUSE_WEIGHT * (pause_ms - *pass_ms);
    }

    /// Forgets the passes of a group that has formed again.
    pub fn reset(&self) {
        *self.lock() = 0.0;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, f64> {
        self.pass_ms.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request in a group.
#[derive(Debug)]
pub struct InGroup(Arc<GroupLoad>);

impl InGroup {
    /// The group.
    pub fn group(&self) -> &Arc<GroupLoad> {
        &self.0
    }
}

impl Drop for InGroup {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
