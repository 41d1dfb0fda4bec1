//! Calls with an idempotency key chosen by the caller.

use crate::claims::{Claim, ClaimError};
use crate::dispatch::keys::{BoundKey, KeyEnd, KeyRecords};
use crate::events;
use crate::http::answer::{ResponseMeta, archived_response, refuse_request, respond};
use crate::outcome::{NotRun, TicketRefusal};
use crate::request::Request;
use crate::state::{Admission, EntryState};
use axum::http::HeaderMap;
use axum::response::Response;
use flamingowheel_backing::BoxFuture;
use flamingowheel_observe::event::Event;
use flamingowheel_protocol::archive::ArchiveLookup;
use flamingowheel_protocol::ticket::Ticket;
use std::sync::Arc;

/// Runs a call under the ticket that the key is bound to.
pub async fn run(
    state: &Arc<EntryState>,
    request: Request,
    key: String,
    headers: &HeaderMap,
    admission: Admission,
) -> Response {
    let records = StoredKey { state, key };
    let bound = match records.bind(&request).await {
        Ok(bound) => bound,
        Err(not_run) => return refuse_request(state, headers, not_run),
    };
    let (id, subject) = (request.id, events::subject(&request));
    let (end, ticket) = state.dispatcher.run_key(request, bound, &records).await;
    let text = ticket.to_text(&state.config.fleet_key);
    let meta = ResponseMeta { request: id, ticket: Some(text), resumable: false };
    let result = match end {
        Ok(answer) => Ok(answer),
        Err(KeyEnd::Verdict(verdict)) => Err(verdict),
        Err(KeyEnd::Archived(answer)) => {
            let ticket = ticket.number.to_string().into();
            state.recorder.record_with_subject(&subject, Event::TicketReplayed { ticket });
            return archived_response(answer, &meta);
        }
    };
    respond(result, meta, state, admission).await
}

/// A caller's key and access to its record.
struct StoredKey<'a> {
    state: &'a EntryState,
    key: String,
}

impl StoredKey<'_> {
    /// The ticket that the key is bound to; a new one if the key is new.
    async fn bind(&self, request: &Request) -> Result<BoundKey, NotRun> {
        let state = self.state;
        let minted = state.dispatcher.mint(request).await?;
        let fingerprint = format!("{:032x}", request.fingerprint.0);
        let claim = Claim::new(minted.to_text(&state.config.fleet_key), fingerprint.clone());
        let workspace = &request.workspace.name;
        let binding = state.claims.bind(workspace, &self.key, claim, request.deadline).await;
        let claim = binding.map_err(not_bound)?;
        if claim.fingerprint != fingerprint {
            return Err(NotRun::KeyMismatch);
        }
        self.parse(request, claim)
    }

    fn parse(&self, request: &Request, claim: Claim) -> Result<BoundKey, NotRun> {
        let ticket = Ticket::from_text(&claim.ticket, &self.state.config.fleet_key)
            .map_err(TicketRefusal::Invalid)?;
        let event = Event::TicketBound { ticket: ticket.number.to_string().into() };
        self.state.recorder.record_with_subject(&events::subject(request), event);
        Ok(BoundKey { claim, ticket })
    }
}

impl KeyRecords for StoredKey<'_> {
    fn lookup<'a>(
        &'a self,
        request: &'a Request,
        ticket: &'a Ticket,
    ) -> BoxFuture<'a, ArchiveLookup> {
        Box::pin(self.state.archive.lookup(ticket, request.fingerprint))
    }

    fn rebind<'a>(
        &'a self,
        request: &'a Request,
        old: &'a Claim,
        minted: Ticket,
    ) -> BoxFuture<'a, Result<BoundKey, NotRun>> {
        Box::pin(async move {
            let claim = old.successor(minted.to_text(&self.state.config.fleet_key));
            let (workspace, old) = (&request.workspace.name, old.clone());
            let claims = &self.state.claims;
            let binding = claims.rebind(workspace, &self.key, old, claim, request.deadline).await;
            self.parse(request, binding.map_err(not_bound)?)
        })
    }
}

fn not_bound(error: ClaimError) -> NotRun {
    tracing::warn!(%error, "can't bind idempotency key");
    NotRun::KeyNotChecked
}
