//! Drives the world with random steps, as a proptest state machine.

use crate::entry::MODEL;
use crate::fuzz::{self, paused_runtime};
use crate::mutation::Mutation;
use crate::network::{Direction, MessageFault};
use crate::oracle::{Kind, Violation};
use crate::servers::{ENGINES, SERVERS, SERVICES};
use crate::world::{ENTRIES, World};
use bytes::Bytes;
use flamingowheel_backing::fake::LostAnswer;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Time that passes with every step.
const STEP_TIME: Duration = Duration::from_millis(1);
/// Delay of a slow key-value service; longer than its callers' timeout.
const KEY_VALUE_DELAY: Duration = Duration::from_secs(2);

/// One random step.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller asks for new work.
    Ask {
        /// Index of the entry.
        entry: usize,
        /// Kind of the work.
        kind: WorkKind,
        /// Timeout for the start of the answer.
        timeout_ms: u64,
    },
    /// A caller resends earlier work.
    Resend {
        /// Index of the entry.
        entry: usize,
        /// Index of the work, modulo the number of pieces of work.
        work: usize,
        /// Timeout for the start of the answer.
        timeout_ms: u64,
    },
    /// A caller voids a ticket.
    Void {
        /// Index of the entry.
        entry: usize,
        /// Index of the work, modulo the number of pieces of work.
        work: usize,
    },
    /// The key-value service is down for a while; meanwhile an order under a caller's key is sent
    /// and resent through the other entry.
    KeyInOutage {
        /// Index of the entry that gets the first request.
        entry: usize,
        /// Duration of the outage.
        ms: u64,
    },
    /// Time passes.
    Wait {
        /// Duration of the wait.
        ms: u64,
    },
    /// The next message in this direction gets a fault.
    Message(Direction, MessageFault),
    /// An event of a process or service.
    Event(FleetEvent),
}

/// Kind of new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A streamed completion with this number of tokens.
    Stream(u64),
    /// A completion that is not streamed, with this number of tokens.
    Json(u64),
    /// An idempotent service call.
    Status,
    /// A non-idempotent service call.
    Order,
    /// A non-idempotent service call under a ticket.
    OrderWithTicket,
    /// A non-idempotent service call under the caller's idempotency key.
    OrderWithKey,
}

/// An event of a process or service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetEvent {
    /// An agent process dies.
    KillAgent(usize),
    /// An agent process dies and another replaces it at once, as when its VM is replaced.
    ReplaceAgent(usize),
    /// An agent process starts unless one runs.
    StartAgent(usize),
    /// An agent process is paused without closing its connections.
    PauseAgent(usize),
    /// A paused agent process is resumed.
    ResumeAgent(usize),
    /// An agent begins to leave.
    Leave(usize),
    /// A VM is replaced at the same address: agent and backend server are new.
    ReplaceVm(usize),
    /// An entry process dies and another replaces it at once.
    ReplaceEntry(usize),
    /// An entry process dies and is not replaced yet.
    KillEntry(usize),
    /// An entry process starts unless one runs.
    StartEntry(usize),
    /// An entry begins to leave; another replaces it once its requests have ended.
    LeaveEntry(usize),
    /// Every connection breaks.
    CutConnections,
    /// Every open connection goes silent permanently.
    SilenceConnections,
    /// A service process dies after it executes its next call.
    CrashService(usize),
    /// A service refuses connections or accepts them again.
    ServiceDown(usize, bool),
    /// A service takes this time for a call, in milliseconds.
    ServiceSlow(usize, u64),
    /// An engine process dies and restarts by itself.
    CrashEngine(usize),
    /// An engine goes silent or responds again.
    FreezeEngine(usize, bool),
    /// The key-value service goes down or comes back.
    KeyValueDown(bool),
    /// The key-value service becomes slow or fast again.
    KeyValueSlow(bool),
    /// The next answer of the key-value service is lost; whether after the call took effect.
    KeyValueAnswerLost(bool),
}

