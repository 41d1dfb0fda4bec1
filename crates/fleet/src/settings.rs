//! What a process is told at its start.

use std::net::SocketAddr;

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of this process's VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Region of the VM.
    pub region: String,
    /// Where callers connect; present on entry VMs.
    pub callers: Option<SocketAddr>,
    /// Where readiness is asked for; present on entry VMs.
    pub readiness: Option<SocketAddr>,
    /// Where callers ask which entries to use; present on entry VMs.
    pub directory: Option<SocketAddr>,
    /// IP address of the VM.
    pub ip: std::net::IpAddr,
    /// First and last port that is free for connections between our own processes.
    pub internal_ports: (u16, u16),
    /// The backend server beside this process, on VMs that have one.
    pub backend_server: Option<SocketAddr>,
    /// The service of that backend server.
    pub backend_service: Option<String>,
    /// The key-value service.
    pub key_value: SocketAddr,
    /// Most calls a second that may write to the key-value service, over all processes.
    pub key_value_writes_per_s: u64,
    /// Shortest time to live of a lease, in milliseconds.
    pub min_lease_ttl_ms: u64,
    /// The promises that the deployment asks for.
    pub bounds: Bounds,
    /// Memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Descriptors that the process may have open.
    pub max_descriptors: u64,
    /// What the VM's link carries in either direction, in bytes a second.
    pub link_bytes_per_s: u64,
}

/// Time limits and budgets that the deployment sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which a draining backend server must get no more requests, in milliseconds.
    pub drain_ms: u64,
    /// Time from the request to stop to the forced end of a process, in milliseconds.
    pub grace_ms: u64,
    /// Share of a service's requests that may be sent to a backend server once more.
    pub retry_ratio: f64,
    /// Such requests that are allowed on top, in each window.
    pub retry_slack: f64,
    /// Length of that window, in milliseconds.
    pub retry_window_ms: u64,
    /// Longest time for which callers keep a directory answer, in milliseconds.
    pub max_directory_ttl_ms: u64,
}

impl Default for Bounds {
    /// The figures of the deployments at hand; settings that leave one out get these.
    fn default() -> Self {
        Self {
            drain_ms: 2_000,
            grace_ms: 8_000,
            retry_ratio: 0.2,
            retry_slack: 80.0,
            retry_window_ms: 10_000,
            max_directory_ttl_ms: 5_000,
        }
    }
}
