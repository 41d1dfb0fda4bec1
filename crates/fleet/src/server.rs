//! The backend servers that the platform lists.

use std::net::SocketAddr;

/// Names one backend server; it may begin anew under the same name.
pub type ServerId = String;

/// One backend server as listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Its name.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub is_draining: bool,
    /// Unix time of its start, in milliseconds, which tells starts under one name apart.
    pub started_ms: u64,
}
