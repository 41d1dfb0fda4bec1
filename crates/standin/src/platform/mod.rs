//! Stand-ins in the form that the users' platform speaks: its store and its backend servers.

pub mod messages;
pub mod server;
pub mod store;
