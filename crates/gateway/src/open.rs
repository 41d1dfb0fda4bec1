//! Requests that have been read and have not ended. Each one ends once in the counters, also if what
//! works on it is dropped.

use crate::front::Stop;
use crate::losses::Progress;
use crate::metrics::Metrics;
use crate::server::Server;
use flamingowheel_policy::key::Fingerprint;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// Outcome of a request that was dropped before its end, mostly because its caller left.
const ABANDONED: &str = "abandoned";

/// The `kind` label of a request that was not admitted.
const UNKNOWN_KIND: &str = "unknown";

/// A request that has been read. It ends as abandoned when this is dropped before another end.
#[derive(Debug)]
pub struct OpenRequest {
    /// Id of the caller's attempt. Empty if absent.
    pub attempt_id: String,
    /// When the request's head arrived.
    pub arrived: Instant,
    metrics: Arc<Metrics>,
    stop: Stop,
    state: Mutex<State>,
}

/// What is known of a request so far.
#[derive(Clone, Debug, Default)]
struct State {
    route: Option<String>,
    kind: Option<&'static str>,
    fingerprint: Option<Fingerprint>,
    /// The server that it was last sent to.
    server: Option<String>,
    /// `None` until it is sent.
    progress: Option<Progress>,
    has_ended: bool,
}

impl OpenRequest {
    /// Counts a request as read.
    ///
    /// ```
    /// use flamingowheel_gateway::front::Stop;
    /// use flamingowheel_gateway::metrics::Metrics;
    /// use flamingowheel_gateway::open::OpenRequest;
    /// use std::sync::Arc;
    /// use tokio::time::Instant;
    /// let metrics = Arc::new(Metrics::new().unwrap());
    /// drop(OpenRequest::new("a1", Instant::now(), Arc::clone(&metrics), Stop::default()));
    /// assert_eq!((metrics.requests_read(), metrics.requests_ended()), (1, 1));
    /// ```
    pub fn new(attempt_id: &str, arrived: Instant, metrics: Arc<Metrics>, stop: Stop) -> Self {
        metrics.record_read();
        let attempt_id = attempt_id.to_owned();
        Self { attempt_id, arrived, metrics, stop, state: Mutex::default() }
    }

    /// Sets the name of the route that matched.
    pub fn set_route(&self, name: &str) {
        self.state().route = Some(name.to_owned());
    }

    /// Sets the value of the `kind` label in metrics and the hash of the request's content, once its
    /// body has arrived.
    pub fn admit(&self, kind: &'static str, fingerprint: Fingerprint) {
        let mut state = self.state();
        state.kind = Some(kind);
        state.fingerprint = Some(fingerprint);
    }

    /// Hash of the request's content; `None` unless it was admitted.
    pub fn fingerprint(&self) -> Option<Fingerprint> {
        self.state().fingerprint
    }

    /// Sets the server that gets the request now.
    pub fn begin_send(&self, server: &Server) {
        let mut state = self.state();
        state.server = Some(server.listed.id.clone());
        state.progress = Some(Progress::Sent);
    }

    /// Sets how far the answer has come.
    pub fn record_progress(&self, progress: Progress) {
        self.state().progress = Some(progress);
    }

    /// Counts the end of the request, unless it has ended before.
    pub fn end(&self, outcome: &'static str) {
        self.try_end(outcome);
    }

    /// Counts the end; `None` if the request has ended before, otherwise what was known of it.
    fn try_end(&self, outcome: &'static str) -> Option<State> {
        let state = {
            let mut state = self.state();
            if state.has_ended {
                return None;
            }
            state.has_ended = true;
            state.clone()
        };
        self.metrics.record_request(state.kind.unwrap_or(UNKNOWN_KIND), outcome);
        Some(state)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let Some(state) = self.try_end(ABANDONED) else {
            return;
        };
        tracing::info!(
            request = self.attempt_id,
            route = state.route,
            server = state.server,
            outcome = ABANDONED,
            progress = state.progress.map_or("not_sent", Progress::name),
            after_ms = self.arrived.elapsed().as_millis() as u64,
            is_leaving = self.stop.leaving.is_cancelled(),
            "request abandoned"
        );
    }
}
