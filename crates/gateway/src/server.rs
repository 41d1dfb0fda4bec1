//! The state of one backend server, as this entry observes it on its own requests.

use crate::connection::Connection;
use crate::group::{GroupInFlight, GroupLoad};
use crate::idle::IdleConnections;
use crate::suspects::Trial;
use flamingowheel_fleet::BackendServer;
use flamingowheel_platform::Stated;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::permits::{LimitReport, Permits, Verdict};
use flamingowheel_policy::warmth::Warmth;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Weight of a new observation in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.2;

/// Backoff after the first failure to reach a server; doubles with each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Backoff for a server that has ended: its listing is only removed after three missed heartbeats.
const GONE_BACKOFF: Duration = Duration::from_secs(4);

/// Number of send times that are kept: more than an entry sends to a server between two reports.
const MAX_SEND_TIMES: usize = 16;

/// Shortest silence after which a server with unanswered requests is avoided: several passes of a
/// group under load.
const MIN_SILENCE: Duration = Duration::from_millis(600);

/// The same as a multiple of the server's mean latency, for servers whose answers usually take
/// long.
const SILENCE_LATENCY_FACTOR: f64 = 3.0;

/// Largest extension of a rest, as a share of it. All entries may have been asked at the same time,
/// and would return together.
const REST_SPREAD: f64 = 0.2;

/// Largest number of doublings: 150 ms grows to 2.4 s, well below the time for which a failed
/// server is unavailable.
const MAX_DOUBLINGS: u32 = 4;

/// A backend server with this entry's requests, connections and health observations.
#[derive(Debug)]
pub struct Server {
    /// The server's listing in the key-value store.
    pub listed: BackendServer,
    /// The key of this start of the server, the same at all entries.
    pub key: ServerKey,
    in_flight: Arc<AtomicU32>,
    is_evacuated: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
    pub(crate) origin: Instant,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    idle: IdleConnections<Connection>,
    health: Health,
    /// When the newest requests were sent to the server.
    send_times: VecDeque<Instant>,
    /// The limit as the newest answer states it, in requests per second.
    stated_limit: Stated<f64>,
    /// The server's limit for all entries, and this entry's permits.
    permits: Permits,
    /// Whether the server is cold, and this entry's permits for it until it is warm.
    pub(crate) warmth: Warmth,
    /// The end of the rest that the server asked this entry for.
    rest_until: Option<Instant>,
    /// Whether the server has said that it leaves.
    is_leaving: bool,
}

impl State {
    /// Time until the end of the rest that the server asked for.
    fn rest(&self, now: Instant) -> Duration {
        self.rest_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    fn is_resting(&self, now: Instant) -> bool {
        !self.rest(now).is_zero()
    }
}

/// Moving averages and the backoff after failures.
#[derive(Clone, Debug, Default)]
struct Health {
    /// Share of answers that were failures, between 0 and 1.
    failure_ratio: f64,
    /// Mean time to an answer, in milliseconds; `None` before the first answer.
    latency_ms: Option<f64>,
    /// When the newest answer in that mean arrived.
    answered_at: Option<Instant>,
    consecutive_failures: u32,
    backoff_until: Option<Instant>,
    /// Requests for which nothing has arrived yet.
    unanswered: u32,
    /// When data last arrived from the server or, if later, the first of the unanswered requests
    /// was sent.
    waiting_since: Option<Instant>,
}

impl Health {
    /// Time without data up to which the server is not considered silent.
    fn silence_limit(&self) -> Duration {
        let usual_ms = self.latency_ms.unwrap_or(0.0) * SILENCE_LATENCY_FACTOR;
        MIN_SILENCE.max(Duration::from_secs_f64(usual_ms / 1_000.0))
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.waiting_since.is_some_and(|since| now - since > self.silence_limit())
    }

    fn record_activity(&mut self, now: Instant) {
        self.waiting_since = (self.unanswered > 0).then_some(now);
    }

