//! Circuit breakers: hold requests back while all backend servers of a service refuse.
//!
//! After a rank group has lost a rank, or after a power failure, every server refuses for about a
//! second. Each request would then be refused by several servers, use up the retry budget and fail,
//! although the servers are back soon. So after a few consecutive refusals, one request at a time
//! probes the service while the others wait.

use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Consecutive refusals, without an answer in between, after which a service's breaker opens.
const OPEN_AFTER_REFUSALS: u32 = 3;

/// Time between two probes of a service whose breaker is open.
const PROBE_INTERVAL: Duration = Duration::from_millis(80);

/// The circuit breakers of all services.
#[derive(Debug, Default)]
pub struct CircuitBreakers(HashMap<String, Breaker>);

#[derive(Debug, Default)]
struct Breaker {
    refusals: u32,
    last_probe_at: Option<Instant>,
}

impl CircuitBreakers {
    /// Whether a request may be sent to the service now. If the breaker is open, `true` makes this
    /// request the probe.
    ///
    /// ```
    /// use flamingowheel_gateway::breaker::CircuitBreakers;
    /// let mut breakers = CircuitBreakers::default();
    /// let now = tokio::time::Instant::now();
    /// (0..3).for_each(|_| breakers.record_refusal("s"));
    /// assert!(breakers.try_acquire("s", now));
    /// assert!(!breakers.try_acquire("s", now));
    /// breakers.record_answer("s");
    /// assert!(breakers.try_acquire("s", now));
    /// ```
    pub fn try_acquire(&mut self, service: &str, now: Instant) -> bool {
        let Some(breaker) =
            self.0.get_mut(service).filter(|breaker| breaker.refusals >= OPEN_AFTER_REFUSALS)
        else {
            return true;
        };
        if breaker.last_probe_at.is_some_and(|at| now - at < PROBE_INTERVAL) {
            return false;
        }
        breaker.last_probe_at = Some(now);
        true
    }

    /// Records that a server refused, or could not be reached.
    pub fn record_refusal(&mut self, service: &str) {
        self.0.entry(service.to_owned()).or_default().refusals += 1;
    }

    /// Records that a server accepted a request; closes the breaker.
    pub fn record_answer(&mut self, service: &str) {
        self.0.remove(service);
    }
}
