//! Control: which entries there are, how the configuration reaches all of them, and the
//! operators' interface.
//!
//! * [`membership`]: what one process believes of the others, as a pure table.
//! * [`directory`]: every agent, as entries tell each other of it.
//! * [`flamingowheel_policy::topology`]: who watches whom, computed from the table.
//! * [`duties`]: what that means for this process.
//! * [`pause`]: noticing that this process itself stood still.
//! * [`node`]: the state of one process, and its answers to peers.
//! * [`synchronizer`]: the loops that keep it up to date.
//! * [`operators`]: the operators' HTTP interface.
//! * [`transport`] and [`websocket`]: how peers are reached.

pub mod directory;
pub mod duties;
mod fetch;
pub mod membership;
pub mod node;
pub mod operators;
pub mod pause;
mod registry;
mod roll;
mod seeds;
mod service;
pub mod synchronizer;
pub mod transport;
pub mod websocket;
