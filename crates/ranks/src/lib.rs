//! The agent beside a rank of a model's engine: keeps the group's expert map even.
//!
//! Each agent reads its own rank's state and counts, which costs nothing there, and carries out
//! orders on it. The agent of rank 0 coordinates: it collects the counts of all ranks, decides on
//! small changes of the map and switches all ranks to them at one pass.

pub mod agent;
pub mod collect;
pub mod coordinator;
pub mod engine;
pub mod group;
pub mod lookup;
pub mod members;
pub mod pass_times;
pub mod peers;
pub mod process;
pub mod remote;
pub mod rescue;
pub mod switch;
