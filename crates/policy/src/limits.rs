//! Limits of a workspace, split over the entries of its subset.
//!
//! Each of the k entries gets 1/k of all three limits. An entry with higher demand borrows from
//! peers with lower demand. A loan expires after a fixed duration, which the borrower counts from
//! its loan request and the lender from the later grant. So clocks don't need to be synchronised,
//! and no share is ever used by two entries.
//!
//! Bound: while the entries agree on the subset, requests and tokens admitted in any window `w` are
//! at most `limit * (w + burst)` plus one request per member, even if messages are lost, delayed or
//! duplicated. While they disagree, each entry that joined or left and is not yet known everywhere
//! adds at most `1/k` of the limit; so does an entry that restarts, until the loans that it granted
//! expire. Requests in flight are at most the limit plus one per member (shares are rounded up, or
//! a small limit could not be used at all), plus those started on loans that have since expired:
//! running requests are not aborted. Tokens are charged by estimate and corrected at the end of the
//! request, so they can exceed the bound by the underestimate of the requests in flight.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::EntryKey;

/// Limits of a workspace, for all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests started per second.
    pub requests_per_s: f64,
    /// Prompt and generated tokens per second.
    pub tokens_per_s: f64,
    /// Requests in flight at the same time.
    pub in_flight: u32,
}

/// Settings of the split over entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SplitConfig {
    /// Size of the token buckets, as time at the full rate.
    pub burst: Duration,
    /// Time after which a loan expires.
    pub loan_duration: Duration,
    /// Shortest time between two loan requests.
    pub loan_request_interval: Duration,
    /// The interval doubles, up to this, after each round in which no peer granted a loan.
    /// Otherwise the members of a workspace at its limit would keep sending each other loan
    /// requests.
    pub max_loan_request_interval: Duration,
    /// Time constant of the decayed demand rates.
    pub demand_window: Duration,
}

impl Default for SplitConfig {
    fn default() -> Self {
        Self {
            burst: Duration::from_secs(1),
            loan_duration: Duration::from_secs(5),
            loan_request_interval: Duration::from_millis(100),
            max_loan_request_interval: Duration::from_millis(1_600),
            demand_window: Duration::from_secs(1),
        }
    }
}

/// Which limit refused a request, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitRefusal {
    /// The limit of requests per second is reached.
    #[error("request rate limit reached")]
    Requests {
        /// Time until this entry can admit the request.
        retry_after: Duration,
    },
    /// The limit of tokens per second is reached.
    #[error("token rate limit reached")]
    Tokens {
        /// Time until this entry can admit the request.
        retry_after: Duration,
    },
    /// The limit of requests in flight is reached.
    #[error("limit of requests in flight reached")]
    InFlight,
    /// This entry is outside the workspace's subset and has borrowed nothing yet.
    #[error("this entry holds no share of the workspace's limits")]
    NoShare,
}

/// Request to a peer for a part of its share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Sequence number per borrower and workspace.
    pub number: u64,
    /// Requested part of the whole limit, from 0 to 1.
    pub share: f64,
    /// Number of an earlier loan from this lender that the borrower returns.
    pub returns: Option<u64>,
}

/// Answer to a [`LoanRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Number of the loan request that this answers.
    pub number: u64,
    /// Granted part of the whole limit; zero if none.
    pub share: f64,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    number: u64,
    sent_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct HeldLoan {
    lender: EntryKey,
    number: u64,
    share: f64,
    expires_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLoan {
    share: f64,
    expires_at: Duration,
}

/// A token bucket whose rate and size follow the share.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    level: f64,
}

impl Bucket {
    /// A full bucket holds at least `min_size`, whatever the rate.
    fn refill(&mut self, rate_per_s: f64, elapsed: Duration, burst: Duration, min_size: f64) {
        let size = (rate_per_s * burst.as_secs_f64()).max(min_size);
        self.level = (self.level + rate_per_s * elapsed.as_secs_f64()).min(size);
    }

    /// Time until `amount` can be taken.
    fn wait(&self, amount: f64, rate_per_s: f64) -> Duration {
        let missing = (amount - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / rate_per_s).unwrap_or(MAX_WAIT)
    }
}

