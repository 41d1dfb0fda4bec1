//! Drives a group with random steps, as a proptest state machine.

use super::fleet::{COORDINATORS, CallFault, Fleet, GroupViolation, RANKS};
use crate::fuzz::{Driver, paused_runtime};
use crate::mutation::Mutation;
use flamingowheel_backing::fake::{LostAnswer, OrderFault};
use flamingowheel_group::gate::EngineKind;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Delay of a slow key-value service.
const KEY_VALUE_DELAY: Duration = Duration::from_millis(800);

/// Time that passes after a new map is set; about as long as a switch takes.
const SWITCH_TIME: Duration = Duration::from_millis(800);

/// One random step.
#[derive(Clone, Debug)]
pub enum GroupStep {
    /// The desired map changes.
    ChangeMap(u16),
    /// The desired map changes and the orders for it get these faults.
    ChangeMapWithFaults(u16, Vec<CallFault>),
    /// The next orders to ranks get these faults.
    CallFaults(Vec<CallFault>),
    /// The next order to an engine gets this fault.
    InjectOrderFault(usize, OrderFault),
    /// An agent process is replaced.
    ReplaceAgent(usize),
    /// An agent process is paused or resumed.
    PauseAgent(usize, bool),
    /// An engine process dies and restarts by itself.
    CrashEngine(usize),
    /// An engine goes silent or responds again.
    FreezeEngine(usize, bool),
    /// A coordinator is replaced.
    ReplaceCoordinator(usize),
    /// A coordinator is paused or resumed.
    PauseCoordinator(usize, bool),
    /// The lease expires while it is held.
    ExpireLease,
    /// The key-value service goes down or comes back.
    KeyValueDown(bool),
    /// The key-value service becomes slow or fast again.
    KeyValueSlow(bool),
    /// The next answer of the key-value service is lost; whether after the call took effect.
    AnswerLost(bool),
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// The reference machine; its state is the kind of engine, as every step is possible at any time.
#[derive(Clone, Debug)]
pub struct GroupSteps;

impl ReferenceStateMachine for GroupSteps {
    type State = EngineKind;
    type Transition = GroupStep;

    fn init_state() -> BoxedStrategy<EngineKind> {
        prop_oneof![Just(EngineKind::ChecksFence), Just(EngineKind::IgnoresFence)].boxed()
    }

    fn transitions(_state: &EngineKind) -> BoxedStrategy<GroupStep> {
        use GroupStep::*;
        let (rank, process) = (0..RANKS, 0..COORDINATORS);
        prop_oneof![
            4 => (1..6u16).prop_map(ChangeMap),
            8 => (1..6u16, proptest::collection::vec(call_fault(), 3..13))
                .prop_map(|(number, faults)| ChangeMapWithFaults(number, faults)),
            4 => proptest::collection::vec(call_fault(), 1..9).prop_map(CallFaults),
            2 => (rank.clone(), order_fault()).prop_map(|(rank, fault)| InjectOrderFault(rank, fault)),
            1 => rank.clone().prop_map(ReplaceAgent),
            1 => (rank.clone(), any::<bool>()).prop_map(|(rank, paused)| PauseAgent(rank, paused)),
            1 => rank.clone().prop_map(CrashEngine),
            1 => (rank, any::<bool>()).prop_map(|(rank, frozen)| FreezeEngine(rank, frozen)),
            1 => process.clone().prop_map(ReplaceCoordinator),
            1 => (process, any::<bool>()).prop_map(|(index, paused)| PauseCoordinator(index, paused)),
            4 => Just(ExpireLease),
            1 => any::<bool>().prop_map(KeyValueDown),
            1 => any::<bool>().prop_map(KeyValueSlow),
            1 => any::<bool>().prop_map(AnswerLost),
            12 => prop_oneof![1 => 1..60u64, 3 => 100..900u64, 1 => 1_000..5_000u64].prop_map(Wait),
        ]
        .boxed()
    }

