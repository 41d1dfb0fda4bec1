//! Applies each workspace's limits to its requests on this entry.
//!
//! This entry holds a part of the limits, and borrows more from the other entries of the
//! workspace's subset. The policy bounds what all of them admit together.

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

/// Stands for a limit that is not set; far above what an entry can take.
const UNLIMITED: u32 = 1_000_000_000;

/// How long a request waits for a loan, or for its share to fill, before it is refused.
const BORROW_LIMIT: Duration = Duration::from_millis(500);

/// Told to a caller whose request found no share; by then a loan has come, or its lender is gone.
const NO_SHARE_RETRY: Duration = Duration::from_millis(500);

/// A workspace without requests for this long is forgotten; longer than any loan lasts.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// A loan to be asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingLoanRequest {
    /// The workspace.
    pub workspace: Arc<str>,
    /// Whom to ask.
    pub lender: EntryKey,
    /// What to ask.
    pub request: LoanRequest,
}

/// The limits of all workspaces that have requests here.
#[derive(Debug)]
pub struct Limiter {
    own: EntryKey,
    started: Instant,
    rows: Mutex<HashMap<Arc<str>, Row>>,
    wanted: Notify,
    lent: Notify,
}

#[derive(Debug)]
struct Row {
    limits: WorkspaceLimits,
    applied: Limits,
    members: Vec<EntryKey>,
    used_at: Duration,
}

/// Counts as a request in flight until dropped.
#[derive(Debug)]
pub struct Permit {
    limiter: Arc<Limiter>,
    workspace: Arc<str>,
    expected_tokens: f64,
    tokens: f64,
}

impl Permit {
    /// Notes tokens that were generated.
    pub fn add_tokens(&mut self, count: f64) {
        self.tokens += count;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.limiter.now();
        if let Some(row) = self.limiter.rows().get_mut(&self.workspace) {
            row.limits.finish(self.expected_tokens, self.tokens, now);
        }
    }
}

impl Limiter {
    /// The limiter of the entry with this key.
    pub fn new(own: EntryKey) -> Self {
        Self {
            own,
            started: Instant::now(),
            rows: Mutex::default(),
            wanted: Notify::new(),
            lent: Notify::new(),
        }
    }

    /// Admits a request, or says which limit it met. `members` is the workspace's subset.
    pub async fn admit(
        self: &Arc<Self>,
        workspace: &EffectiveWorkspace,
        members: &[EntryKey],
        prompt_tokens: f64,
        answer_tokens: f64,
    ) -> Result<Option<Permit>, NotRun> {
        let Some(limits) = limits(&workspace.parameters.limits) else { return Ok(None) };
        let expected_tokens = prompt_tokens + answer_tokens;
        let give_up_at = Instant::now() + BORROW_LIMIT;
        loop {
            let lent = self.lent.notified();
            let refusal = match self.try_admit(workspace, limits, members, expected_tokens) {
                Ok(()) => break,
                Err(refusal) => refusal,
            };
            match wait_for(&refusal) {
                // An entry outside the subset is asked by callers that keep an old answer; it
                // serves them on a loan.
                None if refusal == LimitRefusal::NoShare => {
                    self.wanted.notify_one();
                    if timeout_at(give_up_at, lent).await.is_err() {
                        return Err(refused(&refusal));
                    }
                }
                // After a quiet time the first request finds its share not yet filled. Refusing
                // it would cost the caller far more than this wait.
                Some(wait) if Instant::now() + wait <= give_up_at => sleep(wait).await,
                _ => return Err(refused(&refusal)),
            }
        }
        let workspace = Arc::clone(&workspace.name);
        let limiter = Arc::clone(self);
        Ok(Some(Permit { limiter, workspace, expected_tokens, tokens: prompt_tokens }))
    }

    fn try_admit(
        &self,
        workspace: &EffectiveWorkspace,
        limits: Limits,
        members: &[EntryKey],
        tokens: f64,
    ) -> Result<(), LimitRefusal> {
        let now = self.now();
        let mut rows = self.rows();
        let row = self.row(&mut rows, &workspace.name, limits, members, now);
        row.used_at = now;
        row.limits.try_admit(tokens, now)
    }

