//! Callers that keep their connections for as long as the entry does.

use super::check::Call;
use super::connection::{Connection, Received};
use super::events::Places;
use super::habits::Habit;
use crate::callers::{API_KEY, Kind};
use bytes::Bytes;
use flamingowheel_standin::platform::messages::caller_headers;
use flamingowheel_standin::platform::pace::Pace;
use http::{Method, Request};
use http_body_util::Full;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Deadlines of requests, in milliseconds.
const DEADLINE_MS: std::ops::Range<u64> = 2_000..16_000;

/// Time after its deadline that a caller still waits for an answer.
const EXTRA_WAIT: Duration = Duration::from_secs(3);

/// Time before plain answers and events of most requests, and of slow ones, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 5..60;
const SLOW_DELAY_MS: std::ops::Range<u64> = 60..1_200;

/// Ratio of slow requests, and of streams that are silent in their middle.
const SLOW_RATIO: f64 = 0.15;
const SILENT_RATIO: f64 = 0.2;

/// How long a stream is silent in its middle, in milliseconds.
const SILENCE_MS: std::ops::Range<u64> = 300..3_000;

/// Padding of the answers to slow readers.
const SLOW_READER_BYTES: usize = 16 * 1024;

/// Pauses between two requests of callers that make pauses, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..400;

/// Pause before the next try after a refused connection.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

const KINDS: [Kind; 5] = [Kind::Once, Kind::Safe, Kind::Stream, Kind::Stream, Kind::Live];

/// One caller.
#[derive(Debug)]
pub struct Caller {
    /// The entries that it may connect to.
    pub places: Arc<Places>,
    /// Receives its requests.
    pub calls: Arc<Mutex<Vec<Call>>>,
    /// Its number, which its behavior follows from.
    pub number: usize,
}

impl Caller {
    /// Sends requests until `stop`. The one in progress then is given up and not recorded. An idle
    /// connection is returned.
    pub async fn run(self, seed: u64, stop: CancellationToken) -> Option<Connection> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut connection = None;
        stop.run_until_cancelled(self.send_all(&mut connection, &mut rng)).await;
        connection
    }

    async fn send_all<R>(&self, connection: &mut Option<Connection>, rng: &mut R)
    where
        R: Rng,
    {
        let habit = Habit::of_caller(self.number);
        loop {
            let is_kept = match connection.as_mut() {
                Some(kept) => habit != Habit::Opens && kept.is_ready().await,
                None => false,
            };
            if !is_kept {
                let running = self.places.running();
                *connection = None;
                if !running.is_empty() {
                    let entry = running[rng.random_range(0..running.len())];
                    let address = self.places.address(entry);
                    *connection = Connection::open(entry, address, habit).await;
                }
            }
            // Dropped with a request that is given up, so that its entry is told.
            let Some(mut open) = connection.take() else {
                sleep(REFUSED_PAUSE).await;
                continue;
            };
            let call = send(&mut open, habit, rng).await;
            if call.as_ref().is_some_and(|call| call.received.error.is_none()) {
                *connection = Some(open);
            }
            self.calls.lock().unwrap_or_else(PoisonError::into_inner).extend(call);
            if habit == Habit::Pauses {
                sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            }
        }
    }
}

/// Sends a request of a random kind and pace. `None` if nothing of it was sent.
async fn send<R>(connection: &mut Connection, habit: Habit, rng: &mut R) -> Option<Call>
where
    R: Rng,
{
    let kind = KINDS[rng.random_range(0..KINDS.len())];
    let pace = random_pace(kind, habit, rng);
    let attempt = format!("{:016x}", rng.random::<u64>());
    let deadline_ms = rng.random_range(DEADLINE_MS);
    let request = Request::builder().method(Method::POST).uri(pace.path(kind.route()));
    let request = caller_headers(request, &attempt, API_KEY, deadline_ms)
        .body(Full::new(Bytes::from_static(b"{}")))
        .ok()?;
    let sent_at = Instant::now();
    let deadline = Duration::from_millis(deadline_ms);
    let mut received = Received::default();
    let asked = timeout(deadline + EXTRA_WAIT, connection.ask(request, &mut received)).await;
    let is_unanswered = asked.is_err();
    if !asked.unwrap_or(true) {
        return None;
    }
    if is_unanswered {
        received.error = Some("no end of the answer in time".to_owned());
    }
    let (entry, ended_at) = (connection.entry, Instant::now());
    Some(Call { entry, attempt, kind, pace, deadline, sent_at, ended_at, received, is_unanswered })
}

fn random_pace<R>(kind: Kind, habit: Habit, rng: &mut R) -> Pace
where
    R: Rng,
{
    let is_slow = rng.random_bool(SLOW_RATIO);
    let delay_ms = rng.random_range(if is_slow { SLOW_DELAY_MS } else { DELAY_MS });
    let is_silent = kind.is_stream() && rng.random_bool(SILENT_RATIO);
    let silence_ms = if is_silent { rng.random_range(SILENCE_MS) } else { 0 };
    let padding_bytes = if habit.is_slow() { SLOW_READER_BYTES } else { 0 };
    Pace { delay_ms, silence_ms, padding_bytes }
}
