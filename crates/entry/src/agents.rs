//! The agents this entry knows, and its one connection to each.
//!
//! A connection is replaced whenever it ends or goes silent. Attempts outlive connections: each
//! is told that its connection was lost and asks about itself over the next one.

use crate::connector::{AgentLink, Connector};
use crate::router::Router;
use bytes::Bytes;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::key::{ScopeKey, ServerKey};
use flamingowheel_policy::suspicion::SuspectRecord;
use flamingowheel_protocol::id::{AttemptId, Incarnation, Window};
use flamingowheel_protocol::message::{
    AgentMessage, BackendProfile, EntryMessage, Hello, Role, Serves,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Shortest and longest wait between two tries to connect.
const RECONNECT_WAIT: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1_000));

/// A connection that ended this long after the last heartbeat had gone silent.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// How long an address that turned out to be no agent is left alone.
const NOT_AN_AGENT_WAIT: Duration = Duration::from_secs(30);

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
    connected: watch::Sender<Option<Connected>>,
    window: AtomicU32,
    leaving: AtomicBool,
    heard: Mutex<Instant>,
    orders: Mutex<HashMap<u64, oneshot::Sender<Bytes>>>,
    order_number: AtomicU64,
    streams: Mutex<HashMap<AttemptId, mpsc::UnboundedSender<StreamEvent>>>,
}

impl Agent {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connected: watch::Sender::new(None),
            window: AtomicU32::new(0),
            leaving: AtomicBool::new(false),
            heard: Mutex::new(Instant::now()),
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
    pub fn heard_ago(&self) -> Duration {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner).elapsed()
    }

    fn on_heartbeat(&self, window: Window, leaving: bool) {
        self.window.store(window.0, Ordering::Relaxed);
        self.leaving.store(leaving, Ordering::Relaxed);
        *self.heard.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Registers an attempt for messages about it.
    pub fn listen(self: &Arc<Self>, attempt: AttemptId) -> StreamListener {
        let (sender, events) = mpsc::unbounded_channel();
        self.streams().insert(attempt, sender);
        StreamListener { agent: Arc::clone(self), attempt, events }
    }

    fn streams(&self) -> MutexGuard<'_, HashMap<AttemptId, mpsc::UnboundedSender<StreamEvent>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request of the group's coordinator and waits for the answer; `None` if there is no
    /// connection, or it ends first. The caller bounds the wait.
    pub async fn order(&self, body: Bytes) -> Option<Bytes> {
        let connected = self.connected()?;
        let number = self.order_number.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = oneshot::channel();
        self.orders().insert(number, sender);
        let _waiting = OrderWaiting { agent: self, number };
        connected.sender.send(EntryMessage::Order { number, body }).await.ok()?;
        answer.await.ok()
    }

    fn orders(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Bytes>>> {
        self.orders.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands a message to its attempt. One whose attempt is over or unknown is dropped here, so
    /// that a late answer can't reach another caller.
    fn route(&self, attempt: AttemptId, message: AgentMessage) {
        if let Some(stream) = self.streams().get(&attempt) {
            let _ = stream.send(StreamEvent::Message(message));
        }
    }

    fn tell_lost(&self, epoch: u64) {
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
        self.agent.streams().remove(&self.attempt);
    }
}

/// All agents that this entry connects to.
pub struct Agents {
    traffic: Handle,
    connector: Arc<dyn Connector>,
    router: Arc<Router>,
    recorder: Recorder,
    known: Mutex<HashMap<SocketAddr, (Arc<Agent>, CancellationToken)>>,
}

impl Agents {
    /// No agents yet. Connections are served on the runtime that this is called on.
    pub fn new(connector: Arc<dyn Connector>, router: Arc<Router>, recorder: Recorder) -> Self {
        Self { traffic: Handle::current(), connector, router, recorder, known: Mutex::default() }
    }

    /// Connects to exactly the agents of these VMs from now on. Attempts in progress on agents
    /// that are no longer named keep their connection until it ends.
    pub fn set_vms(&self, vms: &[AgentVm]) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|address, (_, stop)| {
            let keep = vms.iter().any(|vm| vm.address == *address);
            if !keep {
                stop.cancel();
            }
            keep
        });
        for vm in vms {
            let (agent, _) = known.entry(vm.address).or_insert_with(|| self.start(vm.address));
            if vm.leaving {
                // The list lags differently at each entry; the agent tells all of them at once.
                agent.send(EntryMessage::VmLeaving);
            }
        }
    }

    /// All agents that are connected.
    pub fn connected(&self) -> Vec<(Arc<Agent>, Connected)> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let agents = known.values().map(|(agent, _)| agent);
        agents.filter_map(|agent| Some((Arc::clone(agent), agent.connected()?))).collect()
    }

    fn start(&self, address: SocketAddr) -> (Arc<Agent>, CancellationToken) {
        let (agent, stop) = (Arc::new(Agent::new(address)), CancellationToken::new());
        let supervisor = Supervisor {
            agent: Arc::clone(&agent),
            connector: Arc::clone(&self.connector),
            router: Arc::clone(&self.router),
            recorder: self.recorder.clone(),
            stop: stop.clone(),
        };
        self.traffic.spawn(supervisor.run());
        (agent, stop)
    }
}

