//! Sends a request to one backend server and waits for the head of its answer.

use super::Gateway;
use crate::connection::{Connection, SendError};
use crate::exchange::Exchange;
use crate::group::GroupLoad;
use crate::losses::{Loss, Progress};
use crate::refusal::Refusal;
use crate::server::{InFlight, Server};
use crate::suspects::{Permission, Trial};
use flamingowheel_fleet::configuration::RetryPolicy;
use flamingowheel_platform::Stated;
use flamingowheel_platform::headers::{self, AnswerHead};
use http::{Response, StatusCode};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Time between checks whether a suspect request may be sent, and the longest time for which it waits:
/// longer if parts of its prompt may be at fault, as others with one of them go first.
const PERMISSION_POLL_INTERVAL: Duration = Duration::from_millis(10);
const MAX_PERMISSION_WAIT: Duration = Duration::from_millis(800);
const MAX_PERMISSION_WAIT_WITH_PARTS: Duration = Duration::from_millis(1_600);

/// Time after which the caller may come back if it may not.
const PERMISSION_RETRY_AFTER: Duration = Duration::from_millis(500);

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

/// A request that may be sent to a server.
#[derive(Debug)]
pub(super) struct BegunSend {
    /// Counts the request as in flight at the server.
    pub in_flight: InFlight,
    /// When sending began.
    pub sent_at: Instant,
}

impl SentRequest {
    /// Whether another server has taken over the address, so that the listing is outdated.
    pub(super) fn is_misdirected(&self) -> bool {
        self.response.status() == StatusCode::MISDIRECTED_REQUEST
    }

    /// Whether the server asks for rest, which says nothing about other servers.
    pub(super) fn asks_for_rest(&self) -> bool {
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
    /// The request may crash servers, and was not sent.
    Suspect(Refusal),
    /// The request may have run.
    MayHaveRun,
}

impl Gateway {
    /// Waits until the request may be sent to a server, and counts it as in flight there.
    pub(super) async fn begin_send(
        &self,
        exchange: &Exchange,
        server: &Arc<Server>,
        group: Option<&Arc<GroupLoad>>,
    ) -> Result<BegunSend, SendFailure> {
        let trial = self.permission(exchange, server).await.map_err(SendFailure::Suspect)?;
        let Some(mut in_flight) = server.begin(group) else {
            return Err(SendFailure::NotAdmitted);
        };
        in_flight.set_trial(trial);
        Ok(BegunSend { in_flight, sent_at: Instant::now() })
    }

