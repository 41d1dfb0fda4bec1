//! The configuration under random faults, and the same with a safeguard left out.

#![allow(clippy::print_stdout, reason = "figures of the run")]

use flamingowheel_proof::configuration::machine::ConfigDriver;
use flamingowheel_proof::fuzz::{hold_promises, steps_until_found};
use flamingowheel_proof::plant::Plant;

const CASES: u32 = 100;
const SEED: u64 = 20261202;
const MAX_STEPS_TO_FIND: usize = 10_000;

#[test]
fn fuzz_configuration_holds_promises() {
    hold_promises::<ConfigDriver>(CASES, SEED);
}

// A process that was cut off comes back with what it had, and another takes that for the newest:
// what an operator was told is accepted is gone again.
#[test]
fn fuzz_finds_older_peer_taken() {
    let (steps, violation) =
        steps_until_found::<ConfigDriver>(Plant::OlderPeerTaken, MAX_STEPS_TO_FIND, SEED)
            .expect("planted fault not found");
    println!("OlderPeerTaken: found after {steps} steps: {violation}");
}