/// A VM that may run an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentVm {
    /// Where its agent would be reached.
    pub address: SocketAddr,
    /// The VM list says that it is leaving.
    pub leaving: bool,
}

/// Keeps one agent connected.
struct Supervisor {
    agent: Arc<Agent>,
    connector: Arc<dyn Connector>,
    router: Arc<Router>,
    recorder: Recorder,
    stop: CancellationToken,
}

impl Supervisor {
    async fn run(self) {
        let mut wait = RECONNECT_WAIT.0;
        let mut epoch = 0;
        while !self.stop.is_cancelled() {
            match self.connector.connect(self.agent.address).await {
                Ok(link) => {
                    wait = RECONNECT_WAIT.0;
                    epoch += 1;
                    self.attend(link, epoch).await;
                }
                Err(error) => {
                    tracing::debug!(address = %self.agent.address, %error, "can't connect");
                    wait = (wait * 2).min(RECONNECT_WAIT.1);
                }
            }
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.stop.cancelled() => {}
            }
        }
    }

    async fn attend(&self, mut link: AgentLink, epoch: u64) {
        let Role::Agent(profile) = &link.peer.role else {
            // Another entry. It stays one until its VM is replaced.
            let retry = tokio::time::sleep(NOT_AN_AGENT_WAIT);
            tokio::select! {
                () = retry => {}
                () = self.stop.cancelled() => {}
            }
            return;
        };
        let server = ServerKey::from_name(&link.peer.name);
        let connected = Connected {
            epoch,
            hello: Arc::new(link.peer.clone()),
            profile: Arc::new(profile.clone()),
            sender: link.sender.clone(),
        };
        // The window of another incarnation means nothing to this one.
        self.agent.window.store(0, Ordering::Relaxed);
        let mut announced = false;
        while let Some(message) = link.receiver.recv().await {
            self.take(server, &message);
            // The first heartbeat tells the window; a dispatch before it would be refused.
            if !announced && matches!(message, AgentMessage::Heartbeat { .. }) {
                announced = true;
                self.router.add(server, &connected.profile.serves, Arc::clone(&self.agent));
                self.agent.connected.send_replace(Some(connected.clone()));
                self.record_opened(&connected);
                let known = self.router.suspicions();
                if !known.is_empty() {
                    self.agent.send(EntryMessage::Suspicions(known));
                }
            }
            match message {
                AgentMessage::CacheEvents(events) => self.router.learn_cache(server, events),
                AgentMessage::OrderAnswer { number, body } => {
                    if let Some(waiting) = self.agent.orders().remove(&number) {
                        let _ = waiting.send(body);
                    }
                }
                message => {
                    if let Some(attempt) = message.attempt() {
                        self.agent.route(attempt, message);
                    }
                }
            }
        }
        self.router.remove(server, &self.agent);
        self.agent.connected.send_replace(None);
        self.agent.tell_lost(epoch);
        self.record_closed(&connected);
    }

    fn record_opened(&self, connected: &Connected) {
        let peer = connected.hello.name.as_str().into();
        let requests = u32::try_from(self.agent.streams().len()).unwrap_or(u32::MAX);
        self.recorder.record(match connected.epoch {
            1 => Event::ConnectionOpened { peer },
            _ => Event::ConnectionReplaced { peer, requests },
        });
    }

    /// An agent that lives is heard several times a second, so a gap tells a silent connection
    /// from one that was closed.
    fn record_closed(&self, connected: &Connected) {
        let peer = connected.hello.name.as_str().into();
        let silent = self.agent.heard_ago();
        self.recorder.record(match silent >= SILENT_AFTER {
            true => Event::ConnectionSilent { peer, silent_ms: silent.as_millis() as u64 },
            false => Event::ConnectionClosed { peer },
        });
    }

    fn take(&self, server: ServerKey, message: &AgentMessage) {
        if let AgentMessage::Heartbeat { window, leaving, backend_up, .. } = message {
            self.agent.on_heartbeat(*window, *leaving);
            self.router.set_accepting(server, *leaving, *backend_up);
        }
        if let Some(hint) = message.load_hint() {
            self.router.learn(server, hint);
        }
        if let AgentMessage::Suspicions(records) = message {
            self.pass_on(records);
        }
    }

    /// Entries carry suspicions from agent to agent. Only news is passed on, so it ends.
    fn pass_on(&self, records: &[SuspectRecord]) {
        let news = self.router.suspect(records);
        if news.is_empty() {
            return;
        }
        for agent in self.router.agents() {
            agent.send(EntryMessage::Suspicions(news.clone()));
        }
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
