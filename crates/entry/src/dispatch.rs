//! Sends requests to agents and retries them until the outcome is known.

mod home;
pub mod keys;

use crate::agents::{Agent, Connected};
use crate::attempt::{Attempt, AttemptEnd, Prepared, Sent};
use crate::config::EntryConfig;
use crate::events;
use crate::outcome::{NotRun, Unknown, Verdict};
use crate::request::Request;
use crate::router::{RouteClass, Routed, Router};
use crate::stream::{Answer, Origin};
use flamingowheel_observe::event::Event;
use flamingowheel_observe::reason::{CancelCause, RouteReason};
use flamingowheel_observe::recorder::{Recorder, SubjectRecorder};
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::retry::{RetryBudget, RetryConfig, RetryRequest, TryOutcome};
use flamingowheel_policy::routing::{RouteError, RouteRequest};
use flamingowheel_policy::suspicion::Verdict as Suspicion;
use flamingowheel_protocol::id::{AttemptId, ExecutionKey};
use flamingowheel_protocol::message::{Dispatch, Refusal};
use flamingowheel_protocol::ticket::Ticket;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// Most workspaces with a retry budget; when it is reached all budgets are reset.
const MAX_BUDGETS: usize = 4096;

/// Timeout for connecting to the backend server chosen for an isolated request.
const ISOLATED_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Attempt numbers from here on are drawn at random, to resume a stream or void a ticket.
const FIRST_RANDOM_ATTEMPT: u32 = 1 << 16;

/// Sends requests to agents, with retries.
pub struct Dispatcher {
    config: Arc<EntryConfig>,
    router: Arc<Router>,
    recorder: Recorder,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
    /// Cancelled when the process ends and cuts off what is in progress.
    cut_off: CancellationToken,
}

/// A request and the attempts made for it so far. Dropping it before its end records that the caller
/// has left or that the process ends.
struct RequestProgress<'a> {
    dispatcher: &'a Dispatcher,
    request: &'a Request,
    log: SubjectRecorder,
    /// The server at which the request counts as sent.
    sent_to: Option<ServerKey>,
    /// Whether the end is recorded, or left to the answer.
    has_ended: bool,
    tried: Vec<ServerKey>,
    attempts: u32,
    last_end: Option<AttemptEnd>,
    /// The end of an attempt that may have run. A later refusal proves nothing about that attempt,
    /// so once this is set the outcome can't be "not run".
    uncertain_end: Option<AttemptEnd>,
}

impl RequestProgress<'_> {
    fn record_end(&mut self, end: AttemptEnd) {
        self.last_end = Some(end);
        if !matches!(end, AttemptEnd::Refused(_)) {
            self.uncertain_end = Some(end);
        }
    }

    /// The request's verdict if no further attempt follows: `not_run`, unless an attempt may have run.
    fn verdict(&self, not_run: NotRun) -> Verdict {
        match self.uncertain_end {
            Some(end) => verdict(end),
            None => not_run.into(),
        }
    }

    /// The request's verdict if no backend server can be chosen.
    fn routing_failed(&self, error: RouteError) -> Verdict {
        match (error, self.last_end) {
            (RouteError::Overloaded { wait }, _) => {
                let retry_after_ms = wait.as_millis() as u64;
                self.verdict(NotRun::Overloaded { retry_after_ms })
            }
            (_, Some(AttemptEnd::Refused(refusal))) => self.verdict(NotRun::Refused(refusal)),
            _ => self.verdict(NotRun::NoneAvailable),
        }
    }
}

impl Drop for RequestProgress<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        if let Some(server) = self.sent_to {
            self.dispatcher.router.request_ended(server);
        }
        let class = events::class(self.request);
        events::record_dropped(&self.log, class, self.attempts, &self.dispatcher.cut_off);
    }
}

/// The backend server chosen for the next attempt.
struct Chosen {
    server: ServerKey,
    agent: Arc<Agent>,
    connected: Connected,
    last_try: bool,
    /// Whether the request must run isolated from others.
    alone: bool,
}

impl Dispatcher {
    /// A dispatcher that sends requests to the agents of `router`.
    pub fn new(config: Arc<EntryConfig>, router: Arc<Router>, recorder: Recorder) -> Self {
        let cut_off = CancellationToken::new();
        Self { config, router, recorder, budgets: Mutex::default(), cut_off }
    }

    /// Marks requests that are dropped from now on as cut off by the end of the process.
    pub fn cut_off(&self) {
        self.cut_off.cancel();
    }

    /// The router that chooses the backend servers.
    pub fn router(&self) -> &Arc<Router> {
        &self.router
    }

