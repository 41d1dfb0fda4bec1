//! Messages between entries: heartbeats with what each knows of the others, and configuration.
//!
//! Documents and changes travel in the form in which the key-value service stores them; this
//! package does not look into them.

use crate::id::Incarnation;
use crate::message::{ExpertShape, Serves};
use flamingowheel_policy::limits::{Loan, LoanRequest};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an entry, or another on its behalf, says of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name, unique in the fleet.
    #[serde(rename = "n")]
    pub name: String,
    /// Its VM.
    #[serde(rename = "m")]
    pub vm: String,
    /// Its data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// The region of the data centre.
    #[serde(rename = "g")]
    pub region: String,
    /// Where other entries reach it.
    #[serde(rename = "i")]
    pub inner: SocketAddr,
    /// Where callers reach it.
    #[serde(rename = "c")]
    pub callers: SocketAddr,
    /// Where operators reach it.
    #[serde(rename = "o")]
    pub operators: SocketAddr,
    /// The process start that this is about.
    #[serde(rename = "s")]
    pub incarnation: Incarnation,
    /// Raised by the process itself with everything it says of itself; the highest counts.
    #[serde(rename = "v")]
    pub version: u64,
    /// Its state.
    #[serde(rename = "t")]
    pub state: MemberState,
}

/// State of an entry. At equal versions the later in this list counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It takes requests; said by itself.
    Live,
    /// It takes no new requests and finishes those it has; said by itself.
    Leaving,
    /// It was not heard for a while; said by another. It may only be cut off.
    Silent,
    /// It was silent and its VM is no longer listed; said by another.
    Gone,
}

/// What entries tell each other of an agent, so that each can reach every one without a connection
/// to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRecord {
    /// Its name, unique in the fleet.
    #[serde(rename = "n")]
    pub name: String,
    /// Where entries reach it.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its data centre.
    #[serde(rename = "d")]
    pub data_centre: String,
    /// What its backend server serves.
    #[serde(rename = "s")]
    pub serves: Serves,
    /// The experts of its group, if the group's ranks share an expert map.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub experts: Option<ExpertShape>,
    /// The process start that this is about.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Raised by whoever finds the record untrue; the highest counts.
    #[serde(rename = "v")]
    pub version: u64,
    /// Live; leaving, by the VM list; or gone: on no listed VM and not reached.
    #[serde(rename = "t")]
    pub state: MemberState,
}

/// Who sends a message. Its record is among the news as long as the receiver lacks it, so that
/// heartbeats stay small.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Its name.
    #[serde(rename = "n")]
    pub name: String,
    /// Its start.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

/// Asks a peer for what is new, and says what is new here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "f")]
    pub from: Sender,
    /// The configuration revision the sender has in force.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The peer's table version up to which the sender has its news.
    #[serde(rename = "a")]
    pub after: u64,
    /// The peer may hold its answer this long, until it has news.
    #[serde(rename = "h")]
    pub hold_ms: u32,
    /// What the sender learnt since the peer last answered.
    #[serde(rename = "n", default, skip_serializing_if = "MembershipUpdate::is_empty")]
    pub updates: MembershipUpdate,
    /// Digests of the sender's directory of agents. With them the answer holds what differs;
    /// without, what is newer than `after`.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub agent_digests: Vec<u64>,
}

/// Answer to a [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAnswer {
    /// The one that answers.
    #[serde(rename = "f")]
    pub from: Sender,
    /// The configuration revision it has in force.
    #[serde(rename = "r")]
    pub revision: u64,
    /// How long ago the key-value service is known to have answered, itself or a peer that told
    /// it, in milliseconds.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub service_answered_ms_ago: Option<u64>,
    /// Its table version.
    #[serde(rename = "v")]
    pub version: u64,
    /// What it learnt since the version asked for.
    #[serde(rename = "n", default, skip_serializing_if = "MembershipUpdate::is_empty")]
    pub updates: MembershipUpdate,
    /// The parts of the directory of agents whose digests differ.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub agent_parts: Vec<u8>,
}

/// Changes of the table of members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipUpdate {
    /// Records.
    pub records: Vec<MemberRecord>,
    /// VMs that the VM list calls leaving.
    pub leaving_vms: Vec<String>,
    /// Agents.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub agents: Vec<AgentRecord>,
}

impl MembershipUpdate {
    /// Whether there is nothing in it.
    ///
    /// ```
    /// use flamingowheel_protocol::peer::MembershipUpdate;
    /// assert!(MembershipUpdate::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.leaving_vms.is_empty() && self.agents.is_empty()
    }
}

/// What one entry asks another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// What is new?
    Heartbeat(Box<Heartbeat>),
    /// The changes of the configuration after this revision.
    Changes {
        /// The revision the sender has.
        after: u64,
    },
    /// One bucket of documents.
    Bucket {
        /// 0 for the templates, then the buckets of workspaces from 1.
        number: u8,
    },
    /// Who are you, and what revision have you in force?
    Status,
    /// Lend me a part of your share of a workspace's limits.
    Loan {
        /// The workspace.
        workspace: String,
        /// Name of the entry that asks.
        borrower: String,
        /// What it asks.
        request: LoanRequest,
    },
    /// Bind a caller's idempotency key, together with those of others. The claim is in the form of
    /// the entry's own package.
    BindKey(StoredValue),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// To a heartbeat.
    Heartbeat(Box<HeartbeatAnswer>),
    /// Changes in order, each as stored.
    Changes(Vec<StoredValue>),
    /// Some of the changes asked for are no longer kept.
    NotKept,
    /// A bucket as stored.
    Bucket {
        /// The revision it belongs to.
        revision: u64,
        /// The bucket.
        value: StoredValue,
    },
    /// To a question about status.
    Status {
        /// What the process says of itself.
        record: Box<MemberRecord>,
        /// The revision it has in force.
        revision: u64,
        /// Digest of its table of members and its directory of agents; equal ones have equal
        /// digests.
        digest: u64,
    },
    /// What is lent.
    Loan(Loan),
    /// What became of the claim.
    KeyBound(StoredValue),
}

/// A value in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoredValue(#[serde(with = "serde_bytes")] pub Vec<u8>);

/// What travels on a connection between two entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerFrame {
    /// A request under a number chosen by its sender.
    Request {
        /// The number.
        number: u64,
        /// The request.
        request: PeerRequest,
    },
    /// The answer to the request of that number.
    Answer {
        /// The number.
        number: u64,
        /// The answer.
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
