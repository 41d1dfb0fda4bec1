//! A backend server in the platform's form, and the ledger in which all of them note what they ran.

use super::messages::{ATTEMPT, SIGNATURE, attempt_id};
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

/// Events of every stream.
pub const STREAM_EVENTS: u64 = 8;

/// How often each attempt of a caller began to run, over all backend servers.
#[derive(Clone, Debug, Default)]
pub struct RunCounter(Arc<Mutex<HashMap<String, u32>>>);

impl RunCounter {
    /// Runs of an attempt so far.
    pub fn runs(&self, attempt: &str) -> u32 {
        self.lock().get(attempt).copied().unwrap_or(0)
    }

    fn note(&self, attempt: &str) {
        *self.lock().entry(attempt.to_owned()).or_default() += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A backend server. Paths under `/stream/` get an event stream, all others a plain answer.
#[derive(Clone, Debug)]
pub struct PlatformServer {
    /// Its name, as it is listed.
    pub id: String,
    /// Where its runs are noted.
    pub run_counter: RunCounter,
    /// Time that a plain answer takes, and that lies between two events.
    pub delay: Duration,
    /// Requests that it works on at once; more are refused.
    pub slots: u32,
    taken: Arc<AtomicU32>,
}

/// A place of a server, given back when dropped.
struct Place(Arc<AtomicU32>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The plain answer to an attempt.
pub fn answer_body(attempt: &str) -> String {
    format!("answer to {attempt}")
}

/// One event of the stream for an attempt.
pub fn stream_event(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: {attempt} {id}\n\n")
}

impl PlatformServer {
    /// A server that has run nothing yet.
    pub fn new(id: &str, run_counter: RunCounter, delay: Duration, slots: u32) -> Self {
        Self { id: id.to_owned(), run_counter, delay, slots, taken: Arc::default() }
    }

    /// Serves until dropped.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        axum::serve(listener, Router::new().fallback(handle).with_state(self)).await
    }

    fn take_place(&self) -> Option<Place> {
        let place = Place(Arc::clone(&self.taken));
        (self.taken.fetch_add(1, Ordering::SeqCst) < self.slots).then_some(place)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
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
    let expected = text(request.headers(), "flamingowheel-expect-instance");
    if !expected.is_empty() && expected != server.id {
        return response(StatusCode::MISDIRECTED_REQUEST, &[(ATTEMPT, &attempt)], Body::empty());
    }
    let Some(place) = server.take_place() else {
        let headers = [(ATTEMPT, attempt.as_str()), ("flamingowheel-not-executed", "1")];
        return response(StatusCode::SERVICE_UNAVAILABLE, &headers, Body::empty());
    };
    server.run_counter.note(&attempt);
    let headers = [(ATTEMPT, attempt.as_str()), (SIGNATURE, server.id.as_str())];
    if !request.uri().path().starts_with("/stream/") {
        sleep(server.delay).await;
        return response(StatusCode::OK, &headers, Body::from(answer_body(&attempt)));
    }
    let after: u64 = text(request.headers(), "last-event-id").parse().unwrap_or(0);
    let work = server.delay;
    let events = stream::unfold(
        (after + 1, attempt.clone(), place),
        move |(id, attempt, place)| async move {
            if id > STREAM_EVENTS {
                return None;
            }
            sleep(work).await;
            let event = Ok::<_, std::io::Error>(Bytes::from(stream_event(&attempt, id)));
            Some((event, (id + 1, attempt, place)))
        },
    );
    response(StatusCode::OK, &headers, Body::from_stream(events))
}
