//! Messages between the agents of one rank group: the coordinator sends each rank its target state,
//! and each rank's agent reports the rank's current state.

use crate::packed::Packed;
use crate::targets::TargetMessage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

pub use flamingowheel_policy::experts::Map;

/// The target state of a rank, set by the coordinator. It is absolute rather than a step, so that
/// it can be sent repeatedly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RankTarget {
    /// The experts of a map are copied to the rank.
    Prepared {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The experts of all ranks, by set and rank.
        map: Arc<Map>,
        /// Engine addresses by rank, for the agent that must finish the change if the coordinator
        /// fails.
        engines: Arc<Vec<SocketAddr>>,
    },
    /// One rank's agent holds the coordinator's own engine before a pass. The coordinator does not
    /// do so itself: the issuer of the hold may fail right after it, and then the agent beside the
    /// held engine must be running to release it.
    Held {
        /// The group's epoch.
        epoch: u64,
        /// The pass that must not start before the hold is released.
        pass: u64,
        /// The rank whose agent holds the engine.
        by: usize,
        /// Address of the held engine.
        engine: SocketAddr,
    },
    /// A prepared map comes into use with a given pass.
    Armed {
        /// Epoch in which the pass is counted; in any other one the engine refuses the order.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The first pass that uses it.
        pass: u64,
        /// The engines by rank.
        engines: Arc<Vec<SocketAddr>>,
    },
    /// No change is in progress.
    Idle,
}

/// The state of a rank.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// Name of the rank group.
    pub group: String,
    /// Increases each time the group forms again.
    pub epoch: u64,
    /// Number of the rank in the group, from 0.
    pub rank: usize,
    /// Ranks in the group.
    pub size: usize,
    /// Whether the group is running passes.
    pub is_open: bool,
    /// The newest pass that has started.
    pub pass: u64,
    /// Requests in the current batch.
    pub running: u32,
    /// Requests that are queued for their first pass.
    pub waiting: u32,
    /// The rank's pass time relative to the engine's published parameters; above 1 if it is slower.
    pub pace: f64,
    /// Version of the map in use.
    pub map_version: u64,
    /// Version of the map whose experts have been copied, if any.
    pub prepared_version: Option<u64>,
    /// Version of the map to switch to and the first pass that uses it, if a switch is pending.
    pub armed: Option<(u64, u64)>,
    /// The pass before which this rank's engine is held, if it is.
    pub held_pass: Option<u64>,
    /// The pass before which this rank's agent last held another rank's engine.
    pub gave_hold: Option<u64>,
}

/// Largest number of ranks that a report is believed to state, far above that of any group.
const MAX_RANKS: usize = 4_096;

/// Largest pass or version that a report is believed to state: JSON holds larger ones inexactly.
const MAX_NUMBER: u64 = 1 << 53;

/// Largest number of requests of a rank that a report is believed to state.
const MAX_REQUESTS: u32 = 1_000_000;

/// Largest pace that a report is believed to state.
const MAX_PACE: f64 = 1e6;

impl RankState {
    /// Whether the numbers can be those of a rank. Engines in trouble report others.
    ///
    /// ```
    /// use flamingowheel_protocol::ranks::RankState;
    /// let sound = RankState { rank: 1, size: 8, pass: 70, ..RankState::default() };
    /// assert!(sound.is_plausible());
    /// assert!(!RankState { size: usize::MAX, ..sound }.is_plausible());
    /// ```
    pub fn is_plausible(&self) -> bool {
        let Self { pass, running, waiting, pace, .. } = *self;
        let (armed_version, armed_pass) = self.armed.unwrap_or_default();
        let numbers = [
            self.epoch,
            self.map_version,
            self.prepared_version.unwrap_or(0),
            armed_version,
            armed_pass,
            self.held_pass.unwrap_or(0),
            self.gave_hold.unwrap_or(0),
        ];
        self.rank < self.size
            && self.size <= MAX_RANKS
            && numbers.iter().all(|number| *number <= MAX_NUMBER)
            && Progress { pass, running, waiting, pace }.is_plausible()
    }
}

/// Quantisation steps for the counts of one rank.
const STEPS: u32 = 255;

/// Quantisation steps for sums over several ranks. Sums are larger, so that a relative error shows
/// less.
const SUM_STEPS: u32 = 63;

/// How often each expert was chosen, by set and expert in one row, as multiples of a common scale.
///
/// Sent unquantised ten times a second from 31 agents, the counts need about 0.8 of a link of 8
/// Mbit/s, and bursts of them arrive late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertCounts {
    /// Ranks that the counts cover; 0 if there are no counts.
    pub ranks: u16,
    scale: u32,
    parts: Packed,
}

