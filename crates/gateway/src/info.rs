//! What an entry answers besides requests: the directory, its readiness and its metrics.

use crate::metrics::Metrics;
use crate::view::Views;
use axum::Router;
use axum::extract::{RawQuery, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use flamingowheel_platform::{READY_PATH, RESOLVE_PATH, ResolveAnswer, directory};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// How long callers keep an answer. An entry that leaves goes on serving for as long.
pub const DIRECTORY_TTL_MS: u64 = 2_000;

/// What the answers are made from.
#[derive(Clone, Debug)]
pub struct Info {
    /// The newest view.
    pub views: Views,
    /// Where callers connect to this entry.
    pub callers: SocketAddr,
    /// Fires when this entry is to leave.
    pub leaving: CancellationToken,
    /// This entry's metrics.
    pub metrics: Arc<Metrics>,
}

/// The callers' question for addresses.
pub fn directory(info: Info) -> Router {
    Router::new().route(RESOLVE_PATH, get(resolve)).with_state(info)
}

/// The readiness check.
pub fn readiness(info: Info) -> Router {
    Router::new().route(READY_PATH, get(ready)).route("/metrics", get(metrics)).with_state(info)
}

async fn ready(State(info): State<Info>) -> StatusCode {
    if info.leaving.is_cancelled() || info.views.load().configuration.is_none() {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}

/// Names all live entries, those of the caller's data centre first.
async fn resolve(State(info): State<Info>, RawQuery(query): RawQuery) -> Response {
    let question = directory::parse_query(query.as_deref().unwrap_or(""));
    let view = info.views.load();
    let mut entries: Vec<_> = view
        .entries
        .values()
        .map(|entry| (Some(&entry.data_centre) != question.data_centre.as_ref(), entry.callers))
        .collect();
    entries.sort();
    let mut addresses: Vec<SocketAddr> = entries.into_iter().map(|(_, callers)| callers).collect();
    if info.leaving.is_cancelled() {
        addresses.retain(|address| *address != info.callers);
    } else if addresses.is_empty() {
        // Before this entry knows of any, itself included, it is the one that surely lives.
        addresses.push(info.callers);
    }
    if addresses.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(ResolveAnswer::new(addresses, DIRECTORY_TTL_MS)).into_response()
}

async fn metrics(State(info): State<Info>) -> Response {
    if let Some(configuration) = &info.views.load().configuration {
        info.metrics.set_configuration_version(configuration.version);
    }
    match info.metrics.text() {
        Ok(text) => text.into_response(),
        Err(error) => {
            tracing::error!(%error, "metrics can't be written");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
