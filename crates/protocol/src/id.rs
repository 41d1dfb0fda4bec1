//! Identities of requests, attempts, processes and stored executions.

pub use flamingowheel_policy::key::Fingerprint;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Identifies one request of a caller; minted by the entry that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub Uuid);

impl RequestId {
    /// A fresh identity.
    ///
    /// ```
    /// use flamingowheel_protocol::id::RequestId;
    /// assert_ne!(RequestId::fresh(), RequestId::fresh());
    /// ```
    pub fn fresh() -> Self {
        Self(Uuid::now_v7())
    }
}

/// One attempt to run a request. Answers carry it, so that those of other attempts are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    #[serde(rename = "r")]
    pub request: RequestId,
    /// Counts from 1 within the request.
    #[serde(rename = "n")]
    pub number: u32,
}

/// Identifies one start of a process; drawn at random, never zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Draws a fresh incarnation.
    ///
    /// ```
    /// use flamingowheel_protocol::id::Incarnation;
    /// assert_ne!(Incarnation::fresh().0, 0);
    /// ```
    pub fn fresh() -> Self {
        Self(rand::random_range(1..=u64::MAX))
    }
}

/// What an agent files an execution under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ExecutionKey {
    /// Idempotent work: every attempt is an execution of its own.
    #[serde(rename = "a")]
    Attempt(AttemptId),
    /// Non-idempotent work: all attempts with the same ticket share one execution.
    #[serde(rename = "t")]
    Ticket {
        /// The ticket's number.
        #[serde(rename = "n")]
        number: Uuid,
        /// The agent's record window when the ticket was minted.
        #[serde(rename = "w")]
        window: Window,
    },
}

/// A number of an agent's record window: the agent's own uptime divided by the window's length.
///
/// Windows are counted on the clock of one agent only, so no two clocks are ever compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Window(pub u32);
