//! Counts and violations of a run.

use crate::signals::Call;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Violation {
    /// Work that must not be repeated ran more than once.
    #[error("attempt {attempt} ran {runs} times")]
    RanTwice {
        /// Id of the attempt.
        attempt: String,
        /// Number of runs, over all backend servers.
        runs: u32,
    },
    /// An attempt that ran got a status that reports "not run".
    #[error("attempt {attempt} was answered {status} and ran")]
    FalseRefusal {
        /// Id of the attempt.
        attempt: String,
        /// HTTP status of the answer.
        status: u16,
    },
    /// A success that lacks the backend server's signature or its complete answer to this attempt.
    #[error("attempt {attempt} got a wrong or partial answer as a success: {body:?}")]
    WrongAnswer {
        /// Id of the attempt.
        attempt: String,
        /// Body of the answer.
        body: String,
    },
    /// A valid request got a status that rejects it as invalid.
    #[error("attempt {attempt} was denied with {status}")]
    Denied {
        /// Id of the attempt.
        attempt: String,
        /// HTTP status of the answer.
        status: u16,
    },
    /// A backend server got more requests within 4 s than its limit allows, from entries that knew
    /// it.
    #[error(
        "{server} with a limit of {limit_per_s}/s got {requests} requests in 4 s, not {allowed}"
    )]
    OverLimit {
        /// Name of the server.
        server: String,
        /// Its limit, in requests per second.
        limit_per_s: f64,
        /// Number of requests.
        requests: usize,
        /// Most requests that are allowed.
        allowed: usize,
    },
    /// A cold backend server got more requests within a second than it may, from all entries.
    #[error("{server} got {requests} requests in a second while cold, not {allowed}")]
    OverCold {
        /// Name of the server.
        server: String,
        /// Number of requests.
        requests: usize,
        /// Most requests that are allowed.
        allowed: usize,
    },
    /// More than two requests of an entry reached a backend server within the rest that it had asked
    /// that entry for.
    #[error("{server} got {requests} requests of entry {entry} within the rest that it asked for")]
    RestBroken {
        /// Name of the server.
        server: String,
        /// The entry, by its index.
        entry: usize,
        /// Number of requests.
        requests: usize,
    },
    /// A request reached a backend server later than 2 s after its entry had passed on that the
    /// server leaves.
    #[error("{server}, which leaves, got a request of entry {entry}")]
    SentToLeaving {
        /// Name of the server.
        server: String,
        /// The entry, by its index.
        entry: usize,
    },
    /// A request reached a backend server later than 2 s after its data centre was evacuated.
    #[error("{server}, which is evacuated, got a request of entry {entry}")]
    SentToEvacuated {
        /// Name of the server.
        server: String,
        /// The entry, by its index.
        entry: usize,
    },
    /// More arrivals beyond the first of each attempt within 10 s than the deployment allows.
    #[error(
        "{retries} arrivals beyond the first of their attempts in 10 s, for {attempts} attempts"
    )]
    OverRetryBudget {
        /// Arrivals beyond the first.
        retries: usize,
        /// Attempts that arrived.
        attempts: usize,
    },
    /// A request sent later than 2 s after the acknowledgement of a version was handled as only an
    /// older one allows, by an entry in touch.
    #[error("entry {entry} answered {status} as if version {version} were not in force")]
    NotInForce {
        /// The entry, by its index.
        entry: usize,
        /// The version.
        version: u64,
        /// HTTP status of the answer.
        status: u16,
    },
    /// A request was sent on to servers although three had ended under it.
    #[error(
        "{path} was sent {sends} times later than 3 s after three (parts: five) servers; {ended} ended"
    )]
    SentOn {
        /// Path of the request, or id of the part of prompts.
        path: String,
        /// Number of sends by entries without a fault.
        sends: usize,
        /// Number of servers that ended.
        ended: usize,
    },
    /// A request that an entry had read got neither a whole answer nor a proper refusal.
    #[error(
        "entry {entry} cut {attempt}{}: {seen}",
        .after_stop_ms.map(|ms| format!(" {ms} ms after its stop signal")).unwrap_or_default()
    )]
    Cut {
        /// Id of the attempt.
        attempt: String,
        /// The entry, by its index.
        entry: usize,
        /// Time from the stop signal to the end, in milliseconds; `None` if it got none.
        after_stop_ms: Option<u128>,
        /// What the caller saw.
        seen: String,
    },
    /// Requests that servers got have no line on their end in the log of their entry.
    #[error("{count} requests have no end in the log")]
    WithoutEnd {
        /// Their number.
        count: usize,
    },
    /// A stopped entry ended too late.
    #[error("entry {entry} ended {took_ms} ms after its stop signal, not {allowed_ms} ms")]
    SlowStop {
        /// The entry, by its index.
        entry: usize,
        /// Time to its end, in milliseconds.
        took_ms: u128,
        /// Longest time that is allowed, in milliseconds.
        allowed_ms: u128,
    },
    /// Too few requests were served after the last fault.
    #[error("{served} of {asked} requests were served after the last fault")]
    NotRecovered {
        /// Number of probe requests that were served.
        served: u32,
        /// Number of probe requests that were sent.
        asked: u32,
    },
}

/// Counts and violations.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests with an answer or an error.
    pub asked: u32,
    /// Answers with status 200.
    pub served: u32,
    /// Answers with a status that reports "not run".
    pub refused: u32,
    /// Unknown outcomes: other statuses, broken answers, no answer.
    pub unknown: u32,
    /// Requests to entries in touch that showed whether a configuration was in force.
    pub probes: usize,
    /// Backend servers that ended under requests.
    pub ends: usize,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// All requests.
    pub calls: Vec<Call>,
}

/// Tally shared by all callers.
#[derive(Clone, Debug, Default)]
pub struct SharedTally(Arc<Mutex<Tally>>);

impl SharedTally {
    /// Changes the tally.
    pub fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Tally),
    {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Copy of the tally so far.
    pub fn read(&self) -> Tally {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { asked, served, refused, unknown, probes, ends, violations, .. } = self;
        write!(f, "{asked} asked, {served} served, {refused} refused, {unknown} unknown, ")?;
        write!(f, "{probes} probes of configurations, {ends} servers ended, ")?;
        write!(f, "{} violations", violations.len())?;
        violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}
