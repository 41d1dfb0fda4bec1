//! An engine for benchmarks of the relay. It sends an event stream rendered in advance, one chunk
//! per event, without delays.

use crate::host::{self, Connections};
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use flamingowheel_backing::fake::text::{DONE_EVENT, token_event};
use futures_util::stream;
use http::{StatusCode, header};
use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Load report of an idle engine.
const IDLE_REPORT: &str = r#"{"running":0,"waiting":0,"uptime_ms":1,"process_id":1}"#;

/// Answers every call with `chunks` events and the end marker until `shutdown`.
pub async fn serve(
    listener: TcpListener,
    chunks: u64,
    connections: Connections,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let events: Arc<[Bytes]> = (0..chunks)
        .map(|index| token_event(b"fast", index))
        .chain([Bytes::from_static(DONE_EVENT)])
        .collect();
    let idle = || async { ([(header::CONTENT_TYPE, "application/json")], IDLE_REPORT) };
    let router = Router::new()
        .route("/v1/load", get(idle))
        .route("/v1/cache-events", get(|| async { "[]" }))
        .route("/v1/cancel/{id}", post(|| async { StatusCode::NO_CONTENT }))
        .fallback(answer)
        .with_state(events);
    host::serve(listener, router, connections, shutdown).await
}

async fn answer(State(events): State<Arc<[Bytes]>>, _body: Bytes) -> Response {
    let chunks = (0..events.len()).map(move |index| Ok::<_, Infallible>(events[index].clone()));
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(stream::iter(chunks))).into_response()
}
