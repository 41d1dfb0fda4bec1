//! Runs every cell of the fault matrix and writes the page about it.

#![allow(clippy::print_stdout, clippy::print_stderr, reason = "the page is the output")]

use flamingowheel_proof::matrix::{Fault, Step, report, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut failed = 0;
    for step in Step::ALL {
        for fault in Fault::ALL {
            if let Err(failure) = run::check(step, fault) {
                eprintln!("{failure}");
                failed += 1;
            }
        }
    }
    for step in report::PAIR_STEPS {
        for (first, second) in report::pairs() {
            if let Err(failure) = run::check_pair(step, first, second) {
                eprintln!("{step:?}, {first:?} and {second:?}: {failure}");
                failed += 1;
            }
        }
    }
    if failed > 0 {
        eprintln!("{failed} cells failed; no page written");
        return ExitCode::FAILURE;
    }
    print!("{}", report::page());
    ExitCode::SUCCESS
}
