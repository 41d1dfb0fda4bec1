//! Messages between entries: heartbeats with membership changes, configuration, loans of limits and
//! idempotency keys.
//!
//! Configuration documents and changes are sent in the form in which the key-value service stores
//! them; this crate does not interpret them.

use crate::id::Incarnation;
use crate::message::{ExpertShape, Serves};
use flamingowheel_policy::limits::{Loan, LoanRequest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of one entry, as reported by itself or, if it is silent or gone, by another entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name, unique in the fleet.
    #[serde(rename = "n")]
    pub name: String,
    /// Name of its VM.
    #[serde(rename = "m")]
    pub vm: String,
    /// Name of its data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// Region of its data centre.
    #[serde(rename = "g")]
    pub region: String,
    /// Address for other entries.
    #[serde(rename = "i")]
    pub inner: SocketAddr,
    /// Address for callers.
    #[serde(rename = "c")]
    pub callers: SocketAddr,
    /// Address of its operator interface.
    #[serde(rename = "o")]
    pub operators: SocketAddr,
    /// The process start that the record describes.
    #[serde(rename = "s")]
    pub incarnation: Incarnation,
    /// Increased by the process itself with each change of its own record; the highest version
    /// wins.
    #[serde(rename = "v")]
    pub version: u64,
    /// State at this version.
    #[serde(rename = "t")]
    pub state: MemberState,
}

/// State of an entry. Among records of the same version the state that is later in this list wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Accepts requests; reported by itself.
    Live,
    /// Accepts no new requests and finishes those in progress; reported by itself.
    Leaving,
    /// Sent no heartbeat for a while; reported by another entry. It may be running but partitioned.
    Silent,
    /// Silent, and its VM is no longer listed; reported by another entry.
    Gone,
}

/// The record of an agent that entries exchange, so that each entry can reach every agent without
/// having been connected to it before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// Name, unique in the fleet.
    #[serde(rename = "n")]
    pub name: String,
    /// Address for entries.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Name of its data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// What its backend server serves.
    #[serde(rename = "s")]
    pub serves: Serves,
    /// The experts of its group, if the group's ranks share an expert map.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub experts: Option<ExpertShape>,
    /// The process start that the record describes.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Increased by any entry that finds the record outdated; the highest version wins.
    #[serde(rename = "v")]
    pub version: u64,
    /// `Live`; `Leaving` if the VM list marks its VM as leaving; or `Gone` if its VM is not listed
    /// and it can't be reached.
    #[serde(rename = "t")]
    pub state: MemberState,
}

/// The sender of a message. Its record is only sent along while the receiver lacks it, so that
/// heartbeats stay small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Name of the sending entry.
    #[serde(rename = "n")]
    pub name: String,
    /// Incarnation of its process.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

/// Asks a peer for membership changes and carries the sender's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The entry that sends the heartbeat.
    #[serde(rename = "f")]
    pub from: Sender,
    /// Configuration revision in force at the sender.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Version of the peer's member table up to which the sender has received its changes.
    #[serde(rename = "a")]
    pub after: u64,
    /// Long poll: the peer may delay its answer up to this long until it has changes.
    #[serde(rename = "h")]
    pub hold_ms: u32,
    /// Changes that the sender has received since the peer's last answer.
    #[serde(rename = "n", default, skip_serializing_if = "MembershipUpdate::is_empty")]
    pub updates: MembershipUpdate,
    /// Digests of the parts of the sender's agent directory. If given, the answer contains the
    /// agents of the parts that differ; otherwise those changed after version `after`.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub agent_digests: Vec<u64>,
}

/// Answer to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The sender of the answer.
    #[serde(rename = "f")]
    pub from: Sender,
    /// Configuration revision in force at the sender.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Time since the key-value service last answered this entry or, as far as this entry knows,
    /// one of its peers, in milliseconds.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub service_answered_ms_ago: Option<u64>,
    /// Version of the sender's member table.
    #[serde(rename = "v")]
    pub version: u64,
    /// Changes since the version asked for.
    #[serde(rename = "n", default, skip_serializing_if = "MembershipUpdate::is_empty")]
    pub updates: MembershipUpdate,
    /// Numbers of the parts of the agent directory whose digests differ.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub agent_parts: Vec<u8>,
}

/// Changes of the member table and the agent directory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Entries whose records changed.
    pub records: Vec<MemberRecord>,
    /// VMs that the VM list marks as leaving.
    pub leaving_vms: Vec<String>,
    /// Agents whose records changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub agents: Vec<AgentRecord>,
}

impl MembershipUpdate {
    /// Whether there are no changes.
    ///
    /// ```
    /// use flamingowheel_protocol::peer::MembershipUpdate;
    /// assert!(MembershipUpdate::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.leaving_vms.is_empty() && self.agents.is_empty()
    }
}

/// A request from one entry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Exchange membership changes.
    Heartbeat(Box<Heartbeat>),
    /// Fetch the configuration changes after a revision.
    Changes {
        /// The sender's revision.
        after: u64,
    },
    /// Fetch one bucket of configuration documents.
    Bucket {
        /// 0 for the templates; the buckets of workspaces count from 1.
        number: u8,
    },
    /// Fetch the peer's own record and its configuration revision.
    Status,
    /// Borrow a part of the peer's share of a workspace's limits.
    Loan {
        /// Name of the workspace whose limits are borrowed.
        workspace: String,
        /// Name of the entry that asks.
        borrower: String,
        /// The amounts asked for.
        request: LoanRequest,
    },
    /// Bind a caller's idempotency key; the peer batches it with others. The claim is encoded by
    /// the entry crate.
    BindKey(StoredValue),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// Answers [`PeerRequest::Heartbeat`].
    Heartbeat(Box<HeartbeatAnswer>),
    /// Configuration changes in order, each in its stored form.
    Changes(Vec<StoredValue>),
    /// Some of the configuration changes asked for have been compacted; the caller must fetch whole
    /// buckets.
    NotKept,
    /// A bucket in its stored form.
    Bucket {
        /// The revision of the bucket.
        revision: u64,
        /// Documents of the bucket, in their stored form.
        value: StoredValue,
    },
    /// Answers [`PeerRequest::Status`].
    Status {
        /// The peer's own record.
        record: Box<MemberRecord>,
        /// Configuration revision in force.
        revision: u64,
        /// Digest of the member table and the agent directory; entries that agree have equal
        /// digests.
        digest: u64,
    },
    /// The amounts lent.
    Loan(Loan),
    /// The result of the claim, encoded by the entry crate.
    KeyBound(StoredValue),
}

/// A value in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoredValue(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// A message on a connection between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// A request, numbered by its sender.
    Request {
        /// Number chosen by the sender; the answer carries it.
        number: u64,
        /// What is asked of the receiver.
        request: PeerRequest,
    },
    /// The answer to a request.
    Answer {
        /// Number of the request.
        number: u64,
        /// What the request asked for, or that it is no longer kept.
        answer: PeerAnswer,
    },
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::codec::{decode, encode};

    #[test]
    fn frame_round_trip() {
        let answer = PeerAnswer::Bucket { revision: 7, value: StoredValue(vec![0, 255]) };
        let frame = PeerFrame::Answer { number: 1, answer };
        assert_eq!(
            decode::<PeerFrame>(&encode(7, std::slice::from_ref(&frame)).unwrap()),
            Ok((7, vec![frame]))
        );
    }
}
