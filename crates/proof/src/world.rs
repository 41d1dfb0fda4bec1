//! A small fleet in one thread: two entries, three plain services and two engines, each with its
//! agent, and a key-value service.

use crate::backend::{Lifecycle, ProcessBackend, SentBodies};
use crate::caller::{Call, CallKind, CallOutcome, request_ticket, send};
use crate::entry::{Entry, fleet_key};
use crate::mutation::Mutation;
use crate::network::{Endpoint, Network};
use crate::oracle::{Kind, Ledger, Violation, Work};
use crate::servers::{Servers, Size};
use bytes::Bytes;
use flamingowheel_agent::archive::Archive;
use flamingowheel_agent::config::AgentConfig;
use flamingowheel_agent::control::{Command, Control};
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::message::{Hello, Role};
use flamingowheel_protocol::ticket::Ticket;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};

/// Number of entries in a world.
pub const ENTRIES: usize = 2;
/// Time after which a leaving backend server must get no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
/// Time from the end of a process to the start of its replacement.
pub const RESTART_TIME: Duration = Duration::from_secs(1);
/// Time that a starting world waits for connections to open, and limit of a ticket request.
const START_TIME: Duration = Duration::from_secs(1);
/// Time after which nothing sent earlier can arrive or run: messages are delayed by at most 12 s,
/// calls take at most 4 s.
const QUIET_TIME: Duration = Duration::from_secs(20);
/// Longer than any deadline, reconnect and cancel together.
const SETTLE_TIME: Duration = Duration::from_secs(60);

/// A running agent process.
struct Agent {
    lifecycle: Lifecycle,
    control: AbortHandle,
    archive: Archive,
    leaving_since: Option<Instant>,
}

/// Work submitted when a backend server had been leaving for longer than [`LEAVE_LIMIT`].
struct LateWork {
    server: usize,
    after: Duration,
    body: Bytes,
}

/// Entries, agents, backend servers and key-value service, with the ledger of work.
pub struct World {
    /// Connects entries and agents.
    pub network: Network,
    /// Shared by all processes.
    pub kv: FakeKeyValue,
    /// Services and engines; they outlive their agents.
    pub servers: Servers,
    /// Work and its outcomes.
    pub ledger: Ledger,
    entries: Vec<Entry>,
    agents: Vec<Option<Agent>>,
    late_work: Vec<LateWork>,
    sent: Vec<SentBodies>,
    mutation: Option<Mutation>,
    submitted_count: usize,
}

impl World {
    /// Starts a world and waits until all connections are open.
    pub async fn start(mutation: Option<Mutation>) -> Self {
        Self::start_sized(mutation, Size::default()).await
    }

    /// Like [`Self::start`], with another number of backend servers.
    pub async fn start_sized(mutation: Option<Mutation>, size: Size) -> Self {
        let mut world = Self {
            network: Network::new(mutation),
            kv: FakeKeyValue::new(),
            servers: Servers::start(size),
            ledger: Ledger::default(),
            entries: Vec::new(),
            agents: (0..size.services + size.engines).map(|_| None).collect(),
            late_work: Vec::new(),
            sent: (0..size.services + size.engines).map(|_| SentBodies::default()).collect(),
            mutation,
            submitted_count: 0,
        };
        (0..world.servers.count()).for_each(|server| world.start_agent(server));
        for entry in 0..ENTRIES {
            let started = world.new_entry(entry);
            world.entries.push(started);
        }
        sleep(START_TIME).await;
        world
    }

    fn new_entry(&self, entry: usize) -> Entry {
        let addresses: Vec<_> = (0..self.servers.count()).map(address).collect();
        Entry::start(&format!("entry-{entry}"), &self.network, &self.kv, &addresses)
    }

