//! A caller's request, and what has become of it so far.

use crate::refusal::Refusal;
use crate::relay::AnswerBody;
use crate::server::Server;
use bytes::Bytes;
use flamingowheel_fleet::configuration::{RetryPolicy, Route, Workspace};
use flamingowheel_platform::headers::{self, ForwardHead, RequestHead};
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Longest wait for servers that are away. A rank group forms again within 0.6 s of its last
/// rank's return.
const MAX_OUTAGE_WAIT: Duration = Duration::from_millis(1_500);

/// Share of a request's time that it waits for servers at the most; the rest is for its answer.
const OUTAGE_SHARE: f64 = 0.4;

/// Most backend servers that one request is offered to in a row, refusals included.
const MAX_OFFERS: usize = 3;

/// Pause before a request that several servers refused is offered again.
const OFFER_PAUSE: Duration = Duration::from_millis(150);

/// Part of a route's time limit by which a caller's time falls short of it when the caller comes back
/// after a refusal. Callers give a first attempt the whole time.
const RETURNED_SHORTFALL: f64 = 0.01;

/// A caller's request, read whole, with what the configuration says of it.
#[derive(Debug)]
pub struct Exchange {
    /// When its head arrived.
    pub arrived: Instant,
    /// When the caller or the route gives it up.
    pub deadline: Instant,
    /// What the caller says of it.
    pub head: RequestHead,
    /// Its route.
    pub route: Arc<Route>,
    /// The service chosen.
    pub service: String,
    /// The caller's workspace.
    pub workspace: Option<Arc<Workspace>>,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Exchange {
    /// The word for metrics.
    pub fn kind(&self) -> &'static str {
        match (self.route.is_stream, self.route.retry_policy) {
            (true, _) => "stream",
            (false, RetryPolicy::Never) => "once",
            (false, _) => "idempotent",
        }
    }

    /// Whether the caller seems to have been refused before: it has used up part of its time.
    pub fn has_returned(&self) -> bool {
        let whole_ms = self.route.timeout_ms as f64;
        let least_ms = whole_ms * (1.0 - RETURNED_SHORTFALL);
        self.head.deadline_ms.is_some_and(|left_ms| (left_ms as f64) < least_ms)
    }

    /// How long to wait for servers that all refuse or are not listed. They are back within about
    /// a second; a plain call's goal has passed by then, but its deadline has not.
    pub fn outage_patience(&self) -> Duration {
        (self.deadline - self.arrived).mul_f64(OUTAGE_SHARE).min(MAX_OUTAGE_WAIT)
    }

    /// The request as it is sent to `server`.
    pub fn outgoing(&self, server: &Server, last_event_id: Option<u64>) -> Request<Full<Bytes>> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let head = ForwardHead {
            remaining_ms: remaining.as_millis() as u64,
            server: &server.listed.id,
            workspace: self.workspace.as_ref().map(|workspace| workspace.name.as_str()),
            priority: None,
            last_event_id,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        headers::rewrite_for_backend(&mut headers, &head);
        *request.headers_mut() = headers;
        request
    }
}

/// What has become of a request so far.
#[derive(Debug, Default)]
pub struct Course {
    /// Servers to pass over.
    pub tried: Vec<Arc<Server>>,
    /// Sends, those that a server refused included.
    pub offers: u32,
    /// Sends after which a server may have run it.
    pub runs: u32,
    /// A server's own failure, passed on if nothing better comes.
    pub fallback: Option<Response<AnswerBody>>,
}

impl Course {
    /// Whether another server may be asked. Several that refuse in a row point to an outage: while
    /// it pays to wait for its end, all are asked again after a pause.
    pub async fn may_offer(&mut self, exchange: &Exchange) -> bool {
        if self.tried.len() < MAX_OFFERS {
            return true;
        }
        let again_at = Instant::now() + OFFER_PAUSE;
        let is_over = again_at - exchange.arrived >= exchange.outage_patience();
        if is_over || self.runs > 0 {
            return false;
        }
        sleep_until(again_at).await;
        self.tried.clear();
        true
    }

    /// Whether the request may run once more.
    pub fn can_repeat(&self, exchange: &Exchange) -> bool {
        exchange.route.retry_policy != RetryPolicy::Never && self.runs < exchange.route.max_attempts
    }

    /// The final answer when no further send is possible.
    pub fn end(
        self,
        exchange: &Exchange,
        refusal: Option<Refusal>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        if let Some(response) = self.fallback {
            return Ok(response);
        }
        let is_late = Instant::now() >= exchange.deadline;
        Err(match (self.runs > 0, is_late) {
            (false, false) => refusal.unwrap_or(Refusal::Full),
            (false, true) => Refusal::TooLate,
            (true, false) => Refusal::AnswerLost,
            (true, true) => Refusal::NoAnswerInTime,
        })
    }
}
