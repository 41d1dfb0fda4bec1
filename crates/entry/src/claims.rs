//! Binds callers' own idempotency keys to tickets, in the key-value service.
//!
//! Two resends with the same key may reach two entries concurrently. The first to create the key's
//! record decides which ticket the key is bound to; the ticket's agent then runs the work at most
//! once. Pending records are written in batches, which bounds an entry's calls per second whatever
//! the request rate. In a large fleet entries forward their claims to a few writers, which bounds
//! the calls of the whole fleet. Correctness doesn't depend on which entry writes, only on the
//! transaction's comparison.

mod forwarding;
mod writer;

pub use forwarding::{BindReply, ClaimForwarder, ForwardedClaim, Peers, writer_of};

use crate::config::EntryConfig;
use flamingowheel_backing::kv::{Compare, KeyValue, KeyValueError, Revision};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};
use writer::Writer;

/// Prefix of the records in the key-value service.
pub const PREFIX: &str = "flamingowheel/idempotency-keys/";

/// Most claims per transaction. Each takes one comparison and one operation, of 128 allowed.
const MAX_BATCH: usize = 60;

/// Shortest time between two batches. Eight writers make at most 160 writes per second together,
/// and a claim waits at most this much longer.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Most pending claims; further ones fail at once with [`ClaimError::Busy`].
const QUEUE_CAPACITY: usize = 1024;

/// The stored record of a caller's key: the ticket that it is bound to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The ticket's text.
    pub ticket: String,
    /// Hash of the request, in hexadecimal. A key must not be reused for a different request.
    pub fingerprint: String,
    /// Number of rebindings so far. It increases with each one, so of two records of the same key
    /// the later one can be identified.
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

    /// The binding that replaces this one.
    ///
    /// ```
    /// use flamingowheel_entry::claims::Claim;
    /// let first = Claim::new("one".into(), "0".into());
    /// assert_eq!(first.successor("two".into()).epoch, 1);
    /// ```
    pub fn successor(&self, ticket: String) -> Self {
        Self { ticket, fingerprint: self.fingerprint.clone(), epoch: self.epoch.saturating_add(1) }
    }
}

/// Why a key could not be bound. In each case this entry has sent nothing under it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The call to the key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// The stored record can't be parsed.
    #[error("stored record of the idempotency key can't be parsed")]
    Malformed,
    /// The caller's deadline passed before the key was bound.
    #[error("deadline passed before the idempotency key was bound")]
    DeadlinePassed,
    /// Too many claims are pending, or concurrent writes of the same key prevented the binding.
    #[error("too many idempotency keys are waiting to be bound")]
    Busy,
}

/// A claim queued for the writer.
struct PendingClaim {
    key: String,
    claim: Claim,
    /// The binding to replace if the key is bound to it.
    replaces: Option<Claim>,
    /// Revision of the binding to replace, once it has been read.
    stored_revision: Option<Revision>,
    reply: oneshot::Sender<Result<Claim, ClaimError>>,
}

impl PendingClaim {
    fn compare(&self) -> Compare {
        let key = self.key.clone();
        match self.stored_revision {
            Some(revision) => Compare::ModRevision { key, revision },
            None => Compare::Absent { key },
        }
    }
}

/// Binds idempotency keys, through peers if there are any.
#[derive(Clone)]
pub struct Claims {
    queue: mpsc::Sender<PendingClaim>,
    forwarder: Arc<OnceLock<ClaimForwarder>>,
}

impl Claims {
    /// Starts the task that writes claims.
    pub fn start(kv: Arc<dyn KeyValue>, config: &EntryConfig) -> Self {
        let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let writer = Writer { kv, retention: config.key_retention, lease: None };
        tokio::spawn(writer.run(receiver));
        Self { queue, forwarder: Arc::default() }
    }

    /// Sets the peers to which claims are forwarded; only the first call has an effect. Without
    /// peers this entry writes its own claims.
    pub fn set_peers(&self, peers: Arc<dyn Peers>) {
        let _ = self.forwarder.set(ClaimForwarder::new(peers));
    }

    /// Binds `key` to `claim`, or returns the existing binding. After `deadline` the key may still
    /// become bound, to a ticket under which nothing was sent.
    pub async fn bind(
        &self,
        workspace: &str,
        key: &str,
        claim: Claim,
        deadline: Instant,
    ) -> Result<Claim, ClaimError> {
        self.forward_or_bind(workspace, key, claim, None, deadline).await
    }

    /// Replaces the binding `old`, whose ticket provably never ran and won't, by `claim`. If another
    /// request has rebound the key meanwhile, that binding is returned.
    pub async fn rebind(
        &self,
        workspace: &str,
        key: &str,
        old: Claim,
        claim: Claim,
        deadline: Instant,
    ) -> Result<Claim, ClaimError> {
        self.forward_or_bind(workspace, key, claim, Some(old), deadline).await
    }

    async fn forward_or_bind(
        &self,
        workspace: &str,
        key: &str,
        claim: Claim,
        replaces: Option<Claim>,
        deadline: Instant,
    ) -> Result<Claim, ClaimError> {
        let key = record_key(workspace, key);
        let wait = deadline.saturating_duration_since(Instant::now());
        let forwarded = ForwardedClaim { key, claim, replaces, wait_ms: wait.as_millis() as u64 };
        if let Some(forwarder) = self.forwarder.get()
            && let Some(result) = forwarder.forward(&forwarded, deadline).await
        {
            return result;
        }
        self.bind_here(forwarded, deadline).await
    }

    /// Binds a key on behalf of another entry.
    pub async fn bind_for_peer(&self, forwarded: ForwardedClaim) -> BindReply {
        let deadline = Instant::now() + Duration::from_millis(forwarded.wait_ms);
        self.bind_here(forwarded, deadline).await.into()
    }

    async fn bind_here(
        &self,
        forwarded: ForwardedClaim,
        deadline: Instant,
    ) -> Result<Claim, ClaimError> {
        let (reply, answer) = oneshot::channel();
        let ForwardedClaim { key, claim, replaces, .. } = forwarded;
        let pending = PendingClaim { key, claim, replaces, stored_revision: None, reply };
        self.queue.try_send(pending).map_err(|_| ClaimError::Busy)?;
        let answer = timeout_at(deadline, answer).await.map_err(|_| ClaimError::DeadlinePassed)?;
        answer.map_err(|_| ClaimError::Busy)?
    }
}

fn record_key(workspace: &str, key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    let hex: String = hash.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{PREFIX}{workspace}/{hex}")
}
