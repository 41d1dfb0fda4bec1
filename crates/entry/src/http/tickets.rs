//! Issues and voids tickets.

use crate::agents::Target;
use crate::http::answer::{refuse, verdict_response};
use crate::http::intake;
use crate::outcome::{NotRun, TicketRefusal, Verdict};
use crate::request::Request;
use crate::state::EntryState;
use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use flamingowheel_protocol::archive::ArchiveLookup;
use flamingowheel_protocol::id::{Fingerprint, RequestId};
use flamingowheel_protocol::ticket::Ticket;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use tokio::time::Instant;

/// Query parameters of a request for a ticket.
#[derive(Clone, Debug, Deserialize)]
pub struct TicketQuery {
    /// The service whose calls the ticket is for.
    service: String,
}

/// Response body with a new ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IssuedTicket {
    /// The ticket's text, to be sent in [`crate::http::TICKET_HEADER`].
    pub ticket: String,
}

/// Issues a ticket. This needs no other process, so it works while the key-value service is down.
pub async fn issue(
    State(state): State<Arc<EntryState>>,
    headers: HeaderMap,
    Query(query): Query<TicketQuery>,
) -> Response {
    let minted = match ticket_request(&state, &headers, &query.service) {
        Ok(request) => state.dispatcher.mint(&request).await,
        Err(not_run) => Err(not_run),
    };
    match minted {
        Ok(ticket) => {
            let ticket = ticket.to_text(&state.config.fleet_key);
            (StatusCode::CREATED, Json(IssuedTicket { ticket })).into_response()
        }
        Err(not_run) => refuse(not_run),
    }
}

/// Voids a ticket. If its work has not started, it never will, and the response says so.
pub async fn void(
    State(state): State<Arc<EntryState>>,
    headers: HeaderMap,
    Path(text): Path<String>,
) -> Response {
    let read = Ticket::from_text(&text, &state.config.fleet_key);
    let ticket = match read.map_err(TicketRefusal::Invalid) {
        Ok(ticket) => ticket,
        Err(refusal) => return refuse(refusal.into()),
    };
    let request = match ticket_request(&state, &headers, &ticket.service) {
        Ok(request) if *request.workspace.name == *ticket.workspace => request,
        Ok(_) => return refuse(TicketRefusal::OtherSubject.into()),
        Err(not_run) => return refuse(not_run),
    };
    let id = request.id;
    let mut verdict = state.dispatcher.void(request, &ticket).await;
    if let Verdict::Unknown(why) = &verdict
        && why.is_home_gone()
        && state.archive.lookup(&ticket, Fingerprint(0)).await == ArchiveLookup::NeverRan
    {
        verdict = NotRun::HomeEnded.into();
    }
    verdict_response(&verdict, Some(id), None)
}

/// A placeholder request that carries a ticket's workspace, service and deadline to the dispatcher.
fn ticket_request(
    state: &EntryState,
    headers: &HeaderMap,
    service: &str,
) -> Result<Request, NotRun> {
    let workspace = intake::workspace(state, headers)?;
    if !workspace.parameters.services.contains_key(service) {
        return Err(NotRun::UnknownService);
    }
    let deadline = intake::deadline(headers, &workspace)?;
    Ok(Request {
        id: RequestId::fresh(),
        workspace,
        target: Target::Service(service.to_owned()),
        method: String::new(),
        path: String::new(),
        content_type: None,
        body: Bytes::new(),
        idempotent: false,
        received: Instant::now(),
        deadline,
        fingerprint: Fingerprint(0),
        prompt: Vec::new(),
    })
}