    /// Starts an agent process unless one runs.
    pub fn start_agent(&mut self, server: usize) {
        if self.agents[server].is_some() {
            return;
        }
        let lifecycle = Lifecycle::default();
        let mut config =
            AgentConfig::new(&format!("runner-{server}"), "a", self.servers.profile(server));
        if self.mutation == Some(Mutation::IncarnationIgnored) {
            config.incarnation = Incarnation(1 + server as u64);
        }
        let hello = Hello {
            name: config.name.clone(),
            incarnation: config.incarnation,
            vm: config.vm.clone(),
            data_centre: config.data_centre.clone(),
            operators: None,
            role: Role::Agent(config.profile.clone()),
        };
        let archive = Archive {
            incarnation: config.incarnation,
            ticket_retention: config.ticket_retention(),
        };
        let recorder = Recorder::for_tests(&config.name);
        let backend = {
            let (backend, sent) = (self.servers.backend(server), self.sent[server].clone());
            ProcessBackend::new(backend, lifecycle.clone(), sent)
        };
        let (control, handle, commands) = Control::new(config, Arc::new(backend), recorder);
        let control = tokio::spawn(control.run(commands)).abort_handle();
        let endpoint =
            Endpoint { hello, handle, lifecycle: lifecycle.clone(), dispatched: Arc::default() };
        self.network.attach(address(server), endpoint);
        self.agents[server] = Some(Agent { lifecycle, control, archive, leaving_since: None });
    }

    /// Kills an agent process.
    pub fn kill_agent(&mut self, server: usize) {
        let Some(agent) = self.agents[server].take() else { return };
        self.network.detach(address(server));
        agent.lifecycle.kill();
        agent.control.abort();
        // Its replacement is not leaving.
        self.late_work.retain(|late| late.server != server);
    }

    /// Pauses or resumes an agent process.
    pub fn pause_agent(&self, server: usize, paused: bool) {
        if let Some(agent) = &self.agents[server] {
            agent.lifecycle.set_paused(paused);
        }
    }

    /// Makes an agent leave, unless it is paused.
    pub async fn leave(&mut self, server: usize) {
        let Some(agent) = &mut self.agents[server] else { return };
        let Some(endpoint) = self.network.endpoint(address(server)) else { return };
        if agent.leaving_since.is_none() && !agent.lifecycle.is_paused() {
            let _ = endpoint.handle.commands().send(Command::Leave).await;
            agent.leaving_since = Some(Instant::now());
        }
    }

    /// Shuts an agent process down gracefully: it leaves, drains, archives its answers and ends.
    pub async fn stop_agent(&mut self, server: usize) {
        self.leave(server).await;
        let Some(archive) = self.agents[server].as_ref().map(|agent| agent.archive) else { return };
        let Some(mut endpoint) = self.network.endpoint(address(server)) else { return };
        endpoint.handle.drain().await;
        archive.store(&endpoint.handle, &self.kv).await;
        self.kill_agent(server);
    }

    /// Name of the agent that a ticket is bound to; `None` if the ticket is invalid.
    pub fn ticket_home(&self, ticket: &str) -> Option<String> {
        Ticket::from_text(ticket, &fleet_key()).ok().map(|ticket| ticket.agent)
    }

    /// The last backend server, by index, that received this body.
    pub fn server_of(&self, body: &Bytes) -> Option<usize> {
        let was_sent =
            |sent: &SentBodies| sent.lock().unwrap_or_else(PoisonError::into_inner).contains(body);
        self.sent.iter().rposition(was_sent)
    }

    /// Replaces a backend server's VM: agent and backend server die together, and new ones start
    /// after [`RESTART_TIME`].
    pub async fn replace_vm(&mut self, server: usize) {
        self.kill_agent(server);
        match self.servers.services.get(server) {
            Some(service) => service.set_down(true),
            None => self.servers.engine(server).crash(),
        }
        sleep(RESTART_TIME).await;
        match self.servers.services.get(server) {
            Some(service) => service.set_down(false),
            None => self.servers.engine(server).restart(),
        }
        self.start_agent(server);
    }

    /// Whether an agent has no work left.
    pub fn is_drained(&self, server: usize) -> bool {
        let endpoint = self.network.endpoint(address(server));
        endpoint.is_some_and(|endpoint| endpoint.handle.status().drained)
    }

    /// Kills an entry process and starts a new one.
    pub fn replace_entry(&mut self, entry: usize) {
        self.entries[entry].end();
        self.entries[entry] = self.new_entry(entry);
    }

