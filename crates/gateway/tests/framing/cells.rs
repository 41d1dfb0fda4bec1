//! Random answers over all framings, endings and cuts, and what their callers may be told.

use super::caller::{Ask, Received, Version, call};
use super::{Bench, EVENTS, event};
use flamingowheel_standin::platform::raw::{Answer, Call, Ending, Framing, RawServer};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Deadline of a request, and of one whose answer never ends, in milliseconds.
const DEADLINE_MS: u64 = 4_000;
const SILENT_DEADLINE_MS: u64 = 150;

/// Longest time between the last bytes of an answer and the end of its connection, in milliseconds.
const MAX_END_DELAY_MS: u64 = 20;

/// Time between two looks whether a server has ended.
const END_POLL_INTERVAL: Duration = Duration::from_millis(1);

pub const ENDINGS: [Ending; 6] = [
    Ending::Kept,
    Ending::Closed,
    Ending::HalfClosed,
    Ending::Reset,
    Ending::Silent,
    Ending::Garbage,
];

/// Longest time for which a listener outlives the connections of its process, in milliseconds.
const MAX_LISTENER_DELAY_MS: u64 = 8;

/// Silence before the end of a connection from which a live listener is not trusted at once: 5 ms in the
/// code, and the time that a loaded machine takes.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(10);

const PATHS: [&str; 4] = ["/once/x", "/safe/x", "/stream/x", "/live/x"];

/// One request and the first answer to it.
#[derive(Clone, Debug)]
pub struct Cell {
    pub path: &'static str,
    pub version: Version,
    pub answer: Answer,
    /// Framing of the answer that follows if the request is sent again.
    pub next_framing: Framing,
}

/// What an answer is, as far as its bytes, its connection and its server show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Truth {
    Whole,
    Broken,
    /// Nothing shows which.
    Hidden,
}

impl Cell {
    /// Draws a cell; `attempt` is the id that its answer bears.
    pub fn draw<R>(rng: &mut R, attempt: &str) -> Self
    where
        R: Rng,
    {
        let path = PATHS[rng.random_range(0..PATHS.len())];
        let framing = Framing::ALL[rng.random_range(0..Framing::ALL.len())];
        let body = if is_stream(path) {
            let end = ["\n", "\r\n", "\r"][rng.random_range(0..3)];
            (1..=EVENTS).map(event).collect::<String>().replace('\n', end)
        } else {
            "the answer to an order".to_owned()
        };
        let mut answer = Answer::whole(framing, Vec::new());
        answer.pieces = pieces(rng, body.as_bytes());
        if rng.random_bool(0.6) {
            answer.ending = ENDINGS[rng.random_range(0..ENDINGS.len())];
            answer.ends_server = rng.random_bool(0.5);
            let total = answer.encoded_bytes(attempt);
            // Half of the cuts are in the body, which is shorter than the head.
            let from = if rng.random() { answer.head_bytes(attempt) } else { 0 };
            // Other bytes in the place of the answer's own look like these.
            let may_cut = answer.ending != Ending::Garbage;
            let is_cut = may_cut && rng.random_bool(0.8);
            answer.cut_bytes = is_cut.then(|| rng.random_range(from..total));
        }
        if rng.random_bool(0.2) {
            answer.end_delay = Duration::from_millis(rng.random_range(0..=MAX_END_DELAY_MS));
        }
        let is_closed = matches!(answer.ending, Ending::Closed | Ending::Reset);
        if answer.ends_server && is_closed && rng.random_bool(0.2) {
            let delay_ms = rng.random_range(1..=MAX_LISTENER_DELAY_MS);
            answer.listener_delay = Duration::from_millis(delay_ms);
        }
        let version = [Version::Http10, Version::Http11, Version::Http11Closing];
        let version = version[rng.random_range(0..version.len())];
        let next_framing = Framing::ALL[rng.random_range(0..Framing::ALL.len())];
        Self { path, version, answer, next_framing }
    }

    pub fn whole_body(&self) -> Vec<u8> {
        self.answer.pieces.concat()
    }

    pub fn truth(&self, attempt: &str) -> Truth {
        let Answer { framing, ending, ends_server, cut_bytes, end_delay, .. } = self.answer;
        let head_bytes = self.answer.head_bytes(attempt);
        let cut = cut_bytes.unwrap_or(usize::MAX);
        let has_all = cut_bytes.is_none();
        if !framing.ends_with_connection() {
            return match ending {
                _ if !has_all => Truth::Broken,
                // The reset may overtake the last bytes.
                Ending::Reset => Truth::Hidden,
                _ => Truth::Whole,
            };
        }
        let is_closed = matches!(ending, Ending::Closed | Ending::HalfClosed);
        if cut < head_bytes || !is_closed {
            return Truth::Broken;
        }
        let is_inside_event =
            !has_all && is_stream(self.path) && !self.is_between_events(cut - head_bytes);
        // A listener that outlives a connection looks like that of a server that lives.
        let is_disguised = !self.answer.listener_delay.is_zero() && end_delay < SUSPICIOUS_SILENCE;
        match (has_all, ends_server) {
            _ if is_disguised && !is_inside_event => Truth::Hidden,
            _ if is_inside_event => Truth::Broken,
            (true, false) => Truth::Whole,
            (false, true) => Truth::Broken,
            (true, true) | (false, false) => Truth::Hidden,
        }
    }

    /// Whether the first bytes of the body end between two events, by the lengths of the events.
    fn is_between_events(&self, body_bytes: usize) -> bool {
        let event_bytes = self.whole_body().len() / EVENTS as usize;
        body_bytes.is_multiple_of(event_bytes)
    }

