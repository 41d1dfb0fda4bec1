//! One attempt at a request, with a type for each stage.
//!
//! A `Prepared` attempt has not left the entry, a `Sent` one may or may not have reached the agent,
//! and of a `Streaming` one the answer has begun. Only a prepared attempt, or a refusal by the agent,
//! proves that it did not run.

use crate::agents::{Agent, Connected, StreamEvent, StreamListener, is_incarnation};
use bytes::Bytes;
use flamingowheel_backing::client::status::is_final;
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Incarnation, Window};
use flamingowheel_protocol::message::{AgentMessage, Dispatch, EntryMessage, Failure, Refusal};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Number of received chunks after which an acknowledgement is sent.
const CHUNKS_PER_ACKNOWLEDGEMENT: u64 = 64;

/// Time without a message after which an attempt asks its agent for its state.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);

/// Time after which an unanswered cancel is sent again.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Stage of an attempt that has not been sent.
#[derive(Debug)]
pub struct Prepared {
    dispatch: Box<Dispatch>,
}

/// Stage of an attempt that was passed to the connection and has no answer yet.
#[derive(Debug)]
pub struct Sent {
    channel: Channel,
}

/// Stage of an attempt whose answer has begun.
#[derive(Debug)]
pub struct Streaming {
    channel: Channel,
    next_chunk: u64,
    acknowledged: u64,
    /// The missing chunk that was last requested.
    requested_chunk: Option<u64>,
}

/// An attempt in stage `S`.
#[derive(Debug)]
pub struct Attempt<S> {
    identity: Identity,
    stage: S,
}

/// Identifies an attempt at its agent; the same in all stages.
#[derive(Clone, Copy, Debug)]
pub struct Identity {
    /// Request id and number of the attempt.
    pub attempt: AttemptId,
    /// Key of the agent's record of the attempt.
    pub key: ExecutionKey,
    /// The agent process that it was sent to.
    pub incarnation: Incarnation,
    /// The agent's record window when it was sent.
    pub window: Window,
}

/// How an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The agent refused it, which proves that it did not run.
    Refused(Refusal),
    /// The agent reported a failure; the attempt may have run.
    Failed(Failure),
    /// The connection was lost and not replaced in time.
    Unreachable,
    /// The agent process that it was sent to has been replaced by this one.
    Replaced(Incarnation),
    /// The deadline passed before the expected message arrived.
    DeadlinePassed,
}

/// Status and media type of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status from the backend server.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A chunk's number and data.
    Chunk(u64, Bytes),
    /// The end of the answer; all chunks were received, as their count confirms.
    End,
}

/// An attempt's messages to and from its agent, over the current connection.
#[derive(Debug)]
struct Channel {
    identity: Identity,
    /// Whether the agent has reported the attempt's end.
    ended: bool,
    listener: StreamListener,
    connected: Connected,
    reconnect_timeout: Duration,
}

impl Attempt<Prepared> {
    /// An attempt that has not been sent.
    pub fn new(dispatch: Box<Dispatch>) -> Self {
        let identity = Identity {
            attempt: dispatch.attempt,
            key: dispatch.key,
            incarnation: dispatch.incarnation,
            window: dispatch.window,
        };
        Self { identity, stage: Prepared { dispatch } }
    }

    /// Passes the attempt to the connection. On an error it provably did not leave the entry.
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
        let mut channel =
            Channel { identity, ended: false, listener, connected, reconnect_timeout };
        if sender.send(message).await.is_err() {
            channel.ended = true;
            return Err(Refusal::NeverArrived);
        }
        Ok(Attempt { identity: self.identity, stage: Sent { channel } })
    }
}

impl Attempt<Sent> {
    /// An attempt that sends no dispatch: it attaches to a stream that was started before, perhaps
    /// through another entry, or voids a ticket.
    pub fn from_identity(
        identity: Identity,
        agent: &Arc<Agent>,
        connected: Connected,
        reconnect_timeout: Duration,
    ) -> Self {
        let listener = agent.listen(identity.attempt);
        let channel = Channel { identity, ended: false, listener, connected, reconnect_timeout };
        Self { identity, stage: Sent { channel } }
    }

    /// Asks the agent to send the answer over this connection, from the given chunk on.
    pub async fn attach(&mut self, from_chunk: u64) {
        let message = attach_message(&self.identity, from_chunk);
        let _ = self.stage.channel.connected.sender.send(message).await;
    }

    /// The attempt's identity.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Name of the backend server's agent.
    pub fn backend_server(&self) -> &str {
        &self.stage.channel.connected.hello.name
    }