    /// Runs a request up to the beginning of its answer. For non-idempotent requests each attempt
    /// gets a ticket of its own; the last one is returned.
    pub async fn run(&self, request: Request) -> (Result<Answer, Verdict>, Option<Ticket>) {
        let mut progress = self.start(&request);
        let mut ticket = None;
        let result = self.run_attempts(&mut progress, &mut ticket).await;
        self.record_end(&mut progress, result.as_ref().err());
        (result, ticket)
    }

    fn start<'a>(&'a self, request: &'a Request) -> RequestProgress<'a> {
        let log = self.recorder.with_subject(events::subject(request));
        log.record(Event::RequestAccepted {
            class: events::class(request),
            idempotent: request.idempotent,
            deadline_ms: request.remaining_ms(),
        });
        RequestProgress {
            dispatcher: self,
            request,
            log,
            sent_to: None,
            has_ended: false,
            tried: Vec::new(),
            attempts: 0,
            last_end: None,
            uncertain_end: None,
        }
    }

    /// Records the verdict of a request; an answer records its own end.
    fn record_end(&self, progress: &mut RequestProgress<'_>, verdict: Option<&Verdict>) {
        progress.has_ended = true;
        if let Some(verdict) = verdict {
            let class = events::class(progress.request);
            progress.log.record(events::verdict(verdict, class, progress.attempts));
        }
    }

    async fn run_attempts(
        &self,
        progress: &mut RequestProgress<'_>,
        ticket: &mut Option<Ticket>,
    ) -> Result<Answer, Verdict> {
        let request = progress.request;
        loop {
            let chosen = self.choose(progress).await?;
            progress.tried.push(chosen.server);
            progress.sent_to = Some(chosen.server);
            let key = match request.idempotent {
                true => None,
                false => {
                    let minted = self.mint_for(request, &chosen.agent, &chosen.connected);
                    let key = ticket_key(&minted);
                    *ticket = Some(minted);
                    Some(key)
                }
            };
            let end = match self.attempt(progress, &chosen, key).await {
                Ok(answer) => return Ok(answer),
                Err(end) => end,
            };
            self.router.request_ended(chosen.server);
            progress.sent_to = None;
            progress.record_end(end);
            self.permit_retry(progress, end)?;
        }
    }

    async fn choose(&self, progress: &RequestProgress<'_>) -> Result<Chosen, Verdict> {
        let request = progress.request;
        match self.router.verdict(request.fingerprint) {
            Suspicion::Clear => self.choose_best(progress).await,
            Suspicion::Alone { crashed } => self.choose_isolated(progress, crashed).await,
            Suspicion::Refused { retry_after } => {
                let retry_after_ms = retry_after.as_millis() as u64;
                Err(progress.verdict(NotRun::Suspect { retry_after_ms }))
            }
        }
    }

    async fn choose_best(&self, progress: &RequestProgress<'_>) -> Result<Chosen, Verdict> {
        let request = progress.request;
        let route_request =
            RouteRequest { fingerprint: request.fingerprint, tried: &progress.tried };
        let class = route_class(request);
        let routed = self
            .router
            .route_anywhere(&request.target, &route_request, &class, &request.prompt)
            .await;
        let routed = routed.map_err(|error| progress.routing_failed(error))?;
        let connected = self.connected(progress, routed.choice.server, &routed.agent)?;
        log_route(progress, &routed, &connected);
        let Routed { choice, agent, .. } = routed;
        let last_try = choice.last_try;
        Ok(Chosen { server: choice.server, agent, connected, last_try, alone: false })
    }

    /// Chooses for a request that may have crashed a backend server. All entries choose the same
    /// server, so that copies of the request through many entries can't crash many servers.
    async fn choose_isolated(
        &self,
        progress: &RequestProgress<'_>,
        mut crashed: Vec<ServerKey>,
    ) -> Result<Chosen, Verdict> {
        let request = progress.request;
        crashed.extend(&progress.tried);
        let (server, agent) = loop {
            let routed = self.router.route_isolated(&request.target, request.fingerprint, &crashed);
            let (server, agent) = routed.map_err(|error| progress.routing_failed(error))?;
            // The link may have just been opened. If it doesn't connect, another server is chosen.
            let connect_deadline = request.deadline.min(Instant::now() + ISOLATED_CONNECT_TIMEOUT);
            if timeout_at(connect_deadline, agent.connected_after(0)).await.is_ok() {
                break (server, agent);
            }
            self.router.request_ended(server);
            if Instant::now() >= request.deadline {
                return Err(progress.routing_failed(RouteError::NoneAvailable));
            }
            crashed.push(server);
        };
        let connected = self.connected(progress, server, &agent)?;
        progress.log.record(Event::Routed {
            backend_server: connected.hello.name.as_str().into(),
            attempt: progress.attempts + 1,
            reason: RouteReason::Quarantine,
            candidates: 1,
            predicted_wait_ms: 0,
        });
        Ok(Chosen { server, agent, connected, last_try: true, alone: true })
    }

