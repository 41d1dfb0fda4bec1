//! The backend server of an agent: streamed calls, cancellation, load reports and cache events.
//!
//! Model engines speak OpenAI-style HTTP with event streams; plain services speak plain HTTP.

use crate::BoxFuture;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

/// Priority of a request; lower numbers are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority(pub u8);

/// A request as an agent passes it on to its backend server.
#[derive(Clone, Debug)]
pub struct BackendCall {
    /// Identifies the call for [`BackendServer::cancel`]; unique in the fleet.
    pub id: String,
    /// HTTP method of the request to the backend server.
    pub method: http::Method,
    /// Path and query, for example `/v1/chat/completions`.
    pub path: String,
    /// The media type of `body`, if any.
    pub content_type: Option<String>,
    /// The request body, complete.
    pub body: Bytes,
    /// Sent to engines only; plain services have no priorities.
    pub priority: Priority,
    /// Number of events that the caller already has; engines that can resume skip these.
    pub resume_after_events: u64,
}

/// The head of an answer and the channel on which its body follows.
#[derive(Debug)]
pub struct BackendAnswer {
    /// HTTP status code of the backend server's answer.
    pub status: u16,
    /// Media type of the body; `application/octet-stream` if the answer names none.
    pub content_type: String,
    /// Pieces of the body in order; each piece of an event stream is one complete event. The body
    /// is complete only once [`BodyPiece::End`] is received: a channel that closes without it means
    /// a truncated body.
    pub body: mpsc::Receiver<Result<BodyPiece, BackendError>>,
}

/// A part of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPiece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete: its HTTP framing ended, or the event stream's end marker was received.
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
    /// No byte arrived within the timeout.
    #[error("backend server silent for {limit_ms} ms")]
    Silent {
        /// The timeout, in milliseconds.
        limit_ms: u64,
    },
    /// The answer is not valid HTTP or not a valid event stream.
    #[error("malformed answer from the backend server")]
    Malformed,
}

impl BackendError {
    /// Whether the call certainly did not start, so that its outcome is not run.
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

/// Load that a backend server reports about itself; it may lag behind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting inside the backend server.
    pub waiting: u32,
    /// Milliseconds since the process started; starts again at zero after a restart.
    pub uptime_ms: u64,
    /// Random number drawn at process start, so that a restart can be detected.
    pub process_id: u64,
}

/// A prefix-cache event. Numbers rise by one as long as the process runs, and its cache is empty at
/// the start; a gap in the numbers means that events were lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number within the process.
    pub number: u64,
    /// Hash of the prefix block; it covers all bytes before the block too.
    pub block_hash: u64,
    /// `true` if the block was stored, `false` if it was evicted.
    pub stored: bool,
}

/// The backend server of an agent; each agent has exactly one.
pub trait BackendServer: Send + Sync + 'static {
    /// Sends a call; the transport never sends it twice.
    fn call(&self, call: BackendCall) -> BoxFuture<'_, Result<BackendAnswer, BackendError>>;

    /// Asks the backend server to stop a call; success does not prove that the call did not run.
    fn cancel<'a>(&'a self, id: &'a str) -> BoxFuture<'a, Result<(), BackendError>>;

    /// Reads the load report; also serves as the health check.
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, BackendError>>;

    /// Reads cache events after number `after`; plain services have none.
    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, BackendError>>;
}
