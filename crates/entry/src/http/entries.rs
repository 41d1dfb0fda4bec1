//! Lists the entries that a workspace should use.

use crate::addresses::demand;
use crate::http::answer::refuse;
use crate::http::intake::workspace_by_name_or_token;
use crate::outcome::{MalformedRequest, NotRun};
use crate::state::EntryState;
use axum::Json;
use axum::extract::{Query, State};
use axum::http::HeaderMap;
use axum::response::{IntoResponse, Response};
use serde::Deserialize;
use std::sync::Arc;

/// Query parameters of the request.
#[derive(Clone, Debug, Deserialize)]
pub struct EntriesQuery {
    /// The workspace; optional if the request carries its token.
    workspace: Option<String>,
    /// The caller's data centre; defaults to the entry's own.
    data_centre: Option<String>,
}

/// Returns the addresses that a workspace's callers should use, in order of preference.
pub async fn list(
    State(state): State<Arc<EntryState>>,
    headers: HeaderMap,
    Query(query): Query<EntriesQuery>,
) -> Response {
    let effective = state.effective.load();
    let named = query.workspace.as_deref();
    let Some(workspace) = workspace_by_name_or_token(&effective, named, &headers) else {
        return match named {
            Some(_) => refuse(NotRun::Unauthorised),
            None => refuse(NotRun::Malformed(MalformedRequest::Query("workspace"))),
        };
    };
    let (scopes, rate_per_s) = demand(workspace);
    let data_centre = query.data_centre.as_deref().unwrap_or(&state.config.data_centre);
    let answer = state.addresses.load().answer(
        &workspace.name,
        &scopes,
        rate_per_s,
        data_centre,
        state.config.address_ttl,
    );
    Json(answer).into_response()
}
