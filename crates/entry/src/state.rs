//! State shared by the HTTP handlers.

use crate::addresses::{AddressBook, demand};
use crate::archive::Archive;
use crate::claims::Claims;
use crate::config::EntryConfig;
use crate::dispatch::Dispatcher;
use crate::limits::{Limiter, Permit};
use crate::outcome::NotRun;
use arc_swap::ArcSwap;
use flamingowheel_config::effective::{EffectiveConfig, EffectiveWorkspace};
use flamingowheel_config::template::Limits;
use flamingowheel_control::node::Node;
use flamingowheel_observe::event::{Event, Subject};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::key::EntryKey;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// State shared by the HTTP handlers. The control thread replaces the `ArcSwap` snapshots; request
/// handlers read them without a lock.
pub struct EntryState {
    /// Identity and limits of this entry.
    pub config: Arc<EntryConfig>,
    /// Snapshot of the configuration in force.
    pub effective: ArcSwap<EffectiveConfig>,
    /// Snapshot of the entries that callers may use.
    pub addresses: ArcSwap<AddressBook>,
    /// Sends requests to agents.
    pub dispatcher: Dispatcher,
    /// Binds idempotency keys.
    pub claims: Claims,
    /// Answers archived by agent processes that have shut down.
    pub archive: Archive,
    /// Records events and metrics.
    pub recorder: Recorder,
    /// Number of requests and streams in progress.
    pub in_progress: Arc<InProgress>,
    /// This entry's membership in the fleet.
    pub node: Node,
    /// Enforces the workspaces' limits.
    pub limiter: Arc<Limiter>,
}

impl EntryState {
    /// The entries that share a workspace's limits.
    pub fn subset(&self, workspace: &EffectiveWorkspace) -> Vec<EntryKey> {
        let (scopes, rate_per_s) = demand(workspace);
        self.addresses.load().subset(&workspace.name, &scopes, rate_per_s)
    }

    /// Admits a request within its workspace's limits. The permit is absent if no limit is set.
    pub async fn admit(
        &self,
        workspace: &EffectiveWorkspace,
        prompt_tokens: f64,
        answer_tokens: f64,
    ) -> Result<Option<Permit>, NotRun> {
        if workspace.parameters.limits == Limits::default() {
            return Ok(None);
        }
        let members = self.subset(workspace);
        let admitted = self.limiter.admit(workspace, &members, prompt_tokens, answer_tokens).await;
        if let Err(NotRun::LimitReached { limit, retry_after_ms }) = &admitted {
            let subject = Subject::default().workspace(&*workspace.name);
            let event = Event::LimitExceeded { limit: *limit, retry_after_ms: *retry_after_ms };
            self.recorder.record_with_subject(&subject, event);
        }
        admitted
    }
}

/// Held until an admitted request has been answered.
#[derive(Debug)]
pub struct Admission {
    /// Delays the exit of a leaving entry.
    pub in_progress: InProgressGuard,
    /// Counts against the workspace's limits; absent if it has none.
    pub permit: Option<Permit>,
}

impl Admission {
    /// Counts generated tokens against the workspace's limits.
    pub fn add_tokens(&mut self, count: f64) {
        if let Some(permit) = &mut self.permit {
            permit.add_tokens(count);
        }
    }
}

/// Counts requests and streams in progress, so that a leaving entry knows when it may exit.
#[derive(Debug, Default)]
pub struct InProgress(AtomicUsize);

impl InProgress {
    /// Increments the count until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgressGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        InProgressGuard(Arc::clone(self))
    }

    /// The current count.
    ///
    /// ```
    /// use flamingowheel_entry::state::InProgress;
    /// let count = std::sync::Arc::new(InProgress::default());
    /// let guard = count.enter();
    /// assert_eq!(count.get(), 1);
    /// drop(guard);
    /// assert_eq!(count.get(), 0);
    /// ```
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// Decrements the count of [`InProgress`] on drop.
#[derive(Debug)]
pub struct InProgressGuard(Arc<InProgress>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}
