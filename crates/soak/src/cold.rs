//! Checks that a cold backend server gets no more requests in any second than it may, summed over all
//! entries, whatever faults they have.

use crate::report::Violation;
use crate::signals::Observed;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a server is cold after its start, in seconds, as the configuration has it.
pub const COLD_S: f64 = 3.0;

/// Requests per second that a cold server tolerates.
pub const COLD_RATE_PER_S: f64 = 10.0;

/// Requests per second that it may get, relative to that.
pub const COLD_RATIO: f64 = 1.5;

/// Requests that it may get in a second in addition to that.
pub const COLD_SLACK: f64 = 5.0;

/// Time in which entries learn that a server has turned cold while it serves.
const TOLD_TIME: Duration = Duration::from_millis(700);

/// A time in which a backend server was cold.
#[derive(Clone, Debug)]
pub struct ColdSpan {
    /// Name of the server.
    pub server: String,
    /// When it turned cold.
    pub from: Instant,
    /// When it was warm.
    pub until: Instant,
}

impl Observed<'_> {
    /// Seconds in which a cold server got more requests than it may; the first of each span.
    pub fn check_cold(&self, spans: &[ColdSpan]) -> Vec<Violation> {
        spans.iter().filter_map(|span| self.over_cold(span)).collect()
    }

    fn over_cold(&self, span: &ColdSpan) -> Option<Violation> {
        let allowed = (COLD_RATE_PER_S * COLD_RATIO + COLD_SLACK) as usize;
        let counted: Vec<Instant> = self
            .arrivals
            .iter()
            .filter(|arrival| arrival.server == span.server)
            .map(|arrival| arrival.at)
            .filter(|at| (span.from + TOLD_TIME..span.until).contains(at))
            .collect();
        let in_second = |end: &Instant| {
            let is_in = |at: &&Instant| **at <= *end && *end - **at < Duration::from_secs(1);
            counted.iter().filter(is_in).count()
        };
        let requests = counted.iter().map(in_second).max()?;
        let server = span.server.clone();
        (requests > allowed).then_some(Violation::OverCold { server, requests, allowed })
    }
}
