//! Rebalancing of experts over the ranks of a group.
//!
//! [`plan()`] is a pure function from decayed loads, rank speeds and the current placement to a
//! list of moves. It compares the predicted reduction of step-time skew with the cost of loading
//! expert weights, so that it moves few experts and doesn't react to noise.

mod baseline;
mod load;
mod params;
mod placement;
mod plan;
mod score;
mod search;
mod speed;

pub use baseline::repack;
pub use load::DecayedLoads;
pub use params::Params;
pub use placement::{Expert, Move, Placement, PlacementError, Rank, moves_between};
pub use plan::{LayerPlan, Plan, Request, RequestError, plan};
pub use score::skew;
pub use speed::{RankSpeeds, Work};
