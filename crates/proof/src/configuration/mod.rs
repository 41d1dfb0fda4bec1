//! The configuration under faults: real control processes over an in-memory network and the fake
//! key-value service, and an oracle that knows only the operators' answers and what is in force.

pub mod fleet;
pub mod machine;
pub mod oracle;

pub use fleet::Fleet;
pub use oracle::{ChangeAnswer, ConfigViolation, Oracle};
