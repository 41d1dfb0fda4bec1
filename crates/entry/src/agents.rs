//! An agent and this entry's one connection to it.
//!
//! A connection is replaced when it is closed or falls silent. Attempts outlive connections: each is
//! notified that its connection was lost and asks for its state over the next one.

pub use crate::links::{AgentVm, Agents};
use bytes::Bytes;
use flamingowheel_policy::key::ScopeKey;
use flamingowheel_protocol::id::{AttemptId, Incarnation, Window};
use flamingowheel_protocol::message::{AgentMessage, BackendProfile, EntryMessage, Hello, Serves};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// An open connection to an agent.
#[derive(Clone, Debug)]
pub struct Connected {
    /// Number of this connection among those to the same address, from 1.
    pub epoch: u64,
    /// The agent's hello, which identifies its process.
    pub hello: Arc<Hello>,
    /// Profile of the backend server behind the agent.
    pub profile: Arc<BackendProfile>,
    /// Sends messages to the agent.
    pub sender: mpsc::Sender<EntryMessage>,
}

/// Why this entry has a link to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum LinkPurpose {
    /// Only for requests, tickets and streams that must go to this agent. The router doesn't choose it.
    Direct,
    /// This entry serves the agent's cell, or coordinates its group.
    Cell,
    /// Opened for requests that no agent of this entry's cells can serve.
    OnDemand,
}

/// An event for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// A message from the agent about the attempt.
    Message(AgentMessage),
    /// A connection ended.
    Lost {
        /// Epoch of that connection, see [`Connected::epoch`].
        epoch: u64,
    },
}

/// An agent, its connection and the attempts that were sent to it.
#[derive(Debug)]
pub struct Agent {
    address: SocketAddr,
    pub(crate) connected: watch::Sender<Option<Connected>>,
    /// Hello of the current or the last connection.
    last_hello: Mutex<Option<Arc<Hello>>>,
    pub(crate) window: AtomicU32,
    leaving: AtomicBool,
    last_heartbeat: Mutex<Instant>,
    last_used: Mutex<Instant>,
    purpose: AtomicU8,
    orders: Mutex<HashMap<u64, oneshot::Sender<Bytes>>>,
    order_number: AtomicU64,
    streams: Mutex<HashMap<AttemptId, mpsc::UnboundedSender<StreamEvent>>>,
}

