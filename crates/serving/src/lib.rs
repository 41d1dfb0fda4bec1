//! Connections of callers: what a process that serves them needs so that no request or answer is lost
//! when a connection, a listener or the process ends.

pub mod linger;
pub mod queue;
pub mod stream;
pub mod usage;
