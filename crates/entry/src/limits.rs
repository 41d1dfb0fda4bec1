//! Enforces each workspace's limits for its requests at this entry.
//!
//! Each entry of a workspace's subset has a share of the limits and can borrow more from the others.
//! The policy bounds what they admit together.

use crate::outcome::NotRun;
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_config::template;
use flamingowheel_observe::reason::Limit;
use flamingowheel_policy::key::EntryKey;
use flamingowheel_policy::limits::{
    LimitRefusal, Limits, Loan, LoanRequest, SplitConfig, WorkspaceLimits,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

/// Value of a limit that is not set; far above what an entry can handle.
const UNLIMITED: u32 = 1_000_000_000;

/// How long a request waits for a loan, or for its share to fill, before it is refused.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(500);

/// Retry time for a caller that was refused for lack of a share. By then a loan has arrived, or its
/// lender is unreachable.
const NO_SHARE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// State of a workspace without requests for this long is dropped; longer than any loan lasts.
const WORKSPACE_IDLE_LIMIT: Duration = Duration::from_secs(60);

/// A loan request that is to be sent to another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingLoanRequest {
    /// Name of the workspace whose limits the loan is for.
    pub workspace: Arc<str>,
    /// The entry to borrow from.
    pub lender: EntryKey,
    /// The request to send.
    pub request: LoanRequest,
}

/// The limits of all workspaces that have requests here.
#[derive(Debug)]
pub struct Limiter {
    own: EntryKey,
    started: Instant,
    workspaces: Mutex<HashMap<Arc<str>, WorkspaceState>>,
    loan_needed: Notify,
    loan_received: Notify,
}

#[derive(Debug)]
struct WorkspaceState {
    limits: WorkspaceLimits,
    applied: Limits,
    members: Vec<EntryKey>,
    used_at: Duration,
}

/// Counts as one request in flight until it is dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<Limiter>,
    workspace: Arc<str>,
    expected_tokens: f64,
    actual_tokens: f64,
}

impl Permit {
    /// Adds generated tokens to the actual use.
    pub fn add_tokens(&mut self, count: f64) {
        self.actual_tokens += count;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.limiter.now();
        if let Some(state) = self.limiter.workspaces().get_mut(&self.workspace) {
            state.limits.finish(self.expected_tokens, self.actual_tokens, now);
        }
    }
}

impl Limiter {
    /// The limiter of the entry with this key.
    pub fn new(own: EntryKey) -> Self {
        Self {
            own,
            started: Instant::now(),
            workspaces: Mutex::default(),
            loan_needed: Notify::new(),
            loan_received: Notify::new(),
        }
    }

    /// Admits a request, or returns the limit that was reached. `members` is the workspace's subset.
    /// Without limits there is no permit.
    pub async fn admit(
        self: &Arc<Self>,
        workspace: &EffectiveWorkspace,
        members: &[EntryKey],
        prompt_tokens: f64,
        answer_tokens: f64,
    ) -> Result<Option<Permit>, NotRun> {
        let Some(limits) = limits(&workspace.parameters.limits) else { return Ok(None) };
        let expected_tokens = prompt_tokens + answer_tokens;
        let give_up_at = Instant::now() + ADMISSION_TIMEOUT;
        loop {
            let loan_received = self.loan_received.notified();
            let refusal = match self.try_admit(workspace, limits, members, expected_tokens) {
                Ok(()) => break,
                Err(refusal) => refusal,
            };
            match retry_after(&refusal) {
                // Callers with an outdated address list use an entry outside the subset. It has no
                // share and serves them on a loan.
                None if refusal == LimitRefusal::NoShare => {
                    self.loan_needed.notify_one();
                    if timeout_at(give_up_at, loan_received).await.is_err() {
                        return Err(limit_reached(&refusal));
                    }
                }
                // After an idle period the share has not filled yet when the first request arrives.
                // Refusing it would cost the caller far more time than this wait.
                Some(wait) if Instant::now() + wait <= give_up_at => sleep(wait).await,
                _ => return Err(limit_reached(&refusal)),
            }
        }
        let workspace = Arc::clone(&workspace.name);
        let limiter = Arc::clone(self);
        Ok(Some(Permit { limiter, workspace, expected_tokens, actual_tokens: prompt_tokens }))
    }

