//! Callers: each sends requests one after the other on connections that it keeps, and judges the
//! answers.

use crate::report::{SharedTally, Violation};
use bytes::Bytes;
use flamingowheel_backing::client::http::{
    BufferedResponse, HttpClient, HttpError, HttpLimits, Reuse,
};
use flamingowheel_standin::platform::messages::{caller_headers, is_signed};
use flamingowheel_standin::platform::server::{
    RunCounter, STREAM_EVENTS, answer_body, stream_event,
};
use http::Method;
use http_body_util::Full;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time limit of all routes, and the time that a caller gives a request, in milliseconds.
pub const ROUTE_TIMEOUT_MS: u64 = 2_000;

/// Time after a caller's deadline until it gives up for good, in milliseconds.
const SLACK_MS: u64 = 500;

/// Longest pause of a caller between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;

/// Time in which a copy that is still on its way reaches a backend server.
const SETTLE: Duration = Duration::from_secs(4);

/// The caller's API key.
pub const API_KEY: &str = "soak-key";

/// What a request is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Once,
    Safe,
    Stream,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/x",
            Self::Safe => "/safe/x",
            Self::Stream => "/stream/x",
        }
    }
}

/// A request whose runs are counted once nothing can be on its way any more.
struct Sent {
    attempt: String,
    kind: Kind,
    refused_with: Option<u16>,
}

/// One caller.
pub struct Caller {
    /// The entries.
    pub entries: Vec<SocketAddr>,
    /// What backend servers ran.
    pub run_counter: RunCounter,
    /// Where it counts.
    pub tally: SharedTally,
}

impl Caller {
    /// Sends requests until `stop`, then checks what became of them.
    pub async fn run(self, seed: u64, stop: CancellationToken) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let clients: Vec<HttpClient> = self.entries.iter().filter_map(|e| client(*e)).collect();
        let mut sent = Vec::new();
        while !stop.is_cancelled() {
            let kind = [Kind::Once, Kind::Safe, Kind::Stream][rng.random_range(0..3)];
            let client = &clients[rng.random_range(0..clients.len())];
            let attempt = format!("{:016x}", rng.random::<u64>());
            let answer = ask(client, kind, &attempt).await;
            let refused_with = self.judge(kind, &attempt, &answer);
            sent.push(Sent { attempt, kind, refused_with });
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
        sleep(SETTLE).await;
        sent.iter().for_each(|sent| self.check_runs(sent));
    }

    /// Counts an answer. Returns the status if it promises that the request did not run.
    fn judge(
        &self,
        kind: Kind,
        attempt: &str,
        answer: &Result<BufferedResponse, HttpError>,
    ) -> Option<u16> {
        let status = answer.as_ref().map_or(0, |answer| answer.status.as_u16());
        let is_refusal = matches!(status, 503 | 429 | 408 | 421);
        let violation = match answer {
            Ok(answer) if status == 200 => wrong_answer(kind, attempt, answer),
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

    fn check_runs(&self, sent: &Sent) {
        let runs = self.run_counter.runs(&sent.attempt);
        let attempt = sent.attempt.clone();
        let violation = match sent.refused_with {
            Some(status) if runs > 0 => Some(Violation::FalseRefusal { attempt, status }),
            _ if sent.kind == Kind::Once && runs > 1 => Some(Violation::RanTwice { attempt, runs }),
            _ => None,
        };
        self.tally.update(|tally| tally.violations.extend(violation));
    }
}

fn client(entry: SocketAddr) -> Option<HttpClient> {
    let head_ms = ROUTE_TIMEOUT_MS + SLACK_MS;
    let limits =
        HttpLimits { head_timeout_ms: head_ms, read_timeout_ms: head_ms, ..HttpLimits::default() };
    Some(HttpClient::new(entry.to_string().parse().ok()?, limits))
}

async fn ask(
    client: &HttpClient,
    kind: Kind,
    attempt: &str,
) -> Result<BufferedResponse, HttpError> {
    let request = client.request(Method::POST, kind.path());
    let request = caller_headers(request, attempt, API_KEY, ROUTE_TIMEOUT_MS)
        .body(Full::new(Bytes::from_static(b"{}")));
    client.fetch(request.map_err(|_| HttpError::Malformed)?, Reuse::Allowed).await
}

fn wrong_answer(kind: Kind, attempt: &str, answer: &BufferedResponse) -> Option<Violation> {
    let expected = match kind {
        Kind::Stream => (1..=STREAM_EVENTS).map(|id| stream_event(attempt, id)).collect(),
        _ => answer_body(attempt),
    };
    if is_signed(&answer.headers) && answer.body == expected.as_bytes() {
        return None;
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Some(Violation::WrongAnswer { attempt: attempt.to_owned(), body })
}

/// Whether the fleet serves again: requests of all kinds through all entries.
pub async fn probe<R>(entries: &[SocketAddr], count: u32, rng: &mut R) -> Option<Violation>
where
    R: Rng,
{
    let clients: Vec<HttpClient> = entries.iter().filter_map(|entry| client(*entry)).collect();
    let mut served = 0;
    for index in 0..count {
        let kind = [Kind::Once, Kind::Safe, Kind::Stream][index as usize % 3];
        let attempt = format!("{:016x}", rng.random::<u64>());
        let answer = ask(&clients[index as usize % clients.len()], kind, &attempt).await;
        served += u32::from(answer.is_ok_and(|answer| answer.status == 200));
    }
    (served * 10 < count * 9).then_some(Violation::NotRecovered { served, asked: count })
}