    fn connected(
        &self,
        progress: &RequestProgress<'_>,
        server: ServerKey,
        agent: &Agent,
    ) -> Result<Connected, Verdict> {
        agent.connected().ok_or_else(|| {
            self.router.request_ended(server);
            progress.routing_failed(RouteError::NoneAvailable)
        })
    }

    /// Decides whether another attempt may follow one that ended with `end`.
    fn permit_retry(&self, progress: &RequestProgress<'_>, end: AttemptEnd) -> Result<(), Verdict> {
        let request = progress.request;
        match end {
            // The attempt did not run, so any request may be tried at another server. The router
            // bounds the number of attempts.
            AttemptEnd::Refused(_) if request.remaining_ms() > 0 => {}
            AttemptEnd::Refused(_) => return Err(progress.verdict(NotRun::DeadlinePassed)),
            _ => {
                let retry_request = RetryRequest {
                    idempotent: request.idempotent,
                    last_outcome: TryOutcome::Unknown,
                    answer_started: false,
                    remaining: Duration::from_millis(request.remaining_ms()),
                };
                if let Err(refusal) = self.spend_retry(request, &retry_request) {
                    let reason = events::retry_denial(refusal);
                    progress.log.record(Event::RetryDenied { attempt: progress.attempts, reason });
                    return Err(verdict(end));
                }
            }
        }
        let reason = events::retry_reason(end);
        progress.log.record(Event::Retried { attempt: progress.attempts + 1, reason });
        Ok(())
    }

    fn spend_retry(
        &self,
        request: &Request,
        retry_request: &RetryRequest,
    ) -> Result<(), flamingowheel_policy::retry::RetryRefusal> {
        self.with_budget(request, |budget| budget.try_retry(retry_request))
    }

    fn with_budget<F, R>(&self, request: &Request, change: F) -> R
    where
        F: FnOnce(&mut RetryBudget) -> R,
    {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if budgets.len() >= MAX_BUDGETS {
            budgets.clear();
        }
        let name = Arc::clone(&request.workspace.name);
        let budget = budgets.entry(name).or_insert_with(|| {
            let retry = &request.workspace.parameters.retry;
            RetryBudget::new(RetryConfig {
                retries_per_success: retry.per_100_requests / 100.0,
                max_retries_saved: f64::from(retry.burst),
                ..RetryConfig::default()
            })
        });
        change(budget)
    }

    /// Makes one attempt, up to the beginning of its answer.
    async fn attempt(
        &self,
        progress: &mut RequestProgress<'_>,
        chosen: &Chosen,
        key: Option<ExecutionKey>,
    ) -> Result<Answer, AttemptEnd> {
        let request = progress.request;
        progress.attempts += 1;
        let attempt = AttemptId { request: request.id, number: progress.attempts };
        let dispatch = Dispatch {
            attempt,
            key: key.unwrap_or(ExecutionKey::Attempt(attempt)),
            incarnation: chosen.connected.hello.incarnation,
            window: chosen.agent.window(),
            workspace: request.workspace.name.to_string(),
            method: request.method.clone(),
            path: request.path.clone(),
            content_type: request.content_type.clone(),
            body: request.body.clone(),
            idempotent: request.idempotent,
            priority: request.workspace.parameters.priority,
            remaining_ms: request.remaining_ms(),
            fingerprint: request.fingerprint,
            alone: chosen.alone,
            last_try: chosen.last_try,
            resume_after_chunks: 0,
        };
        progress.log.record(Event::Dispatched {
            backend_server: chosen.connected.hello.name.as_str().into(),
            attempt: attempt.number,
            incarnation: events::incarnation(dispatch.incarnation),
            remaining_ms: dispatch.remaining_ms,
        });
        let sent = Attempt::<Prepared>::new(Box::new(dispatch))
            .send(&chosen.agent, chosen.connected.clone(), self.config.reconnect_timeout)
            .await
            .map_err(AttemptEnd::Refused)?;
        let (head, mut attempt) = match sent.wait_for_head(request.deadline, 0).await {
            Ok(begun) => begun,
            Err((end, sent)) => return Err(self.resolve_end(progress, end, sent).await),
        };
        // Engines send the head at once and the first token much later. As long as nothing was sent
        // to the caller, a failed attempt can still be retried.
        let first = timeout_at(request.deadline, attempt.next()).await;
        let first = first.unwrap_or(Err(AttemptEnd::DeadlinePassed))?;
        self.with_budget(request, RetryBudget::on_success);
        let origin = Origin {
            server: chosen.server,
            attempts: progress.attempts,
            can_resume: chosen.connected.profile.can_resume,
        };
        let (router, log) = (Arc::clone(&self.router), progress.log.clone());
        let reconnect_timeout = self.config.reconnect_timeout;
        let cut_off = self.cut_off.clone();
        let request = request.clone();
        Ok(Answer::new(request, head, attempt, origin, router, log, cut_off, reconnect_timeout)
            .with_first(first))
    }

