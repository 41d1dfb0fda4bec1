//! Limits of a workspace, split over the entries of its subset.
//!
//! Each of the k entries holds 1/k of all three limits. One whose demand is higher borrows from
//! peers whose demand is lower; a loan has a time limit that the borrower counts from its asking
//! and the lender from its granting, which is later, so no clock needs to agree and no share is
//! ever in two hands.
//!
//! Bound: while the entries agree on the subset, requests and tokens admitted in any window `w` are
//! at most `limit * (w + burst)` plus one request per member, whatever messages are lost, late or
//! repeated. While they don't, each entry that joined or left and is not yet known everywhere adds
//! at most `1/k` of the limit, and so does one that restarts, until the loans that it gave end.
//! Requests in flight are at most the limit plus one per member (a share is rounded up, so that a
//! small limit can be used at all), plus what ran on loans that have since ended: running requests
//! are not cut off. Tokens are taken by estimate, and the difference is settled at the end of the
//! request, so they can exceed the bound by what is in flight was underestimated.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::key::EntryKey;

/// Limits of a workspace over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests started in a second.
    pub requests_per_s: f64,
    /// Tokens read and generated in a second.
    pub tokens_per_s: f64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Settings of the split.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SplitConfig {
    /// Time of the full rate that may be saved up.
    pub burst: Duration,
    /// How long a loan lasts.
    pub loan_duration: Duration,
    /// Shortest time between two requests for a loan.
    pub loan_request_interval: Duration,
    /// The time doubles, up to this, each time that no peer had anything to lend. Otherwise the
    /// members of a workspace at its limit would keep asking each other.
    pub max_loan_request_interval: Duration,
    /// Time over which demand is averaged.
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

/// Which limit refused a request, and when to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LimitRefusal {
    /// Too many requests a second.
    #[error("request rate limit reached")]
    Requests {
        /// When this entry can admit the next request.
        retry_after: Duration,
    },
    /// Too many tokens a second.
    #[error("token rate limit reached")]
    Tokens {
        /// When this entry can admit the next request.
        retry_after: Duration,
    },
    /// Too many requests in flight.
    #[error("limit of requests in flight reached")]
    InFlight,
    /// This entry is outside the workspace's subset and has borrowed nothing yet.
    #[error("this entry holds no share of the workspace's limits")]
    NoShare,
}

/// Asks a peer for a part of its share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Counts up per borrower and workspace.
    pub number: u64,
    /// Part of the whole limit that is wanted.
    pub share: f64,
    /// An earlier loan of this lender that the borrower no longer uses.
    pub returns: Option<u64>,
}

/// Answers a [`LoanRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// The request's number.
    pub number: u64,
    /// Part of the whole limit that is lent; zero for none.
    pub share: f64,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    number: u64,
    at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    lender: EntryKey,
    number: u64,
    share: f64,
    until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Lent {
    share: f64,
    until: Duration,
}

/// A token bucket whose rate and size follow the share.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    level: f64,
}

impl Bucket {
    /// `least` is what a full bucket holds whatever the rate.
    fn refill(&mut self, rate_per_s: f64, elapsed: Duration, burst: Duration, least: f64) {
        let most = (rate_per_s * burst.as_secs_f64()).max(least);
        self.level = (self.level + rate_per_s * elapsed.as_secs_f64()).min(most);
    }

    /// Time until `amount` can be taken.
    fn wait(&self, amount: f64, rate_per_s: f64) -> Duration {
        let missing = (amount - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / rate_per_s).unwrap_or(MAX_WAIT)
    }
}

/// Told to a caller where the true wait is longer or not defined.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// A lender keeps this much more than its own demand, and a borrower asks for as much more.
const HEADROOM: f64 = 1.2;
/// Part of its base share that an entry never lends, so that its first callers after a quiet time
/// are not refused until a loan ends.
const KEPT: f64 = 0.1;
/// A small limit's bucket still holds one request, else it would admit none.
const ONE_REQUEST: f64 = 1.0;
/// Smallest part of a limit worth a message.
const MIN_LOAN: f64 = 0.005;
/// An entry asks for at least this much.
const MIN_ASKED: f64 = 0.02;
/// And for no more than this, unless demand calls for it.
const MAX_FIRST_ASKED: f64 = 0.4;
/// The share asked for fills its bucket with one request in this time, so that the first caller of
/// an entry waits only briefly.
const FIRST_WAIT: Duration = Duration::from_millis(250);
/// Part of a loan's time after which the borrower renews it.
const RENEW_AFTER: f64 = 0.6;

