//! Serves the fake VM list.

use crate::host::{self, Connections};
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use flamingowheel_backing::fake::FakeVmList;
use flamingowheel_backing::vm::VmList;
use http::StatusCode;
use std::io;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Serves the fake until `shutdown`.
pub async fn serve(
    listener: TcpListener,
    fake: FakeVmList,
    connections: Connections,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let router = Router::new().route("/v1/vms", get(list)).with_state(fake);
    host::serve(listener, router, connections, shutdown).await
}

async fn list(State(fake): State<FakeVmList>) -> Response {
    match fake.list().await {
        Ok(vms) => Json(vms).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