    /// Lends another entry what this one does not need.
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
        let mut rows = self.rows();
        let row = self.row(&mut rows, &workspace.name, limits, members, now);
        row.used_at = now;
        row.limits.lend(borrower, request, now)
    }

    /// Takes in the answer to an [`OutgoingLoanRequest`].
    pub fn apply_loan(&self, borrowing: &OutgoingLoanRequest, loan: &Loan) {
        let now = self.now();
        if let Some(row) = self.rows().get_mut(&borrowing.workspace) {
            row.limits.on_loan(borrowing.lender, loan, now);
        }
        self.lent.notify_waiters();
    }

    /// Waits until a request finds no share, or for `longest`.
    pub async fn wait_for_demand(&self, longest: Duration) {
        let _ = tokio::time::timeout(longest, self.wanted.notified()).await;
    }

    /// The loans to ask for now. Forgets idle workspaces.
    pub fn loan_requests(&self) -> Vec<OutgoingLoanRequest> {
        let now = self.now();
        let mut rows = self.rows();
        rows.retain(|_, row| row.limits.in_flight() > 0 || now < row.used_at + IDLE_LIMIT);
        let ask = |(workspace, row): (&Arc<str>, &mut Row)| {
            let (lender, request) = row.limits.next_loan_request(now)?;
            Some(OutgoingLoanRequest { workspace: Arc::clone(workspace), lender, request })
        };
        rows.iter_mut().filter_map(ask).collect()
    }

    fn row<'a>(
        &self,
        rows: &'a mut HashMap<Arc<str>, Row>,
        name: &Arc<str>,
        limits: Limits,
        members: &[EntryKey],
        now: Duration,
    ) -> &'a mut Row {
        let row = rows.entry(Arc::clone(name)).or_insert_with(|| Row {
            limits: WorkspaceLimits::new(SplitConfig::default(), limits, self.own, now),
            applied: limits,
            members: Vec::new(),
            used_at: now,
        });
        if row.applied != limits {
            row.applied = limits;
            row.limits.set_limits(limits, now);
        }
        if row.members != members {
            row.members = members.to_vec();
            row.limits.set_members(members, now);
        }
        row
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn rows(&self) -> MutexGuard<'_, HashMap<Arc<str>, Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

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

/// When the same request would be admitted, as far as that is known.
fn wait_for(refusal: &LimitRefusal) -> Option<Duration> {
    match refusal {
        LimitRefusal::Requests { retry_after } | LimitRefusal::Tokens { retry_after } => {
            Some(*retry_after)
        }
        LimitRefusal::InFlight | LimitRefusal::NoShare => None,
    }
}

fn refused(refusal: &LimitRefusal) -> NotRun {
    let retry_after = wait_for(refusal).unwrap_or(NO_SHARE_RETRY);
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

    // The first request of a workspace after a quiet hour must not be refused for a share that
    // fills within milliseconds.
    #[tokio::test(start_paused = true)]
    async fn admit_first_request_waits_briefly() {
        let limiter = Arc::new(Limiter::new(EntryKey(1)));
        let (workspace, members) = (workspace(10.0), [EntryKey(1)]);
        let began = Instant::now();
        assert!(limiter.admit(&workspace, &members, 1.0, 1.0).await.is_ok());
        assert!(began.elapsed() <= Duration::from_millis(101));
    }

    // A caller keeps an address answer from before the subset changed and goes on using an entry
    // that is no longer in it. It must be served, not refused.
    #[tokio::test(start_paused = true)]
    async fn admit_outside_subset_on_a_loan() {
        let (inside, outside) = (Limiter::new(EntryKey(1)), Arc::new(Limiter::new(EntryKey(2))));
        let (workspace, members) = (workspace(100.0), [EntryKey(1)]);
        let asking = {
            let (outside, workspace) = (Arc::clone(&outside), workspace.clone());
            tokio::spawn(async move { outside.admit(&workspace, &members, 1.0, 1.0).await })
        };
        for _ in 0..3 {
            outside.wait_for_demand(Duration::from_millis(100)).await;
            for borrowing in outside.loan_requests() {
                let (own, request) = (EntryKey(2), &borrowing.request);
                let loan = inside.lend(&workspace, &members, own, request);
                tokio::time::advance(Duration::from_millis(20)).await;
                outside.apply_loan(&borrowing, &loan);
            }
        }
        assert!(asking.await.unwrap().is_ok());
    }
}
