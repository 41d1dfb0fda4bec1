//! What operators are told of a group.

use crate::message::RankError;
use serde::{Deserialize, Serialize};

/// Where a group stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Activity {
    /// This process does not coordinate the group.
    #[default]
    Following,
    /// All ranks step with the map in force.
    Running,
    /// Weights of a new map are being loaded; the group steps on.
    Staging,
    /// The group is stopped while ranks are brought to the map in force.
    Aligning,
    /// The group is stopped because a rank can't be verified.
    Held,
}

/// A rank that can't be verified and therefore doesn't step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutOfService {
    /// The rank.
    pub rank: usize,
    /// Why.
    pub reason: RankError,
}

/// The state of a group as its coordinator knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// What is going on.
    pub activity: Activity,
    /// Version of the map in force.
    pub map_version: u64,
    /// Ranks out of service.
    pub out_of_service: Vec<OutOfService>,
}
