//! Answers of finished tickets, as an agent that ends leaves them in the key-value service.
//!
//! They are a convenience for callers that resend. What is absent there proves nothing, unless the
//! agent sealed its archive: then a ticket that is not in it never ran.

use crate::id::{Fingerprint, Incarnation, Window};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Prefix of all keys of archived answers.
pub const PREFIX: &str = "flamingowheel/answers/";

/// Keys over which the answers of one agent process are spread, so that each value stays small and
/// a reader needs one.
pub const BUCKETS: usize = 256;

/// A finished ticket's whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchivedAnswer {
    /// The ticket's number.
    #[serde(rename = "n")]
    pub number: Uuid,
    /// Hash of workspace, route and body.
    #[serde(rename = "f")]
    pub fingerprint: Fingerprint,
    /// The HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// Media type of the body.
    #[serde(rename = "t")]
    pub content_type: String,
    /// The body.
    #[serde(rename = "b", with = "crate::message::serde_body")]
    pub body: Bytes,
}

/// The bucket that a ticket's answer is in.
///
/// ```
/// use flamingowheel_protocol::archive::{BUCKETS, bucket};
/// assert!(bucket(uuid::Uuid::now_v7()) < BUCKETS);
/// ```
pub fn bucket(number: Uuid) -> usize {
    // The last byte of a ticket's number is drawn at random.
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

/// What an agent process that took no more work, and had none left, says of all its tickets. It is
/// written with the last bucket or after it, so it never speaks of a bucket that is yet to come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// Tickets of older windows are forgotten, so nothing is said of them.
    #[serde(rename = "o")]
    pub oldest: Window,
    /// The buckets that were written.
    #[serde(rename = "b", with = "serde_bytes")]
    pub buckets: Vec<u8>,
    /// Tickets that began, or may have, and are in no bucket.
    #[serde(rename = "r")]
    pub unanswered: Vec<Uuid>,
}

/// What an archive says of a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArchiveLookup {
    /// It ran, and this is its answer.
    Answer(ArchivedAnswer),
    /// Proof that it never ran: the only process that would have run it has ended.
    NeverRan,
    /// Nothing is known.
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

/// Writes a bucket or a seal.
pub fn encode<T>(value: &T) -> Bytes
where
    T: Serialize + ?Sized,
{
    let mut bytes = Vec::new();
    // Writing plain values into memory can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes.into()
}

/// Looks a ticket up in its bucket and its agent's seal, read at one moment. A value that can't be
/// read proves nothing.
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
    /// Whether a ticket that is not in its bucket never ran. A bucket that was written and is not
    /// there any more may have named it.
    fn proves_never_ran(&self, number: Uuid, window: Window, has_bucket: bool) -> bool {
        let bucket = bucket(number);
        let written = self.buckets.iter().any(|own| usize::from(*own) == bucket);
        window >= self.oldest && written == has_bucket && !self.unanswered.contains(&number)
    }
}
