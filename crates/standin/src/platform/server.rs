//! A backend server that speaks the platform's protocol, and the counter in which all of them
//! record their runs.

use super::messages::{ATTEMPT_HEADER, SIGNATURE_HEADER, attempt_id};
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::Response;
use bytes::Bytes;
use futures_util::stream;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Number of events in every stream.
pub const STREAM_EVENTS: u64 = 8;

/// Counts how often each attempt of a caller began to run, over all backend servers.
#[derive(Clone, Debug, Default)]
pub struct RunCounter(Arc<Mutex<HashMap<String, u32>>>);

impl RunCounter {
    /// Number of runs of an attempt so far.
    pub fn runs(&self, attempt: &str) -> u32 {
        self.lock().get(attempt).copied().unwrap_or(0)
    }

    fn increment(&self, attempt: &str) {
        *self.lock().entry(attempt.to_owned()).or_default() += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A backend server. Paths under `/stream/` get an event stream, all others a plain answer.
#[derive(Clone, Debug)]
pub struct PlatformServer {
    /// Name under which it is registered.
    pub id: String,
    /// Counts its runs.
    pub run_counter: RunCounter,
    /// Time before a plain answer, and before each event of a stream.
    pub delay: Duration,
    /// Most requests in progress at once; further ones are refused.
    pub slots: u32,
    used_slots: Arc<AtomicU32>,
}

/// A slot of a server, released on drop.
struct SlotGuard(Arc<AtomicU32>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Body of the plain answer to an attempt.
pub fn answer_body(attempt: &str) -> String {
    format!("answer to {attempt}")
}

/// One event of the stream for an attempt.
pub fn stream_event(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: {attempt} {id}\n\n")
}

impl PlatformServer {
    /// Creates a server with all slots free.
    pub fn new(id: &str, run_counter: RunCounter, delay: Duration, slots: u32) -> Self {
        Self { id: id.to_owned(), run_counter, delay, slots, used_slots: Arc::default() }
    }

    /// Serves until the future is dropped.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        axum::serve(listener, Router::new().fallback(handle).with_state(self)).await
    }

    fn acquire_slot(&self) -> Option<SlotGuard> {
        let slot = SlotGuard(Arc::clone(&self.used_slots));
        (self.used_slots.fetch_add(1, Ordering::SeqCst) < self.slots).then_some(slot)
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn response(status: StatusCode, headers: &[(&str, &str)], body: Body) -> Response {
    let builder = Response::builder().status(status);
    let builder =
        headers.iter().fold(builder, |builder, (name, value)| builder.header(*name, *value));
    builder.body(body).unwrap_or_default()
}

async fn handle(State(server): State<PlatformServer>, request: Request) -> Response {
    let attempt = attempt_id(request.headers()).to_owned();
    let expected = header_text(request.headers(), "flamingowheel-expect-instance");
    if !expected.is_empty() && expected != server.id {
        return response(
            StatusCode::MISDIRECTED_REQUEST,
            &[(ATTEMPT_HEADER, &attempt)],
            Body::empty(),
        );
    }
    let Some(slot) = server.acquire_slot() else {
        let headers = [(ATTEMPT_HEADER, attempt.as_str()), ("flamingowheel-not-executed", "1")];
        return response(StatusCode::SERVICE_UNAVAILABLE, &headers, Body::empty());
    };
    server.run_counter.increment(&attempt);
    let headers = [(ATTEMPT_HEADER, attempt.as_str()), (SIGNATURE_HEADER, server.id.as_str())];
    if !request.uri().path().starts_with("/stream/") {
        sleep(server.delay).await;
        return response(StatusCode::OK, &headers, Body::from(answer_body(&attempt)));
    }
    let last_id: u64 = header_text(request.headers(), "last-event-id").parse().unwrap_or(0);
    let delay = server.delay;
    let events = stream::unfold(
        (last_id + 1, attempt.clone(), slot),
        move |(id, attempt, slot)| async move {
            if id > STREAM_EVENTS {
                return None;
            }
            sleep(delay).await;
            let event = Ok::<_, std::io::Error>(Bytes::from(stream_event(&attempt, id)));
            Some((event, (id + 1, attempt, slot)))
        },
    );
    response(StatusCode::OK, &headers, Body::from_stream(events))
}