/// One workspace's limits on one entry.
///
/// ```
/// use flamingowheel_policy::key::EntryKey;
/// use flamingowheel_policy::limits::{Limits, SplitConfig, WorkspaceLimits};
/// use std::time::Duration;
/// let limits = Limits { requests_per_s: 2.0, tokens_per_s: 1e6, in_flight: 10 };
/// let mut own = WorkspaceLimits::new(SplitConfig::default(), limits, EntryKey(1), Duration::ZERO);
/// own.set_members(&[EntryKey(1)], Duration::ZERO);
/// let now = Duration::from_secs(1);
/// assert!(own.try_admit(100.0, now).is_ok());
/// assert!(own.try_admit(100.0, now).is_ok());
/// assert!(own.try_admit(100.0, now).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct WorkspaceLimits {
    config: SplitConfig,
    limits: Limits,
    own: EntryKey,
    base_share: f64,
    peers: Vec<EntryKey>,
    next_peer: usize,
    number: u64,
    asked: HashMap<EntryKey, Asked>,
    last_asked: Option<Duration>,
    ask_after: Duration,
    asked_in_vain: usize,
    held: Vec<Held>,
    lent: HashMap<(EntryKey, u64), Lent>,
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
    /// Decayed rates of what callers wanted, whether or not it was admitted.
    wanted_requests_per_s: f64,
    wanted_tokens_per_s: f64,
    updated: Duration,
}

impl WorkspaceLimits {
    /// Holds no share until [`WorkspaceLimits::set_members`] is called.
    #[must_use]
    pub fn new(config: SplitConfig, limits: Limits, own: EntryKey, now: Duration) -> Self {
        Self {
            config,
            limits,
            own,
            base_share: 0.0,
            peers: Vec::new(),
            next_peer: 0,
            number: 0,
            asked: HashMap::new(),
            last_asked: None,
            ask_after: config.loan_request_interval,
            asked_in_vain: 0,
            held: Vec::new(),
            lent: HashMap::new(),
            requests: Bucket::default(),
            tokens: Bucket::default(),
            in_flight: 0,
            wanted_requests_per_s: 0.0,
            wanted_tokens_per_s: 0.0,
            updated: now,
        }
    }

    /// Takes in the workspace's subset.
    pub fn set_members(&mut self, members: &[EntryKey], now: Duration) {
        self.update(now);
        let is_member = members.contains(&self.own);
        self.base_share = if is_member { 1.0 / members.len() as f64 } else { 0.0 };
        self.peers = members.iter().copied().filter(|member| *member != self.own).collect();
        self.next_peer = 0;
    }

    /// Takes in changed limits.
    pub fn set_limits(&mut self, limits: Limits, now: Duration) {
        self.update(now);
        self.limits = limits;
    }

    /// The part of the limits that this entry may use now.
    #[must_use]
    pub fn share(&self, now: Duration) -> f64 {
        let held: f64 = self.held.iter().filter(|held| held.until > now).map(|h| h.share).sum();
        (self.base_share - self.lent_share(now) + held).max(0.0)
    }