/// The reference machine; it has no state, as every step is possible at any time.
#[derive(Clone, Debug)]
pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Step> {
        let timeout_ms = prop_oneof![Just(500), Just(2_000), Just(8_000)];
        prop_oneof![
            8 => (0..ENTRIES, work_kind(), timeout_ms.clone())
                .prop_map(|(entry, kind, timeout_ms)| Step::Ask { entry, kind, timeout_ms }),
            4 => (0..ENTRIES, 0..64usize, timeout_ms)
                .prop_map(|(entry, work, timeout_ms)| Step::Resend { entry, work, timeout_ms }),
            1 => (0..ENTRIES, 0..64usize).prop_map(|(entry, work)| Step::Void { entry, work }),
            6 => prop_oneof![1..60u64, 100..900u64, 1_000..6_000u64]
                .prop_map(|ms| Step::Wait { ms }),
            1 => (0..ENTRIES, prop_oneof![50..900u64, 1_000..9_000u64])
                .prop_map(|(entry, ms)| Step::KeyInOutage { entry, ms }),
            4 => (direction(), message_fault())
                .prop_map(|(direction, fault)| Step::Message(direction, fault)),
            5 => fleet_event().prop_map(Step::Event),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

fn work_kind() -> impl Strategy<Value = WorkKind> {
    prop_oneof![
        2 => (1..80u64).prop_map(WorkKind::Stream),
        1 => (1..30u64).prop_map(WorkKind::Json),
        2 => Just(WorkKind::Status),
        2 => Just(WorkKind::Order),
        2 => Just(WorkKind::OrderWithTicket),
        2 => Just(WorkKind::OrderWithKey),
    ]
}

fn direction() -> impl Strategy<Value = Direction> {
    prop_oneof![3 => Just(Direction::ToAgent), 1 => Just(Direction::ToEntry)]
}

fn message_fault() -> impl Strategy<Value = MessageFault> {
    let delay = prop_oneof![5..200u64, 1_000..12_000u64].prop_map(Duration::from_millis);
    prop_oneof![
        1 => Just(MessageFault::Lost),
        2 => delay.clone().prop_map(MessageFault::Duplicated),
        2 => delay.prop_map(MessageFault::Delayed),
        1 => Just(MessageFault::Reordered),
    ]
}

fn fleet_event() -> impl Strategy<Value = FleetEvent> {
    use FleetEvent::*;
    prop_oneof![
        2 => (0..SERVERS).prop_map(KillAgent),
        2 => (0..SERVERS).prop_map(ReplaceAgent),
        4 => (0..SERVERS).prop_map(StartAgent),
        1 => (0..SERVERS).prop_map(PauseAgent),
        2 => (0..SERVERS).prop_map(ResumeAgent),
        1 => (0..SERVERS).prop_map(Leave),
        1 => (0..SERVERS).prop_map(ReplaceVm),
        1 => (0..ENTRIES).prop_map(ReplaceEntry),
        1 => (0..ENTRIES).prop_map(KillEntry),
        2 => (0..ENTRIES).prop_map(StartEntry),
        1 => (0..ENTRIES).prop_map(LeaveEntry),
        1 => Just(CutConnections),
        1 => Just(SilenceConnections),
        2 => (0..SERVICES).prop_map(CrashService),
        1 => (0..SERVICES, any::<bool>()).prop_map(|(i, down)| ServiceDown(i, down)),
        1 => (0..SERVICES, prop_oneof![Just(0u64), Just(100), Just(4_000)])
            .prop_map(|(i, ms)| ServiceSlow(i, ms)),
        2 => (0..ENGINES).prop_map(CrashEngine),
        1 => (0..ENGINES, any::<bool>()).prop_map(|(i, frozen)| FreezeEngine(i, frozen)),
        1 => any::<bool>().prop_map(KeyValueDown),
        1 => any::<bool>().prop_map(KeyValueSlow),
        1 => any::<bool>().prop_map(KeyValueAnswerLost),
    ]
}

/// The world under test and the runtime with its paused clock.
pub struct Driver {
    runtime: Runtime,
    world: World,
    work_count: usize,
}

impl fuzz::Driver for Driver {
    type Steps = Steps;
    type Violation = Violation;

    const MUTATION_SHOWS_WHEN_SETTLED: bool = true;

    fn start(_state: &(), mutation: Option<Mutation>) -> Self {
        let runtime = paused_runtime();
        let world = runtime.block_on(World::start(mutation));
        Self { runtime, world, work_count: 0 }
    }

    fn step(&mut self, step: &Step) -> Result<(), Violation> {
        let Self { runtime, world, work_count } = self;
        runtime.block_on(async {
            world.replace_left_entries();
            apply_step(world, work_count, step).await;
            tokio::time::sleep(STEP_TIME).await;
        });
        self.world.check()
    }

    fn settle(&mut self) -> Result<(), Violation> {
        self.runtime.block_on(self.world.settle())
    }
}

async fn apply_step(world: &mut World, work_count: &mut usize, step: &Step) {
    match step {
        Step::Ask { entry, kind, timeout_ms } => {
            *work_count += 1;
            ask(world, *entry, *kind, *work_count, *timeout_ms).await;
        }
        Step::Resend { entry, work, timeout_ms } if !world.ledger.is_empty() => {
            world.resend(*entry, work % world.ledger.len(), *timeout_ms);
        }
        Step::Void { entry, work } if !world.ledger.is_empty() => {
            world.void(*entry, work % world.ledger.len(), 2_000);
        }
        Step::Resend { .. } | Step::Void { .. } => {}
        Step::KeyInOutage { entry, ms } => {
            *work_count += 1;
            key_in_outage(world, *entry, *work_count, Duration::from_millis(*ms)).await;
        }
        Step::Wait { ms } => tokio::time::sleep(Duration::from_millis(*ms)).await,
        Step::Message(direction, fault) => world.network.inject_fault(*direction, *fault),
        Step::Event(event) => apply_event(world, *event).await,
    }
}

/// Asks for work with a unique body.
async fn ask(world: &mut World, entry: usize, kind: WorkKind, number: usize, timeout_ms: u64) {
    let plain = || Bytes::from(format!("work {number}"));
    match kind {
        WorkKind::Stream(tokens) => {
            world.ask(entry, Kind::Chat, chat(number, tokens, true), timeout_ms);
        }
        WorkKind::Json(tokens) => {
            world.ask(entry, Kind::Chat, chat(number, tokens, false), timeout_ms);
        }
        WorkKind::Status => {
            world.ask(entry, Kind::Status, plain(), timeout_ms);
        }
        WorkKind::Order => {
            world.ask(entry, Kind::Order, plain(), timeout_ms);
        }
        WorkKind::OrderWithKey => {
            world.ask_with_key(entry, plain(), timeout_ms);
        }
        WorkKind::OrderWithTicket => {
            world.ask_with_ticket(entry, plain(), timeout_ms).await;
        }
    }
}

async fn key_in_outage(world: &mut World, entry: usize, number: usize, time: Duration) {
    let body = Bytes::from(format!("work {number}"));
    world.kv.set_down(true);
    let work = world.ask_with_key(entry, body, 8_000);
    tokio::time::sleep(time / 2).await;
    world.resend((entry + 1) % ENTRIES, work, 8_000);
    tokio::time::sleep(time / 2).await;
    world.kv.set_down(false);
}

fn chat(number: usize, tokens: u64, stream: bool) -> Bytes {
    let body = serde_json::json!({
        "model": MODEL, "max_tokens": tokens, "stream": stream, "prompt": format!("work {number}"),
    });
    Bytes::from(body.to_string())
}

async fn apply_event(world: &mut World, event: FleetEvent) {
    match event {
        FleetEvent::KillAgent(server) => world.kill_agent(server),
        FleetEvent::ReplaceAgent(server) => {
            world.kill_agent(server);
            world.start_agent(server);
        }
        FleetEvent::StartAgent(server) => world.start_agent(server),
        FleetEvent::PauseAgent(server) => world.pause_agent(server, true),
        FleetEvent::ResumeAgent(server) => world.pause_agent(server, false),
        FleetEvent::Leave(server) => world.leave(server).await,
        FleetEvent::ReplaceVm(server) => world.replace_vm(server).await,
        FleetEvent::KillEntry(entry) => world.kill_entry(entry),
        FleetEvent::StartEntry(entry) => world.start_entry(entry),
        FleetEvent::LeaveEntry(entry) => world.leave_entry(entry),
        FleetEvent::ReplaceEntry(entry) => world.replace_entry(entry),
        FleetEvent::CutConnections => world.network.cut_all(),
        FleetEvent::SilenceConnections => world.network.silence_all(),
        FleetEvent::CrashService(service) => world.servers.services[service].crash_after_effect(1),
        FleetEvent::ServiceDown(service, down) => world.servers.services[service].set_down(down),
        FleetEvent::ServiceSlow(service, ms) => {
            world.servers.services[service].set_delay(Duration::from_millis(ms));
        }
        FleetEvent::CrashEngine(engine) => world.servers.engines[engine].crash(),
        FleetEvent::FreezeEngine(engine, frozen) => {
            world.servers.engines[engine].set_frozen(frozen)
        }
        FleetEvent::KeyValueDown(down) => world.kv.set_down(down),
        FleetEvent::KeyValueSlow(true) => world.kv.set_delay(KEY_VALUE_DELAY),
        FleetEvent::KeyValueSlow(false) => world.kv.set_delay(Duration::ZERO),
        FleetEvent::KeyValueAnswerLost(true) => world.kv.lose_answers(1, LostAnswer::AfterEffect),
        FleetEvent::KeyValueAnswerLost(false) => world.kv.lose_answers(1, LostAnswer::BeforeEffect),
    }
}
