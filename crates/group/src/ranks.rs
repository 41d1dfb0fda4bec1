//! Transport between a coordinator and the ranks of its group.

use crate::message::{RankError, RankRequest, RankState};
use flamingowheel_backing::BoxFuture;

/// The ranks of one group. Requests may be lost, delayed or duplicated on their way; the agent's
/// [`crate::gate::Gate`] makes that harmless.
pub trait Ranks: Send + Sync + 'static {
    /// Number of ranks in the group.
    fn count(&self) -> usize;

    /// Sends a request to a rank's agent and waits for the answer, possibly without end.
    fn call(
        &self,
        rank: usize,
        request: RankRequest,
    ) -> BoxFuture<'_, Result<RankState, RankError>>;
}