    fn apply(state: EngineKind, _step: &GroupStep) -> EngineKind {
        state
    }
}

fn delay() -> impl Strategy<Value = Duration> + Clone {
    prop_oneof![
        1 => 1..300u64,
        6 => 300..3_000u64,
        1 => 3_000..60_000u64,
    ]
    .prop_map(Duration::from_millis)
}

fn call_fault() -> impl Strategy<Value = CallFault> {
    prop_oneof![
        3 => Just(CallFault::RequestLost),
        1 => Just(CallFault::AnswerLost),
        4 => delay().prop_map(CallFault::Duplicated),
        2 => delay().prop_map(CallFault::Delayed),
        1 => Just(CallFault::Reordered),
    ]
}

fn order_fault() -> impl Strategy<Value = OrderFault> {
    prop_oneof![
        Just(OrderFault::AnswerLost),
        Just(OrderFault::RequestLost),
        delay().prop_map(OrderFault::Delayed),
    ]
}

/// The group under test and the runtime with its paused clock.
pub struct GroupDriver {
    runtime: Runtime,
    fleet: Fleet,
}

/// Only a step with two maps counts as detecting a mutation.
impl Driver for GroupDriver {
    type Steps = GroupSteps;
    type Violation = GroupViolation;

    /// With a mutation the engines ignore fencing numbers, as they would mask it otherwise.
    fn start(kind: &EngineKind, mutation: Option<Mutation>) -> Self {
        let kind = mutation.map_or(*kind, |_| EngineKind::IgnoresFence);
        let runtime = paused_runtime();
        let fleet = runtime.block_on(Fleet::start(kind, mutation));
        Self { runtime, fleet }
    }

    fn step(&mut self, step: &GroupStep) -> Result<(), GroupViolation> {
        let _guard = self.runtime.enter();
        apply_step(&mut self.fleet, step);
        let time = match step {
            GroupStep::Wait(ms) => Duration::from_millis(*ms),
            GroupStep::ChangeMap(_) | GroupStep::ChangeMapWithFaults(..) => SWITCH_TIME,
            _ => Duration::from_millis(1),
        };
        self.runtime.block_on(async { tokio::time::sleep(time).await });
        self.fleet.check()
    }

    fn settle(&mut self) -> Result<(), GroupViolation> {
        self.runtime.block_on(self.fleet.settle())
    }
}

fn apply_step(fleet: &mut Fleet, step: &GroupStep) {
    match *step {
        GroupStep::ChangeMap(number) => fleet.set_desired_map(number),
        GroupStep::ChangeMapWithFaults(number, ref faults) => {
            fleet.set_desired_map(number);
            faults.iter().for_each(|fault| fleet.inject_fault(*fault));
        }
        GroupStep::CallFaults(ref faults) => {
            faults.iter().for_each(|fault| fleet.inject_fault(*fault))
        }
        GroupStep::InjectOrderFault(rank, fault) => fleet.engine(rank).inject_order_fault(fault),
        GroupStep::ReplaceAgent(rank) => fleet.replace_agent(rank),
        GroupStep::PauseAgent(rank, paused) => fleet.pause_agent(rank, paused),
        GroupStep::CrashEngine(rank) => fleet.engine(rank).crash(),
        GroupStep::FreezeEngine(rank, frozen) => fleet.engine(rank).set_frozen(frozen),
        GroupStep::ReplaceCoordinator(index) => fleet.replace_coordinator(index),
        GroupStep::PauseCoordinator(index, paused) => fleet.pause_coordinator(index, paused),
        GroupStep::ExpireLease => fleet.expire_leases(),
        GroupStep::KeyValueDown(down) => fleet.kv.set_down(down),
        GroupStep::KeyValueSlow(true) => fleet.kv.set_delay(KEY_VALUE_DELAY),
        GroupStep::KeyValueSlow(false) => fleet.kv.set_delay(Duration::ZERO),
        GroupStep::AnswerLost(true) => fleet.kv.lose_answers(1, LostAnswer::AfterEffect),
        GroupStep::AnswerLost(false) => fleet.kv.lose_answers(1, LostAnswer::BeforeEffect),
        GroupStep::Wait(_) => {}
    }
}