    /// Waits for the answer to begin. An error returns the attempt too, so that it can be cancelled.
    pub async fn wait_for_head(
        mut self,
        deadline: Instant,
        from_chunk: u64,
    ) -> Result<(Head, Attempt<Streaming>), (AttemptEnd, Self)> {
        loop {
            let channel = &mut self.stage.channel;
            let event = channel.next(deadline, from_chunk).await;
            match event {
                Err(end) => return Err((end, self)),
                Ok(AgentMessage::Refused { refusal, .. }) => {
                    return Err((AttemptEnd::Refused(refusal), self));
                }
                Ok(AgentMessage::Failed { failure, .. }) => {
                    return Err((AttemptEnd::Failed(failure), self));
                }
                Ok(AgentMessage::Head { status, .. }) if !is_final(status) => {
                    tracing::warn!(status, "answer without a valid status");
                    return Err((AttemptEnd::Failed(Failure::Malformed), self));
                }
                Ok(AgentMessage::Head { status, content_type, .. }) => {
                    let stage = Streaming {
                        channel: self.stage.channel,
                        next_chunk: from_chunk,
                        acknowledged: from_chunk,
                        requested_chunk: None,
                    };
                    let head = Head { status, content_type };
                    return Ok((head, Attempt { identity: self.identity, stage }));
                }
                // `Accepted` changes nothing: the attempt may be running since it was sent.
                Ok(_) => {}
            }
        }
    }

    /// Cancels the attempt and waits for the agent's reply. `Ok` proves that it did not run.
    pub async fn cancel(self, timeout: Duration) -> Result<Refusal, AttemptEnd> {
        self.stop(timeout, false).await
    }

    /// Voids the attempt's ticket. `Ok` proves that the ticket's work did not run and won't.
    pub async fn void(self, timeout: Duration) -> Result<Refusal, AttemptEnd> {
        self.stop(timeout, true).await
    }

    async fn stop(self, timeout: Duration, void_ticket: bool) -> Result<Refusal, AttemptEnd> {
        let mut channel = self.stage.channel;
        let deadline = Instant::now() + timeout;
        loop {
            send_cancel(&channel.connected, &self.identity, void_ticket);
            let retry_at = deadline.min(Instant::now() + CANCEL_RETRY_INTERVAL);
            match channel.cancel_result(retry_at).await {
                CancelResult::Refused(refusal) => {
                    channel.ended = true;
                    return Ok(refusal);
                }
                CancelResult::Failed(failure) => {
                    channel.ended = true;
                    return Err(AttemptEnd::Failed(failure));
                }
                CancelResult::TimedOut if Instant::now() >= deadline => {
                    return Err(AttemptEnd::DeadlinePassed);
                }
                // The cancel or its reply was lost; sending it again is harmless.
                CancelResult::TimedOut => {}
                CancelResult::ConnectionLost => channel.reconnect(deadline).await?,
            }
        }
    }
}

impl Attempt<Streaming> {
    /// The attempt's identity.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// The number of the next expected chunk.
    pub fn next_chunk(&self) -> u64 {
        self.stage.next_chunk
    }

    /// Name of the backend server's agent.
    pub fn backend_server(&self) -> &str {
        &self.stage.channel.connected.hello.name
    }

    /// The agent that sends the answer.
    pub fn agent(&self) -> &Arc<Agent> {
        self.stage.channel.listener.agent()
    }

    /// Waits for the next piece without a deadline. The wait ends if the agent fails, since the
    /// connection is closed when its heartbeats stop.
    pub async fn next(&mut self) -> Result<Piece, AttemptEnd> {
        loop {
            let deadline = Instant::now() + NO_DEADLINE;
            let next_chunk = self.stage.next_chunk;
            let message = self.stage.channel.next(deadline, next_chunk).await?;
            match message {
                AgentMessage::Chunk { number, data, .. } if number == next_chunk => {
                    self.stage.next_chunk += 1;
                    self.acknowledge();
                    return Ok(Piece::Chunk(number, data));
                }
                // A duplicate of a chunk received before.
                AgentMessage::Chunk { number, .. } if number < next_chunk => {}
                AgentMessage::Chunk { .. } => self.request_missing_chunk().await,
                AgentMessage::End { chunk_count, .. } if chunk_count == next_chunk => {
                    self.stage.channel.ended = true;
                    return Ok(Piece::End);
                }
                // The answer has fewer chunks than were received before.
                AgentMessage::End { chunk_count, .. } if chunk_count < next_chunk => {
                    return Err(AttemptEnd::Failed(Failure::ReplayGone));
                }
                // Chunks were lost or are still to come. A truncated answer must not count as a
                // complete one.
                AgentMessage::End { .. } => self.request_missing_chunk().await,
                AgentMessage::Refused { refusal, .. } => {
                    return Err(AttemptEnd::Refused(refusal));
                }
                AgentMessage::Failed { failure, .. } => return Err(AttemptEnd::Failed(failure)),
                _ => {}
            }
        }
    }

