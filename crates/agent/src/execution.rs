//! An execution: its answer so far, and the attempts that are attached to it.
//!
//! The task that reads from the backend server appends chunks; one task per attached attempt sends
//! them. Chunks are numbered, and a bounded number of bytes is kept, so that an attempt can move to
//! another connection and continue with its first missing chunk.

use crate::load::LoadCell;
use crate::stored::StoredBytes;
use bytes::{Bytes, BytesMut};
use flamingowheel_protocol::id::{AttemptId, Fingerprint};
use flamingowheel_protocol::message::{AgentMessage, Failure, Occupancy, Refusal};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Upper bound on unacknowledged chunks that are sent.
const SEND_WINDOW_CHUNKS: u64 = 1024;

/// Upper bound on the messages that are collected in one batch.
const MAX_BATCH_MESSAGES: usize = 64;

/// Memory that a chunk takes besides its bytes. Without it, an answer of many tiny chunks would be
/// counted far too small.
const CHUNK_OVERHEAD_BYTES: usize = std::mem::size_of::<Bytes>();

const EVENT_STREAM: &str = "text/event-stream";

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is complete.
    Complete,
    /// The request may have run; there is no complete answer.
    Failed(Failure),
    /// The request did not run and never will.
    NotRun(Refusal),
}

/// Properties of an execution that don't change.
#[derive(Clone, Debug)]
pub struct ExecutionSpec {
    /// Hash of workspace, route and body.
    pub fingerprint: Fingerprint,
    /// Whether running it twice is harmless.
    pub idempotent: bool,
    /// Bytes of the answer that are kept for replay.
    pub max_replay_bytes: usize,
    /// Whether the backend server can resume an event stream after a given event.
    pub can_resume: bool,
    /// Number of this execution's first chunk. Above zero if an earlier agent process sent the
    /// chunks before it.
    pub first_chunk: u64,
}

/// A complete answer in one piece.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteAnswer {
    /// HTTP status from the backend server.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// All chunks of the body, joined.
    pub body: Bytes,
}

#[derive(Debug)]
struct Listener {
    attempt: AttemptId,
    generation: u64,
    next_unacknowledged: u64,
}

#[derive(Debug, Default)]
struct Answer {
    head: Option<(u16, String)>,
    chunks: VecDeque<Bytes>,
    first_kept: u64,
    kept_bytes: usize,
    ending: Option<Ending>,
    listeners: Vec<Listener>,
    last_generation: u64,
    no_listeners_since: Option<Instant>,
    stored: StoredBytes,
}

impl Answer {
    fn next_chunk(&self) -> u64 {
        self.first_kept + self.chunks.len() as u64
    }

    fn drop_first(&mut self) {
        if let Some(chunk) = self.chunks.pop_front() {
            self.kept_bytes -= chunk.len();
            self.first_kept += 1;
            self.stored.remove(chunk.len() + CHUNK_OVERHEAD_BYTES);
        }
    }

    fn append(&mut self, chunk: Bytes) {
        self.kept_bytes += chunk.len();
        self.stored.add(chunk.len() + CHUNK_OVERHEAD_BYTES);
        // The chunk is a slice of the connection's buffer. Keeping it would keep that whole buffer
        // alive for minutes, uncounted.
        let chunk = Bytes::copy_from_slice(&chunk);
        self.chunks.push_back(chunk);
    }

    /// The first chunk that some listener has not acknowledged and may need again.
    fn first_unacknowledged(&self) -> Option<u64> {
        self.listeners.iter().map(|listener| listener.next_unacknowledged).min()
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.stored.remove(self.kept_bytes + self.chunks.len() * CHUNK_OVERHEAD_BYTES);
    }
}

/// One execution, shared between the control task, the reading task and the sending tasks.
#[derive(Debug)]
pub struct Execution {
    spec: ExecutionSpec,
    answer: Mutex<Answer>,
    changed: Notify,
    space: Notify,
    stop: CancellationToken,
}

impl Execution {
    /// An execution that has not begun. The bytes of its answer are counted in `stored` until it is
    /// dropped.
    pub fn new(spec: ExecutionSpec, stored: StoredBytes) -> Self {
        let mut answer = Answer::default();
        answer.no_listeners_since = Some(Instant::now());
        answer.first_kept = spec.first_chunk;
        answer.stored = stored;
        Self {
            spec,
            answer: Mutex::new(answer),
            changed: Notify::new(),
            space: Notify::new(),
            stop: CancellationToken::new(),
        }
    }

    /// Properties that the execution was created with.
    pub fn spec(&self) -> &ExecutionSpec {
        &self.spec
    }

    /// Token that stops the execution when cancelled.
    pub fn stop_token(&self) -> &CancellationToken {
        &self.stop
    }

    /// Whether the execution has ended.
    pub fn is_over(&self) -> bool {
        self.lock().ending.is_some()
    }

    /// The attempts that are attached now.
    pub fn attempts(&self) -> Vec<AttemptId> {
        self.lock().listeners.iter().map(|listener| listener.attempt).collect()
    }

