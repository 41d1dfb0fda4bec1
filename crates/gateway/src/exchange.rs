//! A caller's request and the attempts made for it.

use crate::budget::RetryCause;
use crate::homes::Homes;
use crate::open::OpenRequest;
use crate::refusal::Refusal;
use crate::relay::AnswerBody;
use crate::server::Server;
use bytes::Bytes;
use flamingowheel_fleet::configuration::{RetryPolicy, Route, Workspace};
use flamingowheel_platform::headers::{self, ForwardHead, RequestHead};
use flamingowheel_policy::key::{Fingerprint, WorkspaceKey};
use flamingowheel_policy::outage;
use flamingowheel_policy::priority::Rank;
use flamingowheel_policy::quota::Urgency;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Longest wait for servers that are unavailable. A rank group forms again within 0.6 s of its last
/// rank's return.
const MAX_OUTAGE_WAIT: Duration = Duration::from_millis(1_500);

/// Largest share of a request's time that is spent waiting for servers; the rest is for its answer.
const OUTAGE_SHARE: f64 = 0.4;

/// Most backend servers to which one request is sent in a row, including those that refuse but not
/// those that have ended.
const MAX_SENDS_IN_ROW: usize = 3;

/// Pause before a request that several servers refused is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(150);

/// A caller whose remaining time is shorter than the route's time limit by more than this share has
/// probably been refused before: callers give a first attempt the full time limit.
const CALLER_RETRY_SHORTFALL: f64 = 0.01;

/// Seed of fingerprints, the same at all entries.
const FINGERPRINT_SEED: u64 = 0;

/// A caller's request with its complete body, and the configuration that applies to it.
#[derive(Debug)]
pub struct Exchange {
    /// When the request's head arrived.
    pub arrived: Instant,
    /// The earlier of the caller's and the route's deadline.
    pub deadline: Instant,
    /// Fields parsed from the request's headers.
    pub head: RequestHead,
    /// Version of the configuration that applies.
    pub version: u64,
    /// The route that matched.
    pub route: Arc<Route>,
    /// The service chosen among the route's splits.
    pub service: String,
    /// The workspace of the caller's API key; `None` if no key is required and none matched.
    pub workspace: Option<Arc<Workspace>>,
    /// How urgent the request is.
    pub rank: Rank,
    /// Level of the rank among those of the service; `None` if all requests have the same.
    pub level: Option<u8>,
    /// The request's HTTP method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The caller's headers, unmodified.
    pub headers: HeaderMap,
    /// The request body, resent with each attempt.
    pub body: Bytes,
    /// Hash of the request's content; the same for all resends by its caller.
    pub fingerprint: Fingerprint,
    /// What a crash under the request can be attributed to: its content, then the parts of its
    /// prompt that others may share, in the order of `head.shared_parts`.
    pub subjects: Vec<Fingerprint>,
    /// Counts the end of the request.
    pub open: Arc<OpenRequest>,
}

/// The value of the `kind` label in metrics for requests of a route.
pub fn kind(route: &Route) -> &'static str {
    match (route.is_stream, route.retry_policy) {
        (true, _) => "stream",
        (false, RetryPolicy::Never) => "once",
        (false, _) => "idempotent",
    }
}

