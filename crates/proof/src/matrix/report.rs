//! Writes the matrix as a page.

use super::{Cell, Fault, Outcome, Step, cell};
use std::fmt::Write;

/// The command that writes the page.
const COMMAND: &str = "cargo run -p flamingowheel-proof --example faults > docs/FAULTS.md";

const HEAD: &str = "\
# Faults

Every fault at every step, and what callers are told. Each cell is run by `cargo test` with the
real code of entries and agents, on an in-memory network, fakes of the platform and a paused clock.
In every cell that is run, three things are checked besides: nobody is told \"not run\" of work that
ran, \"complete\" comes with the caller's own whole answer, and non-idempotent work runs at most once.

*broken* means that the connection ends visibly early, which tells as little as *unknown*. *sent
again* is what a resend under the same ticket or key is told, through another entry, after the fault
has ended. A resend that is told *not run* says nothing of the calls before it.
";

/// Steps that the matrix does not have yet.
const MISSING: &str = "\
## Not in the matrix yet

A configuration change, an address answer, a map switch and a model load have no cells here, and
no cell has two faults at once.
";

/// Numbers of cells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Cells that are run.
    pub run: usize,
    /// Cells that can't occur.
    pub cannot_occur: usize,
}

/// Counts the cells.
///
/// ```
/// let count = flamingowheel_proof::matrix::report::count();
/// assert_eq!(count.run + count.cannot_occur, 14 * 15);
/// ```
pub fn count() -> Count {
    let mut count = Count::default();
    for step in Step::ALL {
        for fault in Fault::ALL {
            match cell(step, fault) {
                Cell::Runs(_) => count.run += 1,
                Cell::CannotOccur(_) => count.cannot_occur += 1,
            }
        }
    }
    count
}

/// The page.
pub fn page() -> String {
    let Count { run, cannot_occur } = count();
    let total = run + cannot_occur;
    let mut page = format!("{HEAD}\nWritten by `{COMMAND}`, which runs every cell; don't edit.\n");
    // Writing to a string can't fail.
    let _ = writeln!(page, "\n{total} cells: {run} run, {cannot_occur} can't occur.");
    for step in Step::ALL {
        let _ = writeln!(page, "\n## {}\n", capitalised(step.words()));
        page.push_str("| fault | told | sent again |\n|---|---|---|\n");
        for fault in Fault::ALL {
            let _ = writeln!(page, "| {} | {} |", fault.words(), told(step, fault));
        }
    }
    page.push('\n');
    page.push_str(MISSING);
    page
}

fn told(step: Step, fault: Fault) -> String {
    match cell(step, fault) {
        Cell::CannotOccur(reason) => format!("can't occur: {reason} |"),
        Cell::Runs(seen) => {
            format!("{} | {}", words(seen.first), seen.again.map_or("", words))
        }
    }
}

fn words(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Complete => "complete",
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
        Outcome::Broken => "broken",
        Outcome::NoTicket => "no ticket to be had",
    }
}

fn capitalised(text: &str) -> String {
    let (first, rest) = text.split_at(1);
    first.to_uppercase() + rest
}
