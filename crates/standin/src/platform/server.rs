//! A backend server that speaks the platform's protocol, and the log in which all of them record
//! their requests.

use super::messages::{
    ATTEMPT_HEADER, NOT_EXECUTED_HEADER, PROMPT_HEADER, SIGNATURE_HEADER, attempt_id,
};
use super::pace::Pace;
use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode, Version};
use axum::response::Response;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

/// Header with the time for which a backend server remains cold.
pub const COLD_HEADER: &str = "flamingowheel-cold-ms";

/// Header with the limit that a backend server names.
pub const LIMIT_HEADER: &str = "server-limit";

/// Header with which a backend server says that it leaves.
pub const LEAVING_HEADER: &str = "server-leaving";

/// Part of the path of requests under which a backend server ends: before the head of a plain answer,
/// in the middle of a stream.
pub const CRASH_PATH: &str = "/crash";

/// The same, with answers that have neither length nor chunks: some bytes arrive, and the connection is
/// closed in order.
pub const UNFRAMED_CRASH_PATH: &str = "/crash-unframed";

/// Start of the ids of parts of prompts under which a backend server ends when it begins to write,
/// wherever they stand but last: before the first event of a stream, before the head of a plain answer.
pub const CRASH_PART: &str = "dead";

/// Number of events in every stream.
pub const STREAM_EVENTS: u64 = 8;

/// What a backend server asks for in its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Conditions {
    /// The limit that it names, in requests per second.
    pub limit_per_s: Option<f64>,
    /// The rest that it asks for; it refuses all requests meanwhile.
    pub rest: Option<Duration>,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// Whether its answers have neither length nor chunks and end with their connections.
    pub is_unframed: bool,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
}

/// A request that reached a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The server's name.
    pub server: String,
    /// Id of the caller's attempt.
    pub attempt: String,
    /// When it arrived.
    pub at: Instant,
    /// What the server asked for in its answer.
    pub conditions: Conditions,
}

/// The end of a backend server under a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// Path of the request, or id of the part of its prompt, that ended the server.
    pub cause: String,
    /// When the server ended.
    pub at: Instant,
    /// Whether its connections are closed in order, and not reset.
    pub is_orderly: bool,
}

/// A request at work on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the server.
    pub server: String,
    /// Id of the caller's attempt.
    pub attempt: String,
    /// When the work began.
    pub from: Instant,
    /// When the answer was complete or given up; `None` while the server is at work.
    pub until: Option<Instant>,
}

/// Records the requests that reach any of the backend servers, and how often each attempt of a
/// caller began to run.
#[derive(Clone, Debug, Default)]
pub struct RequestLog(Arc<Mutex<Requests>>);

#[derive(Debug, Default)]
struct Requests {
    runs: Vec<Run>,
    run_counts: HashMap<String, u32>,
    arrivals: Vec<Arrival>,
    ends: Vec<End>,
}

impl RequestLog {
    /// Number of runs of an attempt so far.
    pub fn runs(&self, attempt: &str) -> u32 {
        self.lock().run_counts.get(attempt).copied().unwrap_or(0)
    }

    /// The runs of all attempts, in the order of their beginnings.
    pub fn all_runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// All arrivals so far, in their order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// The ends of backend servers under requests, in their order.
    pub fn ends(&self) -> Vec<End> {
        self.lock().ends.clone()
    }

    fn record_end(&self, cause: &str) {
        let is_orderly = cause.contains(UNFRAMED_CRASH_PATH);
        self.lock().ends.push(End { cause: cause.to_owned(), at: Instant::now(), is_orderly });
    }

    fn begin_run(&self, server: &str, attempt: &str) -> RunGuard {
        let mut requests = self.lock();
        *requests.run_counts.entry(attempt.to_owned()).or_default() += 1;
        let (server, attempt) = (server.to_owned(), attempt.to_owned());
        requests.runs.push(Run { server, attempt, from: Instant::now(), until: None });
        RunGuard { request_log: self.clone(), index: requests.runs.len() - 1 }
    }