    /// Whether this attempt is attached.
    pub fn has_listener(&self, attempt: AttemptId) -> bool {
        self.lock().listeners.iter().any(|listener| listener.attempt == attempt)
    }

    /// Since when no attempt is attached; `None` if one is.
    pub fn no_listeners_since(&self) -> Option<Instant> {
        self.lock().no_listeners_since
    }

    /// Whether an attempt is attached.
    pub fn has_listeners(&self) -> bool {
        !self.lock().listeners.is_empty()
    }

    /// Attaches `attempt`; the returned task sends it the answer over `sender`, from the given
    /// chunk on.
    pub fn attach(
        self: &Arc<Self>,
        attempt: AttemptId,
        sender: mpsc::Sender<AgentMessage>,
        from_chunk: u64,
        load: LoadCell,
    ) -> impl Future<Output = ()> + Send + use<> {
        let generation = self.add_listener(attempt, from_chunk);
        let sender_task = AnswerSender {
            execution: Arc::clone(self),
            attempt,
            generation,
            next_chunk: from_chunk,
            head_sent: false,
            ended: false,
            sender,
            load,
        };
        sender_task.run()
    }

    fn add_listener(&self, attempt: AttemptId, from_chunk: u64) -> u64 {
        let mut answer = self.lock();
        answer.last_generation += 1;
        let generation = answer.last_generation;
        answer.listeners.retain(|listener| listener.attempt != attempt);
        answer.listeners.push(Listener { attempt, generation, next_unacknowledged: from_chunk });
        answer.no_listeners_since = None;
        generation
    }

    /// Detaches an attempt; returns whether others remain attached.
    pub fn detach(&self, attempt: AttemptId) -> bool {
        let mut answer = self.lock();
        answer.listeners.retain(|listener| listener.attempt != attempt);
        let has_others = !answer.listeners.is_empty();
        if !has_others && answer.no_listeners_since.is_none() {
            answer.no_listeners_since = Some(Instant::now());
        }
        drop(answer);
        self.changed.notify_waiters();
        self.space.notify_one();
        has_others
    }

    /// Detaches an attempt whose connection ended, unless it has attached again since.
    fn detach_generation(&self, attempt: AttemptId, generation: u64) {
        let current = self
            .lock()
            .listeners
            .iter()
            .any(|listener| listener.attempt == attempt && listener.generation == generation);
        if current {
            self.detach(attempt);
        }
    }

    /// Drops the chunks of an ended answer that no attempt can request again: only event streams
    /// can be resumed through another entry.
    pub fn discard_unresumable(&self) {
        let mut answer = self.lock();
        let is_events =
            answer.head.as_ref().is_some_and(|(_, kind)| kind.starts_with(EVENT_STREAM));
        if is_events || answer.ending.is_none() || !answer.listeners.is_empty() {
            return;
        }
        while !answer.chunks.is_empty() {
            answer.drop_first();
        }
    }

    /// Records that an attempt has received all chunks below `next_chunk`.
    pub fn acknowledge(&self, attempt: AttemptId, next_chunk: u64) {
        let mut answer = self.lock();
        for listener in answer.listeners.iter_mut().filter(|listener| listener.attempt == attempt) {
            listener.next_unacknowledged = listener.next_unacknowledged.max(next_chunk);
        }
        drop(answer);
        self.changed.notify_waiters();
        self.space.notify_one();
    }

    /// Sets status and media type of the answer.
    pub fn set_head(&self, status: u16, content_type: String) {
        self.lock().head = Some((status, content_type));
        self.changed.notify_waiters();
    }

    /// Appends a chunk. While the bound on kept bytes is reached, drops chunks that all listeners
    /// have acknowledged, or else waits. Answers to requests that are not idempotent must be kept
    /// completely, so they fail at the bound instead.
    pub async fn push(&self, data: Bytes) -> Result<(), Failure> {
        let mut data = Some(data);
        loop {
            if self.try_push(&mut data)? {
                self.changed.notify_waiters();
                return Ok(());
            }
            tokio::select! {
                () = self.space.notified() => {}
                () = self.stop.cancelled() => return Err(Failure::Cancelled),
            }
        }
    }

    fn try_push(&self, data: &mut Option<Bytes>) -> Result<bool, Failure> {
        let mut answer = self.lock();
        while answer.kept_bytes >= self.spec.max_replay_bytes && !answer.chunks.is_empty() {
            if !self.spec.idempotent {
                return Err(Failure::ReplayGone);
            }
            if answer.first_unacknowledged().is_none_or(|needed| needed <= answer.first_kept) {
                return Ok(false);
            }
            answer.drop_first();
        }
        if let Some(data) = data.take() {
            answer.append(data);
        }
        Ok(true)
    }

    /// Ends the execution. Later calls have no effect.
    pub fn finish(&self, ending: Ending) {
        self.lock().ending.get_or_insert(ending);
        self.changed.notify_waiters();
    }

