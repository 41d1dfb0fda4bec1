//! Reads the common parts of requests: workspace, deadline, headers and body.

use crate::http::TIMEOUT_HEADER;
use crate::outcome::{MalformedRequest, NotRun};
use crate::state::EntryState;
use axum::body::Body;
use axum::http::{HeaderMap, header};
use bytes::Bytes;
use flamingowheel_config::effective::{EffectiveConfig, EffectiveWorkspace};
use flamingowheel_policy::key::{Fingerprint, WorkspaceKey};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The workspace whose token the request carries.
pub fn workspace(
    state: &EntryState,
    headers: &HeaderMap,
) -> Result<Arc<EffectiveWorkspace>, NotRun> {
    // A process that has just started, or was suspended for a while, may have an outdated
    // configuration: a workspace's limits or routes could have changed since.
    if !state.node.may_serve() {
        return Err(NotRun::NotReady);
    }
    let token = bearer(headers).ok_or(NotRun::Unauthorised)?;
    let effective = state.effective.load();
    effective.workspace_by_token(token).cloned().ok_or(NotRun::Unauthorised)
}

/// The workspace called `name`, or without a name the one whose token the request carries.
pub fn workspace_by_name_or_token<'a>(
    effective: &'a EffectiveConfig,
    name: Option<&str>,
    headers: &HeaderMap,
) -> Option<&'a Arc<EffectiveWorkspace>> {
    match name {
        Some(name) => effective.workspace(name),
        None => effective.workspace_by_token(bearer(headers)?),
    }
}

fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    headers.get(header::AUTHORIZATION)?.as_bytes().strip_prefix(b"Bearer ")
}

/// A header's value as text; `None` if the header is absent.
pub fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, NotRun> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| MalformedRequest::Header(name))?;
    Ok(Some(text))
}

/// Deadline for the answer to begin: the caller's timeout, but at most the workspace's.
pub fn deadline(headers: &HeaderMap, workspace: &EffectiveWorkspace) -> Result<Instant, NotRun> {
    let max_ms = workspace.parameters.deadline_ms;
    let requested_ms = match text_header(headers, TIMEOUT_HEADER)? {
        Some(text) => text.parse().map_err(|_| MalformedRequest::Header(TIMEOUT_HEADER))?,
        None => max_ms,
    };
    Ok(Instant::now() + Duration::from_millis(requested_ms.min(max_ms)))
}

/// Reads the body to its end, within the entry's size limit and timeout.
pub async fn body(state: &EntryState, body: Body) -> Result<Bytes, NotRun> {
    let limit_bytes = state.config.max_body_bytes;
    let reading = Limited::new(body, limit_bytes).collect();
    match timeout(state.config.body_timeout, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            Err(NotRun::TooLarge { limit_bytes })
        }
        Ok(Err(_)) | Err(_) => Err(MalformedRequest::BodyIncomplete.into()),
    }
}

/// Hash of workspace, route and body, with a seed that is secret outside the fleet.
pub fn fingerprint(
    state: &EntryState,
    workspace: &EffectiveWorkspace,
    route: &str,
    body: &[u8],
) -> Fingerprint {
    let workspace = WorkspaceKey::from_name(&workspace.name);
    Fingerprint::of(state.config.fingerprint_seed, workspace, route, body)
}
