//! Backend servers as an agent sees its own one: calls that stream an answer, cancel, load.
//!
//! Model engines speak OpenAI-style HTTP with event streams; plain services speak plain HTTP.

use crate::BoxFuture;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// How urgent a request is; lower numbers go first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority(pub u8);

/// One call to the backend server.
#[derive(Clone, Debug)]
pub struct BackendCall {
    /// Identifies the call for [`BackendServer::cancel`]; unique in the fleet.
    pub id: String,
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query, for example `/v1/chat/completions`.
    pub path: String,
    /// The media type of `body`, if any.
    pub content_type: Option<String>,
    /// The whole request body.
    pub body: Bytes,
    /// Forwarded to engines, which honour it.
    pub priority: Priority,
    /// Number of events that the caller already has; engines that can resume skip these.
    pub resume_after_events: u64,
}

/// The head of an answer, with its body to follow.
#[derive(Debug)]
pub struct BackendAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// Pieces of the body in order; for an event stream each piece is one whole event. The body is
    /// whole only if [`BodyPiece::End`] is seen: a closed channel without it is a truncated body.
    pub body: mpsc::Receiver<Result<BodyPiece, BackendError>>,
}

/// A part of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPiece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole: its length was met, or the event stream's end marker was seen.
    End,
}

/// Why a call to a backend server failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BackendError {
    /// The connection was refused: the call can't have started.
    #[error("backend server refused the connection")]
    Refused,
    /// The connection broke after the request was sent: the call may have run.
    #[error("connection to the backend server lost after the request was sent")]
    Lost,
    /// No byte came for too long.
    #[error("backend server silent for {limit_ms} ms")]
    Silent {
        /// How long it was silent, in milliseconds.
        limit_ms: u64,
    },
    /// The answer is not valid HTTP or not a valid event stream.
    #[error("malformed answer from the backend server")]
    Malformed,
}

impl BackendError {
    /// Whether the call surely did not start, so that "not run" may be said.
    ///
    /// ```
    /// use flamingowheel_backing::backend::BackendError;
    /// assert!(BackendError::Refused.proves_not_started());
    /// assert!(!BackendError::Lost.proves_not_started());
    /// ```
    pub fn proves_not_started(&self) -> bool {
        matches!(self, Self::Refused)
    }
}

/// What a backend server reports about itself, with a lag.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting inside the backend server.
    pub waiting: u32,
    /// Milliseconds since its process started; falls when it crashed and came back.
    pub uptime_ms: u64,
    /// Random number drawn at process start; tells two lives of the process apart.
    pub process_id: u64,
}

/// A prefix-cache event. Numbers rise by one within one life of the process, which begins with an
/// empty cache; a jump tells that events were lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number.
    pub number: u64,
    /// Hash of the prefix block.
    pub block_hash: u64,
    /// Stored or evicted.
    pub stored: bool,
}

/// The one backend server of an agent.
pub trait BackendServer: Send + Sync + 'static {
    /// Sends a call. It is never sent twice by the transport underneath.
    fn call(&self, call: BackendCall) -> BoxFuture<'_, Result<BackendAnswer, BackendError>>;

    /// Asks the backend server to stop a call; no proof that it did not run.
    fn cancel<'a>(&'a self, id: &'a str) -> BoxFuture<'a, Result<(), BackendError>>;

    /// Reads the load report; also serves as health check.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, BackendError>>;

    /// Reads cache events after number `after`; plain services have none.
    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, BackendError>>;
}
