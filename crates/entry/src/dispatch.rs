//! Sends requests to agents until one of the three outcomes is known.

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

/// Retry budgets kept at most; beyond it all start anew.
const MAX_BUDGETS: usize = 4096;

/// How long the link to a backend server for a suspect may take to open.
const ALONE_LIMIT: Duration = Duration::from_secs(1);

/// Attempt numbers from here on are drawn at random, by entries that go on with a stream.
const FIRST_ADOPTED: u32 = 1 << 16;

/// Sends requests.
pub struct Dispatcher {
    config: Arc<EntryConfig>,
    router: Arc<Router>,
    recorder: Recorder,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
}

/// One request's attempts so far.
struct Journey<'a> {
    request: &'a Request,
    log: SubjectRecorder,
    tried: Vec<ServerKey>,
    attempts: u32,
    last: Option<AttemptEnd>,
    /// The end of an attempt that may have run. A later refusal proves nothing about that one, so
    /// with this set the request as a whole can't be called "not run".
    uncertain: Option<AttemptEnd>,
}

impl Journey<'_> {
    fn note(&mut self, end: AttemptEnd) {
        self.last = Some(end);
        if !matches!(end, AttemptEnd::Refused(_)) {
            self.uncertain = Some(end);
        }
    }

    /// What the caller is told when no other attempt follows.
    fn verdict(&self, otherwise: NotRun) -> Verdict {
        match self.uncertain {
            Some(end) => verdict(end),
            None => otherwise.into(),
        }
    }

    /// What the caller is told when no backend server is left.
    fn no_choice(&self, error: RouteError) -> Verdict {
        match (error, self.last) {
            (RouteError::Overloaded { wait }, _) => {
                let retry_after_ms = wait.as_millis() as u64;
                self.verdict(NotRun::Overloaded { retry_after_ms })
            }
            (_, Some(AttemptEnd::Refused(refusal))) => self.verdict(NotRun::Refused(refusal)),
            _ => self.verdict(NotRun::NoneAvailable),
        }
    }
}

/// A backend server that was chosen for the next attempt.
struct Chosen {
    server: ServerKey,
    agent: Arc<Agent>,
    connected: Connected,
    last_try: bool,
    alone: bool,
}

impl Dispatcher {
    /// A dispatcher over the agents that `router` knows.
    pub fn new(config: Arc<EntryConfig>, router: Arc<Router>, recorder: Recorder) -> Self {
        Self { config, router, recorder, budgets: Mutex::default() }
    }

    /// The agents and what is known of their load.
    pub fn router(&self) -> &Arc<Router> {
        &self.router
    }

    /// Runs a request to the beginning of its answer. Non-idempotent requests get a ticket of
    /// their own for each attempt; it comes with the answer, or with the verdict if the last
    /// attempt may have run.
    pub async fn run(&self, request: Request) -> (Result<Answer, Verdict>, Option<Ticket>) {
        let mut journey = self.journey(&request);
        let mut ticket = None;
        let result = self.attempts(&mut journey, &mut ticket).await;
        if let Err(verdict) = &result {
            self.conclude(&journey, verdict);
        }
        (result, ticket)
    }

