//! The retry budget.
//!
//! The deployment limits the retries of each service over all entries: to a share of the service's
//! requests in a window, plus a constant. Each entry applies the share to its own requests and
//! takes its part of the constant, so that the total holds without communication.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Buckets of a window; retries expire a bucket at a time.
const BUCKETS: u32 = 20;

/// Share of the allowance that is used. The rest covers an entry that died within the window and
/// whose successor starts with a full allowance, and requests that are counted in the windows of
/// two entries.
const USED_SHARE: f64 = 0.6;

/// The retries that the deployment allows for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request of the service.
    pub ratio: f64,
    /// Additional retries in each window, over all entries.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Why a request is sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryCause {
    /// A server refused it and did not run it.
    Refused,
    /// It could not be sent.
    NotSent,
    /// It was sent, and the connection broke or stayed silent.
    Lost,
    /// A server answered with an error.
    ServerError,
    /// A stream is resumed after the last event that was relayed.
    Resumed,
}

impl RetryCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
            Self::ServerError => "server_error",
            Self::Resumed => "resumed",
        }
    }
}

/// What a retry was allowed or denied by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Account {
    /// Requests of the service at this entry in the window.
    pub requests: u32,
    /// Retries of this entry in the window, with the present one if it is allowed.
    pub retries: u32,
    /// The most retries that this entry may make in the window.
    pub allowed: f64,
    /// Number of entries that the constant is divided by.
    pub entries: usize,
}

impl Account {
    /// Retries that are left in the window.
    pub fn room(&self) -> f64 {
        (self.allowed - f64::from(self.retries)).max(0.0)
    }
}

/// Requests and retries of this entry, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    services: HashMap<String, Window>,
}

#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Creates a budget without any requests or retries yet.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, services: HashMap::new() }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, service: &str, now: Instant) {
        self.current_bucket(service, now).requests += 1;
    }

    /// Takes a retry out of this entry's budget, if there is room. `entries` entries share the
    /// constant.
    ///
    /// # Errors
    ///
    /// The unchanged account, if the budget is used up.
    ///
    /// ```
    /// use flamingowheel_gateway::budget::{Allowance, RetryBudget};
    /// let window = std::time::Duration::from_secs(10);
    /// let mut budget = RetryBudget::new(Allowance { ratio: 0.2, slack: 10.0, window });
    /// let now = tokio::time::Instant::now();
    /// let taken = (0..20).filter(|_| budget.try_acquire("s", 2, now).is_ok()).count();
    /// assert_eq!(taken, 3);
    /// ```
    pub fn try_acquire(
        &mut self,
        service: &str,
        entries: usize,
        now: Instant,
    ) -> Result<Account, Account> {
        let Allowance { ratio, slack, .. } = self.allowance;
        self.current_bucket(service, now);
        let window = self.services.entry(service.to_owned()).or_default();
        let requests: u32 = window.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = window.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = (f64::from(requests) * ratio + slack / entries as f64) * USED_SHARE;
        let account = Account { requests, retries, allowed, entries };
        if f64::from(retries + 1) > allowed {
            return Err(account);
        }
        if let Some(bucket) = window.buckets.back_mut() {
            bucket.retries += 1;
        }
        Ok(Account { retries: retries + 1, ..account })
    }

    fn current_bucket(&mut self, service: &str, now: Instant) -> &mut Bucket {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Window::default());
        }
        let window = self.services.entry(service.to_owned()).or_default();
        let length = self.allowance.window;
        while window.buckets.front().is_some_and(|bucket| now.duration_since(bucket.start) > length)
        {
            window.buckets.pop_front();
        }
        let is_current =
            window.buckets.back().is_some_and(|bucket| now < bucket.start + length / BUCKETS);
        if !is_current {
            window.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = window.buckets.len() - 1;
        &mut window.buckets[last]
    }
}
