//! How loaded a rank group is, as this entry sees it on its own streams.
//!
//! All ranks of a group do each pass together, and a stream gets one event a pass. So every entry
//! that has a stream in a group knows how long its passes take, now and for nothing. Each keeps its
//! own number of requests there within what passes of the wanted length carry; all entries see the
//! same passes, so that together they settle on the group's capacity.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Share of the pause goal that passes should take in the mean. Passes vary with the prompts read
/// in them: one in a hundred takes twice the mean, and one pause beyond the goal makes a stream late.
const WANTED_SHARE: f64 = 0.62;

/// Weight of one pause in the mean; an entry sees some ten a pass.
const PAUSE_WEIGHT: f64 = 0.04;

/// Pauses longer than this are stops of the group, not passes, in milliseconds.
const LONGEST_PASS_MS: f64 = 600.0;

/// Time between adjustments: a few passes, so that each shows the effect of the one before.
const ADJUST_INTERVAL: Duration = Duration::from_millis(200);

/// Least requests of an entry in a group: with none it would learn nothing of its passes.
const MIN_LIMIT: f64 = 2.0;

/// Requests that an entry may have in a group before it knows anything of it.
const FIRST_LIMIT: f64 = 24.0;

/// Most that a limit moves in one adjustment, up and down.
const MAX_RISE: f64 = 1.15;
const MAX_FALL: f64 = 0.85;

/// One group's load.
#[derive(Debug, Default)]
pub struct GroupLoad {
    in_flight: AtomicU32,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    pass_ms: f64,
    limit: f64,
    adjusted_at: Option<Instant>,
}

impl Default for State {
    fn default() -> Self {
        Self { pass_ms: 0.0, limit: FIRST_LIMIT, adjusted_at: None }
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

    /// Whether another request fits.
    pub fn has_room(&self) -> bool {
        f64::from(self.in_flight()) < self.lock().limit
    }

    /// Expected cost of a request in the group: grows with its passes and this entry's part in
    /// them.
    pub fn cost(&self) -> f64 {
        let pass_ms = self.lock().pass_ms.max(1.0);
        pass_ms * f64::from(self.in_flight() + 1)
    }

    /// Notes a pause between two events of one stream, whose goal is `goal_ms`.
    ///
    /// ```
    /// use flamingowheel_gateway::group::GroupLoad;
    /// use std::sync::Arc;
    /// use std::time::Duration;
    /// let group = Arc::new(GroupLoad::default());
    /// let _requests: Vec<_> = (0..20).map(|_| group.begin()).collect();
    /// let mut now = tokio::time::Instant::now();
    /// for _ in 0..400 {
    ///     now += Duration::from_millis(10);
    ///     group.note_pause(200.0, 120.0, now);
    /// }
    /// assert!(!group.has_room());
    /// ```
    pub fn note_pause(&self, pause_ms: f64, goal_ms: f64, now: Instant) {
        if pause_ms > LONGEST_PASS_MS || goal_ms <= 0.0 {
            return;
        }
        let in_flight = f64::from(self.in_flight());
        let mut state = self.lock();
        if state.pass_ms == 0.0 {
            state.pass_ms = pause_ms;
        }
        state.pass_ms += PAUSE_WEIGHT * (pause_ms - state.pass_ms);
        if state.adjusted_at.is_some_and(|at| now - at < ADJUST_INTERVAL) {
            return;
        }
        state.adjusted_at = Some(now);
        let ratio = (WANTED_SHARE * goal_ms / state.pass_ms).clamp(MAX_FALL, MAX_RISE);
        // A limit far above what is in use would take long to come down when load comes.
        let base = if ratio < 1.0 { state.limit.min(in_flight + 1.0) } else { state.limit };
        state.limit = (base * ratio).clamp(MIN_LIMIT, (2.0 * in_flight + 4.0).max(FIRST_LIMIT));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
