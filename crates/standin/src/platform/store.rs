//! The API of the platform's store over the fake key-value service. Faults are injected through the
//! fake, as are the sizes of pages and the ages of stale reads.

use axum::Router;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Json, Response};
use axum::routing::{delete, get, post};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, LeaseId, Operation, Revision, Transaction,
    TransactionAnswer, WatchEvent,
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

/// Most items in a page.
const MAX_PAGE_ITEMS: usize = 500;

/// Serves the store until the future is dropped.
pub async fn serve(listener: TcpListener, kv: FakeKeyValue) -> std::io::Result<()> {
    let router = Router::new()
        .route("/v1/kv-range", get(range))
        .route("/v1/kv-watch", get(watch))
        .route("/v1/kv-txn", post(transact))
        .route("/v1/kv-lease", post(grant_lease))
        .route("/v1/kv-keep/{lease}", post(keep_alive))
        .route("/v1/kv-lease-end/{lease}", delete(revoke_lease))
        .with_state(kv);
    axum::serve(listener, router).await
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RangeQuery {
    prefix: String,
    after: Option<String>,
    #[serde(default)]
    allow_stale: u8,
}

/// Body of a transaction request.
#[derive(Deserialize)]
struct TransactionRequest {
    #[serde(default)]
    precondition: Vec<ExpectedRevision>,
    #[serde(default)]
    puts: Vec<Put>,
    #[serde(default)]
    deletes: Vec<String>,
}

/// Revision that a key must have; 0 if the key must be absent.
#[derive(Deserialize)]
struct ExpectedRevision {
    key: String,
    revision: u64,
}

#[derive(Deserialize)]
struct Put {
    key: String,
    value: String,
    lease: Option<i64>,
}

/// Body of a request for a lease.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct LeaseRequest {
    ttl_ms: u64,
}

/// Maps an error to the platform's status codes. A call whose answer is lost gets no response.
async fn failure(error: KeyValueError) -> Response {
    match error {
        KeyValueError::LeaseNotFound => StatusCode::NOT_FOUND.into_response(),
        KeyValueError::RateExceeded => StatusCode::TOO_MANY_REQUESTS.into_response(),
        KeyValueError::NoAnswer { .. } => std::future::pending().await,
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn item(entry: &KeyValueEntry) -> Value {
    json!({
        "key": entry.key,
        "value": STANDARD.encode(&entry.value),
        "revision": entry.mod_revision.0,
        "created": entry.create_revision.0,
        "lease": entry.lease.map_or(0, |lease| lease.0),
    })
}

async fn range(State(kv): State<FakeKeyValue>, Query(query): Query<RangeQuery>) -> Response {
    let is_stale = query.allow_stale == 1;
    match kv.page(&query.prefix, query.after.as_deref(), is_stale).await {
        Ok(page) => {
            let items: Vec<Value> = page.entries.iter().take(MAX_PAGE_ITEMS).map(item).collect();
            let has_more = page.has_more || page.entries.len() > MAX_PAGE_ITEMS;
            let revision = page.revision.0;
            Json(json!({"items": items, "hasMore": has_more, "storeRevision": revision}))
                .into_response()
        }
        Err(error) => failure(error).await,
    }
}

async fn watch(State(kv): State<FakeKeyValue>, Query(query): Query<WatchQuery>) -> Response {
    let mut watch = match kv.watch(&query.prefix, Revision(query.after)).await {
        Ok(watch) => watch,
        Err(error) => return failure(error).await,
    };
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let mut revision = query.after;
    let mut events = Vec::new();
    while events.is_empty() {
        match timeout_at(deadline, watch.recv()).await {
            Err(_) => break,
            Ok(None) => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Ok(Some(event)) => {
                let mut next = Some(event);
                while let Some(event) = next {
                    match event {
                        WatchEvent::Put(entry) => {
                            revision = revision.max(entry.mod_revision.0);
                            events.push(item(&entry));
                        }
                        WatchEvent::Delete { key, revision: at } => {
                            revision = revision.max(at.0);
                            events.push(json!({"key": key, "revision": at.0, "deleted": true}));
                        }
                        WatchEvent::Progress { revision: at } => revision = revision.max(at.0),
                        WatchEvent::Compacted { .. } => return StatusCode::GONE.into_response(),
                    }
                    next = watch.try_recv().ok();
                }
            }
        }
    }
    Json(json!({"events": events, "storeRevision": revision})).into_response()
}

async fn transact(
    State(kv): State<FakeKeyValue>,
    Json(request): Json<TransactionRequest>,
) -> Response {
    let Some(transaction) = parse_transaction(request) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    match kv.transact(transaction).await {
        Ok(TransactionAnswer { succeeded: true, revision, .. }) => {
            Json(json!({"revision": revision.0})).into_response()
        }
        Ok(TransactionAnswer { reads, .. }) => {
            let items: Vec<Value> = reads.iter().flatten().map(item).collect();
            (StatusCode::PRECONDITION_FAILED, Json(json!({"items": items}))).into_response()
        }
        Err(error) => failure(error).await,
    }
}

/// Returns `None` if a value is not base64.
fn parse_transaction(request: TransactionRequest) -> Option<Transaction> {
    let mut transaction = Transaction::default();
    for ExpectedRevision { key, revision } in request.precondition {
        transaction.on_failure.push(Operation::Get { key: key.clone() });
        transaction.compares.push(match revision {
            0 => Compare::Absent { key },
            _ => Compare::ModRevision { key, revision: Revision(revision) },
        });
    }
    for Put { key, value, lease } in request.puts {
        let value = STANDARD.decode(value).ok()?.into();
        let lease = lease.filter(|lease| *lease != 0).map(LeaseId);
        transaction.on_success.push(Operation::Put { key, value, lease });
    }
    let deletes = request.deletes.into_iter().map(|key| Operation::Delete { key });
    transaction.on_success.extend(deletes);
    Some(transaction)
}

async fn grant_lease(
    State(kv): State<FakeKeyValue>,
    Json(request): Json<LeaseRequest>,
) -> Response {
    match kv.grant_lease(Duration::from_millis(request.ttl_ms)).await {
        Ok(lease) => Json(json!({"lease": lease.0, "ttlMs": request.ttl_ms})).into_response(),
        Err(error) => failure(error).await,
    }
}

async fn keep_alive(State(kv): State<FakeKeyValue>, Path(lease): Path<i64>) -> Response {
    match kv.keep_alive(LeaseId(lease)).await {
        Ok(()) => Json(json!({"lease": lease})).into_response(),
        Err(error) => failure(error).await,
    }
}

async fn revoke_lease(State(kv): State<FakeKeyValue>, Path(lease): Path<i64>) -> Response {
    match kv.revoke_lease(LeaseId(lease)).await {
        Ok(()) => Json(json!({})).into_response(),
        Err(error) => failure(error).await,
    }
}
