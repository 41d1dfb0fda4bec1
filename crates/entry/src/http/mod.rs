//! The HTTP interface for callers.

pub mod answer;
pub mod chat;
pub mod entries;
pub mod intake;
mod keys;
pub mod services;
pub mod streams;
pub mod tickets;

use crate::state::EntryState;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing::{any, delete, get, post};
use std::sync::Arc;

/// Path of the list of entries that a workspace should use.
pub const ENTRIES_PATH: &str = "/v1/entries";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of plain services; the rest of the path is passed to the service.
pub const SERVICES_PATH: &str = "/v1/services/{service}/{*path}";
/// Path that issues tickets.
pub const TICKETS_PATH: &str = "/v1/tickets";
/// Path that voids a ticket.
pub const TICKET_PATH: &str = "/v1/tickets/{ticket}";

/// Path that resumes an event stream, after the event whose id is in `last-event-id`.
pub const STREAM_PATH: &str = "/v1/streams/{token}";

/// Response header: `complete`, `streaming`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "flamingowheel-outcome";
/// Response header: the request's id, under which its timeline can be queried.
pub const REQUEST_HEADER: &str = "flamingowheel-request";
/// Request and response header: a ticket.
pub const TICKET_HEADER: &str = "flamingowheel-ticket";
/// Response header: number of attempts made.
pub const ATTEMPTS_HEADER: &str = "flamingowheel-attempts";
/// Request header: how long the caller waits for the answer to begin, in milliseconds.
pub const TIMEOUT_HEADER: &str = "flamingowheel-timeout-ms";
/// Request header: the value `yes` requests event ids and a stream token.
pub const RESUMABLE_HEADER: &str = "flamingowheel-resumable";
/// Response header: token with which the stream can be resumed at any entry.
pub const STREAM_HEADER: &str = "flamingowheel-stream";
/// Request header of event streams: id of the last event that the caller received.
pub const LAST_EVENT_HEADER: &str = "last-event-id";
/// Request header: the caller's idempotency key, as in the IETF draft of the same name.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Only the list of entries, for the operators' port.
pub fn entries_router(state: Arc<EntryState>) -> Router {
    Router::new().route(ENTRIES_PATH, get(entries::list)).with_state(state)
}

/// All routes for callers.
pub fn router(state: Arc<EntryState>) -> Router {
    Router::new()
        .route(ENTRIES_PATH, get(entries::list))
        .route(CHAT_PATH, post(chat::complete))
        .route(SERVICES_PATH, any(services::call))
        .route(TICKETS_PATH, post(tickets::issue))
        .route(TICKET_PATH, delete(tickets::void))
        .route(STREAM_PATH, get(streams::resume))
        // `intake::body` enforces the limit while reading and returns a typed error.
        .layer(DefaultBodyLimit::disable())
        .with_state(state)
}
