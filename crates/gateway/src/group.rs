//! The load of a rank group, as this entry observes it on its own streams.
//!
//! All ranks of a group run each pass together, and a stream gets one event per pass. So every
//! entry that has a stream in a group can measure its pass time without extra messages, and sends
//! new requests to the group with short passes.

use flamingowheel_policy::batch::{self, BatchLimit, PassModel};
use flamingowheel_policy::passes::{PassRises, PassTime};
use flamingowheel_protocol::ranks::GroupStatus;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The load of one group.
#[derive(Debug)]
pub struct GroupLoad {
    in_flight: AtomicU32,
    observed: Mutex<Observed>,
    origin: Instant,
}

#[derive(Debug, Default)]
struct Observed {
    pass_times: PassTime,
    pass_rises: PassRises,
    batch_limit: BatchLimit,
    /// How pass time grows with requests; `None` until the engines' parameters are known.
    model: Option<PassModel>,
    /// Requests that a rank runs at once; 0 until known.
    slots: u32,
    /// The last report of the group's coordinator.
    report: Option<Report>,
    /// Number of ranks that may take requests, and of all; `None` if all may.
    open_ranks: Option<(usize, usize)>,
    /// The servers that sent events recently.
    activity: HashMap<SocketAddr, Activity>,
}

/// A span of time in which a server sent events without a long pause.
#[derive(Clone, Copy, Debug)]
struct Activity {
    since: Instant,
    last: Instant,
}

impl Activity {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) < EVENT_FRESHNESS
    }
}

#[derive(Debug)]
struct Report {
    taken_at: Instant,
    requests: Vec<u8>,
    silent: Vec<u16>,
}

/// Age up to which an event shows that its group is running passes.
const EVENT_FRESHNESS: Duration = Duration::from_millis(350);

/// Time for which a group runs passes without a server before the server counts as silent: several
/// passes. After a pause of the whole group, its servers' first events arrive one after the other.
const ACTIVE_SPAN: Duration = Duration::from_millis(300);

/// Age from which reports are too old to use.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Requests running or queued at a rank, as reported by its group's coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankReport {
    /// Running and queued requests at the rank.
    pub requests: u32,
    /// When the coordinator counted them, on this process's clock.
    pub taken_at: Instant,
}

impl Observed {
    /// Requests in the group, relative to what the ranks that may take some run at once.
    fn occupancy(&self, now: Instant) -> Option<f64> {
        let report =
            self.report.as_ref().filter(|report| now - report.taken_at < MAX_REPORT_AGE)?;
        let open_ranks = self.open_ranks.map_or(report.requests.len(), |(open, _)| open);
        let slots = self.slots as usize * open_ranks;
        let requests: u32 = report.requests.iter().map(|requests| u32::from(*requests)).sum();
        (slots > 0).then(|| f64::from(requests) / slots as f64)
    }
}

impl Default for GroupLoad {
    fn default() -> Self {
        Self { in_flight: AtomicU32::new(0), observed: Mutex::default(), origin: Instant::now() }
    }
}

/// Conditions under which a group admits a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Admission {
    /// Longest mean pass with which the request is admitted, in milliseconds.
    pub pass_limit_ms: f64,
    /// Longest pause between events that meets the route's goal, in milliseconds.
    pub pause_goal_ms: f64,
    /// Random number between 0 and 1, so that requests of the same moment are not all refused at
    /// the same limit.
    pub draw: f64,
    /// Share by which limits are lowered, as the request gives way to others.
    pub cut: f64,
    /// Share of the room for a rise of the pass time that is kept from the request, from 0 to 1.
    pub caution: f64,
}

/// How full a group is, with the values that this was computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fullness {
    /// Above 1 if a further request would delay those in the group beyond their goal.
    pub crowding: f64,
    /// This entry's requests in the group.
    pub own_requests: u32,
    /// Limit on this entry's requests, derived from the longest passes of the last seconds; `None`
    /// if not known.
    pub limit: Option<f64>,
    /// Mean pass time, in milliseconds; 0 if there was no recent pass.
    pub pass_ms: f64,
    /// The highest recent rise of the pass time, as a ratio.
    pub rise: f64,
    /// Requests at the group's ranks as a share of their slots; `None` without a recent report.
    pub occupancy: Option<f64>,
    /// Age of the last report; `None` if there was none.
    pub report_age: Option<Duration>,
}

