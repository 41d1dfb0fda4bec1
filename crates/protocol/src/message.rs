//! Messages between an entry and an agent.

use crate::id::{AttemptId, ExecutionKey, Fingerprint, Incarnation, Window};
use bytes::Bytes;
pub use flamingowheel_policy::load::Load;
use flamingowheel_policy::prefix::CacheEvent;
use flamingowheel_policy::suspicion::SuspectRecord;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What each side says of itself when a connection opens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The process's name, unique in the fleet.
    pub name: String,
    /// The process's incarnation.
    pub incarnation: Incarnation,
    /// The VM it runs on.
    pub vm: String,
    /// The data centre it runs in.
    pub data_centre: String,
    /// Where operators reach it.
    pub operators: Option<SocketAddr>,
    /// What it does.
    pub role: Role,
}

/// The role of a process, with what its peers need to know of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands in front of one backend server.
    Agent(BackendProfile),
}

/// What an agent's backend server serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendProfile {
    /// A model name or a service name.
    pub serves: Serves,
    /// Requests that may run at once.
    pub places: u32,
    /// Whether the backend server can resume an event stream that it had begun.
    pub can_resume: bool,
    /// The experts of the group, if its ranks share an expert map.
    pub experts: Option<ExpertShape>,
}

/// Sizes of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertShape {
    /// Ranks of the group.
    pub ranks: u16,
    /// Layers with experts.
    pub layers: u16,
    /// Experts a layer.
    pub experts: u16,
    /// Expert weights that a rank holds a layer.
    pub slots: u16,
}

/// What a backend server offers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Serves {
    /// A model, as one rank of a group.
    Model {
        /// The model's name.
        model: String,
        /// The group whose ranks step together.
        group: String,
        /// The rank within the group.
        rank: u16,
    },
    /// A plain service.
    Service {
        /// The service's name.
        service: String,
    },
}

/// The short form of the load that goes with every chunk; see [`Load::hint`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Occupancy(pub u16);

impl From<Load> for Occupancy {
    fn from(load: Load) -> Self {
        Self(load.hint())
    }
}

/// A request sent to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The attempt; answers carry it.
    pub attempt: AttemptId,
    /// What the execution is filed under.
    pub key: ExecutionKey,
    /// The agent process that this is meant for; any other refuses it.
    pub incarnation: Incarnation,
    /// The agent's record window that the sender last heard of.
    pub window: Window,
    /// The workspace.
    pub workspace: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query at the backend server.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The request body.
    #[serde(with = "serde_body")]
    pub body: Bytes,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Higher goes first.
    pub priority: u8,
    /// Time left until the caller gives up, in milliseconds, when this was sent.
    pub remaining_ms: u64,
    /// Hash of workspace, route and body.
    pub fingerprint: Fingerprint,
    /// Nothing else may run beside it.
    pub alone: bool,
    /// The agent may queue it rather than refuse early.
    pub last_try: bool,
    /// Events that the caller already has; only to backend servers that can resume.
    pub resume_after_chunks: u64,
}

/// Entry to agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Run this.
    Dispatch(Box<Dispatch>),
    /// Go on with an attempt over this connection. If the agent never saw it, it files a
    /// tombstone and refuses with [`Refusal::NeverArrived`].
    Attach {
        /// The attempt.
        attempt: AttemptId,
        /// What it is filed under.
        key: ExecutionKey,
        /// The agent process asked.
        incarnation: Incarnation,
        /// The window of the dispatch.
        window: Window,
        /// The first chunk wanted.
        from_chunk: u64,
    },
    /// Don't run the attempt, or stop it. Non-idempotent work that began is left to finish.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// What it is filed under.
        key: ExecutionKey,
        /// The agent process asked.
        incarnation: Incarnation,
        /// The window of the dispatch.
        window: Window,
        /// Give up the whole ticket, not only this attempt: if it has not begun it never will.
        void_ticket: bool,
    },
    /// All chunks below this number have arrived.
    Acknowledge {
        /// The attempt.
        attempt: AttemptId,
        /// What it is filed under.
        key: ExecutionKey,
        /// The first chunk that has not arrived.
        next_chunk: u64,
    },
    /// The sender is done with the attempt; its answer need not be kept for it.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// What it is filed under.
        key: ExecutionKey,
    },
    /// Suspicions the sender knows of.
    Suspicions(Vec<SuspectRecord>),
    /// The VM list says that the agent's VM is leaving.
    VmLeaving,
    /// A request of the group's coordinator; its body is a message of its own package.
    Order {
        /// Chosen by the sender; the answer carries it.
        number: u64,
        /// The request.
        #[serde(with = "serde_body")]
        body: Bytes,
    },
}

