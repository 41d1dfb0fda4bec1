//! Drives the configuration with random steps, as a proptest state machine.

use super::fleet::{Fleet, PROCESSES};
use super::oracle::ConfigViolation;
use crate::fuzz::{Driver, paused_runtime};
use crate::mutation::Mutation;
use flamingowheel_backing::fake::LostAnswer;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Delay of a slow key-value service.
const KEY_VALUE_DELAY: Duration = Duration::from_millis(800);
/// Interval of the invariant checks within a step.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// One random step.
#[derive(Clone, Debug)]
pub enum ConfigStep {
    /// An operator changes the configuration through a process.
    Change(usize),
    /// A process dies.
    Kill(usize),
    /// A process starts unless it runs.
    Start(usize),
    /// A process is partitioned from the others, or reconnected.
    Cut(usize, bool),
    /// The key-value service goes down or comes back.
    KeyValueDown(bool),
    /// The key-value service becomes slow or fast again.
    KeyValueSlow(bool),
    /// The next answers of the key-value service are lost: how many, and whether after the calls
    /// took effect.
    AnswersLost(usize, bool),
    /// The next events of the watches are dropped.
    WatchEventsDropped(usize),
    /// All open watches go silent permanently.
    WatchesSilent,
    /// Time passes, in milliseconds.
    Wait(u64),
}

/// The reference machine; it has no state, as every step is possible at any time.
#[derive(Clone, Debug)]
pub struct ConfigSteps;

impl ReferenceStateMachine for ConfigSteps {
    type State = ();
    type Transition = ConfigStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<ConfigStep> {
        use ConfigStep::*;
        let process = 0..PROCESSES;
        prop_oneof![
            6 => process.clone().prop_map(Change),
            2 => process.clone().prop_map(Kill),
            4 => process.clone().prop_map(Start),
            3 => (process, any::<bool>()).prop_map(|(process, cut)| Cut(process, cut)),
            2 => any::<bool>().prop_map(KeyValueDown),
            1 => any::<bool>().prop_map(KeyValueSlow),
            2 => (1..4usize, any::<bool>()).prop_map(|(count, after)| AnswersLost(count, after)),
            1 => (1..4usize).prop_map(WatchEventsDropped),
            1 => Just(WatchesSilent),
            6 => prop_oneof![1..100u64, 500..3_000u64, 5_000..15_000u64].prop_map(Wait),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &ConfigStep) {}
}

/// The fleet under test and the runtime with its paused clock.
pub struct ConfigDriver {
    runtime: Runtime,
    fleet: Fleet,
}

impl Driver for ConfigDriver {
    type Steps = ConfigSteps;
    type Violation = ConfigViolation;

    fn start(_state: &(), mutation: Option<Mutation>) -> Self {
        let runtime = paused_runtime();
        let fleet = runtime.block_on(Fleet::start(mutation));
        Self { runtime, fleet }
    }

    /// Checks the invariants repeatedly while time passes.
    fn step(&mut self, step: &ConfigStep) -> Result<(), ConfigViolation> {
        let _guard = self.runtime.enter();
        apply_step(&mut self.fleet, step);
        let mut remaining = match step {
            ConfigStep::Wait(ms) => Duration::from_millis(*ms),
            _ => Duration::from_millis(1),
        };
        while !remaining.is_zero() {
            let time = remaining.min(CHECK_INTERVAL);
            remaining -= time;
            self.runtime.block_on(async { tokio::time::sleep(time).await });
            self.fleet.check()?;
        }
        Ok(())
    }

    fn settle(&mut self) -> Result<(), ConfigViolation> {
        self.runtime.block_on(self.fleet.settle())
    }
}

fn apply_step(fleet: &mut Fleet, step: &ConfigStep) {
    match *step {
        ConfigStep::Change(process) => {
            fleet.change(process);
        }
        ConfigStep::Kill(process) => fleet.kill(process),
        ConfigStep::Start(process) => fleet.start_process(process),
        ConfigStep::Cut(process, cut) => fleet.cut(process, cut),
        ConfigStep::KeyValueDown(down) => fleet.kv.set_down(down),
        ConfigStep::KeyValueSlow(true) => fleet.kv.set_delay(KEY_VALUE_DELAY),
        ConfigStep::KeyValueSlow(false) => fleet.kv.set_delay(Duration::ZERO),
        ConfigStep::AnswersLost(count, true) => {
            fleet.kv.lose_answers(count, LostAnswer::AfterEffect);
        }
        ConfigStep::AnswersLost(count, false) => {
            fleet.kv.lose_answers(count, LostAnswer::BeforeEffect);
        }
        ConfigStep::WatchEventsDropped(count) => fleet.kv.drop_watch_events(count),
        ConfigStep::WatchesSilent => fleet.kv.silence_watches(),
        ConfigStep::Wait(_) => {}
    }
}
