//! Renders the matrix as a Markdown page.

use super::{Cell, Fault, Outcome, Step, cell};
use std::fmt::Write;

/// The command that writes the page.
const COMMAND: &str = "cargo run -p flamingowheel-proof --example faults > docs/FAULTS.md";

const HEAD: &str = "\
# Faults

Every fault at every step, and what callers are told. Each cell is run by `cargo test` with the
real code, on an in-memory network, fakes of the platform and a paused clock. In every cell of a
request that is run, three things are checked besides: nobody is told \"not run\" of work that
ran, \"complete\" comes with the caller's own whole answer, and non-idempotent work runs at most once.

For a configuration change the page says what the operator is told; in every cell what was accepted
is in force everywhere within 11 s after the fault's end, and no process goes back. For a map switch
it says which map the group ends with; in every cell no step is run with two maps, and the group
steps again or names the rank that it waits for.

For a model load the first column says what the coordinating process is told of its order to serve
another version, the second what its successor is told, which orders a third one; in every cell the
engine serves that one in the end and nothing that was ordered earlier takes its place.

*broken* means that the connection ends visibly early, which tells as little as *unknown*. *sent
again* is what a resend under the same ticket or key is told, through another entry, after the fault
has ended. A resend that is told *not run* says nothing of the calls before it.

`FLAMINGOWHEEL_FUZZ_SEED=N` gives the fleet another key, with which requests go to other backend
servers; what is promised stays the same. Unset, as in CI, the key is always the same.
";

/// Number of cells by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Cells that are run.
    pub run: usize,
    /// Cells that can't occur.
    pub cannot_occur: usize,
    /// Cells that are not run yet.
    pub not_yet: usize,
}

/// Counts the cells.
///
/// ```
/// let count = flamingowheel_proof::matrix::report::count();
/// assert_eq!(count.run + count.cannot_occur + count.not_yet, 22 * 17);
/// ```
pub fn count() -> Count {
    let mut count = Count::default();
    for step in Step::ALL {
        for fault in Fault::ALL {
            match cell(step, fault) {
                Cell::Runs(_) => count.run += 1,
                Cell::CannotOccur(_) => count.cannot_occur += 1,
                Cell::NotYet => count.not_yet += 1,
            }
        }
    }
    count
}

/// Renders the page; a test compares it with docs/FAULTS.md.
pub fn page() -> String {
    let Count { run, cannot_occur, not_yet } = count();
    let total = run + cannot_occur + not_yet;
    let mut page = format!("{HEAD}\nWritten by `{COMMAND}`,\nwhich runs every cell; don't edit.\n");
    // Writing to a string can't fail.
    let _ = writeln!(
        page,
        "\n{total} cells: {run} run, {cannot_occur} can't occur, {not_yet} not run yet."
    );
    let pairs: usize = Step::ALL.iter().map(|step| Fault::pairs(*step).len()).sum();
    let _ = writeln!(page, "\nTwo faults, 100 ms apart: at every step all ordered pairs of faults");
    let _ = writeln!(page, "that can strike there, {pairs} in all; there only what holds in every");
    let _ =
        writeln!(page, "cell is checked. The command runs them all; `cargo test` runs every two");
    let _ = writeln!(page, "faults in one of the two orders.");
    for step in Step::ALL {
        let _ = writeln!(page, "\n## {}\n", capitalised(step.description()));
        page.push_str("| fault | told | sent again |\n|---|---|---|\n");
        for fault in Fault::ALL {
            let _ = writeln!(page, "| {} | {} |", fault.description(), outcome_cells(step, fault));
        }
    }
    page
}

fn outcome_cells(step: Step, fault: Fault) -> String {
    match cell(step, fault) {
        Cell::CannotOccur(reason) => format!("can't occur: {reason} |"),
        Cell::NotYet => "not run yet |".to_owned(),
        Cell::Runs(observed) => {
            let text = |outcome| outcome_text(step, outcome);
            format!("{} | {}", text(observed.first), observed.resend.map_or("", text))
        }
    }
}

fn outcome_text(step: Step, outcome: Outcome) -> &'static str {
    let configuration = matches!(step, Step::ConfigurationWritten | Step::ConfigurationPropagating);
    let load = matches!(step, Step::ModelLoaded | Step::ModelLoadedUnfenced);
    let map = matches!(step, Step::MapStaged | Step::MapHeld | Step::MapSwitched);
    match outcome {
        Outcome::Complete if configuration => "accepted",
        Outcome::NotRun if configuration => "not accepted",
        Outcome::Complete if map => "switched",
        Outcome::NotRun if map => "the old map stays",
        Outcome::Complete if load => "served",
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
