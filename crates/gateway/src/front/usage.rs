//! When a caller's connection is in use.

use crate::relay::{AnswerBody, Truncated};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Instant;

/// The use of one connection.
#[derive(Clone, Debug)]
pub(super) struct Usage(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    has_begun: bool,
    requests_in_progress: u32,
    last_used: Instant,
}

/// A request that is in progress until this is dropped.
#[derive(Debug)]
pub(super) struct RequestInProgress(Usage);

impl Usage {
    /// The use of a connection that was accepted now.
    pub(super) fn new() -> Self {
        let (has_begun, last_used) = (false, Instant::now());
        Self(Arc::new(Mutex::new(State { has_begun, requests_in_progress: 0, last_used })))
    }

    /// Counts a request as in progress.
    pub(super) fn begin_request(&self) -> RequestInProgress {
        let mut state = self.lock();
        state.has_begun = true;
        state.requests_in_progress += 1;
        drop(state);
        RequestInProgress(self.clone())
    }

    /// Whether there has been a request.
    pub(super) fn has_begun(&self) -> bool {
        self.lock().has_begun
    }

    /// Whether a request is in progress.
    pub(super) fn is_in_progress(&self) -> bool {
        self.lock().requests_in_progress > 0
    }

    /// How long no request has been in progress.
    pub(super) fn idle_time(&self) -> Duration {
        let state = self.lock();
        if state.requests_in_progress > 0 { Duration::ZERO } else { state.last_used.elapsed() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.requests_in_progress -= 1;
        state.last_used = Instant::now();
    }
}

/// The body of an answer. Its request is in progress until the body has been passed on.
#[derive(Debug)]
pub(super) struct TrackedBody {
    body: AnswerBody,
    _request: RequestInProgress,
}

impl TrackedBody {
    pub(super) fn new(body: AnswerBody, request: RequestInProgress) -> Self {
        Self { body, _request: request }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
