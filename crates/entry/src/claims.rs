//! Binds callers' own idempotency keys to tickets, in the key-value service.
//!
//! Two resends of one key may reach two entries at the same moment. Whoever creates the key's
//! record first decides which ticket it stands for; the ticket's agent then runs the work at most
//! once. Records that wait are written together, so an entry's calls a second have a bound however
//! many requests come.

use crate::config::EntryConfig;
use flamingowheel_platform::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, LeaseId, Operation, Revision, Transaction,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Prefix of all keys written here.
pub const PREFIX: &str = "flamingowheel/idempotency-keys/";

/// Keys written in one transaction; each takes a comparison and an operation of the 128 allowed.
const MAX_BATCH: usize = 60;

/// Shortest time from one call to the next. With eight entries the service sees at most 320 writes
/// a second, and a key waits for at most this long more.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Transactions that a batch may take until all of it is bound.
const MAX_WRITES: usize = 3;

/// Claims that may wait; beyond it callers are told at once.
const QUEUE: usize = 1024;

/// A caller's key and what it should stand for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The ticket's text.
    pub ticket: String,
    /// Hash of the request, as hexadecimal text; a key must not be used for another request.
    pub fingerprint: String,
    /// How often the key was bound anew. Rises with each binding, so that of two records of one key
    /// it can be told which is later.
    #[serde(default, skip_serializing_if = "is_first")]
    pub epoch: u32,
}

fn is_first(epoch: &u32) -> bool {
    *epoch == 0
}

impl Claim {
    /// The first binding of a key.
    pub fn new(ticket: String, fingerprint: String) -> Self {
        Self { ticket, fingerprint, epoch: 0 }
    }

    /// The binding that takes this one's place.
    ///
    /// ```
    /// use flamingowheel_entry::claims::Claim;
    /// let first = Claim::new("one".into(), "0".into());
    /// assert_eq!(first.followed_by("two".into()).epoch, 1);
    /// ```
    pub fn followed_by(&self, ticket: String) -> Self {
        Self { ticket, fingerprint: self.fingerprint.clone(), epoch: self.epoch.saturating_add(1) }
    }
}

/// Why a key could not be bound. In each case nothing was sent under it by this entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The key-value service did not answer.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// What is stored can't be read.
    #[error("stored record of the idempotency key can't be read")]
    Malformed,
    /// The caller's deadline passed first.
    #[error("deadline passed before the idempotency key was bound")]
    DeadlinePassed,
    /// Too many claims wait.
    #[error("too many idempotency keys wait to be bound")]
    Busy,
}

/// A claim on its way.
struct Waiting {
    key: String,
    claim: Claim,
    /// The binding whose place it is to take, if the key is bound.
    replaces: Option<Claim>,
    /// The write of that binding, once it has been read.
    written_at: Option<Revision>,
    bound: oneshot::Sender<Result<Claim, ClaimError>>,
}

impl Waiting {
    fn compare(&self) -> Compare {
        let key = self.key.clone();
        match self.written_at {
            Some(revision) => Compare::ModRevision { key, revision },
            None => Compare::Absent { key },
        }
    }
}

/// Binds keys.
#[derive(Clone)]
pub struct Claims {
    queue: mpsc::Sender<Waiting>,
}

impl Claims {
    /// Starts the task that writes claims.
    pub fn start(kv: Arc<dyn KeyValue>, config: &EntryConfig) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE);
        let writer = Writer { kv, record_time: config.key_record_time, lease: None };
        tokio::spawn(writer.run(receiver));
        Self { queue }
    }

    /// Binds `key` to `claim`, or returns what it is bound to already. Gives up at `deadline`; the
    /// key may be bound all the same, and then stands for a ticket that nothing was sent under.
    pub async fn bind(
        &self,
        workspace: &str,
        key: &str,
        claim: Claim,
        deadline: Instant,
    ) -> Result<Claim, ClaimError> {
        self.settle(workspace, key, claim, None, deadline).await
    }

    /// Binds `key` to `claim` in the place of `old`, whose ticket provably never ran and won't. If
    /// the key stands for something else by now, that is returned: somebody else was first.
    pub async fn rebind(
        &self,
        workspace: &str,
        key: &str,
        old: Claim,
        claim: Claim,
        deadline: Instant,
    ) -> Result<Claim, ClaimError> {
        self.settle(workspace, key, claim, Some(old), deadline).await
    }

    async fn settle(
        &self,
        workspace: &str,
        key: &str,
        claim: Claim,
        replaces: Option<Claim>,
        deadline: Instant,
    ) -> Result<Claim, ClaimError> {
        let (bound, answer) = oneshot::channel();
        let key = record_key(workspace, key);
        let waiting = Waiting { key, claim, replaces, written_at: None, bound };
        self.queue.try_send(waiting).map_err(|_| ClaimError::Busy)?;
        let answer = timeout_at(deadline, answer).await.map_err(|_| ClaimError::DeadlinePassed)?;
        answer.map_err(|_| ClaimError::Busy)?
    }
}

fn record_key(workspace: &str, key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{PREFIX}{workspace}/{hex}")
}

struct Writer {
    kv: Arc<dyn KeyValue>,
    record_time: Duration,
    lease: Option<(LeaseId, Instant)>,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::Receiver<Waiting>) {
        let mut batch = Vec::with_capacity(MAX_BATCH);
        let mut written = None;
        // While one transaction is on its way the next batch gathers, so there is never more than
        // one call at a time. A service that answers quickly would still see a call for nearly
        // every key; so after one call the next waits, and takes what has come meanwhile.
        while queue.recv_many(&mut batch, MAX_BATCH).await > 0 {
            if let Some(next) = written.map(|at: Instant| at + CALL_INTERVAL) {
                sleep_until(next).await;
                take_more(&mut queue, &mut batch);
            }
            written = Some(Instant::now());
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
        keep_one_per_key(batch);
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

/// A transaction may name a key once; the second of two claims is told to come again.
fn keep_one_per_key(batch: &mut Vec<Waiting>) {
    let mut seen = std::collections::HashSet::new();
    let (first, second): (Vec<_>, Vec<_>) =
        batch.drain(..).partition(|waiting| seen.insert(waiting.key.clone()));
    *batch = first;
    for waiting in second {
        let _ = waiting.bound.send(Err(ClaimError::Busy));
    }
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