    /// Admits a request that is expected to take so many tokens.
    ///
    /// # Errors
    ///
    /// When one of the limits is reached; nothing is taken then.
    pub fn try_admit(&mut self, tokens: f64, now: Duration) -> Result<(), LimitRefusal> {
        self.update(now);
        self.note_wanted(tokens);
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
        // A request larger than the bucket passes once the bucket is full, and leaves it in debt.
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

    /// Notes that an admitted request has ended, and settles its tokens.
    pub fn finish(&mut self, expected_tokens: f64, tokens: f64, now: Duration) {
        self.update(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens.level -= tokens - expected_tokens;
    }

    /// Whom to ask for a loan now, if one is needed.
    pub fn next_loan_request(&mut self, now: Duration) -> Option<(EntryKey, LoanRequest)> {
        self.update(now);
        let is_early = self.last_asked.is_some_and(|last| now < last + self.ask_after);
        if is_early || self.peers.is_empty() {
            return None;
        }
        let renewed = self.take_renewable(now);
        let missing = self.wanted_share() - self.share(now);
        if missing < MIN_LOAN {
            return None;
        }
        let missing = missing.max(self.least_asked());
        let lender = renewed.map_or_else(|| self.take_peer(), |held| held.lender);
        self.number += 1;
        self.back_off();
        self.last_asked = Some(now);
        self.asked.insert(lender, Asked { number: self.number, at: now });
        let returns = renewed.map(|held| held.number);
        Some((lender, LoanRequest { number: self.number, share: missing, returns }))
    }

    /// Lends what own demand leaves of the base share. A repeated request lends nothing twice.
    pub fn lend(&mut self, borrower: EntryKey, request: &LoanRequest, now: Duration) -> Loan {
        self.update(now);
        let number = request.number;
        if self.lent.contains_key(&(borrower, number)) {
            return Loan { number, share: 0.0 };
        }
        if let Some(returned) = request.returns {
            self.lent.remove(&(borrower, returned));
        }
        // Own loans are not lent on: their end would not bind the third entry.
        let held: f64 = self.held.iter().map(|held| held.share).sum();
        let needed = (self.wanted_share() - held).max(self.base_share * KEPT);
        let spare = self.base_share - self.lent_share(now) - needed;
        let share = request.share.min(spare);
        if share < MIN_LOAN {
            return Loan { number, share: 0.0 };
        }
        let until = now + self.config.loan_duration;
        self.lent.insert((borrower, number), Lent { share, until });
        self.clamp(now);
        Loan { number, share }
    }

    /// Takes in a loan. One that does not answer the last request to this lender is dropped: its
    /// time would be counted from the wrong moment.
    pub fn on_loan(&mut self, lender: EntryKey, loan: &Loan, now: Duration) {
        self.update(now);
        let Some(asked) = self.asked.get(&lender).copied() else { return };
        if asked.number != loan.number {
            return;
        }
        self.asked.remove(&lender);
        let until = asked.at + self.config.loan_duration;
        if loan.share <= 0.0 || until <= now {
            return;
        }
        self.asked_in_vain = 0;
        self.ask_after = self.config.loan_request_interval;
        self.held.push(Held { lender, number: loan.number, share: loan.share, until });
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn lent_share(&self, now: Duration) -> f64 {
        self.lent.values().filter(|lent| lent.until > now).map(|lent| lent.share).sum()
    }

    /// Part of the limits that demand calls for.
    fn wanted_share(&self) -> f64 {
        let requests = self.wanted_requests_per_s / self.limits.requests_per_s;
        let tokens = self.wanted_tokens_per_s / self.limits.tokens_per_s;
        let in_flight = f64::from(self.in_flight) / f64::from(self.limits.in_flight);
        let wanted = requests.max(tokens).max(in_flight) * HEADROOM;
        if wanted.is_finite() { wanted.min(1.0) } else { 0.0 }
    }

    fn least_asked(&self) -> f64 {
        let share = 1.0 / (self.limits.requests_per_s * FIRST_WAIT.as_secs_f64());
        share.clamp(MIN_ASKED, MAX_FIRST_ASKED)
    }

    fn note_wanted(&mut self, tokens: f64) {
        let window = self.config.demand_window.as_secs_f64();
        self.wanted_requests_per_s += 1.0 / window;
        self.wanted_tokens_per_s += tokens / window;
    }

    /// A loan that is about to end: it is given up here before the lender hears of it.
    fn take_renewable(&mut self, now: Duration) -> Option<Held> {
        let left = self.config.loan_duration.mul_f64(1.0 - RENEW_AFTER);
        let index = self.held.iter().position(|held| held.until < now + left)?;
        let held = self.held.swap_remove(index);
        self.clamp(now);
        Some(held)
    }

    /// Counts a request as in vain until a loan comes.
    fn back_off(&mut self) {
        self.asked_in_vain += 1;
        if self.asked_in_vain > self.peers.len() {
            self.asked_in_vain = 0;
            self.ask_after = (self.ask_after * 2).min(self.config.max_loan_request_interval);
        }
    }

    fn take_peer(&mut self) -> EntryKey {
        let peer = self.peers[self.next_peer % self.peers.len()];
        self.next_peer += 1;
        peer
    }

    /// Brings buckets and demand up to now, and drops loans that have ended.
    fn update(&mut self, now: Duration) {
        let mut ends: Vec<Duration> = self.held.iter().map(|held| held.until).collect();
        ends.extend(self.lent.values().map(|lent| lent.until));
        ends.retain(|end| *end > self.updated && *end < now);
        ends.sort_unstable();
        ends.push(now);
        for end in ends {
            self.refill(end);
        }
        self.held.retain(|held| held.until > now);
        self.lent.retain(|_, lent| lent.until > now);
        self.clamp(now);
    }

    /// Refills over a span in which the share is constant.
    fn refill(&mut self, until: Duration) {
        let share = self.share(self.updated);
        let elapsed = until.saturating_sub(self.updated);
        let burst = self.config.burst;
        self.requests.refill(self.limits.requests_per_s * share, elapsed, burst, ONE_REQUEST);
        self.tokens.refill(self.limits.tokens_per_s * share, elapsed, burst, 0.0);
        let kept = (-elapsed.as_secs_f64() / self.config.demand_window.as_secs_f64()).exp();
        self.wanted_requests_per_s *= kept;
        self.wanted_tokens_per_s *= kept;
        self.updated = self.updated.max(until);
    }

    /// Cuts what was saved up to the size that the share of now allows.
    fn clamp(&mut self, now: Duration) {
        let (share, burst) = (self.share(now), self.config.burst);
        let requests_per_s = self.limits.requests_per_s * share;
        self.requests.refill(requests_per_s, Duration::ZERO, burst, ONE_REQUEST);
        self.tokens.refill(self.limits.tokens_per_s * share, Duration::ZERO, burst, 0.0);
    }
}
