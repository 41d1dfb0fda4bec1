//! How loaded a rank group is, as this entry sees it on its own streams.
//!
//! All ranks of a group do each pass together, and a stream gets one event a pass. So every entry
//! that has a stream in a group knows how long its passes take, now and for nothing, and sends new
//! requests where passes are short.

use flamingowheel_policy::batch::{self, BatchLimit, PassModel};
use flamingowheel_policy::passes::PassTime;
use flamingowheel_protocol::ranks::GroupStatus;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
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
    bound: BatchLimit,
    /// `None` until the engines' parameters are known.
    model: Option<PassModel>,
    /// What the group's coordinator told last.
    reported: Option<Reported>,
    /// The server of the newest event, and of the newest one from any other server.
    lives: [Option<Life>; 2],
}

/// A server that sent an event, and when.
#[derive(Clone, Copy, Debug)]
struct Life {
    server: SocketAddr,
    at: Instant,
}

#[derive(Debug)]
struct Reported {
    taken_at: Instant,
    requests: Vec<u8>,
    silent: Vec<u16>,
}

/// An event that is not older shows that a group goes on.
const ALIVE: Duration = Duration::from_millis(350);

/// Reports that are older say nothing of single ranks any more.
const REPORT_LIMIT: Duration = Duration::from_millis(1_500);

/// Requests that run or wait at a rank, as its group's coordinator told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankReport {
    /// The requests.
    pub requests: u32,
    /// When that was so.
    pub taken_at: Instant,
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
    /// The rank.
    pub rank: usize,
    /// Above 1 if the rank is slower than published.
    pub pace: f64,
    /// Whether its group's coordinator hears nothing of it.
    pub is_away: bool,
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
        self.lock().passes.mean_ms(now - self.origin)
    }

    /// Takes in what the group's coordinator tells.
    pub fn set_reported(&self, status: &GroupStatus, taken_at: Instant) {
        let (requests, silent) = (status.requests.clone(), status.silent.clone());
        self.lock().reported = Some(Reported { taken_at, requests, silent });
    }

    /// Whether the group's coordinator hears nothing of a rank; `None` if the coordinator is not heard.
    pub fn is_reported_silent(&self, rank: usize, now: Instant) -> Option<bool> {
        let observed = self.lock();
        let reported = observed.reported.as_ref()?;
        let is_new = now - reported.taken_at < REPORT_LIMIT;
        is_new.then(|| reported.silent.iter().any(|silent| usize::from(*silent) == rank))
    }

    /// Notes an event from a server of the group.
    pub fn note_life(&self, server: SocketAddr, now: Instant) {
        let mut observed = self.lock();
        let newest = Some(Life { server, at: now });
        match observed.lives[0] {
            Some(last) if last.server != server => observed.lives = [newest, Some(last)],
            _ => observed.lives[0] = newest,
        }
    }

    /// Whether other servers of the group sent events a moment ago. All ranks do each pass together, so
    /// that a server from which nothing comes meanwhile is cut off, or stands still.
    ///
    /// ```
    /// use flamingowheel_gateway::group::GroupLoad;
    /// let (group, now) = (GroupLoad::default(), tokio::time::Instant::now());
    /// let (a, b) = ("10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap());
    /// group.note_life(a, now);
    /// assert!(group.lives_without(b, now));
    /// assert!(!group.lives_without(a, now));
    /// ```
    pub fn lives_without(&self, server: SocketAddr, now: Instant) -> bool {
        let lives = self.lock().lives;
        let mut others = lives.iter().flatten().filter(|life| life.server != server);
        others.any(|life| now - life.at < ALIVE)
    }

    /// Ranks of the group, as told last; 0 before that.
    pub fn size(&self) -> usize {
        self.lock().reported.as_ref().map_or(0, |reported| reported.requests.len())
    }

    /// What was told of a rank, if that is new enough.
    pub fn report_of(&self, rank: usize, now: Instant) -> Option<RankReport> {
        let observed = self.lock();
        let Reported { taken_at, requests, .. } = observed.reported.as_ref()?;
        let requests = u32::from(*requests.get(rank)?);
        let taken_at = *taken_at;
        (now - taken_at < REPORT_LIMIT).then_some(RankReport { requests, taken_at })
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
        let pass_ms = observed.passes.mean_ms(at).unwrap_or(0.0);
        let model = observed.model.as_ref();
        let bound = model.and_then(|m| observed.bound.max_requests(admission.pause_goal_ms, m, at));
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
        let Observed { passes, bound, model, .. } = &mut *observed;
        if let Some((pass_ms, model)) = passes.mean_ms(at).zip(model.as_ref()) {
            bound.observe(pass_ms, self.in_flight(), model, at);
        }
    }

    /// Forgets the passes of a group that has formed again.
    pub fn reset(&self) {
        let mut observed = self.lock();
        observed.passes = PassTime::default();
        observed.bound = BatchLimit::default();
        observed.reported = None;
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