    /// Cancels an attempt whose deadline passed. The agent's reply may prove that it did not run.
    async fn resolve_end(
        &self,
        progress: &RequestProgress<'_>,
        end: AttemptEnd,
        sent: Attempt<Sent>,
    ) -> AttemptEnd {
        let attempt = progress.attempts;
        match end {
            AttemptEnd::DeadlinePassed => {
                let cause = CancelCause::DeadlinePassed;
                progress.log.record(Event::Cancelled { attempt, cause });
                match sent.cancel(self.config.cancel_timeout).await {
                    Ok(refusal) => AttemptEnd::Refused(refusal),
                    Err(_) => AttemptEnd::DeadlinePassed,
                }
            }
            AttemptEnd::Refused(refusal) => {
                let backend_server = sent.backend_server().into();
                let reason = events::refusal(refusal);
                progress.log.record(Event::Refused { backend_server, attempt, reason });
                end
            }
            _ => end,
        }
    }
}

/// Key of the agent's record of a ticket's work.
pub fn ticket_key(ticket: &Ticket) -> ExecutionKey {
    ExecutionKey::Ticket { number: ticket.number, window: ticket.window }
}

fn route_class(request: &Request) -> RouteClass {
    RouteClass {
        urgent: events::is_urgent(request),
        max_wait: Duration::from_millis(request.remaining_ms()),
        max_tries: request.workspace.parameters.retry.max_tries,
    }
}

fn log_route(progress: &RequestProgress<'_>, routed: &Routed, connected: &Connected) {
    let choice = &routed.choice;
    progress.log.record(Event::Routed {
        backend_server: connected.hello.name.as_str().into(),
        attempt: progress.attempts + 1,
        // The search ends at the first candidate that is good enough, so a single candidate doesn't
        // mean that no other server was available.
        reason: match routed.by_prefix {
            true => RouteReason::PrefixCached,
            false => RouteReason::LeastWait,
        },
        candidates: u32::try_from(choice.candidates).unwrap_or(u32::MAX),
        predicted_wait_ms: choice.cost.as_millis() as u64,
    });
}

/// The request's verdict if the attempt that ended with `end` was its last.
pub fn verdict(end: AttemptEnd) -> Verdict {
    match end {
        AttemptEnd::Refused(Refusal::Cancelled | Refusal::DeadlinePassed) => {
            NotRun::DeadlinePassed.into()
        }
        AttemptEnd::Refused(refusal) => NotRun::Refused(refusal).into(),
        AttemptEnd::Failed(failure) => Unknown::Failed(failure).into(),
        AttemptEnd::Unreachable => Unknown::AgentUnreachable.into(),
        AttemptEnd::Replaced(_) => Unknown::AgentReplaced.into(),
        AttemptEnd::DeadlinePassed => Unknown::DeadlinePassed.into(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use flamingowheel_config::effective::EffectiveWorkspace;
    use flamingowheel_config::template::{Parameters, Retry};
    use flamingowheel_protocol::id::RequestId;
    use tokio::time::Instant;

    // Guards against ignoring the workspace's `max_tries`, which operators can set to 1.
    #[tokio::test(start_paused = true)]
    async fn route_class_uses_max_tries_of_workspace() {
        let retry = Retry { max_tries: 1, ..Retry::default() };
        let workspace = EffectiveWorkspace {
            name: "peachline".into(),
            template: "callbox".into(),
            token_sha256: Arc::new([]),
            parameters: Arc::new(Parameters { retry, ..Parameters::default() }),
            rebalancing: Arc::default(),
        };
        let deadline = Instant::now() + Duration::from_secs(1);
        let request = Request::of_stream(Arc::new(workspace), RequestId::fresh(), deadline);
        assert_eq!(route_class(&request).max_tries, 1);
    }
}