    /// Requests the missing chunk once; if the reply is lost, the probe requests it again.
    async fn request_missing_chunk(&mut self) {
        if self.stage.requested_chunk.replace(self.stage.next_chunk) == Some(self.stage.next_chunk)
        {
            return;
        }
        let message = attach_message(&self.identity, self.stage.next_chunk);
        let _ = self.stage.channel.connected.sender.send(message).await;
    }

    fn acknowledge(&mut self) {
        if self.stage.next_chunk - self.stage.acknowledged < CHUNKS_PER_ACKNOWLEDGEMENT {
            return;
        }
        self.stage.acknowledged = self.stage.next_chunk;
        let Identity { attempt, key, .. } = self.identity;
        let next_chunk = self.stage.next_chunk;
        // After a lost acknowledgement the agent keeps more chunks until the next one.
        let message = EntryMessage::Acknowledge { attempt, key, next_chunk };
        let _ = self.stage.channel.connected.sender.try_send(message);
    }
}

/// Used in place of a deadline where there is none; longer than any stream.
const NO_DEADLINE: Duration = Duration::from_secs(30 * 24 * 3600);

enum CancelResult {
    Refused(Refusal),
    Failed(Failure),
    ConnectionLost,
    TimedOut,
}

impl Channel {
    /// The next message. If the connection is lost, continues over the next one.
    async fn next(
        &mut self,
        deadline: Instant,
        next_chunk: u64,
    ) -> Result<AgentMessage, AttemptEnd> {
        loop {
            let probe_at = Instant::now() + PROBE_INTERVAL;
            let event = timeout_at(deadline.min(probe_at), self.listener.next()).await;
            match event {
                Err(_) if Instant::now() >= deadline => return Err(AttemptEnd::DeadlinePassed),
                // The connection is alive, but there was no message about this attempt. A lost
                // message would not be sent again without this request.
                Err(_) => {
                    let _ = self
                        .connected
                        .sender
                        .send(attach_message(&self.identity, next_chunk))
                        .await;
                }
                Ok(None) => return Err(AttemptEnd::Unreachable),
                Ok(Some(StreamEvent::Message(message))) => {
                    self.ended |= matches!(
                        message,
                        AgentMessage::Refused { .. } | AgentMessage::Failed { .. }
                    );
                    return Ok(message);
                }
                Ok(Some(StreamEvent::Lost { epoch })) if epoch < self.connected.epoch => {}
                Ok(Some(StreamEvent::Lost { .. })) => {
                    self.reconnect(deadline).await?;
                    let _ = self
                        .connected
                        .sender
                        .send(attach_message(&self.identity, next_chunk))
                        .await;
                }
            }
        }
    }

    /// Waits for the next connection; fails if it is to another agent process.
    async fn reconnect(&mut self, deadline: Instant) -> Result<(), AttemptEnd> {
        let give_up_at = deadline.min(Instant::now() + self.reconnect_timeout);
        let agent = Arc::clone(self.listener.agent());
        let connected = timeout_at(give_up_at, agent.connected_after(self.connected.epoch)).await;
        let Ok(Some(connected)) = connected else { return Err(AttemptEnd::Unreachable) };
        if !is_incarnation(&connected, self.identity.incarnation) {
            return Err(AttemptEnd::Replaced(connected.hello.incarnation));
        }
        self.connected = connected;
        Ok(())
    }

    async fn cancel_result(&mut self, deadline: Instant) -> CancelResult {
        loop {
            match timeout_at(deadline, self.listener.next()).await {
                Err(_) => return CancelResult::TimedOut,
                Ok(None) => return CancelResult::ConnectionLost,
                Ok(Some(StreamEvent::Lost { epoch })) if epoch < self.connected.epoch => {}
                Ok(Some(StreamEvent::Lost { .. })) => return CancelResult::ConnectionLost,
                Ok(Some(StreamEvent::Message(AgentMessage::Refused { refusal, .. }))) => {
                    return CancelResult::Refused(refusal);
                }
                Ok(Some(StreamEvent::Message(AgentMessage::Failed { failure, .. }))) => {
                    return CancelResult::Failed(failure);
                }
                Ok(Some(StreamEvent::Message(_))) => {}
            }
        }
    }
}

impl Drop for Channel {
    /// Releases the agent's record of an ended attempt and cancels any other, since after a caller
    /// disconnects nobody reads the answer.
    fn drop(&mut self) {
        let Identity { attempt, key, .. } = self.identity;
        match self.ended {
            true => {
                let _ = self.connected.sender.try_send(EntryMessage::Release { attempt, key });
            }
            false => send_cancel(&self.connected, &self.identity, false),
        }
    }
}

fn attach_message(identity: &Identity, from_chunk: u64) -> EntryMessage {
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
