//! Work that only one agent process can answer for: tickets, and streams that had begun.

use super::{Chosen, Dispatcher, FIRST_ADOPTED, Journey, route_class, ticket_key, verdict};
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
    /// Runs a request under a ticket: at the one agent process that the ticket names, or nowhere.
    pub async fn run_ticket(&self, request: Request, ticket: &Ticket) -> Result<Answer, Verdict> {
        let mut journey = self.journey(&request);
        let result = self.ticket_attempt(&mut journey, ticket).await;
        if let Err(verdict) = &result {
            self.conclude(&journey, verdict);
        }
        result
    }

    /// Goes on with an answer that another entry had begun, from the given chunk on.
    pub async fn go_on(
        &self,
        workspace: Arc<EffectiveWorkspace>,
        token: &StreamToken,
        from_chunk: u64,
        deadline: Instant,
    ) -> Result<Answer, Verdict> {
        let request = Request::of_stream(workspace, token.request, deadline);
        let log = self.recorder.about(events::subject(&request));
        let server = ServerKey::from_name(&token.agent);
        let home = self.home(&request, token.incarnation, server).await?;
        // An attempt number of its own: the entry that began the stream may still live, and its
        // cancel must not take this listener off.
        let number = rand::random_range(FIRST_ADOPTED..u32::MAX);
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
        let limit = self.config.reconnect_timeout;
        let mut sent = Attempt::<Sent>::adopt(identity, &home.agent, home.connected, limit);
        sent.ask(from_chunk).await;
        let begun = sent.begin(deadline, from_chunk).await;
        let (head, attempt) = begun.map_err(|(end, _)| match end {
            // Nothing is known of the stream: it was begun, so it may have run.
            AttemptEnd::Refused(refusal) => Unknown::StreamGone(refusal).into(),
            end => verdict(end),
        })?;
        // The body is not known here, so it can't be sent to a new agent process.
        let origin = Origin { server, attempts: 1, can_resume: false };
        let router = Arc::clone(&self.router);
        Ok(Answer::new(request, head, attempt, origin, router, log, limit))
    }

    /// Gives a ticket up. The verdict is proof that it did not run and won't, or it is unknown.
    pub async fn void(&self, request: Request, ticket: &Ticket) -> Verdict {
        let limit = Duration::from_millis(request.remaining_ms());
        self.give_up_ticket(&request, ticket, limit).await
    }

    pub(super) async fn give_up_ticket(
        &self,
        request: &Request,
        ticket: &Ticket,
        limit: Duration,
    ) -> Verdict {
        let log = self.recorder.about(events::subject(request));
        let server = ServerKey::from_name(&ticket.agent);
        let home = match self.home(request, ticket.incarnation, server).await {
            Ok(home) => home,
            Err(verdict) => return verdict,
        };
        // A number that no attempt of the request has: it is told "cancelled" and never runs.
        let number = rand::random_range(FIRST_ADOPTED..u32::MAX);
        let identity = Identity {
            attempt: AttemptId { request: request.id, number },
            key: ticket_key(ticket),
            incarnation: ticket.incarnation,
            window: home.agent.window(),
        };
        let sent = Attempt::<Sent>::adopt(
            identity,
            &home.agent,
            home.connected,
            self.config.reconnect_timeout,
        );
        match sent.void(limit).await {
            Ok(refusal) => {
                let ticket = ticket.number.to_string().into();
                log.record(Event::TicketVoided { ticket });
                NotRun::Refused(refusal).into()
            }
            Err(AttemptEnd::DeadlinePassed) => Unknown::DeadlinePassed.into(),
            Err(end) => verdict(end),
        }
    }

    /// Mints a ticket for a backend server that is likely to have room.
    pub async fn mint(&self, request: &Request) -> Result<Ticket, NotRun> {
        self.mint_beside(request, &[]).await
    }

    /// The same, at none of these.
    pub(super) async fn mint_beside(
        &self,
        request: &Request,
        tried: &[ServerKey],
    ) -> Result<Ticket, NotRun> {
        let question = RouteRequest { fingerprint: request.fingerprint, tried };
        let routed = self
            .router
            .route_anywhere(&request.target, &question, &route_class(request), &request.prompt)
            .await
            .map_err(|_| NotRun::NoneAvailable)?;
        self.router.ended(routed.choice.server);
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
        self.recorder.record_about(&events::subject(request), event);
        ticket
    }

    pub(super) async fn ticket_attempt(
        &self,
        journey: &mut Journey<'_>,
        ticket: &Ticket,
    ) -> Result<Answer, Verdict> {
        let server = ServerKey::from_name(&ticket.agent);
        let chosen = self.home(journey.request, ticket.incarnation, server).await?;
        journey.tried.push(server);
        let end = match self.attempt(journey, &chosen, Some(ticket_key(ticket))).await {
            Ok(answer) => return Ok(answer),
            Err(end) => end,
        };
        Err(match end {
            // These say that this attempt does not run, but nothing of earlier ones.
            AttemptEnd::Refused(refusal @ (Refusal::Expired | Refusal::WrongIncarnation)) => {
                Unknown::TicketHome(refusal).into()
            }
            end => verdict(end),
        })
    }

    /// The one agent process that can tell.
    pub(super) async fn home(
        &self,
        request: &Request,
        incarnation: Incarnation,
        server: ServerKey,
    ) -> Result<Chosen, Verdict> {
        let agent = self.router.called(server, request.deadline).await;
        let agent = agent.ok_or(Unknown::AgentUnreachable)?;
        let limit = request.deadline.min(Instant::now() + self.config.reconnect_timeout);
        let connected = timeout_at(limit, agent.connected_after(0)).await;
        let connected = connected.ok().flatten().ok_or(Unknown::AgentUnreachable)?;
        if !is_incarnation(&connected, incarnation) {
            // Its records are gone: the work may have run there, and must run nowhere else.
            return Err(Unknown::TicketHome(Refusal::WrongIncarnation).into());
        }
        Ok(Chosen { server, agent, connected, last_try: true, alone: false })
    }
}
