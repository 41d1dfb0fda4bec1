//! Requests that have been read and have not ended. Each one ends once in the counters, also if what
//! works on it is dropped.

use crate::front::Stop;
use crate::losses::Progress;
use crate::metrics::Metrics;
use crate::refusal::Refusal;
use crate::server::Server;
use flamingowheel_policy::key::Fingerprint;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Outcome of a request that was dropped before its end, mostly because its caller left.
const ABANDONED: &str = "abandoned";

/// Outcome of a request that is cut off as the process is about to exit.
pub(crate) const CUT_BY_STOP: &str = "cut_by_stop";

/// The `kind` label of a request that was not admitted.
const UNKNOWN_KIND: &str = "unknown";

/// The requests of an entry that have not ended.
#[derive(Debug)]
pub struct OpenRequests {
    metrics: Arc<Metrics>,
    stop: Stop,
    next_number: AtomicU64,
    open: Mutex<HashMap<u64, Weak<OpenRequest>>>,
}

impl OpenRequests {
    /// Counts requests in `metrics`, and follows the steps of the process's stop.
    pub fn new(metrics: Arc<Metrics>, stop: Stop) -> Arc<Self> {
        Arc::new(Self { metrics, stop, next_number: AtomicU64::new(0), open: Mutex::default() })
    }

    /// Counts a request as read.
    ///
    /// ```
    /// use flamingowheel_gateway::front::Stop;
    /// use flamingowheel_gateway::metrics::Metrics;
    /// use flamingowheel_gateway::open::OpenRequests;
    /// use std::sync::Arc;
    /// use tokio::time::Instant;
    /// let metrics = Arc::new(Metrics::new().unwrap());
    /// let requests = OpenRequests::new(Arc::clone(&metrics), Stop::default());
    /// drop(requests.read("a1", Instant::now()));
    /// assert_eq!((metrics.requests_read(), metrics.requests_ended()), (1, 1));
    /// ```
    pub fn read(self: &Arc<Self>, attempt_id: &str, arrived: Instant) -> Arc<OpenRequest> {
        self.metrics.record_read();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let request = Arc::new(OpenRequest {
            attempt_id: attempt_id.to_owned(),
            arrived,
            number,
            requests: Arc::clone(self),
            state: Mutex::default(),
        });
        self.lock().insert(number, Arc::downgrade(&request));
        request
    }

    /// Ends all requests that are still open, and logs how many were read and ended in all.
    pub fn end_all(&self) {
        // Dropping a request removes it from the map, so the lock is released before.
        let left: Vec<_> = self.lock().values().filter_map(Weak::upgrade).collect();
        left.iter().for_each(|request| request.end_early(CUT_BY_STOP));
        let read = self.metrics.requests_read();
        let ended = self.metrics.requests_ended();
        tracing::info!(read, ended, "requests at exit");
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Weak<OpenRequest>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that has been read. It ends as abandoned when this is dropped before another end.
#[derive(Debug)]
pub struct OpenRequest {
    /// Id of the caller's attempt. Empty if absent.
    pub attempt_id: String,
    /// When the request's head arrived.
    pub arrived: Instant,
    number: u64,
    requests: Arc<OpenRequests>,
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
    /// Cancelled when requests in progress are to end, as the process is about to exit.
    pub fn aborting(&self) -> &CancellationToken {
        &self.requests.stop.aborting
    }

    /// Whether the stop of the process might end the request before its deadline.
    pub fn may_be_cut(&self, deadline: Instant) -> bool {
        self.requests.stop.may_cut(deadline)
    }

    /// The refusal of the request while it has no answer and the process is about to exit.
    pub fn cut_refusal(&self) -> Refusal {
        match self.state().progress {
            None => Refusal::CutByStop,
            Some(_) => Refusal::AnswerLost,
        }
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
        self.requests.metrics.record_request(state.kind.unwrap_or(UNKNOWN_KIND), outcome);
        Some(state)
    }

    /// Counts and logs an end that is none of an answer, unless the request has ended before.
    fn end_early(&self, outcome: &'static str) {
        let Some(state) = self.try_end(outcome) else {
            return;
        };
        tracing::info!(
            request = self.attempt_id,
            route = state.route,
            server = state.server,
            outcome,
            progress = state.progress.map_or("not_sent", Progress::name),
            after_ms = self.arrived.elapsed().as_millis() as u64,
            is_leaving = self.requests.stop.leaving.is_cancelled(),
            "request abandoned"
        );
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.lock().remove(&self.number);
        self.end_early(ABANDONED);
    }
}
