//! Switches of a group's map under random faults, and the same with a safeguard left out.

#![allow(clippy::print_stdout, reason = "figures of the run")]

use flamingowheel_proof::group::machine::{GroupSteps, MapSwitches, steps_until_found};
use flamingowheel_proof::machine::{MAX_STEPS, config};
use flamingowheel_proof::plant::Plant;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const CASES: u32 = 100;
const SEED: u64 = 20261202;
const MAX_STEPS_TO_FIND: usize = 10_000;

#[test]
fn fuzz_group_holds_promises() {
    let config = config(CASES, SEED);
    let strategy = GroupSteps::sequential_strategy(1..MAX_STEPS);
    let result = TestRunner::new(config.clone()).run(&strategy, |(state, steps, seen)| {
        MapSwitches::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}

// An order waits behind another until a newer coordinator is in charge, and is then written all the
// same: one rank steps with another map than the rest.
#[test]
fn fuzz_finds_fence_at_receipt_only() {
    let (steps, violation) = steps_until_found(Plant::FenceAtReceiptOnly, MAX_STEPS_TO_FIND, SEED)
        .expect("planted fault not found");
    println!("FenceAtReceiptOnly: found after {steps} steps: {violation}");
}