    fn back_off(&mut self, now: Instant) {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        self.consecutive_failures += 1;
        self.backoff_until = Some(now + INITIAL_BACKOFF * 2_u32.pow(doublings));
    }
}

/// The state of a server at one moment, as needed to choose one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStatus {
    /// This entry's requests in flight at the server.
    pub in_flight: u32,
    /// Share of answers that were failures, between 0 and 1.
    pub failure_ratio: f64,
    /// Mean time to an answer, in milliseconds; `None` before the first answer.
    pub latency_ms: Option<f64>,
    /// Whether the server is in backoff after a failure.
    pub is_in_backoff: bool,
    /// Whether the server has unanswered requests and has sent no data for too long. Its VM may
    /// have stalled: connections still open, but nothing comes back.
    pub is_silent: bool,
    /// Whether the server has said that it leaves; it takes no more requests.
    pub is_leaving: bool,
    /// Whether the server takes a request now: it does not rest, and has no limit unless this entry
    /// holds a permit.
    pub is_admitting: bool,
    /// Whether a permit can be asked for.
    pub can_ask: bool,
    /// Share of its usual requests that the server gets: below 1 after its start.
    pub share: f64,
}

/// What changed with an answer's word on the server's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitChange {
    /// Whether the answer states another limit than the one before, or one that can't be read.
    pub has_new_value: bool,
    /// Whether the server has become limited or unlimited.
    pub has_toggled: bool,
}

impl Server {
    /// Creates a server without observations.
    pub fn new(listed: BackendServer) -> Self {
        let server = Self {
            key: ServerKey::from_name(&format!("{}@{}", listed.id, listed.started_ms)),
            listed,
            in_flight: Arc::default(),
            is_evacuated: Arc::default(),
            state: Arc::default(),
            origin: Instant::now(),
        };
        server.record_listed_cold();
        server.record_listed_start();
        server
    }

    /// The same start of the server with a changed listing; its observations are kept.
    pub fn with_listing(&self, listed: BackendServer) -> Self {
        let server = Self {
            listed,
            key: self.key,
            in_flight: Arc::clone(&self.in_flight),
            is_evacuated: Arc::clone(&self.is_evacuated),
            state: Arc::clone(&self.state),
            origin: self.origin,
        };
        server.record_listed_cold();
        server
    }

    /// Whether a listing describes the same start of the same server.
    pub fn is_same_start(&self, listed: &BackendServer) -> bool {
        self.listed.started_ms == listed.started_ms
            && self.listed.address == listed.address
            && self.listed.service == listed.service
    }

