//! Carries the messages of one connection, and does to them what the network is told to.

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

/// What both ways of a connection share.
#[derive(Clone)]
pub struct Relay {
    /// The network, for its faults.
    pub network: Network,
    /// Where the agent is.
    pub address: SocketAddr,
    /// Faults of the connection.
    pub tokens: LinkTokens,
    /// The entry process.
    pub entry: Lifecycle,
    /// The agent process.
    pub agent: Lifecycle,
    /// What was dispatched to the agent process.
    pub dispatched: Arc<Mutex<HashSet<ExecutionKey>>>,
}

/// One way of a connection.
pub trait RelayDirection: Send + 'static {
    /// Its messages.
    type Message: Serialize + DeserializeOwned + Clone + Send + Sync + 'static;

    /// Which way it is.
    const DIRECTION: Direction;

    /// Does a planted fault; `None` swallows the message.
    fn apply_mutation(&mut self, relay: &Relay, message: Self::Message) -> Option<Self::Message>;

    /// Whether faults may strike it. Heartbeats and the word that an answer is no longer needed
    /// are left alone: they are so many that nothing else would be struck.
    fn is_target(message: &Self::Message) -> bool;

    /// Notes that a message is delivered now.
    fn on_delivery(_relay: &Relay, _message: &Self::Message) {}

    /// Delivers a message that the connection lost.
    fn deliver_late(&self, relay: &Relay, message: Self::Message, delay: Duration);
}

impl Relay {
    /// Carries batches until the connection or one of the processes ends.
    pub async fn run<W>(
        self,
        mut from: mpsc::UnboundedReceiver<Bytes>,
        to: mpsc::UnboundedSender<Bytes>,
        mut direction: W,
    ) where
        W: RelayDirection,
    {
        let mut overtaken = Vec::new();
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
            let paused = self.both_awake().await;
            let Ok((stamp, messages)) = decode::<W::Message>(&batch) else { return };
            if paused && W::DIRECTION == Direction::ToAgent {
                // A process that wakes reads what its kernel kept before it notices how late it
                // is; its end of the connection has meanwhile timed out in this one clock.
                messages.into_iter().for_each(|m| direction.deliver_late(&self, m, Duration::ZERO));
                continue;
            }
            let kept = self.apply_faults(&mut direction, messages, &mut overtaken);
            let Ok(bytes) = encode(stamp, &kept) else { return };
            if to.send(bytes.into()).is_err() {
                return;
            }
        }
    }

    /// A paused process neither sends nor receives; what is sent to it waits in its kernel.
    /// Tells whether there was a pause.
    async fn both_awake(&self) -> bool {
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
        overtaken: &mut Vec<W::Message>,
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
                    overtaken.push(message);
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
                kept.append(overtaken);
            }
        }
        kept
    }
}

/// From the entry to the agent.
pub struct ToAgent {
    /// Where the agent's answers go.
    pub agent_sender: mpsc::WeakSender<AgentMessage>,
    /// The entry's end, for answers that a planted fault makes up.
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
                self.claim_not_run(*attempt);
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
            // Whatever process is there by then gets it, even on a connection that is gone.
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
    fn claim_not_run(&self, attempt: AttemptId) {
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
    /// The way into the entry's end `to`.
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

    /// A late answer is lost if its connection is: there is nowhere else to deliver it.
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
