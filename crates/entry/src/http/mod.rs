//! The HTTP interface towards callers.

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

/// Path of the address question.
pub const ENTRIES_PATH: &str = "/v1/entries";
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of plain services; the rest of the path goes to the service.
pub const SERVICES_PATH: &str = "/v1/services/{service}/{*path}";
/// Path for taking a ticket.
pub const TICKETS_PATH: &str = "/v1/tickets";
/// Path for giving up a ticket.
pub const TICKET_PATH: &str = "/v1/tickets/{ticket}";

/// Path for going on with an event stream; takes the last event's id in `last-event-id`.
pub const STREAM_PATH: &str = "/v1/streams/{token}";

/// Header: what became of the request.
pub const OUTCOME_HEADER: &str = "flamingowheel-outcome";
/// Header: identity of the request, for the time line.
pub const REQUEST_HEADER: &str = "flamingowheel-request";
/// Header: a ticket, from or to the caller.
pub const TICKET_HEADER: &str = "flamingowheel-ticket";
/// Header: how many attempts were made.
pub const ATTEMPTS_HEADER: &str = "flamingowheel-attempts";
/// Header: how long the caller waits for an answer to begin, in milliseconds.
pub const TIMEOUT_HEADER: &str = "flamingowheel-timeout-ms";
/// Header: with the value `yes` the caller asks for event ids and a stream token.
pub const RESUMABLE_HEADER: &str = "flamingowheel-resumable";
/// Header: token with which any entry goes on with the stream.
pub const STREAM_HEADER: &str = "flamingowheel-stream";
/// Header of event streams: the last event that the caller has.
pub const LAST_EVENT_HEADER: &str = "last-event-id";
/// Header of the IETF draft of the same name.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The address question alone, for the operators' port.
pub fn entries_router(state: Arc<EntryState>) -> Router {
    Router::new().route(ENTRIES_PATH, get(entries::give)).with_state(state)
}

/// All routes towards callers.
pub fn router(state: Arc<EntryState>) -> Router {
    Router::new()
        .route(ENTRIES_PATH, get(entries::give))
        .route(CHAT_PATH, post(chat::complete))
        .route(SERVICES_PATH, any(services::call))
        .route(TICKETS_PATH, post(tickets::issue))
        .route(TICKET_PATH, delete(tickets::void))
        .route(STREAM_PATH, get(streams::resume))
        // The limit is enforced while reading, with a typed answer.
        .layer(DefaultBodyLimit::disable())
        .with_state(state)
}
