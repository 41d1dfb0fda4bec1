//! The status of a group as reported to operators.

use crate::message::RankError;
use crate::record::Serving;
use serde::{Deserialize, Serialize};

/// What a group is doing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Activity {
    /// This process does not coordinate the group.
    #[default]
    Following,
    /// All ranks step with the map in force.
    Running,
    /// Ranks load the weights of a new map while the group continues to step.
    Staging,
    /// Another model version is in force, and requests that began with the old one are finishing.
    Draining,
    /// The group is stopped while ranks are brought to the map in force.
    Aligning,
    /// The group is stopped because a rank can't be verified.
    Held,
}

/// A rank that can't be verified.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutOfService {
    /// Index of the rank in the group.
    pub rank: usize,
    /// Error of the latest attempt to read or order the rank.
    pub reason: RankError,
}

/// The state of a group at its coordinator's last poll.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// What the group is doing; `Following` if this process does not coordinate it.
    pub activity: Activity,
    /// Version of the expert map in force; 0 if the ranks share no map.
    pub map_version: u64,
    /// Ranks that could not be verified for longer than the rank timeout.
    pub out_of_service: Vec<OutOfService>,
    /// Model version and adapters that the ranks are to serve; `None` until operators have named
    /// some.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving: Option<Serving>,
    /// Ranks that don't serve `serving` yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub behind: Vec<usize>,
    /// Another group of the model that is changing its version; this group changes after it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_for: Option<String>,
}
