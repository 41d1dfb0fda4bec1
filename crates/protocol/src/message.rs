//! Messages between an entry and an agent.

use crate::id::{AttemptId, ExecutionKey, Fingerprint, Incarnation, Window};
use bytes::Bytes;
pub use flamingowheel_policy::load::Load;
use flamingowheel_policy::prefix::CacheEvent;
use flamingowheel_policy::suspicion::SuspectRecord;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identity of a process, exchanged by both sides when a connection opens.
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
    /// Address of its operator interface, if it has one.
    pub operators: Option<SocketAddr>,
    /// The process's role.
    pub role: Role,
}

/// The role of a process, with the properties that its peers need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Runs beside one backend server and passes requests to it.
    Agent(BackendProfile),
}

/// Properties of an agent's backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendProfile {
    /// The model or service that it offers.
    pub serves: Serves,
    /// Requests that may run concurrently.
    pub places: u32,
    /// Whether it can resume an interrupted event stream after a given event.
    pub can_resume: bool,
    /// Size of the group's expert map; `None` if its ranks share none.
    pub experts: Option<ExpertShape>,
}

/// Dimensions of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertShape {
    /// Ranks of the group.
    pub ranks: u16,
    /// Layers with experts.
    pub layers: u16,
    /// Experts per layer.
    pub experts: u16,
    /// Expert weights that a rank holds per layer.
    pub slots: u16,
}

/// What a backend server serves.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Serves {
    /// A model, as one rank of a group.
    Model {
        /// The model's name.
        model: String,
        /// The group whose ranks run each pass together.
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

/// The compact form of the load that each chunk carries; see [`Load::hint`].
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
    /// The attempt; messages of the answer carry its id.
    pub attempt: AttemptId,
    /// Key of the execution in the agent's records.
    pub key: ExecutionKey,
    /// The agent process addressed; any other refuses the request.
    pub incarnation: Incarnation,
    /// The agent's newest record window that is known to the sender.
    pub window: Window,
    /// Name of the workspace that sent the request.
    pub workspace: String,
    /// HTTP method of the request to the backend server.
    pub method: String,
    /// Path and query at the backend server.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// The request body.
    #[serde(with = "serde_body")]
    pub body: Bytes,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Requests of higher priority run first.
    pub priority: u8,
    /// Time until the caller's deadline when this was sent, in milliseconds.
    pub remaining_ms: u64,
    /// Hash of workspace, route and body.
    pub fingerprint: Fingerprint,
    /// Whether the request must run alone: it is suspected of crashing backend servers.
    pub alone: bool,
    /// Whether the sender will try no other agent, so that the agent should queue the request
    /// rather than refuse it early.
    pub last_try: bool,
    /// Number of chunks that the caller already has; not 0 only for backend servers that can
    /// resume.
    pub resume_after_chunks: u64,
}

/// Messages from an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Run a request.
    Dispatch(Box<Dispatch>),
    /// Continue an attempt on this connection. If the agent never received it, it records a
    /// tombstone and refuses with [`Refusal::NeverArrived`].
    Attach {
        /// The attempt to continue.
        attempt: AttemptId,
        /// Key of the execution in the agent's records.
        key: ExecutionKey,
        /// The agent process addressed; any other refuses.
        incarnation: Incarnation,
        /// The record window that the dispatch carried.
        window: Window,
        /// The first chunk to send.
        from_chunk: u64,
    },
    /// Don't run the attempt, or stop it. Non-idempotent work that has started is left to finish.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
        /// Key of the execution in the agent's records.
        key: ExecutionKey,
        /// The agent process addressed; any other refuses.
        incarnation: Incarnation,
        /// The record window that the dispatch carried.
        window: Window,
        /// Void the whole ticket, not only this attempt: if it has not started, it never will.
        void_ticket: bool,
    },
    /// Acknowledges the chunks that have arrived.
    Acknowledge {
        /// The attempt whose chunks are acknowledged.
        attempt: AttemptId,
        /// Key of the execution in the agent's records.
        key: ExecutionKey,
        /// The first chunk that has not arrived; all before it have.
        next_chunk: u64,
    },
    /// The sender no longer needs the attempt; the agent may drop its answer.
    Release {
        /// The attempt whose answer is no longer needed.
        attempt: AttemptId,
        /// Key of the execution in the agent's records.
        key: ExecutionKey,
    },
    /// The requests that the sender suspects of crashing backend servers.
    Suspicions(Vec<SuspectRecord>),
    /// The VM list marks the agent's VM as leaving.
    VmLeaving,
    /// A request from the group's coordinator; the body is encoded by the coordinator's own crate.
    Order {
        /// Number chosen by the sender; the answer carries it.
        number: u64,
        /// The request, encoded by the coordinator's crate.
        #[serde(with = "serde_body")]
        body: Bytes,
    },
}

