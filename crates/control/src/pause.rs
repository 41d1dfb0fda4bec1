//! Noticing that this process itself stood still.
//!
//! A VM can stop for minutes and go on as if nothing had happened. Until it learns better, such a
//! process believes in a configuration that was replaced and calls everybody else silent.

use std::time::Duration;
use tokio::time::Instant;

/// How often the clock is looked at.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// A gap between two looks that can't be a busy scheduler.
pub const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Compares when the clock was looked at with when it should have been.
///
/// The runtime's clock is the system's monotonic one, which goes on while a process is stopped.
/// Where it stands still with the VM, the gap can't be seen here; then the connections that died
/// meanwhile tell.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last: Instant,
}

impl PauseDetector {
    /// Starts looking.
    pub fn new(now: Instant) -> Self {
        Self { last: now }
    }

    /// To be called every [`TICK_INTERVAL`]; gives the length of the gap if this process stood still.
    ///
    /// ```
    /// use flamingowheel_control::pause::PauseDetector;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let start = Instant::now();
    /// let mut detector = PauseDetector::new(start);
    /// assert_eq!(detector.tick(start + Duration::from_millis(300)), None);
    /// assert!(detector.tick(start + Duration::from_secs(60)).is_some());
    /// ```
    pub fn tick(&mut self, now: Instant) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last);
        self.last = now;
        (gap >= MIN_PAUSE).then_some(gap)
    }
}