    fn record_arrival(&self, server: &str, attempt: &str, conditions: Conditions) {
        let (server, attempt) = (server.to_owned(), attempt.to_owned());
        self.lock().arrivals.push(Arrival { server, attempt, at: Instant::now(), conditions });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Requests> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run in progress, which ends on drop.
struct RunGuard {
    request_log: RequestLog,
    index: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.request_log.lock().runs[self.index].until = Some(Instant::now());
    }
}

/// A backend server. Paths under `/stream/` and `/live/` get an event stream, all others a plain
/// answer; a path may ask for a [`Pace`].
#[derive(Clone, Debug)]
pub struct PlatformServer {
    /// Name under which it is registered.
    pub id: String,
    /// Records its requests.
    pub request_log: RequestLog,
    /// Time before a plain answer, and before each event of a stream, unless the path asks for others.
    pub delay: Duration,
    /// Most requests in progress at once; further ones are refused.
    pub slots: u32,
    used_slots: Arc<AtomicU32>,
    conditions: Arc<Mutex<Conditions>>,
    silent_until: Arc<Mutex<Option<Instant>>>,
    ends: Arc<watch::Sender<u64>>,
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
    pub fn new(id: &str, request_log: RequestLog, delay: Duration, slots: u32) -> Self {
        Self {
            id: id.to_owned(),
            request_log,
            delay,
            slots,
            used_slots: Arc::default(),
            conditions: Arc::default(),
            silent_until: Arc::default(),
            ends: Arc::default(),
        }
    }

    /// The number of ends under a request so far. Whoever runs the server closes its connections and
    /// its address then; the server itself leaves the request without an answer.
    pub fn ends(&self) -> watch::Receiver<u64> {
        self.ends.subscribe()
    }

    async fn end(&self, cause: &str) {
        self.request_log.record_end(cause);
        self.ends.send_modify(|ends| *ends += 1);
        std::future::pending().await
    }

    /// Sets what the server asks for from now on. Clones of a server share it.
    pub fn set_conditions(&self, conditions: Conditions) {
        *self.conditions.lock().unwrap_or_else(PoisonError::into_inner) = conditions;
    }

