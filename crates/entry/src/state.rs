//! What the handlers of callers' requests share.

use crate::addresses::AddressBook;
use crate::claims::Claims;
use crate::config::EntryConfig;
use crate::dispatch::Dispatcher;
use arc_swap::ArcSwap;
use flamingowheel_config::effective::Effective;
use flamingowheel_control::node::Node;
use flamingowheel_observe::recorder::Recorder;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Shared by all handlers. The control thread replaces the snapshots; traffic reads them without
/// a lock.
pub struct EntryState {
    /// Identity and limits.
    pub config: Arc<EntryConfig>,
    /// The configuration in force.
    pub effective: ArcSwap<Effective>,
    /// Who answers callers.
    pub addresses: ArcSwap<AddressBook>,
    /// Sends requests.
    pub dispatcher: Dispatcher,
    /// Binds idempotency keys.
    pub claims: Claims,
    /// Events.
    pub recorder: Recorder,
    /// Requests and streams in progress.
    pub in_progress: Arc<InProgress>,
    /// This entry among the others.
    pub node: Node,
}

/// Counts requests and streams in progress, so that a leaving entry knows when it may end.
#[derive(Debug, Default)]
pub struct InProgress(AtomicUsize);

impl InProgress {
    /// Counts one until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InProgressGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        InProgressGuard(Arc::clone(self))
    }

    /// How many there are.
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

/// Counts as one while it exists.
#[derive(Debug)]
pub struct InProgressGuard(Arc<InProgress>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}