    /// Closes the server to requests while its data centre is evacuated, or opens it again.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Release);
    }

    /// Whether the server's data centre is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.load(Ordering::Acquire)
    }

    /// The server's state now.
    pub fn status(&self, now: Instant) -> ServerStatus {
        let state = self.lock();
        let at = now - self.origin;
        let has_permit = state.permits.admits(at) && state.warmth.admits(at);
        let can_ask = state.permits.can_ask(at) || state.warmth.can_ask(at);
        ServerStatus {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            failure_ratio: state.health.failure_ratio,
            latency_ms: state.health.latency_ms,
            is_in_backoff: state.health.backoff_until.is_some_and(|until| now < until),
            is_silent: state.health.is_silent(now),
            is_leaving: state.is_leaving,
            is_admitting: !state.is_resting(now) && has_permit,
            can_ask: !state.is_resting(now) && can_ask,
            share: state.warmth.share(at),
        }
    }

    /// Mean time to an answer, in milliseconds, and its age; `None` before the first answer.
    pub fn latency(&self, now: Instant) -> Option<(f64, Duration)> {
        let health = &self.lock().health;
        health.latency_ms.zip(health.answered_at.map(|at| now.saturating_duration_since(at)))
    }

    /// Counts a request as in flight at the server and in its group until the guard is dropped, and
    /// uses a permit if the server has a limit. Every request to a server passes here. `None` if the
    /// server takes none now.
    pub fn begin(self: &Arc<Self>, group: Option<&Arc<GroupLoad>>) -> Option<InFlight> {
        let now = Instant::now();
        let state = &mut *self.lock();
        let is_held = state.is_leaving || state.is_resting(now) || self.is_evacuated();
        let at = now - self.origin;
        if is_held || !state.warmth.admits(at) || !state.permits.take(at) || !state.warmth.take(at)
        {
            return None;
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        state.health.unanswered += 1;
        state.health.waiting_since.get_or_insert(now);
        state.send_times.push_back(now);
        if state.send_times.len() > MAX_SEND_TIMES {
            state.send_times.pop_front();
        }
        let in_group = group.map(GroupLoad::begin);
        Some(InFlight { server: Arc::clone(self), in_group, is_answered: false, trial: None })
    }

    /// Number of requests sent to the server after `moment`.
    pub fn sent_since(&self, moment: Instant) -> u32 {
        let newer = self.lock().send_times.iter().rev().take_while(|at| **at > moment).count();
        u32::try_from(newer).unwrap_or(u32::MAX)
    }

    /// Takes an idle connection that is still usable.
    pub fn take_idle(&self, now: Instant) -> Option<Connection> {
        self.lock().idle.take(now)
    }

    /// Sets the most idle connections that this entry keeps to the server.
    pub fn set_max_idle(&self, max_idle: usize) {
        self.lock().idle.set_max(max_idle);
    }

    /// Records how long the server keeps an idle connection open. A value that can't be read leaves
    /// the one before in force.
    pub fn record_idle_limit(&self, stated: &Stated<Duration>) {
        if let Stated::Value(limit) = stated {
            self.lock().idle.set_stated(*limit);
        }
    }

    /// Keeps a connection after the end of its answer for reuse.
    pub fn put_idle(&self, connection: Connection, now: Instant) {
        self.lock().idle.put(connection, now);
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.lock().idle.clear();
    }

    /// Records that data arrived from the server.
    pub fn record_activity(&self, now: Instant) {
        self.lock().health.record_activity(now);
    }

    /// Records the end of a request for which nothing had arrived. Once no request waits for a
    /// silent server any more, it goes into backoff; after that, a single request probes whether it
    /// answers again.
    fn record_unanswered(&self, now: Instant) {
        let health = &mut self.lock().health;
        health.unanswered = health.unanswered.saturating_sub(1);
        if health.unanswered > 0 {
            return;
        }
        if health.is_silent(now) {
            health.back_off(now);
        }
        health.waiting_since = None;
    }

    /// Records an answer: how long it took, and whether it was a failure of the server itself.
    pub fn record_answer(&self, latency: Duration, is_failure: bool) {
        let mut state = self.lock();
        let health = &mut state.health;
        let observed = if is_failure { 1.0 } else { 0.0 };
        health.failure_ratio += EWMA_WEIGHT * (observed - health.failure_ratio);
        health.consecutive_failures = 0;
        health.backoff_until = None;
        health.record_activity(Instant::now());
        if !is_failure {
            let latency_ms = latency.as_secs_f64() * 1_000.0;
            let mean = health.latency_ms.get_or_insert(latency_ms);
            *mean += EWMA_WEIGHT * (latency_ms - *mean);
            health.answered_at = Some(Instant::now());
        }
    }

    /// Records the limit that the answer to a request of `sent_at` states, in requests per second. One
    /// that can't be read leaves the limit before in force.
    pub fn record_limit(
        &self,
        stated: &Stated<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> LimitChange {
        let state = &mut *self.lock();
        let (sent_at, now) = (sent_at.duration_since(self.origin), now - self.origin);
        let has_toggled = match stated {
            Stated::Value(limit_per_s) => {
                state.permits.record_stated(Some(*limit_per_s), sent_at, now)
            }
            Stated::Absent => state.permits.record_stated(None, sent_at, now),
            Stated::Malformed(_) => false,
        };
        let has_new_value = state.stated_limit != *stated;
        state.stated_limit.clone_from(stated);
        LimitChange { has_new_value, has_toggled }
    }

    /// Records what the meter says of the server's limit.
    pub fn apply_limit_report(&self, report: LimitReport, now: Instant) {
        self.lock().permits.apply_report(report, now - self.origin);
    }

    /// What is known of the server's limit; `None` if nothing ever was.
    pub fn limit_report(&self, now: Instant) -> Option<LimitReport> {
        self.lock().permits.report(now - self.origin)
    }

    /// Whether the server has a limit.
    pub fn is_limited(&self) -> bool {
        self.lock().permits.is_limited()
    }

    /// Records that a permit is asked for now. `false` if none can be asked for.
    pub fn begin_ask(&self, now: Instant) -> bool {
        self.lock().permits.begin_ask(now - self.origin)
    }

    /// Whether an ask for a permit may still be answered.
    pub fn is_asking(&self, now: Instant) -> bool {
        self.lock().permits.is_asking(now - self.origin)
    }

    /// Records the answer to the ask of `asked_at`.
    pub fn answer_ask(&self, asked_at: Instant, verdict: Verdict, now: Instant) {
        let asked_at = asked_at.saturating_duration_since(self.origin);
        self.lock().permits.answer(asked_at, verdict, now - self.origin);
    }

    /// Time until the server may take a request; zero if it takes one now.
    pub fn wait(&self, now: Instant) -> Duration {
        let state = self.lock();
        let at = now - self.origin;
        state.rest(now).max(state.permits.wait(at)).max(state.warmth.wait(at))
    }

    /// Records that the server leaves. This start of it gets no more requests. Returns whether this
    /// was not known before.
    pub fn record_leaving(&self) -> bool {
        let state = &mut *self.lock();
        state.idle.clear();
        !std::mem::replace(&mut state.is_leaving, true)
    }

    /// Records that the server asks for `rest`. A rest that it asked for before and that ends later
    /// goes on. `draw`, a random number between 0 and 1, spreads the entries that return.
    pub fn record_rest(&self, rest: Duration, draw: f64, now: Instant) {
        if rest.is_zero() {
            return;
        }
        let until = now + rest.mul_f64(1.0 + REST_SPREAD * draw);
        let state = &mut *self.lock();
        state.rest_until = state.rest_until.max(Some(until));
    }

    /// Records that the server could not be reached or did not answer.
    pub fn record_unreachable(&self, now: Instant) {
        let mut state = self.lock();
        // The idle connections are most likely dead as well.
        state.idle.clear();
        state.warmth.record_unreachable();
        let health = &mut state.health;
        health.failure_ratio += EWMA_WEIGHT * (1.0 - health.failure_ratio);
        health.back_off(now);
    }

    /// Records that another server has taken over the address: this one has ended, and its listing
    /// will be removed.
    pub fn record_gone(&self, now: Instant) {
        let mut state = self.lock();
        state.idle.clear();
        state.health.backoff_until = Some(now + GONE_BACKOFF);
    }

    pub(crate) fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A guard that counts a request as in flight at a server.
#[derive(Debug)]
pub struct InFlight {
    server: Arc<Server>,
    in_group: Option<GroupInFlight>,
    is_answered: bool,
    trial: Option<Trial>,
}

impl InFlight {
    /// Keeps other requests with a suspect of this one from being sent as long as it is in flight.
    pub fn set_trial(&mut self, trial: Option<Trial>) {
        self.trial = trial;
    }

    /// The rank group in which the request is counted; `None` for a server without one.
    pub fn group(&self) -> Option<&Arc<GroupLoad>> {
        self.in_group.as_ref().map(GroupInFlight::group)
    }

    /// The server to which the request was sent.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Records that the first bytes of the answer have arrived.
    pub fn record_first_byte(&mut self, now: Instant) {
        if !self.is_answered {
            self.is_answered = true;
            let state = &mut *self.server.lock();
            state.health.unanswered = state.health.unanswered.saturating_sub(1);
            state.health.record_activity(now);
            state.warmth.record_answered(now - self.server.origin);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.is_answered {
            self.server.record_unanswered(Instant::now());
        }
    }
}
