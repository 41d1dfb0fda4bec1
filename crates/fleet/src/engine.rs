//! State of a model engine and the orders that change its expert map.

use serde::{Deserialize, Serialize};

/// State that an engine reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Requests waiting for their first pass.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Tokens in memory that can't be evicted.
    pub memory_used_tokens: u64,
    /// Slowdown against the published speed: 1 at that speed, above 1 if slower.
    pub pace: f64,
    /// Number of the last pass that started.
    pub pass: u64,
    /// The rank group that the engine belongs to, if any.
    pub group: Option<GroupMembership>,
    /// Version of the expert map in use.
    pub map_version: u64,
    /// Version of the map whose experts have been copied to the rank.
    pub prepared_version: Option<u64>,
    /// Version of the map to switch to, and the first pass that uses it.
    pub armed: Option<(u64, u64)>,
    /// The pass that the group does not start until it is released.
    pub held_pass: Option<u64>,
    /// Unix time of the engine's start, in milliseconds.
    pub started_ms: u64,
}

/// An engine's membership in its rank group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Name of the group; its record is published under this name.
    pub name: String,
    /// Increases each time the group forms again.
    pub epoch: u64,
    /// The engine's rank, from 0.
    pub rank: usize,
    /// Number of ranks in the group.
    pub size: usize,
    /// Whether the group serves requests.
    pub state: GroupState,
}

/// Whether a rank group serves requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GroupState {
    /// All ranks take part in passes.
    #[default]
    Open,
    /// A rank is missing; nothing is served until the group forms again.
    Broken,
}

/// How often the requests of one rank selected each expert, by set, since the rank started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExpertCounts {
    /// Last pass included in the counts.
    pub pass: u64,
    /// Epoch of the group at that pass.
    pub epoch: u64,
    /// Counts by set, then by expert, flattened.
    pub counts: Vec<u64>,
}

/// The experts that each rank holds; indexed by set, then by rank.
pub type ExpertMap = Vec<Vec<Vec<u16>>>;

/// An order to one rank of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MapOrder {
    /// Copy the experts of a map that are missing on the rank.
    Prepare {
        /// Version of the map; must be higher than all versions that the rank has had.
        version: u64,
        /// The complete map, with all ranks.
        map: std::sync::Arc<ExpertMap>,
    },
    /// Use a prepared map, starting with a given pass.
    Arm {
        /// Version of the prepared map.
        version: u64,
        /// The first pass that uses it.
        pass: u64,
    },
    /// Don't start a pass until it is released.
    Hold {
        /// The pass to hold; must not have started.
        pass: u64,
    },
    /// Allow a held pass to start.
    Release {
        /// The held pass.
        pass: u64,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// Accepted: execution has started, or the requested state is already reached.
    Taken,
    /// The order conflicts with the engine's state, or the group has formed again.
    Conflict,
    /// The engine doesn't know the order, or the address belongs to another engine.
    Refused,
    /// No answer: the order may be executed now, seconds later, or never.
    Unknown,
}