    /// Kills an entry process without a replacement.
    pub fn kill_entry(&self, entry: usize) {
        self.entries[entry].end();
    }

    /// Starts an entry process unless one runs.
    pub fn start_entry(&mut self, entry: usize) {
        if self.entries[entry].lifecycle.is_killed() {
            self.entries[entry] = self.new_entry(entry);
        }
    }

    /// Makes an entry leave: it accepts no new requests and finishes those in progress.
    pub fn leave_entry(&mut self, entry: usize) {
        self.entries[entry].leave();
    }

    /// Replaces the leaving entries that have finished all requests.
    pub fn replace_left_entries(&mut self) {
        let has_left = |entry: &Entry| entry.leaving && entry.is_drained();
        for entry in 0..ENTRIES {
            if has_left(&self.entries[entry]) {
                self.replace_entry(entry);
            }
        }
    }

    /// The newest process of an entry.
    pub fn entry(&self, entry: usize) -> &Entry {
        &self.entries[entry]
    }

    /// An entry's HTTP interface for callers.
    pub fn router(&self, entry: usize) -> axum::Router {
        self.entries[entry].router.clone()
    }

    /// Pauses or resumes an entry process.
    pub fn pause_entry(&self, entry: usize, paused: bool) {
        self.entries[entry].lifecycle.set_paused(paused);
    }

    /// Submits new work at an entry; returns its index in the ledger.
    pub fn ask(&mut self, entry: usize, kind: Kind, body: Bytes, timeout_ms: u64) -> usize {
        let work = Work { kind, body, ticket: None, key: None, submissions: Vec::new() };
        self.submit_new(entry, work, timeout_ms)
    }

    /// Submits non-idempotent work under a caller's idempotency key; returns its index.
    pub fn ask_with_key(&mut self, entry: usize, body: Bytes, timeout_ms: u64) -> usize {
        let key = Some(format!("key-{}", self.submitted_count));
        let submissions = Vec::new();
        let work = Work { kind: Kind::Order, body, ticket: None, key, submissions };
        self.submit_new(entry, work, timeout_ms)
    }

    /// Requests a ticket without using it yet; returns the index of its work, `None` without a
    /// ticket.
    pub async fn request_ticket(&mut self, entry: usize, body: Bytes) -> Option<usize> {
        let at = &self.entries[entry];
        if at.leaving {
            return None;
        }
        let request = request_ticket(at.router.clone(), at.lifecycle.clone());
        let ticket = tokio::time::timeout(START_TIME, request).await.ok().flatten()?;
        let submissions = Vec::new();
        let work = Work { kind: Kind::Order, body, ticket: Some(ticket), key: None, submissions };
        Some(self.ledger.add(work))
    }

    /// Requests a ticket and submits non-idempotent work under it; `None` without a ticket.
    pub async fn ask_with_ticket(
        &mut self,
        entry: usize,
        body: Bytes,
        timeout_ms: u64,
    ) -> Option<usize> {
        let index = self.request_ticket(entry, body.clone()).await?;
        self.record_late_work(&body);
        self.submit(entry, index, false, timeout_ms);
        Some(index)
    }

    fn submit_new(&mut self, entry: usize, work: Work, timeout_ms: u64) -> usize {
        self.submitted_count += 1;
        self.record_late_work(&work.body);
        let index = self.ledger.add(work);
        self.submit(entry, index, false, timeout_ms);
        index
    }

    fn record_late_work(&mut self, body: &Bytes) {
        for (server, agent) in self.agents.iter().enumerate() {
            let since = agent.as_ref().and_then(|agent| agent.leaving_since);
            let Some(after) = since.map(|since| since.elapsed()) else { continue };
            if after > LEAVE_LIMIT {
                self.late_work.push(LateWork { server, after, body: body.clone() });
            }
        }
    }

    /// Asks an entry which addresses to use; all such requests are one piece of work.
    pub fn ask_addresses(&self, entry: usize) {
        if self.ledger.is_empty() {
            let submissions = Vec::new();
            let body = Bytes::new();
            let kind = Kind::Addresses;
            self.ledger.add(Work { kind, body, ticket: None, key: None, submissions });
        }
        self.submit(entry, 0, false, 1_000);
    }

