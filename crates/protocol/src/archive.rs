//! Answers of finished tickets, as an agent that ends leaves them in the key-value service.
//!
//! They are a convenience for callers that resend. What is absent there proves nothing.

use crate::id::{Fingerprint, Incarnation};
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

/// Writes a bucket.
pub fn encode(answers: &[ArchivedAnswer]) -> Bytes {
    let mut bytes = Vec::new();
    // Writing plain values into memory can't fail.
    let _ = ciborium::into_writer(answers, &mut bytes);
    bytes.into()
}

/// Finds a ticket's answer in a bucket. A value that can't be read holds none.
pub fn find(bucket: &[u8], number: Uuid) -> Option<ArchivedAnswer> {
    let answers: Vec<ArchivedAnswer> = ciborium::from_reader(bucket).ok()?;
    answers.into_iter().find(|answer| answer.number == number)
}
