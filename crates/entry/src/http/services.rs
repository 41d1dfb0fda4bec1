//! Calls to plain services. The workspace's template defines which routes are idempotent.

use crate::agents::Target;
use crate::events;
use crate::http::answer::{
    ResponseMeta, archived_response, refuse_request, respond, verdict_response,
};
use crate::http::keys;
use crate::http::{IDEMPOTENCY_KEY_HEADER, TICKET_HEADER, intake};
use crate::outcome::{MalformedRequest, NotRun, TicketRefusal, Verdict};
use crate::request::Request;
use crate::state::{Admission, EntryState};
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

/// Handles a service call.
pub async fn call(
    State(state): State<Arc<EntryState>>,
    Path((service, path)): Path<(String, String)>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let in_progress = state.in_progress.enter();
    let call = ServiceCall { service, path: format!("/{path}"), method, uri };
    let request = match read(&state, &headers, call, body).await {
        Ok(request) => request,
        Err(not_run) => return refuse_request(&state, &headers, not_run),
    };
    let permit = match state.admit(&request.workspace, 0.0, 0.0).await {
        Ok(permit) => permit,
        Err(not_run) => return refuse_request(&state, &headers, not_run),
    };
    let admission = Admission { in_progress, permit };
    match ticket_source(&state, &headers, &request) {
        Ok(TicketSource::Ticket(ticket)) => run_ticket(&state, request, ticket, admission).await,
        Ok(TicketSource::Key(key)) => keys::run(&state, request, key, &headers, admission).await,
        Ok(TicketSource::None) => run(&state, request, admission).await,
        Err(not_run) => refuse_request(&state, &headers, not_run),
    }
}

/// Under which ticket a call runs.
enum TicketSource {
    /// Neither ticket nor key: each attempt of a non-idempotent call gets a ticket of its own.
    None,
    /// A ticket sent by the caller.
    Ticket(Ticket),
    /// The ticket that the caller's idempotency key is bound to.
    Key(String),
}

struct ServiceCall {
    service: String,
    path: String,
    method: Method,
    uri: Uri,
}

async fn run(state: &Arc<EntryState>, request: Request, admission: Admission) -> Response {
    let id = request.id;
    let (result, ticket) = state.dispatcher.run(request).await;
    let ticket = ticket.map(|ticket| ticket.to_text(&state.config.fleet_key));
    respond(result, ResponseMeta { request: id, ticket, resumable: false }, state, admission).await
}

async fn run_ticket(
    state: &Arc<EntryState>,
    request: Request,
    ticket: Ticket,
    admission: Admission,
) -> Response {
    let text = ticket.to_text(&state.config.fleet_key);
    let meta = ResponseMeta { request: request.id, ticket: Some(text), resumable: false };
    let fingerprint = request.fingerprint;
    let subject = events::subject(&request);
    let result = state.dispatcher.run_ticket(request, &ticket).await;
    if let Err(Verdict::Unknown(why)) = &result
        && why.is_home_gone()
    {
        match state.archive.lookup(&ticket, fingerprint).await {
            ArchiveLookup::Answer(answer) => {
                let ticket = ticket.number.to_string().into();
                state.recorder.record_with_subject(&subject, Event::TicketReplayed { ticket });
                return archived_response(answer, &meta);
            }
            ArchiveLookup::NeverRan => {
                let verdict = NotRun::HomeEnded.into();
                return verdict_response(&verdict, Some(meta.request), None);
            }
            ArchiveLookup::Unknown => {}
        }
    }
    respond(result, meta, state, admission).await
}

async fn read(
    state: &EntryState,
    headers: &HeaderMap,
    call: ServiceCall,
    body: Body,
) -> Result<Request, NotRun> {
    let workspace = intake::workspace(state, headers)?;
    check_path(call.uri.path())?;
    let service = workspace.parameters.services.get(&call.service).ok_or(NotRun::UnknownService)?;
    let route = service.route(call.method.as_str(), &call.path).ok_or(NotRun::UnknownService)?;
    let idempotent = route.idempotent;
    let deadline = intake::deadline(headers, &workspace)?;
    let body = intake::body(state, body).await?;
    let content_type = intake::text_header(headers, header::CONTENT_TYPE.as_str())?;
    let path = match call.uri.query() {
        Some(query) => format!("{}?{query}", call.path),
        None => call.path,
    };
    let route = format!("{} {} {path}", call.service, call.method);
    let fingerprint = intake::fingerprint(state, &workspace, &route, &body);
    Ok(Request {
        id: RequestId::fresh(),
        workspace,
        target: Target::Service(call.service),
        method: call.method.to_string(),
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

/// Refuses paths with dot segments, empty segments or escapes. Whether a call is idempotent is
/// decided by the path's prefix. A service that resolves dot segments or encoded separators would
/// see another path than the one checked here, so a payout could pass for a status check.
fn check_path(path: &str) -> Result<(), NotRun> {
    let plain = path.bytes().all(|byte| byte != b'%' && byte != b'\\');
    let dots = path.split('/').any(|segment| matches!(segment, "." | ".."));
    if plain && !dots && !path.contains("//") {
        return Ok(());
    }
    Err(MalformedRequest::Path.into())
}

/// Reads the ticket or idempotency key that a non-idempotent call may carry.
fn ticket_source(
    state: &EntryState,
    headers: &HeaderMap,
    request: &Request,
) -> Result<TicketSource, NotRun> {
    let text = intake::text_header(headers, TICKET_HEADER)?;
    if request.idempotent {
        return match text {
            Some(_) => Err(TicketRefusal::NotNeeded.into()),
            None => Ok(TicketSource::None),
        };
    }
    if let Some(text) = text {
        return parse_ticket(state, request, text).map(TicketSource::Ticket);
    }
    let key = intake::text_header(headers, IDEMPOTENCY_KEY_HEADER)?;
    Ok(key.map_or(TicketSource::None, |key| TicketSource::Key(key.to_owned())))
}

fn parse_ticket(state: &EntryState, request: &Request, text: &str) -> Result<Ticket, NotRun> {
    let ticket =
        Ticket::from_text(text, &state.config.fleet_key).map_err(TicketRefusal::Invalid)?;
    let is_for_request =
        ticket.workspace == *request.workspace.name && ticket.service == request.service_name();
    if !is_for_request {
        return Err(TicketRefusal::OtherSubject.into());
    }
    Ok(ticket)
}
