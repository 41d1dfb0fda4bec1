//! Stand-ins that speak the protocol of the users' platform: its store and its backend servers.

pub mod messages;
pub mod pace;
pub mod raw;
pub mod server;
pub mod store;
