//! The control task: sole owner of admission, records and the view of the backend server.
//!
//! It takes commands one at a time and never waits for the network, so every decision sees a
//! consistent state.

use crate::cache::{CacheView, Poll};
use crate::config::AgentConfig;
use crate::execution::{Ending, Execution, Work};
use crate::load::LoadCell;
use crate::records::{Record, Records};
use crate::runner::{self, RunEnd};
use bytes::Bytes;
use flamingowheel_observe::event::{Event, Name, Subject};
use flamingowheel_observe::reason::LeaveCause;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_platform::BoxFuture;
use flamingowheel_platform::backend::{BackendError, BackendServer, CacheEvent, LoadReport};
use flamingowheel_policy::admission::{Admission, AdmissionConfig, Admitted, Offer, Priority};
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::suspicion::{CrashId, SuspicionBook, SuspicionConfig, Verdict};
use flamingowheel_protocol::id::{AttemptId, ExecutionKey, Fingerprint, Incarnation, Window};
use flamingowheel_protocol::message::{
    AgentMessage, Dispatch, EntryMessage, Failure, Load, Refusal, Serves,
};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Commands that may wait for the control task.
const COMMAND_QUEUE: usize = 1024;

/// Requests of this priority or above may start beyond the usual places.
const URGENT_PRIORITY: u8 = 8;

/// How often the control task looks after deadlines, records and the backend server's health.
const TICK: Duration = Duration::from_millis(500);

/// What the control task is told.
#[derive(Debug)]
pub enum Command {
    /// A connection from an entry opened.
    Linked {
        /// Identifies the connection.
        link: u64,
        /// Messages to that entry.
        sender: mpsc::Sender<AgentMessage>,
    },
    /// A connection ended.
    Unlinked {
        /// Identifies the connection.
        link: u64,
    },
    /// A message arrived from an entry.
    Received {
        /// Where answers go.
        sender: mpsc::Sender<AgentMessage>,
        /// The message.
        message: EntryMessage,
    },
    /// An execution ended.
    Ended {
        /// Which.
        key: ExecutionKey,
        /// How.
        end: RunEnd,
    },
    /// The backend server answered a health check, or did not.
    Health(Result<LoadReport, BackendError>),
    /// The engine answered a poll for cache events, or did not.
    CacheEvents(Poll, Result<Vec<CacheEvent>, BackendError>),
    /// Take no new work from now on.
    Leave,
}

/// What others may see of the agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AgentStatus {
    /// No new work is taken.
    pub leaving: bool,
    /// Leaving, nothing runs or waits, and every answer has been read.
    pub drained: bool,
    /// Requests waiting for a place.
    pub waiting_count: usize,
    /// Records kept.
    pub record_count: usize,
    /// Times the backend server died.
    pub crash_count: u32,
    /// Whether the last health check was answered.
    pub backend_up: bool,
}

/// Handle to a running control task.
#[derive(Clone, Debug)]
pub struct AgentHandle {
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<AgentStatus>,
}

impl AgentHandle {
    /// Where commands go.
    pub fn commands(&self) -> &mpsc::Sender<Command> {
        &self.commands
    }

    /// The agent's status as of its last change.
    pub fn status(&self) -> AgentStatus {
        self.status.borrow().clone()
    }

    /// Stops taking new work, and waits until the rest is done and read.
    pub async fn drain(&mut self) {
        if self.commands.send(Command::Leave).await.is_err() {
            return;
        }
        let _ = self.status.wait_for(|status| status.drained).await;
    }
}

/// Work that was admitted but has not begun.
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
    suspicion: SuspicionBook,
    load: LoadCell,
    links: HashMap<u64, mpsc::Sender<AgentMessage>>,
    leaving: bool,
    backend_process: Option<u64>,
    backend_up: bool,
    checking_health: bool,
    cache: CacheView,
    polling_cache: bool,
    /// Connections that a message about the cache could not be sent over.
    behind: HashSet<u64>,
    suspects: Vec<Fingerprint>,
    crash_count: u32,
    commands: mpsc::Sender<Command>,
    status: watch::Sender<AgentStatus>,
    traffic: Handle,
    recorder: Recorder,
    orders: Option<Arc<dyn OrderHandler>>,
}

/// Carries out requests of the group's coordinator.
pub trait OrderHandler: Send + Sync + 'static {
    /// Answers one request; both are encoded messages of the group's package.
    fn handle(&self, body: Bytes) -> BoxFuture<'_, Bytes>;
}