/// Why an agent did not run an attempt. Each variant proves that the attempt did not and will not
/// run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The message addresses another incarnation of the agent.
    #[error("addressed to another incarnation of the agent")]
    WrongIncarnation,
    /// All running and queue slots are taken.
    #[error("backend server full")]
    Full,
    /// The agent is leaving.
    #[error("backend server is leaving")]
    Leaving,
    /// A cancellation arrived before the dispatch or before the start.
    #[error("cancelled before it started")]
    Cancelled,
    /// The agent had not received the attempt when asked about it, and will refuse it from now on.
    #[error("the dispatch never arrived")]
    NeverArrived,
    /// The dispatch is from a record window that the agent no longer keeps.
    #[error("older than the agent's records")]
    Expired,
    /// The record store is full; running the request without a record could repeat work.
    #[error("record store full")]
    RecordsFull,
    /// The deadline passed while the request was queued.
    #[error("deadline passed before it started")]
    DeadlinePassed,
    /// The agent could not connect to its backend server.
    #[error("backend server down")]
    BackendDown,
    /// The request is suspected of crashing backend servers.
    #[error("request suspected of crashing backend servers")]
    Suspect,
    /// The ticket was already used for a different request.
    #[error("the ticket was used for another request")]
    TicketMismatch,
}

/// Why an attempt that may have run has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Failure {
    /// The connection to the backend server broke.
    #[error("backend server lost while the request ran")]
    BackendLost,
    /// The backend server sent nothing for too long.
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
    /// The agent no longer keeps records of the attempt's window.
    #[error("the agent's records do not reach back that far")]
    RecordGone,
}

/// Messages from an agent to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentMessage {
    /// The attempt is queued or running. If the connection is lost from here on, its outcome is
    /// unknown.
    #[serde(rename = "a")]
    Accepted {
        /// The accepted attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// The agent's current load.
        #[serde(rename = "l")]
        load: Load,
    },
    /// The attempt did not and will not run.
    #[serde(rename = "r")]
    Refused {
        /// The refused attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Why it did not run.
        #[serde(rename = "w")]
        refusal: Refusal,
        /// The agent's current load.
        #[serde(rename = "l")]
        load: Load,
    },
    /// The answer begins.
    #[serde(rename = "h")]
    Head {
        /// The attempt that is answered.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// HTTP status of the answer.
        #[serde(rename = "s")]
        status: u16,
        /// Media type of the body.
        #[serde(rename = "t")]
        content_type: String,
        /// Requests running or waiting at the agent.
        #[serde(rename = "l")]
        occupancy: Occupancy,
    },
    /// A piece of the body.
    #[serde(rename = "c")]
    Chunk {
        /// The attempt whose answer the chunk is part of.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Number of the chunk within the answer, from 0.
        #[serde(rename = "n")]
        number: u64,
        /// The part of the body that the chunk carries.
        #[serde(rename = "d", with = "serde_body")]
        data: Bytes,
        /// Requests running or waiting at the agent.
        #[serde(rename = "l")]
        occupancy: Occupancy,
    },
    /// The answer is complete.
    #[serde(rename = "e")]
    End {
        /// The attempt whose answer is complete.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Number of chunks in the complete answer.
        #[serde(rename = "n")]
        chunk_count: u64,
        /// Requests running or waiting at the agent.
        #[serde(rename = "l")]
        occupancy: Occupancy,
    },
    /// The attempt may have run, but there is no complete answer.
    #[serde(rename = "f")]
    Failed {
        /// The failed attempt.
        #[serde(rename = "i")]
        attempt: AttemptId,
        /// Why there is no complete answer.
        #[serde(rename = "w")]
        failure: Failure,
        /// Requests running or waiting at the agent.
        #[serde(rename = "l")]
        occupancy: Occupancy,
    },
    /// Sent once a second, and sooner when something in it changes.
    #[serde(rename = "b")]
    Heartbeat {
        /// The agent's current load.
        #[serde(rename = "l")]
        load: Load,
        /// The agent's current record window.
        #[serde(rename = "w")]
        window: Window,
        /// The agent accepts no new work.
        #[serde(rename = "x")]
        leaving: bool,
        /// Whether the backend server passed its last health check.
        #[serde(rename = "u")]
        backend_up: bool,
    },
    /// The requests that the sender suspects of crashing backend servers.
    #[serde(rename = "s")]
    Suspicions(Vec<SuspectRecord>),
    /// Changes of the engine's prefix cache, numbered by the agent; a jump in the numbers shows a
    /// gap.
    #[serde(rename = "k")]
    CacheEvents(Vec<CacheEvent>),
    /// The answer to an order.
    #[serde(rename = "o")]
    OrderAnswer {
        /// The order's number.
        #[serde(rename = "n")]
        number: u64,
        /// The answer, encoded by the coordinator's crate.
        #[serde(rename = "d", with = "serde_body")]
        body: Bytes,
    },
}

impl AgentMessage {
    /// The attempt that the message belongs to, if any.
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

/// Load carried by a message, as of when the message was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadHint {
    /// All fields of the load.
    Whole(Load),
    /// The compact form.
    Occupancy(Occupancy),
}

/// Encodes bodies as CBOR byte strings; serde's default is an array of numbers.
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
