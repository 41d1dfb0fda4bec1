//! What arrives at the backend servers, judged by the users' rule.

use super::case::{Report, TROUBLE_AT};
use std::collections::HashSet;
use std::time::Duration;

/// The deployment's bounds: retries per request, and the window.
pub const RATIO: f64 = 0.2;
pub const WINDOW: Duration = Duration::from_secs(10);

/// Requests as callers sent them, and their arrivals at servers.
#[derive(Debug, Default)]
pub struct Arrivals {
    requests: Vec<Duration>,
    arrivals: Vec<(Duration, u64)>,
}

impl Arrivals {
    pub fn record_request(&mut self, now: Duration) {
        self.requests.push(now);
    }

    pub fn record(&mut self, at: Duration, request: u64) {
        self.arrivals.push((at, request));
    }

    /// Sets what concerns arrivals. Windows slide; the fullest ones begin with a repeat.
    pub fn judge(mut self, slack: f64, end: Duration, report: &mut Report) {
        self.arrivals.sort_unstable();
        let mut seen = HashSet::new();
        let repeats: Vec<Duration> =
            self.arrivals.iter().filter(|(_, id)| !seen.insert(*id)).map(|(at, _)| *at).collect();
        let (mut last, mut windows) = (0, 0);
        for (first, start) in repeats.iter().enumerate() {
            while repeats.get(last).is_some_and(|at| *at <= *start + WINDOW) {
                last += 1;
            }
            let arrivals = last - first;
            let allowed = RATIO * self.most_requests(*start) as f64 + slack;
            let used = arrivals as f64 / allowed;
            if used > report.worst {
                (report.worst, report.worst_at_s) = (used, start.as_secs_f64());
                (report.arrivals, report.allowed) = (arrivals, allowed);
            }
            if *start >= TROUBLE_AT && *start + WINDOW <= end {
                windows += 1;
                report.mean += used;
            }
        }
        report.mean /= f64::from(windows.max(1));
    }

    /// The most requests in the window from `start` on, the one before it, and the one half a
    /// window before it.
    fn most_requests(&self, start: Duration) -> usize {
        let starts =
            [start, start.saturating_sub(WINDOW / 2), start.saturating_sub(WINDOW)].into_iter();
        starts.map(|start| self.count_requests(start, start + WINDOW)).max().unwrap_or(0)
    }

    fn count_requests(&self, from: Duration, to: Duration) -> usize {
        self.requests.partition_point(|at| *at <= to)
            - self.requests.partition_point(|at| *at < from)
    }
}
