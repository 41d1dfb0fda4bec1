//! When a caller's connection is in use.

use crate::stream::CallerStream;
use http_body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time between checks whether a request has begun on a connection that its caller has closed.
const PROGRESS_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The use of one connection.
#[derive(Clone, Debug)]
pub struct Usage(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    has_begun: bool,
    requests_in_progress: u32,
    last_used: Instant,
}

impl Default for Usage {
    /// The use of a connection that is accepted now.
    fn default() -> Self {
        let (has_begun, last_used) = (false, Instant::now());
        Self(Arc::new(Mutex::new(State { has_begun, requests_in_progress: 0, last_used })))
    }
}

/// A request that is in progress until this is dropped.
#[derive(Debug)]
pub struct RequestInProgress(Usage);

impl Usage {
    /// Counts a request as in progress.
    ///
    /// ```
    /// use flamingowheel_serving::usage::Usage;
    /// let usage = Usage::default();
    /// let request = usage.begin_request();
    /// assert!(usage.is_in_progress() && usage.idle_time().is_zero());
    /// drop(request);
    /// assert!(!usage.is_in_progress() && usage.has_begun());
    /// ```
    pub fn begin_request(&self) -> RequestInProgress {
        let mut state = self.lock();
        state.has_begun = true;
        state.requests_in_progress += 1;
        drop(state);
        RequestInProgress(self.clone())
    }

    /// Whether there has been a request.
    pub fn has_begun(&self) -> bool {
        self.lock().has_begun
    }

    /// Whether a request is in progress.
    pub fn is_in_progress(&self) -> bool {
        self.lock().requests_in_progress > 0
    }

    /// How long no request has been in progress.
    pub fn idle_time(&self) -> Duration {
        let state = self.lock();
        if state.requests_in_progress > 0 { Duration::ZERO } else { state.last_used.elapsed() }
    }

    /// Waits until the caller has left a request in progress. The HTTP server does not look for the end
    /// of a connection while it holds bytes of the next request.
    pub async fn left(&self, stream: &CallerStream) {
        stream.closed().await;
        while !self.is_in_progress() {
            sleep(PROGRESS_CHECK_INTERVAL).await;
        }
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
pub struct TrackedBody<B> {
    body: B,
    _request: RequestInProgress,
}

impl<B> TrackedBody<B> {
    /// Keeps a request in progress as long as the body of its answer exists.
    pub fn new(body: B, request: RequestInProgress) -> Self {
        Self { body, _request: request }
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
