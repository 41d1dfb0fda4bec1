//! How loaded a rank group is, as this entry sees it on its own streams.
//!
//! All ranks of a group do each pass together, and a stream gets one event a pass. So every entry
//! that has a stream in a group knows how long its passes take, now and for nothing, and sends new
//! requests where passes are short.

use flamingowheel_policy::batch::{self, BatchBound, PassModel};
use flamingowheel_policy::passes::PassTime;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// One group's load.
#[derive(Debug)]
pub struct GroupLoad {
    in_flight: AtomicU32,
    observed: Mutex<Observed>,
    origin: Instant,
}

#[derive(Debug, Default)]
struct Observed {
    passes: PassTime,
    bound: BatchBound,
    /// `None` until the engines' parameters are known.
    model: Option<PassModel>,
}

impl Default for GroupLoad {
    fn default() -> Self {
        Self { in_flight: AtomicU32::new(0), observed: Mutex::default(), origin: Instant::now() }
    }
}

/// What a request asks of a group before it is sent there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Longest mean pass, in milliseconds.
    pub pass_limit_ms: f64,
    /// Longest pause between events that is in time, in milliseconds.
    pub pause_goal_ms: f64,
    /// A random number between 0 and 1: requests of one moment are not all refused at one bound.
    pub draw: f64,
}

/// How full a group is, with what that was worked out from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fullness {
    /// Above 1 if a further request would make those in the group late.
    pub crowding: f64,
    /// This entry's requests in the group.
    pub own: u32,
    /// Most of them that the longest passes of the last seconds allow, if that is known.
    pub bound: Option<f64>,
    /// Mean pass, in milliseconds; 0 if none was seen lately.
    pub pass_ms: f64,
}

impl Fullness {
    /// Whether a further request is refused.
    pub fn is_full(&self) -> bool {
        self.crowding > 1.0
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
        self.lock().passes.at(now - self.origin)
    }

    /// Takes in how passes grow with this entry's requests.
    pub fn set_model(&self, model: PassModel) {
        self.lock().model = Some(model);
    }

    /// How full the group is for a further request. All of its inputs are seen on this entry's own
    /// streams, the last of them a pass ago.
    pub fn fullness(&self, admission: &Admission, now: Instant) -> Fullness {
        let at = now - self.origin;
        let observed = self.lock();
        let own = self.in_flight();
        let pass_ms = observed.passes.at(at).unwrap_or(0.0);
        let model = observed.model.as_ref();
        let bound = model.and_then(|m| observed.bound.at(admission.pause_goal_ms, m, at));
        let by_number = bound.map_or(0.0, |bound| batch::crowding(own, bound, admission.draw));
        let crowding = by_number.max(pass_ms / admission.pass_limit_ms.max(1.0));
        Fullness { crowding, own, bound, pass_ms }
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
        let at = now - self.origin;
        let mut observed = self.lock();
        observed.passes.observe(pause_ms, at);
        let Observed { passes, bound, model } = &mut *observed;
        if let Some((pass_ms, model)) = passes.at(at).zip(model.as_ref()) {
            bound.observe(pass_ms, self.in_flight(), model, at);
        }
    }

    /// Forgets the passes of a group that has formed again.
    pub fn reset(&self) {
        let mut observed = self.lock();
        observed.passes = PassTime::default();
        observed.bound = BatchBound::default();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
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
