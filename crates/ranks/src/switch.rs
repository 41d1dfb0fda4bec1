//! The life cycle of one change of a group's map, without I/O.
//!
//! Engines here take orders without fencing numbers and may carry one out seconds after it was
//! given up. Two things stand in for the number. A hold at rank 0 keeps the whole group from
//! beginning the pass at which maps change until every rank was read back as armed for it; so a
//! coordinator that dies in between leaves a group that waits, never one with two maps. Another
//! rank's agent gives that hold: if it stops right after, the agent beside the held engine sees so
//! and lets the group go before anything is armed. And every
//! order names the group's epoch and a pass: an order that is carried out late, after its pass
//! has begun or the group has formed again, is refused by the engine itself. Nothing is ever
//! disarmed, since an arming still on its way could then take effect alone.

use flamingowheel_protocol::ranks::{Map, RankState, RankTarget};
use std::net::SocketAddr;
use std::sync::Arc;

/// Fewest and most passes between the newest one known and the one at which maps change.
const PASSES_AHEAD: (u64, u64) = (2, 4);

/// Passes ahead before it is known how long arming takes.
pub const FIRST_PASSES_AHEAD: u64 = 3;

/// Part by which arming may take longer than usual.
const ARMING_RESERVE: f64 = 1.25;

/// Passes between the newest one known and the one at which maps change: enough that all ranks are armed by
/// then, so that the hold seldom makes a pass wait, and no more, since each is done with the old map.
/// The newest pass may be nearly over when the hold is asked for.
///
/// ```
/// use flamingowheel_ranks::switch::passes_ahead;
/// assert_eq!(passes_ahead(100.0, 60.0), 4);
/// assert_eq!(passes_ahead(100.0, 180.0), 2);
/// ```
pub fn passes_ahead(arming_ms: f64, pass_ms: f64) -> u64 {
    let (least, most) = PASSES_AHEAD;
    let passes = (arming_ms * ARMING_RESERVE / pass_ms.max(1.0)).ceil();
    (1 + passes as u64).clamp(least, most)
}

/// Stands for the version of a change that is not carried out; the first map has it.
const ABANDONED: u64 = 0;

/// A change in one state of its life cycle.
#[derive(Clone, Debug, PartialEq)]
pub struct Switch<S> {
    /// The group's epoch; in any other one the change is void.
    pub epoch: u64,
    /// The map's version.
    pub version: u64,
    /// The map.
    pub map: Arc<Map>,
    /// The engines by rank.
    pub engines: Arc<Vec<SocketAddr>>,
    state: S,
}

/// Ranks copy the experts that they lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preparing;

/// The group is to be held before a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    pass: u64,
}

/// The group can't begin the pass; ranks are armed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arming {
    pass: u64,
}

/// All ranks are armed; the hold is to be lifted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Releasing {
    pass: u64,
}

/// The pass may begin; it does so with the next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Released {
    pass: u64,
}

impl Switch<Preparing> {
    /// A change that has just been decided.
    pub fn new(epoch: u64, version: u64, map: Map, engines: Vec<SocketAddr>) -> Self {
        Self { epoch, version, map: Arc::new(map), engines: Arc::new(engines), state: Preparing }
    }

    /// What every rank is to be brought to.
    pub fn target(&self) -> RankTarget {
        let (epoch, version) = (self.epoch, self.version);
        let (map, engines) = (Arc::clone(&self.map), Arc::clone(&self.engines));
        RankTarget::Prepared { epoch, version, map, engines }
    }

    /// Goes on once all ranks have all experts; maps are to change `ahead` passes from now.
    pub fn advance(self, ranks: &[RankState], ahead: u64) -> Result<Switch<Holding>, Self> {
        let is_ready = ranks.iter().all(|rank| rank.prepared_version == Some(self.version));
        if !is_ready {
            return Err(self);
        }
        let pass = newest_pass(ranks) + ahead;
        Ok(self.with(Holding { pass }))
    }
}

impl Switch<Holding> {
    /// The pass to hold.
    pub fn pass(&self) -> u64 {
        self.state.pass
    }

    /// What every rank is to be brought to: rank `by` is to hold the engine of rank 0.
    pub fn target(&self, by: usize) -> Option<RankTarget> {
        let engine = *self.engines.first()?;
        Some(RankTarget::Held { epoch: self.epoch, pass: self.state.pass, by, engine })
    }

    /// The hold has been read back.
    pub fn held(self) -> Switch<Arming> {
        let pass = self.state.pass;
        self.with(Arming { pass })
    }

