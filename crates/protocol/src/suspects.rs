//! Datagrams with which entries tell each other what crashes backend servers.

use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::suspicion::SuspectRecord;
use serde::{Deserialize, Serialize};

/// Largest encoded datagram, in bytes: it fits in one packet on any link.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// A datagram between entries. Any may be lost, doubled or late.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SuspectMessage {
    /// Records that have changed.
    Records(Vec<SuspectRecord>),
    /// Hash of all records that the sender has.
    Digest {
        /// The hash, as [`flamingowheel_policy::suspicion::SuspectTracker::digest`] returns it.
        digest: u64,
        /// Whether the receiver answers with its own.
        wants_answer: bool,
    },
    /// Runs of suspects. An entry of an older version can't read them and lets them be.
    Trials(Vec<TrialNotice>),
}

/// Most notices in one datagram.
pub const MAX_NOTICES: usize = 24;

/// The run of a suspect, of which there is one at a time in the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialNotice {
    /// What is suspected.
    pub suspect: Fingerprint,
    /// The backend server that it runs on.
    pub server: ServerKey,
    /// Random number of the run. Of two that begin at the same moment, the lower one goes on.
    pub holder: u64,
    /// Time for which it holds unless it ends before; 0 when it has ended.
    pub remaining_ms: u32,
}

impl SuspectMessage {
    /// The encoded datagram; `None` if it can't be encoded.
    ///
    /// ```
    /// use flamingowheel_protocol::suspects::SuspectMessage;
    /// let message = SuspectMessage::Digest { digest: 7, wants_answer: true };
    /// let bytes = message.encode().unwrap();
    /// assert_eq!(SuspectMessage::decode(&bytes), Some(message));
    /// assert_eq!(SuspectMessage::decode(b"\xff"), None);
    /// ```
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_allocvec(self).ok()
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// Distributes notices over as few messages as possible that each fit in a datagram.
///
/// ```
/// use flamingowheel_policy::key::{Fingerprint, ServerKey};
/// use flamingowheel_protocol::suspects::{MAX_DATAGRAM_BYTES, TrialNotice, pack_notices};
/// let server = ServerKey(u64::MAX);
/// let notice = |n| TrialNotice {
///     suspect: Fingerprint(u128::MAX - n), server, holder: u64::MAX, remaining_ms: 3_000,
/// };
/// let messages = pack_notices(&(0..100).map(notice).collect::<Vec<_>>());
/// assert!(messages.iter().all(|m| m.encode().unwrap().len() <= MAX_DATAGRAM_BYTES));
/// ```
pub fn pack_notices(notices: &[TrialNotice]) -> Vec<SuspectMessage> {
    let batches = notices.chunks(MAX_NOTICES);
    batches.map(|batch| SuspectMessage::Trials(batch.to_vec())).collect()
}

/// Distributes records over as few messages as possible that each fit in a datagram.
///
/// ```
/// use flamingowheel_protocol::suspects::{MAX_DATAGRAM_BYTES, SuspectMessage, pack};
/// use flamingowheel_policy::key::Fingerprint;
/// use flamingowheel_policy::suspicion::SuspectRecord;
/// let record = |n| SuspectRecord { fingerprint: Fingerprint(n), crashes: Vec::new() };
/// let messages = pack((0..1_000).map(record));
/// assert!(messages.len() > 1);
/// assert!(messages.iter().all(|m| m.encode().unwrap().len() <= MAX_DATAGRAM_BYTES));
/// ```
pub fn pack<R>(records: R) -> Vec<SuspectMessage>
where
    R: IntoIterator<Item = SuspectRecord>,
{
    /// Bytes of the message around its records.
    const OVERHEAD_BYTES: usize = 4;
    let (mut messages, mut batch, mut batch_bytes) = (Vec::new(), Vec::new(), OVERHEAD_BYTES);
    for record in records {
        let Ok(encoded) = postcard::to_allocvec(&record) else { continue };
        if batch_bytes + encoded.len() > MAX_DATAGRAM_BYTES {
            messages.push(SuspectMessage::Records(std::mem::take(&mut batch)));
            batch_bytes = OVERHEAD_BYTES;
        }
        batch_bytes += encoded.len();
        batch.push(record);
    }
    if !batch.is_empty() {
        messages.push(SuspectMessage::Records(batch));
    }
    messages
}