    fn try_admit(
        &self,
        workspace: &EffectiveWorkspace,
        limits: Limits,
        members: &[EntryKey],
        tokens: f64,
    ) -> Result<(), LimitRefusal> {
        let now = self.now();
        let mut workspaces = self.workspaces();
        let state = self.state(&mut workspaces, &workspace.name, limits, members, now);
        state.used_at = now;
        state.limits.try_admit(tokens, now)
    }

    /// Lends another entry the part of this entry's share that it doesn't need.
    pub fn lend(
        &self,
        workspace: &EffectiveWorkspace,
        members: &[EntryKey],
        borrower: EntryKey,
        request: &LoanRequest,
    ) -> Loan {
        let Some(limits) = limits(&workspace.parameters.limits) else {
            return Loan { number: request.number, share: 0.0 };
        };
        let now = self.now();
        let mut workspaces = self.workspaces();
        let state = self.state(&mut workspaces, &workspace.name, limits, members, now);
        state.used_at = now;
        state.limits.lend(borrower, request, now)
    }

    /// Applies the answer to an [`OutgoingLoanRequest`].
    pub fn apply_loan(&self, outgoing: &OutgoingLoanRequest, loan: &Loan) {
        let now = self.now();
        if let Some(state) = self.workspaces().get_mut(&outgoing.workspace) {
            state.limits.on_loan(outgoing.lender, loan, now);
        }
        self.loan_received.notify_waiters();
    }

    /// Waits until a request needs a loan, but at most `max_wait`.
    pub async fn wait_for_demand(&self, max_wait: Duration) {
        let _ = tokio::time::timeout(max_wait, self.loan_needed.notified()).await;
    }

    /// The loan requests to send now. Drops the state of idle workspaces.
    pub fn loan_requests(&self) -> Vec<OutgoingLoanRequest> {
        let now = self.now();
        let mut workspaces = self.workspaces();
        workspaces.retain(|_, state| {
            state.limits.in_flight() > 0 || now < state.used_at + WORKSPACE_IDLE_LIMIT
        });
        let next = |(name, state): (&Arc<str>, &mut WorkspaceState)| {
            let (lender, request) = state.limits.next_loan_request(now)?;
            Some(OutgoingLoanRequest { workspace: Arc::clone(name), lender, request })
        };
        workspaces.iter_mut().filter_map(next).collect()
    }

    fn state<'a>(
        &self,
        workspaces: &'a mut HashMap<Arc<str>, WorkspaceState>,
        name: &Arc<str>,
        limits: Limits,
        members: &[EntryKey],
        now: Duration,
    ) -> &'a mut WorkspaceState {
        let state = workspaces.entry(Arc::clone(name)).or_insert_with(|| WorkspaceState {
            limits: WorkspaceLimits::new(SplitConfig::default(), limits, self.own, now),
            applied: limits,
            members: Vec::new(),
            used_at: now,
        });
        if state.applied != limits {
            state.applied = limits;
            state.limits.set_limits(limits, now);
        }
        if state.members != members {
            state.members = members.to_vec();
            state.limits.set_members(members, now);
        }
        state
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn workspaces(&self) -> MutexGuard<'_, HashMap<Arc<str>, WorkspaceState>> {
        self.workspaces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The limits with values for those that are not set; `None` if none is set.
fn limits(set: &template::Limits) -> Option<Limits> {
    if set.requests_per_s.is_none() && set.tokens_per_s.is_none() && set.in_flight.is_none() {
        return None;
    }
    Some(Limits {
        requests_per_s: set.requests_per_s.unwrap_or(f64::from(UNLIMITED)),
        tokens_per_s: set.tokens_per_s.unwrap_or(f64::from(UNLIMITED)),
        in_flight: set.in_flight.unwrap_or(UNLIMITED),
    })
}

