//! Counts the requests that an entry passed on and whose end its log does not tell.

use super::check::{Call, Seen};
use serde_json::Value;
use std::collections::HashSet;
use std::fmt;
use std::path::Path;

/// Log lines that tell the end of a request.
const END_MESSAGES: [&str; 5] =
    ["answered", "answer broken off", "refused", "request abandoned", "stream ended"];

/// Most requests that are named.
const MAX_NAMED: usize = 5;

/// Requests without a line on their end.
#[derive(Clone, Debug, Default)]
pub struct WithoutEnd {
    /// Requests that a server got and whose caller saw their end.
    pub read: usize,
    /// Those without a line on their end in the log of their entry.
    pub attempts: Vec<String>,
}

impl WithoutEnd {
    /// Compares what was seen with the log of each entry, in the order of the entries.
    pub fn read(seen: &Seen<'_>, logs: &[&Path]) -> std::io::Result<Self> {
        let ended: Vec<HashSet<String>> =
            logs.iter().map(|log| read_ends(log)).collect::<Result<_, _>>()?;
        let arrived: HashSet<&str> =
            seen.arrivals.iter().map(|arrival| arrival.attempt.as_str()).collect();
        let read = |call: &&Call| arrived.contains(call.attempt.as_str());
        let read: Vec<&Call> = seen.calls.iter().filter(read).collect();
        let without = read.iter().filter(|call| !ended[call.entry].contains(&call.attempt));
        let attempts = without.map(|call| call.attempt.clone()).collect();
        Ok(Self { read: read.len(), attempts })
    }
}

/// The attempts whose end a log tells. An entry that was never started has no log.
fn read_ends(log: &Path) -> std::io::Result<HashSet<String>> {
    if !log.exists() {
        return Ok(HashSet::new());
    }
    let text = std::fs::read_to_string(log)?;
    let ended = text.lines().filter_map(|line| {
        let line: Value = serde_json::from_str(line).ok()?;
        let is_end = END_MESSAGES.contains(&line["message"].as_str()?);
        is_end.then(|| line["request"].as_str().map(str::to_owned))?
    });
    Ok(ended.collect())
}

impl fmt::Display for WithoutEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} read have no end in the log", self.attempts.len(), self.read)?;
        let named = self.attempts.iter().take(MAX_NAMED);
        named.enumerate().try_for_each(|(number, attempt)| {
            write!(f, "{}{attempt}", if number == 0 { ": " } else { ", " })
        })
    }
}
