//! Goes on with an event stream that another entry had begun.

use crate::http::answer::{Told, refuse, respond};
use crate::http::{LAST_EVENT_HEADER, intake};
use crate::outcome::{MalformedRequest, NotRun};
use crate::state::{EntryState, Hold};
use axum::extract::{Path, State};
use axum::http::HeaderMap;
use axum::response::Response;
use flamingowheel_protocol::ticket::StreamToken;
use std::sync::Arc;

/// Sends the events after the last one that the caller has.
pub async fn resume(
    State(state): State<Arc<EntryState>>,
    Path(text): Path<String>,
    headers: HeaderMap,
) -> Response {
    // The request was admitted by the entry that began it, so it counts against no limit here.
    let hold = Hold { in_progress: state.in_progress.enter(), permit: None };
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
    let told = Told { request: token.request, ticket: None, resumable: true };
    let answer = state.dispatcher.go_on(workspace, &token, from_chunk, deadline).await;
    respond(answer, told, &state, hold).await
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