impl Exchange {
    /// The value of the `kind` label in metrics.
    pub fn kind(&self) -> &'static str {
        kind(&self.route)
    }

    /// Whether this seems to be a caller's retry after a refusal: its remaining time is below the
    /// route's time limit by more than `CALLER_RETRY_SHORTFALL`.
    pub fn is_caller_retry(&self) -> bool {
        let full_ms = self.route.timeout_ms as f64;
        let least_ms = full_ms * (1.0 - CALLER_RETRY_SHORTFALL);
        self.head.deadline_ms.is_some_and(|left_ms| (left_ms as f64) < least_ms)
    }

    /// How long to wait while all servers refuse or none is listed. They are usually back within
    /// about a second; by then the latency goal of a plain call has passed, but not its deadline.
    pub fn outage_timeout(&self) -> Duration {
        (self.deadline - self.arrived).mul_f64(OUTAGE_SHARE).min(MAX_OUTAGE_WAIT)
    }

    /// Whether the request is refused at once while its service has an outage. Such a stream would
    /// be late even if it waited. A caller that was refused before waits instead: most callers retry
    /// once.
    pub fn is_refused_in_outage(&self) -> bool {
        self.route.pause_goal_ms > 0 && !self.is_caller_retry()
    }

    /// The refusal during an outage. `draw`, a random number between 0 and 1, spreads the retries.
    pub fn outage_refusal(&self, draw: f64) -> Refusal {
        Refusal::Full { retry_after_ms: self.outage_retry_after_ms(draw) }
    }

    /// When the caller should retry if no server may take the request.
    pub fn outage_retry_after_ms(&self, draw: f64) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        outage::retry_after_ms(left.as_secs_f64() * 1_000.0, draw)
    }

    /// The regions in which the request may be processed.
    pub fn homes(&self) -> Homes<'_> {
        Homes::new(&self.route, self.workspace.as_deref())
    }

    /// The refusal while no server takes a request for another `wait`. `draw`, a random number
    /// between 0 and 1, spreads the retries.
    pub fn held_refusal(&self, wait: Duration, draw: f64) -> Refusal {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let (wait_ms, left_ms) = (wait.as_secs_f64() * 1_000.0, left.as_secs_f64() * 1_000.0);
        Refusal::Held { retry_after_ms: outage::held_retry_after_ms(wait_ms, left_ms, draw) }
    }

    /// The subjects that are parts of the prompt, with their ids.
    pub fn parts(&self) -> impl Iterator<Item = (Fingerprint, &str)> {
        let ids = self.head.shared_parts.iter().map(String::as_str);
        self.subjects.iter().skip(1).copied().zip(ids)
    }

    /// Builds the request to send to `server`, which counts as sent from now on.
    pub fn outgoing(&self, server: &Server, last_event_id: Option<u64>) -> Request<Full<Bytes>> {
        self.open.begin_send(server);
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let head = ForwardHead {
            remaining_ms: remaining.as_millis() as u64,
            server: &server.listed.id,
            workspace: self.workspace.as_ref().map(|workspace| workspace.name.as_str()),
            priority: self.level,
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

/// The fingerprint of a request: its caller, method, host, path, query and body. Headers may differ
/// between resends.
pub fn fingerprint(
    workspace: Option<&Workspace>,
    method: &Method,
    host: &str,
    uri: &Uri,
    body: &[u8],
) -> Fingerprint {
    let caller = WorkspaceKey::from_name(workspace.map_or("", |workspace| &workspace.name));
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    Fingerprint::of(FINGERPRINT_SEED, caller, &format!("{method} {host}{path}"), body)
}

/// The subjects of a request with these shared parts in its prompt, to a service.
pub fn subjects(
    fingerprint: Fingerprint,
    service: &str,
    shared_parts: &[String],
) -> Vec<Fingerprint> {
    let parts = shared_parts.iter().map(|id| Fingerprint::of_prompt_part(service, id));
    std::iter::once(fingerprint).chain(parts).collect()
}

/// The attempts made for a request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Servers to exclude from the next choice.
    pub tried: Vec<Arc<Server>>,
    /// Number of the tried servers that have ended, rest, or took no request after all. They say
    /// nothing about the others.
    pub ended: usize,
    /// Number of sends, including those that a server refused.
    pub sends: u32,
    /// Why the next send is a retry; `None` before the first send.
    pub retry_cause: Option<RetryCause>,
    /// Number of sends after which a server may have run the request.
    pub runs: u32,
    /// A server's error response, returned if no later attempt succeeds.
    pub fallback: Option<Response<AnswerBody>>,
}

impl Attempts {
    /// Whether the request may be sent to another server. Several refusals in a row point to an
    /// outage: within the outage timeout this waits for a pause and then makes all servers eligible
    /// again.
    pub async fn may_send(&mut self, exchange: &Exchange) -> bool {
        if self.tried.len() < MAX_SENDS_IN_ROW + self.ended {
            return true;
        }
        let resend_at = Instant::now() + RESEND_PAUSE;
        let is_over = resend_at - exchange.arrived >= exchange.outage_timeout();
        if is_over || self.runs > 0 {
            return false;
        }
        sleep_until(resend_at).await;
        self.tried.clear();
        self.ended = 0;
        true
    }

    /// How urgently the next retry is needed.
    pub fn urgency(&self) -> Urgency {
        if self.sends > 1 { Urgency::Further } else { Urgency::Second }
    }

    /// Whether the request may run again.
    pub fn can_retry(&self, exchange: &Exchange) -> bool {
        exchange.route.retry_policy != RetryPolicy::Never && self.runs < exchange.route.max_attempts
    }

    /// The result when no further send is possible.
    pub fn into_result(
        self,
        exchange: &Exchange,
        refusal: Option<Refusal>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        if let Some(response) = self.fallback {
            return Ok(response);
        }
        let is_late = Instant::now() >= exchange.deadline;
        Err(match (self.runs > 0, is_late) {
            (false, false) => refusal.unwrap_or_else(|| exchange.outage_refusal(rand::random())),
            (false, true) => Refusal::TooLate,
            (true, false) => Refusal::AnswerLost,
            (true, true) => Refusal::NoAnswerInTime,
        })
    }
}
