//! Work that is bound to one agent process, its home: tickets, and streams that are resumed.

use super::{
    Chosen, Dispatcher, FIRST_RANDOM_ATTEMPT, RequestProgress, route_class, ticket_key, verdict,
};
use crate::agents::{Agent, Connected, is_incarnation};
use crate::attempt::{Attempt, AttemptEnd, Identity, Sent};
use crate::events;
use crate::outcome::{NotRun, Unknown, Verdict};
use crate::request::Request;
use crate::stream::{Answer, Origin};
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_observe::event::Event;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::routing::RouteRequest;
use flamingowheel_protocol::id::{AttemptId, Incarnation};
use flamingowheel_protocol::message::Refusal;
use flamingowheel_protocol::ticket::{StreamToken, Ticket};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};
use uuid::Uuid;

impl Dispatcher {
    /// Runs a request under a ticket, only at the agent process that the ticket names.
    pub async fn run_ticket(&self, request: Request, ticket: &Ticket) -> Result<Answer, Verdict> {
        let mut progress = self.start(&request);
        let result = self.ticket_attempt(&mut progress, ticket).await;
        self.record_end(&mut progress, result.as_ref().err());
        result
    }

    /// Resumes a stream that this or another entry started, from the given chunk on.
    pub async fn resume_stream(
        &self,
        workspace: Arc<EffectiveWorkspace>,
        token: &StreamToken,
        from_chunk: u64,
        deadline: Instant,
    ) -> Result<Answer, Verdict> {
        let request = Request::of_stream(workspace, token.request, deadline);
        let log = self.recorder.with_subject(events::subject(&request));
        let server = ServerKey::from_name(&token.agent);
        let home = self.home(&request, token.incarnation, server).await?;
        // A new attempt number. The entry that started the stream may still be running, and its
        // cancel must not remove this listener.
        let number = rand::random_range(FIRST_RANDOM_ATTEMPT..u32::MAX);
        let identity = Identity {
            attempt: AttemptId { request: token.request, number },
            key: token.key,
            incarnation: token.incarnation,
            window: token.window,
        };
        log.record(Event::Resumed {
            backend_server: token.agent.as_str().into(),
            attempt: number,
            from_chunk,
        });
        let reconnect_timeout = self.config.reconnect_timeout;
        let mut sent = Attempt::<Sent>::from_identity(
            identity,
            &home.agent,
            home.connected,
            reconnect_timeout,
        );
        sent.attach(from_chunk).await;
        let begun = sent.wait_for_head(deadline, from_chunk).await;
        let (head, attempt) = begun.map_err(|(end, _)| match end {
            // The agent has no record of the stream, which had started and so may have run.
            AttemptEnd::Refused(refusal) => Unknown::StreamGone(refusal).into(),
            end => verdict(end),
        })?;
        // This entry doesn't have the request's body, so it can't send it to a new agent process.
        let origin = Origin { server, attempts: 1, can_resume: false };
        let router = Arc::clone(&self.router);
        let cut_off = self.cut_off.clone();
        Ok(Answer::new(request, head, attempt, origin, router, log, cut_off, reconnect_timeout))
    }

    /// Voids a ticket. The verdict is either "not run", which proves that the ticket did not run and
    /// won't, or "unknown".
    pub async fn void(&self, request: Request, ticket: &Ticket) -> Verdict {
        let timeout = Duration::from_millis(request.remaining_ms());
        self.void_ticket(&request, ticket, timeout).await
    }

