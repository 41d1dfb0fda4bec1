//! Keeps this entry's claim to retries in the key-value store, for the process that follows it.

use crate::budget::RetryBudget;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, LeaseId, Operation, Revision, Transaction,
};
use flamingowheel_policy::claim::StoredClaim;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

/// Prefix of the keys of claims; the VM's name follows.
pub const CLAIMS_PREFIX: &str = "flamingowheel/claims/";

/// Time for which the store keeps a claim after its last renewal, the longest that it grants.
const CLAIM_TTL: Duration = Duration::from_secs(600);

/// Time between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(240);

/// Time between checks whether the claim is to be changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a failed call is made again, doubled with each further failure up to the most.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);

/// Why a claim can't be kept.
#[derive(Debug, thiserror::Error)]
enum ClaimError {
    #[error("{0}")]
    Store(#[from] KeyValueError),
    #[error("the claim was changed by another process")]
    Conflict,
}

/// Claims retries for one entry.
#[derive(Debug)]
pub struct ClaimKeeper<K> {
    store: K,
    key: String,
    budget: Arc<RetryBudget>,
}

impl<K> ClaimKeeper<K>
where
    K: KeyValue,
{
    /// Creates the keeper of the claim of `vm`.
    pub fn new(store: K, vm: &str, budget: Arc<RetryBudget>) -> Self {
        Self { store, key: format!("{CLAIMS_PREFIX}{vm}"), budget }
    }

    /// Runs until the task is aborted.
    pub async fn run(self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let error = match self.begin().await {
                Ok((lease, revision)) => {
                    backoff = INITIAL_BACKOFF;
                    self.keep(lease, revision).await
                }
                Err(error) => error,
            };
            self.budget.lose_claim();
            tracing::info!(%error, "retries not claimed");
            sleep(backoff.mul_f64(rand::random_range(0.75..1.25))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Reads the claim of the process before this one, and adds the first one of its own.
    async fn begin(&self) -> Result<(LeaseId, Revision), ClaimError> {
        let found = self.read().await?;
        let previous = found.as_ref().and_then(|entry| self.decode(entry));
        let first = self.budget.first_claim(previous, Instant::now());
        let lease = self.store.grant_lease(CLAIM_TTL).await?;
        let revision = self.write(first, lease, found.map(|entry| entry.mod_revision)).await?;
        self.budget.begin_claim(previous, first, Instant::now());
        tracing::info!(
            claimed = first.claimed,
            predecessor = previous.map(|previous| previous.claimed),
            entries = first.entries,
            "retries claimed"
        );
        Ok((lease, revision))
    }

    /// Changes the claim as the budget asks for it, until another process has changed it.
    async fn keep(&self, lease: LeaseId, mut revision: Revision) -> ClaimError {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut renewed_at = Instant::now();
        loop {
            checks.tick().await;
            let now = Instant::now();
            if let Some(claim) = self.budget.next_claim(now) {
                match self.write(claim, lease, Some(revision)).await {
                    Ok(written) => {
                        revision = written;
                        self.budget.record_claim(claim);
                        tracing::info!(
                            claimed = claim.claimed,
                            entries = claim.entries,
                            "claim changed"
                        );
                    }
                    // What is stored is at least what this process uses; the change may be too.
                    Err(ClaimError::Store(error)) => {
                        tracing::info!(%error, "claim not changed");
                        match self.read().await {
                            Ok(Some(found)) => revision = found.mod_revision,
                            Ok(None) => return ClaimError::Conflict,
                            Err(error) => tracing::debug!(%error, "claim not read"),
                        }
                    }
                    Err(ClaimError::Conflict) => return ClaimError::Conflict,
                }
            }
            if now - renewed_at >= RENEWAL_INTERVAL {
                renewed_at = now;
                match self.store.keep_alive(lease).await {
                    Ok(()) => {}
                    Err(KeyValueError::LeaseNotFound) => {
                        return KeyValueError::LeaseNotFound.into();
                    }
                    Err(error) => tracing::debug!(%error, "lease of the claim not renewed"),
                }
            }
        }
    }

    async fn read(&self) -> Result<Option<KeyValueEntry>, ClaimError> {
        let snapshot = self.store.range(&self.key).await?;
        Ok(snapshot.entries.into_iter().find(|entry| entry.key == self.key))
    }

    fn decode(&self, entry: &KeyValueEntry) -> Option<StoredClaim> {
        match serde_json::from_slice(&entry.value) {
            Ok(claim) => Some(claim),
            Err(error) => {
                tracing::warn!(key = self.key, %error, "claim can't be read");
                None
            }
        }
    }

    /// Writes the claim, if nothing else has been written since `revision`.
    async fn write(
        &self,
        claim: StoredClaim,
        lease: LeaseId,
        revision: Option<Revision>,
    ) -> Result<Revision, ClaimError> {
        let key = self.key.clone();
        let compare = match revision {
            Some(revision) => Compare::ModRevision { key: key.clone(), revision },
            None => Compare::Absent { key: key.clone() },
        };
        let value = serde_json::to_vec(&claim)
            .map_err(|_| KeyValueError::Malformed { what: "own claim" })?;
        let put = Operation::Put { key, value: value.into(), lease: Some(lease) };
        let transaction = Transaction {
            compares: vec![compare],
            on_success: vec![put],
            ..Transaction::default()
        };
        let answer = self.store.transact(transaction).await?;
        if answer.succeeded { Ok(answer.revision) } else { Err(ClaimError::Conflict) }
    }
}
