//! Decisions as pure functions: routing, admission, limits, retries, subsets, crash suspects and
//! rebalancing of experts.
//!
//! Nothing here does I/O or reads a clock. Callers pass the time as a [`std::time::Duration`] since
//! an origin that each process picks, so the same code runs in the daemon, under a paused clock and
//! in the benches.

pub mod admission;
pub mod answers;
pub mod batch;
pub mod capacity;
pub mod claim;
pub mod cold;
pub mod demand;
pub mod directory;
pub mod events;
pub mod experts;
pub mod key;
pub mod limits;
pub mod load;
pub mod outage;
pub mod passes;
pub mod permits;
mod placement;
pub mod prefix;
pub mod priority;
pub mod quota;
pub mod rebalance;
pub mod retry;
pub mod reuse;
pub mod roster;
pub mod routing;
pub mod shares;
pub mod speeds;
pub mod subset;
pub mod suspicion;
pub mod topology;
pub mod urgency;
pub mod warmth;
