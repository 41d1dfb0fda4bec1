//! Answers the address question.

use crate::agents::Target;
use crate::http::answer::refuse;
use crate::http::intake::workspace_by_name_or_token;
use crate::outcome::{MalformedRequest, NotRun};
use crate::state::EntryState;
use axum::Json;
use axum::extract::{Query, State};
use axum::http::HeaderMap;
use axum::response::{IntoResponse, Response};
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_policy::key::ScopeKey;
use serde::Deserialize;
use std::sync::Arc;

/// Expected of a workspace without a limit, in requests a second.
const DEFAULT_RATE_PER_S: f64 = 10.0;

/// Parameters of the question.
#[derive(Clone, Debug, Deserialize)]
pub struct Question {
    /// The workspace; may be left out if the request carries its token.
    workspace: Option<String>,
    /// The caller's data centre; the entry's own if left out.
    data_centre: Option<String>,
}

/// Gives the addresses that a workspace's callers should use, in order.
pub async fn give(
    State(state): State<Arc<EntryState>>,
    headers: HeaderMap,
    Query(question): Query<Question>,
) -> Response {
    let effective = state.effective.load();
    let named = question.workspace.as_deref();
    let Some(workspace) = workspace_by_name_or_token(&effective, named, &headers) else {
        return match named {
            Some(_) => refuse(NotRun::Unauthorised),
            None => refuse(NotRun::Malformed(MalformedRequest::Query("workspace"))),
        };
    };
    let limits = &workspace.parameters.limits;
    let rate_per_s = limits.requests_per_s.map_or(DEFAULT_RATE_PER_S, f64::from);
    let data_centre = question.data_centre.as_deref().unwrap_or(&state.config.data_centre);
    let answer = state.addresses.load().answer(
        &workspace.name,
        &scopes(workspace),
        rate_per_s,
        data_centre,
        state.config.address_ttl,
    );
    Json(answer).into_response()
}

/// The scopes of all models and services that the workspace uses.
fn scopes(workspace: &EffectiveWorkspace) -> Vec<ScopeKey> {
    let models = workspace.parameters.models.keys().cloned().map(Target::Model);
    let services = workspace.parameters.services.keys().cloned().map(Target::Service);
    models.chain(services).map(|target| target.scope()).collect()
}