impl ExpertCounts {
    /// Packs the counts of one rank: exact up to 255, else rounded to a 255th of the largest one.
    ///
    /// ```
    /// use flamingowheel_protocol::ranks::ExpertCounts;
    /// assert_eq!(ExpertCounts::pack(&[0, 3, 200]).unpack(), Some(vec![0, 3, 200]));
    /// ```
    pub fn pack(counts: &[u32]) -> Self {
        Self::pack_in_steps(counts, 1, STEPS)
    }

    /// Packs the summed counts of several ranks: exact up to 63, else rounded to a 63rd of the
    /// largest one.
    ///
    /// ```
    /// use flamingowheel_protocol::ranks::ExpertCounts;
    /// assert_eq!(ExpertCounts::pack_sum(&[0, 3, 60], 2).unpack(), Some(vec![0, 3, 60]));
    /// ```
    pub fn pack_sum(counts: &[u32], ranks: u16) -> Self {
        Self::pack_in_steps(counts, ranks, SUM_STEPS)
    }

    fn pack_in_steps(counts: &[u32], ranks: u16, steps: u32) -> Self {
        let largest = counts.iter().copied().max().unwrap_or(0);
        let scale = largest.div_ceil(steps).max(1);
        let part = |count: &u32| {
            let rounded = count.saturating_add(scale / 2) / scale;
            u8::try_from(rounded).unwrap_or(u8::MAX)
        };
        let parts: Vec<u8> = counts.iter().map(part).collect();
        Self { ranks, scale, parts: Packed::deflate(&parts).unwrap_or_default() }
    }

    /// Unpacks the counts; `None` if they are malformed.
    pub fn unpack(&self) -> Option<Vec<u32>> {
        let parts = self.parts.inflate()?;
        Some(parts.into_iter().map(|part| u32::from(part).saturating_mul(self.scale)).collect())
    }

    /// Compressed size, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.parts.size_bytes()
    }
}

/// The part of a rank's state that changes with every pass.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The newest pass that has started.
    pub pass: u64,
    /// Requests in the current batch.
    pub running: u32,
    /// Requests that are queued for their first pass.
    pub waiting: u32,
    /// The rank's pass time relative to the engine's published parameters; above 1 if it is slower.
    pub pace: f64,
}

impl Progress {
    /// Whether the numbers can be those of a rank.
    pub fn is_plausible(&self) -> bool {
        self.pass <= MAX_NUMBER
            && self.running.max(self.waiting) <= MAX_REQUESTS
            && (0.0..=MAX_PACE).contains(&self.pace)
    }
}

/// An update from a rank's agent to its subscribers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RankUpdate {
    /// The whole state: first on a connection, and when more than the progress has changed.
    State(RankState),
    /// Only the progress has changed since the last state.
    Progress(Progress),
    /// The experts that the rank holds; sent first and whenever its map has changed.
    Experts {
        /// Version of the map.
        map_version: u64,
        /// The experts, by set.
        experts: Packed,
    },
    /// How often the rank's requests chose each expert since the last such update.
    Choices(ExpertCounts),
    /// The same, summed over several ranks.
    Sum(ExpertCounts),
    /// The group's status, from the agent that coordinates it.
    Group(GroupStatus),
}

/// The status of a group at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Name of the group.
    pub group: String,
    /// Increases each time the group forms again.
    pub epoch: u64,
    /// Mean pass time of the last second, in milliseconds; 0 before the first pass.
    pub pass_ms: f64,
    /// Requests running or queued at each rank, capped at 255.
    #[serde(with = "serde_bytes")]
    pub requests: Vec<u8>,
    /// Ranks from which the coordinator receives nothing, neither from the agent nor from the
    /// engine.
    pub silent: Vec<u16>,
    /// Age of these values when they were sent, in milliseconds.
    pub age_ms: u64,
}

/// Which updates an agent sends on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subscription {
    /// Its rank's state.
    #[default]
    State,
    /// Its rank's state and expert counts.
    Choices,
    /// Its rank's state and the expert counts that it has summed over several ranks.
    Sums,
    /// Only its group's status.
    Group,
}

/// A request to a rank's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Send these updates on the connection.
    #[serde(rename = "Tell")]
    Subscribe(Subscription),
    /// Sum the expert counts of the agents at these addresses.
    Collect(Packed),
    /// Bring the rank to a target state.
    Target(TargetMessage),
}

/// A group as its coordinator publishes it to all entries through the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Increases each time the group forms again.
    pub epoch: u64,
    /// The ranks, in order.
    pub ranks: Vec<RankRecord>,
}

/// One rank of a [`GroupRecord`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankRecord {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// The rank's pass time relative to the engine's published parameters; above 1 if it is slower.
    pub pace: f64,
    /// Whether the coordinator receives nothing from the rank, neither from the agent nor from the
    /// engine.
    #[serde(default)]
    pub is_away: bool,
}

/// Prefix of the keys of [`GroupRecord`]s; the group's name follows.
pub const GROUPS_PREFIX: &str = "flamingowheel/groups/";