/// Why an agent did not run an attempt. Each of these is proof that it did not and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// Addressed to another incarnation.
    #[error("addressed to another incarnation of the agent")]
    WrongIncarnation,
    /// Running and queue places are taken.
    #[error("backend server full")]
    Full,
    /// The agent is leaving.
    #[error("backend server is leaving")]
    Leaving,
    /// A cancel came first.
    #[error("cancelled before it started")]
    Cancelled,
    /// The agent had never seen the attempt when it was asked about it, and now never will run it.
    #[error("the dispatch never arrived")]
    NeverArrived,
    /// The dispatch is older than the agent's records reach.
    #[error("older than the agent's records")]
    Expired,
    /// The record store is full; running without a record could repeat work.
    #[error("record store full")]
    RecordsFull,
    /// The deadline passed in the queue.
    #[error("deadline passed before it started")]
    DeadlinePassed,
    /// The backend server refused the connection.
    #[error("backend server down")]
    BackendDown,
    /// The request is suspected of killing backend servers.
    #[error("request suspected of crashing backend servers")]
    Suspect,
    /// Same ticket, other request.
    #[error("the ticket was used for another request")]
    TicketMismatch,
}

/// Why an attempt that may have run has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Failure {
    /// The backend server's connection broke.
    #[error("backend server lost while the request ran")]
    BackendLost,
    /// The backend server went silent.
    #[error("backend server silent")]
    BackendSilent,
    /// The backend server's answer was malformed.
    #[error("malformed answer from the backend server")]
    Malformed,
    /// The attempt was cancelled while running.
    #[error("cancelled while it ran")]
    Cancelled,
    /// The chunks asked for are no longer kept.
    #[error("part of the answer is no longer kept")]
    ReplayGone,
    /// The agent's records don't reach back to the attempt.
    #[error("the agent's records do not reach back that far")]
    RecordGone,
}

