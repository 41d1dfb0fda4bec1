//! The control task: sole owner of admission, records and the backend server's observed state.
//!
//! It handles commands one at a time and never waits for the network, so every decision is made on
//! a consistent state.

mod attempts;
mod handle;
mod health;
mod intake;
mod record;
mod work;

pub use handle::{AgentHandle, AgentStatus, Command, TicketList};

use crate::cache::CacheView;
use crate::config::AgentConfig;
use crate::execution::Execution;
use crate::load::LoadCell;
use crate::records::{Record, Records};
use bytes::Bytes;
use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::backend::BackendServer;
use flamingowheel_observe::event::{Event, Name, Subject};
use flamingowheel_observe::reason::LeaveCause;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::admission::{Admission, AdmissionConfig, Priority};
use flamingowheel_policy::suspicion::{SuspectTracker, SuspicionConfig};
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Fingerprint, Incarnation, Window};
use flamingowheel_protocol::message::{
    AgentMessage, Dispatch, EntryMessage, Failure, Load, Refusal,
};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const COMMAND_QUEUE: usize = 1024;

/// Requests of this priority or above may start in an extra place when all others are taken.
const URGENT_PRIORITY: u8 = 8;

/// Interval at which the control task checks deadlines, records and the backend server's health.
const TICK: Duration = Duration::from_millis(500);

/// Ticks after which an unchanged heartbeat is sent again.
const REPEAT_TICKS: u32 = 2;

/// A request that was admitted but has not begun.
struct Pending {
    dispatch: Box<Dispatch>,
    execution: Arc<Execution>,
}

struct Running {
    fingerprint: Fingerprint,
    subject: Subject,
    attempt: u32,
    since: Instant,
}

/// The control task's state.
pub struct Control {
    config: AgentConfig,
    backend: Arc<dyn BackendServer>,
    started: Instant,
    records: Records,
    admission: Admission<ExecutionKey>,
    pending: HashMap<ExecutionKey, Pending>,
    running: HashMap<ExecutionKey, Running>,
    suspicion: SuspectTracker,
    load: LoadCell,
    links: HashMap<u64, mpsc::Sender<AgentMessage>>,
    /// The last heartbeat sent to all links, and how many ticks ago.
    last_heartbeat: (Option<AgentMessage>, u32),
    leaving: bool,
    closed: bool,
    backend_process: Option<u64>,
    backend_up: bool,
    checking_health: bool,
    cache: CacheView,
    polling_cache: bool,
    /// Links whose queue had no room for a message about the cache.
    stale_links: HashSet<u64>,
    suspects: Vec<Fingerprint>,
    crash_count: u32,
    commands: mpsc::Sender<Command>,
    status: watch::Sender<AgentStatus>,
    runtime: Handle,
    recorder: Recorder,
    orders: Option<Arc<dyn OrderHandler>>,
}

/// Handles requests of the group's coordinator.
pub trait OrderHandler: Send + Sync + 'static {
    /// Handles one request and returns the answer. Both are encoded messages of the crate
    /// `flamingowheel-group`.
    fn handle(&self, body: Bytes) -> BoxFuture<'_, Bytes>;
}

impl Control {
    /// Creates a control task, to be run with [`Control::run`], preferably on a thread of its own.
    /// Tasks that transfer answers are spawned on the runtime that this is called on.
    pub fn new(
        config: AgentConfig,
        backend: Arc<dyn BackendServer>,
        recorder: Recorder,
    ) -> (Self, AgentHandle, mpsc::Receiver<Command>) {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let (status, status_receiver) = watch::channel(AgentStatus::default());
        let admission = Admission::new(AdmissionConfig {
            places: u16::try_from(config.profile.places).unwrap_or(u16::MAX),
            max_queue: config.queue_places,
            urgent: Priority(URGENT_PRIORITY),
            ..AdmissionConfig::default()
        });
        let control = Self {
            records: Records::new(&config),
            admission,
            started: Instant::now(),
            pending: HashMap::new(),
            running: HashMap::new(),
            suspicion: SuspectTracker::new(SuspicionConfig::default()),
            load: LoadCell::default(),
            links: HashMap::new(),
            last_heartbeat: (None, 0),
            leaving: false,
            closed: false,
            backend_process: None,
            backend_up: true,
            checking_health: false,
            cache: CacheView::default(),
            polling_cache: false,
            stale_links: HashSet::new(),
            suspects: Vec::new(),
            crash_count: 0,
            commands: commands.clone(),
            status,
            runtime: Handle::current(),
            recorder,
            orders: None,
            config,
            backend,
        };
        (control, AgentHandle { commands, status: status_receiver }, receiver)
    }

