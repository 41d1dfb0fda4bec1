//! One attempt at a request, with a type for each stage of its life.
//!
//! `Prepared` has not left the entry; `Sent` may or may not have arrived; `Streaming` has begun to
//! be answered. Only a prepared attempt, or a refusal by the agent, proves that it did not run.

use crate::agents::{Agent, Connected, StreamEvent, StreamListener, is_incarnation};
use bytes::Bytes;
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Incarnation, Window};
use flamingowheel_protocol::message::{AgentMessage, Dispatch, EntryMessage, Failure, Refusal};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Chunks that may be unacknowledged before an acknowledgement is sent.
const ACKNOWLEDGE_EVERY: u64 = 64;

/// Not sent yet.
#[derive(Debug)]
pub struct Prepared {
    dispatch: Box<Dispatch>,
}

/// Handed to the connection; no answer yet.
#[derive(Debug)]
pub struct Sent {
    line: Line,
}

/// The answer has begun.
#[derive(Debug)]
pub struct Streaming {
    line: Line,
    next_chunk: u64,
    acknowledged: u64,
}

/// An attempt in stage `S`.
#[derive(Debug)]
pub struct Attempt<S> {
    identity: Identity,
    stage: S,
}

/// What stays the same through an attempt's life.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// The attempt.
    pub attempt: AttemptId,
    /// What the agent files it under.
    pub key: ExecutionKey,
    /// The agent process it was sent to.
    pub incarnation: Incarnation,
    /// The agent's window when it was sent.
    pub window: Window,
}

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Proof that it did not run.
    Refused(Refusal),
    /// It may have run.
    Failed(Failure),
    /// The agent can't be reached any more.
    Unreachable,
    /// The agent process it was sent to is gone; another has taken its place.
    Replaced(Incarnation),
    /// The deadline passed.
    DeadlinePassed,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A chunk and its number.
    Chunk(u64, Bytes),
    /// Every chunk was seen, and their count was confirmed.
    End,
}

/// The connection that an attempt uses at present.
#[derive(Debug)]
struct Line {
    listener: StreamListener,
    connected: Connected,
    reconnect_limit: Duration,
}

impl Attempt<Prepared> {
    /// An attempt that has not left the entry.
    pub fn new(dispatch: Box<Dispatch>) -> Self {
        let identity = Identity {
            attempt: dispatch.attempt,
            key: dispatch.key,
            incarnation: dispatch.incarnation,
            window: dispatch.window,
        };
        Self { identity, stage: Prepared { dispatch } }
    }

    /// Hands it to the connection. On an error it provably did not leave the entry.
    pub async fn send(
        self,
        agent: &Arc<Agent>,
        connected: Connected,
        reconnect_limit: Duration,
    ) -> Result<Attempt<Sent>, Refusal> {
        let listener = agent.listen(self.identity.attempt);
        let message = EntryMessage::Dispatch(self.stage.dispatch);
        if connected.sender.send(message).await.is_err() {
            return Err(Refusal::NeverArrived);
        }
        let line = Line { listener, connected, reconnect_limit };
        Ok(Attempt { identity: self.identity, stage: Sent { line } })
    }
}

impl Attempt<Sent> {
    /// Takes up an attempt that another entry had sent.
    pub fn adopt(
        identity: Identity,
        agent: &Arc<Agent>,
        connected: Connected,
        reconnect_limit: Duration,
    ) -> Self {
        let listener = agent.listen(identity.attempt);
        Self { identity, stage: Sent { line: Line { listener, connected, reconnect_limit } } }
    }

    /// Asks the agent to answer over this connection from the given chunk on.
    pub async fn ask(&mut self, from_chunk: u64) {
        let message = attach(&self.identity, from_chunk);
        let _ = self.stage.line.connected.sender.send(message).await;
    }