    /// Sends the request and waits for the head of the answer.
    pub(super) async fn finish_send(
        &self,
        exchange: &Exchange,
        begun: BegunSend,
        last_event_id: Option<u64>,
    ) -> Result<SentRequest, SendFailure> {
        let BegunSend { mut in_flight, sent_at } = begun;
        let server = &Arc::clone(in_flight.server());
        let sending = self.send_on_connection(exchange, server, last_event_id);
        let result = timeout_at(exchange.deadline, sending).await;
        match result.unwrap_or(Err(SendFailure::MayHaveRun)) {
            Ok((response, connection)) => {
                in_flight.record_first_byte(Instant::now());
                let id = &exchange.head.attempt_id;
                let answer = headers::parse_answer(response.headers(), response.status(), id);
                if !is_proven(&answer, response.status(), connection.is_reused()) {
                    // Later answers on this connection can't be matched to requests either.
                    tracing::warn!(
                        request = id,
                        server = server.listed.id,
                        "answer belongs to another request"
                    );
                    self.metrics.record_send(exchange.kind(), "foreign_answer");
                    return Err(SendFailure::MayHaveRun);
                }
                let sent = SentRequest { response, answer, connection, in_flight, sent_at };
                // Every answer passes here, whatever its status and whichever attempt it ends.
                if !sent.is_misdirected() {
                    self.signals.record(id, server, &sent.answer, sent_at);
                    server.record_idle_limit(&sent.answer.idle_limit);
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
                self.record_no_answer(exchange, server, result, sent_at);
                server.record_unreachable(Instant::now());
                Err(failure)
            }
        }
    }

    /// Records that a server was sent a request, or was to be, and no answer is waited for any more.
    pub(super) fn record_no_answer(
        &self,
        exchange: &Exchange,
        server: &Server,
        result: &'static str,
        sent_at: Instant,
    ) {
        self.metrics.record_send(exchange.kind(), result);
        tracing::info!(
            request = exchange.head.attempt_id,
            server = server.listed.id,
            result,
            after_ms = sent_at.elapsed().as_millis() as u64,
            "no answer from backend server"
        );
    }

    /// Asks whether the request may be sent. Waits for its turn, and while a suspect of it runs.
    async fn permission(
        &self,
        exchange: &Exchange,
        server: &Server,
    ) -> Result<Option<Trial>, Refusal> {
        let has_parts = exchange.parts().next().is_some();
        let max_wait = if has_parts { MAX_PERMISSION_WAIT_WITH_PARTS } else { MAX_PERMISSION_WAIT };
        let wait_until = exchange.deadline.min(Instant::now() + max_wait);
        loop {
            match self.suspects.admit(&exchange.subjects, server.key) {
                Permission::Granted => return Ok(None),
                Permission::Refused(suspicion) => {
                    return Err(self.refuse_suspect(exchange, suspicion));
                }
                Permission::Trial(trial) => {
                    // Another trial may have ended with a crash meanwhile.
                    if trial.confirm().await && self.suspects.refusal(&exchange.subjects).is_none()
                    {
                        log_trial(exchange, server, &trial);
                        return Ok(Some(trial));
                    }
                }
                Permission::Wait if Instant::now() >= wait_until => {
                    return Err(Refusal::suspect(PERMISSION_RETRY_AFTER));
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
                Ok(response) => {
                    self.metrics.record_connection(exchange.kind(), "reused");
                    return Ok((response, connection));
                }
                Err(SendError::NeverSent) => {
                    self.metrics.record_connection(exchange.kind(), "closed_before");
                }
                Err(error) => {
                    self.metrics.record_connection(exchange.kind(), "reused_lost");
                    self.record_unanswered(exchange, server, &error).await;
                    return Err(SendFailure::MayHaveRun);
                }
            }
        }
        self.metrics.record_connection(exchange.kind(), "new");
        let mut connection = Connection::open(server.listed.address).await.map_err(|error| {
            tracing::debug!(server = server.listed.id, %error, "can't connect to backend server");
            SendFailure::NotSent
        })?;
        match connection.send(exchange.outgoing(server, last_event_id)).await {
            Ok(response) => Ok((response, connection)),
            Err(SendError::NeverSent) => Err(SendFailure::NotSent),
            Err(error) => {
                self.record_unanswered(exchange, server, &error).await;
                Err(SendFailure::MayHaveRun)
            }
        }
    }

    async fn record_unanswered(
        &self,
        exchange: &Exchange,
        server: &Arc<Server>,
        error: &SendError,
    ) {
        let loss = Loss::new(exchange, server, Progress::Sent, error.to_string());
        self.losses.record(loss).await;
    }

    pub(super) fn record_not_run(&self, exchange: &Exchange, sent: &SentRequest) {
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
}

/// Whether an answer belongs to the attempt that was sent. Servers name it in their answers and sign
/// them; bytes without that may follow an earlier answer, or be no answer of the server at all.
fn is_proven(answer: &AnswerHead, status: StatusCode, is_reused: bool) -> bool {
    let is_named = answer.names_attempt || !(is_reused || status.is_success());
    let is_signed = answer.is_signed || !status.is_success();
    is_named && is_signed && !answer.is_foreign
}

fn log_trial(exchange: &Exchange, server: &Server, trial: &Trial) {
    let suspects: Vec<String> = trial.suspects().iter().map(ToString::to_string).collect();
    tracing::info!(
        request = exchange.head.attempt_id,
        server = server.listed.id,
        suspects = suspects.join(","),
        "sent as a trial of suspects"
    );
}
