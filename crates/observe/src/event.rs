//! Typed events: the decisions and observations of a process.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::clock::Stamp;
use crate::reason::{
    CancelCause, Class, ConfigSource, LeaveCause, Limit, MemberState, NotRunReason, OrderKind,
    RefusalReason, RetryDenial, RetryReason, RouteReason, SwitchStep, UnknownReason,
};

/// A shared name, as of a workspace, a group, a process or a backend server.
pub type Name = Arc<str>;

/// The request, workspace and group that an event concerns; each may be absent.
///
/// ```
/// use flamingowheel_observe::event::Subject;
///
/// let subject = Subject::default().workspace("roadside").group("runners-a");
/// assert_eq!(subject.workspace.as_deref(), Some("roadside"));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subject {
    /// Id of the caller's request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Uuid>,
    /// Workspace that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Name>,
    /// Rank group that the event concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<Name>,
}

impl Subject {
    /// A subject that names a request.
    pub fn request(id: Uuid) -> Self {
        Self { request: Some(id), ..Self::default() }
    }

    /// Adds the workspace.
    pub fn workspace<N>(mut self, name: N) -> Self
    where
        N: Into<Name>,
    {
        self.workspace = Some(name.into());
        self
    }

    /// Sets the rank group that the event concerns.
    pub fn group<N>(mut self, name: N) -> Self
    where
        N: Into<Name>,
    {
        self.group = Some(name.into());
        self
    }
}

/// An event with its time, the process that recorded it and its subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedEvent {
    /// Hybrid logical time of the event.
    pub stamp: Stamp,
    /// Number of the event within its process, from 1.
    pub sequence: u64,
    /// The process that recorded it.
    pub process: Name,
    /// Request, workspace and group that the event concerns.
    #[serde(flatten)]
    pub subject: Subject,
    /// Type of the event and its fields.
    #[serde(flatten)]
    pub event: Event,
}

impl StampedEvent {
    /// Sort key of the total order over all processes; equal stamps are ordered by process.
    pub fn order_key(&self) -> (Stamp, &str, u64) {
        (self.stamp, &self.process, self.sequence)
    }
}

/// The events that a process can record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[allow(missing_docs, reason = "the fields carry their unit and their meaning in the name")]
pub enum Event {
    /// The process started.
    ProcessStarted { version: Name, incarnation: Uuid },

    /// An entry accepted a caller's request.
    RequestAccepted { class: Class, idempotent: bool, deadline_ms: u64 },
    /// A limit of the workspace was exceeded.
    LimitExceeded { limit: Limit, retry_after_ms: u64 },
    /// A backend server was chosen for an attempt.
    Routed {
        backend_server: Name,
        attempt: u32,
        reason: RouteReason,
        candidates: u32,
        predicted_wait_ms: u64,
    },
    /// An attempt was sent to a backend server's agent.
    Dispatched { backend_server: Name, attempt: u32, incarnation: Uuid, remaining_ms: u64 },
    /// An agent queued an attempt.
    Admitted { attempt: u32, queued: u32 },
    /// The engine began an attempt.
    Started { attempt: u32, running: u32 },
    /// The engine finished an attempt; the agent keeps its answer for resends.
    Finished { attempt: u32, chunks: u64, duration_ms: u64 },
    /// An agent refused an attempt.
    Refused { backend_server: Name, attempt: u32, reason: RefusalReason },
    /// The request is attempted again.
    Retried { attempt: u32, reason: RetryReason },
    /// The request must not be attempted again.
    RetryDenied { attempt: u32, reason: RetryDenial },
    /// An attempt was cancelled.
    Cancelled { attempt: u32, cause: CancelCause },
    /// An agent recorded a tombstone, by which it refuses late copies of an attempt.
    TombstoneWritten { attempt: u32 },
    /// A stream was resumed from a chunk over a new connection.
    Resumed { backend_server: Name, attempt: u32, from_chunk: u64 },
    /// The complete answer was delivered.
    Completed { class: Class, attempts: u32, chunks: u64, duration_ms: u64 },
    /// The request provably did not run.
    NotRun { class: Class, attempts: u32, reason: NotRunReason },
    /// It cannot be determined whether the request ran.
    OutcomeUnknown { class: Class, attempts: u32, reason: UnknownReason },

    /// A ticket for one run was issued.
    TicketIssued { ticket: Name, backend_server: Name },
    /// A caller's own idempotency key was bound to a ticket.
    TicketBound { ticket: Name },
    /// The one run of a ticket began.
    TicketRun { ticket: Name },
    /// A repeated request with a ticket got the stored answer.
    TicketReplayed { ticket: Name },
    /// A ticket was voided; it will never run.
    TicketVoided { ticket: Name },

    /// A request with this fingerprint was running when a backend server's engine crashed.
    SuspectMarked { fingerprint: Name, crashes: u32 },
    /// A request suspected of causing crashes finished a run, which clears its fingerprint.
    SuspectCleared { fingerprint: Name },
    /// A backend server's engine crashed.
    EngineCrashed { backend_server: Name, running: u32 },
    /// A backend server's engine responds again.
    EngineReady { backend_server: Name },

