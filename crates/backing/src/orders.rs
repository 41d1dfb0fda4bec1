//! Orders to a model engine: load models, adapters and versions, change role, hold stepping, switch
//! expert maps. Each order names the target state, not a change, and carries a fencing number.

use crate::BoxFuture;
use crate::backend::BackendError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A fencing number: the key-value revision of the record that the order applies.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

/// Assignment of experts to the slots of each rank, by layer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExpertMap {
    /// `layers[layer][rank]` lists the expert in each slot of that rank.
    pub layers: Vec<Vec<Vec<u16>>>,
}

/// The target state of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderTarget {
    /// Serve this model version with these adapters in this role.
    Serve {
        /// Name of the model to load.
        model: String,
        /// Version of the model to load.
        version: String,
        /// All adapters to hold, not only new ones.
        adapters: Vec<String>,
        /// The engine's role, for example `prefill`, `decode` or `both`.
        role: String,
    },
    /// Load the weights that `map` needs in addition to those in use; stepping continues.
    StageMap {
        /// The map to load weights for.
        map: ExpertMap,
    },
    /// Stop stepping after the given step, which is the same for all ranks of the group.
    Hold {
        /// The last step to run.
        after_step: u64,
    },
    /// Use this map from the next step on; refused unless the engine is held.
    SwitchMap {
        /// Version of the map, from its record.
        map_version: u64,
        /// The map to use.
        map: ExpertMap,
    },
    /// Resume stepping.
    Resume,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Orders with a lower number than one already seen are stale.
    pub fence: Fence,
    /// The state to reach.
    pub target: OrderTarget,
}

/// State that an engine reports when read back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Random number drawn at process start, so that a restart can be detected.
    pub process_id: u64,
    /// Highest fencing number seen; `None` before the first order and for engines that ignore it.
    pub highest_fence: Option<Fence>,
    /// Name of the model in use; empty before the first is loaded.
    pub model: String,
    /// Version of the model in use.
    pub version: String,
    /// All adapters held.
    pub adapters: Vec<String>,
    /// The engine's role, as in [`OrderTarget::Serve`].
    pub role: String,
    /// Version of the expert map in use.
    pub map_version: u64,
    /// Digest of the map that is staged, if any.
    pub staged_map_digest: Option<u64>,
    /// Number of the last step run.
    pub step: u64,
    /// The last step to run while held; `None` if not held.
    pub held_after_step: Option<u64>,
    /// Free-form counters by name, since process start. Engines count the tokens that each of their
    /// experts processed under [`expert_counter`], and the time spent on them under
    /// [`EXPERT_BUSY_COUNTER`].
    pub counters: BTreeMap<String, u64>,
}

/// Name of the counter of microseconds that an engine spent on its experts' tokens. It excludes
/// waits for other ranks and work that does not depend on the experts held: otherwise a rank with
/// few tokens would look slow and be assigned ever fewer.
pub const EXPERT_BUSY_COUNTER: &str = "expert_busy_us";

/// Name of the counter of tokens that an expert of a layer has processed.
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
    /// The engine has seen a newer number, so the sender is superseded.
    #[error("order with fencing number {} refused: {} was seen", given.0, highest.0)]
    Stale {
        /// Fencing number of the refused order.
        given: Fence,
        /// Highest fencing number that the engine has seen.
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
    /// Sends an order. If its answer is lost, [`EngineOrders::state`] shows whether it took effect.
    fn send_order<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, Result<(), OrderError>>;

    /// Reads the engine's state back.
    fn state(&self) -> BoxFuture<'_, Result<EngineState, BackendError>>;
}
