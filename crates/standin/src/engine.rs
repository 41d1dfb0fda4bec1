//! Serves a fake model engine: calls, cancellation, load, cache events, orders and state.

use crate::host::{self, Connections};
use crate::service::{failure, routes};
use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use flamingowheel_backing::backend::BackendServer;
use flamingowheel_backing::client::orders::OrderRefusal;
use flamingowheel_backing::fake::FakeEngine;
use flamingowheel_backing::orders::{EngineOrders, Order, OrderError};
use http::StatusCode;
use serde::Deserialize;
use std::io;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Deserialize)]
struct EventsQuery {
    after: u64,
}

/// Serves the fake until `shutdown`. A path without a route of its own is a call to the model.
pub async fn serve(
    listener: TcpListener,
    fake: FakeEngine,
    connections: Connections,
    shutdown: CancellationToken,
) -> io::Result<()> {
    tokio::spawn(connections.clone().follow_availability(fake.subscribe_up()));
    let router: Router<FakeEngine> = routes();
    let router = router
        .route("/v1/cache-events", get(cache_events))
        .route("/v1/orders", post(order))
        .route("/v1/state", get(state))
        .with_state(fake);
    host::serve(listener, router, connections, shutdown).await
}

async fn cache_events(
    State(fake): State<FakeEngine>,
    Query(query): Query<EventsQuery>,
) -> Response {
    match fake.cache_events(query.after).await {
        Ok(events) => Json(events).into_response(),
        Err(error) => failure(error).await,
    }
}

async fn order(State(fake): State<FakeEngine>, Json(order): Json<Order>) -> Response {
    let refusal = match fake.send_order(&order).await {
        Ok(()) => return StatusCode::NO_CONTENT.into_response(),
        Err(OrderError::Backend(error)) => return failure(error).await,
        Err(OrderError::Stale { given, highest }) => OrderRefusal::Stale { given, highest },
        Err(OrderError::NotPossible { reason }) => OrderRefusal::NotPossible { reason },
    };
    (StatusCode::CONFLICT, Json(refusal)).into_response()
}

async fn state(State(fake): State<FakeEngine>) -> Response {
    match fake.state().await {
        Ok(state) => Json(state).into_response(),
        Err(error) => failure(error).await,
    }
}
