//! What an entry knows of one backend server from its own requests.

use crate::connection::Connection;
use crate::group::{GroupLoad, InGroup};
use flamingowheel_fleet::BackendServer;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Idle connections kept to one backend server. An entry has as many requests at one server at a
/// time as this; more connections would only hold descriptors at the server.
const MAX_IDLE: usize = 8;

/// An idle connection older than this is not used again: servers close idle ones, and a request
/// sent into the closing may be lost.
const MAX_IDLE_AGE: Duration = Duration::from_millis(1_500);

/// Weight of the newest observation in the moving averages.
const NEWEST_WEIGHT: f64 = 0.2;

/// First pause after a failure to reach a server; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// How long a server that has ended is passed over: its listing goes after three missed heartbeats.
const GONE_PAUSE: Duration = Duration::from_secs(4);

/// Sends whose time is remembered: more than one entry has in the time between two reports.
const SENT_REMEMBERED: usize = 16;

/// Silence after which a server that owes an answer is passed over, at the least: several passes of a
/// group under load.
const MIN_SILENCE: Duration = Duration::from_millis(600);

/// The same in usual times to an answer, for servers that are slow by nature.
const SILENCE_LATENCIES: f64 = 3.0;

/// Doublings of the pause at most: 150 ms to 2.4 s, well below the time that a server is away.
const MAX_DOUBLINGS: u32 = 4;

/// A backend server with the state of this entry's dealings with it.
#[derive(Debug)]
pub struct Server {
    /// As listed.
    pub listed: BackendServer,
    in_flight: Arc<AtomicU32>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    idle: Vec<(Instant, Connection)>,
    health: Health,
    /// When the newest requests were sent here.
    sent: VecDeque<Instant>,
}

/// Moving averages and the pause after failures.
#[derive(Clone, Debug, Default)]
struct Health {
    /// Share of answers that were failures.
    failure_ratio: f64,
    /// Mean time to an answer, in milliseconds; `None` before the first.
    latency_ms: Option<f64>,
    unreached_in_row: u32,
    paused_until: Option<Instant>,
    /// Requests that nothing has come back for yet.
    unanswered: u32,
    /// When the server last showed life, or got the first of the unanswered requests.
    waiting_since: Option<Instant>,
}

impl Health {
    /// The longest time without a sign of life that says nothing against the server.
    fn silence_limit(&self) -> Duration {
        let usual_ms = self.latency_ms.unwrap_or(0.0) * SILENCE_LATENCIES;
        MIN_SILENCE.max(Duration::from_secs_f64(usual_ms / 1_000.0))
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.waiting_since.is_some_and(|since| now - since > self.silence_limit())
    }

    fn note_life(&mut self, now: Instant) {
        self.waiting_since = (self.unanswered > 0).then_some(now);
    }

    fn pause(&mut self, now: Instant) {
        let doublings = self.unreached_in_row.min(MAX_DOUBLINGS);
        self.unreached_in_row += 1;
        self.paused_until = Some(now + FIRST_PAUSE * 2_u32.pow(doublings));
    }
}

/// What the choice of a server needs to know of it, at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Requests of this entry at the server.
    pub in_flight: u32,
    /// Share of answers that were failures.
    pub failure_ratio: f64,
    /// Mean time to an answer, in milliseconds.
    pub latency_ms: Option<f64>,
    /// Whether the server could not be reached a moment ago.
    pub is_paused: bool,
    /// Whether the server owes answers and has shown no life for long. Its VM may stand still:
    /// connections open as ever, and nothing comes back.
    pub is_silent: bool,
}

impl Server {
    /// A server nothing is known of yet but its listing.
    pub fn new(listed: BackendServer) -> Self {
        Self { listed, in_flight: Arc::default(), state: Arc::default() }
    }

    /// The same start of the server under a changed listing; what is known of it stays.
    pub fn relisted(&self, listed: BackendServer) -> Self {
        let (in_flight, state) = (Arc::clone(&self.in_flight), Arc::clone(&self.state));
        Self { listed, in_flight, state }
    }

    /// Whether a listing is that of the same start of the same server.
    pub fn is_same_start(&self, listed: &BackendServer) -> bool {
        self.listed.started_ms == listed.started_ms
            && self.listed.address == listed.address
            && self.listed.service == listed.service
    }

