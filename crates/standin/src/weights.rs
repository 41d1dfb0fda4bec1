//! Serves the fake weight store. An answer carries no weights, but a read costs as much of the read
//! permit as a real one.

use crate::host::{self, Connections};
use axum::Router;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use flamingowheel_backing::fake::FakeWeightStore;
use flamingowheel_backing::weights::{WeightStore, WeightStoreError};
use http::{StatusCode, header};
use serde::Deserialize;
use std::io;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const MS_PER_S: u64 = 1000;

#[derive(Deserialize)]
struct ReadQuery {
    bytes: u64,
}

/// Serves the fake until `shutdown`.
pub async fn serve(
    listener: TcpListener,
    fake: FakeWeightStore,
    connections: Connections,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let router = Router::new().route("/v1/weights/{name}", get(read)).with_state(fake);
    host::serve(listener, router, connections, shutdown).await
}

async fn read(
    State(fake): State<FakeWeightStore>,
    Path(name): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    match fake.read(&name, query.bytes).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(WeightStoreError::Busy { retry_after_ms }) => {
            let retry_after_s = retry_after_ms.div_ceil(MS_PER_S).to_string();
            let headers = [(header::RETRY_AFTER, retry_after_s)];
            (StatusCode::TOO_MANY_REQUESTS, headers).into_response()
        }
        Err(WeightStoreError::Unreachable) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
