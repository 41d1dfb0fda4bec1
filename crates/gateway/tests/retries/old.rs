//! The budget of the version before, for fleets in which a version rolls.

use super::{RATIO, WINDOW};
use std::time::Duration;

/// Part of the allowance that it uses.
const USED_PART: f64 = 0.6;

/// Applies the ratio to its own requests, and divides the constant by the entries that are listed.
#[derive(Debug, Default)]
pub struct OldBudget {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl OldBudget {
    pub fn record_request(&mut self, now: Duration) {
        self.requests.push(now);
    }

    pub fn try_acquire(&mut self, slack: f64, listed: usize, now: Duration) -> bool {
        let oldest = now.saturating_sub(WINDOW);
        self.requests.retain(|at| *at >= oldest);
        self.retries.retain(|at| *at >= oldest);
        let constant = slack / listed.max(1) as f64;
        let allowed = USED_PART * (RATIO * self.requests.len() as f64 + constant);
        let is_allowed = (self.retries.len() + 1) as f64 <= allowed;
        if is_allowed {
            self.retries.push(now);
        }
        is_allowed
    }
}
