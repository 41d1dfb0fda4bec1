//! An agent as this entry knows it, and its one connection to it.
//!
//! A connection is replaced whenever it ends or goes silent. Attempts outlive connections: each
//! is told that its connection was lost and asks about itself over the next one.

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
    /// Counts the connections to this address.
    pub epoch: u64,
    /// What the agent said of itself.
    pub hello: Arc<Hello>,
    /// What its backend server serves.
    pub profile: Arc<BackendProfile>,
    /// Messages to it.
    pub sender: mpsc::Sender<EntryMessage>,
}

/// Why there is a link to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Duty {
    /// A request, ticket or stream asked for this very agent. It gets no other work from here.
    Called,
    /// This entry stands before its cell, or coordinates its group.
    Cell,
    /// Requests came for what it serves, and none of the entry's cells does.
    Guest,
}

/// What an attempt hears.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// A message about it.
    Message(AgentMessage),
    /// The connection of this epoch ended.
    Lost {
        /// Which connection.
        epoch: u64,
    },
}

/// One agent.
#[derive(Debug)]
pub struct Agent {
    address: SocketAddr,
    pub(crate) connected: watch::Sender<Option<Connected>>,
    /// Who was connected here last.
    last: Mutex<Option<Arc<Hello>>>,
    pub(crate) window: AtomicU32,
    leaving: AtomicBool,
    heard: Mutex<Instant>,
    used: Mutex<Instant>,
    duty: AtomicU8,
    orders: Mutex<HashMap<u64, oneshot::Sender<Bytes>>>,
    order_number: AtomicU64,
    streams: Mutex<HashMap<AttemptId, mpsc::UnboundedSender<StreamEvent>>>,
}

impl Agent {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connected: watch::Sender::new(None),
            last: Mutex::default(),
            window: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            heard: Mutex::new(Instant::now()),
            used: Mutex::new(Instant::now()),
            duty: AtomicU8::new(Duty::Called as u8),
            orders: Mutex::default(),
            order_number: AtomicU64::new(1),
            streams: Mutex::default(),
        }
    }

    /// Where its VM is reached.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The present connection.
    pub fn connected(&self) -> Option<Connected> {
        self.connected.borrow().clone()
    }

    pub(crate) fn announce(&self, connected: Connected) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(Arc::clone(&connected.hello));
        self.connected.send_replace(Some(connected));
    }

    pub(crate) fn last(&self) -> Option<Arc<Hello>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a message that may get lost, if there is a connection.
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

    /// The agent's record window as last heard.
    pub fn window(&self) -> Window {
        Window(self.window.load(Ordering::Relaxed))
    }

    /// Whether it takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// How long ago its last heartbeat came.
    pub fn since_heartbeat(&self) -> Duration {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    pub(crate) fn on_heartbeat(&self, window: Window, leaving: bool) {
        self.window.store(window.0, Ordering::Relaxed);
        self.leaving.store(leaving, Ordering::Relaxed);
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Why there is a link to it.
    pub fn duty(&self) -> Duty {
        match self.duty.load(Ordering::Relaxed) {
            duty if duty == Duty::Cell as u8 => Duty::Cell,
            duty if duty == Duty::Guest as u8 => Duty::Guest,
            _ => Duty::Called,
        }
    }

    pub(crate) fn set_duty(&self, duty: Duty) {
        self.duty.store(duty as u8, Ordering::Relaxed);
    }

    /// Notes that its link is wanted now.
    pub(crate) fn touch(&self) {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// How long nothing needed its link; zero while an attempt or an order does.
    pub(crate) fn idle_for(&self) -> Duration {
        if !self.streams().is_empty() || !self.orders().is_empty() {
            return Duration::ZERO;
        }
        self.used.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    /// Registers an attempt for messages about it.
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

    /// Sends a request of the group's coordinator and waits for the answer; `None` if there is no
    /// connection, or it ends first. The caller bounds the wait.
    pub async fn send_order(&self, body: Bytes) -> Option<Bytes> {
        let connected = self.connected()?;
        let number = self.order_number.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.orders().insert(number, sender);
        let _waiting = OrderWaiting { agent: self, number };
        connected.sender.send(EntryMessage::Order { number, body }).await.ok()?;
        answer.await.ok()
    }

    pub(crate) fn orders(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Bytes>>> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a message to its attempt. One whose attempt is over or unknown is dropped here, so
    /// that a late answer can't reach another caller.
    pub(crate) fn route(&self, attempt: AttemptId, message: AgentMessage) {
        if let Some(stream) = self.streams().get(&attempt) {
            let _ = stream.send(StreamEvent::Message(message));
        }
    }

    pub(crate) fn tell_lost(&self, epoch: u64) {
        self.orders().clear();
        for stream in self.streams().values() {
            let _ = stream.send(StreamEvent::Lost { epoch });
        }
    }
}

/// Takes an order's place out again when its sender stops waiting.
struct OrderWaiting<'a> {
    agent: &'a Agent,
    number: u64,
}

impl Drop for OrderWaiting<'_> {
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
    /// The agent that was sent the attempt.
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

/// Whether an agent process is the one that is named.
pub fn is_incarnation(connected: &Connected, incarnation: Incarnation) -> bool {
    connected.hello.incarnation == incarnation
}

/// What a backend server serves, without its place in a group.
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
    /// The target's key in the choice of subsets.
    pub fn scope(&self) -> ScopeKey {
        match self {
            Self::Model(name) => ScopeKey::from_name(&format!("model/{name}")),
            Self::Service(name) => ScopeKey::from_name(&format!("service/{name}")),
        }
    }
}
