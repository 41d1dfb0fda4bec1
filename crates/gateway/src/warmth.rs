//! What an entry knows of a backend server's warmth, and its permits while the server is cold.

use crate::server::Server;
use flamingowheel_fleet::configuration::WarmUp;
use flamingowheel_fleet::settings::Bounds;
use flamingowheel_policy::cold::{ColdAllowance, MAX_LIST_AGE, Standing, Tenure};
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::permits::Verdict;
use flamingowheel_protocol::permits::ColdReport;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// What a deployment permits cold servers beyond what they tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Requests per second, relative to what they tolerate.
    pub ratio: f64,
    /// Requests in a second in addition to that.
    pub slack: f64,
}

impl From<&Bounds> for ColdBounds {
    fn from(bounds: &Bounds) -> Self {
        Self { ratio: bounds.cold_ratio, slack: bounds.cold_slack }
    }
}

impl ColdBounds {
    /// What a server of a service that warms up like this may get while cold.
    pub fn allowance(&self, warm_up: &WarmUp) -> ColdAllowance {
        ColdAllowance::new(warm_up.rate_per_s, self.ratio, self.slack)
    }
}

/// The lists of entries that this process has seen lately, which tell whether it is the only meter of
/// a server.
#[derive(Debug)]
pub struct EntryTenure {
    origin: Instant,
    seen: Mutex<Seen>,
}

#[derive(Debug)]
struct Seen {
    tenure: Tenure,
    /// When the newest list was complete.
    complete_at: Option<Instant>,
}

impl EntryTenure {
    /// Creates the tenure of the entry on `vm`, which starts now.
    pub fn new(vm: &str) -> Self {
        let seen = Seen { tenure: Tenure::new(vm, Duration::ZERO), complete_at: None };
        Self { origin: Instant::now(), seen: Mutex::new(seen) }
    }

    /// Takes a list of entries that was complete `age` ago; `None` if it never was.
    pub fn observe<'a, Names>(&self, vms: Names, age: Option<Duration>, now: Instant)
    where
        Names: IntoIterator<Item = &'a str>,
    {
        let mut seen = self.lock();
        seen.tenure.observe(vms, now - self.origin);
        seen.complete_at = age.and_then(|age| now.checked_sub(age));
    }

    /// Whether this entry is the only meter of a server.
    pub fn standing(&self, server: ServerKey, now: Instant) -> Standing {
        let seen = self.lock();
        let age = seen.complete_at.map_or(MAX_LIST_AGE, |at| now - at);
        seen.tenure.standing(server, age, now - self.origin)
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Server {
    /// Sets what the server may get while cold, `None` if it needs no time to warm up, and the
    /// number of entries that share it.
    pub fn set_cold_allowance(&self, allowance: Option<ColdAllowance>, entries: usize) {
        self.lock().warmth.set_allowance(allowance, entries);
    }

    /// Records that the server remains cold for `left`. Returns whether it was taken for warm.
    pub fn record_cold(&self, left: Duration, now: Instant) -> bool {
        self.lock().warmth.record_cold(left, now - self.origin)
    }

    pub(crate) fn record_listed_cold(&self) {
        let left = Duration::from_millis(self.listed.cold_left_ms);
        self.record_cold(left, Instant::now());
    }

    /// Records how a start is listed first. One that is warm is taken for one that has answered:
    /// requests to a fleet whose entries have just started must not wait for permits.
    pub(crate) fn record_listed_start(&self) {
        let warmth = &mut self.lock().warmth;
        match self.listed.cold_left_ms {
            0 => warmth.record_answered(Duration::ZERO),
            _ => warmth.record_start(),
        }
    }

    /// Time for which the server remains cold, as far as is known.
    pub fn cold_left(&self, now: Instant) -> Duration {
        self.lock().warmth.left(now - self.origin)
    }

    /// What is known of the server's warmth; `None` if it needs no time to warm up.
    pub fn cold_report(&self, now: Instant) -> Option<ColdReport> {
        let state = self.lock();
        let allowance = state.warmth.allowance()?;
        Some(ColdReport { left: state.warmth.left(now - self.origin), allowance })
    }

    /// Records that a permit for the cold server is asked for now. `false` if none can be asked for.
    pub fn begin_cold_ask(&self, now: Instant) -> bool {
        self.lock().warmth.begin_ask(now - self.origin)
    }

    /// Whether an ask for a permit for the cold server may still be answered.
    pub fn is_asking_cold(&self, now: Instant) -> bool {
        self.lock().warmth.is_asking(now - self.origin)
    }

    /// Records the answer to the ask of `asked_at` for a permit for the cold server.
    pub fn answer_cold_ask(&self, asked_at: Instant, verdict: Verdict, now: Instant) {
        let asked_at = asked_at.saturating_duration_since(self.origin);
        self.lock().warmth.answer(asked_at, verdict, now - self.origin);
    }
}
