//! HTTP endpoints of an entry besides callers' requests: the directory, readiness and metrics.

use crate::directory::{self, Asker};
use crate::feed::mirror::Mirror;
use crate::homes::entries_of_host;
use crate::metrics::Metrics;
use crate::suspects::Suspects;
use crate::view::{EntryRecord, View, Views};
use axum::Router;
use axum::extract::{ConnectInfo, Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::get;
use flamingowheel_platform::directory::{self as platform_directory, MAX_ADDRESSES, ResolveQuery};
use flamingowheel_platform::{READY_PATH, RESOLVE_PATH, ResolveAnswer};
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

/// Router of the readiness check, the metrics, and the lists of entries
/// and of suspects.
pub fn readiness(info: Info) -> Router {
    let router = Router::new().route(READY_PATH, get(ready)).route("/metrics", get(metrics));
    let router = router.route("/entries", get(entries));
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

/// The live entries that may serve the host for a caller in its region.
fn eligible_entries<'a>(
    view: &'a View,
    question: &ResolveQuery,
) -> Vec<(&'a str, &'a EntryRecord)> {
    let zone_region = question.data_centre.as_ref().and_then(|zone| view.regions.get(zone));
    let region = question.region.as_ref().or(zone_region).map(String::as_str);
    let host = question.host.as_deref().unwrap_or("");
    let entries = view.entries.iter().map(|(vm, record)| (vm.as_str(), record));
    entries_of_host(view.configuration.as_deref(), host, region, &view.regions, entries)
}

/// Returns the addresses of the live entries that may serve the host, those in the caller's data
/// centre first.
async fn resolve(State(info): State<Info>, request: Request) -> Response {
    let question = platform_directory::parse_query(request.uri().query().unwrap_or(""));
    let peer = request.extensions().get::<ConnectInfo<SocketAddr>>();
    let asker = Asker {
        address: peer.map(|ConnectInfo(address)| address.ip()),
        data_centre: question.data_centre.as_deref(),
    };
    let view = info.views.load();
    let is_leaving = info.leaving.is_cancelled();
    let eligible = eligible_entries(&view, &question).into_iter();
    let eligible = eligible.filter(|(_, record)| !is_leaving || record.callers != info.callers);
    let mut addresses = directory::choose(eligible, asker, MAX_ADDRESSES);
    if view.entries.is_empty() && !is_leaving {
        // As long as the view has no entry, not even this one, this one is the only entry known to
        // be alive.
        addresses.push(info.callers);
    }
    if addresses.is_empty() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(ResolveAnswer::new(addresses, DIRECTORY_TTL_MS)).into_response()
}

async fn entries(State(info): State<Info>) -> Response {
    Json(directory::listed(&info.views.load())).into_response()
}

async fn metrics(State(info): State<Info>) -> Response {
    let view = info.views.load();
    if let Some(configuration) = &view.configuration {
        info.metrics.set_configuration(configuration.version, view.in_force.as_ref());
    }
    info.metrics.set_evacuations(&view.evacuations);
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
