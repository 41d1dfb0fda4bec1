//! Callers: each sends requests one after the other over persistent connections and checks the
//! answers.

use crate::report::{SharedTally, Violation};
use crate::signals::{Call, PassedOn};
use bytes::Bytes;
use flamingowheel_backing::client::http::{
    BufferedResponse, HttpClient, HttpError, HttpLimits, Reuse,
};
use flamingowheel_standin::platform::messages::{
    caller_headers, is_signed, signature, with_prompt,
};
use flamingowheel_standin::platform::server::{
    LEAVING_HEADER, LIMIT_HEADER, RequestLog, STREAM_EVENTS, answer_body, stream_event,
};
use http::Method;
use http_body_util::Full;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Timeout of all routes, and the deadline that a caller sets for a request, in milliseconds.
pub const ROUTE_TIMEOUT_MS: u64 = 2_000;

/// Time after its deadline that a caller still waits for an answer, in milliseconds.
const EXTRA_WAIT_MS: u64 = 500;

/// Longest pause of a caller between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;

/// Time after which no copy of a request can still reach a backend server.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Part of the prompts of sound and of crashing requests.
pub const SOUND_PART: &str = "f00d";

/// API key of all callers.
pub const API_KEY: &str = "soak-key";

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Work that must run at most once.
    Once,
    /// A call that may be retried.
    Safe,
    /// A stream that may be resumed.
    Stream,
    /// A stream that may not.
    Live,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Safe => "/safe/x",
            Self::Stream => "/stream/x",
            Self::Live => "/live/x",
        }
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Live)
    }

    /// First part of the paths of its route.
    pub fn route(self) -> &'static str {
        self.path().trim_end_matches("/x")
    }
}

/// A request whose runs are checked once no copy of it can be in flight any more.
struct SentRequest {
    attempt: String,
    kind: Kind,
    refused_with: Option<u16>,
}

/// One caller.
pub struct Caller {
    /// Addresses of the entries, chosen at random for each request.
    pub entries: Vec<SocketAddr>,
    /// Requests recorded by the backend servers.
    pub request_log: RequestLog,
    /// Receives the counts and violations.
    pub tally: SharedTally,
}

impl Caller {
    /// Sends requests until `stop`, then checks how often each one ran.
    pub async fn run(self, seed: u64, stop: CancellationToken) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let clients: Vec<HttpClient> = self.entries.iter().filter_map(|e| client(*e)).collect();
        let mut sent = Vec::new();
        while !stop.is_cancelled() {
            let kind = [Kind::Once, Kind::Safe, Kind::Stream][rng.random_range(0..3)];
            let entry = rng.random_range(0..clients.len());
            let attempt = format!("{:016x}", rng.random::<u64>());
            let sent_at = Instant::now();
            let answer = send(&clients[entry], kind, &attempt).await;
            let passed_on = answer.as_ref().ok().and_then(passed_on);
            let call = Call { entry, attempt: attempt.clone(), sent_at, answer: passed_on };
            self.tally.update(|tally| tally.calls.push(call));
            let refused_with = self.record_answer(kind, &attempt, &answer);
            sent.push(SentRequest { attempt, kind, refused_with });
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
        sleep(SETTLE_TIME).await;
        sent.iter().for_each(|sent| self.check_runs(sent));
    }

    /// Checks and counts an answer. Returns the status if it reports that the request did not run.
    fn record_answer(
        &self,
        kind: Kind,
        attempt: &str,
        answer: &Result<BufferedResponse, HttpError>,
    ) -> Option<u16> {
        let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
        let is_refusal = matches!(status, 503 | 429 | 408 | 421);
        let violation = match answer {
            Ok(answer) if status == 200 => check_answer(kind, attempt, answer),
            Ok(_) if matches!(status, 400..=499) && !is_refusal => {
                Some(Violation::Denied { attempt: attempt.to_owned(), status })
            }
            _ => None,
        };
        self.tally.update(|tally| {
            tally.asked += 1;
            match status {
                200 => tally.served += 1,
                _ if is_refusal => tally.refused += 1,
                _ => tally.unknown += 1,
            }
            tally.violations.extend(violation);
        });
        is_refusal.then_some(status)
    }

