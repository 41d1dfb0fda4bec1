//! Announces this entry to the others, under a lease.

use crate::publish::ENTRIES_PREFIX;
use crate::view::EntryRecord;
use flamingowheel_backing::kv::{KeyValue, KeyValueError, LeaseId, Operation, Transaction};
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// Time to live of the lease. An entry that died is named to callers for this long at most; they
/// pass over an address that does not answer.
const LEASE_TTL: Duration = Duration::from_millis(3_500);

/// Time between renewals: one may be lost before the lease ends. Each is paid for.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_400);

/// Pause after a failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause. What the store turns away is paid for as well.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_400);

/// Keeps an entry announced until it leaves.
#[derive(Debug)]
pub struct Announcement<K> {
    /// The key-value store.
    pub store: K,
    /// The entry's VM.
    pub vm: String,
    /// What is announced.
    pub record: EntryRecord,
    /// Shortest time to live that the store grants.
    pub min_ttl: Duration,
}

impl<K> Announcement<K>
where
    K: KeyValue,
{
    /// Announces until `leaving`, then takes the announcement back at once.
    pub async fn run(self, leaving: CancellationToken) {
        let mut pause = FIRST_PAUSE;
        while !leaving.is_cancelled() {
            match self.announce().await {
                Ok(lease) => {
                    pause = FIRST_PAUSE;
                    self.keep(lease, &leaving).await;
                }
                Err(error) => {
                    tracing::debug!(%error, "entry can't be announced");
                    let spread = pause.mul_f64(rand::random_range(0.75..1.25));
                    pause = (pause * 2).min(LONGEST_PAUSE);
                    tokio::select! {
                        () = sleep(spread) => {}
                        () = leaving.cancelled() => {}
                    }
                }
            }
        }
    }

    async fn announce(&self) -> Result<LeaseId, KeyValueError> {
        let lease = self.store.grant_lease(LEASE_TTL.max(self.min_ttl)).await?;
        let value = serde_json::to_vec(&self.record)
            .map_err(|_| KeyValueError::Malformed { what: "own record" })?;
        let put = Operation::Put { key: self.key(), value: value.into(), lease: Some(lease) };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        self.store.transact(transaction).await?;
        Ok(lease)
    }

    async fn keep(&self, lease: LeaseId, leaving: &CancellationToken) {
        let mut renewals = interval(RENEWAL_INTERVAL);
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        renewals.tick().await;
        loop {
            tokio::select! {
                _ = renewals.tick() => {}
                () = leaving.cancelled() => {
                    if let Err(error) = self.store.revoke_lease(lease).await {
                        tracing::warn!(%error, "announcement not taken back; its lease runs out");
                    }
                    return;
                }
            }
            match self.store.keep_alive(lease).await {
                Ok(()) => {}
                Err(KeyValueError::LeaseNotFound) => return,
                Err(error) => tracing::debug!(%error, "lease not renewed"),
            }
        }
    }

    fn key(&self) -> String {
        format!("{ENTRIES_PREFIX}{}", self.vm)
    }
}