impl Agent {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connected: watch::Sender::new(None),
            last_hello: Mutex::default(),
            window: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            last_heartbeat: Mutex::new(Instant::now()),
            last_used: Mutex::new(Instant::now()),
            purpose: AtomicU8::new(LinkPurpose::Direct as u8),
            orders: Mutex::default(),
            order_number: AtomicU64::new(1),
            streams: Mutex::default(),
        }
    }

    /// The address of its VM.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The current connection; `None` while there is none.
    pub fn connected(&self) -> Option<Connected> {
        self.connected.borrow().clone()
    }

    pub(crate) fn set_connected(&self, connected: Connected) {
        *self.last_hello.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Arc::clone(&connected.hello));
        self.connected.send_replace(Some(connected));
    }

    pub(crate) fn last_hello(&self) -> Option<Arc<Hello>> {
        self.last_hello.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a message if there is a connection with room in its queue; otherwise drops it.
    pub fn send(&self, message: EntryMessage) {
        if let Some(connected) = self.connected() {
            let _ = connected.sender.try_send(message);
        }
    }

    /// Waits for a connection newer than `epoch`.
    pub async fn connected_after(&self, epoch: u64) -> Option<Connected> {
        let mut watch = self.connected.subscribe();
        let newer = |connected: &Option<Connected>| {
            connected.as_ref().is_some_and(|connected| connected.epoch > epoch)
        };
        let found = watch.wait_for(newer).await.ok()?;
        found.clone()
    }

    /// The agent's record window as of its last heartbeat.
    pub fn window(&self) -> Window {
        Window(self.window.load(Ordering::Relaxed))
    }

    /// Whether it is leaving and accepts no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Time since its last heartbeat.
    pub fn since_heartbeat(&self) -> Duration {
        self.last_heartbeat.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    pub(crate) fn on_heartbeat(&self, window: Window, leaving: bool) {
        self.window.store(window.0, Ordering::Relaxed);
        self.leaving.store(leaving, Ordering::Relaxed);
        *self.last_heartbeat.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Why this entry has a link to it.
    pub fn purpose(&self) -> LinkPurpose {
        match self.purpose.load(Ordering::Relaxed) {
            purpose if purpose == LinkPurpose::Cell as u8 => LinkPurpose::Cell,
            purpose if purpose == LinkPurpose::OnDemand as u8 => LinkPurpose::OnDemand,
            _ => LinkPurpose::Direct,
        }
    }

    pub(crate) fn set_purpose(&self, purpose: LinkPurpose) {
        self.purpose.store(purpose as u8, Ordering::Relaxed);
    }

    /// Marks its link as used now.
    pub(crate) fn touch(&self) {
        *self.last_used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Time since its link was last used; zero while an attempt or an order uses it.
    pub(crate) fn idle_for(&self) -> Duration {
        if !self.streams().is_empty() || !self.orders().is_empty() {
            return Duration::ZERO;
        }
        self.last_used.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    /// Registers an attempt to receive the messages about it.
    pub fn listen(self: &Arc<Self>, attempt: AttemptId) -> StreamListener {
        let (sender, events) = mpsc::unbounded_channel();
        self.touch();
        self.streams().insert(attempt, sender);
        StreamListener { agent: Arc::clone(self), attempt, events }
    }

    pub(crate) fn streams(
        &self,
    ) -> MutexGuard<'_, HashMap<AttemptId, mpsc::UnboundedSender<StreamEvent>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an order of the group's coordinator and waits for the answer. `None` if there is no
    /// connection, or if it ends first. There is no timeout here; the caller sets one.
    pub async fn send_order(&self, body: Bytes) -> Option<Bytes> {
        let connected = self.connected()?;
        let number = self.order_number.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.orders().insert(number, sender);
        let _pending = PendingOrder { agent: self, number };
        connected.sender.send(EntryMessage::Order { number, body }).await.ok()?;
        answer.await.ok()
    }

    pub(crate) fn orders(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Bytes>>> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delivers a message to its attempt. A message for an ended or unknown attempt is dropped, so
    /// that a late answer can't reach another caller.
    pub(crate) fn deliver(&self, attempt: AttemptId, message: AgentMessage) {
        if let Some(stream) = self.streams().get(&attempt) {
            let _ = stream.send(StreamEvent::Message(message));
        }
    }

    pub(crate) fn notify_lost(&self, epoch: u64) {
        self.orders().clear();
        for stream in self.streams().values() {
            let _ = stream.send(StreamEvent::Lost { epoch });
        }
    }
}

/// Removes a pending order when its sender stops waiting.
struct PendingOrder<'a> {
    agent: &'a Agent,
    number: u64,
}

impl Drop for PendingOrder<'_> {
    fn drop(&mut self) {
        self.agent.orders().remove(&self.number);
    }
}

/// Receives the messages about one attempt until dropped.
#[derive(Debug)]
pub struct StreamListener {
    agent: Arc<Agent>,
    attempt: AttemptId,
    events: mpsc::UnboundedReceiver<StreamEvent>,
}

impl StreamListener {
    /// The agent that the attempt was sent to.
    pub fn agent(&self) -> &Arc<Agent> {
        &self.agent
    }

    /// The next event. The channel can't close while the listener exists.
    pub async fn next(&mut self) -> Option<StreamEvent> {
        self.events.recv().await
    }
}

impl Drop for StreamListener {
    fn drop(&mut self) {
        self.agent.touch();
        self.agent.streams().remove(&self.attempt);
    }
}

/// Whether a connection is to the agent process with this incarnation.
pub fn is_incarnation(connected: &Connected, incarnation: Incarnation) -> bool {
    connected.hello.incarnation == incarnation
}

/// What a backend server serves, whatever its group and rank.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A model by name.
    Model(String),
    /// A plain service by name.
    Service(String),
}

impl From<&Serves> for Target {
    fn from(serves: &Serves) -> Self {
        match serves {
            Serves::Model { model, .. } => Self::Model(model.clone()),
            Serves::Service { service } => Self::Service(service.clone()),
        }
    }
}

impl Target {
    /// The target's key for choosing subsets.
    pub fn scope(&self) -> ScopeKey {
        match self {
            Self::Model(name) => ScopeKey::from_name(&format!("model/{name}")),
            Self::Service(name) => ScopeKey::from_name(&format!("service/{name}")),
        }
    }
}
