//! Drives a fleet at random with proptest's state machine; the same for every kind of fleet.

use crate::mutation::Mutation;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::error::Error;
use std::marker::PhantomData;
use tokio::runtime::Runtime;

/// Cases of one run, unless the environment says otherwise.
pub const CASES_VARIABLE: &str = "FLAMINGOWHEEL_FUZZ_CASES";
/// Seed of a run, unless the environment says otherwise.
pub const SEED_VARIABLE: &str = "FLAMINGOWHEEL_FUZZ_SEED";

/// Longest sequence of steps in a case.
pub const MAX_STEPS: usize = 60;

/// A fleet with the runtime whose clock it lives by.
pub trait Driver: Sized {
    /// What can be done to the fleet.
    type Steps: ReferenceStateMachine;
    /// A promise that was broken.
    type Violation: Error;

    /// Whether a planted fault may show only after everything was mended.
    const MUTATION_SHOWS_WHEN_SETTLED: bool = false;

    /// Starts a fleet whose processes lack the given safeguard.
    fn start(state: &State<Self>, mutation: Option<Mutation>) -> Self;

    /// Does one step and checks every promise.
    fn step(&mut self, step: &Step<Self>) -> Result<(), Self::Violation>;

    /// Mends everything and checks what must then hold.
    fn settle(&mut self) -> Result<(), Self::Violation>;
}

/// What a driver's reference machine starts from.
pub type State<Of> = <<Of as Driver>::Steps as ReferenceStateMachine>::State;
/// A step of a driver.
pub type Step<Of> = <<Of as Driver>::Steps as ReferenceStateMachine>::Transition;

/// A driver under its reference machine.
struct Checked<Of>(PhantomData<Of>);

impl<Of> StateMachineTest for Checked<Of>
where
    Of: Driver,
{
    type SystemUnderTest = Of;
    type Reference = Of::Steps;

    fn init_test(state: &State<Of>) -> Of {
        Of::start(state, None)
    }

    fn apply(mut driver: Of, _state: &State<Of>, step: Step<Of>) -> Of {
        if let Err(violation) = driver.step(&step) {
            panic!("after {step:?}: {violation}");
        }
        driver
    }

    fn teardown(mut driver: Of, _state: State<Of>) {
        if let Err(violation) = driver.settle() {
            panic!("after everything was mended: {violation}");
        }
    }
}

/// Runs random sequences of steps; panics with the steps where a promise is broken.
pub fn assert_invariants<Of>(cases: u32, seed: u64)
where
    Of: Driver,
{
    let config = config(cases, seed);
    let strategy = Of::Steps::sequential_strategy(1..MAX_STEPS);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        Checked::<Of>::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}

/// Steps until a planted fault is found; `None` if it was not within `max_steps`.
pub fn steps_until_found<Of>(
    mutation: Mutation,
    max_steps: usize,
    seed: u64,
) -> Option<(usize, Of::Violation)>
where
    Of: Driver,
{
    let mut runner = TestRunner::new(config(1, seed));
    let mut done = 0;
    while done < max_steps {
        let strategy = Of::Steps::sequential_strategy(1..MAX_STEPS);
        let (state, steps, _) = strategy.new_tree(&mut runner).ok()?.current();
        let mut driver = Of::start(&state, Some(mutation));
        for step in &steps {
            done += 1;
            if let Err(violation) = driver.step(step) {
                return Some((done, violation));
            }
        }
        if Of::MUTATION_SHOWS_WHEN_SETTLED
            && let Err(violation) = driver.settle()
        {
            return Some((done, violation));
        }
    }
    None
}

/// Cases and seed of a run, from the environment or as given.
pub fn config(cases: u32, seed: u64) -> Config {
    let asked = from_environment(CASES_VARIABLE).and_then(|cases| u32::try_from(cases).ok());
    let cases = asked.unwrap_or(cases);
    let rng_seed = RngSeed::Fixed(seed_from_environment().unwrap_or(seed));
    Config { cases, rng_seed, failure_persistence: None, ..Config::default() }
}

/// The seed that the environment asks for.
pub fn seed_from_environment() -> Option<u64> {
    from_environment(SEED_VARIABLE)
}

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// A runtime in one thread whose clock goes on only when nothing else is left to do.
pub fn paused_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O")
}
