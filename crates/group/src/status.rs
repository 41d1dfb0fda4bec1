//! What operators are told of a group.

use crate::message::RankError;
use crate::record::Serving;
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
    /// Another version of the model is in force, and requests of the former one run to their end.
    Draining,
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
    /// What the ranks are to serve, if operators said so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving: Option<Serving>,
    /// Ranks that don't serve it yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub behind: Vec<usize>,
    /// The group waits for another group of the model before it changes its version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_for: Option<String>,
}
