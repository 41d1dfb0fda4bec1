//! Decides when an entry that is not one of the followers follows the store itself.

use std::time::Duration;
use tokio::time::Instant;

/// Time for a process that has just started to get data from a source.
const START_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Shortest time for which an isolated entry follows the store.
const MIN_FOLLOW_TIME: Duration = Duration::from_secs(2);

/// What an entry knows of its sources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sources {
    /// At least one is up to date.
    pub has_current: bool,
    /// At least one is up to date by an entry that precedes this one in the succession.
    pub has_predecessor: bool,
}

/// Whether an entry is isolated, that is without a source that is up to date, and whether it
/// follows the store because of that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// At least one source is up to date.
    Connected,
    /// No source is up to date. The entry waits for its turn to follow the store.
    Waiting {
        /// When this entry starts to follow the store.
        until: Instant,
    },
    /// No source was up to date in time; the entry follows the store.
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

    /// The next state of an entry whose turn comes `turn` after its sources were lost. An entry
    /// that follows the store ends that only for one that precedes it, so that one always remains.
    ///
    /// ```
    /// use flamingowheel_gateway::feed::isolation::{Isolation, Sources};
    /// use std::time::Duration;
    /// let now = tokio::time::Instant::now();
    /// let turn = Duration::from_millis(150);
    /// let lost = Sources { has_current: false, has_predecessor: false };
    /// let waiting = Isolation::Connected.next(now, lost, turn);
    /// assert_eq!(waiting, Isolation::Waiting { until: now + turn });
    /// assert!(waiting.next(now + turn, lost, turn).follows());
    /// ```
    pub fn next(self, now: Instant, sources: Sources, turn: Duration) -> Self {
        match self {
            Self::Following { until } if now < until => self,
            Self::Following { .. } if sources.has_predecessor => Self::Connected,
            // It ends as soon as there is a predecessor: each entry that follows makes calls.
            Self::Following { .. } => self,
            Self::Connected | Self::Waiting { .. } if sources.has_current => Self::Connected,
            Self::Connected if !turn.is_zero() => Self::Waiting { until: now + turn },
            Self::Waiting { until } if now < until => self,
            _ => Self::Following { until: now + MIN_FOLLOW_TIME },
        }
    }

    /// Whether this entry follows the store because it is isolated.
    pub fn follows(self) -> bool {
        matches!(self, Self::Following { .. })
    }
}
