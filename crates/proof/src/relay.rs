//! Relays the messages of one connection and applies injected faults and mutations.

use crate::backend::Lifecycle;
use crate::mutation::Mutation;
use crate::network::{Direction, LinkTokens, MessageFault, Network};
use bytes::Bytes;
use flamingowheel_agent::control::Command;
use flamingowheel_protocol::codec::{decode, encode};
use flamingowheel_protocol::id::{AttemptId, ExecutionKey};
use flamingowheel_protocol::message::{AgentMessage, EntryMessage, Load, Refusal};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;

/// State shared by both directions of a connection.
#[derive(Clone)]
pub struct Relay {
    /// Source of faults and mutations.
    pub network: Network,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Faults of the connection.
    pub tokens: LinkTokens,
    /// Lifecycle of the entry process.
    pub entry: Lifecycle,
    /// Lifecycle of the agent process.
    pub agent: Lifecycle,
    /// Keys dispatched to the agent process.
    pub dispatched: Arc<Mutex<HashSet<ExecutionKey>>>,
}

/// One direction of a connection.
pub trait RelayDirection: Send + 'static {
    /// Type of the messages in this direction.
    type Message: Serialize + DeserializeOwned + Clone + Send + Sync + 'static;

    /// The direction that faults are queued for.
    const DIRECTION: Direction;

    /// Applies the mutation, if any; `None` drops the message.
    fn apply_mutation(&mut self, relay: &Relay, message: Self::Message) -> Option<Self::Message>;

    /// Whether faults may hit the message. Heartbeats and releases of answers are excluded: they
    /// are so many that no other message would be hit.
    fn is_target(message: &Self::Message) -> bool;

    /// Called when a message is delivered.
    fn on_delivery(_relay: &Relay, _message: &Self::Message) {}

    /// Delivers a message after a delay, outside the connection's order.
    fn deliver_late(&self, relay: &Relay, message: Self::Message, delay: Duration);
}

impl Relay {
    /// Relays batches until the connection or one of the processes ends.
    pub async fn run<W>(
        self,
        mut from: mpsc::UnboundedReceiver<Bytes>,
        to: mpsc::UnboundedSender<Bytes>,
        mut direction: W,
    ) where
        W: RelayDirection,
    {
        let mut reordered = Vec::new();
        loop {
            let batch = tokio::select! {
                biased;
                () = self.tokens.cut.cancelled() => return,
                () = self.entry.killed() => return,
                () = self.agent.killed() => return,
                batch = from.recv() => batch,
            };
            let Some(batch) = batch else { return };
            if self.tokens.silent.is_cancelled() {
                continue;
            }
            let paused = self.wait_while_paused().await;
            let Ok((stamp, messages)) = decode::<W::Message>(&batch) else { return };
            if paused && W::DIRECTION == Direction::ToAgent {
                // A resumed process reads what its kernel buffered before it notices the elapsed
                // time; its end of the connection has timed out, as all processes share one clock.
                messages.into_iter().for_each(|m| direction.deliver_late(&self, m, Duration::ZERO));
                continue;
            }
            let kept = self.apply_faults(&mut direction, messages, &mut reordered);
            let Ok(bytes) = encode(stamp, &kept) else { return };
            if to.send(bytes.into()).is_err() {
                return;
            }
        }
    }

    /// Waits while either process is paused: messages to it wait in its kernel. Returns whether
    /// there was a pause.
    async fn wait_while_paused(&self) -> bool {
        let paused = self.entry.is_paused() || self.agent.is_paused();
        tokio::select! {
            () = async { self.entry.resumed().await; self.agent.resumed().await } => {}
            () = self.tokens.cut.cancelled() => {}
        }
        paused
    }

    fn apply_faults<W>(
        &self,
        direction: &mut W,
        messages: Vec<W::Message>,
        reordered: &mut Vec<W::Message>,
    ) -> Vec<W::Message>
    where
        W: RelayDirection,
    {
        let mut kept = Vec::with_capacity(messages.len());
        for message in messages {
            let Some(message) = direction.apply_mutation(self, message) else { continue };
            let fault = match W::is_target(&message) {
                true => self.network.next_fault(W::DIRECTION),
                false => None,
            };
            match fault {
                Some(MessageFault::Lost) => continue,
                Some(MessageFault::Delayed(delay)) => {
                    direction.deliver_late(self, message, delay);
                    continue;
                }
                Some(MessageFault::Reordered) => {
                    reordered.push(message);
                    continue;
                }
                Some(MessageFault::Duplicated(delay)) => {
                    direction.deliver_late(self, message.clone(), delay);
                }
                None => {}
            }
            let is_target = W::is_target(&message);
            W::on_delivery(self, &message);
            kept.push(message);
            if is_target {
                kept.append(reordered);
            }
        }
        kept
    }
}

