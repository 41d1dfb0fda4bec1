//! Forwards claims to the few entries that write for a whole region.
//!
//! With hundreds of entries hardly any two claims are pending at the same entry, so without
//! forwarding each claim would be a write of its own. Each entry has one writer and needs one
//! connection for this; a writer has a connection from each entry assigned to it.

use super::{Claim, ClaimError};
use flamingowheel_backing::BoxFuture;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// Entries per region that write claims.
const WRITERS_PER_REGION: usize = 4;

/// Timeout of a forwarded claim; the same as of a writer's calls to the service. A writer that
/// crashed or is unreachable must not use up the caller's deadline.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(1);

/// How long nothing is forwarded to a writer that failed to bind a claim. That is about the time
/// after which a crashed entry is marked as silent.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// A claim forwarded to its writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedClaim {
    /// Key of the record in the key-value service.
    pub key: String,
    /// The binding to store.
    pub claim: Claim,
    /// The binding that it replaces; none for a first binding.
    pub replaces: Option<Claim>,
    /// Time until the caller's deadline, in milliseconds.
    pub wait_ms: u64,
}

/// A writer's reply to a [`ForwardedClaim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BindReply {
    /// The binding in force: the forwarded claim or an earlier one.
    Bound(Claim),
    /// The stored record can't be parsed.
    Malformed,
    /// The writer didn't bind the key, or doesn't know whether it did.
    NotBound,
}

impl BindReply {
    /// The result for the forwarding entry. `None` if it should write the claim itself, since
    /// possibly only the writer can't reach the service.
    fn into_result(self) -> Option<Result<Claim, ClaimError>> {
        match self {
            Self::Bound(claim) => Some(Ok(claim)),
            Self::Malformed => Some(Err(ClaimError::Malformed)),
            Self::NotBound => None,
        }
    }
}

impl From<Result<Claim, ClaimError>> for BindReply {
    fn from(result: Result<Claim, ClaimError>) -> Self {
        match result {
            Ok(claim) => Self::Bound(claim),
            Err(ClaimError::Malformed) => Self::Malformed,
            Err(_) => Self::NotBound,
        }
    }
}

/// Forwards claims to other entries.
pub trait Peers: Send + Sync + 'static {
    /// Name of the entry that writes this entry's claims; `None` if that is this entry.
    fn writer(&self) -> Option<String>;

    /// Asks `writer` to bind a key. `None` without a valid reply.
    fn forward<'a>(
        &'a self,
        writer: &'a str,
        forwarded: &'a ForwardedClaim,
    ) -> BoxFuture<'a, Option<BindReply>>;
}

/// The entry that writes the claims of `own`, out of the live entries of its region.
///
/// The region's writers are the entries with the highest hashes; among them one is chosen by
/// rendezvous hashing. Entries with the same membership view choose the same writers; while views
/// differ there are temporarily more writers.
///
/// ```
/// use flamingowheel_entry::claims::writer_of;
/// assert_eq!(writer_of("entry-1", ["entry-1", "entry-2"]), "entry-1");
/// let names: Vec<String> = (0..50).map(|number| format!("entry-{number}")).collect();
/// let names = || names.iter().map(String::as_str);
/// let writers: std::collections::HashSet<_> = names().map(|own| writer_of(own, names())).collect();
/// assert_eq!(writers.len(), 4);
/// ```
pub fn writer_of<'a, I>(own: &'a str, live: I) -> &'a str
where
    I: IntoIterator<Item = &'a str>,
{
    let mut writers: Vec<_> =
        live.into_iter().map(|name| (xxh3_64(name.as_bytes()), name)).collect();
    writers.sort_unstable_by(|left, right| right.cmp(left));
    writers.truncate(WRITERS_PER_REGION);
    if writers.iter().any(|(_, name)| *name == own) {
        return own;
    }
    let score = |name: &str| xxh3_64(format!("{own}/{name}").as_bytes());
    writers.into_iter().map(|(_, name)| name).max_by_key(|name| score(name)).unwrap_or(own)
}

/// Forwards this entry's claims to its writer.
pub struct ClaimForwarder {
    peers: Arc<dyn Peers>,
    avoided: Mutex<Option<(String, Instant)>>,
}

impl ClaimForwarder {
    /// Forwards claims to one of `peers`.
    pub fn new(peers: Arc<dyn Peers>) -> Self {
        Self { peers, avoided: Mutex::default() }
    }

    /// The result of a claim at its writer; `None` if this entry has to write the claim itself. The
    /// writer may still bind the key, but to the same claim, which the second write then finds.
    pub async fn forward(
        &self,
        forwarded: &ForwardedClaim,
        deadline: Instant,
    ) -> Option<Result<Claim, ClaimError>> {
        let writer = self.peers.writer().filter(|writer| !self.is_avoided(writer))?;
        let sent_at = Instant::now();
        let give_up_at = deadline.min(sent_at + FORWARD_TIMEOUT);
        let reply = timeout_at(give_up_at, self.peers.forward(&writer, forwarded)).await;
        let result = reply.ok().flatten().and_then(BindReply::into_result);
        // A timeout shortened by the caller's deadline doesn't show that the writer failed.
        let writer_failed = give_up_at == sent_at + FORWARD_TIMEOUT || Instant::now() < give_up_at;
        if result.is_none() && writer_failed {
            let until = Instant::now() + AVOID_TIME;
            *self.avoided.lock().unwrap_or_else(PoisonError::into_inner) = Some((writer, until));
        }
        result
    }

    fn is_avoided(&self, writer: &str) -> bool {
        let avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.as_ref().is_some_and(|(name, until)| name == writer && Instant::now() < *until)
    }
}
