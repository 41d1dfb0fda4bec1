//! Calls to plain services, idempotent or not as the workspace's template says.

use crate::agents::Target;
use crate::events;
use crate::http::answer::{Told, give_archived, give_verdict, refuse_request, respond};
use crate::http::keys;
use crate::http::{IDEMPOTENCY_KEY_HEADER, TICKET_HEADER, intake};
use crate::outcome::{MalformedRequest, NotRun, TicketRefusal, Verdict};
use crate::request::Request;
use crate::state::{EntryState, Hold};
use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, Method, Uri, header};
use axum::response::Response;
use flamingowheel_observe::event::Event;
use flamingowheel_protocol::archive::ArchiveLookup;
use flamingowheel_protocol::id::RequestId;
use flamingowheel_protocol::ticket::Ticket;
use std::sync::Arc;
use tokio::time::Instant;

/// Takes a service call.
pub async fn call(
    State(state): State<Arc<EntryState>>,
    Path((service, path)): Path<(String, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let in_progress = state.in_progress.enter();
    let called = Called { service, path: format!("/{path}"), method, uri };
    let request = match read(&state, &headers, called, body).await {
        Ok(request) => request,
        Err(not_run) => return refuse_request(&state, &headers, not_run),
    };
    let permit = match state.admit(&request.workspace, 0.0, 0.0).await {
        Ok(permit) => permit,
        Err(not_run) => return refuse_request(&state, &headers, not_run),
    };
    let hold = Hold { in_progress, permit };
    match permission(&state, &headers, &request) {
        Ok(Permission::Ticket(ticket)) => run_ticket(&state, request, ticket, hold).await,
        Ok(Permission::Key(key)) => keys::run(&state, request, key, &headers, hold).await,
        Ok(Permission::Free) => run(&state, request, hold).await,
        Err(not_run) => refuse_request(&state, &headers, not_run),
    }
}

/// What a call runs under.
enum Permission {
    /// Each attempt gets a ticket of its own, or needs none.
    Free,
    /// A ticket that the caller brought.
    Ticket(Ticket),
    /// A key of the caller's own.
    Key(String),
}

struct Called {
    service: String,
    path: String,
    method: Method,
    uri: Uri,
}

async fn run(state: &Arc<EntryState>, request: Request, hold: Hold) -> Response {
    let id = request.id;
    let (result, ticket) = state.dispatcher.run(request).await;
    let ticket = ticket.map(|ticket| ticket.to_text(&state.config.fleet_key));
    respond(result, Told { request: id, ticket, resumable: false }, state, hold).await
}

async fn run_ticket(
    state: &Arc<EntryState>,
    request: Request,
    ticket: Ticket,
    hold: Hold,
) -> Response {
    let text = ticket.to_text(&state.config.fleet_key);
    let told = Told { request: request.id, ticket: Some(text), resumable: false };
    let fingerprint = request.fingerprint;
    let subject = events::subject(&request);
    let result = state.dispatcher.run_ticket(request, &ticket).await;
    if let Err(Verdict::Unknown(why)) = &result
        && why.is_home_gone()
    {
        match state.archive.trace(&ticket, fingerprint).await {
            ArchiveLookup::Answer(answer) => {
                let ticket = ticket.number.to_string().into();
                state.recorder.record_about(&subject, Event::TicketReplayed { ticket });
                return give_archived(answer, &told);
            }
            ArchiveLookup::NeverRan => {
                let verdict = NotRun::HomeEnded.into();
                return give_verdict(&verdict, Some(told.request), None);
            }
            ArchiveLookup::Unknown => {}
        }
    }
    respond(result, told, state, hold).await
}

async fn read(
    state: &EntryState,
    headers: &HeaderMap,
    called: Called,
    body: Body,
) -> Result<Request, NotRun> {
    let workspace = intake::workspace(state, headers)?;
    check_path(called.uri.path())?;
    let service =
        workspace.parameters.services.get(&called.service).ok_or(NotRun::UnknownService)?;
    let route =
        service.route(called.method.as_str(), &called.path).ok_or(NotRun::UnknownService)?;
    let idempotent = route.idempotent;
    let deadline = intake::deadline(headers, &workspace)?;
    let body = intake::body(state, body).await?;
    let content_type = intake::text_header(headers, header::CONTENT_TYPE.as_str())?;
    let path = match called.uri.query() {
        Some(query) => format!("{}?{query}", called.path),
        None => called.path,
    };
    let route = format!("{} {} {path}", called.service, called.method);
    let fingerprint = intake::fingerprint(state, &workspace, &route, &body);
    Ok(Request {
        id: RequestId::fresh(),
        workspace,
        target: Target::Service(called.service),
        method: called.method.to_string(),
        path,
        content_type: content_type.map(str::to_owned),
        body,
        idempotent,
        received: Instant::now(),
        deadline,
        fingerprint,
        prompt: Vec::new(),
    })
}

/// The route decides whether a call may be repeated, by the path's prefix. A service that
/// resolves dot segments or encoded separators would see another path than the one that was
/// checked, so a payout could pass for a status check; such paths are refused.
fn check_path(path: &str) -> Result<(), NotRun> {
    let plain = path.bytes().all(|byte| byte != b'%' && byte != b'\\');
    let dots = path.split('/').any(|segment| matches!(segment, "." | ".."));
    if plain && !dots && !path.contains("//") {
        return Ok(());
    }
    Err(MalformedRequest::Path.into())
}

/// What a call runs under: a non-idempotent one may bring a ticket or a key.
fn permission(
    state: &EntryState,
    headers: &HeaderMap,
    request: &Request,
) -> Result<Permission, NotRun> {
    let text = intake::text_header(headers, TICKET_HEADER)?;
    if request.idempotent {
        return match text {
            Some(_) => Err(TicketRefusal::NotNeeded.into()),
            None => Ok(Permission::Free),
        };
    }
    if let Some(text) = text {
        return own_ticket(state, request, text).map(Permission::Ticket);
    }
    let key = intake::text_header(headers, IDEMPOTENCY_KEY_HEADER)?;
    Ok(key.map_or(Permission::Free, |key| Permission::Key(key.to_owned())))
}

fn own_ticket(state: &EntryState, request: &Request, text: &str) -> Result<Ticket, NotRun> {
    let ticket =
        Ticket::from_text(text, &state.config.fleet_key).map_err(TicketRefusal::Invalid)?;
    let same =
        ticket.workspace == *request.workspace.name && ticket.service == request.service_name();
    if !same {
        return Err(TicketRefusal::OtherSubject.into());
    }
    Ok(ticket)
}
