//! Requests under random faults, and detection of their mutations.

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
        .expect("mutation not detected");
    println!("{mutation:?}: found after {steps} steps: {violation}");
}

// The mutated agent answers "not run" for a dispatch in flight, and runs it when it arrives.
#[test]
fn fuzz_finds_tombstone_skipped() {
    assert_found(Mutation::TombstoneSkipped);
}

// Work under a ticket, or a delayed duplicate of a dispatch, reaches the agent's replacement, which
// has no record of it and runs it again.
#[test]
fn fuzz_finds_incarnation_ignored() {
    assert_found(Mutation::IncarnationIgnored);
}

// Non-idempotent work whose answer was lost is retried and runs twice.
#[test]
fn fuzz_finds_non_idempotent_retried() {
    assert_found(Mutation::NonIdempotentRetried);
}

// A truncated stream is reported to the caller as complete.
#[test]
fn fuzz_finds_truncated_stream_accepted() {
    assert_found(Mutation::TruncatedStreamAccepted);
}
