//! Hands claims to the few entries that write for all of a region.
//!
//! With hundreds of entries hardly any two claims wait at the same one, so each would be a write of
//! its own. An entry has one writer, so it needs one connection for this, and a writer as many as
//! there are entries to one writer.

use super::{Claim, ClaimError};
use flamingowheel_backing::BoxFuture;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

/// Entries that write, in each region.
const WRITERS: usize = 4;

/// How long a writer may take, which is as long as its calls to the service may. One that is gone or
/// cut off must not cost a caller its deadline.
const HAND_LIMIT: Duration = Duration::from_secs(1);

/// How long nothing is handed to a writer that bound nothing; then the membership knows more.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// A claim on its way to its writer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedClaim {
    /// Key of the record.
    pub key: String,
    /// What the caller's key is to stand for.
    pub claim: Claim,
    /// The binding whose place it is to take.
    pub replaces: Option<Claim>,
    /// How long the caller waits, in milliseconds.
    pub wait_ms: u64,
}

/// What became of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BindReply {
    /// The key stands for this.
    Bound(Claim),
    /// What is stored can't be read.
    Malformed,
    /// It is not known to be bound.
    NotBound,
}

impl BindReply {
    /// What the caller's entry makes of it; `None` if it should try to write itself, for it may be
    /// the writer alone that does not reach the service.
    fn verdict(self) -> Option<Result<Claim, ClaimError>> {
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

/// The other entries.
pub trait Peers: Send + Sync + 'static {
    /// Name of the entry that writes this one's claims; `None` if it does so itself.
    fn writer(&self) -> Option<String>;

    /// Has an entry bind a key. `None` if it gave no answer that can be read.
    fn forward<'a>(
        &'a self,
        writer: &'a str,
        handed: &'a ForwardedClaim,
    ) -> BoxFuture<'a, Option<BindReply>>;
}

/// The entry that writes the claims of `own`, out of the live entries of its region: by rendezvous
/// among the few that write, which are chosen in the same way. All agree as far as they know the
/// same entries; where they don't, there are more writers for a while.
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
    writers.truncate(WRITERS);
    if writers.iter().any(|(_, name)| *name == own) {
        return own;
    }
    let score = |name: &str| xxh3_64(format!("{own}/{name}").as_bytes());
    writers.into_iter().map(|(_, name)| name).max_by_key(|name| score(name)).unwrap_or(own)
}

/// Hands claims over.
pub struct Handing {
    peers: Arc<dyn Peers>,
    avoided: Mutex<Option<(String, Instant)>>,
}

impl Handing {
    /// Hands claims to these.
    pub fn new(peers: Arc<dyn Peers>) -> Self {
        Self { peers, avoided: Mutex::default() }
    }

    /// What became of a claim at its writer; `None` if this entry has to write itself. The writer may
    /// bind the key all the same, to this very claim: the second write then finds what it wanted.
    pub async fn hand(
        &self,
        handed: &ForwardedClaim,
        deadline: Instant,
    ) -> Option<Result<Claim, ClaimError>> {
        let writer = self.peers.writer().filter(|writer| !self.is_avoided(writer))?;
        let asked = Instant::now();
        let limit = deadline.min(asked + HAND_LIMIT);
        let settled = timeout_at(limit, self.peers.forward(&writer, handed)).await;
        let verdict = settled.ok().flatten().and_then(BindReply::verdict);
        // A caller with little time says nothing of the writer.
        let was_patient = limit == asked + HAND_LIMIT || Instant::now() < limit;
        if verdict.is_none() && was_patient {
            let until = Instant::now() + AVOID_TIME;
            *self.avoided.lock().unwrap_or_else(PoisonError::into_inner) = Some((writer, until));
        }
        verdict
    }

    fn is_avoided(&self, writer: &str) -> bool {
        let avoided = self.avoided.lock().unwrap_or_else(PoisonError::into_inner);
        avoided.as_ref().is_some_and(|(name, until)| name == writer && Instant::now() < *until)
    }
}
