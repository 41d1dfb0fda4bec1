//! The configuration under random faults, and the same with a safeguard left out.

#![allow(clippy::print_stdout, reason = "figures of the run")]

use flamingowheel_proof::configuration::machine::{
    ConfigSteps, ConfigurationPath, steps_until_found,
};
use flamingowheel_proof::machine::{MAX_STEPS, config};
use flamingowheel_proof::plant::Plant;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 100;
const SEED: u64 = 20261202;
const MAX_STEPS_TO_FIND: usize = 10_000;

#[test]
fn fuzz_configuration_holds_promises() {
    let config = config(CASES, SEED);
    let strategy = ConfigSteps::sequential_strategy(1..MAX_STEPS);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        ConfigurationPath::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}

// A process that was cut off comes back with what it had, and another takes that for the newest:
// what an operator was told is accepted is gone again.
#[test]
fn fuzz_finds_older_peer_taken() {
    let (steps, violation) = steps_until_found(Plant::OlderPeerTaken, MAX_STEPS_TO_FIND, SEED)
        .expect("planted fault not found");
    println!("OlderPeerTaken: found after {steps} steps: {violation}");
}
