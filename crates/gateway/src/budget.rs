//! The budget of requests that are sent to a backend server once more.
//!
//! The deployment bounds such sends for each service over all entries: a share of the service's
//! requests in a window, and a constant on top. Each entry keeps to the same share of its own
//! requests and to its part of the constant, so that the sum holds without any exchange.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Parts into which a window is cut; sends are forgotten a part at a time.
const PARTS: u32 = 20;

/// Share of the allowance that is used. The rest covers an entry that died in the window and
/// whose successor starts with a full allowance, and requests counted in two entries' windows.
const USED_SHARE: f64 = 0.6;

/// What the deployment allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Share of a service's requests.
    pub ratio: f64,
    /// On top of that in each window, over all entries.
    pub slack: f64,
    /// The window's length.
    pub window: Duration,
}

/// Requests and repeated sends of this entry, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    services: HashMap<String, Window>,
}

#[derive(Debug, Default)]
struct Window {
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    start: Instant,
    requests: u32,
    repeats: u32,
}

impl RetryBudget {
    /// A budget of nothing sent so far.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, services: HashMap::new() }
    }

    /// Counts a caller's request.
    pub fn note_request(&mut self, service: &str, now: Instant) {
        self.part(service, now).requests += 1;
    }

    /// Takes a repeated send out of the budget of one of `entries` entries, if there is room.
    ///
    /// ```
    /// use flamingowheel_gateway::budget::{Allowance, RetryBudget};
    /// let window = std::time::Duration::from_secs(10);
    /// let mut budget = RetryBudget::new(Allowance { ratio: 0.2, slack: 10.0, window });
    /// let now = tokio::time::Instant::now();
    /// let taken = (0..20).filter(|_| budget.try_take("s", 2, now)).count();
    /// assert_eq!(taken, 3);
    /// ```
    pub fn try_take(&mut self, service: &str, entries: usize, now: Instant) -> bool {
        let Allowance { ratio, slack, .. } = self.allowance;
        self.part(service, now);
        let Some(window) = self.services.get_mut(service) else {
            return false;
        };
        let requests: u32 = window.parts.iter().map(|part| part.requests).sum();
        let repeats: u32 = window.parts.iter().map(|part| part.repeats).sum();
        let allowed = f64::from(requests) * ratio + slack / entries as f64;
        if f64::from(repeats + 1) > allowed * USED_SHARE {
            return false;
        }
        if let Some(part) = window.parts.back_mut() {
            part.repeats += 1;
        }
        true
    }

    fn part(&mut self, service: &str, now: Instant) -> &mut Part {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Window::default());
        }
        let window = self.services.entry(service.to_owned()).or_default();
        let length = self.allowance.window;
        while window.parts.front().is_some_and(|part| now.duration_since(part.start) > length) {
            window.parts.pop_front();
        }
        let is_current = window.parts.back().is_some_and(|part| now < part.start + length / PARTS);
        if !is_current {
            window.parts.push_back(Part { start: now, requests: 0, repeats: 0 });
        }
        let last = window.parts.len() - 1;
        &mut window.parts[last]
    }
}
