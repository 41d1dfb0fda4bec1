//! Forwards one caller's request to a backend server and relays the answer.

use crate::balance::Choice;
use crate::breaker::CircuitBreakers;
use crate::budget::RetryBudget;
use crate::connection::{Connection, SendError};
use crate::exchange::{self, Attempts, Exchange};
use crate::group::{Admission, Fullness, GroupLoad};
use crate::losses::LossRecorder;
use crate::metrics::Metrics;
use crate::permits::PermitSender;
use crate::refusal::Refusal;
use crate::relay::{AnswerBody, Relay, UpstreamBody, full_body};
use crate::selection::Selector;
use crate::server::{InFlight, Server};
use crate::signals::SignalRecorder;
use crate::silence::SilenceDetector;
use crate::suspects::{AloneGuard, Permission, Suspects};
use crate::view::{View, Views};
use bytes::Bytes;
use flamingowheel_fleet::configuration::{RetryPolicy, Route};
use flamingowheel_platform::Stated;
use flamingowheel_platform::headers::{self, AnswerHead, RequestHead};
use flamingowheel_policy::passes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// Deadline of requests whose callers give none, in milliseconds after arrival.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Time between checks whether a suspect request may be sent, and the longest time for which it waits.
const PERMISSION_POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_PERMISSION_WAIT: Duration = Duration::from_millis(800);

/// Time after which the caller may come back if it may not.
const PERMISSION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time between checks for a server that accepts work.
const SERVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Largest answer that is buffered before its head is sent on, in bytes. If such an answer breaks
/// off, it can be replaced by another server's; larger ones are relayed as they arrive.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 256 * 1024;

/// Time limit for receiving a caller's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A request sent to a backend server, with the head of its answer.
#[derive(Debug)]
pub struct SentRequest {
    /// The answer, with its body unread.
    pub response: Response<Incoming>,
    /// Fields parsed from the answer's headers.
    pub answer: AnswerHead,
    /// The connection, reusable after the end of the body.
    pub connection: Connection,
    /// Counts the request as in flight at the server.
    pub in_flight: InFlight,
    /// When the request was sent.
    pub sent_at: Instant,
}

impl SentRequest {
    /// Whether another server has taken over the address, so that the listing is outdated.
    fn is_misdirected(&self) -> bool {
        self.response.status() == StatusCode::MISDIRECTED_REQUEST
    }

    /// Whether the server asks for rest, which says nothing about other servers.
    fn asks_for_rest(&self) -> bool {
        matches!(self.answer.rest, Stated::Value(rest) if !rest.is_zero())
    }
}

/// Why a request that was sent got no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// The server took no request any more when it was to be sent.
    NotAdmitted,
    /// The request was not sent; it did not run.
    NotSent,
    /// The request is suspected of crashing servers, and was not sent. The time after which it may be
    /// at the earliest.
    Suspect(Duration),
    /// The request may have run.
    MayHaveRun,
}

/// State shared by all requests of an entry.
#[derive(Debug)]
pub struct Gateway {
    views: Views,
    budget: Mutex<RetryBudget>,
    breakers: Mutex<CircuitBreakers>,
    /// Chooses backend servers.
    pub selector: Selector,
    signals: SignalRecorder,
    /// Records requests that were lost with a connection.
    pub losses: LossRecorder,
    /// Requests that crash backend servers.
    pub suspects: Arc<Suspects>,
    started_at: Instant,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
}

impl Gateway {
    /// Creates a gateway that routes by the newest of `views`.
    pub fn new(
        views: Views,
        budget: RetryBudget,
        permits: PermitSender,
        suspects: Arc<Suspects>,
        losses: LossRecorder,
        metrics: Arc<Metrics>,
    ) -> Self {
        let selector = Selector::new(Arc::clone(&views), permits.clone());
        Self {
            views,
            budget: Mutex::new(budget),
            breakers: Mutex::default(),
            signals: SignalRecorder::new(permits, Arc::clone(&metrics)),
            losses,
            suspects,
            selector,
            started_at: Instant::now(),
            metrics,
        }
    }

    /// The newest view.
    pub fn view(&self) -> Arc<View> {
        self.views.load_full()
    }