    /// Resends a piece of work, under its ticket or key if it has one.
    pub fn resend(&self, entry: usize, index: usize, timeout_ms: u64) {
        let Some(work) = self.ledger.get(index) else { return };
        if work.kind == Kind::Order && work.ticket.is_none() && work.key.is_none() {
            // Without ticket or key an order can't be resent safely.
            return;
        }
        self.submit(entry, index, false, timeout_ms);
    }

    /// Voids the ticket of a piece of work, if it has one.
    pub fn void(&self, entry: usize, index: usize, timeout_ms: u64) {
        if self.ledger.get(index).is_some_and(|work| work.ticket.is_some()) {
            self.submit(entry, index, true, timeout_ms);
        }
    }

    fn submit(&self, entry: usize, index: usize, void: bool, timeout_ms: u64) {
        let Some(work) = self.ledger.get(index) else { return };
        let kind = match (&work.ticket, &work.key, work.kind) {
            (Some(ticket), _, _) if void => CallKind::Void(ticket.clone()),
            (Some(ticket), _, _) => CallKind::Ticket(ticket.clone()),
            (None, Some(key), _) => CallKind::Key(key.clone()),
            (None, None, Kind::Chat) => CallKind::Chat,
            (None, None, Kind::Status) => CallKind::Status,
            (None, None, Kind::Order) => CallKind::Order,
            (None, None, Kind::Addresses) => CallKind::Addresses,
        };
        let repeats =
            kind == CallKind::Order && self.mutation == Some(Mutation::NonIdempotentRetried);
        let call = Call { kind, body: work.body, timeout_ms };
        let at = &self.entries[entry];
        if at.leaving {
            // A leaving entry accepts no connections.
            return self
                .ledger
                .record_outcome(self.ledger.submit(index, void), CallOutcome::Broken);
        }
        let (router, lifecycle) = (at.router.clone(), at.lifecycle.clone());
        let (ledger, submission) = (self.ledger.clone(), self.ledger.submit(index, void));
        tokio::spawn(async move {
            let mut outcome = send(router.clone(), lifecycle.clone(), call.clone()).await;
            if repeats && matches!(outcome, CallOutcome::Unknown(_)) {
                outcome = send(router, lifecycle, call).await;
            }
            ledger.record_outcome(submission, outcome);
        });
    }

    /// Removes all faults and starts every process.
    pub fn repair(&mut self) {
        self.network.clear_faults();
        self.kv.set_down(false);
        self.kv.set_delay(Duration::ZERO);
        for service in &self.servers.services {
            service.set_down(false);
            service.set_frozen(false);
            service.set_delay(Duration::ZERO);
        }
        for engine in &self.servers.engines {
            engine.set_frozen(false);
        }
        for entry in 0..ENTRIES {
            self.pause_entry(entry, false);
            self.start_entry(entry);
        }
        for server in 0..self.servers.count() {
            self.pause_agent(server, false);
            self.start_agent(server);
        }
    }

    /// Checks the invariants that hold at any time.
    pub fn check(&self) -> Result<(), Violation> {
        self.ledger.check(&self.servers)?;
        for late in &self.late_work {
            if self.servers.started_on(late.server, &late.body) > 0 {
                let after_ms = late.after.as_millis() as u64;
                return Err(Violation::NewWorkWhileLeaving { server: late.server, after_ms });
            }
        }
        Ok(())
    }

    /// Removes all faults, waits for all requests to end and checks every invariant.
    pub async fn settle(&mut self) -> Result<(), Violation> {
        self.repair();
        let end = Instant::now() + SETTLE_TIME;
        sleep(QUIET_TIME).await;
        while Instant::now() < end && self.ledger.check_settled().is_err() {
            sleep(RESTART_TIME).await;
        }
        self.check()?;
        self.ledger.check_settled()?;
        let not_drained = |entry: &Entry| entry.leaving && !entry.is_drained();
        match self.entries.iter().position(not_drained) {
            Some(entry) => Err(Violation::LeaveNeverEnds { entry }),
            None => Ok(()),
        }
    }
}

/// The address of an agent.
pub fn address(server: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1 + server as u8], 7000))
}
