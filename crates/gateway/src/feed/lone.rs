//! When an entry that hears of no word from the store follows it by itself.

use std::time::Duration;
use tokio::time::Instant;

/// Time for a process that has just started to hear from a source.
const START_PATIENCE: Duration = Duration::from_millis(2_000);

/// Entries that begin to follow the store by themselves each second, over all that are left alone.
const LONE_FOLLOWERS_PER_S: f64 = 5.0;

/// How long an entry that was left alone follows the store at the least.
const LONE_TIME: Duration = Duration::from_secs(2);

/// Whether an entry is left alone by its sources, and what it does about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lone {
    /// A source is fresh.
    No,
    /// None is; others may be, or find one.
    Waits {
        /// When this entry follows the store by itself.
        until: Instant,
    },
    /// This entry follows the store.
    Follows {
        /// Until then at the least.
        until: Instant,
    },
}

impl Lone {
    /// A process that starts.
    pub fn at_start(now: Instant) -> Self {
        Self::Waits { until: now + START_PATIENCE }
    }

    /// What comes next, in a fleet of so many entries. `draw` between 0 and 1 spreads the entries that are left
    /// alone together: all of them at once would press the store when it is slow or has just come back.
    ///
    /// ```
    /// use flamingowheel_gateway::feed::lone::Lone;
    /// let now = tokio::time::Instant::now();
    /// assert_eq!(Lone::No.next(now, true, 9, 0.5), Lone::No);
    /// assert!(matches!(Lone::No.next(now, false, 9, 0.5), Lone::Waits { .. }));
    /// ```
    pub fn next(self, now: Instant, has_fresh: bool, entries: usize, draw: f64) -> Self {
        match self {
            Self::Follows { until } if now < until => self,
            _ if has_fresh => Self::No,
            Self::Waits { until } if now < until => self,
            Self::Waits { .. } | Self::Follows { .. } => Self::Follows { until: now + LONE_TIME },
            Self::No => {
                let spread_s = entries as f64 / LONE_FOLLOWERS_PER_S;
                Self::Waits { until: now + Duration::from_secs_f64(draw * spread_s) }
            }
        }
    }

    /// Whether this entry follows the store for itself.
    pub fn follows(self) -> bool {
        matches!(self, Self::Follows { .. })
    }
}
