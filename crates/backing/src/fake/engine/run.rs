//! The life of one call inside the engine.

use super::{FakeEngine, Process, RunCount, Ticket, silent};
use crate::backend::{BackendAnswer, BackendCall, BackendError, BodyPiece};
use crate::fake::lock;
use crate::fake::text::{DONE_EVENT, GenerationRequest, block_hashes, token_event, whole_json};
use bytes::Bytes;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Pieces the caller may lag behind before generation waits for it.
const BODY_CAPACITY: usize = 64;

/// Size of the pieces in which an answer that is not streamed comes.
const JSON_PIECE_BYTES: usize = 128;

type Piece = Result<BodyPiece, BackendError>;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Finished,
    Cancelled,
    Crashed,
    GaveUp,
}

struct Run {
    engine: FakeEngine,
    call: BackendCall,
    generation: GenerationRequest,
    head: Option<oneshot::Sender<BackendAnswer>>,
    pieces: mpsc::Sender<Piece>,
    receiver: Option<mpsc::Receiver<Piece>>,
}

/// Starts the call and yields its head; the head is lost if the process dies before it.
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
    tokio::spawn(run.complete(process, cancelled));
    answer
}

impl Run {
    async fn complete(mut self, process: Process, cancelled: CancellationToken) {
        let engine = self.engine.clone();
        let pieces = self.pieces.clone();
        let (id, body) = (self.call.id.clone(), self.call.body.clone());
        let mut place = Place { engine: &engine, taken: false, ticket: None };
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
                engine.count(&id, &body, |count: &mut RunCount| count.finished += 1);
            }
            Ending::Crashed => {
                if started {
                    engine.count(&id, &body, |count: &mut RunCount| count.lost += 1);
                }
                drop(self);
                let _ = pieces.send(Err(BackendError::Lost)).await;
            }
            Ending::Cancelled | Ending::GaveUp => {
                engine.count(&id, &body, |count: &mut RunCount| count.cancelled += 1);
            }
        }
    }

    async fn run(&mut self, place: &mut Place<'_>, started: &mut bool) -> Ending {
        if self.engine.thawed().await.is_err() {
            return Ending::GaveUp;
        }
        if self.generation.stream && !self.send_head("text/event-stream") {
            return Ending::GaveUp;
        }
        place.take(self.call.priority).await;
        *started = true;
        let (id, body) = (self.call.id.clone(), self.call.body.clone());
        self.engine.count(&id, &body, |count: &mut RunCount| count.started += 1);
        lock(&self.engine.shared.state).cache.store(&block_hashes(&body));
        if self.generation.stream { self.stream().await } else { self.answer_whole().await }
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
            if let Err(ending) = self.step(index).await {
                return ending;
            }
            let event = token_event(&self.call.body, index);
            if self.pieces.send(Ok(BodyPiece::Data(event))).await.is_err() {
                return Ending::GaveUp;
            }
        }
        if let Err(ending) = self.step(self.generation.tokens).await {
            return ending;
        }
        if first <= self.generation.tokens {
            let done = BodyPiece::Data(Bytes::from_static(DONE_EVENT));
            let _ = self.pieces.send(Ok(done)).await;
        }
        self.end().await
    }

    async fn answer_whole(&mut self) -> Ending {
        for index in 0..=self.generation.tokens {
            if let Err(ending) = self.step(index).await {
                return ending;
            }
        }
        if !self.send_head("application/json") {
            return Ending::GaveUp;
        }
        let mut answer = whole_json(&self.call.body, self.generation.tokens);
        while !answer.is_empty() {
            let piece = answer.split_to(answer.len().min(JSON_PIECE_BYTES));
            if self.pieces.send(Ok(BodyPiece::Data(piece))).await.is_err() {
                return Ending::GaveUp;
            }
            // A large body does not come in one piece, so it can break off in the middle.
            if let Err(ending) = self.step(self.generation.tokens).await {
                return ending;
            }
            tokio::time::sleep(self.engine.settings().token_delay).await;
        }
        self.end().await
    }

    async fn end(&mut self) -> Ending {
        match self.pieces.send(Ok(BodyPiece::End)).await {
            Ok(()) => Ending::Finished,
            Err(_) => Ending::GaveUp,
        }
    }

    /// The time of one token, and whatever befalls the engine in it.
    async fn step(&mut self, index: u64) -> Result<(), Ending> {
        if index >= self.engine.settings().crash_after_tokens && self.kills() {
            self.engine.crash();
            return Err(Ending::Crashed);
        }
        if index < self.generation.tokens {
            tokio::time::sleep(self.engine.settings().token_delay).await;
        }
        if !self.engine.is_frozen() {
            return Ok(());
        }
        let limit = self.engine.settings().silence_timeout;
        if tokio::time::timeout(limit, self.engine.thawed()).await.is_ok() {
            return Ok(());
        }
        self.tell_silence(limit).await;
        // The caller has hung up; the engine sees that when it wakes and stops generating.
        let _ = self.engine.thawed().await;
        Err(Ending::GaveUp)
    }

    async fn tell_silence(&mut self, limit: Duration) {
        let _ = self.pieces.send(Err(silent(limit))).await;
    }

    fn kills(&self) -> bool {
        let state = lock(&self.engine.shared.state);
        state.crash_on.iter().any(|part| contains(&self.call.body, part))
    }
}

fn contains(body: &[u8], part: &[u8]) -> bool {
    !part.is_empty() && body.windows(part.len()).any(|window| window == part)
}

/// A place in the batch, given back however the run ends.
struct Place<'a> {
    engine: &'a FakeEngine,
    taken: bool,
    ticket: Option<Ticket>,
}

impl Place<'_> {
    async fn take(&mut self, priority: crate::backend::Priority) {
        let mut ticket = Ticket { priority, number: 0 };
        self.engine.change_load(|state| {
            state.next_ticket += 1;
            ticket.number = state.next_ticket;
            state.waiting.push(ticket);
        });
        self.ticket = Some(ticket);
        loop {
            let freed = self.engine.shared.place_freed.notified();
            if self.try_take(ticket) {
                return;
            }
            freed.await;
        }
    }

    fn try_take(&mut self, ticket: Ticket) -> bool {
        let places = self.engine.settings().places;
        let mut taken = false;
        self.engine.change_load(|state| {
            if state.running < places && state.waiting.iter().min() == Some(&ticket) {
                state.waiting.retain(|other| *other != ticket);
                state.running += 1;
                taken = true;
            }
        });
        if taken {
            self.taken = true;
            self.ticket = None;
            // The next in line may find a place too.
            self.engine.shared.place_freed.notify_waiters();
        }
        taken
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.engine.change_load(|state| {
            if self.taken {
                state.running -= 1;
            }
            if let Some(ticket) = self.ticket {
                state.waiting.retain(|other| *other != ticket);
            }
        });
        self.engine.shared.place_freed.notify_waiters();
    }
}
