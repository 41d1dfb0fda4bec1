//! The state machine of one map switch of a group, without I/O.
//!
//! Engines accept orders without fencing numbers and may execute one seconds after it was given up.
//! These rules make every order harmless, however late it is; docs/design/map-orders.md has the
//! argument:
//!
//! - A hold at rank 0 keeps the whole group from starting the pass at which maps change until every
//!   rank was read back as armed for it. A coordinator that fails in between leaves a group that
//!   waits, never one with two maps. Another rank's agent issues the hold: if it stops right after,
//!   the agent beside the held engine notices and releases the group before anything is armed.
//! - Rank 0's engine decides whether the switch is committed or abandoned ([`crate::outcome`]).
//! - A pass is held for one switch only, and the next switch begins after that pass has started:
//!   engines refuse late orders that name a pass that has started.
//!
//! No rank is ever disarmed, since an arm order still in flight could then take effect on one rank
//! alone.

use crate::outcome::is_fence;
use flamingowheel_protocol::ranks::{Map, RankState, RankTarget};
use std::net::SocketAddr;
use std::sync::Arc;

/// Minimum and maximum number of passes between the newest known one and the one at which maps
/// change.
const PASSES_AHEAD: (u64, u64) = (2, 4);

/// Maximum number of passes by which a pass that an order names is ahead of the newest one that has
/// started.
pub const MAX_PASSES_AHEAD: u64 = PASSES_AHEAD.1;

/// Number of passes ahead while the arming time is unknown.
pub const FIRST_PASSES_AHEAD: u64 = 3;

/// Safety factor on the mean arming time.
const ARMING_TIME_FACTOR: f64 = 1.25;

/// Returns the number of passes between the newest known one and the one at which maps change:
/// enough for all ranks to be armed by then, so that the hold rarely delays a pass, but no more,
/// since these passes still use the old map. One pass is added because the newest one may be nearly
/// over when the hold is requested.
///
/// ```
/// use flamingowheel_ranks::switch::passes_ahead;
/// assert_eq!(passes_ahead(100.0, 60.0), 4);
/// assert_eq!(passes_ahead(100.0, 180.0), 2);
/// ```
pub fn passes_ahead(arming_ms: f64, pass_ms: f64) -> u64 {
    let (min, max) = PASSES_AHEAD;
    let passes = (arming_ms * ARMING_TIME_FACTOR / pass_ms.max(1.0)).ceil();
    (1 + passes as u64).clamp(min, max)
}

/// Version that marks a switch as abandoned. It is the version of the first map, which is never
/// switched to.
const ABANDONED: u64 = 0;

/// A map switch; the type parameter is its state.
#[derive(Clone, Debug, PartialEq)]
pub struct Switch<S> {
    /// The group's epoch; in any other epoch the switch is void.
    pub epoch: u64,
    /// Version of the new map.
    pub version: u64,
    /// The new map; empty if the switch was taken over from another coordinator.
    pub map: Arc<Map>,
    /// Addresses of the engines, by rank; empty if the switch was taken over from another
    /// coordinator.
    pub engines: Arc<Vec<SocketAddr>>,
    state: S,
}

/// Ranks copy the experts that they are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preparing;

/// A hold before the pass has been requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    pass: u64,
}

/// The group is held before the pass; rank 0 is being armed, which commits the switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deciding {
    pass: u64,
}

/// The switch is being given up: rank 0 prepares a version that no rank is ever armed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fencing {
    pass: u64,
    fence_version: u64,
}

/// Rank 0 is armed for the held pass; the other ranks are being armed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arming {
    pass: u64,
}

/// All ranks are armed, or the switch was abandoned; the hold is being released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Releasing {
    pass: u64,
}

/// The hold is released; the pass starts with the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Released {
    pass: u64,
}

impl Switch<Preparing> {
    /// Creates a switch to a newly planned map.
    pub fn new(epoch: u64, version: u64, map: Map, engines: Vec<SocketAddr>) -> Self {
        Self { epoch, version, map: Arc::new(map), engines: Arc::new(engines), state: Preparing }
    }

    /// Target for all ranks: the map is prepared.
    pub fn target(&self) -> RankTarget {
        let (epoch, version) = (self.epoch, self.version);
        let (map, engines) = (Arc::clone(&self.map), Arc::clone(&self.engines));
        RankTarget::Prepared { epoch, version, map, engines }
    }

    /// Advances once all ranks have prepared the map; maps change `ahead` passes from now.
    pub fn advance(self, ranks: &[RankState], ahead: u64) -> Result<Switch<Holding>, Self> {
        let is_ready = ranks.iter().all(|rank| rank.prepared_version == Some(self.version));
        if !is_ready {
            return Err(self);
        }
        let pass = newest_pass(ranks) + ahead;
        Ok(self.with_state(Holding { pass }))
    }
}

impl Switch<Holding> {
    /// The pass that is to be held.
    pub fn pass(&self) -> u64 {
        self.state.pass
    }

    /// Target for all ranks: the agent of rank `by` holds the engine of rank 0. `None` if the
    /// engines are not known.
    pub fn target(&self, by: usize) -> Option<RankTarget> {
        let engine = *self.engines.first()?;
        Some(RankTarget::Held { epoch: self.epoch, pass: self.state.pass, by, engine })
    }

    /// Advances after the hold was read back.
    pub fn held(self) -> Switch<Deciding> {
        let pass = self.state.pass;
        self.with_state(Deciding { pass })
    }

    /// Chooses a later pass after the hold arrived too late. The engine refuses a hold of the old
    /// pass that is still in flight.
    pub fn postpone(self, ranks: &[RankState], newest: u64, ahead: u64) -> Self {
        let pass = (newest_pass(ranks).max(newest) + ahead).max(self.state.pass + 1);
        self.with_state(Holding { pass })
    }
}

