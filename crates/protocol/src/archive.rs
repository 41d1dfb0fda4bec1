//! Answers of finished tickets, stored in the key-value service by an agent that shuts down.
//!
//! They serve callers that resend a request after the agent has gone. Without an answer it is
//! unknown whether the ticket ran, unless the agent sealed its archive: then a ticket that is not
//! in it never ran.

use crate::id::{Fingerprint, Incarnation, Window};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Prefix of the keys of archived answers and seals.
pub const PREFIX: &str = "flamingowheel/answers/";

/// Buckets, each stored under its own key, among which the answers of one agent process are
/// divided, so that each value stays small and a lookup reads only one.
pub const BUCKETS: usize = 256;

/// The complete answer of a finished ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchivedAnswer {
    /// Number of the ticket that the answer belongs to.
    #[serde(rename = "n")]
    pub number: Uuid,
    /// Hash of workspace, route and body.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// HTTP status of the answer.
    #[serde(rename = "s")]
    pub status: u16,
    /// Media type of `body`.
    #[serde(rename = "t")]
    pub content_type: String,
    /// Body of the answer, stored as a byte string.
    #[serde(rename = "b", with = "crate::message::serde_body")]
    pub body: Bytes,
}

/// The bucket that holds a ticket's answer.
///
/// ```
/// use flamingowheel_protocol::archive::{BUCKETS, bucket};
/// assert!(bucket(uuid::Uuid::now_v7()) < BUCKETS);
/// ```
pub fn bucket(number: Uuid) -> usize {
    // The last byte of a ticket's number is random.
    usize::from(number.as_bytes()[15])
}

/// The key of a bucket of one agent process.
///
/// ```
/// use flamingowheel_protocol::{archive::key, id::Incarnation};
/// assert_eq!(key(Incarnation(10), 255), "flamingowheel/answers/000000000000000a/ff");
/// ```
pub fn key(incarnation: Incarnation, bucket: usize) -> String {
    format!("{PREFIX}{:016x}/{bucket:02x}", incarnation.0)
}

/// Statement of an agent process about all its tickets, made when it accepts no more work and has
/// none left. It is written with the last bucket or after it, so it never covers a bucket that is
/// yet to be written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The oldest record window that the agent still kept; nothing is stated about tickets of older
    /// ones.
    #[serde(rename = "o")]
    pub oldest: Window,
    /// Numbers of the buckets that were written.
    #[serde(rename = "b", with = "serde_bytes")]
    pub buckets: Vec<u8>,
    /// Tickets that ran or may have run and whose answers are in no bucket.
    #[serde(rename = "r")]
    pub unanswered: Vec<Uuid>,
}

/// The result of looking a ticket up in an archive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArchiveLookup {
    /// The ticket ran; its answer.
    Answer(ArchivedAnswer),
    /// The ticket never ran and never will: the only process that may run it has ended.
    NeverRan,
    /// Whether the ticket ran is unknown.
    Unknown,
}

/// The key of one agent process's seal.
///
/// ```
/// use flamingowheel_protocol::{archive::seal_key, id::Incarnation};
/// assert_eq!(seal_key(Incarnation(10)), "flamingowheel/answers/000000000000000a/seal");
/// ```
pub fn seal_key(incarnation: Incarnation) -> String {
    format!("{PREFIX}{:016x}/seal", incarnation.0)
}

/// Encodes a bucket or a seal.
pub fn encode<T>(value: &T) -> Bytes
where
    T: Serialize + ?Sized,
{
    let mut bytes = Vec::new();
    // Encoding plain values into memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes.into()
}

/// Looks a ticket up in its bucket and its agent's seal, both read at the same revision. If the
/// bucket can't be decoded, the result is unknown; a seal that can't be decoded counts as missing.
///
/// ```
/// use flamingowheel_protocol::archive::{ArchiveLookup, Seal, encode, lookup};
/// use flamingowheel_protocol::id::Window;
/// let (number, seal) = (uuid::Uuid::now_v7(), encode(&Seal::default()));
/// assert_eq!(lookup(None, Some(&seal), number, Window(3)), ArchiveLookup::NeverRan);
/// assert_eq!(lookup(None, None, number, Window(3)), ArchiveLookup::Unknown);
/// ```
pub fn lookup(
    bucket: Option<&[u8]>,
    seal: Option<&[u8]>,
    number: Uuid,
    window: Window,
) -> ArchiveLookup {
    let answers = match bucket.map(ciborium::from_reader::<Vec<ArchivedAnswer>, _>) {
        None => None,
        Some(Ok(answers)) => Some(answers),
        Some(Err(_)) => return ArchiveLookup::Unknown,
    };
    let has_bucket = answers.is_some();
    let found = answers.into_iter().flatten().find(|answer| answer.number == number);
    if let Some(answer) = found {
        return ArchiveLookup::Answer(answer);
    }
    let seal = seal.and_then(|seal| ciborium::from_reader::<Seal, _>(seal).ok());
    match seal {
        Some(seal) if seal.proves_never_ran(number, window, has_bucket) => ArchiveLookup::NeverRan,
        _ => ArchiveLookup::Unknown,
    }
}

impl Seal {
    /// Whether a ticket that is not in its bucket never ran. A bucket that was written but is
    /// missing may have held its answer.
    fn proves_never_ran(&self, number: Uuid, window: Window, has_bucket: bool) -> bool {
        let bucket = bucket(number);
        let written =
            self.buckets.iter().any(|written_bucket| usize::from(*written_bucket) == bucket);
        window >= self.oldest && written == has_bucket && !self.unanswered.contains(&number)
    }
}
