//! Announces this entry to the others, under a lease.

use crate::feed::reader::Members;
use crate::follow::ENTRIES_PREFIX;
use crate::view::EntryRecord;
use flamingowheel_backing::kv::{KeyValue, KeyValueError, LeaseId, Operation, Transaction};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;

/// Time to live of the lease in a small fleet. An entry that died is named to callers for this long at
/// most; they pass over an address that does not answer.
const SHORTEST_TTL: Duration = Duration::from_secs(3);

/// The same in a large one, where one of so many addresses is seldom hit.
const LONGEST_TTL: Duration = Duration::from_secs(9);

/// Renewals a second, over all entries. Each of them is paid for.
const RENEWALS_PER_S: f64 = 20.0;

/// Renewals in the time to live: two may be lost before the lease ends.
const RENEWALS_IN_TTL: u32 = 3;

/// Part of a lease's time to live below which another is granted in its place.
const SHORTER_TTL: f64 = 0.7;

/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Keeps an entry announced until it leaves.
#[derive(Debug)]
pub struct Announcement<K> {
    /// The key-value store.
    pub store: K,
    /// The entry's VM.
    pub vm: String,
    /// What is announced.
    pub record: EntryRecord,
    /// The live entries.
    pub members: watch::Receiver<Arc<Members>>,
    /// Shortest time to live that the store grants.
    pub min_ttl: Duration,
}

impl<K> Announcement<K>
where
    K: KeyValue,
{
    /// Announces until `leaving`, then takes the announcement back at once.
    pub async fn run(self, leaving: CancellationToken) {
        while !leaving.is_cancelled() {
            let ttl = self.ttl();
            match self.announce(ttl).await {
                Ok(lease) => self.keep(lease, ttl, &leaving).await,
                Err(error) => {
                    tracing::debug!(%error, "entry can't be announced");
                    tokio::select! {
                        () = sleep(RETRY_PAUSE) => {}
                        () = leaving.cancelled() => {}
                    }
                }
            }
        }
    }

    /// The time to live by which all entries' renewals keep to their rate. Before others are known, it is
    /// the longest: a fleet that starts would else renew at the rate of a small one.
    fn ttl(&self) -> Duration {
        let entries = self.members.borrow().len();
        let ttl = if entries > 1 { lease_ttl(entries) } else { LONGEST_TTL };
        ttl.max(self.min_ttl)
    }

    async fn announce(&self, ttl: Duration) -> Result<LeaseId, KeyValueError> {
        let lease = self.store.grant_lease(ttl).await?;
        let value = serde_json::to_vec(&self.record)
            .map_err(|_| KeyValueError::Malformed { what: "own record" })?;
        let put = Operation::Put { key: self.key(), value: value.into(), lease: Some(lease) };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        self.store.transact(transaction).await?;
        Ok(lease)
    }

    async fn keep(&self, lease: LeaseId, ttl: Duration, leaving: &CancellationToken) {
        let mut renewals = interval(ttl / RENEWALS_IN_TTL);
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
            if self.ttl() < ttl.mul_f64(SHORTER_TTL) {
                return;
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

/// The time to live of an entry's lease in a fleet of so many.
///
/// ```
/// use flamingowheel_gateway::member::lease_ttl;
/// assert!(lease_ttl(6) < lease_ttl(149));
/// assert_eq!(lease_ttl(149), lease_ttl(380));
/// ```
pub fn lease_ttl(entries: usize) -> Duration {
    let ttl_s = entries as f64 / RENEWALS_PER_S * f64::from(RENEWALS_IN_TTL);
    Duration::from_secs_f64(ttl_s).clamp(SHORTEST_TTL, LONGEST_TTL)
}
