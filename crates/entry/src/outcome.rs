//! Why a request has no complete answer, and what proves that it did not run.

use flamingowheel_observe::reason::Limit;
use flamingowheel_policy::retry::RetryRefusal;
use flamingowheel_protocol::message::{Failure, Refusal};
use flamingowheel_protocol::ticket::TicketError;

/// Reasons that prove that a request did not run and won't.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotRun {
    /// This entry has no configuration yet, or can't confirm that the one it has is current.
    #[error("this entry has no confirmed configuration yet")]
    NotReady,
    /// The request has no token, or no workspace has this token.
    #[error("unknown workspace or token")]
    Unauthorised,
    /// The workspace may not use this model.
    #[error("model not offered to this workspace")]
    UnknownModel,
    /// The workspace may not use this service or route.
    #[error("service or route not offered to this workspace")]
    UnknownService,
    /// The body exceeds the entry's limit.
    #[error("body exceeds {limit_bytes} bytes")]
    TooLarge {
        /// Largest accepted body, in bytes.
        limit_bytes: usize,
    },
    /// A part of the request can't be parsed.
    #[error("malformed request: {0}")]
    Malformed(#[from] MalformedRequest),
    /// A limit of the workspace is reached.
    #[error("limit of the workspace reached: {limit}")]
    LimitReached {
        /// The limit that was reached.
        limit: Limit,
        /// Time until a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The expected wait at every backend server exceeds the caller's deadline.
    #[error("backend servers overloaded")]
    Overloaded {
        /// Time until a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request is quarantined because backend servers crashed while running it.
    #[error("refused because backend servers crashed while running this request")]
    Suspect {
        /// Time until a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// No reachable agent serves the model or service.
    #[error("no backend server is available")]
    NoneAvailable,
    /// The agent of the last attempt refused the request.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// The deadline passed before the request started to run.
    #[error("deadline passed before it started")]
    DeadlinePassed,
    /// The idempotency key could not be bound, so nothing was sent.
    #[error("key-value service unavailable, so the idempotency key can't be checked")]
    KeyNotChecked,
    /// The ticket is not valid for this request.
    #[error("ticket refused: {0}")]
    Ticket(#[from] TicketRefusal),
    /// The idempotency key is bound to a request with another fingerprint.
    #[error("the idempotency key was used for another request")]
    KeyMismatch,
    /// The ticket's agent process shut down, and its archive shows that the ticket never ran.
    #[error("the process that holds the ticket ended without running it; take a new ticket")]
    HomeEnded,
}

/// Which part of a request is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedRequest {
    /// The body is not a JSON object with a model name.
    #[error("body is not a chat completion request")]
    Body,
    /// A header's value can't be parsed.
    #[error("header {0} can't be read")]
    Header(&'static str),
    /// The path has dot segments, empty segments or escapes, which could lead out of its route.
    #[error("path has dot segments")]
    Path,
    /// The body ended early or was not received in time.
    #[error("body incomplete")]
    BodyIncomplete,
    /// A query parameter is missing.
    #[error("query parameter {0} is missing")]
    Query(&'static str),
    /// The stream token is malformed or not signed by this fleet.
    #[error("stream token can't be read")]
    StreamToken,
}

/// Why a ticket can't be used for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TicketRefusal {
    /// The ticket is malformed or not signed by this fleet.
    #[error(transparent)]
    Invalid(#[from] TicketError),
    /// The ticket was minted for another workspace or service.
    #[error("minted for another workspace or service")]
    OtherSubject,
    /// The route is idempotent, so its calls take no ticket.
    #[error("the call is idempotent and takes no ticket")]
    NotNeeded,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unknown {
    /// The attempt started and ended without a complete answer.
    #[error("{0}")]
    Failed(#[from] Failure),
    /// The answer is larger than what an entry buffers.
    #[error("the answer exceeds {limit_bytes} bytes")]
    AnswerTooLarge {
        /// Largest buffered answer, in bytes.
        limit_bytes: usize,
    },
    /// The agent can't be reached.
    #[error("the backend server's agent can't be reached")]
    AgentUnreachable,
    /// Another agent process has replaced the one that had the attempt.
    #[error("the agent process that had the request is gone")]
    AgentReplaced,
    /// The deadline passed while the attempt may have been running.
    #[error("deadline passed while it may have been running")]
    DeadlinePassed,
    /// The agent has no record of the stream any more.
    #[error("the stream is no longer there: {0}")]
    StreamGone(Refusal),
    /// The agent process that the ticket names (its home) is gone or has dropped the ticket's
    /// record, so earlier attempts under the ticket may have run.
    #[error("the process that holds the ticket's record can't tell: {0}")]
    TicketHome(Refusal),
}

impl Unknown {
    /// Whether the one agent process that has the request's record is gone or unreachable.
    pub fn is_home_gone(self) -> bool {
        matches!(self, Self::TicketHome(_) | Self::AgentUnreachable | Self::AgentReplaced)
    }
}

/// Why a request has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Verdict {
    /// The request provably did not run.
    #[error(transparent)]
    NotRun(#[from] NotRun),
    /// The request may have run.
    #[error(transparent)]
    Unknown(#[from] Unknown),
}

/// Why a started attempt was not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not tried again: {0}")]
pub struct NotRetried(#[from] pub RetryRefusal);
