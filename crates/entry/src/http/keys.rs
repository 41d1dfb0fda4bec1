//! Calls under a key of the caller's own.

use crate::claims::{Claim, ClaimError};
use crate::dispatch::keys::{Bound, KeyEnd, KeyHome};
use crate::events;
use crate::http::answer::{Told, give_archived, refuse_request, respond};
use crate::outcome::{NotRun, TicketRefusal};
use crate::request::Request;
use crate::state::{EntryState, Hold};
use axum::http::HeaderMap;
use axum::response::Response;
use flamingowheel_backing::BoxFuture;
use flamingowheel_observe::event::Event;
use flamingowheel_protocol::archive::ArchiveLookup;
use flamingowheel_protocol::ticket::Ticket;
use std::sync::Arc;

/// Runs a call under the ticket that the key stands for.
pub async fn run(
    state: &Arc<EntryState>,
    request: Request,
    key: String,
    headers: &HeaderMap,
    hold: Hold,
) -> Response {
    let home = Home { state, key };
    let bound = match home.bind(&request).await {
        Ok(bound) => bound,
        Err(not_run) => return refuse_request(state, headers, not_run),
    };
    let (id, subject) = (request.id, events::subject(&request));
    let (end, ticket) = state.dispatcher.run_key(request, bound, &home).await;
    let text = ticket.to_text(&state.config.fleet_key);
    let told = Told { request: id, ticket: Some(text), resumable: false };
    let result = match end {
        Ok(answer) => Ok(answer),
        Err(KeyEnd::Told(verdict)) => Err(verdict),
        Err(KeyEnd::Archived(answer)) => {
            let ticket = ticket.number.to_string().into();
            state.recorder.record_about(&subject, Event::TicketReplayed { ticket });
            return give_archived(answer, &told);
        }
    };
    respond(result, told, state, hold).await
}

/// Where a key's record is.
struct Home<'a> {
    state: &'a EntryState,
    key: String,
}

impl Home<'_> {
    /// The ticket that the key stands for; a new one if the key is new.
    async fn bind(&self, request: &Request) -> Result<Bound, NotRun> {
        let state = self.state;
        let minted = state.dispatcher.mint(request).await?;
        let fingerprint = format!("{:032x}", request.fingerprint.0);
        let claim = Claim::new(minted.to_text(&state.config.fleet_key), fingerprint.clone());
        let workspace = &request.workspace.name;
        let binding = state.claims.bind(workspace, &self.key, claim, request.deadline).await;
        let claim = binding.map_err(not_checked)?;
        if claim.fingerprint != fingerprint {
            return Err(NotRun::KeyMismatch);
        }
        self.read(request, claim)
    }

    fn read(&self, request: &Request, claim: Claim) -> Result<Bound, NotRun> {
        let ticket = Ticket::from_text(&claim.ticket, &self.state.config.fleet_key)
            .map_err(TicketRefusal::Invalid)?;
        let event = Event::TicketBound { ticket: ticket.number.to_string().into() };
        self.state.recorder.record_about(&events::subject(request), event);
        Ok(Bound { claim, ticket })
    }
}

impl KeyHome for Home<'_> {
    fn trace<'a>(
        &'a self,
        request: &'a Request,
        ticket: &'a Ticket,
    ) -> BoxFuture<'a, ArchiveLookup> {
        Box::pin(self.state.archive.trace(ticket, request.fingerprint))
    }

    fn rebind<'a>(
        &'a self,
        request: &'a Request,
        old: &'a Claim,
        minted: Ticket,
    ) -> BoxFuture<'a, Result<Bound, NotRun>> {
        Box::pin(async move {
            let claim = old.successor(minted.to_text(&self.state.config.fleet_key));
            let (workspace, old) = (&request.workspace.name, old.clone());
            let claims = &self.state.claims;
            let binding = claims.rebind(workspace, &self.key, old, claim, request.deadline).await;
            self.read(request, binding.map_err(not_checked)?)
        })
    }
}

fn not_checked(error: ClaimError) -> NotRun {
    tracing::warn!(%error, "idempotency key not bound");
    NotRun::KeyNotChecked
}
