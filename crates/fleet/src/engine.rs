//! The state of a model engine and the orders that change its expert map.

use serde::{Deserialize, Serialize};

/// What an engine says of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Requests that wait for their first pass.
    pub waiting: u32,
    /// Requests in the batch.
    pub running: u32,
    /// Tokens in memory that can't be evicted.
    pub memory_used_tokens: u64,
    /// Above 1 if the engine is slower than published.
    pub pace: f64,
    /// The last pass that began.
    pub pass: u64,
    /// The rank group that the engine is part of.
    pub group: Option<GroupMembership>,
    /// Version of the expert map in use.
    pub map_version: u64,
    /// Version of the map whose experts have been copied.
    pub prepared_version: Option<u64>,
    /// The switch that will happen as a pass begins: version and pass.
    pub armed: Option<(u64, u64)>,
    /// The pass that the group does not begin until it is released.
    pub held_pass: Option<u64>,
    /// Unix time of the engine's start, in milliseconds.
    pub started_ms: u64,
}

/// An engine's place in its rank group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupMembership {
    /// The group's name.
    pub name: String,
    /// Rises each time the group forms again.
    pub epoch: u64,
    /// The engine's rank, from 0.
    pub rank: usize,
    /// Ranks in the group.
    pub size: usize,
    /// Whether the group works.
    pub state: GroupState,
}

/// Whether a rank group works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum GroupState {
    /// All ranks take part in passes.
    #[default]
    Open,
    /// A rank is missing; nothing is served until the group forms again.
    Broken,
}

/// How often the requests of one rank chose each expert, by set, since the rank started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ExpertCounts {
    /// The pass up to which these counts go.
    pub pass: u64,
    /// The group's epoch.
    pub epoch: u64,
    /// Choices by set, then by expert, in one row.
    pub counts: Vec<u64>,
}

/// The experts that each rank holds, by set and rank.
pub type ExpertMap = Vec<Vec<Vec<u16>>>;

/// An order to one rank of a group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MapOrder {
    /// Copy the experts of a map that the rank lacks.
    Prepare {
        /// The map's version, above all that the rank has had.
        version: u64,
        /// The map.
        map: std::sync::Arc<ExpertMap>,
    },
    /// Use a prepared map from a pass on.
    Arm {
        /// The map's version.
        version: u64,
        /// The first pass that uses it.
        pass: u64,
    },
    /// Don't begin a pass until it is released.
    Hold {
        /// The pass.
        pass: u64,
    },
    /// Let a held pass begin.
    Release {
        /// The pass.
        pass: u64,
    },
}

/// How an engine took an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It has begun, or the state asked for holds already.
    Taken,
    /// It does not fit the engine's state, or the group has formed again.
    Conflict,
    /// No such order, or the address belongs to another engine.
    Refused,
    /// No answer: it may be carried out now, seconds later, or never.
    Unknown,
}
