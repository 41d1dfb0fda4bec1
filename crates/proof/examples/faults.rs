//! Runs every cell and every pair of faults of the fault matrix, and prints the matrix as a page.

#![allow(clippy::print_stdout, clippy::print_stderr, reason = "the page is the output")]

use flamingowheel_proof::matrix::{Fault, Step, report, run};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Threads that run cells; each runs the cells of the next step that no other has begun.
const THREADS: usize = 4;

fn main() -> ExitCode {
    let next = AtomicUsize::new(0);
    let work = || {
        let steps = std::iter::from_fn(|| Step::ALL.get(next.fetch_add(1, Ordering::Relaxed)));
        steps.map(|step| failures(*step)).sum::<usize>()
    };
    let failed: usize = thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        workers.into_iter().map(|worker| worker.join().unwrap_or(1)).sum()
    });
    if failed > 0 {
        eprintln!("{failed} cells failed; no page written");
        return ExitCode::FAILURE;
    }
    print!("{}", report::page());
    ExitCode::SUCCESS
}

/// Runs all cells and pairs of a step, prints each failure and returns their number.
fn failures(step: Step) -> usize {
    let cells = Fault::ALL.into_iter();
    let cells = cells.filter_map(|fault| Some(run::check(step, fault).err()?.to_string()));
    let pairs = Fault::pairs(step).into_iter().filter_map(|(first, second)| {
        let failure = run::check_pair(step, first, second).err()?;
        Some(format!("{step:?}, {first:?} and {second:?}: {failure}"))
    });
    cells.chain(pairs).inspect(|failure| eprintln!("{failure}")).count()
}
