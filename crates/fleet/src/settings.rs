//! Settings that a process reads at startup.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessSettings {
    /// Name of this process's VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Region of the VM.
    pub region: String,
    /// Region of each data centre.
    pub regions: HashMap<String, String>,
    /// Listen address for callers; only set on entry VMs.
    pub callers: Option<SocketAddr>,
    /// Listen address of the readiness check; only set on entry VMs.
    pub readiness: Option<SocketAddr>,
    /// Listen address of the directory, which returns entry addresses to callers; only set on entry
    /// VMs.
    pub directory: Option<SocketAddr>,
    /// IP address of the VM.
    pub ip: std::net::IpAddr,
    /// Inclusive range of the ports reserved for connections between the load balancer's processes.
    pub internal_ports: (u16, u16),
    /// Address of the backend server on this VM, if it runs one.
    pub backend_server: Option<SocketAddr>,
    /// Service of that backend server.
    pub backend_service: Option<String>,
    /// Address of the key-value store.
    pub key_value: SocketAddr,
    /// Maximum write calls per second to the key-value store, over all processes.
    pub key_value_writes_per_s: u64,
    /// Minimum time to live of a lease, in milliseconds.
    pub min_lease_ttl_ms: u64,
    /// Time limits and retry budget that the deployment requires.
    pub bounds: Bounds,
    /// Memory available to the process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open file descriptors of the process.
    pub max_descriptors: u64,
    /// Bandwidth of the VM's link in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Processor time available to the process, in cores.
    pub cpu_cores: f64,
}

/// Time limits and budgets that a deployment configures.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a draining backend server must not receive new requests, in milliseconds.
    pub drain_ms: u64,
    /// Time between the stop signal and the forced kill of a process, in milliseconds.
    pub grace_ms: u64,
    /// Retry budget as a share of a service's requests.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition to that share.
    pub retry_slack: f64,
    /// Window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
    /// Maximum time for which callers cache a directory answer, in milliseconds.
    pub max_directory_ttl_ms: u64,
    /// Time within which an evacuation of a data centre is in force, in milliseconds.
    pub evacuate_ms: u64,
    /// Requests per second that a cold server may get, relative to what it tolerates.
    pub cold_ratio: f64,
    /// Requests that a cold server may get in a second in addition to that.
    pub cold_slack: f64,
}

impl Default for Bounds {
    /// Used for every bound that the settings omit; the same values as in the existing deployments.
    fn default() -> Self {
        Self {
            drain_ms: 2_000,
            grace_ms: 8_000,
            retry_ratio: 0.2,
            retry_slack: 80.0,
            retry_window_ms: 10_000,
            max_directory_ttl_ms: 5_000,
            evacuate_ms: 5_000,
            cold_ratio: 1.0,
            cold_slack: 0.0,
        }
    }
}
