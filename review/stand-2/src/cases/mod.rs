//! The cases.

mod group;
mod mixed;
mod recover;
mod reuse;

use crate::Verdict;
use crate::record::Record;
use std::path::Path;

/// Plays a case by its name.
pub fn play(case: &str, temporary: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let played = match case {
        "mixed" => mixed::play(temporary, record, has_trouble),
        "reuse" => reuse::play(temporary, record, has_trouble),
        "recover" => recover::play(temporary, record, has_trouble),
        _ => return Verdict::NotRun(format!("no case {case}")),
    };
    played.unwrap_or_else(|error| Verdict::NotRun(error.to_string()))
}