impl Control {
    /// Prepares a control task; run it with [`Control::run`], on a thread of its own if there is
    /// one. Tasks that move bytes are spawned on the runtime that this is called on.
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
            suspicion: SuspicionBook::new(SuspicionConfig::default()),
            load: LoadCell::default(),
            links: HashMap::new(),
            leaving: false,
            backend_process: None,
            backend_up: true,
            checking_health: false,
            cache: CacheView::default(),
            polling_cache: false,
            behind: HashSet::new(),
            suspects: Vec::new(),
            crash_count: 0,
            commands: commands.clone(),
            status,
            traffic: Handle::current(),
            recorder,
            orders: None,
            config,
            backend,
        };
        (control, AgentHandle { commands, status: status_receiver }, receiver)
    }

    /// Says who carries out orders; without it they are not answered.
    pub fn with_orders(mut self, orders: Arc<dyn OrderHandler>) -> Self {
        self.orders = Some(orders);
        self
    }

    /// Runs until every handle is gone.
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
            self.publish();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Linked { link, sender } => {
                reply(&sender, self.heartbeat());
                let known = self.suspicion.records(self.started.elapsed());
                if !known.is_empty() {
                    reply(&sender, AgentMessage::Suspicions(known));
                }
                if self.has_prefix_cache() {
                    // Without it a new entry would know nothing of what has been cached so far.
                    reply(&sender, AgentMessage::CacheEvents(vec![self.cache.snapshot()]));
                }
                self.links.insert(link, sender);
            }
            Command::Unlinked { link } => {
                self.links.remove(&link);
                self.behind.remove(&link);
            }
            Command::Received { sender, message } => self.receive(&sender, message),
            Command::Ended { key, end } => self.on_ended(key, end),
            Command::Health(report) => self.on_health(report),
            Command::CacheEvents(poll, events) => self.on_cache_events(poll, events),
            Command::Leave => self.leave(LeaveCause::Signal),
        }
    }

    /// Takes no new work from now on, and tells every entry at once.
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
                let question = Question { attempt, key, incarnation, window };
                self.on_attach(sender, question, from_chunk);
            }
            EntryMessage::Cancel { attempt, key, incarnation, window, void_ticket } => {
                let question = Question { attempt, key, incarnation, window };
                self.on_cancel(sender, question, void_ticket);
            }
            EntryMessage::Acknowledge { attempt, key, next_chunk } => {
                if let Some(Record::Execution(execution)) = self.records.get(key) {
                    execution.acknowledge(attempt, next_chunk);
                }
            }
            EntryMessage::Release { attempt, key } => {
                if let Some(Record::Execution(execution)) = self.records.get(key) {
                    execution.detach(attempt);
                }
            }
            EntryMessage::Suspicions(records) => {
                self.suspicion.merge(&records, self.started.elapsed());
                self.tell_suspicions();
            }
            EntryMessage::VmLeaving => self.leave(LeaveCause::VmList),
            EntryMessage::Order { number, body } => self.on_order(sender, number, body),
        }
    }

    fn on_order(&self, sender: &mpsc::Sender<AgentMessage>, number: u64, body: Bytes) {
        let Some(orders) = self.orders.clone() else { return };
        let sender = sender.clone();
        self.traffic.spawn(async move {
            let body = orders.handle(body).await;
            // Whoever asked over a connection that ended asks again.
            let _ = sender.send(AgentMessage::OrderAnswer { number, body }).await;
        });
    }

    fn on_dispatch(&mut self, sender: &mpsc::Sender<AgentMessage>, dispatch: Box<Dispatch>) {
        let (attempt, key) = (dispatch.attempt, dispatch.key);
        if dispatch.incarnation != self.config.incarnation {
            // No record is needed: this process never runs what names another.
            return self.refuse_unrecorded(sender, attempt, Refusal::WrongIncarnation);
        }
        if self.records.is_buried(attempt) {
            return self.refuse_unrecorded(sender, attempt, Refusal::Cancelled);
        }
        match self.records.get(key) {
            Some(Record::Tombstone) => return self.refuse(sender, attempt, Refusal::Cancelled),
            Some(Record::Execution(execution)) => {
                let execution = Arc::clone(execution);
                return self.on_known(sender, &dispatch, &execution);
            }
            None => {}
        }
        if self.records.is_forgotten(ExecutionKey::Attempt(attempt), dispatch.window)
            || self.records.is_forgotten(key, dispatch.window)
        {
            return self.refuse_unrecorded(sender, attempt, Refusal::Expired);
        }
        if let Some(refusal) = self.objection(&dispatch) {
            return self.refuse(sender, attempt, refusal);
        }
        self.admit(sender, dispatch);
    }

    /// A resend of a ticket joins the one execution; a copy of the same dispatch changes nothing.
    fn on_known(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        dispatch: &Dispatch,
        execution: &Arc<Execution>,
    ) {
        if execution.has_listener(dispatch.attempt) {
            return;
        }
        if execution.work().fingerprint != dispatch.fingerprint {
            return self.refuse(sender, dispatch.attempt, Refusal::TicketMismatch);
        }
        if matches!(dispatch.key, ExecutionKey::Attempt(_)) {
            // A late copy of a dispatch whose answer was already read.
            return;
        }
        self.accept(sender, dispatch.attempt);
        self.record_ticket(dispatch, Event::TicketReplayed { ticket: ticket_name(dispatch.key) });
        self.attach(execution, dispatch.attempt, sender, 0);
    }

    fn objection(&mut self, dispatch: &Dispatch) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        if dispatch.remaining_ms == 0 {
            return Some(Refusal::DeadlinePassed);
        }
        match self.suspicion.verdict(dispatch.fingerprint, self.started.elapsed()) {
            Verdict::Refused { .. } => Some(Refusal::Suspect),
            Verdict::Alone { crashed } if crashed.contains(&self.server()) => {
                Some(Refusal::Suspect)
            }
            Verdict::Alone { .. } | Verdict::Clear => None,
        }
    }

    fn server(&self) -> ServerKey {
        ServerKey::from_name(&self.config.name)
    }

    fn admit(&mut self, sender: &mpsc::Sender<AgentMessage>, dispatch: Box<Dispatch>) {
        let (attempt, key) = (dispatch.attempt, dispatch.key);
        let execution = Arc::new(Execution::new(Work {
            fingerprint: dispatch.fingerprint,
            idempotent: dispatch.idempotent,
            max_replay_bytes: self.config.max_replay_bytes,
            can_resume: self.config.profile.can_resume,
            first_chunk: dispatch.resume_after_chunks,
        }));
        if self.records.insert(key, Arc::clone(&execution)).is_err() {
            return self.refuse(sender, attempt, Refusal::RecordsFull);
        }
        let offer = Offer {
            id: key,
            priority: Priority(dispatch.priority),
            last_try: dispatch.last_try,
            deadline: self.started.elapsed() + Duration::from_millis(dispatch.remaining_ms),
        };
        let from_chunk = dispatch.resume_after_chunks;
        let (fingerprint, dispatch_alone) = (dispatch.fingerprint, dispatch.alone);
        let about = subject(&dispatch);
        self.pending.insert(key, Pending { dispatch, execution: Arc::clone(&execution) });
        let alone = dispatch_alone || self.must_run_alone(fingerprint);
        let admitted = match alone {
            true => self.admission.offer_alone(offer),
            false => self.admission.offer(offer),
        };
        match admitted {
            Admitted::Full(_) => {
                self.pending.remove(&key);
                self.records.remove_ticket(key);
                return self.refuse(sender, attempt, Refusal::Full);
            }
            Admitted::Start => {
                self.accept(sender, attempt);
                self.start(key);
            }
            Admitted::Queued { shed } => {
                self.accept(sender, attempt);
                let queued = u32::from(self.load().waiting);
                let event = Event::Admitted { attempt: attempt.number, queued };
                self.recorder.record_about(&about, event);
                if let Some(shed) = shed {
                    self.give_up(shed, Refusal::Full);
                }
            }
        }
        self.attach(&execution, attempt, sender, from_chunk);
    }

    fn attach(
        &self,
        execution: &Arc<Execution>,
        attempt: AttemptId,
        sender: &mpsc::Sender<AgentMessage>,
        from_chunk: u64,
    ) {
        let load = self.load.clone();
        self.traffic.spawn(execution.attach(attempt, sender.clone(), from_chunk, load));
    }

    /// A request that may kill the backend server runs with nothing beside it, so that it can't
    /// take others down and so that a crash convicts it alone.
    fn must_run_alone(&mut self, fingerprint: Fingerprint) -> bool {
        let verdict = self.suspicion.verdict(fingerprint, self.started.elapsed());
        matches!(verdict, Verdict::Alone { .. })
    }

    fn start(&mut self, key: ExecutionKey) {
        let Some(Pending { dispatch, execution }) = self.pending.remove(&key) else { return };
        let running = Running {
            fingerprint: dispatch.fingerprint,
            subject: subject(&dispatch),
            attempt: dispatch.attempt.number,
            since: Instant::now(),
        };
        self.running.insert(key, running);
        self.record_start(&dispatch);
        let (backend, commands) = (Arc::clone(&self.backend), self.commands.clone());
        self.traffic.spawn(runner::run(backend, dispatch, execution, commands));
    }

    fn on_ended(&mut self, key: ExecutionKey, end: RunEnd) {
        if matches!(end, RunEnd::Failed(Failure::BackendLost)) {
            self.note_suspects();
        }
        if matches!(end, RunEnd::NotStarted) {
            // Before the callers hear "not run", no late copy may be able to run.
            self.bury_all(key);
            self.finish(key, Ending::NotRun(Refusal::BackendDown));
            self.records.remove_ticket(key);
        }
        let Some(running) = self.running.remove(&key) else { return };
        self.record_end(key, &running, end);
        if end == RunEnd::Whole {
            self.clear(running.fingerprint);
        }
        let mut next = self.admission.finish(running.since.elapsed());
        while let Some(key) = next {
            self.start(key);
            next = self.admission.start_next();
        }
    }

    fn clear(&mut self, fingerprint: Fingerprint) {
        let now = self.started.elapsed();
        if self.suspicion.verdict(fingerprint, now) == Verdict::Clear {
            return;
        }
        self.suspicion.on_finished(fingerprint, now);
        let fingerprint = fingerprint_name(fingerprint);
        self.recorder.record(Event::SuspectCleared { fingerprint });
    }

    /// Ends work that has not begun.
    fn give_up(&mut self, key: ExecutionKey, refusal: Refusal) {
        self.bury_all(key);
        self.pending.remove(&key);
        self.finish(key, Ending::NotRun(refusal));
        self.records.remove_ticket(key);
    }

    fn bury_all(&mut self, key: ExecutionKey) {
        let Some(Record::Execution(execution)) = self.records.get(key) else { return };
        for attempt in Arc::clone(execution).attempts() {
            // An attempt of idempotent work has its execution as record already.
            if ExecutionKey::Attempt(attempt) != key {
                self.records.bury_attempt(attempt);
            }
        }
    }

    fn finish(&self, key: ExecutionKey, ending: Ending) {
        if let Some(Record::Execution(execution)) = self.records.get(key) {
            execution.finish(ending);
        }
    }

    fn on_attach(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        question: Question,
        from_chunk: u64,
    ) {
        let attempt = question.attempt;
        if question.incarnation != self.config.incarnation {
            return self.fail(sender, attempt, Failure::RecordGone);
        }
        if self.records.is_buried(attempt) {
            return self.refuse_unrecorded(sender, attempt, Refusal::Cancelled);
        }
        match self.records.get(question.key) {
            Some(Record::Execution(execution)) => {
                let execution = Arc::clone(execution);
                self.attach(&execution, attempt, sender, from_chunk);
            }
            Some(Record::Tombstone) => self.refuse(sender, attempt, Refusal::Cancelled),
            None if self.is_forgotten(&question) => {
                self.fail(sender, attempt, Failure::RecordGone);
            }
            None => self.refuse(sender, attempt, Refusal::NeverArrived),
        }
    }

    fn on_cancel(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        question: Question,
        void_ticket: bool,
    ) {
        let (attempt, key) = (question.attempt, question.key);
        if question.incarnation != self.config.incarnation {
            return self.fail(sender, attempt, Failure::RecordGone);
        }
        match self.records.get(key) {
            Some(Record::Execution(execution)) => {
                let execution = Arc::clone(execution);
                self.cancel_execution(sender, question, &execution);
            }
            Some(Record::Tombstone) => self.refuse(sender, attempt, Refusal::Cancelled),
            None if self.is_forgotten(&question) => {
                self.fail(sender, attempt, Failure::RecordGone);
            }
            None => {
                // The dispatch may still be on its way. Without the tombstone it would run after
                // the caller was told that it did not.
                if void_ticket && self.records.bury(key).is_err() {
                    return self.fail(sender, attempt, Failure::Cancelled);
                }
                self.refuse(sender, attempt, Refusal::Cancelled);
            }
        }
    }

    fn cancel_execution(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        question: Question,
        execution: &Arc<Execution>,
    ) {
        let (attempt, key) = (question.attempt, question.key);
        if let Some(Ending::NotRun(_)) = execution.ending() {
            return self.refuse(sender, attempt, Refusal::Cancelled);
        }
        let others = execution.detach(attempt);
        let waiting = self.pending.contains_key(&key);
        if waiting && !others {
            self.admission.cancel(key);
            self.give_up(key, Refusal::Cancelled);
            return self.refuse(sender, attempt, Refusal::Cancelled);
        }
        if execution.work().idempotent && !others {
            execution.stop_token().cancel();
        }
        self.fail(sender, attempt, Failure::Cancelled);
    }

    fn is_forgotten(&self, question: &Question) -> bool {
        self.records.is_forgotten(ExecutionKey::Attempt(question.attempt), question.window)
            || self.records.is_forgotten(question.key, question.window)
    }

    /// When the backend server dies, whatever ran is what may have killed it.
    fn note_suspects(&mut self) {
        if self.suspects.is_empty() {
            self.suspects = self.running.values().map(|running| running.fingerprint).collect();
        }
        self.check_health();
    }

    fn check_health(&mut self) {
        if std::mem::replace(&mut self.checking_health, true) {
            return;
        }
        let (backend, commands) = (Arc::clone(&self.backend), self.commands.clone());
        self.traffic.spawn(async move {
            let report = backend.load().await;
            let _ = commands.send(Command::Health(report)).await;
        });
    }

    /// A lost connection alone is no crash: the backend server must be gone or be a new process.
    fn on_health(&mut self, report: Result<LoadReport, BackendError>) {
        self.checking_health = false;
        let was_up = std::mem::replace(&mut self.backend_up, report.is_ok());
        if was_up != self.backend_up {
            self.broadcast(&self.heartbeat());
            if self.backend_up {
                let backend_server = self.config.name.as_str().into();
                self.recorder.record(Event::EngineReady { backend_server });
            }
        }
        let process = report.ok().map(|report| report.process_id);
        self.note_process(process);
        let suspects = std::mem::take(&mut self.suspects);
        let died = process.is_none() || process != self.backend_process;
        if process.is_some() {
            self.backend_process = process;
        }
        if suspects.is_empty() || !died {
            return;
        }
        self.crash_count += 1;
        let crash = CrashId { server: self.server(), number: rand::random() };
        self.suspicion.on_crash(crash, &suspects, self.started.elapsed());
        for fingerprint in &suspects {
            let fingerprint = fingerprint_name(*fingerprint);
            self.recorder.record(Event::SuspectMarked { fingerprint, crashes: self.crash_count });
        }
        self.recorder.record(Event::EngineCrashed {
            backend_server: self.config.name.as_str().into(),
            running: u32::try_from(suspects.len()).unwrap_or(u32::MAX),
        });
        self.tell_suspicions();
    }

    /// A new engine process has an empty cache; what was known would send prompts there in vain.
    fn note_process(&mut self, process: Option<u64>) {
        let is_other = process.is_some() && process != self.backend_process;
        if is_other && self.backend_process.is_some() && self.has_prefix_cache() {
            let snapshot = self.cache.start_over();
            self.tell_cache(vec![snapshot]);
        }
    }

    fn has_prefix_cache(&self) -> bool {
        matches!(self.config.profile.serves, Serves::Model { .. })
    }

    fn poll_cache(&mut self) {
        if !self.has_prefix_cache() || std::mem::replace(&mut self.polling_cache, true) {
            return;
        }
        let (backend, commands) = (Arc::clone(&self.backend), self.commands.clone());
        let poll = self.cache.poll();
        self.traffic.spawn(async move {
            let events = backend.cache_events(poll.after).await;
            let _ = commands.send(Command::CacheEvents(poll, events)).await;
        });
    }

    /// After a failed poll the next one asks for the same events again.
    fn on_cache_events(&mut self, poll: Poll, events: Result<Vec<CacheEvent>, BackendError>) {
        self.polling_cache = false;
        let mut told = self.cache.on_events(poll, events.unwrap_or_default());
        told.extend(self.cache.expire());
        if !told.is_empty() {
            self.tell_cache(told);
        }
    }

    /// A connection that is stuck misses the message and later gets all that is known instead.
    fn tell_cache(&mut self, events: Vec<flamingowheel_policy::prefix::CacheEvent>) {
        let message = AgentMessage::CacheEvents(events);
        for (link, sender) in &self.links {
            if sender.try_send(message.clone()).is_err() {
                self.behind.insert(*link);
            }
        }
    }

    fn catch_up(&mut self) {
        if self.behind.is_empty() {
            return;
        }
        let message = AgentMessage::CacheEvents(vec![self.cache.snapshot()]);
        let links = &self.links;
        self.behind.retain(|link| {
            links.get(link).is_some_and(|sender| sender.try_send(message.clone()).is_err())
        });
    }

    /// Passes on what changed. Only news counts as a change, so this comes to an end.
    fn tell_suspicions(&mut self) {
        let changes = self.suspicion.take_changes(self.started.elapsed());
        if !changes.is_empty() {
            self.broadcast(&AgentMessage::Suspicions(changes));
        }
    }

    fn on_tick(&mut self) {
        self.records.expire();
        for key in self.admission.expire(self.started.elapsed()) {
            self.give_up(key, Refusal::DeadlinePassed);
        }
        self.stop_orphans();
        self.check_health();
        self.catch_up();
        self.poll_cache();
        self.tell_suspicions();
        self.broadcast(&self.heartbeat());
    }

    /// An entry that died can't cancel what it sent; without this the work would go on for nobody.
    fn stop_orphans(&self) {
        for key in self.running.keys() {
            let Some(Record::Execution(execution)) = self.records.get(*key) else { continue };
            let unattended = execution.unattended_since().map(|since| since.elapsed());
            let orphaned = unattended.is_some_and(|time| time >= self.config.orphan_limit);
            if orphaned && execution.work().idempotent {
                execution.stop_token().cancel();
            }
        }
    }

    fn record_start(&self, dispatch: &Dispatch) {
        let running = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let attempt = dispatch.attempt.number;
        self.recorder.record_about(&subject(dispatch), Event::Started { attempt, running });
        if let ExecutionKey::Ticket { .. } = dispatch.key {
            let ticket = ticket_name(dispatch.key);
            self.record_ticket(dispatch, Event::TicketRun { ticket });
        }
    }

    fn record_ticket(&self, dispatch: &Dispatch, event: Event) {
        self.recorder.record_about(&subject(dispatch), event);
    }

    fn record_end(&self, key: ExecutionKey, running: &Running, end: RunEnd) {
        let Some(Record::Execution(execution)) = self.records.get(key) else { return };
        // A run without a whole answer is told by the attempt's end at the entry.
        if end != RunEnd::Whole {
            return;
        }
        let event = Event::Finished {
            attempt: running.attempt,
            chunks: execution.chunk_count(),
            duration_ms: running.since.elapsed().as_millis() as u64,
        };
        self.recorder.record_about(&running.subject, event);
    }

    fn accept(&self, sender: &mpsc::Sender<AgentMessage>, attempt: AttemptId) {
        reply(sender, AgentMessage::Accepted { attempt, load: self.load() });
    }

    /// Says "not run", after making sure that a late copy of the dispatch can't run either.
    fn refuse(
        &mut self,
        sender: &mpsc::Sender<AgentMessage>,
        attempt: AttemptId,
        refusal: Refusal,
    ) {
        self.records.bury_attempt(attempt);
        let event = Event::TombstoneWritten { attempt: attempt.number };
        self.recorder.record_about(&Subject::request(attempt.request.0), event);
        self.refuse_unrecorded(sender, attempt, refusal);
    }

    fn refuse_unrecorded(
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
            backend_up: self.backend_up,
        }
    }

    fn load(&self) -> Load {
        self.admission.load()
    }

    fn broadcast(&self, message: &AgentMessage) {
        for sender in self.links.values() {
            // A full queue means the connection is stuck; the next heartbeat says the same.
            let _ = sender.try_send(message.clone());
        }
    }

    fn publish(&mut self) {
        self.load.set(self.load());
        let idle = self.running.is_empty() && self.pending.is_empty();
        let drained = self.leaving
            && idle
            && !self.records.executions().any(|(_, execution)| execution.is_being_read());
        let status = AgentStatus {
            leaving: self.leaving,
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

/// What a dispatch's events are about.
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

/// Which attempt an entry asks about.
#[derive(Clone, Copy)]
struct Question {
    attempt: AttemptId,
    key: ExecutionKey,
    incarnation: Incarnation,
    window: Window,
}

/// Sends without waiting; the control task must not wait for one slow connection.
fn reply(sender: &mpsc::Sender<AgentMessage>, message: AgentMessage) {
    if let Err(mpsc::error::TrySendError::Full(message)) = sender.try_send(message) {
        let sender = sender.clone();
        tokio::spawn(async move { sender.send(message).await });
    }
}
