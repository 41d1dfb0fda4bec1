//! Resumes an event stream that this or another entry started.

use crate::http::answer::{ResponseMeta, refuse, respond};
use crate::http::{LAST_EVENT_HEADER, intake};
use crate::outcome::{MalformedRequest, NotRun};
use crate::state::{Admission, EntryState};
use axum::extract::{Path, State};
use axum::http::HeaderMap;
use axum::response::Response;
use flamingowheel_protocol::ticket::StreamToken;
use std::sync::Arc;

/// Sends the events after the last one that the caller received.
pub async fn resume(
    State(state): State<Arc<EntryState>>,
    Path(text): Path<String>,
    headers: HeaderMap,
) -> Response {
    // The entry that started the stream has admitted the request, so it counts against no limit here.
    let admission = Admission { in_progress: state.in_progress.enter(), permit: None };
    let (token, from_chunk) = match read(&state, &headers, &text) {
        Ok(read) => read,
        Err(not_run) => return refuse(not_run),
    };
    let workspace = match intake::workspace(&state, &headers) {
        Ok(workspace) if *workspace.name == *token.workspace => workspace,
        Ok(_) => return refuse(NotRun::Unauthorised),
        Err(not_run) => return refuse(not_run),
    };
    let deadline = match intake::deadline(&headers, &workspace) {
        Ok(deadline) => deadline,
        Err(not_run) => return refuse(not_run),
    };
    let meta = ResponseMeta { request: token.request, ticket: None, resumable: true };
    let answer = state.dispatcher.resume_stream(workspace, &token, from_chunk, deadline).await;
    respond(answer, meta, &state, admission).await
}

fn read(state: &EntryState, headers: &HeaderMap, text: &str) -> Result<(StreamToken, u64), NotRun> {
    let token = StreamToken::from_text(text, &state.config.fleet_key)
        .map_err(|_| MalformedRequest::StreamToken)?;
    let from_chunk = match intake::text_header(headers, LAST_EVENT_HEADER)? {
        Some(last) => {
            let last: u64 =
                last.parse().map_err(|_| MalformedRequest::Header(LAST_EVENT_HEADER))?;
            last.saturating_add(1)
        }
        None => 0,
    };
    Ok((token, from_chunk))
}
