//! Coordination of a rank group: all its ranks run each step with the same expert map.
//!
//! The group's record in the key-value service names the map in force. One process holds the lease
//! to coordinate the group; its orders carry the record's revision as fencing number, and the
//! [`gate`] in front of each engine refuses lower ones. Reads from the weight store are kept within
//! its rate by the [`budget`].

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
mod rollout_lock;
pub mod serve;
pub mod session;
pub mod status;
pub mod switch;