    /// What the server asks for.
    pub fn conditions(&self) -> Conditions {
        *self.conditions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the server write nothing for a time. Its connections stay open, and all work goes on
    /// after it.
    pub fn silence(&self, duration: Duration) {
        let until = Instant::now() + duration;
        *self.silent_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    /// Waits for `time`, and for the end of a silence after it.
    async fn work(&self, time: Duration) {
        sleep(time).await;
        loop {
            let until = *self.silent_until.lock().unwrap_or_else(PoisonError::into_inner);
            match until {
                Some(until) if until > Instant::now() => sleep_until(until).await,
                _ => return,
            }
        }
    }

    /// A response with the headers of what the server asks for.
    fn response(&self, status: StatusCode, headers: &[(&str, &str)], body: Body) -> Response {
        let Conditions { limit_per_s, is_leaving, cold_until, .. } = self.conditions();
        let limit = limit_per_s.map(|limit_per_s| limit_per_s.to_string());
        let limit = limit.as_deref().map(|limit| (LIMIT_HEADER, limit));
        let leaving = is_leaving.then_some((LEAVING_HEADER, "1"));
        let cold_left = cold_until.map(|until| until.saturating_duration_since(Instant::now()));
        let cold_left_ms = cold_left.map(|left| left.as_millis().to_string());
        let cold = cold_left_ms.as_deref().map(|left_ms| (COLD_HEADER, left_ms));
        let headers = headers.iter().copied().chain(limit).chain(leaving).chain(cold);
        let builder = Response::builder().status(status);
        let builder = headers.fold(builder, |builder, (name, value)| builder.header(name, value));
        builder.body(body).unwrap_or_default()
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

async fn handle(State(server): State<PlatformServer>, request: Request) -> Response {
    let attempt = attempt_id(request.headers()).to_owned();
    let conditions = server.conditions();
    server.request_log.record_arrival(&server.id, &attempt, conditions);
    let expected = header_text(request.headers(), "flamingowheel-expect-instance");
    if !expected.is_empty() && expected != server.id {
        return server.response(
            StatusCode::MISDIRECTED_REQUEST,
            &[(ATTEMPT_HEADER, &attempt)],
            Body::empty(),
        );
    }
    if let Some(rest) = conditions.rest {
        let rest_s = rest.as_secs_f64().to_string();
        let headers = [
            (ATTEMPT_HEADER, attempt.as_str()),
            (NOT_EXECUTED_HEADER, "1"),
            ("retry-after", rest_s.as_str()),
        ];
        return server.response(StatusCode::SERVICE_UNAVAILABLE, &headers, Body::empty());
    }
    let Some(slot) = server.acquire_slot() else {
        let headers = [(ATTEMPT_HEADER, attempt.as_str()), (NOT_EXECUTED_HEADER, "1")];
        return server.response(StatusCode::SERVICE_UNAVAILABLE, &headers, Body::empty());
    };
    let run = server.request_log.begin_run(&server.id, &attempt);
    let headers = [(ATTEMPT_HEADER, attempt.as_str()), (SIGNATURE_HEADER, server.id.as_str())];
    let path = request.uri().path().to_owned();
    let steady = Pace { delay_ms: server.delay.as_millis() as u64, ..Pace::default() };
    let pace = Pace::of_path(&path).unwrap_or(steady);
    let is_crashing = path.contains(CRASH_PATH);
    let crash_part = crash_part(request.headers());
    let ends_unframed = path.contains(UNFRAMED_CRASH_PATH);
    let is_unframed = conditions.is_unframed || ends_unframed;
    if !["/stream/", "/live/"].iter().any(|route| path.starts_with(route)) {
        server.work(Duration::from_millis(pace.delay_ms)).await;
        if is_crashing && !ends_unframed {
            server.end(&path).await;
        }
        if let Some(part) = &crash_part {
            server.end(part).await;
        }
        let body = pace.answer_body(&attempt);
        if !is_unframed {
            return server.response(StatusCode::OK, &headers, Body::from(body));
        }
        let sent_bytes = if ends_unframed { body.len() / 2 } else { body.len() };
        let first = Bytes::copy_from_slice(&body.as_bytes()[..sent_bytes]);
        let ending = server.clone();
        let rest = stream::once(async move {
            if ends_unframed {
                ending.end(&path).await;
            }
            Ok::<_, std::io::Error>(Bytes::new())
        });
        let pieces = stream::iter([Ok(first)]).chain(rest);
        return unframed(server.response(StatusCode::OK, &headers, Body::from_stream(pieces)));
    }
    let last_id: u64 = header_text(request.headers(), "last-event-id").parse().unwrap_or(0);
    let stream_server = server.clone();
    let events = stream::unfold(
        (last_id + 1, attempt.clone(), (slot, run), stream_server, path),
        move |(id, attempt, held, server, path)| {
            let crash_part = crash_part.clone();
            async move {
                if id > STREAM_EVENTS {
                    return None;
                }
                server.work(pace.time_before(id)).await;
                if let Some(part) = &crash_part {
                    server.end(part).await;
                }
                let event = pace.stream_event(&attempt, id);
                if is_crashing && id > STREAM_EVENTS / 2 {
                    // One more event may have been begun.
                    let is_begun =
                        ends_unframed && id == STREAM_EVENTS / 2 + 1 && attempt.len() % 2 == 0;
                    if !is_begun {
                        server.end(&path).await;
                    }
                    let part = Ok(Bytes::copy_from_slice(&event.as_bytes()[..event.len() / 2]));
                    return Some((part, (id + 1, attempt, held, server, path)));
                }
                Some((
                    Ok::<_, std::io::Error>(Bytes::from(event)),
                    (id + 1, attempt, held, server, path),
                ))
            }
        },
    );
    let response = server.response(StatusCode::OK, &headers, Body::from_stream(events));
    if is_unframed { unframed(response) } else { response }
}

/// The part of a prompt that ends the server.
fn crash_part(headers: &HeaderMap) -> Option<String> {
    let mut ids: Vec<&str> = header_text(headers, PROMPT_HEADER)
        .split(',')
        .map(|part| part.split(':').next().unwrap_or(part))
        .collect();
    ids.pop();
    ids.into_iter().find(|id| id.starts_with(CRASH_PART)).map(str::to_owned)
}

/// Makes a body of unknown length end with its connection.
fn unframed(mut response: Response) -> Response {
    *response.version_mut() = Version::HTTP_10;
    response
}
