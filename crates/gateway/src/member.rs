//! Announces this entry in the key-value store, under a lease.

use crate::publish::ENTRIES_PREFIX;
use crate::view::{CapacityRecord, EntryRecord};
use flamingowheel_backing::kv::{KeyValue, KeyValueError, LeaseId, Operation, Transaction};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// Time to live of the lease. The directory may list an entry for this long after it died; callers
/// skip an address that does not answer.
const LEASE_TTL: Duration = Duration::from_millis(3_500);

/// Time between renewals: one may fail before the lease ends. The store charges for each.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_400);

/// Backoff after the first failure; doubles with each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Longest backoff. The store also charges for calls that it rejects.
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);

/// The announcement of an entry.
#[derive(Debug)]
pub struct Announcement<K> {
    /// The key-value store.
    pub store: K,
    /// Name of the entry's VM.
    pub vm: String,
    /// The announced record.
    pub record: EntryRecord,
    /// Shortest lease that the store grants.
    pub min_ttl: Duration,
    /// What the entry can take. The record is written again when it changes.
    pub capacity: watch::Receiver<Option<CapacityRecord>>,
}

impl<K> Announcement<K>
where
    K: KeyValue,
{
    /// Keeps the entry announced until `leaving`, then withdraws the announcement at once.
    pub async fn run(mut self, leaving: CancellationToken) {
        let mut backoff = INITIAL_BACKOFF;
        while !leaving.is_cancelled() {
            match self.announce().await {
                Ok(lease) => {
                    backoff = INITIAL_BACKOFF;
                    self.renew(lease, &leaving).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "entry can't be announced");
                    let jittered = backoff.mul_f64(rand::random_range(0.75..1.25));
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                    tokio::select! {
                        () = sleep(jittered) => {}
                        () = leaving.cancelled() => {}
                    }
                }
            }
        }
    }

    async fn announce(&mut self) -> Result<LeaseId, KeyValueError> {
        let lease = self.store.grant_lease(LEASE_TTL.max(self.min_ttl)).await?;
        self.write(lease).await?;
        Ok(lease)
    }

    async fn write(&mut self, lease: LeaseId) -> Result<(), KeyValueError> {
        self.record.capacity = *self.capacity.borrow_and_update();
        let value = serde_json::to_vec(&self.record)
            .map_err(|_| KeyValueError::Malformed { what: "own record" })?;
        let put = Operation::Put { key: self.key(), value: value.into(), lease: Some(lease) };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        self.store.transact(transaction).await?;
        Ok(())
    }

    /// Renews the lease until it is lost or the entry leaves, and writes changes of the record.
    async fn renew(&mut self, lease: LeaseId, leaving: &CancellationToken) {
        let mut renewals = interval(RENEWAL_INTERVAL);
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        renewals.tick().await;
        let mut is_written = true;
        loop {
            tokio::select! {
                _ = renewals.tick() => {
                    match self.store.keep_alive(lease).await {
                        Ok(()) => {}
                        Err(KeyValueError::LeaseNotFound) => return,
                        Err(error) => tracing::debug!(%error, "lease not renewed"),
                    }
                }
                () = changed(&mut self.capacity), if is_written => is_written = false,
                () = leaving.cancelled() => {
                    if let Err(error) = self.store.revoke_lease(lease).await {
                        tracing::warn!(%error, "announcement not withdrawn; its lease will expire");
                    }
                    return;
                }
            }
            if !is_written {
                match self.write(lease).await {
                    Ok(()) => is_written = true,
                    // It is written again after the next renewal.
                    Err(error) => tracing::debug!(%error, "capacity not announced"),
                }
            }
        }
    }

    fn key(&self) -> String {
        format!("{ENTRIES_PREFIX}{}", self.vm)
    }
}

/// Waits for a change; forever if there will be none.
async fn changed(capacity: &mut watch::Receiver<Option<CapacityRecord>>) {
    if capacity.changed().await.is_err() {
        std::future::pending().await
    }
}
