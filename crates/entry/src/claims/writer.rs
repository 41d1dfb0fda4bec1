//! Writes claims to the key-value service in batches.

use super::{CALL_INTERVAL, Claim, ClaimError, MAX_BATCH, PendingClaim};
use flamingowheel_backing::kv::{
    KeyValue, KeyValueEntry, KeyValueError, LeaseId, Operation, Transaction,
};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Write transactions per batch before the remaining claims fail.
const MAX_WRITES: usize = 3;

pub(super) struct Writer {
    pub(super) kv: Arc<dyn KeyValue>,
    pub(super) retention: Duration,
    pub(super) lease: Option<(LeaseId, Instant)>,
}

impl Writer {
    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<PendingClaim>) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        let mut last_write = None;
        // The next batch fills while a transaction is in flight, so there is at most one call at a
        // time. A fast service would still receive a call for nearly every claim, so batches are
        // also spaced by `CALL_INTERVAL`, and each takes the claims queued meanwhile.
        let mut deferred = Vec::new();
        while !deferred.is_empty() || queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
            batch.append(&mut deferred);
            if let Some(next) = last_write.map(|at: Instant| at + CALL_INTERVAL) {
                sleep_until(next).await;
                fill_batch(&mut queue, &mut batch);
            }
            last_write = Some(Instant::now());
            deferred = split_off_duplicate_keys(&mut batch);
            self.bind_all(&mut batch).await;
        }
    }

    /// Binds the whole batch in at most four transactions: one on the assumption that all keys are
    /// new, one for those that are and for rebindings, one more after a concurrent write, and one
    /// to read back a write whose result is unknown.
    async fn bind_all(&mut self, batch: &mut Vec<PendingClaim>) {
        // While the service doesn't answer each batch takes about a second. Without this, callers
        // that still wait would queue behind all that have given up.
        batch.retain(|pending| !pending.reply.is_closed());
        for _ in 0..MAX_WRITES {
            if batch.is_empty() {
                return;
            }
            match self.create(batch).await {
                Ok(Created::All) => return reply_all_bound(batch),
                Ok(Created::None { stored }) => reply_stored(batch, stored),
                Err(error) if error.may_have_taken_effect() => {
                    return self.read_back(batch, error).await;
                }
                Err(error) => return fail_all(batch, &error.into()),
            }
        }
        fail_all(batch, &ClaimError::Busy);
    }

    async fn create(&mut self, batch: &[PendingClaim]) -> Result<Created, KeyValueError> {
        let lease = self.lease().await?;
        let answer = self
            .kv
            .transact(Transaction {
                compares: batch.iter().map(PendingClaim::compare).collect(),
                on_success: batch.iter().map(|pending| put(pending, lease)).collect(),
                on_failure: batch.iter().map(get).collect(),
            })
            .await?;
        Ok(match answer.succeeded {
            true => Created::All,
            false => Created::None { stored: answer.reads },
        })
    }

    /// Reads the keys after a write that may or may not have taken effect. Stored bindings are
    /// returned. A claim that is not stored may still be written later, so its caller gets the
    /// error and sends nothing under the key.
    async fn read_back(&self, batch: &mut Vec<PendingClaim>, error: KeyValueError) {
        let on_success = batch.iter().map(get).collect();
        let read = Transaction { on_success, ..Transaction::default() };
        match self.kv.transact(read).await {
            Ok(answer) => reply_stored(batch, answer.reads),
            Err(_) => {
                tracing::warn!("can't read back idempotency keys after a write of unknown result")
            }
        }
        fail_all(batch, &error.into());
    }

    /// A lease that outlasts the retention of every key written under it. One lease covers many
    /// keys, so expiry costs no call per key.
    async fn lease(&mut self) -> Result<LeaseId, KeyValueError> {
        if let Some((lease, granted)) = self.lease
            && granted.elapsed() < self.retention
        {
            return Ok(lease);
        }
        let lease = self.kv.grant_lease(self.retention * 2).await?;
        self.lease = Some((lease, Instant::now()));
        Ok(lease)
    }
}

/// Result of a write: all claims were stored, or none.
enum Created {
    All,
    None { stored: Vec<Option<KeyValueEntry>> },
}

fn fill_batch(queue: &mut mpsc::Receiver<PendingClaim>, batch: &mut Vec<PendingClaim>) {
    while batch.len() < MAX_BATCH {
        let Ok(pending) = queue.try_recv() else { return };
        batch.push(pending);
    }
}

fn put(pending: &PendingClaim, lease: LeaseId) -> Operation {
    // Serialising plain values to memory can't fail.
    let value = serde_json::to_vec(&pending.claim).unwrap_or_default();
    Operation::Put { key: pending.key.clone(), value: value.into(), lease: Some(lease) }
}

fn get(pending: &PendingClaim) -> Operation {
    Operation::Get { key: pending.key.clone() }
}

/// Removes and returns claims whose key occurs earlier in the batch, for example from a concurrent
/// resend. A transaction may name a key only once; in the next one they find the stored binding.
fn split_off_duplicate_keys(batch: &mut Vec<PendingClaim>) -> Vec<PendingClaim> {
    let mut seen = HashSet::new();
    let (first, duplicates) =
        batch.drain(..).partition(|pending: &PendingClaim| seen.insert(pending.key.clone()));
    *batch = first;
    duplicates
}

fn reply_all_bound(batch: &mut Vec<PendingClaim>) {
    for pending in batch.drain(..) {
        let _ = pending.reply.send(Ok(pending.claim));
    }
}

/// Replies to claims whose key is bound already. Keeps the others in the batch: those whose key is
/// new, and those that replace the stored binding.
fn reply_stored(batch: &mut Vec<PendingClaim>, stored: Vec<Option<KeyValueEntry>>) {
    let claims = std::mem::take(batch);
    for (mut pending, stored) in claims.into_iter().zip(stored) {
        let Some(entry) = stored else {
            pending.stored_revision = None;
            batch.push(pending);
            continue;
        };
        match serde_json::from_slice::<Claim>(&entry.value) {
            Ok(claim) if pending.replaces.as_ref() == Some(&claim) => {
                pending.stored_revision = Some(entry.mod_revision);
                batch.push(pending);
            }
            claim => {
                let _ = pending.reply.send(claim.map_err(|_| ClaimError::Malformed));
            }
        }
    }
}

fn fail_all(batch: &mut Vec<PendingClaim>, error: &ClaimError) {
    for pending in batch.drain(..) {
        let _ = pending.reply.send(Err(error.clone()));
    }
}
