//! Decides when an entry without a fresh source follows the store itself.

use std::time::Duration;
use tokio::time::Instant;

/// Time for a process that has just started to get data from a source.
const START_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Isolated entries that start to follow the store per second, over the whole fleet.
const ISOLATED_STARTS_PER_S: f64 = 5.0;

/// Shortest time for which an isolated entry follows the store.
const MIN_FOLLOW_TIME: Duration = Duration::from_secs(2);

/// Whether an entry is isolated, that is without a fresh source, and whether it follows the store
/// because of that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// At least one source is fresh.
    Connected,
    /// No source is fresh. The entry waits for a fresh one to be found, or for another entry to
    /// follow the store.
    Waiting {
        /// When this entry starts to follow the store.
        until: Instant,
    },
    /// No source was fresh in time; the entry follows the store.
    Following {
        /// Earliest end of following.
        until: Instant,
    },
}

impl Isolation {
    /// The state of a process that has just started.
    pub fn at_start(now: Instant) -> Self {
        Self::Waiting { until: now + START_TIMEOUT }
    }

    /// The next state, in a fleet of `entries` entries. `draw`, a random number between 0 and 1,
    /// spreads entries that become isolated together: all of them at once would overload the store
    /// when it is slow or has just come back.
    ///
    /// ```
    /// use flamingowheel_gateway::feed::isolation::Isolation;
    /// let now = tokio::time::Instant::now();
    /// assert_eq!(Isolation::Connected.next(now, true, 9, 0.5), Isolation::Connected);
    /// assert!(matches!(Isolation::Connected.next(now, false, 9, 0.5), Isolation::Waiting { .. }));
    /// ```
    pub fn next(self, now: Instant, has_fresh: bool, entries: usize, draw: f64) -> Self {
        match self {
            Self::Following { until } if now < until => self,
            _ if has_fresh => Self::Connected,
            Self::Waiting { until } if now < until => self,
            Self::Waiting { .. } | Self::Following { .. } => {
                Self::Following { until: now + MIN_FOLLOW_TIME }
            }
            Self::Connected => {
                let spread_s = entries as f64 / ISOLATED_STARTS_PER_S;
                Self::Waiting { until: now + Duration::from_secs_f64(draw * spread_s) }
            }
        }
    }

    /// Whether this entry follows the store because it is isolated.
    pub fn follows(self) -> bool {
        matches!(self, Self::Following { .. })
    }
}