    /// Handles one request of a caller.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let exchange = match self.admit(request, arrived).await {
            Ok(exchange) => exchange,
            Err((refusal, head)) => return self.refuse(refusal, &head, None, arrived),
        };
        let exchange = Arc::new(exchange);
        self.budget().record_request(&exchange.service, arrived);
        self.suspects.wait_until_synced().await;
        match self.serve(&exchange).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(refusal, &exchange.head, Some(&exchange), arrived),
        }
    }

    /// Finds the route, workspace and service of a request, and reads its body.
    async fn admit(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
    ) -> Result<Exchange, (Refusal, RequestHead)> {
        let (parts, body) = request.into_parts();
        let head = headers::parse_request(&parts.headers);
        let view = self.view();
        let Some(configuration) = &view.configuration else {
            let refusal = Refusal::no_configuration(self.started_at.elapsed(), rand::random());
            return Err((refusal, head));
        };
        let host = parts.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
        let host = host.map_or("", |host| host.split(':').next().unwrap_or(host));
        let Some(route) = configuration.route(host, parts.uri.path()) else {
            return Err((Refusal::NoRoute, head));
        };
        let workspace = match &configuration.workspaces {
            Some(workspaces) => head.api_key.as_ref().and_then(|key| workspaces.get(key)),
            None => None,
        };
        let is_open = route.is_public || configuration.workspaces.is_none();
        if workspace.is_none() && !is_open {
            return Err((Refusal::UnknownKey, head));
        }
        let Some(service) = choose_service(route) else {
            return Err((Refusal::NoRoute, head));
        };
        let max_body_bytes = configuration.limits.max_body_bytes;
        let body = match read_body(body, max_body_bytes).await {
            Ok(body) => body,
            Err(refusal) => return Err((refusal, head)),
        };
        let fingerprint = exchange::fingerprint(
            workspace.map(Arc::as_ref),
            &parts.method,
            host,
            &parts.uri,
            &body,
        );
        let wait_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let wait_ms = if route.timeout_ms > 0 { wait_ms.min(route.timeout_ms) } else { wait_ms };
        Ok(Exchange {
            arrived,
            deadline: arrived + Duration::from_millis(wait_ms),
            version: configuration.version,
            route: Arc::clone(route),
            service,
            workspace: workspace.cloned(),
            head,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            fingerprint,
        })
    }

    async fn serve(
        self: &Arc<Self>,
        exchange: &Arc<Exchange>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut attempts = Attempts::default();
        while attempts.may_send(exchange).await {
            if let Some(wait) = self.suspects.refusal(exchange.fingerprint) {
                return attempts.into_result(exchange, Some(Refusal::suspect(wait)));
            }
            let (server, group) = match self.next_server(exchange, &attempts.tried).await {
                Ok(chosen) => chosen,
                Err(refusal) => return attempts.into_result(exchange, Some(refusal)),
            };
            if attempts.sends > 0 && !self.try_acquire_retry(exchange, Instant::now()) {
                break;
            }
            attempts.sends += 1;
            attempts.tried.push(Arc::clone(&server));
            let sending = self.send(exchange, &server, group.as_ref(), exchange.head.last_event_id);
            match sending.await {
                Ok(sent) if sent.answer.is_not_run => {
                    let is_alone = sent.is_misdirected() || sent.asks_for_rest();
                    attempts.ended += usize::from(is_alone);
                    self.record_not_run(exchange, &sent);
                    continue;
                }
                Ok(sent) => {
                    self.breakers().record_answer(&exchange.service);
                    attempts.runs += 1;
                    let finished =
                        self.forward_answer(exchange, sent, &attempts.tried, attempts.runs).await;
                    let can_retry = attempts.can_retry(exchange);
                    match finished {
                        Ok(response) if response.status().is_server_error() && can_retry => {
                            attempts.fallback = Some(response);
                        }
                        Ok(response) => return Ok(response),
                        Err(refusal) if refusal == Refusal::NoAnswerInTime || !can_retry => {
                            return Err(refusal);
                        }
                        Err(_) => {}
                    }
                }
                Err(SendFailure::NotAdmitted) => attempts.ended += 1,
                Err(SendFailure::Suspect(wait)) => {
                    return attempts.into_result(exchange, Some(Refusal::suspect(wait)));
                }
                Err(SendFailure::NotSent) => self.breakers().record_refusal(&exchange.service),
                Err(SendFailure::MayHaveRun) => {
                    attempts.runs += 1;
                    if !attempts.can_retry(exchange) {
                        break;
                    }
                }
            }
        }
        attempts.into_result(exchange, None)
    }

    /// Chooses the server for the next send, waiting up to the outage timeout for one.
    async fn next_server(
        &self,
        exchange: &Exchange,
        tried: &[Arc<Server>],
    ) -> Result<(Arc<Server>, Option<Arc<GroupLoad>>), Refusal> {
        let draw = rand::random();
        let admission = admission(exchange, draw);
        loop {
            let now = Instant::now();
            if now >= exchange.deadline {
                return Err(Refusal::TooLate);
            }
            let admission = admission.as_ref();
            match self.selector.choose(exchange, tried, admission).await {
                Choice::Held(wait) => return Err(exchange.held_refusal(wait, draw)),
                Choice::Busy(fullness) => {
                    let Fullness { crowding, own_requests, limit, pass_ms } = fullness;
                    let retry_after_ms = passes::retry_after_ms(crowding, pass_ms, draw);
                    tracing::info!(
                        request = exchange.head.attempt_id,
                        crowding,
                        own = own_requests,
                        bound = limit,
                        pass_ms,
                        retry_after_ms,
                        "every group is full"
                    );
                    return Err(Refusal::Busy { retry_after_ms });
                }
                Choice::Send(server, group) => {
                    if self.breakers().try_acquire(&exchange.service, now) {
                        return Ok((server, group));
                    }
                }
                Choice::NoServer if tried.is_empty() => {}
                Choice::NoServer => return Err(exchange.outage_refusal(draw)),
            }
            let is_over = now - exchange.arrived >= exchange.outage_timeout();
            if is_over || exchange.is_refused_in_outage() {
                return Err(exchange.outage_refusal(draw));
            }
            sleep_until(exchange.deadline.min(now + SERVER_POLL_INTERVAL)).await;
        }
    }

    /// A silence detector for a server.
    pub fn silence_detector(
        &self,
        server: Arc<Server>,
        group: Option<Arc<GroupLoad>>,
    ) -> SilenceDetector {
        SilenceDetector::new(Arc::clone(&self.views), server, group)
    }

    /// Takes a retry out of the budget; `false` if the budget is used up.
    pub fn try_acquire_retry(&self, exchange: &Exchange, now: Instant) -> bool {
        let entries = self.view().entry_count();
        self.budget().try_acquire(&exchange.service, entries, now)
    }

    /// Sends the request to a server and waits for the head of the answer.
    pub async fn send(
        &self,
        exchange: &Exchange,
        server: &Arc<Server>,
        group: Option<&Arc<GroupLoad>>,
        last_event_id: Option<u64>,
    ) -> Result<SentRequest, SendFailure> {
        let alone = self.permission(exchange).await.map_err(SendFailure::Suspect)?;
        let Some(mut in_flight) = server.begin(group) else {
            return Err(SendFailure::NotAdmitted);
        };
        in_flight.set_alone(alone);
        let sent_at = Instant::now();
        let sending = self.send_on_connection(exchange, server, last_event_id);
        let can_resume = exchange.route.retry_policy == RetryPolicy::Resume;
        let detector = self.silence_detector(Arc::clone(server), group.cloned());
        let result = tokio::select! {
            result = timeout_at(exchange.deadline, sending) => {
                result.unwrap_or(Err(SendFailure::MayHaveRun))
            }
            () = detector.head_overdue(sent_at), if can_resume => Err(SendFailure::MayHaveRun),
        };
        match result {
            Ok((response, connection)) => {
                in_flight.record_first_byte(Instant::now());
                let id = &exchange.head.attempt_id;
                let answer = headers::parse_answer(response.headers(), response.status(), id);
                if !answer.is_for_attempt {
                    // A second answer to an earlier request; later answers on this connection can't
                    // be matched to requests either.
                    tracing::warn!(
                        request = id,
                        server = server.listed.id,
                        "answer belongs to another request"
                    );
                    self.metrics.record_send(exchange.kind(), "foreign_answer");
                    return Err(SendFailure::MayHaveRun);
                }
                if server.refute_end() {
                    self.suspects.record_alive(server.key);
                }
                let sent = SentRequest { response, answer, connection, in_flight, sent_at };
                // Every answer passes here, whatever its status and whichever attempt it ends.
                if !sent.is_misdirected() {
                    self.signals.record(id, server, &sent.answer, sent_at);
                }
                Ok(sent)
            }
            Err(failure) => {
                let result = match failure {
                    SendFailure::NotAdmitted | SendFailure::NotSent | SendFailure::Suspect(_) => {
                        "not_sent"
                    }
                    SendFailure::MayHaveRun => "lost",
                };
                self.metrics.record_send(exchange.kind(), result);
                tracing::info!(
                    request = exchange.head.attempt_id,
                    server = server.listed.id,
                    result,
                    after_ms = sent_at.elapsed().as_millis() as u64,
                    "no answer from backend server"
                );
                server.record_unreachable(Instant::now());
                Err(failure)
            }
        }
    }

    /// Asks whether the request may be sent. Waits for its turn, and while a copy of it runs alone.
    async fn permission(&self, exchange: &Exchange) -> Result<Option<AloneGuard>, Duration> {
        let wait_until = exchange.deadline.min(Instant::now() + MAX_PERMISSION_WAIT);
        loop {
            match self.suspects.admit(exchange.fingerprint) {
                Permission::Granted => return Ok(None),
                Permission::Alone(guard) => return Ok(Some(guard)),
                Permission::Refused(wait) => return Err(wait),
                Permission::Wait if Instant::now() >= wait_until => {
                    return Err(PERMISSION_RETRY_AFTER);
                }
                Permission::Wait => sleep(PERMISSION_POLL_INTERVAL).await,
            }
        }
    }

    async fn send_on_connection(
        &self,
        exchange: &Exchange,
        server: &Arc<Server>,
        last_event_id: Option<u64>,
    ) -> Result<(Response<Incoming>, Connection), SendFailure> {
        // Non-idempotent requests always get a new connection: on a reused one, the server closing
        // it or a late second answer would leave the outcome unknown.
        let may_reuse = exchange.route.retry_policy != RetryPolicy::Never;
        let idle = may_reuse.then(|| server.take_idle(Instant::now())).flatten();
        if let Some(mut connection) = idle {
            match connection.send(exchange.outgoing(server, last_event_id)).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendError::NeverSent) => {}
                Err(SendError::Lost(error)) => {
                    self.losses.record(exchange, server, &error).await;
                    return Err(SendFailure::MayHaveRun);
                }
            }
        }
        let mut connection = Connection::open(server.listed.address).await.map_err(|error| {
            tracing::debug!(server = server.listed.id, %error, "can't connect to backend server");
            SendFailure::NotSent
        })?;
        match connection.send(exchange.outgoing(server, last_event_id)).await {
            Ok(response) => Ok((response, connection)),
            Err(SendError::NeverSent) => Err(SendFailure::NotSent),
            Err(SendError::Lost(error)) => {
                self.losses.record(exchange, server, &error).await;
                Err(SendFailure::MayHaveRun)
            }
        }
    }

    fn record_not_run(&self, exchange: &Exchange, sent: &SentRequest) {
        self.metrics.record_send(exchange.kind(), "not_run");
        let server = sent.in_flight.server();
        tracing::info!(
            request = exchange.head.attempt_id,
            server = server.listed.id,
            status = sent.response.status().as_u16(),
            "backend server refused"
        );
        if sent.is_misdirected() {
            server.record_gone(Instant::now());
            return;
        }
        server.record_answer(sent.sent_at.elapsed(), true);
        // The breaker holds back all requests of the service; a server that rests is passed over.
        if !sent.asks_for_rest() {
            self.breakers().record_refusal(&exchange.service);
        }
    }

    /// Relays an answer: streams as they arrive, others once they are complete.
    async fn forward_answer(
        self: &Arc<Self>,
        exchange: &Arc<Exchange>,
        sent: SentRequest,
        tried: &[Arc<Server>],
        runs: u32,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let SentRequest { response, connection, in_flight, sent_at, .. } = sent;
        let status = response.status();
        let is_success = status.is_success();
        let (mut parts, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        if exchange.route.is_stream && is_success {
            parts.headers.remove(http::header::CONTENT_LENGTH);
            let upstream = UpstreamBody { body, connection, in_flight };
            let (gateway, exchange) = (Arc::clone(self), Arc::clone(exchange));
            let relay = Relay::new(gateway, exchange, upstream, tried.to_vec(), runs);
            return Ok(Response::from_parts(parts, relay.into_body()));
        }
        let server = Arc::clone(in_flight.server());
        let collecting = collect(body);
        let collected = match timeout_at(exchange.deadline, collecting).await {
            Ok(collected) => collected,
            Err(_) => return Err(Refusal::NoAnswerInTime),
        };
        let Some(bytes) = collected else {
            self.losses.record(exchange, &server, &"answer broken off").await;
            self.metrics.record_send(exchange.kind(), "broken");
            server.record_answer(sent_at.elapsed(), true);
            return Err(Refusal::AnswerLost);
        };
        server.record_answer(sent_at.elapsed(), status.is_server_error());
        self.suspects.record_finished(exchange.fingerprint);
        keep_connection(connection, server);
        self.metrics.record_send(exchange.kind(), if is_success { "answered" } else { "failed" });
        self.record_answered(exchange, in_flight.server(), status, runs);
        Ok(Response::from_parts(parts, full_body(bytes)))
    }

    fn record_answered(&self, exchange: &Exchange, server: &Server, status: StatusCode, runs: u32) {
        let after = exchange.arrived.elapsed();
        self.metrics.observe_answer_time(exchange.kind(), after);
        self.metrics.record_request(exchange.kind(), "answered");
        tracing::info!(
            request = exchange.head.attempt_id,
            route = exchange.route.name,
            version = exchange.version,
            server = server.listed.id,
            status = status.as_u16(),
            after_ms = after.as_millis() as u64,
            runs,
            "answered"
        );
    }

    fn refuse(
        &self,
        refusal: Refusal,
        head: &RequestHead,
        exchange: Option<&Exchange>,
        arrived: Instant,
    ) -> Response<AnswerBody> {
        let kind = exchange.map_or("unknown", Exchange::kind);
        self.metrics.record_request(kind, refusal.name());
        tracing::info!(
            request = head.attempt_id,
            version = self.view().version(),
            reason = refusal.name(),
            fingerprint = exchange.map(|exchange| tracing::field::display(exchange.fingerprint)),
            after_ms = arrived.elapsed().as_millis() as u64,
            "refused"
        );
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = refusal.status();
        if let Some(wait_ms) = refusal.retry_after_ms() {
            headers::set_retry_after(response.headers_mut(), wait_ms);
        }
        response
    }

    fn breakers(&self) -> std::sync::MutexGuard<'_, CircuitBreakers> {
        self.breakers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns a connection to the server's pool once it has finished the last exchange.
pub fn keep_connection(mut connection: Connection, server: Arc<Server>) {
    if connection.is_usable() {
        server.put_idle(connection, Instant::now());
        return;
    }
    tokio::spawn(async move {
        if connection.wait_until_ready().await {
            server.put_idle(connection, Instant::now());
        }
    });
}

/// The request's conditions for admission to a rank group; `None` for routes without a goal for
/// pauses.
fn admission(exchange: &Exchange, draw: f64) -> Option<Admission> {
    let pause_goal_ms = exchange.route.pause_goal_ms as f64;
    let is_caller_retry = exchange.is_caller_retry();
    let pass_limit_ms = passes::limit_ms(pause_goal_ms, is_caller_retry, draw);
    // A caller's retry has priority over a first attempt.
    let draw = if is_caller_retry { 1.0 } else { draw };
    (pause_goal_ms > 0.0).then_some(Admission { pass_limit_ms, pause_goal_ms, draw })
}

fn choose_service(route: &Route) -> Option<String> {
    let total: u32 = route.splits.iter().map(|split| split.weight).sum();
    if total == 0 {
        return route.splits.first().map(|split| split.service.clone());
    }
    let mut drawn = rand::random_range(0..total);
    for split in &route.splits {
        if drawn < split.weight {
            return Some(split.service.clone());
        }
        drawn -= split.weight;
    }
    None
}

async fn read_body(body: Incoming, max_body_bytes: usize) -> Result<Bytes, Refusal> {
    let reading = Limited::new(body, max_body_bytes).collect();
    match tokio::time::timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyLost),
    }
}

async fn collect(body: Incoming) -> Option<Bytes> {
    let limited = Limited::new(body, MAX_BUFFERED_ANSWER_BYTES as usize);
    limited.collect().await.ok().map(http_body_util::Collected::to_bytes)
}
