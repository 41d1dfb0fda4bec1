//! Serves the fake key-value service over the API of the etcd v3 HTTP/JSON gateway.

use crate::host::{self, Connections};
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use bytes::Bytes;
use flamingowheel_backing::client::wire::{
    CODE_NOT_FOUND, CODE_RESOURCE_EXHAUSTED, CompareTarget, ErrorBody, EventKind, Header, Int64,
    LeaseMessage, RangeRequest, RangeResponse, RequestOp, ResponseOp, Streamed, TxnRequest,
    TxnResponse, WatchRequest, WatchResponse, WireCompare, WireEntry, WireEvent, key_text,
};
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueError, LeaseId, MAX_VALUE_BYTES, Operation, Revision, Transaction,
    WatchEvent,
};
use futures_util::stream;
use http::StatusCode;
use serde::Serialize;
use std::convert::Infallible;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Fits a transaction that writes a dozen of the largest values in base64.
const MAX_REQUEST_BYTES: usize = 16 * MAX_VALUE_BYTES;

/// Serves the fake until `shutdown`.
pub async fn serve(
    listener: TcpListener,
    fake: FakeKeyValue,
    connections: Connections,
    shutdown: CancellationToken,
) -> io::Result<()> {
    tokio::spawn(connections.clone().follow_availability(fake.subscribe_up()));
    let router = Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/txn", post(transact))
        .route("/v3/lease/grant", post(grant_lease))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke_lease))
        .route("/v3/watch", post(watch))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_REQUEST_BYTES))
        .with_state(fake);
    host::serve(listener, router, connections, shutdown).await
}

/// Maps an error of the fake to the response that a client gets, if it gets one.
async fn failure(error: KeyValueError) -> Response {
    let (status, code) = match error {
        // No response: the client must see a timeout, or the connection that breaks when the fake
        // goes down.
        KeyValueError::Unreachable | KeyValueError::NoAnswer { .. } => std::future::pending().await,
        KeyValueError::RateExceeded => (StatusCode::TOO_MANY_REQUESTS, CODE_RESOURCE_EXHAUSTED),
        KeyValueError::LeaseNotFound => (StatusCode::NOT_FOUND, CODE_NOT_FOUND),
        KeyValueError::ValueTooLarge { .. } | KeyValueError::Malformed { .. } => {
            (StatusCode::BAD_REQUEST, 3)
        }
    };
    (status, Json(ErrorBody { code, message: error.to_string() })).into_response()
}

async fn json_response<T>(result: Result<T, KeyValueError>) -> Response
where
    T: Serialize,
{
    match result {
        Ok(message) => Json(message).into_response(),
        Err(error) => failure(error).await,
    }
}

fn header(revision: Revision) -> Header {
    Header { revision: revision.into() }
}

async fn range(State(fake): State<FakeKeyValue>, Json(request): Json<RangeRequest>) -> Response {
    json_response(read_range(&fake, &request).await).await
}

async fn read_range(
    fake: &FakeKeyValue,
    request: &RangeRequest,
) -> Result<RangeResponse, KeyValueError> {
    let prefix = requested_prefix(request)?;
    let snapshot = fake.range(&prefix).await?;
    let kvs = snapshot.entries.into_iter().map(WireEntry::from).collect();
    Ok(RangeResponse { header: header(snapshot.revision), kvs })
}

/// The prefix that a range covers. A range that isn't a prefix is rejected as malformed.
fn requested_prefix(request: &RangeRequest) -> Result<String, KeyValueError> {
    if request.key.0.as_ref() == b"\0" {
        return Ok(String::new());
    }
    let prefix = key_text(&request.key)?;
    if RangeRequest::prefix(&prefix).range_end != request.range_end {
        return Err(KeyValueError::Malformed { what: "range" });
    }
    Ok(prefix)
}

async fn transact(State(fake): State<FakeKeyValue>, Json(request): Json<TxnRequest>) -> Response {
    json_response(run_transaction(&fake, request).await).await
}

async fn run_transaction(
    fake: &FakeKeyValue,
    request: TxnRequest,
) -> Result<TxnResponse, KeyValueError> {
    let transaction = Transaction {
        compares: request.compare.into_iter().map(compare).collect::<Result<_, _>>()?,
        on_success: request.success.into_iter().map(operation).collect::<Result<_, _>>()?,
        on_failure: request.failure.into_iter().map(operation).collect::<Result<_, _>>()?,
    };
    let answer = fake.transact(transaction).await?;
    let responses = answer
        .reads
        .into_iter()
        .map(|read| {
            let kvs = read.map(WireEntry::from).into_iter().collect();
            let range = RangeResponse { header: header(answer.revision), kvs };
            ResponseOp { response_range: Some(range) }
        })
        .collect();
    Ok(TxnResponse { header: header(answer.revision), succeeded: answer.succeeded, responses })
}