/// Reported where the wait is too long for a [`Duration`] or undefined, as with a rate of zero.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Factor by which a lender keeps more, and a borrower requests more, than its own demand.
const HEADROOM: f64 = 1.2;
/// Part of its base share that an entry never lends, so that its first requests after an idle
/// period are not refused until a loan expires.
const MIN_KEPT_PART: f64 = 0.1;
/// Smallest size of the request bucket; the bucket of a small limit would admit no request
/// otherwise.
const MIN_REQUEST_BUCKET: f64 = 1.0;
/// Smallest part of a limit for which a loan is requested or granted.
const MIN_LOAN: f64 = 0.005;
/// A loan request is for at least this part of a limit.
const MIN_REQUESTED_SHARE: f64 = 0.02;
/// Largest minimum of a loan request; only higher demand leads to a larger one.
const MAX_MIN_REQUESTED_SHARE: f64 = 0.4;
/// The minimum requested share refills the bucket by one request in this time, so that the first
/// request at an entry waits only briefly.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(250);
/// Part of a loan's duration after which the borrower renews it.
const RENEWAL_PART: f64 = 0.6;

/// One entry's share of a workspace's limits.
///
/// ```
/// use flamingowheel_policy::key::EntryKey;
/// use flamingowheel_policy::limits::{Limits, SplitConfig, WorkspaceLimits};
/// use std::time::Duration;
/// let limits = Limits { requests_per_s: 2.0, tokens_per_s: 1e6, in_flight: 10 };
/// let config = SplitConfig::default();
/// let mut entry = WorkspaceLimits::new(config, limits, EntryKey(1), Duration::ZERO);
/// entry.set_members(&[EntryKey(1)], Duration::ZERO);
/// let now = Duration::from_secs(1);
/// assert!(entry.try_admit(100.0, now).is_ok());
/// assert!(entry.try_admit(100.0, now).is_ok());
/// assert!(entry.try_admit(100.0, now).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct WorkspaceLimits {
    config: SplitConfig,
    limits: Limits,
    own_key: EntryKey,
    base_share: f64,
    peers: Vec<EntryKey>,
    next_peer: usize,
    last_request_number: u64,
    pending: HashMap<EntryKey, PendingRequest>,
    last_request_at: Option<Duration>,
    request_interval: Duration,
    ungranted_requests: usize,
    held: Vec<HeldLoan>,
    granted: HashMap<(EntryKey, u64), GrantedLoan>,
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
    /// Decayed rates of what callers requested, whether or not it was admitted.
    demand_requests_per_s: f64,
    demand_tokens_per_s: f64,
    updated_at: Duration,
}

impl WorkspaceLimits {
    /// Starts without a share until [`WorkspaceLimits::set_members`] is called.
    #[must_use]
    pub fn new(config: SplitConfig, limits: Limits, own_key: EntryKey, now: Duration) -> Self {
        Self {
            config,
            limits,
            own_key,
            base_share: 0.0,
            peers: Vec::new(),
            next_peer: 0,
            last_request_number: 0,
            pending: HashMap::new(),
            last_request_at: None,
            request_interval: config.loan_request_interval,
            ungranted_requests: 0,
            held: Vec::new(),
            granted: HashMap::new(),
            requests: Bucket::default(),
            tokens: Bucket::default(),
            in_flight: 0,
            demand_requests_per_s: 0.0,
            demand_tokens_per_s: 0.0,
            updated_at: now,
        }
    }

    /// Sets the members of the workspace's subset, which determines the base share.
    pub fn set_members(&mut self, members: &[EntryKey], now: Duration) {
        self.update(now);
        let is_member = members.contains(&self.own_key);
        self.base_share = if is_member { 1.0 / members.len() as f64 } else { 0.0 };
        self.peers = members.iter().copied().filter(|member| *member != self.own_key).collect();
        self.next_peer = 0;
    }

    /// Replaces the workspace's limits.
    pub fn set_limits(&mut self, limits: Limits, now: Duration) {
        self.update(now);
        self.limits = limits;
    }

