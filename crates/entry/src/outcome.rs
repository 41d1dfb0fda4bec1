//! What a caller is told, and the proof that each answer needs.

use flamingowheel_observe::reason::Limit;
use flamingowheel_policy::retry::RetryRefusal;
use flamingowheel_protocol::message::{Failure, Refusal};
use flamingowheel_protocol::ticket::TicketError;

/// Proof that a request did not run and won't.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRun {
    /// This entry does not yet know, or no longer trusts, the configuration that it has.
    #[error("this entry has no confirmed configuration yet")]
    NotReady,
    /// No workspace is known for the token.
    #[error("unknown workspace or token")]
    Unauthorised,
    /// The workspace may not use this model.
    #[error("model not offered to this workspace")]
    UnknownModel,
    /// The workspace may not use this service or route.
    #[error("service or route not offered to this workspace")]
    UnknownService,
    /// The body is too large.
    #[error("body exceeds {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The request can't be read.
    #[error("malformed request: {0}")]
    Malformed(#[from] MalformedRequest),
    /// A limit of the workspace is reached.
    #[error("limit of the workspace reached: {limit}")]
    LimitReached {
        /// Which.
        limit: Limit,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// Every backend server has more waiting than the caller has time for.
    #[error("backend servers overloaded")]
    Overloaded {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// It crashed backend servers.
    #[error("refused because backend servers crashed while running this request")]
    Suspect {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// No agent that serves it is reachable.
    #[error("no backend server is available")]
    NoneAvailable,
    /// The last agent that was asked refused it.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// The deadline passed before it started.
    #[error("deadline passed before it started")]
    DeadlinePassed,
    /// The idempotency key could not be bound, so nothing was sent.
    #[error("key-value service unavailable, so the idempotency key can't be checked")]
    KeyNotChecked,
    /// The ticket is not valid for this request.
    #[error("ticket refused: {0}")]
    Ticket(#[from] TicketRefusal),
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for another request")]
    KeyMismatch,
    /// The ticket's agent process ended as planned, and its archive says that it never ran it.
    #[error("the process that holds the ticket ended without running it; take a new ticket")]
    HomeEnded,
}

/// What can't be read in a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedRequest {
    /// The body is not JSON with a model's name.
    #[error("body is not a chat completion request")]
    Body,
    /// A header has a value that can't be used.
    #[error("header {0} can't be read")]
    Header(&'static str),
    /// The path has segments that could step out of its route.
    #[error("path has dot segments")]
    Path,
    /// The body ended early or took too long.
    #[error("body incomplete")]
    BodyIncomplete,
    /// A query parameter is missing.
    #[error("query parameter {0} is missing")]
    Query(&'static str),
    /// A stream token is not one of this fleet.
    #[error("stream token can't be read")]
    StreamToken,
}

/// Why a ticket does not fit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketRefusal {
    /// Not a ticket of this fleet.
    #[error(transparent)]
    Invalid(#[from] TicketError),
    /// Minted for another workspace or service.
    #[error("minted for another workspace or service")]
    OtherSubject,
    /// The call may be repeated and needs none.
    #[error("the call is idempotent and takes no ticket")]
    NotNeeded,
}

/// Why nobody can know whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unknown {
    /// The attempt began and ended without a whole answer.
    #[error("{0}")]
    Failed(#[from] Failure),
    /// The answer is larger than an entry gathers.
    #[error("the answer exceeds {limit_bytes} bytes")]
    AnswerTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The agent can't be reached.
    #[error("the backend server's agent can't be reached")]
    AgentUnreachable,
    /// The agent process that had the attempt is gone.
    #[error("the agent process that had the request is gone")]
    AgentReplaced,
    /// The deadline passed while it may have been running.
    #[error("deadline passed while it may have been running")]
    DeadlinePassed,
    /// The agent no longer has the stream.
    #[error("the stream is no longer there: {0}")]
    StreamGone(Refusal),
    /// The ticket was submitted before or elsewhere, and its agent can't say what became of it.
    #[error("the process that holds the ticket's record can't tell: {0}")]
    TicketHome(Refusal),
}

impl Unknown {
    /// Whether the agent process that could tell can't be asked any more.
    pub fn is_home_gone(self) -> bool {
        matches!(self, Self::TicketHome(_) | Self::AgentUnreachable | Self::AgentReplaced)
    }
}

/// Why a request has no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Verdict {
    /// Proof that it did not run.
    #[error(transparent)]
    NotRun(#[from] NotRun),
    /// It may have run.
    #[error(transparent)]
    Unknown(#[from] Unknown),
}

/// Why an attempt that had begun was not repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not tried again: {0}")]
pub struct NotRetried(#[from] pub RetryRefusal);
