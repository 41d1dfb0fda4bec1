//! Takes one request from a caller to a backend server and its answer back.

use crate::balance::{self, Choice};
use crate::budget::RetryBudget;
use crate::connection::{Connection, SendError};
use crate::exchange::{Course, Exchange};
use crate::gate::Gates;
use crate::group::{Admission, Fullness, GroupLoad};
use crate::metrics::Metrics;
use crate::refusal::Refusal;
use crate::relay::{AnswerBody, Relay, Source, whole};
use crate::server::{InFlight, Server};
use crate::silence::Watcher;
use crate::view::{View, Views};
use bytes::Bytes;
use flamingowheel_fleet::configuration::{RetryPolicy, Route};
use flamingowheel_platform::headers::{self, AnswerHead, RequestHead};
use flamingowheel_policy::passes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Time that a caller waits if it does not say so, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Time between looks for a server that takes work.
const WAIT_STEP: Duration = Duration::from_millis(20);

/// Largest answer that is collected before its head is passed on, in bytes. A broken answer of
/// this size can be replaced by that of another server; larger ones are passed on as they come.
const MAX_WHOLE_ANSWER_BYTES: u64 = 256 * 1024;

/// How long a caller may take to send a body.
const BODY_LIMIT: Duration = Duration::from_secs(10);

/// One send to a backend server.
#[derive(Debug)]
pub struct Sent {
    /// The head and body of the answer.
    pub response: Response<Incoming>,
    /// What the head says.
    pub answer: AnswerHead,
    /// The connection, to be used again after the body's end.
    pub connection: Connection,
    /// Counts the request at the server.
    pub in_flight: InFlight,
    /// When it was sent.
    pub sent_at: Instant,
}

/// Why a send got no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// Nothing reached the server.
    NotSent,
    /// The request may have run.
    MayHaveRun,
}

/// What all requests of an entry share.
#[derive(Debug)]
pub struct Gateway {
    views: Views,
    budget: Mutex<RetryBudget>,
    gates: Mutex<Gates>,
    started_at: Instant,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
}

impl Gateway {
    /// A gateway that reads `views`.
    pub fn new(views: Views, budget: RetryBudget, metrics: Arc<Metrics>) -> Self {
        Self {
            views,
            budget: Mutex::new(budget),
            gates: Mutex::default(),
            started_at: Instant::now(),
            metrics,
        }
    }

    /// The newest view.
    pub fn view(&self) -> Arc<View> {
        self.views.load_full()
    }

