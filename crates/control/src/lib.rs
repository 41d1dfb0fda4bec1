//! The control plane of the entries: membership, distribution of the configuration, and the
//! operators' HTTP API.
//!
//! * [`membership`]: the member table of one process, without I/O.
//! * [`directory`]: the records of all agents, replicated between entries.
//! * [`flamingowheel_policy::topology`]: which entry polls which, computed from the table.
//! * [`duties`]: what this process polls, watches and reads as a result.
//! * [`pause`]: detects that this process was paused.
//! * [`node`]: the state of one process, and its answers to peers' requests.
//! * [`synchronizer`]: the loops that keep that state up to date.
//! * [`operators`]: the operators' HTTP API.
//! * [`transport`] and [`websocket`]: requests to peers.

pub mod directory;
pub mod duties;
mod fetch;
pub mod membership;
pub mod node;
pub mod operators;
pub mod pause;
mod registry;
mod revision_poll;
mod seeds;
mod service;
pub mod synchronizer;
pub mod transport;
pub mod websocket;
