//! Requests under random faults, and the same with safeguards left out.

#![allow(clippy::print_stdout, reason = "figures of the run")]

use flamingowheel_proof::fuzz::{assert_invariants, steps_until_found};
use flamingowheel_proof::machine::Driver;
use flamingowheel_proof::mutation::Mutation;

const CASES: u32 = 100;
const SEED: u64 = 20261202;
const MAX_STEPS_TO_FIND: usize = 10_000;

#[test]
fn fuzz_requests_hold_invariants() {
    assert_invariants::<Driver>(CASES, SEED);
}

fn assert_found(mutation: Mutation) {
    let (steps, violation) = steps_until_found::<Driver>(mutation, MAX_STEPS_TO_FIND, SEED)
        .expect("planted fault not found");
    println!("{mutation:?}: found after {steps} steps: {violation}");
}

// An agent says "not run" of a dispatch that is still on its way, and runs it when it arrives.
#[test]
fn fuzz_finds_tombstone_skipped() {
    assert_found(Mutation::TombstoneSkipped);
}

// A ticket's work, or a late copy of a dispatch, reaches the next process at the same place, which
// has no record of it and runs it once more.
#[test]
fn fuzz_finds_incarnation_ignored() {
    assert_found(Mutation::IncarnationIgnored);
}

// A work order whose answer was lost is sent again.
#[test]
fn fuzz_finds_non_idempotent_retried() {
    assert_found(Mutation::NonIdempotentRetried);
}

// A stream breaks off and the caller takes what came for the whole answer.
#[test]
fn fuzz_finds_truncated_stream_accepted() {
    assert_found(Mutation::TruncatedStreamAccepted);
}
