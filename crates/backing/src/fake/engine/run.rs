//! Runs one call inside the engine.

use super::{FakeEngine, Process, QueuePosition, RunCount, silent};
use crate::backend::{BackendAnswer, BackendCall, BackendError, BodyPiece};
use crate::fake::lock;
use crate::fake::text::{DONE_EVENT, GenerationRequest, block_hashes, token_event, whole_json};
use bytes::Bytes;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Pieces buffered for a slow caller before generation waits.
const BODY_CAPACITY: usize = 64;

/// Size of the pieces in which an answer that is not streamed is sent.
const JSON_PIECE_BYTES: usize = 128;

type Piece = Result<BodyPiece, BackendError>;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Finished,
    Cancelled,
    Crashed,
    CallerGone,
}

struct Run {
    engine: FakeEngine,
    call: BackendCall,
    generation: GenerationRequest,
    head: Option<oneshot::Sender<BackendAnswer>>,
    pieces: mpsc::Sender<Piece>,
    receiver: Option<mpsc::Receiver<Piece>>,
}

/// Starts the call and returns a receiver for the head of its answer, which closes if the process
/// dies first.
pub(super) fn start(
    engine: &FakeEngine,
    process: Process,
    call: BackendCall,
) -> oneshot::Receiver<BackendAnswer> {
    let (head, answer) = oneshot::channel();
    let (pieces, receiver) = mpsc::channel(BODY_CAPACITY);
    let generation = GenerationRequest::from_body(&call.body, engine.settings().default_tokens);
    let cancelled = CancellationToken::new();
    lock(&engine.shared.state).calls.insert(call.id.clone(), cancelled.clone());
    let run = Run {
        engine: engine.clone(),
        call,
        generation,
        head: Some(head),
        pieces,
        receiver: Some(receiver),
    };
    tokio::spawn(run.run_to_end(process, cancelled));
    answer
}

impl Run {
    async fn run_to_end(mut self, process: Process, cancelled: CancellationToken) {
        let engine = self.engine.clone();
        let pieces = self.pieces.clone();
        let (id, body) = (self.call.id.clone(), self.call.body.clone());
        let mut place = Place { engine: &engine, acquired: false, position: None };
        let mut started = false;
        let ending = tokio::select! {
            biased;
            () = process.ended.cancelled() => Ending::Crashed,
            () = cancelled.cancelled() => Ending::Cancelled,
            ending = self.run(&mut place, &mut started) => ending,
        };
        drop(place);
        lock(&engine.shared.state).calls.remove(&id);
        match ending {
            Ending::Finished => {
                engine.update_run_counts(&id, &body, |count: &mut RunCount| count.finished += 1);
            }
            Ending::Crashed => {
                if started {
                    engine.update_run_counts(&id, &body, |count: &mut RunCount| count.lost += 1);
                }
                drop(self);
                let _ = pieces.send(Err(BackendError::Lost)).await;
            }
            Ending::Cancelled | Ending::CallerGone => {
                engine.update_run_counts(&id, &body, |count: &mut RunCount| count.cancelled += 1);
            }
        }
    }

    async fn run(&mut self, place: &mut Place<'_>, started: &mut bool) -> Ending {
        if self.engine.wait_until_unfrozen().await.is_err() {
            return Ending::CallerGone;
        }
        if self.generation.stream && !self.send_head("text/event-stream") {
            return Ending::CallerGone;
        }
        place.acquire(self.call.priority).await;
        *started = true;
        let (id, body) = (self.call.id.clone(), self.call.body.clone());
        self.engine.update_run_counts(&id, &body, |count: &mut RunCount| count.started += 1);
        lock(&self.engine.shared.state).cache.store(&block_hashes(&body));
        if self.generation.stream { self.stream().await } else { self.send_json().await }
    }

    fn send_head(&mut self, content_type: &str) -> bool {
        let (Some(head), Some(body)) = (self.head.take(), self.receiver.take()) else {
            return false;
        };
        let answer = BackendAnswer { status: 200, content_type: content_type.to_owned(), body };
        head.send(answer).is_ok()
    }

