//! How loaded a rank group is, as this entry sees it on its own streams.
//!
//! All ranks of a group do each pass together, and a stream gets one event a pass. So every entry
//! that has a stream in a group knows how long its passes take, now and for nothing, and sends new
//! requests where passes are short.

use flamingowheel_policy::passes::PassTime;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// One group's load.
#[derive(Debug)]
pub struct GroupLoad {
    in_flight: AtomicU32,
    passes: Mutex<PassTime>,
    origin: Instant,
}

impl Default for GroupLoad {
    fn default() -> Self {
        Self { in_flight: AtomicU32::new(0), passes: Mutex::default(), origin: Instant::now() }
    }
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

    /// Mean pass, in milliseconds; `None` if none was seen lately.
    pub fn pass_ms(&self, now: Instant) -> Option<f64> {
        self.lock().at(now - self.origin)
    }

    /// Expected cost of a request in the group: grows with its passes and this entry's part in
    /// them.
    pub fn cost(&self, now: Instant) -> f64 {
        self.pass_ms(now).unwrap_or(0.0).max(1.0) * f64::from(self.in_flight() + 1)
    }

    /// Notes a pause between two events of one stream.
    ///
    /// ```
    /// use flamingowheel_gateway::group::GroupLoad;
    /// let now = tokio::time::Instant::now();
    /// let (fast, slow) = (GroupLoad::default(), GroupLoad::default());
    /// fast.note_pause(40.0, now);
    /// slow.note_pause(90.0, now);
    /// assert!(fast.cost(now) < slow.cost(now));
    /// ```
    pub fn note_pause(&self, pause_ms: f64, now: Instant) {
        self.lock().observe(pause_ms, now - self.origin);
    }

    /// Forgets the passes of a group that has formed again.
    pub fn reset(&self) {
        *self.lock() = PassTime::default();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PassTime> {
        self.passes.lock().unwrap_or_else(PoisonError::into_inner)
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