    /// What is known now.
    pub fn standing(&self, now: Instant) -> Standing {
        let state = self.lock();
        Standing {
            in_flight: self.in_flight.load(Ordering::Relaxed),
            failure_ratio: state.health.failure_ratio,
            latency_ms: state.health.latency_ms,
            is_paused: state.health.paused_until.is_some_and(|until| now < until),
            is_silent: state.health.is_silent(now),
        }
    }

    /// Counts a request at the server, and in its group, until the guard is dropped.
    pub fn begin(self: &Arc<Self>, group: Option<&Arc<GroupLoad>>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let state = &mut *self.lock();
        state.health.unanswered += 1;
        state.health.waiting_since.get_or_insert(now);
        state.sent.push_back(now);
        if state.sent.len() > SENT_REMEMBERED {
            state.sent.pop_front();
        }
        let in_group = group.map(GroupLoad::begin);
        InFlight { server: Arc::clone(self), in_group, is_answered: false }
    }

    /// Requests that were sent here since a moment.
    pub fn sent_since(&self, moment: Instant) -> u32 {
        let newer = self.lock().sent.iter().rev().take_while(|at| **at > moment).count();
        u32::try_from(newer).unwrap_or(u32::MAX)
    }

    /// Takes an idle connection that can still be used.
    pub fn take_idle(&self, now: Instant) -> Option<Connection> {
        let mut state = self.lock();
        while let Some((since, connection)) = state.idle.pop() {
            if now.duration_since(since) < MAX_IDLE_AGE && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has ended.
    pub fn put_idle(&self, connection: Connection, now: Instant) {
        let mut state = self.lock();
        state.idle.retain(|(since, _)| now.duration_since(*since) < MAX_IDLE_AGE);
        if state.idle.len() < MAX_IDLE {
            state.idle.push((now, connection));
        }
    }

    /// Closes the idle connections.
    pub fn close_idle(&self) {
        self.lock().idle.clear();
    }

    /// Notes that something came from the server.
    pub fn note_life(&self, now: Instant) {
        self.lock().health.note_life(now);
    }

    /// Notes that a request ended for which nothing had come back. Once nobody waits for the server any
    /// more, a silent one is paused: after that one request finds out whether it answers again.
    fn note_unanswered(&self, now: Instant) {
        let health = &mut self.lock().health;
        health.unanswered = health.unanswered.saturating_sub(1);
        if health.unanswered > 0 {
            return;
        }
        if health.is_silent(now) {
            health.pause(now);
        }
        health.waiting_since = None;
    }

    /// Notes an answer: how long it took, and whether it was a failure of the server's own.
    pub fn note_answer(&self, latency: Duration, is_failure: bool) {
        let mut state = self.lock();
        let health = &mut state.health;
        let observed = if is_failure { 1.0 } else { 0.0 };
        health.failure_ratio += NEWEST_WEIGHT * (observed - health.failure_ratio);
        health.unreached_in_row = 0;
        health.paused_until = None;
        health.note_life(Instant::now());
        if !is_failure {
            let latency_ms = latency.as_secs_f64() * 1_000.0;
            let mean = health.latency_ms.get_or_insert(latency_ms);
            *mean += NEWEST_WEIGHT * (latency_ms - *mean);
        }
    }

    /// Notes that the server could not be reached or did not answer.
    pub fn note_unreached(&self, now: Instant) {
        let mut state = self.lock();
        // What is idle most likely leads to the same dead end.
        state.idle.clear();
        let health = &mut state.health;
        health.failure_ratio += NEWEST_WEIGHT * (1.0 - health.failure_ratio);
        health.pause(now);
    }

    /// Notes that another server has its address: it has ended, and its listing will go.
    pub fn note_gone(&self, now: Instant) {
        let mut state = self.lock();
        state.idle.clear();
        state.health.paused_until = Some(now + GONE_PAUSE);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request at a server.
#[derive(Debug)]
pub struct InFlight {
    server: Arc<Server>,
    in_group: Option<InGroup>,
    is_answered: bool,
}

impl InFlight {
    /// The server's rank group.
    pub fn group(&self) -> Option<&Arc<GroupLoad>> {
        self.in_group.as_ref().map(InGroup::group)
    }

    /// The server.
    pub fn server(&self) -> &Arc<Server> {
        &self.server
    }

    /// Notes that the first bytes of the answer have come.
    pub fn note_answered(&mut self, now: Instant) {
        if !self.is_answered {
            self.is_answered = true;
            let health = &mut self.server.lock().health;
            health.unanswered = health.unanswered.saturating_sub(1);
            health.note_life(now);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.is_answered {
            self.server.note_unanswered(Instant::now());
        }
    }
}
