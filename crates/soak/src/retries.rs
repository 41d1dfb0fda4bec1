//! The check that a service gets no more retries than the deployment allows, however its entries end
//! and start.

use crate::report::Violation;
use crate::signals::Observed;
use flamingowheel_standin::platform::messages::{RETRY_RATIO, RETRY_SLACK};
use flamingowheel_standin::platform::server::Arrival;
use std::collections::HashSet;
use std::time::Duration;
use tokio::time::Instant;

/// Window in which retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);

impl Observed<'_> {
    /// The window with more arrivals beyond the first of each attempt than allowed for the attempts
    /// that arrived, if there is one.
    pub fn check_retries(&self) -> Option<Violation> {
        let mut seen = HashSet::new();
        let (first, repeats): (Vec<_>, Vec<_>) =
            self.arrivals.iter().partition(|arrival| seen.insert(arrival.attempt.as_str()));
        repeats.iter().find_map(|repeat| {
            let retries = count_in_window(repeat.at, &repeats);
            let attempts = count_in_window(repeat.at, &first);
            let allowed = RETRY_RATIO * attempts as f64 + RETRY_SLACK;
            let is_over = retries as f64 > allowed;
            is_over.then_some(Violation::OverRetryBudget { retries, attempts })
        })
    }
}

fn count_in_window(from: Instant, arrivals: &[&Arrival]) -> usize {
    let until = from + RETRY_WINDOW;
    arrivals.iter().filter(|arrival| (from..=until).contains(&arrival.at)).count()
}