    fn journey<'a>(&self, request: &'a Request) -> Journey<'a> {
        let log = self.recorder.about(events::subject(request));
        log.record(Event::RequestAccepted {
            class: events::class(request),
            idempotent: request.idempotent,
            deadline_ms: request.remaining_ms(),
        });
        Journey { request, log, tried: Vec::new(), attempts: 0, last: None, uncertain: None }
    }

    fn conclude(&self, journey: &Journey<'_>, verdict: &Verdict) {
        let class = events::class(journey.request);
        journey.log.record(events::verdict(verdict, class, journey.attempts));
    }

    async fn attempts(
        &self,
        journey: &mut Journey<'_>,
        ticket: &mut Option<Ticket>,
    ) -> Result<Answer, Verdict> {
        let request = journey.request;
        loop {
            let chosen = self.choose(journey).await?;
            journey.tried.push(chosen.server);
            let key = match request.idempotent {
                true => None,
                false => {
                    let minted = self.mint_for(request, &chosen.agent, &chosen.connected);
                    let key = ticket_key(&minted);
                    *ticket = Some(minted);
                    Some(key)
                }
            };
            let end = match self.attempt(journey, &chosen, key).await {
                Ok(answer) => return Ok(answer),
                Err(end) => end,
            };
            self.router.ended(chosen.server);
            journey.note(end);
            self.permit_retry(journey, end)?;
        }
    }

    async fn choose(&self, journey: &Journey<'_>) -> Result<Chosen, Verdict> {
        let request = journey.request;
        match self.router.verdict(request.fingerprint) {
            Suspicion::Clear => self.choose_best(journey).await,
            Suspicion::Alone { crashed } => self.choose_alone(journey, crashed).await,
            Suspicion::Refused { retry_after } => {
                let retry_after_ms = retry_after.as_millis() as u64;
                Err(journey.verdict(NotRun::Suspect { retry_after_ms }))
            }
        }
    }

    async fn choose_best(&self, journey: &Journey<'_>) -> Result<Chosen, Verdict> {
        let request = journey.request;
        let question = RouteRequest { fingerprint: request.fingerprint, tried: &journey.tried };
        let class = route_class(request);
        let routed =
            self.router.route_anywhere(&request.target, &question, &class, &request.prompt).await;
        let routed = routed.map_err(|error| journey.no_choice(error))?;
        let connected = self.connected(journey, routed.choice.server, &routed.agent)?;
        log_route(journey, &routed, &connected);
        let Routed { choice, agent, .. } = routed;
        let last_try = choice.last_try;
        Ok(Chosen { server: choice.server, agent, connected, last_try, alone: false })
    }

    /// A request that may have crashed a backend server goes to one that all entries agree on,
    /// so that copies of it that come through many entries can't crash many.
    async fn choose_alone(
        &self,
        journey: &Journey<'_>,
        mut crashed: Vec<ServerKey>,
    ) -> Result<Chosen, Verdict> {
        let request = journey.request;
        crashed.extend(&journey.tried);
        let (server, agent) = loop {
            let routed = self.router.route_isolated(&request.target, request.fingerprint, &crashed);
            let (server, agent) = routed.map_err(|error| journey.no_choice(error))?;
            // Its link may just be opening. One that can't be opened is no place to run at.
            let limit = request.deadline.min(Instant::now() + ALONE_LIMIT);
            if timeout_at(limit, agent.connected_after(0)).await.is_ok() {
                break (server, agent);
            }
            self.router.ended(server);
            if Instant::now() >= request.deadline {
                return Err(journey.no_choice(RouteError::NoneAvailable));
            }
            crashed.push(server);
        };
        let connected = self.connected(journey, server, &agent)?;
        journey.log.record(Event::Routed {
            backend_server: connected.hello.name.as_str().into(),
            attempt: journey.attempts + 1,
            reason: RouteReason::Quarantine,
            candidates: 1,
            predicted_wait_ms: 0,
        });
        Ok(Chosen { server, agent, connected, last_try: true, alone: true })
    }

    fn connected(
        &self,
        journey: &Journey<'_>,
        server: ServerKey,
        agent: &Agent,
    ) -> Result<Connected, Verdict> {
        agent.connected().ok_or_else(|| {
            self.router.ended(server);
            journey.no_choice(RouteError::NoneAvailable)
        })
    }

    /// Decides whether another attempt may follow one that ended like this.
    fn permit_retry(&self, journey: &Journey<'_>, end: AttemptEnd) -> Result<(), Verdict> {
        let request = journey.request;
        match end {
            // Proof that it did not run: a try elsewhere is safe for every kind of request. The
            // router bounds how many there are.
            AttemptEnd::Refused(_) if request.remaining_ms() > 0 => {}
            AttemptEnd::Refused(_) => return Err(journey.verdict(NotRun::DeadlinePassed)),
            _ => {
                let question = RetryRequest {
                    idempotent: request.idempotent,
                    last_outcome: TryOutcome::Unknown,
                    answer_started: false,
                    remaining: Duration::from_millis(request.remaining_ms()),
                };
                if let Err(refusal) = self.take_retry(request, &question) {
                    let reason = events::retry_denial(refusal);
                    journey.log.record(Event::RetryDenied { attempt: journey.attempts, reason });
                    return Err(verdict(end));
                }
            }
        }
        let reason = events::retry_reason(end);
        journey.log.record(Event::Retried { attempt: journey.attempts + 1, reason });
        Ok(())
    }

    fn take_retry(
        &self,
        request: &Request,
        question: &RetryRequest,
    ) -> Result<(), flamingowheel_policy::retry::RetryRefusal> {
        self.with_budget(request, |budget| budget.try_retry(question))
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

    /// One attempt, up to the beginning of the answer.
    async fn attempt(
        &self,
        journey: &mut Journey<'_>,
        chosen: &Chosen,
        key: Option<ExecutionKey>,
    ) -> Result<Answer, AttemptEnd> {
        let request = journey.request;
        journey.attempts += 1;
        let attempt = AttemptId { request: request.id, number: journey.attempts };
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
        journey.log.record(Event::Dispatched {
            backend_server: chosen.connected.hello.name.as_str().into(),
            attempt: attempt.number,
            incarnation: events::incarnation(dispatch.incarnation),
            remaining_ms: dispatch.remaining_ms,
        });
        let sent = Attempt::<Prepared>::new(Box::new(dispatch))
            .send(&chosen.agent, chosen.connected.clone(), self.config.reconnect_timeout)
            .await
            .map_err(AttemptEnd::Refused)?;
        let (head, mut attempt) = match sent.begin(request.deadline, 0).await {
            Ok(begun) => begun,
            Err((end, sent)) => return Err(self.settle(journey, end, sent).await),
        };
        // Engines send the head at once and the first token much later. As long as the caller has
        // nothing, an attempt that fails can still be followed by another.
        let first = timeout_at(request.deadline, attempt.next()).await;
        let first = first.unwrap_or(Err(AttemptEnd::DeadlinePassed))?;
        self.with_budget(request, RetryBudget::on_success);
        let origin = Origin {
            server: chosen.server,
            attempts: journey.attempts,
            can_resume: chosen.connected.profile.can_resume,
        };
        let (router, log) = (Arc::clone(&self.router), journey.log.clone());
        let limit = self.config.reconnect_timeout;
        Ok(Answer::new(request.clone(), head, attempt, origin, router, log, limit)
            .with_first(first))
    }

    /// When the deadline passed, asks the agent not to run it; its word may turn "unknown" into
    /// proof.
    async fn settle(
        &self,
        journey: &Journey<'_>,
        end: AttemptEnd,
        sent: Attempt<Sent>,
    ) -> AttemptEnd {
        let attempt = journey.attempts;
        match end {
            AttemptEnd::DeadlinePassed => {
                let cause = CancelCause::DeadlinePassed;
                journey.log.record(Event::Cancelled { attempt, cause });
                match sent.cancel(self.config.cancel_timeout).await {
                    Ok(refusal) => AttemptEnd::Refused(refusal),
                    Err(_) => AttemptEnd::DeadlinePassed,
                }
            }
            AttemptEnd::Refused(refusal) => {
                let backend_server = sent.backend_server().into();
                let reason = events::refusal(refusal);
                journey.log.record(Event::Refused { backend_server, attempt, reason });
                end
            }
            _ => end,
        }
    }
}

/// What the agent files a ticket's work under.
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

fn log_route(journey: &Journey<'_>, routed: &Routed, connected: &Connected) {
    let choice = &routed.choice;
    journey.log.record(Event::Routed {
        backend_server: connected.hello.name.as_str().into(),
        attempt: journey.attempts + 1,
        // The search ends at the first candidate that is good enough, so that one was looked at
        // does not say that no other was left.
        reason: match routed.by_prefix {
            true => RouteReason::PrefixCached,
            false => RouteReason::LeastWait,
        },
        candidates: u32::try_from(choice.candidates).unwrap_or(u32::MAX),
        predicted_wait_ms: choice.cost.as_millis() as u64,
    });
}

/// What the caller is told when an attempt was the last.
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

    // An operator allows one try only, and the change is accepted. It must count.
    #[tokio::test(start_paused = true)]
    async fn route_class_takes_tries_of_the_workspace() {
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
