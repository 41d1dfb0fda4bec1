//! The configuration under faults: real control processes over an in-memory network and the fake
//! key-value service, and an oracle that compares the operators' answers with what is in force.

pub mod fleet;
pub mod machine;
pub mod oracle;

pub use fleet::Fleet;
pub use oracle::{ChangeAnswer, ConfigViolation, Oracle};
