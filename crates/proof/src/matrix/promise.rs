//! What is promised in each cell.

use super::run::Seen;
use super::{Fault, Outcome, Step};

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cell {
    /// It is run, and callers are told exactly this. Besides, the oracle holds: what is told is
    /// true, and non-idempotent work runs at most once.
    Runs(Seen),
    /// The fault can't strike at this step, for this reason.
    CannotOccur(&'static str),
}

/// Why no message can be hit while a ticket is taken.
const NO_MESSAGE: &str = "the entry mints a ticket by itself; no message is sent";

/// What callers are told, by step and in the order of [`Fault::ALL`]: first for the call that was
/// hit, then for its resend. C complete, N not run, U unknown, B broken, T no ticket to be had,
/// - no resend, x can't occur.
const PROMISES: [(Step, &str); 14] = [
    (Step::ChatDispatched, "B- C- B- B- C- C- C- C- C- C- C- C- B- B- C-"),
    (Step::ChatStreaming, "B- C- B- B- C- C- C- C- C- C- C- C- B- B- C-"),
    (Step::ChatEnding, "B- C- B- B- C- C- C- C- C- C- C- C- B- B- C-"),
    (Step::StatusRunning, "B- C- U- C- C- C- C- C- C- C- C- C- C- C- C-"),
    (Step::TicketTaken, "T- CC UC CC xx xx xx xx NC CC CC CC CC CC CC"),
    (Step::TicketDispatched, "BC UU UC UC NC NC CC NC CC CC CC CC UU UU UU"),
    (Step::TicketRunning, "BC UU UC UC CC CC CC CC CC CC CC CC UU UU UU"),
    (Step::TicketCarriedOut, "BC UU UC UC CC CC CC CC CC CC CC CC UU UU UU"),
    (Step::TicketSentAgain, "C- U- C- U- C- C- C- C- C- C- C- C- C- C- U-"),
    (Step::TicketVoided, "U- U- U- U- U- U- N- U- U- N- N- N- N- N- U-"),
    (Step::KeyBound, "NC CC NC UC NC NC CC NC NC NC NC NC CC UU CC"),
    (Step::KeyCarriedOut, "BC UU UC UC CC CC CC CC CC CC CC CC UU UU UU"),
    (Step::KeySentAgain, "C- U- C- U- C- C- C- C- C- N- N- C- C- C- U-"),
    (Step::LeaveTold, "B- C- B- B- C- C- C- C- C- C- C- C- B- B- C-"),
];

/// The cell of a step and a fault.
///
/// ```
/// use flamingowheel_proof::matrix::{Cell, Fault, Outcome, Step, cell};
/// let Cell::Runs(seen) = cell(Step::ChatStreaming, Fault::AgentKilled) else { panic!() };
/// assert_eq!(seen.first, Outcome::Complete);
/// ```
pub fn cell(step: Step, fault: Fault) -> Cell {
    let row = PROMISES.iter().find(|(of, _)| *of == step).map_or("", |(_, row)| row);
    let column = Fault::ALL.iter().position(|of| *of == fault).unwrap_or(usize::MAX);
    let mut letters = row.split(' ').nth(column).unwrap_or("xx").chars();
    let (first, again) = (letters.next().unwrap_or('x'), letters.next().unwrap_or('x'));
    match outcome(first) {
        Some(first) => Cell::Runs(Seen { first, again: outcome(again) }),
        None => Cell::CannotOccur(NO_MESSAGE),
    }
}

fn outcome(letter: char) -> Option<Outcome> {
    match letter {
        'C' => Some(Outcome::Complete),
        'N' => Some(Outcome::NotRun),
        'U' => Some(Outcome::Unknown),
        'B' => Some(Outcome::Broken),
        'T' => Some(Outcome::NoTicket),
        _ => None,
    }
}