    /// The attempt's identity.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Waits for the answer to begin. On `DeadlinePassed` the attempt is handed back, so that it
    /// can be cancelled.
    pub async fn begin(
        mut self,
        deadline: Instant,
        from_chunk: u64,
    ) -> Result<(Head, Attempt<Streaming>), (AttemptEnd, Self)> {
        loop {
            let line = &mut self.stage.line;
            let event = line.next(&self.identity, deadline, from_chunk).await;
            match event {
                Err(end) => return Err((end, self)),
                Ok(AgentMessage::Refused { refusal, .. }) => {
                    return Err((AttemptEnd::Refused(refusal), self));
                }
                Ok(AgentMessage::Failed { failure, .. }) => {
                    return Err((AttemptEnd::Failed(failure), self));
                }
                Ok(AgentMessage::Head { status, content_type, .. }) => {
                    let stage = Streaming {
                        line: self.stage.line,
                        next_chunk: from_chunk,
                        acknowledged: from_chunk,
                    };
                    let head = Head { status, content_type };
                    return Ok((head, Attempt { identity: self.identity, stage }));
                }
                // Accepted says only that silence proves nothing, which holds since the send.
                Ok(_) => {}
            }
        }
    }

    /// Cancels and waits for the agent's word. `Ok` is proof that it did not run.
    pub async fn cancel(self, limit: Duration) -> Result<Refusal, AttemptEnd> {
        let mut line = self.stage.line;
        let deadline = Instant::now() + limit;
        loop {
            send_cancel(&line.connected, &self.identity);
            match line.answer_to_cancel(deadline).await {
                CancelAnswer::Refused(refusal) => return Ok(refusal),
                CancelAnswer::Failed(failure) => return Err(AttemptEnd::Failed(failure)),
                CancelAnswer::Late => return Err(AttemptEnd::DeadlinePassed),
                CancelAnswer::Lost => line.reconnect(&self.identity, deadline).await?,
            }
        }
    }
}

impl Attempt<Streaming> {
    /// The attempt's identity.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// The number of the next chunk.
    pub fn next_chunk(&self) -> u64 {
        self.stage.next_chunk
    }

    /// The agent that answers.
    pub fn agent(&self) -> &Arc<Agent> {
        self.stage.line.listener.agent()
    }

    /// Waits for the next piece, however long it takes: an agent that lives sends heartbeats, so
    /// there is an end to waiting for one that does not.
    pub async fn next(&mut self) -> Result<Piece, AttemptEnd> {
        loop {
            let far = Instant::now() + FAR;
            let wanted = self.stage.next_chunk;
            let message = self.stage.line.next(&self.identity, far, wanted).await?;
            match message {
                AgentMessage::Chunk { number, data, .. } if number == wanted => {
                    self.stage.next_chunk += 1;
                    self.acknowledge();
                    return Ok(Piece::Chunk(number, data));
                }
                // A copy of what was delivered.
                AgentMessage::Chunk { number, .. } if number < wanted => {}
                AgentMessage::Chunk { .. } => self.ask_again().await,
                AgentMessage::End { chunk_count, .. } if chunk_count == wanted => {
                    self.release();
                    return Ok(Piece::End);
                }
                // The end overtook chunks, or chunks were lost: a short answer must not pass for
                // a whole one.
                AgentMessage::End { .. } => self.ask_again().await,
                AgentMessage::Refused { refusal, .. } => {
                    return Err(AttemptEnd::Refused(refusal));
                }
                AgentMessage::Failed { failure, .. } => return Err(AttemptEnd::Failed(failure)),
                _ => {}
            }
        }
    }

    async fn ask_again(&mut self) {
        let message = attach(&self.identity, self.stage.next_chunk);
        let _ = self.stage.line.connected.sender.send(message).await;
    }