    /// Sets the handler of orders; without one they are not answered.
    pub fn with_order_handler(mut self, orders: Arc<dyn OrderHandler>) -> Self {
        self.orders = Some(orders);
        self
    }

    /// Handles commands until the command channel is closed.
    pub async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
                _ = tick.tick() => self.on_tick(),
            }
            self.publish_status();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Linked { link, sender } => {
                reply(&sender, self.heartbeat());
                let suspicions = self.suspicion.records(self.started.elapsed());
                if !suspicions.is_empty() {
                    reply(&sender, AgentMessage::Suspicions(suspicions));
                }
                if self.has_prefix_cache() {
                    // Later events don't include the blocks that are cached already.
                    reply(&sender, AgentMessage::CacheEvents(vec![self.cache.snapshot()]));
                }
                self.links.insert(link, sender);
            }
            Command::Unlinked { link } => {
                self.links.remove(&link);
                self.stale_links.remove(&link);
            }
            Command::Received { sender, message } => self.receive(&sender, message),
            Command::Ended { key, end } => self.on_ended(key, end),
            Command::Health(report) => self.on_health(report),
            Command::CacheEvents(poll, events) => self.on_cache_events(poll, events),
            Command::SetOpen(open) => self.set_open(open),
            Command::Leave => self.leave(LeaveCause::Signal),
            Command::ListTickets(list) => {
                let _ = list.send(self.tickets());
            }
        }
    }

    /// Refuses new requests from now on, and notifies every entry at once.
    fn leave(&mut self, cause: LeaveCause) {
        if std::mem::replace(&mut self.leaving, true) {
            return;
        }
        let requests = u32::try_from(self.running.len() + self.pending.len()).unwrap_or(u32::MAX);
        self.recorder.record(Event::LeaveBegan { cause, requests });
        self.broadcast(&self.heartbeat());
    }

    fn receive(&mut self, sender: &mpsc::Sender<AgentMessage>, message: EntryMessage) {
        match message {
            EntryMessage::Dispatch(dispatch) => self.on_dispatch(sender, dispatch),
            EntryMessage::Attach { attempt, key, incarnation, window, from_chunk } => {
                let query = AttemptQuery { attempt, key, incarnation, window };
                self.on_attach(sender, query, from_chunk);
            }
            EntryMessage::Cancel { attempt, key, incarnation, window, void_ticket } => {
                let query = AttemptQuery { attempt, key, incarnation, window };
                self.on_cancel(sender, query, void_ticket);
            }
            EntryMessage::Acknowledge { attempt, key, next_chunk } => {
                if let Some(Record::Execution(execution)) = self.records.get(key) {
                    execution.acknowledge(attempt, next_chunk);
                }
            }
            EntryMessage::Release { attempt, key } => {
                if let Some(Record::Execution(execution)) = self.records.get(key) {
                    execution.detach(attempt);
                    if matches!(key, ExecutionKey::Attempt(_)) {
                        execution.discard_unresumable();
                    }
                }
            }
            EntryMessage::Suspicions(records) => {
                self.suspicion.merge(&records, self.started.elapsed());
                self.broadcast_suspicions();
            }
            EntryMessage::VmLeaving => self.leave(LeaveCause::VmList),
            EntryMessage::Order { number, body } => self.on_order(sender, number, body),
        }
    }

    fn on_order(&self, sender: &mpsc::Sender<AgentMessage>, number: u64, body: Bytes) {
        let Some(orders) = self.orders.clone() else { return };
        let sender = sender.clone();
        self.runtime.spawn(async move {
            let body = orders.handle(body).await;
            // If the connection has ended, the coordinator sends its request again.
            let _ = sender.send(AgentMessage::OrderAnswer { number, body }).await;
        });
    }

    fn attach(
        &self,
        execution: &Arc<Execution>,
        attempt: AttemptId,
        sender: &mpsc::Sender<AgentMessage>,
        from_chunk: u64,
    ) {
        let load = self.load.clone();
        self.runtime.spawn(execution.attach(attempt, sender.clone(), from_chunk, load));
    }

    fn on_tick(&mut self) {
        self.records.expire();
        for key in self.admission.expire(self.started.elapsed()) {
            self.refuse_pending(key, Refusal::DeadlinePassed);
        }
        self.stop_orphans();
        self.check_health();
        self.send_missed_snapshots();
        self.poll_cache();
        self.broadcast_suspicions();
        self.broadcast_heartbeat();
    }

    /// Broadcasts a changed heartbeat at once, and an unchanged one every [`REPEAT_TICKS`].
    fn broadcast_heartbeat(&mut self) {
        let now = Some(self.heartbeat());
        let (last, age) = &mut self.last_heartbeat;
        *age += 1;
        if *last == now && *age < REPEAT_TICKS {
            return;
        }
        self.last_heartbeat = (now, 0);
        self.broadcast(&self.heartbeat());
    }

    fn accept(&self, sender: &mpsc::Sender<AgentMessage>, attempt: AttemptId) {
        reply(sender, AgentMessage::Accepted { attempt, load: self.load() });
    }

    /// Refuses an attempt as "not run", after making sure that a late copy of the dispatch can't
    /// run either.
    fn refuse(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        self.records.add_attempt_tombstone(attempt);
        let event = Event::TombstoneWritten { attempt: attempt.number };
        self.recorder.record_with_subject(&Subject::request(attempt.request.0), event);
        self.refuse_without_tombstone(sender, attempt, refusal);
    }

    fn refuse_without_tombstone(
        &self,
        sender: &mpsc::Sender<AgentMessage>,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        reply(sender, AgentMessage::Refused { attempt, refusal, load: self.load() });
    }

    fn fail(&self, sender: &mpsc::Sender<AgentMessage>, attempt: AttemptId, failure: Failure) {
        let occupancy = self.load().into();
        reply(sender, AgentMessage::Failed { attempt, failure, occupancy });
    }

    fn heartbeat(&self) -> AgentMessage {
        AgentMessage::Heartbeat {
            load: self.load(),
            window: self.records.window(),
            leaving: self.leaving,
            backend_up: self.backend_up && !self.closed,
        }
    }

    fn load(&self) -> Load {
        self.admission.load()
    }

    fn broadcast(&self, message: &AgentMessage) {
        for sender in self.links.values() {
            // A full queue means that the connection is stuck; later heartbeats repeat the state.
            let _ = sender.try_send(message.clone());
        }
    }

    fn publish_status(&mut self) {
        self.load.set(self.load());
        let idle = self.running.is_empty() && self.pending.is_empty();
        let drained = self.leaving
            && idle
            && !self.records.executions().any(|(_, execution)| execution.has_listeners());
        let status = AgentStatus {
            leaving: self.leaving,
            closed: self.closed,
            in_progress_count: self.running.len() + self.pending.len(),
            drained,
            waiting_count: usize::from(self.load().waiting),
            record_count: self.records.len(),
            crash_count: self.crash_count,
            backend_up: self.backend_up,
        };
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }
}

fn subject(dispatch: &Dispatch) -> Subject {
    Subject::request(dispatch.attempt.request.0).workspace(dispatch.workspace.as_str())
}

fn fingerprint_name(fingerprint: Fingerprint) -> Name {
    format!("{:032x}", fingerprint.0).into()
}

fn ticket_name(key: ExecutionKey) -> Name {
    match key {
        ExecutionKey::Ticket { number, .. } => number.to_string().into(),
        ExecutionKey::Attempt(attempt) => attempt.request.0.to_string().into(),
    }
}

/// The attempt that an attach or cancel message is about.
#[derive(Clone, Copy)]
struct AttemptQuery {
    attempt: AttemptId,
    key: ExecutionKey,
    incarnation: Incarnation,
    window: Window,
}

/// Sends without blocking the control task: if the queue is full, another task waits for room.
fn reply(sender: &mpsc::Sender<AgentMessage>, message: AgentMessage) {
    if let Err(mpsc::error::TrySendError::Full(message)) = sender.try_send(message) {
        let sender = sender.clone();
        tokio::spawn(async move { sender.send(message).await });
    }
}
