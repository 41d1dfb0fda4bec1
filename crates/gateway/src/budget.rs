//! The retry budget.
//!
//! The deployment limits the retries of each service over all entries. Each entry decides alone by
//! [`flamingowheel_policy::quota`] from its own requests and its share of the constant: its part among
//! the entries that it has seen listed, as far as it has claimed it in the key-value store.

use flamingowheel_policy::claim::{Claim, StoredClaim, Usage};
use flamingowheel_policy::quota::{Account, Quota, Urgency};
use flamingowheel_policy::roster::Roster;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

pub use flamingowheel_policy::quota::Allowance;

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

/// What a decision on a retry was made from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// The span of time that left the least room.
    pub account: Account,
    /// Number of entries that parts of the constant are computed for.
    pub entries: usize,
    /// Share of its part that this process may use, between 0 and 1.
    pub claimed: f64,
}

/// Retries that this entry may make, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    origin: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    roster: Roster,
    claim: Claim,
    /// Whether a retry was denied since the claim was last looked at.
    is_short: bool,
    quotas: HashMap<String, Quota>,
}

impl RetryBudget {
    /// Creates the budget of the entry on `vm`.
    pub fn new(allowance: Allowance, vm: &str) -> Self {
        let roster = Roster::new(vm, allowance.window);
        let claim = Claim::new(allowance.window);
        let state = State { roster, claim, is_short: false, quotas: HashMap::new() };
        Self { allowance, origin: Instant::now(), state: Mutex::new(state) }
    }

    /// Takes a list of entries that was complete `age` ago; `None` if it never was.
    pub fn observe_entries<'a, I>(&self, vms: I, age: Option<Duration>, now: Instant)
    where
        I: IntoIterator<Item = &'a str>,
    {
        self.lock().roster.observe(vms, age, now - self.origin);
    }

    /// Number of entries among which the deployment's constants are divided.
    pub fn entries(&self) -> usize {
        self.lock().roster.count()
    }

    /// Gives up this entry's part of the constant, as it leaves.
    pub fn leave(&self) {
        self.lock().roster.leave();
    }

    /// The claim to write to the store at the start of this process, after `previous` was read there.
    pub fn first_claim(&self, previous: Option<StoredClaim>, now: Instant) -> StoredClaim {
        let mut state = self.lock();
        if let Some(previous) = previous {
            state.roster.inherit(previous.entries, now - self.origin);
        }
        Claim::first(state.roster.count())
    }

    /// Records that the store has the first claim.
    pub fn begin_claim(&self, previous: Option<StoredClaim>, first: StoredClaim, now: Instant) {
        self.lock().claim.begin(previous, first, now - self.origin);
    }

    /// The change of the claim to write to the store next, if any.
    pub fn next_claim(&self, now: Instant) -> Option<StoredClaim> {
        let now = now - self.origin;
        let mut state = self.lock();
        let State { roster, claim, is_short, quotas } = &mut *state;
        let is_short = std::mem::take(is_short);
        let spent = most_spent(quotas, roster.whole_part(), now);
        let usage = Usage { spent, is_short, is_leaving: roster.is_leaving() };
        let claimed = claim.next(usage, now)?;
        Some(StoredClaim { claimed, entries: roster.count() })
    }

    /// Records that the store has a changed claim.
    pub fn record_claim(&self, stored: StoredClaim) {
        self.lock().claim.record_stored(stored.claimed);
    }

    /// Gives up the claim until the store has been read again.
    pub fn lose_claim(&self) {
        self.lock().claim.lose();
    }

    /// Counts a caller's request.
    pub fn record_request(&self, service: &str, now: Instant) {
        with_quota(&mut self.lock().quotas, self.allowance, service, |quota| {
            quota.record_request(now - self.origin);
        });
    }

    /// Takes a retry, if there is room.
    ///
    /// ```
    /// use flamingowheel_gateway::budget::RetryBudget;
    /// use flamingowheel_policy::quota::{Allowance, Urgency};
    /// use std::sync::Arc;
    /// let window = std::time::Duration::from_secs(10);
    /// let allowance = Allowance { ratio: 0.2, slack: 10.0, window };
    /// let budget = Arc::new(RetryBudget::new(allowance, "a"));
    /// let now = tokio::time::Instant::now();
    /// assert!(budget.try_acquire("s", Urgency::Second, now).is_err());
    /// (0..100).for_each(|_| budget.record_request("s", now));
    /// assert!(budget.try_acquire("s", Urgency::Second, now).is_ok());
    /// ```
    ///
    /// # Errors
    ///
    /// What left no room.
    pub fn try_acquire(
        self: &Arc<Self>,
        service: &str,
        urgency: Urgency,
        now: Instant,
    ) -> Result<(RetryPermit, Decision), Decision> {
        let since_origin = now - self.origin;
        let mut state = self.lock();
        let State { roster, claim, quotas, .. } = &mut *state;
        let (entries, claimed) = (roster.count(), claim.usable(since_origin));
        let share = roster.part(since_origin) * claimed;
        let taken = with_quota(quotas, self.allowance, service, |quota| {
            quota.try_take(urgency, share, since_origin)
        });
        state.is_short |= taken.is_err();
        let decision = |account| Decision { account, entries, claimed };
        drop(state);
        match taken {
            Ok(account) => {
                let (budget, service) = (Arc::clone(self), service.to_owned());
                Ok((RetryPermit { budget, service }, decision(account)))
            }
            Err(account) => Err(decision(account)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A retry that was taken. While it is held the retry may arrive at any time, and counts for all windows.
#[derive(Debug)]
pub struct RetryPermit {
    budget: Arc<RetryBudget>,
    service: String,
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        let (now, allowance) = (Instant::now() - self.budget.origin, self.budget.allowance);
        let quotas = &mut self.budget.lock().quotas;
        with_quota(quotas, allowance, &self.service, |quota| quota.finish(now));
    }
}

/// The largest share of a part that the retries of one service may take in a window.
fn most_spent(quotas: &HashMap<String, Quota>, part: f64, now: Duration) -> f64 {
    let spent = quotas.values().map(|quota| {
        let allowed = quota.allowed_by_constant(part);
        if allowed > 0.0 { f64::from(quota.spent(now)) / allowed } else { 0.0 }
    });
    spent.fold(0.0, f64::max).min(1.0)
}

fn with_quota<F, T>(
    quotas: &mut HashMap<String, Quota>,
    allowance: Allowance,
    service: &str,
    decide: F,
) -> T
where
    F: FnOnce(&mut Quota) -> T,
{
    match quotas.get_mut(service) {
        Some(quota) => decide(quota),
        None => decide(quotas.entry(service.to_owned()).or_insert(Quota::new(allowance))),
    }
}
