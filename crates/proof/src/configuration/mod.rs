//! The configuration under faults: real control processes over an in-memory network and the fake
//! key-value service, and an oracle that knows only what operators were told and what is in force.

pub mod fleet;
pub mod machine;
pub mod oracle;

pub use fleet::Fleet;
pub use oracle::{ChangeAnswer, ConfigViolation, Oracle};
