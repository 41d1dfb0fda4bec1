//! How much of its part of a constant a VM has claimed, so that a process knows what its predecessors
//! may have spent.
//!
//! Before a process spends, it claims in the store what it may spend in a window. A successor adds its
//! own claim to the one that it finds, and the whole is at most one part. Once a window has passed
//! since its start, nothing of what its predecessors spent counts any more.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// By how much a claim grows at once, as a share of the part.
const STEP: f64 = 0.5;

/// What predecessors may have spent of which the store has no word: there were none, or they ran a
/// version that claims nothing.
const UNKNOWN_CLAIM: f64 = 0.5;

/// Shortest time between two changes of a claim, for the store's sake.
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// A claim as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredClaim {
    /// Share of the VM's part that its processes may have spent in a window, between 0 and 1.
    pub claimed: f64,
    /// Number of entries that parts were computed for.
    pub entries: usize,
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

impl Claim {
    /// Creates a claim of nothing. `window` is the one in which parts are spent.
    pub fn new(window: Duration) -> Self {
        Self { window, held: None }
    }

    /// The first claim of a process, to be written to the store.
    ///
    /// ```
    /// use flamingowheel_policy::claim::{Claim, StoredClaim};
    /// use std::time::Duration;
    /// let previous = StoredClaim { claimed: 0.5, entries: 6 };
    /// let first = Claim::first(Some(previous), 6);
    /// let mut claim = Claim::new(Duration::from_secs(10));
    /// claim.begin(Some(previous), first, Duration::ZERO);
    /// assert_eq!((first.claimed, claim.usable(Duration::ZERO)), (1.0, 0.5));
    /// assert_eq!(claim.usable(Duration::from_secs(10)), 1.0);
    /// ```
    pub fn first(previous: Option<StoredClaim>, entries: usize) -> StoredClaim {
        StoredClaim { claimed: (inherited(previous) + STEP).min(1.0), entries }
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
        let Some(held) = self.held else {
            return 0.0;
        };
        let has_passed = now >= held.since + self.window;
        let inherited = if has_passed { 0.0 } else { held.inherited };
        held.claimed - inherited
    }

    /// The change to write to the store next, if any: more if retries were denied, less if none was
    /// made for a window. A smaller claim holds from now on, a larger one once it is stored.
    pub fn next(&mut self, is_short: bool, is_idle: bool, now: Duration) -> Option<f64> {
        let held = self.held.as_mut()?;
        if now < held.changed_at + CHANGE_INTERVAL {
            return None;
        }
        let has_passed = now >= held.since + self.window;
        let claimed = match (is_short, is_idle) {
            (true, _) if held.claimed < 1.0 => (held.claimed + STEP).min(1.0),
            (false, true) if has_passed && held.claimed > STEP => STEP,
            _ => return None,
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
