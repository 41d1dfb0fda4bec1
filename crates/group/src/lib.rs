//! One expert map per step: how a group of ranks changes its map, and how orders to engines and
//! reads from the weight store are kept in bounds.
//!
//! The group's record in the key-value service says which map is in force. One agent of the group
//! holds a lease to coordinate; its orders carry the record's revision as fencing number, and the
//! [`gate`] in front of each engine refuses lower ones.

pub mod align;
pub mod budget;
pub mod coordinator;
pub mod gate;
pub mod intake;
pub mod lease;
pub mod message;
pub mod pending_load;
pub mod proposal;
pub mod ranks;
pub mod record;
mod retry;
mod rollout;
pub mod serve;
pub mod session;
pub mod status;
pub mod switch;
mod turn;