    pub(super) async fn void_ticket(
        &self,
        request: &Request,
        ticket: &Ticket,
        timeout: Duration,
    ) -> Verdict {
        let log = self.recorder.with_subject(events::subject(request));
        let server = ServerKey::from_name(&ticket.agent);
        let home = match self.home(request, ticket.incarnation, server).await {
            Ok(home) => home,
            Err(verdict) => return verdict,
        };
        // A number that no attempt of the request has; the agent refuses it as cancelled.
        let number = rand::random_range(FIRST_RANDOM_ATTEMPT..u32::MAX);
        let identity = Identity {
            attempt: AttemptId { request: request.id, number },
            key: ticket_key(ticket),
            incarnation: ticket.incarnation,
            window: home.agent.window(),
        };
        let sent = Attempt::<Sent>::from_identity(
            identity,
            &home.agent,
            home.connected,
            self.config.reconnect_timeout,
        );
        match sent.void(timeout).await {
            Ok(refusal) => {
                let ticket = ticket.number.to_string().into();
                log.record(Event::TicketVoided { ticket });
                NotRun::Refused(refusal).into()
            }
            Err(AttemptEnd::DeadlinePassed) => Unknown::DeadlinePassed.into(),
            Err(end) => verdict(end),
        }
    }

    /// Mints a ticket for the backend server that routing prefers.
    pub async fn mint(&self, request: &Request) -> Result<Ticket, NotRun> {
        self.mint_excluding(request, &[]).await
    }

    /// Like [`Self::mint`], but not for the servers in `tried`.
    pub(super) async fn mint_excluding(
        &self,
        request: &Request,
        tried: &[ServerKey],
    ) -> Result<Ticket, NotRun> {
        let route_request = RouteRequest { fingerprint: request.fingerprint, tried };
        let routed = self
            .router
            .route_anywhere(&request.target, &route_request, &route_class(request), &request.prompt)
            .await
            .map_err(|_| NotRun::NoneAvailable)?;
        self.router.request_ended(routed.choice.server);
        let connected = routed.agent.connected().ok_or(NotRun::NoneAvailable)?;
        Ok(self.mint_for(request, &routed.agent, &connected))
    }

    pub(super) fn mint_for(
        &self,
        request: &Request,
        agent: &Agent,
        connected: &Connected,
    ) -> Ticket {
        let ticket = Ticket {
            agent: connected.hello.name.clone(),
            incarnation: connected.hello.incarnation,
            window: agent.window(),
            number: Uuid::now_v7(),
            workspace: request.workspace.name.to_string(),
            service: request.service_name().to_owned(),
        };
        let event = Event::TicketIssued {
            ticket: ticket.number.to_string().into(),
            backend_server: ticket.agent.as_str().into(),
        };
        self.recorder.record_with_subject(&events::subject(request), event);
        ticket
    }

    pub(super) async fn ticket_attempt(
        &self,
        progress: &mut RequestProgress<'_>,
        ticket: &Ticket,
    ) -> Result<Answer, Verdict> {
        let server = ServerKey::from_name(&ticket.agent);
        let chosen = self.home(progress.request, ticket.incarnation, server).await?;
        progress.tried.push(server);
        let end = match self.attempt(progress, &chosen, Some(ticket_key(ticket))).await {
            Ok(answer) => return Ok(answer),
            Err(end) => end,
        };
        Err(match end {
            // These refusals prove that this attempt did not run, but not that earlier ones didn't.
            AttemptEnd::Refused(refusal @ (Refusal::Expired | Refusal::WrongIncarnation)) => {
                Unknown::TicketHome(refusal).into()
            }
            end => verdict(end),
        })
    }

    /// The home of a ticket or stream: the one agent process that has its record.
    pub(super) async fn home(
        &self,
        request: &Request,
        incarnation: Incarnation,
        server: ServerKey,
    ) -> Result<Chosen, Verdict> {
        let agent = self.router.find_agent(server, request.deadline).await;
        let agent = agent.ok_or(Unknown::AgentUnreachable)?;
        let connect_deadline = request.deadline.min(Instant::now() + self.config.reconnect_timeout);
        let connected = timeout_at(connect_deadline, agent.connected_after(0)).await;
        let connected = connected.ok().flatten().ok_or(Unknown::AgentUnreachable)?;
        if !is_incarnation(&connected, incarnation) {
            // The records of the earlier process are gone. The work may have run there, so it must not
            // run anywhere else.
            return Err(Unknown::TicketHome(Refusal::WrongIncarnation).into());
        }
        Ok(Chosen { server, agent, connected, last_try: true, alone: false })
    }
}
