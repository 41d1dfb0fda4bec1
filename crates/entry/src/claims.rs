//! Binds callers' own idempotency keys to tickets, in the key-value service.
//!
//! Two resends of one key may reach two entries at the same moment. Whoever creates the key's
//! record first decides which ticket it stands for; the ticket's agent then runs the work at most
//! once. Records that wait are written together, so an entry's calls a second have a bound however
//! many requests come. Where there are many entries they hand their claims to a few, so that the
//! fleet's calls have a bound, too. Who writes decides nothing: the comparison does.

mod handing;
mod writer;

pub use handing::{BindReply, ForwardedClaim, Handing, Peers, writer_of};

use crate::config::EntryConfig;
use flamingowheel_backing::kv::{Compare, KeyValue, KeyValueError, Revision};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};
use writer::Writer;

/// Prefix of all keys written here.
pub const PREFIX: &str = "flamingowheel/idempotency-keys/";

/// Keys written in one transaction; each takes a comparison and an operation of the 128 allowed.
const MAX_BATCH: usize = 60;

/// Shortest time from one call to the next. With eight entries that write the service sees at most
/// 160 writes a second, and a key waits for at most this long more.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

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
    handing: Arc<OnceLock<Handing>>,
}

impl Claims {
    /// Starts the task that writes claims.
    pub fn start(kv: Arc<dyn KeyValue>, config: &EntryConfig) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE);
        let writer = Writer { kv, record_time: config.key_record_time, lease: None };
        tokio::spawn(writer.run(receiver));
        Self { queue, handing: Arc::default() }
    }

    /// Says how claims are handed to entries that write for others; only the first counts. Without
    /// it this entry writes its own.
    pub fn set_peers(&self, peers: Arc<dyn Peers>) {
        let _ = self.handing.set(Handing::new(peers));
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
        let key = record_key(workspace, key);
        let wait = deadline.saturating_duration_since(Instant::now());
        let handed = ForwardedClaim { key, claim, replaces, wait_ms: wait.as_millis() as u64 };
        if let Some(handing) = self.handing.get()
            && let Some(verdict) = handing.hand(&handed, deadline).await
        {
            return verdict;
        }
        self.settle_here(handed, deadline).await
    }

    /// Binds a key for another entry.
    pub async fn bind_for_peer(&self, handed: ForwardedClaim) -> BindReply {
        let deadline = Instant::now() + Duration::from_millis(handed.wait_ms);
        self.settle_here(handed, deadline).await.into()
    }

    async fn settle_here(
        &self,
        handed: ForwardedClaim,
        deadline: Instant,
    ) -> Result<Claim, ClaimError> {
        let (bound, answer) = oneshot::channel();
        let ForwardedClaim { key, claim, replaces, .. } = handed;
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
