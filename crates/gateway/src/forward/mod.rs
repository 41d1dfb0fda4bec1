//! Forwards one caller's request to a backend server and relays the answer.

mod answer;
mod hedge;
mod intake;
mod plain;
mod send;

use answer::WholeAnswer;
pub use answer::keep_connection;
pub use hedge::{Awaited, Hedge, Raced, Silence};
pub use send::{SendFailure, SentRequest};

use crate::balance::Choice;
use crate::breaker::CircuitBreakers;
use crate::budget::{Decision, RetryBudget, RetryCause, RetryPermit};
use crate::exchange::{Attempts, Exchange};
use crate::front::Stop;
use crate::group::{Fullness, GroupLoad};
use crate::held::Held;
use crate::losses::LossRecorder;
use crate::metrics::Metrics;
use crate::open::{OpenRequest, OpenRequests};
use crate::permits::PermitSender;
use crate::priority::{Turn, Turns, Waiting};
use crate::refusal::Refusal;
use crate::relay::{AnswerBody, full_body};
use crate::selection::Selector;
use crate::server::Server;
use crate::signals::SignalRecorder;
use crate::silence::SilenceDetector;
use crate::suspects::{Suspects, Suspicion};
use crate::view::{View, Views};
use bytes::Bytes;
use flamingowheel_platform::headers::{self, RequestHead};
use flamingowheel_policy::quota::Urgency;
use flamingowheel_policy::urgency::Standing;
use http::{Request, Response};
use hyper::body::Incoming;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time between checks for a server that accepts work.
const SERVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State shared by all requests of an entry.
#[derive(Debug)]
pub struct Gateway {
    views: Views,
    budget: Arc<RetryBudget>,
    breakers: Mutex<CircuitBreakers>,
    /// Chooses backend servers.
    pub selector: Selector,
    signals: SignalRecorder,
    /// Records requests that were lost with a connection.
    pub losses: LossRecorder,
    /// Requests that crash backend servers.
    pub suspects: Arc<Suspects>,
    started_at: Instant,
    turns: Arc<Turns>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// What is held for callers.
    pub held: Arc<Held>,
    /// Requests that have not ended.
    pub open: Arc<OpenRequests>,
}

impl Gateway {
    /// Creates a gateway that routes by the newest of `views`.
    pub fn new(
        views: Views,
        budget: Arc<RetryBudget>,
        permits: PermitSender,
        suspects: Arc<Suspects>,
        losses: LossRecorder,
        metrics: Arc<Metrics>,
    ) -> Self {
        let selector = Selector::new(Arc::clone(&views), permits.clone());
        Self {
            views,
            budget,
            breakers: Mutex::default(),
            signals: SignalRecorder::new(permits, Arc::clone(&metrics)),
            losses,
            suspects,
            selector,
            started_at: Instant::now(),
            turns: Arc::default(),
            open: OpenRequests::new(Arc::clone(&metrics), Stop::default()),
            metrics,
            held: Held::unlimited(),
        }
    }

    /// Bounds what is held for callers.
    #[must_use]
    pub fn with_held(self, held: Arc<Held>) -> Self {
        Self { held, ..self }
    }

    /// Follows the steps of the process's stop.
    #[must_use]
    pub fn with_stop(self, stop: Stop) -> Self {
        Self { open: OpenRequests::new(Arc::clone(&self.metrics), stop), ..self }
    }

    /// The newest view.
    pub fn view(&self) -> Arc<View> {
        self.views.load_full()
    }