/// From the entry to the agent.
pub struct ToAgent {
    /// Sends the agent's answers back over this connection.
    pub agent_sender: mpsc::WeakSender<AgentMessage>,
    /// Sends to the entry the answers that a mutation forges.
    pub answers: mpsc::WeakUnboundedSender<Bytes>,
}

impl RelayDirection for ToAgent {
    type Message = EntryMessage;

    const DIRECTION: Direction = Direction::ToAgent;

    fn apply_mutation(&mut self, relay: &Relay, message: EntryMessage) -> Option<EntryMessage> {
        match (relay.network.mutation(), &message) {
            (
                Some(Mutation::TombstoneSkipped),
                EntryMessage::Cancel { attempt, key, .. }
                | EntryMessage::Attach { attempt, key, .. },
            ) if !was_dispatched(relay, *key) => {
                self.send_not_run(*attempt);
                None
            }
            _ => Some(message),
        }
    }

    fn is_target(message: &EntryMessage) -> bool {
        !matches!(message, EntryMessage::Release { .. })
    }

    fn on_delivery(relay: &Relay, message: &EntryMessage) {
        if let EntryMessage::Dispatch(dispatch) = message {
            record_dispatched(&relay.dispatched, dispatch.key);
        }
    }

    fn deliver_late(&self, relay: &Relay, message: EntryMessage, delay: Duration) {
        let sender = self.agent_sender.clone();
        let (network, address) = (relay.network.clone(), relay.address);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            // The process that runs by then receives it, even if the connection is gone.
            let Some(endpoint) = network.endpoint(address) else { return };
            if let EntryMessage::Dispatch(dispatch) = &message {
                record_dispatched(&endpoint.dispatched, dispatch.key);
            }
            let sender = sender.upgrade().unwrap_or_else(|| mpsc::channel(1).0);
            let received = Command::Received { sender, message };
            let _ = endpoint.handle.commands().send(received).await;
        });
    }
}

impl ToAgent {
    fn send_not_run(&self, attempt: AttemptId) {
        let refusal = Refusal::Cancelled;
        let message = AgentMessage::Refused { attempt, refusal, load: Load::default() };
        if let (Ok(bytes), Some(answers)) = (encode(0, &[message]), self.answers.upgrade()) {
            let _ = answers.send(bytes.into());
        }
    }
}

fn record_dispatched(dispatched: &Mutex<HashSet<ExecutionKey>>, key: ExecutionKey) {
    dispatched.lock().unwrap_or_else(PoisonError::into_inner).insert(key);
}

fn was_dispatched(relay: &Relay, key: ExecutionKey) -> bool {
    relay.dispatched.lock().unwrap_or_else(PoisonError::into_inner).contains(&key)
}

/// From the agent to the entry.
pub struct ToEntry {
    chunks: HashMap<AttemptId, u64>,
    to: mpsc::WeakUnboundedSender<Bytes>,
}

impl ToEntry {
    /// `to` is the entry's end of the connection.
    pub fn new(to: mpsc::WeakUnboundedSender<Bytes>) -> Self {
        Self { chunks: HashMap::new(), to }
    }
}

impl RelayDirection for ToEntry {
    type Message = AgentMessage;

    const DIRECTION: Direction = Direction::ToEntry;

    fn apply_mutation(&mut self, relay: &Relay, message: AgentMessage) -> Option<AgentMessage> {
        if relay.network.mutation() != Some(Mutation::TruncatedStreamAccepted) {
            return Some(message);
        }
        Some(match message {
            AgentMessage::Head { attempt, .. } => {
                self.chunks.insert(attempt, 0);
                message
            }
            AgentMessage::Chunk { attempt, number, .. } => {
                self.chunks.insert(attempt, number + 1);
                message
            }
            AgentMessage::Failed { attempt, occupancy, .. } => match self.chunks.get(&attempt) {
                Some(count) => AgentMessage::End { attempt, chunk_count: *count, occupancy },
                None => message,
            },
            other => other,
        })
    }

    fn is_target(message: &AgentMessage) -> bool {
        !matches!(message, AgentMessage::Heartbeat { .. })
    }

    /// A delayed answer is lost if its connection is gone, as it has no other receiver.
    fn deliver_late(&self, _relay: &Relay, message: AgentMessage, delay: Duration) {
        let to = self.to.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            if let (Ok(bytes), Some(to)) = (encode(0, &[message]), to.upgrade()) {
                let _ = to.send(bytes.into());
            }
        });
    }
}