    async fn stream(&mut self) -> Ending {
        let first =
            if self.engine.settings().can_resume { self.call.resume_after_events } else { 0 };
        for index in first..self.generation.tokens {
            if let Err(ending) = self.generate_token(index).await {
                return ending;
            }
            let event = token_event(&self.call.body, index);
            if self.pieces.send(Ok(BodyPiece::Data(event))).await.is_err() {
                return Ending::CallerGone;
            }
        }
        if let Err(ending) = self.generate_token(self.generation.tokens).await {
            return ending;
        }
        if first <= self.generation.tokens {
            let done = BodyPiece::Data(Bytes::from_static(DONE_EVENT));
            let _ = self.pieces.send(Ok(done)).await;
        }
        self.end().await
    }

    async fn send_json(&mut self) -> Ending {
        for index in 0..=self.generation.tokens {
            if let Err(ending) = self.generate_token(index).await {
                return ending;
            }
        }
        if !self.send_head("application/json") {
            return Ending::CallerGone;
        }
        let mut answer = whole_json(&self.call.body, self.generation.tokens);
        while !answer.is_empty() {
            let piece = answer.split_to(answer.len().min(JSON_PIECE_BYTES));
            if self.pieces.send(Ok(BodyPiece::Data(piece))).await.is_err() {
                return Ending::CallerGone;
            }
            // A large body is sent in pieces, so a crash can truncate it.
            if let Err(ending) = self.generate_token(self.generation.tokens).await {
                return ending;
            }
            tokio::time::sleep(self.engine.settings().token_delay).await;
        }
        self.end().await
    }

    async fn end(&mut self) -> Ending {
        match self.pieces.send(Ok(BodyPiece::End)).await {
            Ok(()) => Ending::Finished,
            Err(_) => Ending::CallerGone,
        }
    }

    /// Waits for the generation of the token at `index`, if there is one, and applies crashes and
    /// freezes.
    async fn generate_token(&mut self, index: u64) -> Result<(), Ending> {
        if index >= self.engine.settings().crash_after_tokens && self.triggers_crash() {
            self.engine.crash();
            return Err(Ending::Crashed);
        }
        if index < self.generation.tokens {
            tokio::time::sleep(self.engine.settings().token_delay).await;
        }
        if !self.engine.is_frozen() {
            return Ok(());
        }
        let timeout = self.engine.settings().silence_timeout;
        if tokio::time::timeout(timeout, self.engine.wait_until_unfrozen()).await.is_ok() {
            return Ok(());
        }
        self.report_silence(timeout).await;
        // The caller has timed out; the engine detects that once it is unfrozen and stops
        // generating.
        let _ = self.engine.wait_until_unfrozen().await;
        Err(Ending::CallerGone)
    }

    async fn report_silence(&mut self, timeout: Duration) {
        let _ = self.pieces.send(Err(silent(timeout))).await;
    }

    fn triggers_crash(&self) -> bool {
        let state = lock(&self.engine.shared.state);
        state.crash_on.iter().any(|part| contains(&self.call.body, part))
    }
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && body.windows(part.len()).any(|window| window == part)
}

/// A place in the batch; released on drop, however the run ends.
struct Place<'a> {
    engine: &'a FakeEngine,
    acquired: bool,
    position: Option<QueuePosition>,
}

impl Place<'_> {
    async fn acquire(&mut self, priority: crate::backend::Priority) {
        let mut position = QueuePosition { priority, number: 0 };
        self.engine.update_load(|state| {
            state.next_queue_number += 1;
            position.number = state.next_queue_number;
            state.waiting.push(position);
        });
        self.position = Some(position);
        loop {
            let freed = self.engine.shared.place_freed.notified();
            if self.try_acquire(position) {
                return;
            }
            freed.await;
        }
    }

    fn try_acquire(&mut self, position: QueuePosition) -> bool {
        let places = self.engine.settings().places;
        let mut acquired = false;
        self.engine.update_load(|state| {
            if state.running < places && state.waiting.iter().min() == Some(&position) {
                state.waiting.retain(|other| *other != position);
                state.running += 1;
                acquired = true;
            }
        });
        if acquired {
            self.acquired = true;
            self.position = None;
            // There may be a place for the next request in the queue too.
            self.engine.shared.place_freed.notify_waiters();
        }
        acquired
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.engine.update_load(|state| {
            if self.acquired {
                state.running -= 1;
            }
            if let Some(position) = self.position {
                state.waiting.retain(|other| *other != position);
            }
        });
        self.engine.shared.place_freed.notify_waiters();
    }
}