    /// Part of the limits that this entry may use now: its base share minus loans granted plus
    /// loans held.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        let held: f64 =
            self.held.iter().filter(|held| held.expires_at > now).map(|h| h.share).sum();
        (self.base_share - self.granted_share(now) + held).max(0.0)
    }

    /// Admits a request that is expected to use `tokens` tokens.
    ///
    /// # Errors
    ///
    /// When one of the limits is reached; nothing is charged then.
    pub fn try_admit(&mut self, tokens: f64, now: Duration) -> Result<(), LimitRefusal> {
        self.update(now);
        self.record_demand(tokens);
        let share = self.share(now);
        if share <= 0.0 {
            return Err(LimitRefusal::NoShare);
        }
        if f64::from(self.in_flight) >= (f64::from(self.limits.in_flight) * share).ceil() {
            return Err(LimitRefusal::InFlight);
        }
        let wait = self.requests.wait(1.0, self.limits.requests_per_s * share);
        if !wait.is_zero() {
            return Err(LimitRefusal::Requests { retry_after: wait });
        }
        let rate_per_s = self.limits.tokens_per_s * share;
        // A request larger than the bucket is admitted once the bucket is full, and makes its level
        // negative.
        let needed = tokens.min(rate_per_s * self.config.burst.as_secs_f64());
        let wait = self.tokens.wait(needed, rate_per_s);
        if !wait.is_zero() {
            return Err(LimitRefusal::Tokens { retry_after: wait });
        }
        self.requests.level -= 1.0;
        self.tokens.level -= tokens;
        self.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request has ended, and charges the difference between expected and
    /// actual tokens.
    pub fn finish(&mut self, expected_tokens: f64, tokens: f64, now: Duration) {
        self.update(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens.level -= tokens - expected_tokens;
    }

    /// Returns the next loan request and the peer to send it to, if a loan is needed now.
    pub fn next_loan_request(&mut self, now: Duration) -> Option<(EntryKey, LoanRequest)> {
        self.update(now);
        let is_early = self.last_request_at.is_some_and(|last| now < last + self.request_interval);
        if is_early || self.peers.is_empty() {
            return None;
        }
        let renewed = self.remove_renewable(now);
        let missing = self.demand_share() - self.share(now);
        if missing < MIN_LOAN {
            return None;
        }
        let missing = missing.max(self.min_requested_share());
        let lender = renewed.map_or_else(|| self.pick_peer(), |held| held.lender);
        self.last_request_number += 1;
        self.back_off();
        self.last_request_at = Some(now);
        self.pending
            .insert(lender, PendingRequest { number: self.last_request_number, sent_at: now });
        let returns = renewed.map(|held| held.number);
        Some((lender, LoanRequest { number: self.last_request_number, share: missing, returns }))
    }

    /// Grants a loan from the part of the base share that this entry's demand leaves. A duplicate
    /// of a request grants nothing.
    pub fn lend(&mut self, borrower: EntryKey, request: &LoanRequest, now: Duration) -> Loan {
        self.update(now);
        let number = request.number;
        if self.granted.contains_key(&(borrower, number)) {
            return Loan { number, share: 0.0 };
        }
        if let Some(returned) = request.returns {
            self.granted.remove(&(borrower, returned));
        }
        // Borrowed shares are not lent again: a second borrower could not tell when they expire.
        let held: f64 = self.held.iter().map(|held| held.share).sum();
        let reserved = (self.demand_share() - held).max(self.base_share * MIN_KEPT_PART);
        let spare = self.base_share - self.granted_share(now) - reserved;
        let share = request.share.min(spare);
        if share < MIN_LOAN {
            return Loan { number, share: 0.0 };
        }
        let expires_at = now + self.config.loan_duration;
        self.granted.insert((borrower, number), GrantedLoan { share, expires_at });
        self.clamp(now);
        Loan { number, share }
    }

    /// Applies a loan. A loan that does not answer the last request to this lender is dropped: its
    /// duration would be counted from the wrong time.
    pub fn on_loan(&mut self, lender: EntryKey, loan: &Loan, now: Duration) {
        self.update(now);
        let Some(pending) = self.pending.get(&lender).copied() else { return };
        if pending.number != loan.number {
            return;
        }
        self.pending.remove(&lender);
        let expires_at = pending.sent_at + self.config.loan_duration;
        if loan.share <= 0.0 || expires_at <= now {
            return;
        }
        self.ungranted_requests = 0;
        self.request_interval = self.config.loan_request_interval;
        self.held.push(HeldLoan { lender, number: loan.number, share: loan.share, expires_at });
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn granted_share(&self, now: Duration) -> f64 {
        self.granted
            .values()
            .filter(|granted| granted.expires_at > now)
            .map(|granted| granted.share)
            .sum()
    }

    /// Part of the limits that the demand requires, including headroom.
    fn demand_share(&self) -> f64 {
        let requests = self.demand_requests_per_s / self.limits.requests_per_s;
        let tokens = self.demand_tokens_per_s / self.limits.tokens_per_s;
        let in_flight = f64::from(self.in_flight) / f64::from(self.limits.in_flight);
        let share = requests.max(tokens).max(in_flight) * HEADROOM;
        if share.is_finite() { share.min(1.0) } else { 0.0 }
    }

    fn min_requested_share(&self) -> f64 {
        let share = 1.0 / (self.limits.requests_per_s * FIRST_REQUEST_WAIT.as_secs_f64());
        share.clamp(MIN_REQUESTED_SHARE, MAX_MIN_REQUESTED_SHARE)
    }

    fn record_demand(&mut self, tokens: f64) {
        let window = self.config.demand_window.as_secs_f64();
        self.demand_requests_per_s += 1.0 / window;
        self.demand_tokens_per_s += tokens / window;
    }

    /// Removes a loan that is about to expire. The share is given up before the lender receives the
    /// return.
    fn remove_renewable(&mut self, now: Duration) -> Option<HeldLoan> {
        let renewal_window = self.config.loan_duration.mul_f64(1.0 - RENEWAL_PART);
        let index = self.held.iter().position(|held| held.expires_at < now + renewal_window)?;
        let held = self.held.swap_remove(index);
        self.clamp(now);
        Some(held)
    }

    /// Counts a loan request as ungranted until a loan arrives. Once each peer was asked without a
    /// grant, the interval doubles.
    fn back_off(&mut self) {
        self.ungranted_requests += 1;
        if self.ungranted_requests > self.peers.len() {
            self.ungranted_requests = 0;
            self.request_interval =
                (self.request_interval * 2).min(self.config.max_loan_request_interval);
        }
    }

    fn pick_peer(&mut self) -> EntryKey {
        let peer = self.peers[self.next_peer % self.peers.len()];
        self.next_peer += 1;
        peer
    }

    /// Advances buckets and demand to `now` and removes expired loans.
    fn update(&mut self, now: Duration) {
        let mut expiries: Vec<Duration> = self.held.iter().map(|held| held.expires_at).collect();
        expiries.extend(self.granted.values().map(|granted| granted.expires_at));
        expiries.retain(|expiry| *expiry > self.updated_at && *expiry < now);
        expiries.sort_unstable();
        expiries.push(now);
        for expiry in expiries {
            self.refill(expiry);
        }
        self.held.retain(|held| held.expires_at > now);
        self.granted.retain(|_, granted| granted.expires_at > now);
        self.clamp(now);
    }

    /// Refills the buckets over a period in which the share is constant.
    fn refill(&mut self, until: Duration) {
        let share = self.share(self.updated_at);
        let elapsed = until.saturating_sub(self.updated_at);
        let burst = self.config.burst;
        self.requests.refill(
            self.limits.requests_per_s * share,
            elapsed,
            burst,
            MIN_REQUEST_BUCKET,
        );
        self.tokens.refill(self.limits.tokens_per_s * share, elapsed, burst, 0.0);
        let decay = (-elapsed.as_secs_f64() / self.config.demand_window.as_secs_f64()).exp();
        self.demand_requests_per_s *= decay;
        self.demand_tokens_per_s *= decay;
        self.updated_at = self.updated_at.max(until);
    }

    /// Limits the bucket levels to the size that the current share allows.
    fn clamp(&mut self, now: Duration) {
        let (share, burst) = (self.share(now), self.config.burst);
        let requests_per_s = self.limits.requests_per_s * share;
        self.requests.refill(requests_per_s, Duration::ZERO, burst, MIN_REQUEST_BUCKET);
        self.tokens.refill(self.limits.tokens_per_s * share, Duration::ZERO, burst, 0.0);
    }
}