    /// A connection was opened.
    ConnectionOpened { peer: Name },
    /// A connection went silent without closing.
    ConnectionSilent { peer: Name, silent_ms: u64 },
    /// A new connection replaced a silent one.
    ConnectionReplaced { peer: Name, requests: u32 },
    /// A connection closed.
    ConnectionClosed { peer: Name },

    /// An expert-map switch reached a step.
    Switch { step: SwitchStep, map_revision: u64 },
    /// A rank's expert map could not be read back, so the rank is out of service.
    RankUnverified { backend_server: Name, map_revision: u64 },
    /// An order to an engine took effect.
    OrderApplied { order: OrderKind, fencing_number: u64 },
    /// An order was refused because its fencing number is too old.
    OrderRefused { order: OrderKind, fencing_number: u64, lowest_accepted: u64 },
    /// This process acquired a lease.
    LeaseWon { lease: Name, fencing_number: u64 },
    /// A lease was lost or expired.
    LeaseLost { lease: Name },

    /// A configuration change was confirmed as stored.
    ChangeAccepted { change: Uuid, revision: u64 },
    /// A configuration change was refused because a newer one exists.
    ChangeConflict { change: Uuid, revision: u64 },
    /// It is not known whether a configuration change is stored.
    ChangeUnknown { change: Uuid },
    /// A configuration revision is in force in this process.
    ConfigurationInForce { revision: u64, source: ConfigSource },
    /// A revision older than the one in force was received and ignored.
    OlderConfigurationRefused { revision: u64, in_force: u64 },

    /// This process recorded a new state of another process.
    MemberChanged { member: Name, state: MemberState },
    /// This process began to leave and accepts no new work.
    LeaveBegan { cause: LeaveCause, requests: u32 },
    /// This process finished leaving; requests still open at the end were cut off.
    LeaveFinished { waited_ms: u64, cut_off: u32 },

    /// The key-value service doesn't answer.
    KeyValueDown { error: Name },
    /// The key-value service answers again.
    KeyValueUp { down_ms: u64 },
    /// A peer's stamp was ignored because its clock is too far ahead.
    ClockDriftIgnored { peer: Name, ahead_ms: u64 },
}

impl Event {
    /// Whether the event may need an operator's attention; such events are logged as warnings.
    ///
    /// ```
    /// use flamingowheel_observe::event::Event;
    ///
    /// let crashed = Event::EngineCrashed { backend_server: "runner-3".into(), running: 2 };
    /// assert!(crashed.is_warning());
    /// ```
    pub fn is_warning(&self) -> bool {
        matches!(
            self,
            Self::OutcomeUnknown { .. }
                | Self::SuspectMarked { .. }
                | Self::EngineCrashed { .. }
                | Self::ConnectionSilent { .. }
                | Self::RankUnverified { .. }
                | Self::ChangeUnknown { .. }
                | Self::OlderConfigurationRefused { .. }
                | Self::KeyValueDown { .. }
                | Self::ClockDriftIgnored { .. }
        )
    }
    /// Name of the backend server or process that the event refers to, if any.
    ///
    /// ```
    /// use flamingowheel_observe::event::Event;
    ///
    /// assert_eq!(Event::ConnectionOpened { peer: "entry-2".into() }.peer(), Some("entry-2"));
    /// ```
    pub fn peer(&self) -> Option<&str> {
        match self {
            Self::Routed { backend_server, .. }
            | Self::Dispatched { backend_server, .. }
            | Self::Refused { backend_server, .. }
            | Self::Resumed { backend_server, .. }
            | Self::TicketIssued { backend_server, .. }
            | Self::EngineCrashed { backend_server, .. }
            | Self::EngineReady { backend_server }
            | Self::RankUnverified { backend_server, .. } => Some(backend_server),
            Self::ConnectionOpened { peer }
            | Self::ConnectionSilent { peer, .. }
            | Self::ConnectionReplaced { peer, .. }
            | Self::ConnectionClosed { peer }
            | Self::ClockDriftIgnored { peer, .. } => Some(peer),
            Self::MemberChanged { member, .. } => Some(member),
            _ => None,
        }
    }

    /// Whether the event can explain what happened to a request although it names none.
    pub(crate) fn is_context(&self) -> bool {
        matches!(
            self,
            Self::EngineCrashed { .. }
                | Self::EngineReady { .. }
                | Self::RankUnverified { .. }
                | Self::ConnectionOpened { .. }
                | Self::ConnectionSilent { .. }
                | Self::ConnectionReplaced { .. }
                | Self::ConnectionClosed { .. }
                | Self::MemberChanged { .. }
                | Self::LeaveBegan { .. }
                | Self::LeaveFinished { .. }
                | Self::KeyValueDown { .. }
                | Self::KeyValueUp { .. }
        )
    }
}