    /// Whether the first answer never ends, so that only the deadline does.
    fn is_endless(&self, attempt: &str) -> bool {
        let Answer { framing, ending, .. } = self.answer;
        let stays_open = matches!(ending, Ending::Kept | Ending::Silent | Ending::Garbage);
        let is_ended_by_framing =
            !framing.ends_with_connection() && self.truth(attempt) == Truth::Whole;
        stays_open && !is_ended_by_framing
    }
}

pub fn is_stream(path: &str) -> bool {
    path.starts_with("/stream/") || path.starts_with("/live/")
}

fn pieces<R>(rng: &mut R, mut body: &[u8]) -> Vec<Vec<u8>>
where
    R: Rng,
{
    let mut pieces = Vec::new();
    while !body.is_empty() {
        let (piece, rest) = body.split_at(rng.random_range(1..=body.len()));
        pieces.push(piece.to_vec());
        body = rest;
    }
    pieces
}

/// What came of one cell.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub cell: Cell,
    pub truth: Truth,
    pub received: Received,
    /// Number of requests that reached servers for it.
    pub sends: usize,
    /// Whether the answer before left a connection on which the request may have been lost.
    pub is_after_dead_connection: bool,
    /// Time from the end of the server's answer to the end of the caller's.
    pub end_after: Option<Duration>,
}

impl Outcome {
    pub fn is_right(&self) -> bool {
        let Received { status, is_complete, body, .. } = &self.received;
        *status == 200 && *is_complete && *body == self.cell.whole_body()
    }

    /// A part of an answer looks like all of it, though something shows that it is not.
    pub fn is_false_whole(&self) -> bool {
        self.truth == Truth::Broken && self.looks_whole_and_is_not()
    }

    /// A part of an answer looks like all of it, and nothing shows that it is not.
    pub fn is_part_taken_for_whole(&self) -> bool {
        self.truth == Truth::Hidden && self.looks_whole_and_is_not()
    }

    fn looks_whole_and_is_not(&self) -> bool {
        let Received { status, is_complete, body, .. } = &self.received;
        *status == 200 && *is_complete && *body != self.cell.whole_body()
    }

    /// A whole answer was reported broken, or asked for again.
    pub fn is_false_alarm(&self) -> bool {
        self.truth == Truth::Whole && !(self.is_right() && self.sends == 1)
    }
}

/// Sends requests one after the other to an entry with two servers.
pub struct Lane {
    bench: Bench,
    cell: Arc<Mutex<Option<Cell>>>,
    ended_at: Arc<Mutex<Option<Instant>>>,
    rng: ChaCha8Rng,
    name: u64,
    sent: u64,
    has_dead_connection: bool,
}

impl Lane {
    pub async fn start(seed: u64, name: u64) -> Self {
        let cell: Arc<Mutex<Option<Cell>>> = Arc::default();
        let ended_at: Arc<Mutex<Option<Instant>>> = Arc::default();
        let asked: Arc<Mutex<HashSet<String>>> = Arc::default();
        let mut servers = Vec::new();
        for _ in 0..2 {
            let (cell, asked, ended_at) =
                (Arc::clone(&cell), Arc::clone(&asked), Arc::clone(&ended_at));
            let script = move |call: &Call| {
                let cell = cell.lock().unwrap().clone().unwrap();
                *ended_at.lock().unwrap() = Some(Instant::now() + cell.answer.end_delay);
                if asked.lock().unwrap().insert(call.attempt.clone()) {
                    return cell.answer;
                }
                next_answer(&cell, call.last_event_id)
            };
            servers.push(RawServer::start(script).await.unwrap());
        }
        let bench = Bench::with_servers(servers).await;
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (name << 32));
        Self { bench, cell, ended_at, rng, name, sent: 0, has_dead_connection: false }
    }

    pub async fn next(&mut self) -> Outcome {
        self.sent += 1;
        let attempt = format!("{:x}-{:x}", self.name, self.sent);
        let cell = Cell::draw(&mut self.rng, &attempt);
        let (truth, sends_before) = (cell.truth(&attempt), self.bench.calls());
        *self.cell.lock().unwrap() = Some(cell.clone());
        let deadline_ms = if cell.is_endless(&attempt) { SILENT_DEADLINE_MS } else { DEADLINE_MS };
        let ask = Ask { version: cell.version, deadline_ms, ..Ask::new(cell.path, &attempt) };
        let received = call(self.bench.entry.address, ask).await;
        let ended_at = self.ended_at.lock().unwrap().take();
        let end_after = ended_at.map(|at| at.elapsed());
        let sends = self.bench.calls() - sends_before;
        if cell.answer.ends_server && sends > 0 {
            // The caller may have its answer before the server has ended.
            while self.bench.servers.iter().all(RawServer::is_running) {
                sleep(END_POLL_INTERVAL).await;
            }
            self.bench.restart_all(self.sent + 1).await;
        }
        let is_after_dead_connection = self.has_dead_connection;
        // The connection of an answer with another end is kept for the next request, and lost with it.
        let ending = cell.answer.ending;
        self.has_dead_connection = !matches!(ending, Ending::Kept | Ending::Closed);
        Outcome { cell, truth, received, sends, is_after_dead_connection, end_after }
    }

    /// Connections that servers have accepted, and requests that they have read.
    pub fn connections(&self) -> (u32, usize) {
        (self.bench.servers.iter().map(RawServer::accepted).sum(), self.bench.calls())
    }
}

/// The answer to a request that is sent again: the rest of a stream, or all of a plain answer.
fn next_answer(cell: &Cell, after: Option<u64>) -> Answer {
    let body = cell.whole_body();
    let skipped = body.len() / EVENTS as usize * after.unwrap_or(0) as usize;
    let rest = if is_stream(cell.path) { body[skipped..].to_vec() } else { body };
    Answer::whole(cell.next_framing, rest)
}