impl Fullness {
    /// Whether a further request is refused.
    pub fn is_full(&self) -> bool {
        self.crowding > 1.0
    }
}

/// A rank of a group, as needed to choose a server.
#[derive(Clone, Debug)]
pub struct GroupRank {
    /// Load of the rank's group, shared by all its ranks.
    pub group: Arc<GroupLoad>,
    /// Index of the rank in its group.
    pub rank: usize,
    /// The rank's pass time relative to the engine's published parameters; above 1 if it is slower.
    pub pace: f64,
    /// Whether the group's record marks the rank as silent.
    pub is_away: bool,
}

impl GroupLoad {
    /// This entry's requests in the group.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight in the group until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> GroupInFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        GroupInFlight(Arc::clone(self))
    }

    /// Mean pass time, in milliseconds; `None` if there was no recent pass.
    pub fn pass_ms(&self, now: Instant) -> Option<f64> {
        self.lock().pass_times.mean_ms(now - self.origin)
    }

    /// Stores a report of the group's coordinator.
    pub fn set_status(&self, status: &GroupStatus, taken_at: Instant) {
        let (requests, silent) = (status.requests.clone(), status.silent.clone());
        self.lock().report = Some(Report { taken_at, requests, silent });
    }

    /// Whether the group's coordinator reports a rank as silent; `None` without a recent report.
    pub fn is_reported_silent(&self, rank: usize, now: Instant) -> Option<bool> {
        let observed = self.lock();
        let report = observed.report.as_ref()?;
        let is_new = now - report.taken_at < MAX_REPORT_AGE;
        is_new.then(|| report.silent.iter().any(|silent| usize::from(*silent) == rank))
    }

    /// Records an event from a server of the group.
    pub fn record_event(&self, server: SocketAddr, now: Instant) {
        let mut observed = self.lock();
        match observed.activity.get_mut(&server) {
            Some(activity) if activity.is_recent(now) => activity.last = now,
            _ => {
                observed.activity.retain(|_, activity| activity.is_recent(now));
                observed.activity.insert(server, Activity { since: now, last: now });
            }
        }
    }

    /// Whether other servers of the group have have just sent events for several passes. All ranks
    /// run each pass together, so a server that sends nothing meanwhile is partitioned or stalled.
    ///
    /// ```
    /// use flamingowheel_gateway::group::GroupLoad;
    /// use std::time::Duration;
    /// let (group, begun_at) = (GroupLoad::default(), tokio::time::Instant::now());
    /// let (a, b) = ("10.0.0.1:80".parse().unwrap(), "10.0.0.2:80".parse().unwrap());
    /// group.record_event(a, begun_at);
    /// assert!(!group.is_active_without(b, begun_at));
    /// let now = begun_at + Duration::from_millis(300);
    /// group.record_event(a, now);
    /// assert!(group.is_active_without(b, now));
    /// assert!(!group.is_active_without(a, now));
    /// ```
    pub fn is_active_without(&self, server: SocketAddr, now: Instant) -> bool {
        let observed = self.lock();
        let others = observed.activity.iter().filter(|(other, _)| **other != server);
        let mut others: Vec<Activity> = others.map(|(_, activity)| *activity).collect();
        others.sort_unstable_by_key(|activity| Reverse(activity.last));
        let Some(newest) = others.first().filter(|newest| newest.is_recent(now)) else {
            return false;
        };
        // The start of the passes, which several servers may show in turn.
        let mut active_since = newest.since;
        for activity in &others {
            if activity.is_recent(active_since) {
                active_since = active_since.min(activity.since);
            }
        }
        newest.last - active_since >= ACTIVE_SPAN
    }

    /// Number of ranks in the group; 0 before the first report.
    pub fn size(&self) -> usize {
        self.lock().report.as_ref().map_or(0, |report| report.requests.len())
    }

    /// The report on a rank, if it is recent.
    pub fn rank_report(&self, rank: usize, now: Instant) -> Option<RankReport> {
        let observed = self.lock();
        let Report { taken_at, requests, .. } = observed.report.as_ref()?;
        let requests = u32::from(*requests.get(rank)?);
        let taken_at = *taken_at;
        (now - taken_at < MAX_REPORT_AGE).then_some(RankReport { requests, taken_at })
    }

    /// Sets how pass time grows with this entry's requests.
    pub fn set_model(&self, model: PassModel) {
        self.lock().model = Some(model);
    }

    /// Sets how many ranks may take requests, out of `all`. The others run passes as before.
    pub fn set_open_ranks(&self, open: usize, all: usize) {
        self.lock().open_ranks = (open < all).then_some((open, all));
    }

    /// Share of the group's ranks that may take requests.
    ///
    /// ```
    /// let group = flamingowheel_gateway::group::GroupLoad::default();
    /// assert_eq!(group.open_share(), 1.0);
    /// group.set_open_ranks(8, 32);
    /// assert_eq!(group.open_share(), 0.25);
    /// ```
    pub fn open_share(&self) -> f64 {
        self.lock().open_ranks.map_or(1.0, |(open, all)| open as f64 / all as f64)
    }

    /// Sets how many requests a rank runs at once.
    pub fn set_slots(&self, slots: u32) {
        self.lock().slots = slots;
    }

    /// How full the group is for a further request. All inputs are observed on this entry's own
    /// streams and at most about a pass old.
    pub fn fullness(&self, admission: &Admission, now: Instant) -> Fullness {
        let at = now - self.origin;
        let observed = self.lock();
        let own_requests = self.in_flight();
        let pass_ms = observed.pass_times.mean_ms(at).unwrap_or(0.0);
        let model = observed.model.as_ref();
        let limit =
            model.and_then(|m| observed.batch_limit.max_requests(admission.pause_goal_ms, m, at));
        let kept = (1.0 - admission.cut).max(f64::EPSILON);
        let by_number =
            limit.map_or(0.0, |limit| batch::crowding(own_requests, limit * kept, admission.draw));
        let by_time = pass_ms / (admission.pass_limit_ms * kept).max(1.0);
        let occupancy = observed.occupancy(now);
        // Requests beyond the slots queue at the server, where urgent ones would wait as well.
        let by_slots = occupancy.filter(|_| admission.cut > 0.0).unwrap_or(0.0) / kept;
        let by_rise =
            admission.caution * observed.pass_rises.crowding(pass_ms, admission.pause_goal_ms, at);
        let rise = observed.pass_rises.highest(at);
        let crowding = by_number.max(by_time).max(by_slots).max(by_rise);
        let report_age = observed.report.as_ref().map(|report| now - report.taken_at);
        Fullness { crowding, own_requests, limit, pass_ms, rise, occupancy, report_age }
    }

    /// Expected cost of a request in the group: grows with its pass time and this entry's requests
    /// in it.
    pub fn cost(&self, now: Instant) -> f64 {
        self.pass_ms(now).unwrap_or(0.0).max(1.0) * f64::from(self.in_flight() + 1)
    }

    /// Records a pause between two events of one stream.
    ///
    /// ```
    /// use flamingowheel_gateway::group::GroupLoad;
    /// let now = tokio::time::Instant::now();
    /// let (fast, slow) = (GroupLoad::default(), GroupLoad::default());
    /// fast.record_pause(40.0, now);
    /// slow.record_pause(90.0, now);
    /// assert!(fast.cost(now) < slow.cost(now));
    /// ```
    pub fn record_pause(&self, pause_ms: f64, now: Instant) {
        let at = now - self.origin;
        let mut observed = self.lock();
        observed.pass_times.observe(pause_ms, at);
        let Observed { pass_times, pass_rises, batch_limit, model, .. } = &mut *observed;
        if let Some(pass_ms) = pass_times.mean_ms(at) {
            pass_rises.observe(pass_ms, at);
        }
        if let Some((pass_ms, model)) = pass_times.mean_ms(at).zip(model.as_ref()) {
            batch_limit.observe(pass_ms, self.in_flight(), model, at);
        }
    }

    /// Discards the observations of a group that has formed again.
    pub fn reset(&self) {
        let mut observed = self.lock();
        observed.pass_times = PassTime::default();
        observed.pass_rises = PassRises::default();
        observed.batch_limit = BatchLimit::default();
        observed.report = None;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A guard that counts a request as in flight in a group.
#[derive(Debug)]
pub struct GroupInFlight(Arc<GroupLoad>);

impl GroupInFlight {
    /// The group in which the request is counted.
    pub fn group(&self) -> &Arc<GroupLoad> {
        &self.0
    }
}

impl Drop for GroupInFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
