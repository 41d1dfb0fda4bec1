//! Orders to a model engine: load models, adapters and versions, change role, step with an expert
//! map. Each order names the target state, not a change, and carries a fencing number.

use crate::BoxFuture;
use crate::backend::BackendError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fencing number: the key-value service's revision of the record that the order carries out.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

/// For each layer the experts of each rank's slots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExpertMap {
    /// `layers[layer][rank]` lists the expert in each slot of that rank.
    pub layers: Vec<Vec<Vec<u16>>>,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderTarget {
    /// Serve this model version with these adapters; also states the role.
    Serve {
        /// The model's name.
        model: String,
        /// The model's version.
        version: String,
        /// The adapters to hold.
        adapters: Vec<String>,
        /// The engine's role, for example `prefill`, `decode` or `both`.
        role: String,
    },
    /// Load the weights that `map` needs beside those in use; stepping is not affected.
    StageMap {
        /// The map to prepare.
        map: ExpertMap,
    },
    /// Stop stepping at the boundary after the given step; all ranks name the same step.
    Hold {
        /// The last step to run.
        after_step: u64,
    },
    /// Use the map with this version from the next step on; only while held.
    SwitchMap {
        /// Version of the map, as its record says.
        map_version: u64,
        /// The map to use.
        map: ExpertMap,
    },
    /// Go on stepping.
    Resume,
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Orders with a lower number than one already seen are stale.
    pub fence: Fence,
    /// The state asked for.
    pub target: OrderTarget,
}

/// What an engine says of itself when read back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Random number drawn at process start.
    pub process_id: u64,
    /// Highest fencing number seen; `None` for engines that ignore it.
    pub highest_fence: Option<Fence>,
    /// The model in use.
    pub model: String,
    /// The model's version.
    pub version: String,
    /// Adapters held.
    pub adapters: Vec<String>,
    /// The engine's role.
    pub role: String,
    /// Version of the expert map in use.
    pub map_version: u64,
    /// Digest of the map that is staged, if any.
    pub staged_map_digest: Option<u64>,
    /// Number of the last step run.
    pub step: u64,
    /// The boundary at which stepping stopped, if held.
    pub held_after_step: Option<u64>,
    /// Free form counters by name. Engines count the tokens that each expert they hold has worked
    /// on since their process started under [`expert_counter`], and the time they were busy with
    /// that under [`EXPERT_BUSY_COUNTER`].
    pub counters: BTreeMap<String, u64>,
}

/// Name of the counter of microseconds that an engine worked on its experts' tokens. Waits for
/// other ranks don't count, nor does work that is the same whatever experts the engine holds: a
/// rank with few tokens would seem slow and be given ever fewer.
pub const EXPERT_BUSY_COUNTER: &str = "expert_busy_us";

/// Name of the counter of tokens that an expert of a layer has worked on.
///
/// ```
/// assert_eq!(flamingowheel_backing::orders::expert_counter(2, 17), "expert_tokens/2/17");
/// ```
pub fn expert_counter(layer: usize, expert: u16) -> String {
    format!("expert_tokens/{layer}/{expert}")
}

/// Why an order was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// A newer number was seen; whoever sent this is no longer in charge.
    #[error("order with fencing number {} refused: {} was seen", given.0, highest.0)]
    Stale {
        /// The order's number.
        given: Fence,
        /// The highest number seen.
        highest: Fence,
    },
    /// The order can't be carried out in the engine's present state.
    #[error("order not possible now: {reason}")]
    NotPossible {
        /// The engine's reason.
        reason: String,
    },
    /// The engine could not be reached, or its answer was lost.
    #[error(transparent)]
    Backend(#[from] BackendError),
}

/// Orders to one engine.
pub trait EngineOrders: Send + Sync + 'static {
    /// Sends an order. A lost answer leaves the effect unknown until [`EngineOrders::state`].
    fn send_order<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, Result<(), OrderError>>;

    /// Reads the engine's state back.
    fn state(&self) -> BoxFuture<'_, Result<EngineState, BackendError>>;
}
