//! HTTP endpoints of an entry besides callers' requests: the directory, readiness and metrics.

use crate::feed::mirror::Mirror;
use crate::metrics::Metrics;
use crate::suspects::Suspects;
use crate::view::Views;
use axum::Router;
use axum::extract::{RawQuery, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use flamingowheel_platform::{READY_PATH, RESOLVE_PATH, ResolveAnswer, directory};
use flamingowheel_policy::suspicion::{CrashRecord, SuspectRecord, Verdict};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How long callers may cache an answer. An entry that leaves serves requests for this long.
pub const DIRECTORY_TTL_MS: u64 = 2_000;

/// State shared by the handlers.
#[derive(Clone, Debug)]
pub struct Info {
    /// The newest view.
    pub views: Views,
    /// This entry's address for callers.
    pub callers: SocketAddr,
    /// Cancelled when this entry starts to leave.
    pub leaving: CancellationToken,
    /// This entry's copy of the key-value store.
    pub mirror: Arc<Mirror>,
    /// This entry's metrics.
    pub metrics: Arc<Metrics>,
    /// What crashes backend servers.
    pub suspects: Arc<Suspects>,
}

/// Router of the directory, from which callers learn the entries' addresses.
pub fn directory(info: Info) -> Router {
    Router::new().route(RESOLVE_PATH, get(resolve)).with_state(info)
}

/// Router of the readiness check, the metrics and the list of suspects.
pub fn readiness(info: Info) -> Router {
    let router = Router::new().route(READY_PATH, get(ready)).route("/metrics", get(metrics));
    router.route("/suspects", get(suspects)).with_state(info)
}

/// A suspect, as operators see it.
#[derive(Debug, Serialize)]
struct SuspectEntry {
    fingerprint: String,
    kind: &'static str,
    /// The id of a part of prompts; `null` unless this entry has had a request with it.
    part: Option<String>,
    state: &'static str,
    /// Time after which it may be sent again, in seconds.
    retry_after_s: Option<u64>,
    /// Keys of the backend servers that crashed under it.
    crashed: Vec<String>,
    /// Crashes of which a finished run has cleared it.
    cleared: usize,
}

async fn suspects(State(info): State<Info>) -> Json<Vec<SuspectEntry>> {
    let entry = |(record, verdict): (SuspectRecord, Verdict)| {
        let (state, retry_after_s) = match verdict {
            Verdict::Clear => ("cleared", None),
            Verdict::Alone { .. } => ("suspect", None),
            Verdict::Refused { retry_after } => ("refused", Some(retry_after.as_secs())),
        };
        let (cleared, open): (Vec<&CrashRecord>, Vec<&CrashRecord>) =
            record.crashes.iter().partition(|crash| crash.cleared);
        SuspectEntry {
            fingerprint: record.fingerprint.to_string(),
            kind: record.fingerprint.kind().name(),
            part: info.suspects.part_id(record.fingerprint),
            state,
            retry_after_s,
            crashed: open.iter().map(|crash| format!("{:016x}", crash.crash.server.0)).collect(),
            cleared: cleared.len(),
        }
    };
    Json(info.suspects.records().into_iter().map(entry).collect())
}

async fn ready(State(info): State<Info>) -> StatusCode {
    if info.leaving.is_cancelled() || info.views.load().configuration.is_none() {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}

/// Returns the addresses of all live entries, those in the caller's data centre first.
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
        // As long as the view has no entry, not even this one, this one is the only entry known to
        // be alive.
        addresses.push(info.callers);
    }
    if addresses.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(ResolveAnswer::new(addresses, DIRECTORY_TTL_MS)).into_response()
}

async fn metrics(State(info): State<Info>) -> Response {
    let view = info.views.load();
    if let Some(configuration) = &view.configuration {
        info.metrics.set_configuration(configuration.version, view.in_force.as_ref());
    }
    let now = Instant::now();
    info.metrics.set_store_age(info.mirror.age(now));
    for (service, servers) in &view.servers {
        let cold = servers.iter().filter(|server| !server.cold_left(now).is_zero());
        info.metrics.set_cold_servers(service, cold.count());
    }
    match info.metrics.text() {
        Ok(text) => text.into_response(),
        Err(error) => {
            tracing::error!(%error, "metrics can't be written");
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
    }
}
