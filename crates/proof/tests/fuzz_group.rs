//! Switches of a group's map under random faults, and detection of its mutation.

#![allow(clippy::print_stdout, reason = "figures of the run")]

use flamingowheel_proof::fuzz::{assert_invariants, steps_until_found};
use flamingowheel_proof::group::machine::GroupDriver;
use flamingowheel_proof::mutation::Mutation;

const CASES: u32 = 100;
const SEED: u64 = 20261202;
const MAX_STEPS_TO_FIND: usize = 10_000;

#[test]
fn fuzz_group_holds_invariants() {
    assert_invariants::<GroupDriver>(CASES, SEED);
}

// Checks that the oracle detects ranks that step with different maps: an order waits behind another
// until a newer coordinator leads, and is then written although it is stale.
#[test]
fn fuzz_finds_fence_at_receipt_only() {
    let (steps, violation) =
        steps_until_found::<GroupDriver>(Mutation::FenceAtReceiptOnly, MAX_STEPS_TO_FIND, SEED)
            .expect("mutation not detected");
    println!("FenceAtReceiptOnly: found after {steps} steps: {violation}");
}
