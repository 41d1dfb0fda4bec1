//! Switches of a group's expert map under faults: real coordinators and gates, and fake engines
//! that step in lockstep.

pub mod fleet;
pub mod gate;
pub mod machine;

pub use fleet::{Fleet, GroupViolation};
