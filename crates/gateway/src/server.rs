//! What an entry knows of one backend server from its own requests.

use crate::connection::Connection;
use crate::group::{GroupLoad, InGroup};
use flamingowheel_fleet::BackendServer;
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
        }
    }

    /// Counts a request at the server, and in its group, until the guard is dropped.
    pub fn begin(self: &Arc<Self>, group: Option<&Arc<GroupLoad>>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { server: Arc::clone(self), in_group: group.map(GroupLoad::begin) }
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

    /// Notes an answer: how long it took, and whether it was a failure of the server's own.
    pub fn note_answer(&self, latency: Duration, is_failure: bool) {
        let mut state = self.lock();
        let health = &mut state.health;
        let observed = if is_failure { 1.0 } else { 0.0 };
        health.failure_ratio += NEWEST_WEIGHT * (observed - health.failure_ratio);
        health.unreached_in_row = 0;
        health.paused_until = None;
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
        let doublings = health.unreached_in_row.min(MAX_DOUBLINGS);
        health.unreached_in_row += 1;
        health.paused_until = Some(now + FIRST_PAUSE * 2_u32.pow(doublings));
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
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
