//! Switches of a group's expert map under faults: real coordinators and gates over fake engines
//! that step together.

pub mod fleet;
pub mod gate;
pub mod machine;

pub use fleet::{Fleet, GroupViolation};
