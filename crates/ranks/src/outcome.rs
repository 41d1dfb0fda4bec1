//! How the switch of a held pass ends, as rank 0's engine has decided it.
//!
//! Every process that ends a switch follows this one decision: the coordinator, its successor and
//! the agents that finish a switch for it. The engine of rank 0 makes it, since it accepts only one
//! of two orders:
//!
//! - An order to arm it. The switch is then committed: all other ranks are armed, and only when
//!   all are armed is the pass released.
//! - An order to prepare a fence version, which no rank is ever armed with. From then on it refuses
//!   to be armed with the switch's own version. No other rank has been armed, as others are armed
//!   only after rank 0. The pass is released and uses the old map.
//!
//! An armed engine refuses to prepare another version, and an engine refuses to be armed with a
//! version that is no longer prepared, so neither order can take effect after the other, however
//! late it is.

use flamingowheel_protocol::ranks::RankState;

/// How the switch of a held pass ends. Once rank 0 reports a switch as committed or abandoned, it
/// stays so for the pass: reports of any age may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Rank 0 is armed: all other ranks must be armed before the pass is released.
    Committed {
        /// Version of the new map.
        version: u64,
        /// The first pass that uses it.
        pass: u64,
    },
    /// No rank is or will be armed for the held pass: it can be released.
    Abandoned {
        /// The held pass.
        pass: u64,
    },
    /// Rank 0 can still be armed or fenced.
    Open {
        /// Version of the new map.
        version: u64,
        /// The held pass.
        pass: u64,
    },
}

/// Returns how the switch ends of which rank 0 reports a hold or is armed for; `None` if there is
/// no such switch.
///
/// ```
/// use flamingowheel_protocol::ranks::RankState;
/// use flamingowheel_ranks::outcome::{Outcome, outcome};
/// let held = RankState { held_pass: Some(14), prepared_version: Some(70), ..RankState::default() };
/// assert_eq!(outcome(&held), Some(Outcome::Open { version: 70, pass: 14 }));
/// let fenced = RankState { prepared_version: Some(71), ..held };
/// assert_eq!(outcome(&fenced), Some(Outcome::Abandoned { pass: 14 }));
/// ```
pub fn outcome(first: &RankState) -> Option<Outcome> {
    if let Some((version, pass)) = first.armed {
        return Some(Outcome::Committed { version, pass });
    }
    let pass = first.held_pass?;
    let can_be_armed = |version: &u64| !is_fence(*version) && *version != first.map_version;
    Some(match first.prepared_version.filter(can_be_armed) {
        Some(version) => Outcome::Open { version, pass },
        None => Outcome::Abandoned { pass },
    })
}

/// Whether a version is one that no rank is ever armed with. Versions of maps that come into use
/// are even.
///
/// ```
/// use flamingowheel_ranks::outcome::is_fence;
/// assert!(is_fence(71) && !is_fence(70));
/// ```
pub fn is_fence(version: u64) -> bool {
    !version.is_multiple_of(2)
}
