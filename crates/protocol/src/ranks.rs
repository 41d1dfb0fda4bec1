//! Messages between the agents of one rank group: the coordinator states what a rank should be
//! brought to, the rank's agent tells how it stands.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Experts by set and rank.
pub type Map = Vec<Vec<Vec<u16>>>;

/// What a rank should be brought to. An absolute state, so that it can be stated again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
    /// One rank's agent holds the engine of rank 0 before a pass. The agent of rank 0 does not do
    /// so itself: whoever gives the order may stop right after it, and then the agent beside the
    /// held engine must be there to let it go.
    Held {
        /// The group's epoch.
        epoch: u64,
        /// The pass.
        pass: u64,
        /// The rank whose agent gives the order.
        by: usize,
        /// The engine of rank 0.
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
    /// The pass before which this rank's agent last held the engine of rank 0.
    pub gave_hold: Option<u64>,
}

/// Counts in a byte each, as multiples of a common scale. In full, ten times a second from 31 agents, they
/// need some 0.8 of a link of 8 Mbit/s by their size, and bursts of them come late.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choices {
    scale: u32,
    #[serde(with = "serde_bytes")]
    parts: Vec<u8>,
}

impl Choices {
    /// Packs counts; exact up to 255, and to a 255th of the largest one above.
    ///
    /// ```
    /// use flamingowheel_protocol::ranks::Choices;
    /// assert_eq!(Choices::pack(&[0, 3, 200]).unpack(), [0, 3, 200]);
    /// ```
    pub fn pack(counts: &[u32]) -> Self {
        let largest = counts.iter().copied().max().unwrap_or(0);
        let scale = largest.div_ceil(u32::from(u8::MAX)).max(1);
        let part = |count: &u32| {
            let rounded = count.saturating_add(scale / 2) / scale;
            u8::try_from(rounded).unwrap_or(u8::MAX)
        };
        Self { scale, parts: counts.iter().map(part).collect() }
    }

    /// The counts.
    pub fn unpack(&self) -> Vec<u32> {
        self.parts.iter().map(|part| u32::from(*part).saturating_mul(self.scale)).collect()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

/// What a rank's agent sends to the coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankUpdate {
    /// How the rank stands.
    pub state: RankState,
    /// How often its requests chose each expert since the last update that had counts; empty if
    /// there are none.
    pub choices: Choices,
    /// The experts that the rank holds, by set; sent with the counts.
    pub experts: Vec<Vec<u16>>,
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
}

/// Prefix of the groups' keys; the rest is the group's name.
pub const GROUPS_PREFIX: &str = "flamingowheel/groups/";
