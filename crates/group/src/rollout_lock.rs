//! Lock that lets one group of a model at a time change its model version, while the others
//! continue to serve.

use bytes::Bytes;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueError, LeaseId, Operation, Transaction,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time to live of the lock after its last confirmation. A new coordinator of the same group takes
/// the lock over well within this time, so that the group finishes its change before another
/// begins.
const LOCK_TTL: Duration = Duration::from_secs(60);

/// Shortest time between two attempts of one group to acquire or confirm the lock.
const ATTEMPT_INTERVAL: Duration = Duration::from_secs(5);

/// One group's view of the rollout lock of its model.
pub(crate) struct RolloutLock {
    kv: Arc<dyn KeyValue>,
    key: String,
    group: String,
    lease: Option<LeaseId>,
    attempted_at: Option<Instant>,
    /// The other group that held the lock at the last attempt.
    holder: Option<String>,
}

impl RolloutLock {
    pub(crate) fn new(kv: Arc<dyn KeyValue>, model: &str, group: &str) -> Self {
        let key = format!("models/{model}/turn");
        Self { kv, key, group: group.to_owned(), lease: None, attempted_at: None, holder: None }
    }

    /// The other group that holds the lock.
    pub(crate) fn holder(&self) -> Option<String> {
        self.holder.clone()
    }

    /// Acquires or confirms the lock, at most once per [`ATTEMPT_INTERVAL`]. Returns whether this
    /// group holds it.
    pub(crate) async fn acquire(&mut self) -> bool {
        let is_due =
            self.attempted_at.is_none_or(|attempted_at| attempted_at.elapsed() >= ATTEMPT_INTERVAL);
        if is_due {
            self.attempted_at = Some(Instant::now());
            if let Err(error) = self.try_acquire().await {
                tracing::warn!(group = self.group, %error, "rollout lock not acquired");
            }
        }
        self.lease.is_some()
    }

    /// Releases the lock. If the call fails, the lock expires with its lease.
    pub(crate) async fn release(&mut self) {
        self.holder = None;
        if let Some(lease) = self.lease.take() {
            self.attempted_at = None;
            let _ = self.kv.revoke_lease(lease).await;
        }
    }

    async fn try_acquire(&mut self) -> Result<(), KeyValueError> {
        if let Some(lease) = self.lease {
            match self.kv.keep_alive(lease).await {
                Err(KeyValueError::LeaseNotFound) => self.lease = None,
                result => return result,
            }
        }
        let snapshot = self.kv.range(&self.key).await?;
        let found = snapshot.entries.into_iter().find(|entry| entry.key == self.key);
        let compare = match &found {
            None => Compare::Absent { key: self.key.clone() },
            // Held by an earlier coordinator of this group.
            Some(entry) if entry.value == self.group => {
                Compare::ModRevision { key: self.key.clone(), revision: entry.mod_revision }
            }
            Some(entry) => {
                self.holder = Some(String::from_utf8_lossy(&entry.value).into_owned());
                return Ok(());
            }
        };
        let lease = self.kv.grant_lease(LOCK_TTL).await?;
        let (key, value) = (self.key.clone(), Bytes::from(self.group.clone()));
        let put = Operation::Put { key, value, lease: Some(lease) };
        let transaction = Transaction {
            compares: vec![compare],
            on_success: vec![put],
            ..Transaction::default()
        };
        // If the answer is lost, the next attempt finds this group as holder and takes it over.
        if self.kv.transact(transaction).await?.succeeded {
            (self.lease, self.holder) = (Some(lease), None);
        }
        Ok(())
    }
}