/// Time after which the same request would be admitted, if it is known.
fn retry_after(refusal: &LimitRefusal) -> Option<Duration> {
    match refusal {
        LimitRefusal::Requests { retry_after } | LimitRefusal::Tokens { retry_after } => {
            Some(*retry_after)
        }
        LimitRefusal::InFlight | LimitRefusal::NoShare => None,
    }
}

fn limit_reached(refusal: &LimitRefusal) -> NotRun {
    let retry_after = retry_after(refusal).unwrap_or(NO_SHARE_RETRY_AFTER);
    let limit = match refusal {
        LimitRefusal::Requests { .. } | LimitRefusal::NoShare => Limit::RequestRate,
        LimitRefusal::Tokens { .. } => Limit::TokenRate,
        LimitRefusal::InFlight => Limit::InFlight,
    };
    NotRun::LimitReached { limit, retry_after_ms: retry_after.as_millis() as u64 }
}

#[cfg(test)]
mod tests {
    use super::*;
    use flamingowheel_config::template::Parameters;

    fn workspace(requests_per_s: f64) -> EffectiveWorkspace {
        let limits = template::Limits {
            requests_per_s: Some(requests_per_s),
            ..template::Limits::default()
        };
        EffectiveWorkspace {
            name: "peachline".into(),
            template: "callbox".into(),
            token_sha256: Arc::new([]),
            parameters: Arc::new(Parameters { limits, ..Parameters::default() }),
            rebalancing: Arc::default(),
        }
    }

    #[tokio::test(start_paused = true)]
    async fn admit_within_rate_then_refused_with_time() {
        let limiter = Arc::new(Limiter::new(EntryKey(1)));
        let (workspace, members) = (workspace(1.0), [EntryKey(1)]);
        limiter.admit(&workspace, &members, 1.0, 1.0).await.unwrap_err();
        tokio::time::advance(Duration::from_secs(1)).await;
        assert!(limiter.admit(&workspace, &members, 1.0, 1.0).await.is_ok());
        let refusal = limiter.admit(&workspace, &members, 1.0, 1.0).await.unwrap_err();
        assert!(matches!(refusal, NotRun::LimitReached { retry_after_ms: 501..=1_000, .. }));
    }

    // Guards against refusing the first request of a workspace after an idle period, when its share
    // is empty but fills within milliseconds.
    #[tokio::test(start_paused = true)]
    async fn admit_first_request_waits_briefly() {
        let limiter = Arc::new(Limiter::new(EntryKey(1)));
        let (workspace, members) = (workspace(10.0), [EntryKey(1)]);
        let started = Instant::now();
        assert!(limiter.admit(&workspace, &members, 1.0, 1.0).await.is_ok());
        assert!(started.elapsed() <= Duration::from_millis(101));
    }

    // Guards against refusing callers whose address list is from before a change of the subset. They
    // use an entry that is no longer in it, which must serve them on a loan.
    #[tokio::test(start_paused = true)]
    async fn admit_outside_subset_on_a_loan() {
        let (inside, outside) = (Limiter::new(EntryKey(1)), Arc::new(Limiter::new(EntryKey(2))));
        let (workspace, members) = (workspace(100.0), [EntryKey(1)]);
        let admission = {
            let (outside, workspace) = (Arc::clone(&outside), workspace.clone());
            tokio::spawn(async move { outside.admit(&workspace, &members, 1.0, 1.0).await })
        };
        for _ in 0..3 {
            outside.wait_for_demand(Duration::from_millis(100)).await;
            for outgoing in outside.loan_requests() {
                let (borrower, request) = (EntryKey(2), &outgoing.request);
                let loan = inside.lend(&workspace, &members, borrower, request);
                tokio::time::advance(Duration::from_millis(20)).await;
                outside.apply_loan(&outgoing, &loan);
            }
        }
        assert!(admission.await.unwrap().is_ok());
    }
}
