//! Messages between a group's coordinator and the agents of its ranks.

use crate::intake::IntakeState;
use flamingowheel_backing::orders::{EngineState, Fence, OrderTarget};
use serde::{Deserialize, Serialize};

/// A request from the coordinator to a rank's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRequest {
    /// The agent process that the request is meant for; `None` for a read, which any process may
    /// answer.
    pub incarnation: Option<u64>,
    /// The revision of the group's record that the request is based on. Reads also raise the lowest
    /// number that the agent accepts.
    pub fence: Fence,
    /// The state that the engine is to reach; `None` for a read.
    pub target: Option<OrderTarget>,
    /// Map version that the rank must use, or the order is refused. An engine may crash and restart
    /// without a map between the coordinator's read and its order to resume; it would then step
    /// with a different map from the other ranks.
    pub requires_version: Option<u64>,
    /// Whether the agent admits new requests from now on; `None` changes nothing.
    #[serde(default)]
    pub open: Option<bool>,
}

impl RankRequest {
    /// A read of the rank's state. Its only effect is to raise the lowest accepted fencing number.
    ///
    /// ```
    /// use flamingowheel_group::message::RankRequest;
    /// use flamingowheel_backing::orders::Fence;
    /// assert_eq!(RankRequest::read(Fence(7)).target, None);
    /// ```
    pub fn read(fence: Fence) -> Self {
        Self { incarnation: None, fence, target: None, requires_version: None, open: None }
    }
}

/// The state of a rank as its agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankState {
    /// The agent process that answers.
    pub incarnation: u64,
    /// The engine's state, read while no order was in flight.
    pub engine: EngineState,
    /// Whether the answer to an order was lost, so that the order may still take effect.
    pub unresolved: bool,
    /// Whether the agent admits requests, and how many are in progress.
    #[serde(default)]
    pub work: IntakeState,
}

impl RankState {
    /// Whether the rank has reached its hold boundary and runs no step until it is resumed.
    pub fn is_stopped(&self) -> bool {
        self.engine.held_after_step.is_some_and(|boundary| boundary <= self.engine.step)
    }

    /// Whether the engine process was started held and has not received a map yet.
    pub fn is_fresh(&self) -> bool {
        self.engine.held_after_step.is_some() && self.engine.map_version == 0
    }

    /// Whether the rank is certain to use this map version from its next step on.
    pub fn uses(&self, map_version: u64) -> bool {
        !self.unresolved && self.engine.map_version == map_version
    }
}

/// Why a rank did not carry out a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum RankError {
    /// A higher fencing number was seen: the sender no longer coordinates the group.
    #[error("fencing number {given} refused: the lowest accepted is {lowest}", given = given.0, lowest = lowest.0)]
    Stale {
        /// The request's fencing number.
        given: Fence,
        /// The lowest number that the agent accepts.
        lowest: Fence,
    },
    /// The request is for another agent process, usually an earlier one.
    #[error("meant for another agent process than {incarnation}")]
    WrongIncarnation {
        /// Identifies the process that answers.
        incarnation: u64,
    },
    /// An earlier order may still take effect, so a different one would not be safe.
    #[error("an earlier order may still take effect")]
    Unresolved,
    /// The order was not sent, because it could not be stored in the key-value service for the
    /// agent's successor.
    #[error("the order could not be noted in the key-value service")]
    #[serde(rename = "not_noted")]
    NotStored,
    /// The engine can't carry out the order in its present state.
    #[error("engine: {reason}")]
    NotPossible {
        /// Reason given by the engine.
        reason: String,
    },
    /// The rank uses another map version than the order requires.
    #[error("the rank uses version {version} of the map")]
    WrongVersion {
        /// The map version in use; 0 if there is none.
        version: u64,
    },
    /// Another model version can't be loaded while requests that began with the old one run.
    #[error("{in_progress} requests in progress began with another version")]
    Busy {
        /// Number of requests in progress.
        in_progress: u32,
    },
    /// The rank does not serve the model version and adapters of the group's record.
    #[error("the rank serves version `{version}`")]
    WrongModel {
        /// The model version that the rank reports.
        version: String,
    },
    /// The engine did not answer its agent in time.
    #[error("the engine does not answer")]
    EngineSilent,
    /// The agent did not answer the coordinator in time.
    #[error("the agent does not answer")]
    NoAnswer,
    /// The agent has not read the lowest acceptable fencing number from the group's record.
    #[error("the agent has not read the group's record yet")]
    NotReady,
}
