//! The expected outcomes of each cell.

use super::run::Observed;
use super::{Fault, Outcome, Step};

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cell {
    /// The cell is run and callers get exactly these outcomes. The oracle checks besides that the
    /// outcomes are true and that non-idempotent work runs at most once.
    Runs(Observed),
    /// The fault can't occur at this step, for this reason.
    CannotOccur(&'static str),
    /// The fault can occur, but no run covers it yet.
    NotYet,
}

/// Outcomes by step, in the order of [`Fault::ALL`]: first of the call that the fault hits, then of
/// its resend. C complete, N not run, U unknown, B broken, T no ticket issued, - no resend, x can't
/// occur, o not run yet.
const EXPECTED_OUTCOMES: [(Step, &str); 22] = [
    (Step::ChatDispatched, "B- C- U- C- C- C- C- C- C- C- C- C- C- C- C- xx xx"),
    (Step::ChatStreaming, "B- C- B- B- C- C- C- C- C- C- C- C- B- B- C- xx xx"),
    (Step::ChatEnding, "B- C- B- B- C- C- C- C- C- C- C- C- B- B- C- xx xx"),
    (Step::StatusRunning, "B- C- U- C- C- C- C- C- C- C- C- C- C- C- C- xx xx"),
    (Step::TicketIssued, "T- CC UC UC xx xx xx xx NC CC CC CC CC UU CC xx xx"),
    (Step::TicketDispatched, "BC UU UC UC NC NC CC NC CC CC CC CC UU UU UU xx xx"),
    (Step::TicketRunning, "BC UU UC UC CC CC CC CC CC CC CC CC UU UU UU xx xx"),
    (Step::TicketCarriedOut, "BC UU UC UC CC CC CC CC CC CC CC CC UU UU UU xx xx"),
    (Step::TicketSentAgain, "C- U- C- U- C- C- C- C- C- C- C- C- C- C- U- xx xx"),
    (Step::TicketVoided, "U- U- U- U- N- N- N- N- N- N- N- N- N- N- U- xx xx"),
    (Step::KeyBound, "NC CC NC UC CC CC CC CC CC NC NC NC CC UU CC xx xx"),
    (Step::KeyCarriedOut, "BC UU UC UC CC CC CC CC CC CC CC CC UU UU UU xx xx"),
    (Step::KeySentAgain, "C- U- C- U- C- C- C- C- C- N- N- C- C- C- U- xx xx"),
    (Step::AgentLeaving, "B- C- B- B- C- C- C- C- C- C- C- C- B- B- C- xx xx"),
    (Step::AddressAsked, "BC CC CC CC xx xx xx xx CC CC CC CC CC CC CC xx xx"),
    (Step::ConfigurationWritten, "B- xx C- xx C- C- xx N- C- N- N- C- xx xx xx xx xx"),
    (Step::ConfigurationPropagating, "C- xx C- xx C- C- C- C- C- C- C- C- xx xx xx xx xx"),
    (Step::MapStaged, "xx N- xx N- C- C- C- C- N- N- C- C- N- N- N- N- N-"),
    (Step::MapHeld, "xx N- xx N- C- C- C- C- N- N- C- C- N- N- N- N- N-"),
    (Step::MapSwitched, "xx C- xx C- C- C- C- C- C- C- C- C- C- C- C- C- C-"),
    (Step::ModelLoaded, "xx UC xx UC UC UC CC CC UC CC CC CC UC UC UC BC CC"),
    (Step::ModelLoadedUnfenced, "xx UC xx UC UC UC CC CC UC CC CC CC UC UC UC BC CC"),
];

/// Why a fault can't occur at a step.
fn reason_cannot_occur(step: Step, fault: Fault) -> &'static str {
    match (step, fault) {
        (_, Fault::CoordinatorKilled | Fault::CoordinatorPaused) => {
            "no group's coordinator takes part"
        }
        (Step::TicketIssued | Step::AddressAsked, _) => {
            "the entry answers by itself; no message is sent"
        }
        (Step::ConfigurationWritten, Fault::MessageDuplicated) => {
            "the write is one call over TCP; only its sender repeats it, after a lost answer"
        }
        (Step::ConfigurationWritten | Step::ConfigurationPropagating, _) => {
            "no agent or backend server takes part"
        }
        (
            Step::MapStaged
            | Step::MapHeld
            | Step::MapSwitched
            | Step::ModelLoaded
            | Step::ModelLoadedUnfenced,
            _,
        ) => "no entry takes part",
        _ => "the fault strikes nothing that takes part",
    }
}

/// Looks up what is expected when a fault occurs at a step.
///
/// ```
/// use flamingowheel_proof::matrix::{Cell, Fault, Outcome, Step, cell};
/// let Cell::Runs(observed) = cell(Step::ChatStreaming, Fault::AgentKilled) else { panic!() };
/// assert_eq!(observed.first, Outcome::Complete);
/// ```
pub fn cell(step: Step, fault: Fault) -> Cell {
    let row = EXPECTED_OUTCOMES.iter().find(|(of, _)| *of == step).map_or("", |(_, row)| row);
    let column = Fault::ALL.iter().position(|of| *of == fault).unwrap_or(usize::MAX);
    let mut letters = row.split(' ').nth(column).unwrap_or("xx").chars();
    let (first, resend) = (letters.next().unwrap_or('x'), letters.next().unwrap_or('x'));
    match outcome(first) {
        Some(first) => Cell::Runs(Observed { first, resend: outcome(resend) }),
        None if first == 'o' => Cell::NotYet,
        None => Cell::CannotOccur(reason_cannot_occur(step, fault)),
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
