//! Drives any kind of fleet with random steps, as a proptest state machine.

use crate::mutation::Mutation;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::error::Error;
use std::marker::PhantomData;
use tokio::runtime::Runtime;

/// Environment variable that overrides the number of cases of a run.
pub const CASES_VARIABLE: &str = "FLAMINGOWHEEL_FUZZ_CASES";
/// Environment variable that overrides the seed of a run.
pub const SEED_VARIABLE: &str = "FLAMINGOWHEEL_FUZZ_SEED";

/// Upper limit of the steps in a case.
pub const MAX_STEPS: usize = 60;

/// A fleet under test with its runtime and paused clock.
pub trait Driver: Sized {
    /// Reference machine that generates the steps.
    type Steps: ReferenceStateMachine;
    /// A violated invariant.
    type Violation: Error;

    /// Whether a mutation may show only after all faults are removed.
    const MUTATION_SHOWS_WHEN_SETTLED: bool = false;

    /// Starts a fleet, with a mutation if one is given.
    fn start(state: &State<Self>, mutation: Option<Mutation>) -> Self;

    /// Applies one step and checks the invariants.
    fn step(&mut self, step: &Step<Self>) -> Result<(), Self::Violation>;

    /// Removes all faults and checks the invariants that hold afterwards.
    fn settle(&mut self) -> Result<(), Self::Violation>;
}

/// State of a driver's reference machine.
pub type State<Of> = <<Of as Driver>::Steps as ReferenceStateMachine>::State;
/// Step of a driver's reference machine.
pub type Step<Of> = <<Of as Driver>::Steps as ReferenceStateMachine>::Transition;

/// Runs a driver under its reference machine.
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
            panic!("after all faults were removed: {violation}");
        }
    }
}

/// Runs random sequences of steps; panics with the steps that violate an invariant.
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

/// Counts the steps until a mutation is detected; `None` if it is not within `max_steps`.
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

/// Configuration of a run; the environment overrides cases and seed.
pub fn config(cases: u32, seed: u64) -> Config {
    let requested = from_environment(CASES_VARIABLE).and_then(|cases| u32::try_from(cases).ok());
    let cases = requested.unwrap_or(cases);
    let rng_seed = RngSeed::Fixed(seed_from_environment().unwrap_or(seed));
    Config { cases, rng_seed, failure_persistence: None, ..Config::default() }
}

/// The seed that the environment sets, if any.
pub fn seed_from_environment() -> Option<u64> {
    from_environment(SEED_VARIABLE)
}

fn from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// A single-threaded runtime whose paused clock advances only when all tasks are idle.
pub fn paused_runtime() -> Runtime {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O")
}
