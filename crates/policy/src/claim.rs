//! How much of its part of a constant a VM has claimed, so that a process knows what its predecessors
//! may have spent.
//!
//! Before a process spends, it claims in the store what it may spend in a window. A successor may spend
//! what is left of the part. Once a window has passed since its start, nothing of what its predecessors
//! spent counts any more.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a process keeps claimed beyond what it has spent, as a share of the part.
const RESERVE: f64 = 0.25;

/// What predecessors may have spent of which the store has no word: there were none, or they ran a
/// version that claims nothing.
const UNKNOWN_CLAIM: f64 = 0.5;

/// Shortest time from a change of a claim until it grows to the whole part, or shrinks, for the store's
/// sake.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);
const SHRINK_INTERVAL: Duration = Duration::from_secs(2);

/// Smallest change of the claim of a process that leaves.
const MIN_CHANGE: f64 = 0.05;

/// A claim as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredClaim {
    /// Share of the VM's part that its processes may have spent in a window, between 0 and 1.
    pub claimed: f64,
    /// Number of entries that parts were computed for.
    pub entries: usize,
}

/// What a process makes of its claim.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Share of the part that its retries of the last window take at most.
    pub spent: f64,
    /// Whether retries were denied.
    pub is_short: bool,
    /// Whether the process leaves, and spends nothing any more.
    pub is_leaving: bool,
}

/// A process's claim.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    window: Duration,
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    /// What the store has, or less.
    claimed: f64,
    /// The share of predecessors, which counts for a window.
    inherited: f64,
    since: Duration,
    changed_at: Duration,
}

impl Held {
    /// What predecessors may have spent in a window that ends now.
    fn inherited(&self, window: Duration, now: Duration) -> f64 {
        if now >= self.since + window { 0.0 } else { self.inherited }
    }

    /// The smallest shrinking that is written. What predecessors may have spent will be given up at the
    /// end of the window, so a smaller one before that would soon be followed by another.
    fn least_shrink(&self, window: Duration, now: Duration) -> f64 {
        if self.inherited(window, now) > 0.0 { 2.0 * RESERVE } else { RESERVE }
    }
}

impl Claim {
    /// Creates a claim of nothing. `window` is the one in which parts are spent.
    pub fn new(window: Duration) -> Self {
        Self { window, held: None }
    }

    /// The first claim of a process, to be written to the store: all that is left.
    ///
    /// ```
    /// use flamingowheel_policy::claim::{Claim, StoredClaim};
    /// use std::time::Duration;
    /// let previous = StoredClaim { claimed: 0.25, entries: 6 };
    /// let mut claim = Claim::new(Duration::from_secs(10));
    /// claim.begin(Some(previous), Claim::first(6), Duration::ZERO);
    /// assert_eq!(claim.usable(Duration::ZERO), 0.75);
    /// assert_eq!(claim.usable(Duration::from_secs(10)), 1.0);
    /// ```
    pub fn first(entries: usize) -> StoredClaim {
        StoredClaim { claimed: 1.0, entries }
    }

    /// Records that the store has the first claim.
    pub fn begin(&mut self, previous: Option<StoredClaim>, first: StoredClaim, now: Duration) {
        let (claimed, inherited) = (first.claimed, inherited(previous));
        self.held = Some(Held { claimed, inherited, since: now, changed_at: now });
    }

    /// Gives up the claim until the store has been read again.
    pub fn lose(&mut self) {
        self.held = None;
    }

    /// The share of the part that this process may spend in a window.
    pub fn usable(&self, now: Duration) -> f64 {
        self.held.map_or(0.0, |held| held.claimed - held.inherited(self.window, now))
    }

    /// The change to write to the store next, if any. A smaller claim holds from now on, a larger one
    /// once it is stored.
    pub fn next(&mut self, usage: Usage, now: Duration) -> Option<f64> {
        let window = self.window;
        let held = self.held.as_mut()?;
        let since_change = now.saturating_sub(held.changed_at);
        let reserve = if usage.is_leaving { 0.0 } else { RESERVE };
        let least = (held.inherited(window, now) + usage.spent + reserve).min(1.0);
        let grows = usage.is_short && !usage.is_leaving && held.claimed < 1.0;
        let excess = held.claimed - least;
        let shrinks = if usage.is_leaving {
            excess >= MIN_CHANGE
        } else {
            let is_worth_a_write = excess >= held.least_shrink(window, now);
            !usage.is_short && is_worth_a_write && since_change >= SHRINK_INTERVAL
        };
        let claimed = match (grows && since_change >= GROWTH_INTERVAL, shrinks) {
            (true, _) => 1.0,
            (false, true) => least,
            (false, false) => return None,
        };
        held.changed_at = now;
        held.claimed = held.claimed.min(claimed);
        Some(claimed)
    }

    /// Records that the store has a changed claim.
    pub fn record_stored(&mut self, claimed: f64) {
        if let Some(held) = &mut self.held {
            held.claimed = claimed;
        }
    }
}

fn inherited(previous: Option<StoredClaim>) -> f64 {
    previous.map_or(UNKNOWN_CLAIM, |previous| previous.claimed.clamp(0.0, 1.0))
}
