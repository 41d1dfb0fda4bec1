//! The in-memory network between entries and agents, with injected faults.

use crate::backend::Lifecycle;
use crate::mutation::Mutation;
use crate::relay::{Relay, ToAgent, ToEntry};
use bytes::Bytes;
use flamingowheel_agent::control::AgentHandle;
use flamingowheel_agent::serve::handle_link;
use flamingowheel_backing::BoxFuture;
use flamingowheel_entry::connector::{AgentLink, Connector};
use flamingowheel_protocol::id::ExecutionKey;
use flamingowheel_protocol::link::{Link, LinkOptions};
use flamingowheel_protocol::message::{AgentMessage, EntryMessage, Hello};
use flamingowheel_protocol::websocket::HandshakeError;
use futures_util::{Sink, Stream, sink, stream};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From an entry to an agent.
    ToAgent,
    /// From an agent to an entry.
    ToEntry,
}

/// Fault of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFault {
    /// The message never arrives.
    Lost,
    /// The message arrives twice, the second time after this delay.
    Duplicated(Duration),
    /// The message arrives after this delay, even if its connection and the receiving process are
    /// gone.
    Delayed(Duration),
    /// The message arrives after the next one of its connection.
    Reordered,
}

/// An agent process that the network can reach.
#[derive(Clone)]
pub struct Endpoint {
    /// Sent to an entry when a connection opens.
    pub hello: Hello,
    /// Handle of the process's control task, for commands, status and draining.
    pub handle: AgentHandle,
    /// Whether the process runs, is paused or was killed.
    pub lifecycle: Lifecycle,
    /// Keys dispatched to the process; used by mutations.
    pub dispatched: Arc<Mutex<HashSet<ExecutionKey>>>,
}

#[derive(Default)]
struct State {
    endpoints: HashMap<SocketAddr, Endpoint>,
    links: Vec<LinkTokens>,
    faults: VecDeque<(Direction, MessageFault)>,
    mutation: Option<Mutation>,
}

/// Faults of one open connection.
#[derive(Clone)]
pub struct LinkTokens {
    /// Ends the connection on both sides.
    pub cut: CancellationToken,
    /// Stops delivery in both directions without ending the connection.
    pub silent: CancellationToken,
}

/// The network; clones share its state.
#[derive(Clone, Default)]
pub struct Network {
    state: Arc<Mutex<State>>,
}

impl Network {
    /// Creates a network, with a mutation if one is given.
    pub fn new(mutation: Option<Mutation>) -> Self {
        let this = Self::default();
        this.lock().mutation = mutation;
        this
    }

    /// Attaches an agent process, in place of the one at this address.
    pub fn attach(&self, address: SocketAddr, endpoint: Endpoint) {
        self.lock().endpoints.insert(address, endpoint);
    }

    /// Detaches the agent process at this address.
    pub fn detach(&self, address: SocketAddr) {
        self.lock().endpoints.remove(&address);
    }

    /// The agent process at this address.
    pub fn endpoint(&self, address: SocketAddr) -> Option<Endpoint> {
        self.lock().endpoints.get(&address).cloned()
    }

    /// Injects a fault into the next message in this direction; faults queue up.
    pub fn inject_fault(&self, direction: Direction, fault: MessageFault) {
        self.lock().faults.push_back((direction, fault));
    }

    /// Removes faults that have not been applied yet.
    pub fn clear_faults(&self) {
        self.lock().faults.clear();
    }

    /// Breaks all open connections.
    pub fn cut_all(&self) {
        self.lock().links.drain(..).for_each(|link| link.cut.cancel());
    }

    /// Makes all open connections silent permanently; new ones work.
    pub fn silence_all(&self) {
        self.lock().links.iter().for_each(|link| link.silent.cancel());
    }

    /// The mutation that the relays apply, if any.
    pub fn mutation(&self) -> Option<Mutation> {
        self.lock().mutation
    }

    /// Takes the next fault for this direction from the queue.
    pub fn next_fault(&self, direction: Direction) -> Option<MessageFault> {
        let mut state = self.lock();
        let position = state.faults.iter().position(|(queued, _)| *queued == direction)?;
        state.faults.remove(position).map(|(_, fault)| fault)
    }

    fn open_link(&self) -> LinkTokens {
        let tokens = LinkTokens { cut: CancellationToken::new(), silent: CancellationToken::new() };
        let mut state = self.lock();
        state.links.retain(|link| !link.cut.is_cancelled());
        state.links.push(tokens.clone());
        tokens
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connects one entry process to agents.
pub struct NetworkConnector {
    network: Network,
    hello: Hello,
    lifecycle: Lifecycle,
}

impl NetworkConnector {
    /// `lifecycle` is that of the entry process.
    pub fn new(network: Network, hello: Hello, lifecycle: Lifecycle) -> Self {
        Self { network, hello, lifecycle }
    }

    async fn open(&self, address: SocketAddr) -> Result<AgentLink, HandshakeError> {
        let Some(endpoint) = self.network.endpoint(address) else {
            return Err(io::Error::from(io::ErrorKind::ConnectionRefused).into());
        };
        endpoint.lifecycle.resumed().await;
        let tokens = self.network.open_link();
        let (entry_out, to_agent) = pipe();
        let (agent_in, agent_source) = pipe();
        let (agent_out, to_entry) = pipe();
        let (entry_in, entry_source) = pipe();
        let agent_side: Link<AgentMessage, EntryMessage> = Link::start(
            self.hello.clone(),
            into_sink(agent_out),
            into_stream(agent_source),
            LinkOptions::default(),
        );
        let entry_side = Link::start(
            endpoint.hello.clone(),
            into_sink(entry_out),
            into_stream(entry_source),
            LinkOptions::default(),
        );
        let relay = Relay {
            network: self.network.clone(),
            address,
            tokens,
            entry: self.lifecycle.clone(),
            agent: endpoint.lifecycle.clone(),
            dispatched: endpoint.dispatched.clone(),
        };
        let agent_sender = agent_side.sender.downgrade();
        let inward = ToAgent { agent_sender, answers: entry_in.downgrade() };
        let outward = ToEntry::new(entry_in.downgrade());
        tokio::spawn(relay.clone().run(to_agent, agent_in, inward));
        tokio::spawn(relay.run(to_entry, entry_in, outward));
        tokio::spawn(handle_link(agent_side, endpoint.handle));
        Ok(entry_side)
    }
}

impl Connector for NetworkConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, Result<AgentLink, HandshakeError>> {
        Box::pin(async move {
            if self.lifecycle.is_killed() {
                return std::future::pending().await;
            }
            self.open(address).await
        })
    }
}

type Pipe = (mpsc::UnboundedSender<Bytes>, mpsc::UnboundedReceiver<Bytes>);

fn pipe() -> Pipe {
    mpsc::unbounded_channel()
}

type BatchSink = Pin<Box<dyn Sink<Bytes, Error = io::Error> + Send>>;
type BatchStream = Pin<Box<dyn Stream<Item = Bytes> + Send>>;

fn into_sink(sender: mpsc::UnboundedSender<Bytes>) -> BatchSink {
    Box::pin(sink::unfold(sender, |sender, batch| async move {
        sender.send(batch).map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        Ok(sender)
    }))
}

fn into_stream(receiver: mpsc::UnboundedReceiver<Bytes>) -> BatchStream {
    Box::pin(stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|batch| (batch, receiver))
    }))
}