fn compare(compare: WireCompare) -> Result<Compare, KeyValueError> {
    let key = key_text(&compare.key)?;
    match compare.target {
        CompareTarget::Create if compare.create_revision.unwrap_or_default() == Int64(0) => {
            Ok(Compare::Absent { key })
        }
        CompareTarget::Create => Err(KeyValueError::Malformed { what: "compare" }),
        CompareTarget::Mod => {
            let revision = compare.mod_revision.unwrap_or_default().revision();
            Ok(Compare::ModRevision { key, revision })
        }
    }
}

fn operation(operation: RequestOp) -> Result<Operation, KeyValueError> {
    match operation {
        RequestOp { put: Some(put), .. } => Ok(Operation::Put {
            key: key_text(&put.key)?,
            value: put.value.0,
            lease: (put.lease.0 != 0).then_some(LeaseId(put.lease.0)),
        }),
        RequestOp { range: Some(range), .. } => Ok(Operation::Get { key: key_text(&range.key)? }),
        RequestOp { delete: Some(delete), .. } => {
            Ok(Operation::Delete { key: key_text(&delete.key)? })
        }
        RequestOp { .. } => Err(KeyValueError::Malformed { what: "operation" }),
    }
}

async fn grant_lease(
    State(fake): State<FakeKeyValue>,
    Json(request): Json<LeaseMessage>,
) -> Response {
    let ttl = Duration::from_secs(u64::try_from(request.ttl_s.0).unwrap_or(0).max(1));
    let granted = fake.grant_lease(ttl).await;
    json_response(granted.map(|lease| LeaseMessage { id: Int64(lease.0), ttl_s: request.ttl_s }))
        .await
}

async fn keep_alive(
    State(fake): State<FakeKeyValue>,
    Json(request): Json<LeaseMessage>,
) -> Response {
    let kept = match fake.keep_alive(LeaseId(request.id.0)).await {
        Ok(()) => Ok(1),
        // For an unknown lease the gateway answers with a TTL of 0 instead of an error.
        Err(KeyValueError::LeaseNotFound) => Ok(0),
        Err(error) => Err(error),
    };
    let message = |ttl_s| Streamed { result: LeaseMessage { id: request.id, ttl_s: Int64(ttl_s) } };
    json_response(kept.map(message)).await
}

async fn revoke_lease(
    State(fake): State<FakeKeyValue>,
    Json(request): Json<LeaseMessage>,
) -> Response {
    let revoked = fake.revoke_lease(LeaseId(request.id.0)).await;
    json_response(revoked.map(|()| Streamed { result: LeaseMessage::default() })).await
}

async fn watch(State(fake): State<FakeKeyValue>, Json(request): Json<WatchRequest>) -> Response {
    match open_watch(&fake, request).await {
        Ok(body) => body.into_response(),
        Err(error) => failure(error).await,
    }
}

async fn open_watch(fake: &FakeKeyValue, request: WatchRequest) -> Result<Body, KeyValueError> {
    let create = request.create_request;
    let prefix = requested_prefix(&RangeRequest { key: create.key, range_end: create.range_end })?;
    // A start revision of 0 means that the watch begins after the current revision.
    let after = match create.start_revision.0 {
        0 => fake.peek("").revision,
        start => Int64(start - 1).revision(),
    };
    let watch = fake.watch(&prefix, after).await?;
    let created = WatchResponse { created: true, ..WatchResponse::default() };
    let lines = stream::unfold((Some(created), watch), |(first, mut watch)| async move {
        let response = match first {
            Some(created) => created,
            None => watch_response(watch.recv().await?),
        };
        Some((encode_line(response), (None, watch)))
    });
    Ok(Body::from_stream(lines))
}

fn encode_line(response: WatchResponse) -> Result<Bytes, Infallible> {
    let mut text = serde_json::to_vec(&Streamed { result: response }).unwrap_or_default();
    text.push(b'\n');
    Ok(text.into())
}

fn watch_response(event: WatchEvent) -> WatchResponse {
    match event {
        WatchEvent::Put(entry) => {
            let revision = entry.mod_revision;
            change_response(revision, WireEvent { kind: EventKind::Put, kv: entry.into() })
        }
        WatchEvent::Delete { key, revision } => {
            let kv = WireEntry {
                key: key.as_str().into(),
                mod_revision: revision.into(),
                ..WireEntry::default()
            };
            change_response(revision, WireEvent { kind: EventKind::Delete, kv })
        }
        WatchEvent::Progress { revision } => {
            WatchResponse { header: header(revision), ..WatchResponse::default() }
        }
        WatchEvent::Compacted { oldest } => WatchResponse {
            canceled: true,
            compact_revision: oldest.into(),
            ..WatchResponse::default()
        },
    }
}

fn change_response(revision: Revision, change: WireEvent) -> WatchResponse {
    WatchResponse { header: header(revision), events: vec![change], ..WatchResponse::default() }
}
