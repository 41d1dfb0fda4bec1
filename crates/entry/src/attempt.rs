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

/// An attempt that hears nothing for this long asks its agent about itself.
const PROBE_AFTER: Duration = Duration::from_secs(3);

/// A cancel without an answer is sent again after this time.
const CANCEL_AGAIN: Duration = Duration::from_secs(1);

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
    asked_for: Option<u64>,
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
    identity: Identity,
    /// The agent said how the attempt ended.
    over: bool,
    listener: StreamListener,
    connected: Connected,
    reconnect_timeout: Duration,
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
        reconnect_timeout: Duration,
    ) -> Result<Attempt<Sent>, Refusal> {
        let identity = self.identity;
        let listener = agent.listen(identity.attempt);
        let message = EntryMessage::Dispatch(self.stage.dispatch);
        let sender = connected.sender.clone();
        let mut line = Line { identity, over: false, listener, connected, reconnect_timeout };
        if sender.send(message).await.is_err() {
            line.over = true;
            return Err(Refusal::NeverArrived);
        }
        Ok(Attempt { identity: self.identity, stage: Sent { line } })
    }
}

impl Attempt<Sent> {
    /// Takes up an attempt that another entry had sent.
    pub fn adopt(
        identity: Identity,
        agent: &Arc<Agent>,
        connected: Connected,
        reconnect_timeout: Duration,
    ) -> Self {
        let listener = agent.listen(identity.attempt);
        let line = Line { identity, over: false, listener, connected, reconnect_timeout };
        Self { identity, stage: Sent { line } }
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

    /// Name of the backend server's agent.
    pub fn backend_server(&self) -> &str {
        &self.stage.line.connected.hello.name
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
            let event = line.next(deadline, from_chunk).await;
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
                        asked_for: None,
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
        self.stop(limit, false).await
    }

    /// Gives up the attempt's whole ticket. `Ok` is proof that its work did not run and won't.
    pub async fn void(self, limit: Duration) -> Result<Refusal, AttemptEnd> {
        self.stop(limit, true).await
    }

    async fn stop(self, limit: Duration, void_ticket: bool) -> Result<Refusal, AttemptEnd> {
        let mut line = self.stage.line;
        let deadline = Instant::now() + limit;
        loop {
            send_cancel(&line.connected, &self.identity, void_ticket);
            let again_at = deadline.min(Instant::now() + CANCEL_AGAIN);
            match line.answer_to_cancel(again_at).await {
                CancelAnswer::Refused(refusal) => {
                    line.over = true;
                    return Ok(refusal);
                }
                CancelAnswer::Failed(failure) => {
                    line.over = true;
                    return Err(AttemptEnd::Failed(failure));
                }
                CancelAnswer::Late if Instant::now() >= deadline => {
                    return Err(AttemptEnd::DeadlinePassed);
                }
                // The cancel or its answer went missing; saying it again does no harm.
                CancelAnswer::Late => {}
                CancelAnswer::Lost => line.reconnect(deadline).await?,
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

    /// Name of the backend server's agent.
    pub fn backend_server(&self) -> &str {
        &self.stage.line.connected.hello.name
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
            let message = self.stage.line.next(far, wanted).await?;
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
                    self.stage.line.over = true;
                    return Ok(Piece::End);
                }
                // More was asked for than there ever was.
                AgentMessage::End { chunk_count, .. } if chunk_count < wanted => {
                    return Err(AttemptEnd::Failed(Failure::ReplayGone));
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

    /// Asks once for the chunk that is missing; the probe covers a lost answer.
    async fn ask_again(&mut self) {
        if self.stage.asked_for.replace(self.stage.next_chunk) == Some(self.stage.next_chunk) {
            return;
        }
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
    async fn next(&mut self, deadline: Instant, wanted: u64) -> Result<AgentMessage, AttemptEnd> {
        loop {
            let probe_at = Instant::now() + PROBE_AFTER;
            let event = timeout_at(deadline.min(probe_at), self.listener.next()).await;
            match event {
                Err(_) if Instant::now() >= deadline => return Err(AttemptEnd::DeadlinePassed),
                // The connection lives, but nothing is heard of this attempt. If a message about
                // it went missing, nobody would send it again; asking costs one message.
                Err(_) => {
                    let _ = self.connected.sender.send(attach(&self.identity, wanted)).await;
                }
                Ok(None) => return Err(AttemptEnd::Unreachable),
                Ok(Some(StreamEvent::Message(message))) => {
                    self.over |= matches!(
                        message,
                        AgentMessage::Refused { .. } | AgentMessage::Failed { .. }
                    );
                    return Ok(message);
                }
                Ok(Some(StreamEvent::Lost { epoch })) if epoch < self.connected.epoch => {}
                Ok(Some(StreamEvent::Lost { .. })) => {
                    self.reconnect(deadline).await?;
                    let _ = self.connected.sender.send(attach(&self.identity, wanted)).await;
                }
            }
        }
    }

    /// Waits for the next connection to the same agent process.
    async fn reconnect(&mut self, deadline: Instant) -> Result<(), AttemptEnd> {
        let limit = deadline.min(Instant::now() + self.reconnect_timeout);
        let agent = Arc::clone(self.listener.agent());
        let connected = timeout_at(limit, agent.connected_after(self.connected.epoch)).await;
        let Ok(Some(connected)) = connected else { return Err(AttemptEnd::Unreachable) };
        if !is_incarnation(&connected, self.identity.incarnation) {
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

impl Drop for Line {
    /// Lets the agent forget the answer, or stop making it: a caller that hung up would otherwise
    /// leave work running for nobody.
    fn drop(&mut self) {
        let Identity { attempt, key, .. } = self.identity;
        match self.over {
            true => {
                let _ = self.connected.sender.try_send(EntryMessage::Release { attempt, key });
            }
            false => send_cancel(&self.connected, &self.identity, false),
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

fn send_cancel(connected: &Connected, identity: &Identity, void_ticket: bool) {
    let message = EntryMessage::Cancel {
        attempt: identity.attempt,
        key: identity.key,
        incarnation: identity.incarnation,
        window: identity.window,
        void_ticket,
    };
    let _ = connected.sender.try_send(message);
}
