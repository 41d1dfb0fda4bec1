//! Writes claims to the key-value service, many in a transaction.

use super::{CALL_INTERVAL, Claim, ClaimError, MAX_BATCH, Waiting};
use flamingowheel_backing::kv::{
    KeyValue, KeyValueEntry, KeyValueError, LeaseId, Operation, Transaction,
};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Transactions that a batch may take until all of it is bound.
const MAX_WRITES: usize = 3;

pub(super) struct Writer {
    pub(super) kv: Arc<dyn KeyValue>,
    pub(super) record_time: Duration,
    pub(super) lease: Option<(LeaseId, Instant)>,
}

impl Writer {
    pub(super) async fn run(mut self, mut queue: mpsc::Receiver<Waiting>) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        let mut written = None;
        // While one transaction is on its way the next batch gathers, so there is never more than
        // one call at a time. A service that answers quickly would still see a call for nearly
        // every key; so after one call the next waits, and takes what has come meanwhile.
        let mut second = Vec::new();
        while !second.is_empty() || queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
            batch.append(&mut second);
            if let Some(next) = written.map(|at: Instant| at + CALL_INTERVAL) {
                sleep_until(next).await;
                take_more(&mut queue, &mut batch);
            }
            written = Some(Instant::now());
            second = take_second_of_keys(&mut batch);
            self.bind_all(&mut batch).await;
        }
    }

    /// Binds the whole batch in at most four transactions: one that hopes that all are new, one for
    /// those that are and for those that take another's place, one more if somebody else came
    /// between, and one to read back.
    async fn bind_all(&mut self, batch: &mut Vec<Waiting>) {
        // With the service silent each batch takes about a second; without this, callers who wait
        // still would stand behind all who gave up.
        batch.retain(|waiting| !waiting.bound.is_closed());
        for _ in 0..MAX_WRITES {
            if batch.is_empty() {
                return;
            }
            match self.create(batch).await {
                Ok(Created::All) => return settle_all(batch),
                Ok(Created::None { stored }) => settle_stored(batch, stored),
                Err(error) if error.may_have_taken_effect() => {
                    return self.read_back(batch, error).await;
                }
                Err(error) => return fail_all(batch, &error.into()),
            }
        }
        fail_all(batch, &ClaimError::Busy);
    }

    async fn create(&mut self, batch: &[Waiting]) -> Result<Created, KeyValueError> {
        let lease = self.lease().await?;
        let answer = self
            .kv
            .transact(Transaction {
                compares: batch.iter().map(Waiting::compare).collect(),
                on_success: batch.iter().map(|w| put(w, lease)).collect(),
                on_failure: batch.iter().map(get).collect(),
            })
            .await?;
        Ok(match answer.succeeded {
            true => Created::All,
            false => Created::None { stored: answer.reads },
        })
    }

    /// The write may or may not have taken effect. What is stored now decides; an own claim that
    /// is not there may still arrive, so those callers are told that nothing was sent.
    async fn read_back(&self, batch: &mut Vec<Waiting>, error: KeyValueError) {
        let on_success = batch.iter().map(get).collect();
        let read = Transaction { on_success, ..Transaction::default() };
        match self.kv.transact(read).await {
            Ok(answer) => settle_stored(batch, answer.reads),
            Err(_) => tracing::warn!("idempotency keys could not be read back"),
        }
        fail_all(batch, &error.into());
    }

    /// A lease that outlives the record time of every key written under it. One lease serves
    /// many keys, so expiry costs no call per key.
    async fn lease(&mut self) -> Result<LeaseId, KeyValueError> {
        if let Some((lease, granted)) = self.lease
            && granted.elapsed() < self.record_time
        {
            return Ok(lease);
        }
        let lease = self.kv.grant_lease(self.record_time * 2).await?;
        self.lease = Some((lease, Instant::now()));
        Ok(lease)
    }
}

enum Created {
    All,
    None { stored: Vec<Option<KeyValueEntry>> },
}

fn take_more(queue: &mut mpsc::Receiver<Waiting>, batch: &mut Vec<Waiting>) {
    while batch.len() < MAX_BATCH {
        let Ok(waiting) = queue.try_recv() else { return };
        batch.push(waiting);
    }
}

fn put(waiting: &Waiting, lease: LeaseId) -> Operation {
    // Writing plain values to memory can't fail.
    let value = serde_json::to_vec(&waiting.claim).unwrap_or_default();
    Operation::Put { key: waiting.key.clone(), value: value.into(), lease: Some(lease) }
}

fn get(waiting: &Waiting) -> Operation {
    Operation::Get { key: waiting.key.clone() }
}

/// A transaction may name a key once: of two claims of one key, as from a resend at the same moment,
/// the second is for the next transaction, and finds what the first stored.
fn take_second_of_keys(batch: &mut Vec<Waiting>) -> Vec<Waiting> {
    let mut seen = HashSet::new();
    let (first, second) =
        batch.drain(..).partition(|waiting: &Waiting| seen.insert(waiting.key.clone()));
    *batch = first;
    second
}

fn settle_all(batch: &mut Vec<Waiting>) {
    for waiting in batch.drain(..) {
        let _ = waiting.bound.send(Ok(waiting.claim));
    }
}

/// Answers those whose key is stored, and keeps the others: those whose key is new, and those that
/// are to take the place of what is stored.
fn settle_stored(batch: &mut Vec<Waiting>, stored: Vec<Option<KeyValueEntry>>) {
    let waiting = std::mem::take(batch);
    for (mut waiting, stored) in waiting.into_iter().zip(stored) {
        let Some(entry) = stored else {
            waiting.written_at = None;
            batch.push(waiting);
            continue;
        };
        match serde_json::from_slice::<Claim>(&entry.value) {
            Ok(claim) if waiting.replaces.as_ref() == Some(&claim) => {
                waiting.written_at = Some(entry.mod_revision);
                batch.push(waiting);
            }
            claim => {
                let _ = waiting.bound.send(claim.map_err(|_| ClaimError::Malformed));
            }
        }
    }
}

fn fail_all(batch: &mut Vec<Waiting>, error: &ClaimError) {
    for waiting in batch.drain(..) {
        let _ = waiting.bound.send(Err(error.clone()));
    }
}
