//! The agent that runs beside each rank of a model engine and keeps the group's expert map
//! balanced.
//!
//! Each agent polls its own rank's state and counts, which is free on the same VM, and sends orders
//! to its engine. The agent of rank 0 coordinates: it collects the counts of all ranks, plans small
//! changes of the map and switches all ranks to the new map at the same pass.

pub mod agent;
pub mod collect;
pub mod coordinator;
pub mod engine;
pub mod engines;
pub mod group;
pub mod lookup;
pub mod members;
pub mod outcome;
pub mod pass_times;
pub mod peers;
mod phase;
pub mod process;
pub mod remote;
pub mod rescue;
pub mod switch;
