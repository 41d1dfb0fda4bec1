//! The routes `/metrics` and `/v1/events` of a process's operators' port.

use axum::extract::{Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};

use crate::api::{EVENTS_PATH, EventQuery, EventsAnswer, METRICS_PATH};
use crate::recorder::Recorder;

const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Routes that serve a process's metrics and events. The caller must check the operator's token.
///
/// ```
/// use flamingowheel_observe::http::router;
/// use flamingowheel_observe::recorder::Recorder;
///
/// assert!(router(Recorder::for_tests("entry-1")).has_routes());
/// ```
pub fn router(recorder: Recorder) -> Router {
    Router::new()
        .route(METRICS_PATH, get(get_metrics))
        .route(EVENTS_PATH, get(get_events))
        .with_state(recorder)
}

async fn get_metrics(State(recorder): State<Recorder>) -> Response {
    recorder.metrics().set_events_overwritten(recorder.overwritten());
    match recorder.metrics().encode() {
        Ok(text) => ([(header::CONTENT_TYPE, TEXT_FORMAT)], text).into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn get_events(
    State(recorder): State<Recorder>,
    Query(query): Query<EventQuery>,
) -> Json<EventsAnswer> {
    Json(recorder.answer(&query))
}