    /// Number of chunks so far, including those of an earlier agent process.
    pub fn chunk_count(&self) -> u64 {
        self.lock().next_chunk()
    }

    /// Whether the backend server can be asked to resume the answer. Engines count events, so this
    /// is limited to event streams that have begun.
    pub fn may_resume(&self) -> bool {
        let answer = self.lock();
        let events = answer.head.as_ref().is_some_and(|(_, kind)| kind.starts_with(EVENT_STREAM));
        events && self.spec.can_resume && self.spec.idempotent && answer.ending.is_none()
    }

    /// How the execution ended; `None` while it is in progress.
    pub fn ending(&self) -> Option<Ending> {
        self.lock().ending
    }

    /// The answer, if it is complete and kept from its first chunk, and its body is at most
    /// `max_bytes`.
    pub fn complete_answer(&self, max_bytes: usize) -> Option<CompleteAnswer> {
        let answer = self.lock();
        let is_complete = answer.ending == Some(Ending::Complete) && answer.first_kept == 0;
        if !is_complete || answer.kept_bytes > max_bytes {
            return None;
        }
        let (status, content_type) = answer.head.clone()?;
        let mut body = BytesMut::with_capacity(answer.kept_bytes);
        answer.chunks.iter().for_each(|chunk| body.extend_from_slice(chunk));
        Some(CompleteAnswer { status, content_type, body: body.freeze() })
    }

    fn lock(&self) -> MutexGuard<'_, Answer> {
        // The data stays consistent: no code panics between two related writes.
        self.answer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Task that sends the answer to one attempt.
struct AnswerSender {
    execution: Arc<Execution>,
    attempt: AttemptId,
    generation: u64,
    next_chunk: u64,
    head_sent: bool,
    ended: bool,
    sender: mpsc::Sender<AgentMessage>,
    load: LoadCell,
}

/// What the task does after it has sent the collected messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterSend {
    /// Wait for a change. Also after the end of the answer, so that a lost connection detaches the
    /// attempt.
    Wait,
    /// Collect again at once.
    Again,
    /// End, because the attempt was detached or moved to another connection.
    Stop,
}

impl AnswerSender {
    async fn run(mut self) {
        let execution = Arc::clone(&self.execution);
        let mut messages = Vec::with_capacity(MAX_BATCH_MESSAGES + 2);
        loop {
            let changed = execution.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let after_send = self.collect(&mut messages);
            for message in messages.drain(..) {
                if self.sender.send(message).await.is_err() {
                    execution.detach_generation(self.attempt, self.generation);
                    return;
                }
            }
            match after_send {
                AfterSend::Again => {}
                AfterSend::Stop => return,
                AfterSend::Wait => tokio::select! {
                    () = changed => {}
                    () = self.sender.closed() => {
                        execution.detach_generation(self.attempt, self.generation);
                        return;
                    }
                },
            }
        }
    }

    /// Collects the messages that can be sent now.
    fn collect(&mut self, messages: &mut Vec<AgentMessage>) -> AfterSend {
        let answer = self.execution.lock();
        let listener = answer.listeners.iter().find(|listener| {
            listener.attempt == self.attempt && listener.generation == self.generation
        });
        let Some(listener) = listener else { return AfterSend::Stop };
        if self.ended {
            return AfterSend::Wait;
        }
        let (attempt, occupancy) = (self.attempt, Occupancy::from(self.load.get()));
        if self.next_chunk < answer.first_kept {
            messages.push(AgentMessage::Failed {
                attempt,
                failure: Failure::ReplayGone,
                occupancy,
            });
            self.ended = true;
            return AfterSend::Wait;
        }
        if let (Some((status, content_type)), false) = (&answer.head, self.head_sent) {
            let (status, content_type) = (*status, content_type.clone());
            messages.push(AgentMessage::Head { attempt, status, content_type, occupancy });
            self.head_sent = true;
        }
        let limit = answer.next_chunk().min(listener.next_unacknowledged + SEND_WINDOW_CHUNKS);
        while self.next_chunk < limit {
            if messages.len() >= MAX_BATCH_MESSAGES {
                return AfterSend::Again;
            }
            let data = answer.chunks[(self.next_chunk - answer.first_kept) as usize].clone();
            messages.push(AgentMessage::Chunk {
                attempt,
                number: self.next_chunk,
                data,
                occupancy,
            });
            self.next_chunk += 1;
        }
        let Some(ending) = answer.ending else { return AfterSend::Wait };
        if matches!(ending, Ending::Complete) && self.next_chunk < answer.next_chunk() {
            return AfterSend::Wait;
        }
        messages.push(match ending {
            Ending::Complete => {
                AgentMessage::End { attempt, chunk_count: answer.next_chunk(), occupancy }
            }
            Ending::Failed(failure) => AgentMessage::Failed { attempt, failure, occupancy },
            Ending::NotRun(refusal) => {
                AgentMessage::Refused { attempt, refusal, load: self.load.get() }
            }
        });
        self.ended = true;
        AfterSend::Wait
    }
}