    /// Answers a caller's request.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let exchange = match self.admit(request, arrived).await {
            Ok(exchange) => exchange,
            Err((refusal, head)) => return self.refuse(refusal, &head, "unknown", arrived),
        };
        let exchange = Arc::new(exchange);
        self.budget().note_request(&exchange.service, arrived);
        match self.serve(&exchange).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(refusal, &exchange.head, exchange.kind(), arrived),
        }
    }

    /// Finds route, workspace and service, and reads the body.
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
        let wait_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let wait_ms = if route.timeout_ms > 0 { wait_ms.min(route.timeout_ms) } else { wait_ms };
        Ok(Exchange {
            arrived,
            deadline: arrived + Duration::from_millis(wait_ms),
            route: Arc::clone(route),
            service,
            workspace: workspace.cloned(),
            head,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
        })
    }

    async fn serve(
        self: &Arc<Self>,
        exchange: &Arc<Exchange>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut course = Course::default();
        while course.may_offer(exchange).await {
            let (server, group) = match self.next_server(exchange, &course.tried).await {
                Ok(chosen) => chosen,
                Err(refusal) => return course.end(exchange, Some(refusal)),
            };
            if course.offers > 0 && !self.may_repeat(exchange, Instant::now()) {
                break;
            }
            course.offers += 1;
            course.tried.push(Arc::clone(&server));
            let sending = self.send(exchange, &server, group.as_ref(), exchange.head.last_event_id);
            match sending.await {
                Ok(sent) if sent.answer.is_not_run => {
                    self.note_not_run(exchange, &sent);
                    continue;
                }
                Ok(sent) => {
                    self.gates().note_answer(&exchange.service);
                    course.runs += 1;
                    let finished = self.finish(exchange, sent, &course.tried, course.runs).await;
                    let can_repeat = course.can_repeat(exchange);
                    match finished {
                        Ok(response) if response.status().is_server_error() && can_repeat => {
                            course.fallback = Some(response);
                        }
                        Ok(response) => return Ok(response),
                        Err(refusal) if refusal == Refusal::NoAnswerInTime || !can_repeat => {
                            return Err(refusal);
                        }
                        Err(_) => {}
                    }
                }
                Err(SendFailure::NotSent) => self.gates().note_refusal(&exchange.service),
                Err(SendFailure::MayHaveRun) => {
                    course.runs += 1;
                    if !course.can_repeat(exchange) {
                        break;
                    }
                }
            }
        }
        course.end(exchange, None)
    }

    /// The server for the next send, waited for while it pays to.
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
            match balance::choose(&self.view(), &exchange.service, tried, admission, now) {
                Choice::Busy(fullness) => {
                    let Fullness { crowding, own, bound, pass_ms } = fullness;
                    let retry_after_ms = passes::retry_after_ms(crowding, pass_ms, draw);
                    tracing::info!(
                        request = exchange.head.attempt_id,
                        crowding,
                        own,
                        bound,
                        pass_ms,
                        retry_after_ms,
                        "every group is full"
                    );
                    return Err(Refusal::Busy { retry_after_ms });
                }
                Choice::Send(server, group) => {
                    if self.gates().try_pass(&exchange.service, now) {
                        return Ok((server, group));
                    }
                }
                Choice::Nobody if tried.is_empty() => {}
                Choice::Nobody => return Err(Refusal::Full),
            }
            if now - exchange.arrived >= exchange.outage_patience() {
                return Err(Refusal::Full);
            }
            sleep_until(exchange.deadline.min(now + WAIT_STEP)).await;
        }
    }

    /// A watcher of a server.
    pub fn watcher(&self, server: Arc<Server>, group: Option<Arc<GroupLoad>>) -> Watcher {
        Watcher::new(Arc::clone(&self.views), server, group)
    }

    /// Takes a repeated send out of the budget.
    pub fn may_repeat(&self, exchange: &Exchange, now: Instant) -> bool {
        let entries = self.view().entry_count();
        self.budget().try_take(&exchange.service, entries, now)
    }

    /// Sends the request to a server and waits for the head of the answer.
    pub async fn send(
        &self,
        exchange: &Exchange,
        server: &Arc<Server>,
        group: Option<&Arc<GroupLoad>>,
        last_event_id: Option<u64>,
    ) -> Result<Sent, SendFailure> {
        let mut in_flight = server.begin(group);
        let sent_at = Instant::now();
        let sending = self.send_on_connection(exchange, server, last_event_id);
        let can_resume = exchange.route.retry_policy == RetryPolicy::Resume;
        let watcher = self.watcher(Arc::clone(server), group.cloned());
        let result = tokio::select! {
            result = timeout_at(exchange.deadline, sending) => {
                result.unwrap_or(Err(SendFailure::MayHaveRun))
            }
            () = watcher.no_head(sent_at), if can_resume => Err(SendFailure::MayHaveRun),
        };
        match result {
            Ok((response, connection)) => {
                in_flight.note_answered(Instant::now());
                let id = &exchange.head.attempt_id;
                let answer = headers::parse_answer(response.headers(), response.status(), id);
                if !answer.is_for_attempt {
                    // An earlier request's second answer; whatever follows on this connection
                    // can't be told apart.
                    tracing::warn!(
                        request = id,
                        server = server.listed.id,
                        "answer of another request"
                    );
                    self.metrics.try_ended(exchange.kind(), "foreign_answer");
                    return Err(SendFailure::MayHaveRun);
                }
                Ok(Sent { response, answer, connection, in_flight, sent_at })
            }
            Err(failure) => {
                let result = match failure {
                    SendFailure::NotSent => "not_sent",
                    SendFailure::MayHaveRun => "lost",
                };
                self.metrics.try_ended(exchange.kind(), result);
                tracing::info!(
                    request = exchange.head.attempt_id,
                    server = server.listed.id,
                    result,
                    after_ms = sent_at.elapsed().as_millis() as u64,
                    "no answer from backend server"
                );
                server.note_unreached(Instant::now());
                Err(failure)
            }
        }
    }

    async fn send_on_connection(
        &self,
        exchange: &Exchange,
        server: &Arc<Server>,
        last_event_id: Option<u64>,
    ) -> Result<(Response<Incoming>, Connection), SendFailure> {
        // What may run once only goes out on a new connection: on a used one, the server's closing
        // or a late second answer would leave its outcome unknown.
        let may_reuse = exchange.route.retry_policy != RetryPolicy::Never;
        let idle = may_reuse.then(|| server.take_idle(Instant::now())).flatten();
        if let Some(mut connection) = idle {
            match connection.send(exchange.outgoing(server, last_event_id)).await {
                Ok(response) => return Ok((response, connection)),
                Err(SendError::NeverSent) => {}
                Err(SendError::Lost(_)) => return Err(SendFailure::MayHaveRun),
            }
        }
        let mut connection = Connection::open(server.listed.address).await.map_err(|error| {
            tracing::debug!(server = server.listed.id, %error, "no connection");
            SendFailure::NotSent
        })?;
        match connection.send(exchange.outgoing(server, last_event_id)).await {
            Ok(response) => Ok((response, connection)),
            Err(SendError::NeverSent) => Err(SendFailure::NotSent),
            Err(SendError::Lost(_)) => Err(SendFailure::MayHaveRun),
        }
    }

    fn note_not_run(&self, exchange: &Exchange, sent: &Sent) {
        self.metrics.try_ended(exchange.kind(), "not_run");
        let server = sent.in_flight.server();
        tracing::info!(
            request = exchange.head.attempt_id,
            server = server.listed.id,
            status = sent.response.status().as_u16(),
            "backend server refused"
        );
        if sent.response.status() == StatusCode::MISDIRECTED_REQUEST {
            // Another server has the address; the listing is behind.
            server.note_gone(Instant::now());
        } else {
            server.note_answer(sent.sent_at.elapsed(), true);
        }
        self.gates().note_refusal(&exchange.service);
    }

    /// Passes an answer on: streams as they come, others once they are whole.
    async fn finish(
        self: &Arc<Self>,
        exchange: &Arc<Exchange>,
        sent: Sent,
        tried: &[Arc<Server>],
        runs: u32,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let Sent { response, connection, in_flight, sent_at, .. } = sent;
        let status = response.status();
        let is_success = status.is_success();
        let (mut parts, body) = response.into_parts();
        headers::strip_hop_by_hop(&mut parts.headers);
        if exchange.route.is_stream && is_success {
            parts.headers.remove(http::header::CONTENT_LENGTH);
            let source = Source { body, connection, in_flight };
            let (gateway, exchange) = (Arc::clone(self), Arc::clone(exchange));
            let relay = Relay::new(gateway, exchange, source, tried.to_vec(), runs);
            return Ok(Response::from_parts(parts, relay.into_body()));
        }
        let collecting = collect(body);
        let collected = match timeout_at(exchange.deadline, collecting).await {
            Ok(collected) => collected,
            Err(_) => return Err(Refusal::NoAnswerInTime),
        };
        let server = Arc::clone(in_flight.server());
        let Some(bytes) = collected else {
            self.metrics.try_ended(exchange.kind(), "broken");
            server.note_answer(sent_at.elapsed(), true);
            return Err(Refusal::AnswerLost);
        };
        server.note_answer(sent_at.elapsed(), status.is_server_error());
        keep_connection(connection, server);
        self.metrics.try_ended(exchange.kind(), if is_success { "answered" } else { "failed" });
        self.note_end(exchange, in_flight.server(), status, runs);
        Ok(Response::from_parts(parts, whole(bytes)))
    }

    fn note_end(&self, exchange: &Exchange, server: &Server, status: StatusCode, runs: u32) {
        let after = exchange.arrived.elapsed();
        self.metrics.answered(exchange.kind(), after);
        self.metrics.request_ended(exchange.kind(), "answered");
        tracing::info!(
            request = exchange.head.attempt_id,
            route = exchange.route.name,
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
        kind: &'static str,
        arrived: Instant,
    ) -> Response<AnswerBody> {
        self.metrics.request_ended(kind, refusal.name());
        tracing::info!(
            request = head.attempt_id,
            reason = refusal.name(),
            after_ms = arrived.elapsed().as_millis() as u64,
            "refused"
        );
        let mut response = Response::new(whole(Bytes::new()));
        *response.status_mut() = refusal.status();
        if let Some(wait_ms) = refusal.retry_after_ms() {
            headers::set_retry_after(response.headers_mut(), wait_ms);
        }
        response
    }

    fn gates(&self) -> std::sync::MutexGuard<'_, Gates> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Puts a connection back once it has finished with the last exchange.
pub fn keep_connection(mut connection: Connection, server: Arc<Server>) {
    if connection.is_usable() {
        server.put_idle(connection, Instant::now());
        return;
    }
    tokio::spawn(async move {
        if connection.settle().await {
            server.put_idle(connection, Instant::now());
        }
    });
}

/// What the request asks of a rank group; `None` for routes without a goal for pauses.
fn admission(exchange: &Exchange, draw: f64) -> Option<Admission> {
    let pause_goal_ms = exchange.route.pause_goal_ms as f64;
    let has_returned = exchange.has_returned();
    let pass_limit_ms = passes::limit_ms(pause_goal_ms, has_returned, draw);
    // Who was told to come back goes before who comes for the first time.
    let draw = if has_returned { 1.0 } else { draw };
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
    match tokio::time::timeout(BODY_LIMIT, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyLost),
    }
}

async fn collect(body: Incoming) -> Option<Bytes> {
    let limited = Limited::new(body, MAX_WHOLE_ANSWER_BYTES as usize);
    limited.collect().await.ok().map(http_body_util::Collected::to_bytes)
}