    /// Lets the group go without any rank armed.
    pub fn abandon(self) -> Switch<Releasing> {
        Switch::abandoned(self.epoch, self.state.pass)
    }

    /// The pass had begun before the hold arrived; a later one is taken. A hold of the old pass
    /// that is still on its way will be refused.
    pub fn postpone(self, ranks: &[RankState], newest: u64, ahead: u64) -> Self {
        let pass = (newest_pass(ranks).max(newest) + ahead).max(self.state.pass + 1);
        self.with(Holding { pass })
    }
}

impl Switch<Arming> {
    /// What every rank is to be brought to.
    pub fn target(&self) -> RankTarget {
        let (epoch, version, pass) = (self.epoch, self.version, self.state.pass);
        RankTarget::Armed { epoch, version, pass, engines: Arc::clone(&self.engines) }
    }

    /// Goes on once every rank was read back as armed.
    pub fn advance(self, ranks: &[RankState]) -> Result<Switch<Releasing>, Self> {
        // Somebody else may have let the pass go while this process was frozen.
        let is_armed = |rank: &RankState| is_armed(rank, self.version, self.state.pass);
        if !ranks.iter().all(is_armed) {
            return Err(self);
        }
        let pass = self.state.pass;
        Ok(self.with(Releasing { pass }))
    }
}

impl Switch<Releasing> {
    /// The pass to let go.
    pub fn pass(&self) -> u64 {
        self.state.pass
    }

    /// The hold has been read back as lifted.
    pub fn released(self) -> Switch<Released> {
        let pass = self.state.pass;
        self.with(Released { pass })
    }
}

impl Switch<Released> {
    /// The pass that may begin.
    pub fn pass(&self) -> u64 {
        self.state.pass
    }

    /// Whether all ranks use the map.
    pub fn is_done(&self, ranks: &[RankState]) -> bool {
        ranks.iter().all(|rank| rank.map_version == self.version && rank.armed.is_none())
    }
}

impl Switch<Arming> {
    /// A change that an earlier coordinator had begun: the group is held before `pass`, or a rank
    /// is armed for it.
    pub fn resume(epoch: u64, version: u64, pass: u64) -> Self {
        let (map, engines) = (Arc::default(), Arc::default());
        Switch { epoch, version, map, engines, state: Arming { pass } }
    }
}

impl Switch<Releasing> {
    /// Whether nothing was armed, so that the pass begins with the old map.
    pub fn is_abandoned(&self) -> bool {
        self.version == ABANDONED
    }

    /// A hold that an earlier coordinator left, with no rank armed or able to be.
    pub fn abandoned(epoch: u64, pass: u64) -> Self {
        let (map, engines) = (Arc::default(), Arc::default());
        Switch { epoch, version: ABANDONED, map, engines, state: Releasing { pass } }
    }
}

impl<S> Switch<S> {
    fn with<T>(self, state: T) -> Switch<T> {
        let Self { epoch, version, map, engines, .. } = self;
        Switch { epoch, version, map, engines, state }
    }
}

/// Whether a rank uses the map from the pass on, or already does.
pub fn is_armed(rank: &RankState, version: u64, pass: u64) -> bool {
    rank.armed == Some((version, pass)) || rank.map_version == version
}

/// The version of the next map: above all that a rank is known to have had, and above `last`, the one
/// planned last. Ranks may be preparing that one though it was given up, and refuse a lower one; the
/// next change would then wait in vain until its time is over. `spread` is drawn at random, above 0.
///
/// ```
/// use flamingowheel_ranks::switch::next_version;
/// assert!(next_version(&[], 70, 1) > 70);
/// ```
pub fn next_version(ranks: &[RankState], last: u64, spread: u64) -> u64 {
    let known = ranks.iter().map(|rank| rank.map_version.max(rank.prepared_version.unwrap_or(0)));
    known.max().unwrap_or(0).max(last) + spread
}

/// A change that somebody began and did not finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnfinishedSwitch {
    /// Ranks are armed, or may still become so: only arming all of them is safe.
    Armed {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The first pass that uses it.
        pass: u64,
    },
    /// The group is held, and no rank can have been armed.
    Held {
        /// The group's epoch.
        epoch: u64,
        /// The pass that is held.
        pass: u64,
    },
}

/// Finds an unfinished change in the states of all ranks.
///
/// Arming orders go out only after all ranks were seen prepared with one version. So if none is
/// armed and their versions differ, none can be on its way.
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
