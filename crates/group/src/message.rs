//! Messages between a group's coordinator and the agents of its ranks.

use crate::intake::IntakeState;
use flamingowheel_backing::orders::{EngineState, Fence, OrderTarget};
use serde::{Deserialize, Serialize};

/// What the coordinator asks of a rank's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankRequest {
    /// The agent process it is meant for; `None` for a read, which any may answer.
    pub incarnation: Option<u64>,
    /// The revision of the record on which the request rests. Also a read raises the lowest number
    /// that the agent accepts.
    pub fence: Fence,
    /// The state asked for; `None` only reads.
    pub target: Option<OrderTarget>,
    /// The order is void unless the rank uses this version of the map. An engine may crash and come
    /// back with no map between the coordinator's read and its order to resume; it would step with
    /// another map than the rest.
    pub requires_version: Option<u64>,
    /// Whether the agent is to take new work from now on; `None` leaves it as it is.
    #[serde(default)]
    pub open: Option<bool>,
}

impl RankRequest {
    /// A question that changes nothing but the lowest number.
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

/// What an agent says of its rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankState {
    /// The agent process that answers.
    pub incarnation: u64,
    /// The engine's state, read after every earlier order had ended.
    pub engine: EngineState,
    /// An order was sent whose answer was lost and which may still take effect at any time.
    pub unresolved: bool,
    /// The agent's work.
    #[serde(default)]
    pub work: IntakeState,
}

impl RankState {
    /// Whether the rank has come to a stop and runs no step until it is told to.
    pub fn is_stopped(&self) -> bool {
        self.engine.held_after_step.is_some_and(|boundary| boundary <= self.engine.step)
    }

    /// Whether the engine was started held and has run no step since.
    pub fn is_fresh(&self) -> bool {
        self.engine.held_after_step.is_some() && self.engine.map_version == 0
    }

    /// Whether the rank surely uses this version from its next step on.
    pub fn uses(&self, map_version: u64) -> bool {
        !self.unresolved && self.engine.map_version == map_version
    }
}

/// Why a rank did not do what was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum RankError {
    /// A newer number was seen: whoever asks is no longer in charge.
    #[error("fencing number {given} refused: the lowest accepted is {lowest}", given = given.0, lowest = lowest.0)]
    Stale {
        /// The request's number.
        given: Fence,
        /// The lowest number accepted.
        lowest: Fence,
    },
    /// The request is for an earlier agent process.
    #[error("meant for another agent process than {incarnation}")]
    WrongIncarnation {
        /// The process that answers.
        incarnation: u64,
    },
    /// An earlier order may still take effect, so that a different one would not be safe.
    #[error("an earlier order may still take effect")]
    Unresolved,
    /// The order could not be noted for the agent's successor, and was not sent.
    #[error("the order could not be noted in the key-value service")]
    NotNoted,
    /// The engine can't do it in its present state.
    #[error("engine: {reason}")]
    NotPossible {
        /// The engine's reason.
        reason: String,
    },
    /// The rank uses another version of the map than the order requires.
    #[error("the rank uses version {version} of the map")]
    WrongVersion {
        /// The version in use.
        version: u64,
    },
    /// Requests are in progress that began with another version of the model.
    #[error("{in_progress} requests in progress began with another version")]
    Busy {
        /// How many.
        in_progress: u32,
    },
    /// The rank serves something else than it was told to.
    #[error("the rank serves version `{version}`")]
    WrongModel {
        /// The version it reports.
        version: String,
    },
    /// The engine did not answer its agent.
    #[error("the engine does not answer")]
    EngineSilent,
    /// The agent does not answer.
    #[error("the agent does not answer")]
    NoAnswer,
    /// The agent does not yet know the lowest acceptable number.
    #[error("the agent has not read the group's record yet")]
    NotReady,
}