    fn acknowledge(&mut self) {
        if self.stage.next_chunk - self.stage.acknowledged < ACKNOWLEDGE_EVERY {
            return;
        }
        self.stage.acknowledged = self.stage.next_chunk;
        let Identity { attempt, key, .. } = self.identity;
        let next_chunk = self.stage.next_chunk;
        // A lost acknowledgement only makes the agent keep more; the next one covers it.
        let message = EntryMessage::Acknowledge { attempt, key, next_chunk };
        let _ = self.stage.line.connected.sender.try_send(message);
    }

    fn release(&self) {
        let Identity { attempt, key, .. } = self.identity;
        let message = EntryMessage::Release { attempt, key };
        let _ = self.stage.line.connected.sender.try_send(message);
    }

    /// Tells the agent that nobody reads any more.
    pub fn abandon(self) {
        send_cancel(&self.stage.line.connected, &self.identity);
    }
}

/// Longer than any stream; a wait that is ended by other means.
const FAR: Duration = Duration::from_secs(30 * 24 * 3600);

enum CancelAnswer {
    Refused(Refusal),
    Failed(Failure),
    Lost,
    Late,
}

impl Line {
    /// The next message, moving to another connection when the present one is lost.
    async fn next(
        &mut self,
        identity: &Identity,
        deadline: Instant,
        wanted: u64,
    ) -> Result<AgentMessage, AttemptEnd> {
        loop {
            let event = timeout_at(deadline, self.listener.next()).await;
            match event {
                Err(_) => return Err(AttemptEnd::DeadlinePassed),
                Ok(None) => return Err(AttemptEnd::Unreachable),
                Ok(Some(StreamEvent::Message(message))) => return Ok(message),
                Ok(Some(StreamEvent::Lost { epoch })) if epoch < self.connected.epoch => {}
                Ok(Some(StreamEvent::Lost { .. })) => {
                    self.reconnect(identity, deadline).await?;
                    let _ = self.connected.sender.send(attach(identity, wanted)).await;
                }
            }
        }
    }

    /// Waits for the next connection to the same agent process.
    async fn reconnect(
        &mut self,
        identity: &Identity,
        deadline: Instant,
    ) -> Result<(), AttemptEnd> {
        let limit = deadline.min(Instant::now() + self.reconnect_limit);
        let agent = Arc::clone(self.listener.agent());
        let connected = timeout_at(limit, agent.connected_after(self.connected.epoch)).await;
        let Ok(Some(connected)) = connected else { return Err(AttemptEnd::Unreachable) };
        if !is_incarnation(&connected, identity.incarnation) {
            return Err(AttemptEnd::Replaced(connected.hello.incarnation));
        }
        self.connected = connected;
        Ok(())
    }

    async fn answer_to_cancel(&mut self, deadline: Instant) -> CancelAnswer {
        loop {
            match timeout_at(deadline, self.listener.next()).await {
                Err(_) => return CancelAnswer::Late,
                Ok(None) => return CancelAnswer::Lost,
                Ok(Some(StreamEvent::Lost { epoch })) if epoch < self.connected.epoch => {}
                Ok(Some(StreamEvent::Lost { .. })) => return CancelAnswer::Lost,
                Ok(Some(StreamEvent::Message(AgentMessage::Refused { refusal, .. }))) => {
                    return CancelAnswer::Refused(refusal);
                }
                Ok(Some(StreamEvent::Message(AgentMessage::Failed { failure, .. }))) => {
                    return CancelAnswer::Failed(failure);
                }
                Ok(Some(StreamEvent::Message(_))) => {}
            }
        }
    }
}

fn attach(identity: &Identity, from_chunk: u64) -> EntryMessage {
    EntryMessage::Attach {
        attempt: identity.attempt,
        key: identity.key,
        incarnation: identity.incarnation,
        window: identity.window,
        from_chunk,
    }
}

fn send_cancel(connected: &Connected, identity: &Identity) {
    let message = EntryMessage::Cancel {
        attempt: identity.attempt,
        key: identity.key,
        incarnation: identity.incarnation,
        window: identity.window,
        void_ticket: false,
    };
    let _ = connected.sender.try_send(message);
}