impl Switch<Deciding> {
    /// Takes over a switch whose pass is held and for which rank 0 can still be armed or fenced.
    pub fn resume(epoch: u64, version: u64, pass: u64, engines: Vec<SocketAddr>) -> Self {
        let (map, engines) = (Arc::default(), Arc::new(engines));
        Switch { epoch, version, map, engines, state: Deciding { pass } }
    }

    /// The held pass.
    pub fn pass(&self) -> u64 {
        self.state.pass
    }

    /// Gives the switch up by having rank 0 prepare `fence_version`, an odd one.
    pub fn fence(self, fence_version: u64) -> Switch<Fencing> {
        let pass = self.state.pass;
        self.with_state(Fencing { pass, fence_version })
    }

    /// Advances after rank 0 was read back as armed.
    pub fn committed(self) -> Switch<Arming> {
        let pass = self.state.pass;
        self.with_state(Arming { pass })
    }
}

impl Switch<Fencing> {
    /// The held pass.
    pub fn pass(&self) -> u64 {
        self.state.pass
    }

    /// The version that rank 0 is to prepare.
    pub fn fence_version(&self) -> u64 {
        self.state.fence_version
    }

    /// Goes on with the switch: rank 0 refuses the fence version, or was armed before it.
    pub fn resumed(self) -> Switch<Deciding> {
        let pass = self.state.pass;
        self.with_state(Deciding { pass })
    }

    /// Releases the group without arming any rank, after rank 0 was read back as fenced.
    pub fn fenced(self) -> Switch<Releasing> {
        Switch::abandoned(self.epoch, self.state.pass)
    }
}

impl Switch<Arming> {
    /// Target for all ranks: the map is armed for the pass.
    pub fn target(&self) -> RankTarget {
        let (epoch, version, pass) = (self.epoch, self.version, self.state.pass);
        RankTarget::Armed { epoch, version, pass, engines: Arc::clone(&self.engines) }
    }

    /// Advances once every one of `size` ranks was read back as armed or as using the map.
    pub fn advance(self, ranks: &[RankState], size: usize) -> Result<Switch<Releasing>, Self> {
        // Another agent may have released the pass while this process was frozen.
        let is_armed = |rank: &RankState| is_armed(rank, self.version, self.state.pass);
        if ranks.len() != size || !ranks.iter().all(is_armed) {
            return Err(self);
        }
        let pass = self.state.pass;
        Ok(self.with_state(Releasing { pass }))
    }
}

impl Switch<Releasing> {
    /// The held pass that is to be released.
    pub fn pass(&self) -> u64 {
        self.state.pass
    }

    /// Advances after the release was read back.
    pub fn released(self) -> Switch<Released> {
        let pass = self.state.pass;
        self.with_state(Released { pass })
    }
}

impl Switch<Released> {
    /// The released pass, which is the first to use the map.
    pub fn pass(&self) -> u64 {
        self.state.pass
    }

    /// Whether all ranks use the new map.
    pub fn is_done(&self, ranks: &[RankState]) -> bool {
        ranks.iter().all(|rank| rank.map_version == self.version && rank.armed.is_none())
    }
}

impl Switch<Arming> {
    /// Takes over a switch for which rank 0 is armed.
    pub fn resume(epoch: u64, version: u64, pass: u64, engines: Vec<SocketAddr>) -> Self {
        let (map, engines) = (Arc::default(), Arc::new(engines));
        Switch { epoch, version, map, engines, state: Arming { pass } }
    }
}

impl Switch<Releasing> {
    /// Whether no rank was armed, so that the pass uses the old map.
    pub fn is_abandoned(&self) -> bool {
        self.version == ABANDONED
    }

    /// Creates the release of a hold for which no rank is or can still be armed.
    pub fn abandoned(epoch: u64, pass: u64) -> Self {
        let (map, engines) = (Arc::default(), Arc::default());
        Switch { epoch, version: ABANDONED, map, engines, state: Releasing { pass } }
    }
}

impl<S> Switch<S> {
    fn with_state<T>(self, state: T) -> Switch<T> {
        let Self { epoch, version, map, engines, .. } = self;
        Switch { epoch, version, map, engines, state }
    }
}

/// Whether a rank will use the map from the pass on, or already uses it.
pub fn is_armed(rank: &RankState, version: u64, pass: u64) -> bool {
    rank.armed == Some((version, pass)) || rank.map_version == version
}

/// Returns the version of the next map, an even one: higher than all versions known from the ranks,
/// and than `last`, the one planned last. Ranks may still be preparing that one although it was
/// given up, and refuse a lower one, so that the next switch would time out. `spread` is random and
/// at least 1.
///
/// ```
/// use flamingowheel_ranks::switch::next_version;
/// assert!(next_version(&[], 70, 1) > 70);
/// ```
pub fn next_version(ranks: &[RankState], last: u64, spread: u64) -> u64 {
    let known = ranks.iter().map(|rank| rank.map_version.max(rank.prepared_version.unwrap_or(0)));
    let version = known.max().unwrap_or(0).max(last) + spread;
    if is_fence(version) { version + 1 } else { version }
}

/// Returns the version with which rank 0 is fenced: the same, but odd.
///
/// ```
/// use flamingowheel_ranks::switch::next_fence_version;
/// assert_eq!(next_fence_version(&[], 70, 2), 73);
/// ```
pub fn next_fence_version(ranks: &[RankState], last: u64, spread: u64) -> u64 {
    next_version(ranks, last, spread) + 1
}

fn newest_pass(ranks: &[RankState]) -> u64 {
    ranks.iter().map(|rank| rank.pass).max().unwrap_or(0)
}
