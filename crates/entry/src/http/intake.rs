//! Reads callers' requests: who they are, their deadline, their body.

use crate::http::TIMEOUT_HEADER;
use crate::outcome::{MalformedRequest, NotRun};
use crate::state::EntryState;
use axum::body::Body;
use axum::http::{HeaderMap, header};
use bytes::Bytes;
use flamingowheel_config::effective::{Effective, EffectiveWorkspace};
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
    // A process that has just started, or stood still for a while, may know an old configuration
    // only: a workspace's limits or routes could since have changed.
    if !state.node.may_serve() {
        return Err(NotRun::NotReady);
    }
    let token = bearer(headers).ok_or(NotRun::Unauthorised)?;
    let effective = state.effective.load();
    effective.workspace_by_token(token).cloned().ok_or(NotRun::Unauthorised)
}

/// The workspace that is named, or else the one whose token the request carries.
pub fn workspace_by_name_or_token<'a>(
    effective: &'a Effective,
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

/// A header's value as text, if the header is there.
pub fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, NotRun> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| MalformedRequest::Header(name))?;
    Ok(Some(text))
}

/// When the caller gives up waiting for the answer to begin: its own word, but no longer than the
/// workspace allows.
pub fn deadline(headers: &HeaderMap, workspace: &EffectiveWorkspace) -> Result<Instant, NotRun> {
    let longest_ms = workspace.parameters.deadline_ms;
    let asked_ms = match text_header(headers, TIMEOUT_HEADER)? {
        Some(text) => text.parse().map_err(|_| MalformedRequest::Header(TIMEOUT_HEADER))?,
        None => longest_ms,
    };
    Ok(Instant::now() + Duration::from_millis(asked_ms.min(longest_ms)))
}

/// Reads the whole body within the entry's limits of size and time.
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

/// Hash of workspace, route and body, with a seed that only the fleet knows.
pub fn fingerprint(
    state: &EntryState,
    workspace: &EffectiveWorkspace,
    route: &str,
    body: &[u8],
) -> Fingerprint {
    let workspace = WorkspaceKey::from_name(&workspace.name);
    Fingerprint::of(state.config.fingerprint_seed, workspace, route, body)
}
