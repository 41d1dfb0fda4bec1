//! Holds requests back while all of a service's backend servers refuse.
//!
//! After a rank group lost a rank, or after a power failure, every server refuses for about a second.
//! Sent on, each request would be refused by several servers, use up the budget of repeated
//! sends and fail, though the servers are back soon. So while refusals come in a row, one request at a
//! time finds out whether they still do, and the others wait for what it finds.

use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Refusals in a row, without an answer in between, after which a service counts as closed.
const CLOSED_AFTER: u32 = 3;

/// Time between two requests that try a closed service.
const PROBE_INTERVAL: Duration = Duration::from_millis(80);

/// The gates of all services.
#[derive(Debug, Default)]
pub struct Gates(HashMap<String, Gate>);

#[derive(Debug, Default)]
struct Gate {
    refusals: u32,
    probed_at: Option<Instant>,
}

impl Gates {
    /// Whether a request may be sent to the service now. On a closed one, this takes the turn to
    /// try it.
    ///
    /// ```
    /// use flamingowheel_gateway::gate::Gates;
    /// let mut gates = Gates::default();
    /// let now = tokio::time::Instant::now();
    /// (0..3).for_each(|_| gates.note_refusal("s"));
    /// assert!(gates.try_pass("s", now));
    /// assert!(!gates.try_pass("s", now));
    /// gates.note_answer("s");
    /// assert!(gates.try_pass("s", now));
    /// ```
    pub fn try_pass(&mut self, service: &str, now: Instant) -> bool {
        let Some(gate) = self.0.get_mut(service).filter(|gate| gate.refusals >= CLOSED_AFTER)
        else {
            return true;
        };
        if gate.probed_at.is_some_and(|at| now - at < PROBE_INTERVAL) {
            return false;
        }
        gate.probed_at = Some(now);
        true
    }

    /// Notes that a server refused, or could not be reached.
    pub fn note_refusal(&mut self, service: &str) {
        self.0.entry(service.to_owned()).or_default().refusals += 1;
    }

    /// Notes that a server took a request.
    pub fn note_answer(&mut self, service: &str) {
        self.0.remove(service);
    }
}
