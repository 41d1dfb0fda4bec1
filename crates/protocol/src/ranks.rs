//! Messages between the agents of one rank group: the coordinator states what a rank should be
//! brought to, the rank's agent tells how it stands.

use crate::packed::Packed;
use crate::targets::TargetMessage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

pub use flamingowheel_policy::experts::Map;

/// What a rank should be brought to. An absolute state, so that it can be stated again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RankTarget {
    /// A map's experts are copied.
    Prepared {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The map.
        map: Arc<Map>,
        /// The engines by rank, for whoever must finish the change if its coordinator dies.
        engines: Arc<Vec<SocketAddr>>,
    },
    /// One rank's agent holds the engine of the coordinator's rank before a pass. The coordinator does not
    /// do so itself: whoever gives the order may stop right after it, and then the agent beside the
    /// held engine must be there to let it go.
    Held {
        /// The group's epoch.
        epoch: u64,
        /// The pass.
        pass: u64,
        /// The rank whose agent gives the order.
        by: usize,
        /// The engine that is held.
        engine: SocketAddr,
    },
    /// A prepared map will be used from a pass on.
    Armed {
        /// The group's epoch.
        epoch: u64,
        /// The map's version.
        version: u64,
        /// The first pass that uses it.
        pass: u64,
        /// The engines by rank.
        engines: Arc<Vec<SocketAddr>>,
    },
    /// Nothing is to be done.
    Idle,
}

/// How a rank stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RankState {
    /// The rank group.
    pub group: String,
    /// Rises each time the group forms again.
    pub epoch: u64,
    /// The rank.
    pub rank: usize,
    /// Ranks in the group.
    pub size: usize,
    /// Whether the group works.
    pub is_open: bool,
    /// The last pass that began.
    pub pass: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for their first pass.
    pub waiting: u32,
    /// Above 1 if the rank is slower than published.
    pub pace: f64,
    /// Version of the map in use.
    pub map_version: u64,
    /// Version of the map whose experts have been copied.
    pub prepared_version: Option<u64>,
    /// Version and pass of the switch to come.
    pub armed: Option<(u64, u64)>,
    /// The pass that is held back.
    pub held_pass: Option<u64>,
    /// The pass before which this rank's agent last held another rank's engine.
    pub gave_hold: Option<u64>,
}

/// Finest steps in which counts of one rank are told.
const STEPS: u32 = 255;

/// The same for sums over several ranks. They are larger, so that steps show less.
const SUM_STEPS: u32 = 63;

/// How often experts were chosen, by set and expert in one row, as multiples of a common scale.
///
/// In full, ten times a second from 31 agents, counts need some 0.8 of a link of 8 Mbit/s by their
/// size, and bursts of them come late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpertCounts {
    /// Ranks whose choices these are; 0 if there are none.
    pub ranks: u16,
    scale: u32,
    parts: Packed,
}

impl ExpertCounts {
    /// Packs the counts of one rank; exact up to 255, and to a 255th of the largest one above.
    ///
    /// ```
    /// use flamingowheel_protocol::ranks::ExpertCounts;
    /// assert_eq!(ExpertCounts::pack(&[0, 3, 200]).unpack(), Some(vec![0, 3, 200]));
    /// ```
    pub fn pack(counts: &[u32]) -> Self {
        Self::pack_in_steps(counts, 1, STEPS)
    }

    /// Packs the summed counts of several ranks.
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

    /// The counts; `None` if they can't be read.
    pub fn unpack(&self) -> Option<Vec<u32>> {
        let parts = self.parts.inflate()?;
        Some(parts.into_iter().map(|part| u32::from(part).saturating_mul(self.scale)).collect())
    }

    /// Size on the way, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.parts.size_bytes()
    }
}

/// What a rank has done since its state was told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The last pass that began.
    pub pass: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for their first pass.
    pub waiting: u32,
    /// Above 1 if the rank is slower than published.
    pub pace: f64,
}

/// What a rank's agent tells whoever is connected to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RankUpdate {
    /// How the rank stands: at first, and when more than its progress has changed.
    State(RankState),
    /// The rank goes on as told.
    Progress(Progress),
    /// The experts that the rank holds; at first, and when its map has changed.
    Experts {
        /// Version of the map.
        map_version: u64,
        /// The experts, by set.
        experts: Packed,
    },
    /// How often the rank's requests chose each expert since this was told last.
    Choices(ExpertCounts),
    /// The same of several ranks.
    Sum(ExpertCounts),
    /// How the group stands; from the agent that coordinates it.
    Group(GroupStatus),
}

/// How a group stands at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub group: String,
    /// Rises each time the group forms again.
    pub epoch: u64,
    /// Mean pass of the last second, in milliseconds; 0 before the first.
    pub pass_ms: f64,
    /// Requests that run or wait at each rank; 255 stands for more.
    #[serde(with = "serde_bytes")]
    pub requests: Vec<u8>,
    /// Ranks of which neither agent nor engine is heard.
    pub silent: Vec<u16>,
    /// Age of these figures when they were sent, in milliseconds.
    pub age_ms: u64,
}

/// What an agent tells on a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Subscription {
    /// How its rank stands.
    #[default]
    State,
    /// Its own rank's choices besides.
    Choices,
    /// The sums that it makes of several ranks' choices besides.
    Sums,
    /// How its group stands, and nothing else.
    Group,
}

/// What is asked of a rank's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Tell this on the connection.
    Tell(Subscription),
    /// Sum up the choices told by the agents at these addresses.
    Collect(Packed),
    /// Bring the rank to a target.
    Target(TargetMessage),
}

/// What the coordinator of a group tells all entries, through the key-value store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Rises each time the group forms again.
    pub epoch: u64,
    /// The ranks in order.
    pub ranks: Vec<RankRecord>,
}

/// One rank of a [`GroupRecord`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankRecord {
    /// The engine's address.
    pub engine: SocketAddr,
    /// Above 1 if the rank is slower than published.
    pub pace: f64,
    /// Whether neither its agent nor its engine is heard.
    #[serde(default)]
    pub is_away: bool,
}

/// Prefix of the groups' keys; the rest is the group's name.
pub const GROUPS_PREFIX: &str = "flamingowheel/groups/";