    /// Handles one request of a caller.
    pub async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let head = headers::parse_request(request.headers());
        let open = self.open.read(&head.attempt_id, Instant::now());
        let answering = self.answer(request, head, &open);
        let answered = open.aborting().run_until_cancelled(answering).await;
        match answered.unwrap_or_else(|| Err(open.cut_refusal())) {
            Ok(mut response) => {
                if let Some(WholeAnswer) = response.extensions_mut().remove() {
                    open.end("answered");
                }
                response
            }
            Err(refusal) => self.refuse(refusal, &open),
        }
    }

    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
        head: RequestHead,
        open: &Arc<OpenRequest>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let exchange = Arc::new(self.admit(request, head, open).await?);
        if open.may_be_cut(exchange.deadline) {
            return Err(Refusal::Leaving);
        }
        self.budget.record_request(&exchange.service, exchange.arrived);
        self.suspects.wait_until_synced().await;
        self.serve(&exchange).await
    }

    async fn serve(
        self: &Arc<Self>,
        exchange: &Arc<Exchange>,
    ) -> Result<Response<AnswerBody>, Refusal> {
        let mut attempts = Attempts::default();
        let draw = rand::random();
        let standing = self.turns.arrive(exchange, draw, exchange.arrived);
        let turn = Turn { draw, standing };
        while attempts.may_send(exchange).await {
            if let Some(suspicion) = self.suspects.refusal(&exchange.subjects) {
                let refusal = self.refuse_suspect(exchange, suspicion);
                return attempts.into_result(exchange, Some(refusal));
            }
            let (server, group) = match self.next_server(exchange, &attempts.tried, &turn).await {
                Ok(chosen) => chosen,
                Err(refusal) => return attempts.into_result(exchange, Some(refusal)),
            };
            let permit = match attempts.retry_cause {
                Some(cause) => match self.try_acquire_retry(exchange, cause, attempts.urgency()) {
                    Some(permit) => Some(permit),
                    None => break,
                },
                None => None,
            };
            attempts.sends += 1;
            attempts.tried.push(Arc::clone(&server));
            let mut hedge = Hedge {
                gateway: self,
                exchange,
                cause: RetryCause::Lost,
                urgency: attempts.urgency(),
                admission: turn.admission(exchange),
                last_event_id: exchange.head.last_event_id,
                tried: &mut attempts.tried,
                runs: &mut attempts.runs,
            };
            let sent = hedge.send(&server, group.as_ref()).await;
            drop(permit);
            match sent {
                Ok(sent) if sent.answer.is_not_run => {
                    let is_alone = sent.is_misdirected() || sent.asks_for_rest();
                    attempts.ended += usize::from(is_alone);
                    self.record_not_run(exchange, &sent);
                    attempts.retry_cause = Some(RetryCause::Refused);
                }
                Ok(sent) => {
                    self.breakers().record_answer(&exchange.service);
                    let finished =
                        self.forward_answer(exchange, sent, &attempts.tried, attempts.runs).await;
                    let can_retry = attempts.can_retry(exchange);
                    match finished {
                        Ok(response) if response.status().is_server_error() && can_retry => {
                            attempts.fallback = Some(response);
                            attempts.retry_cause = Some(RetryCause::ServerError);
                        }
                        Ok(response) => return Ok(response),
                        Err(refusal) if refusal == Refusal::NoAnswerInTime || !can_retry => {
                            return Err(refusal);
                        }
                        Err(_) => attempts.retry_cause = Some(RetryCause::Lost),
                    }
                }
                Err(SendFailure::NotAdmitted) => {
                    attempts.ended += 1;
                    attempts.retry_cause = Some(RetryCause::NotSent);
                }
                Err(SendFailure::Suspect(refusal)) => {
                    return attempts.into_result(exchange, Some(refusal));
                }
                Err(SendFailure::NotSent) => {
                    self.breakers().record_refusal(&exchange.service);
                    attempts.retry_cause = Some(RetryCause::NotSent);
                }
                Err(SendFailure::MayHaveRun) => {
                    attempts.retry_cause = Some(RetryCause::Lost);
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
        turn: &Turn,
    ) -> Result<(Arc<Server>, Option<Arc<GroupLoad>>), Refusal> {
        let draw = turn.draw;
        let admission = turn.admission(exchange);
        let mut waiting = None;
        loop {
            let now = Instant::now();
            if now >= exchange.deadline {
                return Err(Refusal::TooLate);
            }
            let admission = admission.as_ref();
            match self.selector.choose(exchange, tried, admission).await {
                Choice::Held(wait) => return Err(exchange.held_refusal(wait, draw)),
                Choice::Busy(fullness) => {
                    if self.waits_for_room(exchange, turn, &fullness, &mut waiting) {
                        sleep_until(exchange.deadline.min(now + SERVER_POLL_INTERVAL)).await;
                        continue;
                    }
                    return Err(self.refuse_full(exchange, turn, &fullness, waiting.is_some()));
                }
                Choice::Send(server, group) => {
                    if self.breakers().try_acquire(&exchange.service, now) {
                        if tried.is_empty() {
                            self.turns.admit(exchange, now);
                            self.metrics.record_turn(exchange.level, waiting.is_some(), true);
                        }
                        return Ok((server, group));
                    }
                }
                Choice::Evacuated => {
                    let retry_after_ms = exchange.outage_retry_after_ms(draw);
                    return Err(Refusal::Evacuated { retry_after_ms });
                }
                Choice::NoHome => {
                    let retry_after_ms = exchange.outage_retry_after_ms(draw);
                    return Err(Refusal::NoHome { retry_after_ms });
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

    /// Whether a request that finds no room waits for it, and does not give up `waiting` yet.
    fn waits_for_room(
        &self,
        exchange: &Exchange,
        turn: &Turn,
        fullness: &Fullness,
        waiting: &mut Option<(Waiting, Duration)>,
    ) -> bool {
        if !turn.waits_for_room() {
            return false;
        }
        if waiting.is_none() {
            *waiting = self.turns.wait(exchange, fullness);
        }
        waiting.as_ref().is_some_and(|(_, max_wait)| exchange.arrived.elapsed() < *max_wait)
    }

    /// The refusal of a request for which there is no room, with what it gives way to.
    fn refuse_full(
        &self,
        exchange: &Exchange,
        turn: &Turn,
        fullness: &Fullness,
        has_waited: bool,
    ) -> Refusal {
        let Fullness { crowding, own_requests, limit, pass_ms, rise, occupancy, report_age } =
            *fullness;
        let Standing { cut, gives_way, is_on_credit, urgent_share, surplus, shares_age, .. } =
            turn.standing;
        let now = Instant::now();
        let retry_after_ms = self.turns.refuse(exchange, fullness, turn.draw, now);
        let workspace = exchange.workspace.as_ref().map(|workspace| workspace.name.as_str());
        self.metrics.record_turn(exchange.level, has_waited, false);
        self.metrics.record_gave_way(workspace, gives_way);
        tracing::info!(
            request = exchange.head.attempt_id,
            route = exchange.route.name,
            urgency = exchange.level,
            workspace,
            gives_way = gives_way.name(),
            cut,
            is_on_credit,
            urgent_share,
            surplus,
            shares_age_ms = shares_age.as_millis() as u64,
            crowding,
            own = own_requests,
            bound = limit,
            pass_ms,
            rise,
            occupancy,
            report_age_ms = report_age.map(|age| age.as_millis() as u64),
            retry_after_ms,
            "every group is full"
        );
        Refusal::Busy { retry_after_ms }
    }

    /// A silence detector for a server.
    pub fn silence_detector(
        &self,
        server: Arc<Server>,
        group: Option<Arc<GroupLoad>>,
    ) -> SilenceDetector {
        SilenceDetector::new(Arc::clone(&self.views), server, group)
    }

    /// Takes a retry out of the budget; `None` if the budget is used up. The permit is held until the
    /// retry is known to have arrived.
    pub fn try_acquire_retry(
        &self,
        exchange: &Exchange,
        cause: RetryCause,
        urgency: Urgency,
    ) -> Option<RetryPermit> {
        let result = self.budget.try_acquire(&exchange.service, urgency, Instant::now());
        let (Ok((_, decision)) | Err(decision)) = &result;
        self.record_retry(exchange, cause, result.is_ok(), decision);
        result.ok().map(|(permit, _)| permit)
    }

    fn record_retry(
        &self,
        exchange: &Exchange,
        cause: RetryCause,
        is_allowed: bool,
        decision: &Decision,
    ) {
        let Decision { account, entries, claimed } = decision;
        let outcome = if is_allowed { "sent" } else { "no_budget" };
        self.metrics.record_retry(&exchange.service, cause, outcome, account.room());
        tracing::info!(
            request = exchange.head.attempt_id,
            service = exchange.service,
            cause = cause.name(),
            outcome,
            span_ms = account.span.as_millis() as u64,
            requests = account.requests,
            retries = account.retries,
            pending = account.pending,
            allowed = account.allowed,
            entries,
            claimed,
            up_ms = self.started_at.elapsed().as_millis() as u64,
            "retry"
        );
    }

    /// The refusal of a request with a suspect. Logs what it is refused for.
    fn refuse_suspect(&self, exchange: &Exchange, suspicion: Suspicion) -> Refusal {
        let Suspicion { suspect, retry_after } = suspicion;
        let id = exchange.parts().find(|(part, _)| *part == suspect).map(|(_, id)| id);
        if let Some(id) = id {
            self.suspects.name_part(suspect, id);
        }
        tracing::info!(
            request = exchange.head.attempt_id,
            suspect = %suspect,
            kind = suspect.kind().name(),
            part = id,
            retry_after_ms = retry_after.as_millis() as u64,
            "not sent, backend servers end under a suspect of it"
        );
        Refusal::suspect(retry_after)
    }

    fn refuse(&self, refusal: Refusal, open: &OpenRequest) -> Response<AnswerBody> {
        open.end(refusal.name());
        tracing::info!(
            request = open.attempt_id,
            version = self.view().version(),
            reason = refusal.name(),
            fingerprint = open.fingerprint().map(tracing::field::display),
            after_ms = open.arrived.elapsed().as_millis() as u64,
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
}