/// Agent to entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// Queued or running; from here on silence is no proof of anything.
    #[serde(rename = "a")]
    Accepted {
        /// The attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Fresh load.
        #[serde(rename = "l")]
        load: Load,
    },
    /// Proof that the attempt did not run and won't.
    #[serde(rename = "r")]
    Refused {
        /// The attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Why.
        #[serde(rename = "w")]
        refusal: Refusal,
        /// Fresh load.
        #[serde(rename = "l")]
        load: Load,
    },
    /// The answer begins.
    #[serde(rename = "h")]
    Head {
        /// The attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// The HTTP status.
        #[serde(rename = "s")]
        status: u16,
        /// Media type of the body.
        #[serde(rename = "t")]
        content_type: String,
        /// Requests running or waiting, as of now.
        #[serde(rename = "l")]
        occupancy: Occupancy,
    },
    /// A piece of the body.
    #[serde(rename = "c")]
    Chunk {
        /// The attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Counts from 0 within the answer.
        #[serde(rename = "n")]
        number: u64,
        /// The bytes.
        #[serde(rename = "d", with = "serde_body")]
        data: Bytes,
        /// Requests running or waiting, as of now.
        #[serde(rename = "l")]
        occupancy: Occupancy,
    },
    /// The answer is whole.
    #[serde(rename = "e")]
    End {
        /// The attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Number of chunks in the whole answer.
        #[serde(rename = "n")]
        chunk_count: u64,
        /// Requests running or waiting, as of now.
        #[serde(rename = "l")]
        occupancy: Occupancy,
    },
    /// The attempt may have run, but there is no whole answer.
    #[serde(rename = "f")]
    Failed {
        /// The attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Why.
        #[serde(rename = "w")]
        failure: Failure,
        /// Requests running or waiting, as of now.
        #[serde(rename = "l")]
        occupancy: Occupancy,
    },
    /// Sent several times a second, and at once when something in it changed.
    #[serde(rename = "b")]
    Heartbeat {
        /// Fresh load.
        #[serde(rename = "l")]
        load: Load,
        /// The agent's present record window.
        #[serde(rename = "w")]
        window: Window,
        /// No new work is taken.
        #[serde(rename = "x")]
        leaving: bool,
        /// The backend server answered its last health check.
        #[serde(rename = "u")]
        backend_up: bool,
    },
    /// Suspicions the sender knows of.
    #[serde(rename = "s")]
    Suspicions(Vec<SuspectRecord>),
    /// Changes of the engine's prefix cache, numbered by the agent; a jump tells of a gap.
    #[serde(rename = "k")]
    CacheEvents(Vec<CacheEvent>),
    /// The answer to an order.
    #[serde(rename = "o")]
    OrderAnswer {
        /// The order's number.
        #[serde(rename = "n")]
        number: u64,
        /// The answer.
        #[serde(rename = "d", with = "serde_body")]
        body: Bytes,
    },
}

impl AgentMessage {
    /// The attempt the message is about, if it is about one.
    ///
    /// ```
    /// use flamingowheel_protocol::message::AgentMessage;
    /// assert!(AgentMessage::Suspicions(Vec::new()).attempt().is_none());
    /// ```
    pub fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Accepted { attempt, .. }
            | Self::Refused { attempt, .. }
            | Self::Head { attempt, .. }
            | Self::Chunk { attempt, .. }
            | Self::End { attempt, .. }
            | Self::Failed { attempt, .. } => Some(*attempt),
            Self::Heartbeat { .. }
            | Self::Suspicions(_)
            | Self::CacheEvents(_)
            | Self::OrderAnswer { .. } => None,
        }
    }

    /// The load the message carries, if any.
    ///
    /// ```
    /// use flamingowheel_protocol::message::AgentMessage;
    /// assert!(AgentMessage::Suspicions(Vec::new()).load_hint().is_none());
    /// ```
    pub fn load_hint(&self) -> Option<LoadHint> {
        match self {
            Self::Accepted { load, .. }
            | Self::Refused { load, .. }
            | Self::Heartbeat { load, .. } => Some(LoadHint::Whole(*load)),
            Self::Head { occupancy, .. }
            | Self::Chunk { occupancy, .. }
            | Self::End { occupancy, .. }
            | Self::Failed { occupancy, .. } => Some(LoadHint::Occupancy(*occupancy)),
            Self::Suspicions(_) | Self::CacheEvents(_) | Self::OrderAnswer { .. } => None,
        }
    }
}

/// Load carried by a message, as of the moment it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadHint {
    /// All of it.
    Whole(Load),
    /// The short form.
    Occupancy(Occupancy),
}

/// Bodies as CBOR byte strings; without it, serde would write an array of numbers.
pub(crate) mod serde_body {
    use bytes::Bytes;
    use serde::{Deserializer, Serializer};

    pub fn serialize<S>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D>(deserializer: D) -> Result<Bytes, D::Error>
    where
        D: Deserializer<'de>,
    {
        let buffer: serde_bytes::ByteBuf = serde::Deserialize::deserialize(deserializer)?;
        Ok(Bytes::from(buffer.into_vec()))
    }
}
