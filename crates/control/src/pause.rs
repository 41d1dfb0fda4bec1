//! Detection of pauses of this process.
//!
//! A VM can be paused for minutes. Until the pause is detected, the process uses a configuration
//! that may have been replaced and would mark all other processes as silent.

use std::time::Duration;
use tokio::time::Instant;

/// How often the clock is checked.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest gap between two checks that counts as a pause; delays of a busy scheduler are shorter.
pub const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Detects pauses by the time between two checks of the clock.
///
/// The runtime uses the system's monotonic clock, which advances while a process is stopped. Where
/// the clock stops together with the VM, this detector can't see the gap, and the pause shows only
/// in connections that were lost meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last: Instant,
}

impl PauseDetector {
    /// Creates a detector whose first check was at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last: now }
    }

    /// To be called every [`TICK_INTERVAL`]. Returns the time since the last call if it is at least
    /// [`MIN_PAUSE`].
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