    fn check_runs(&self, sent: &SentRequest) {
        let runs = self.request_log.runs(&sent.attempt);
        let attempt = sent.attempt.clone();
        let violation = match sent.refused_with {
            Some(status) if runs > 0 => Some(Violation::FalseRefusal { attempt, status }),
            _ if sent.kind == Kind::Once && runs > 1 => Some(Violation::RanTwice { attempt, runs }),
            _ => None,
        };
        self.tally.update(|tally| tally.violations.extend(violation));
    }
}

/// A client of an entry.
pub fn client(entry: SocketAddr) -> Option<HttpClient> {
    let head_timeout_ms = ROUTE_TIMEOUT_MS + EXTRA_WAIT_MS;
    let limits = HttpLimits {
        head_timeout_ms,
        read_timeout_ms: head_timeout_ms,
        body_timeout_ms: head_timeout_ms,
        ..HttpLimits::default()
    };
    Some(HttpClient::new(entry.to_string().parse().ok()?, limits))
}

async fn send(
    client: &HttpClient,
    kind: Kind,
    attempt: &str,
) -> Result<BufferedResponse, HttpError> {
    match kind {
        Kind::Stream | Kind::Live => {
            send_prompt(client, kind.path(), attempt, &[SOUND_PART, attempt]).await
        }
        Kind::Once | Kind::Safe => send_with_key(client, kind, attempt, API_KEY).await,
    }
}

/// Sends a request with an API key.
pub async fn send_with_key(
    client: &HttpClient,
    kind: Kind,
    attempt: &str,
    api_key: &str,
) -> Result<BufferedResponse, HttpError> {
    send_to(client, kind.path(), attempt, api_key).await
}

/// Sends a request to a path.
pub async fn send_to(
    client: &HttpClient,
    path: &str,
    attempt: &str,
    api_key: &str,
) -> Result<BufferedResponse, HttpError> {
    let request = client.request(Method::POST, path);
    let request = caller_headers(request, attempt, api_key, ROUTE_TIMEOUT_MS)
        .body(Full::new(Bytes::from_static(b"{}")));
    client.fetch(request.map_err(|_| HttpError::Malformed)?, Reuse::Allowed).await
}

/// Sends a request whose prompt has these parts. No two such requests are alike.
pub async fn send_prompt(
    client: &HttpClient,
    path: &str,
    attempt: &str,
    parts: &[&str],
) -> Result<BufferedResponse, HttpError> {
    let request = client.request(Method::POST, path);
    let request = caller_headers(request, attempt, API_KEY, ROUTE_TIMEOUT_MS);
    let body = Full::new(Bytes::from(format!("{{\"prompt\":\"{attempt}\"}}")));
    let request = with_prompt(request, parts).body(body);
    client.fetch(request.map_err(|_| HttpError::Malformed)?, Reuse::Allowed).await
}

/// The backend server's answer in an entry's; `None` for an answer of the entry's own.
fn passed_on(answer: &BufferedResponse) -> Option<PassedOn> {
    let server = signature(&answer.headers)?.to_owned();
    let names_limit = answer.headers.contains_key(LIMIT_HEADER);
    let says_leaving = answer.headers.contains_key(LEAVING_HEADER);
    Some(PassedOn { server, at: Instant::now(), names_limit, says_leaving })
}

fn check_answer(kind: Kind, attempt: &str, answer: &BufferedResponse) -> Option<Violation> {
    let expected = if kind.is_stream() {
        (1..=STREAM_EVENTS).map(|id| stream_event(attempt, id)).collect()
    } else {
        answer_body(attempt)
    };
    if is_signed(&answer.headers) && answer.body == expected.as_bytes() {
        return None;
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Some(Violation::WrongAnswer { attempt: attempt.to_owned(), body })
}

/// Sends requests of all kinds through all entries. Reports a violation if fewer than 90% of them
/// are served.
pub async fn probe<R>(entries: &[SocketAddr], count: u32, rng: &mut R) -> Option<Violation>
where
    R: Rng,
{
    let clients: Vec<HttpClient> = entries.iter().filter_map(|entry| client(*entry)).collect();
    let mut served = 0;
    for index in 0..count {
        let kind = [Kind::Once, Kind::Safe, Kind::Stream][index as usize % 3];
        let attempt = format!("{:016x}", rng.random::<u64>());
        let answer = send(&clients[index as usize % clients.len()], kind, &attempt).await;
        served += u32::from(answer.is_ok_and(|answer| answer.status == 200));
    }
    (served * 10 < count * 9).then_some(Violation::NotRecovered { served, asked: count })
}
