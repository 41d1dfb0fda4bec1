//! Backend servers, as registered with the platform.

use std::net::SocketAddr;

/// Identifies a backend server. The id stays the same when the server restarts.
pub type ServerId = String;

/// A registered backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Part of the registry key after the prefix.
    pub id: ServerId,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Name of the data centre that it runs in.
    pub data_centre: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub is_draining: bool,
    /// Unix time of its start, in milliseconds; distinguishes restarts under the same id. 0 if
    /// unknown.
    pub started_ms: u64,
    /// How long it remained cold when the registration was written, in milliseconds.
    pub cold_left_ms: u64,
}
