//! The state machine of one map switch of a group, without I/O.
//!
//! Engines accept orders without fencing numbers and may execute one seconds after it was given up.
//! Two mechanisms replace the fencing number:
//!
//! - A hold at rank 0 keeps the whole group from starting the pass at which maps change until every
//!   rank was read back as armed for it. A coordinator that fails in between leaves a group that
//!   waits, never one with two maps. Another rank's agent issues the hold: if it stops right after,
//!   the agent beside the held engine notices and releases the group before anything is armed.
//! - Every order names the group's epoch and a pass. The engine itself refuses an order that it
//!   executes late, after the pass has started or the group has formed again.
//!
//! No rank is ever disarmed, since an arm order still in flight could then take effect on one rank
//! alone.

use flamingowheel_protocol::ranks::{Map, RankState, RankTarget};
use std::net::SocketAddr;
use std::sync::Arc;

/// Minimum and maximum number of passes between the newest known one and the one at which maps
/// change.
const PASSES_AHEAD: (u64, u64) = (2, 4);

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

/// The group is held before the pass; ranks are being armed for it.
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
    pub fn held(self) -> Switch<Arming> {
        let pass = self.state.pass;
        self.with_state(Arming { pass })
    }

    /// Releases the group without arming any rank.
    pub fn abandon(self) -> Switch<Releasing> {
        Switch::abandoned(self.epoch, self.state.pass)
    }

    /// Chooses a later pass after the hold arrived too late. The engine refuses a hold of the old
    /// pass that is still in flight.
    pub fn postpone(self, ranks: &[RankState], newest: u64, ahead: u64) -> Self {
        let pass = (newest_pass(ranks).max(newest) + ahead).max(self.state.pass + 1);
        self.with_state(Holding { pass })
    }
}

impl Switch<Arming> {
    /// Target for all ranks: the map is armed for the pass.
    pub fn target(&self) -> RankTarget {
        let (epoch, version, pass) = (self.epoch, self.version, self.state.pass);
        RankTarget::Armed { epoch, version, pass, engines: Arc::clone(&self.engines) }
    }

    /// Advances once every rank was read back as armed or as using the map.
    pub fn advance(self, ranks: &[RankState]) -> Result<Switch<Releasing>, Self> {
        // Another agent may have released the pass while this process was frozen.
        let is_armed = |rank: &RankState| is_armed(rank, self.version, self.state.pass);
        if !ranks.iter().all(is_armed) {
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
    /// Takes over a switch from an earlier coordinator: the group is held before `pass`, or a rank
    /// is armed for it.
    pub fn resume(epoch: u64, version: u64, pass: u64) -> Self {
        let (map, engines) = (Arc::default(), Arc::default());
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

/// Returns the version of the next map: higher than all versions known from the ranks, and than
/// `last`, the one planned last. Ranks may still be preparing that one although it was given up,
/// and refuse a lower one, so that the next switch would time out. `spread` is random and at least
/// 1.
///
/// ```
/// use flamingowheel_ranks::switch::next_version;
/// assert!(next_version(&[], 70, 1) > 70);
/// ```
pub fn next_version(ranks: &[RankState], last: u64, spread: u64) -> u64 {
    let known = ranks.iter().map(|rank| rank.map_version.max(rank.prepared_version.unwrap_or(0)));
    known.max().unwrap_or(0).max(last) + spread
}

/// A switch that was started but not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnfinishedSwitch {
    /// Ranks are armed, or an arm order may be in flight: the only safe action is to arm all of
    /// them.
    Armed {
        /// Epoch in which the switch was started.
        epoch: u64,
        /// Version of the new map.
        version: u64,
        /// The first pass that uses the new map.
        pass: u64,
    },
    /// The group is held, but no rank can have been armed.
    Held {
        /// Epoch in which the switch was started.
        epoch: u64,
        /// The held pass.
        pass: u64,
    },
}

/// Finds an unfinished switch from the states of all ranks.
///
/// Arm orders are sent only after all ranks have reported the same prepared version. So if no rank
/// is armed and the prepared versions differ, no arm order can be in flight.
pub fn find_unfinished(ranks: &[RankState]) -> Option<UnfinishedSwitch> {
    let epoch = ranks.first()?.epoch;
    if let Some((version, pass)) = ranks.iter().find_map(|rank| rank.armed) {
        return Some(UnfinishedSwitch::Armed { epoch, version, pass });
    }
    let pass = ranks.iter().find_map(|rank| rank.held_pass)?;
    let first = ranks.first()?.prepared_version;
    match first {
        Some(version) if ranks.iter().all(|rank| rank.prepared_version == first) => {
            Some(UnfinishedSwitch::Armed { epoch, version, pass })
        }
        _ => Some(UnfinishedSwitch::Held { epoch, pass }),
    }
}

fn newest_pass(ranks: &[RankState]) -> u64 {
    ranks.iter().map(|rank| rank.pass).max().unwrap_or(0)
}
