//! Counts of a run with planned work only.

use super::check::{Seen, Verdict};
use super::logs::WithoutEnd;
use crate::report::Violation;
use std::collections::HashMap;
use std::fmt;

/// Counts and violations.
#[derive(Clone, Debug, Default)]
pub struct PlannedTally {
    /// Requests by what became of them.
    pub verdicts: HashMap<Verdict, usize>,
    /// The same, of those in progress during the stop of their entry.
    pub around_stops: HashMap<Verdict, usize>,
    /// Stops.
    pub stops: usize,
    /// Requests that servers got, without a line on their end in the entry's log.
    pub without_end: WithoutEnd,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

impl PlannedTally {
    /// Judges what was seen.
    pub fn of(seen: &Seen<'_>, without_end: WithoutEnd) -> Self {
        let verdicts = seen.verdicts();
        let mut violations = seen.violations(&verdicts);
        let count = without_end.attempts.len();
        violations.extend((count > 0).then_some(Violation::WithoutEnd { count }));
        let mut tally =
            Self { stops: seen.stops.len(), without_end, violations, ..Self::default() };
        for (call, verdict) in seen.calls.iter().zip(verdicts) {
            *tally.verdicts.entry(verdict).or_default() += 1;
            if seen.is_around_stop(call) {
                *tally.around_stops.entry(verdict).or_default() += 1;
            }
        }
        tally
    }
}

/// Counts of requests that an entry has read.
fn write_counts(f: &mut fmt::Formatter<'_>, counts: &HashMap<Verdict, usize>) -> fmt::Result {
    let count = |verdict| counts.get(&verdict).copied().unwrap_or(0);
    let read = counts.values().sum::<usize>() - count(Verdict::Unread);
    write!(
        f,
        "{read} checked, {} whole, {} refused, {} out of time, {} still at work, {} cut",
        count(Verdict::Whole),
        count(Verdict::Refused),
        count(Verdict::OutOfTime),
        count(Verdict::StillAtWork),
        count(Verdict::Cut),
    )
}

impl fmt::Display for PlannedTally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} stops; around them ", self.stops)?;
        write_counts(f, &self.around_stops)?;
        write!(f, "; all ")?;
        write_counts(f, &self.verdicts)?;
        write!(f, "; {}; {} violations", self.without_end, self.violations.len())?;
        self.violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}
