//! What callers, operators, backend servers and the platform itself write in the platform's form.

use http::HeaderMap;
use http::request::Builder;
use serde_json::json;
use std::net::SocketAddr;

/// The service of all backend servers.
const SERVICE: &str = "s";

/// The host of all routes.
const HOST: &str = "soak.example";

/// Header of the attempt that a request belongs to.
pub(super) const ATTEMPT: &str = "flamingowheel-attempt-id";

/// Header of a backend server's mark on its answer.
pub(super) const SIGNATURE: &str = "flamingowheel-instance-signature";

/// The key of the newest configuration.
pub const CONFIGURATION_KEY: &str = "op/config";

/// The key under which a backend server lists itself.
pub fn server_key(id: &str) -> String {
    format!("servers/{id}")
}

/// How a backend server lists itself.
pub fn server_record(address: SocketAddr, slots: u32, is_draining: bool) -> String {
    let state = if is_draining { "draining" } else { "ready" };
    json!({
        "service": SERVICE, "addr": address.to_string(), "zone": "z", "version": "1",
        "slots": slots, "state": state, "coldLeftMs": 0, "seq": 1, "born": 1,
    })
    .to_string()
}

/// A configuration with a route each for work that runs once (`/once/`), calls that may be repeated
/// (`/safe/`) and streams that may be resumed (`/stream/`), all with this time limit, and one workspace
/// with one key.
pub fn configuration(version: u64, api_key: &str, limit_ms: u64) -> String {
    let route = |kind: &str, path: &str, attempts: u32| {
        json!({
            "name": path, "host": HOST, "prefix": format!("/{path}/"), "routeKind": kind,
            "service": SERVICE, "maxAttempts": attempts, "timeoutMs": limit_ms, "goalMs": 100,
            "resumable": kind == "streaming", "gapGoalMs": 150,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("unsafe", "once", 1), route("safe", "safe", 2), route("streaming", "stream", 2),
        ],
        "services": [{"name": SERVICE, "maxConns": 400}],
        "tenants": [{"name": "w", "apiKeys": [api_key]}],
    })
    .to_string()
}

/// Adds what a caller says of a request.
pub fn caller_headers(request: Builder, attempt: &str, api_key: &str, deadline_ms: u64) -> Builder {
    request
        .header("host", HOST)
        .header("authorization", format!("Token {api_key}"))
        .header(ATTEMPT, attempt)
        .header("flamingowheel-deadline-ms", deadline_ms)
}

/// The attempt that a caller's request belongs to; empty if it names none.
pub fn attempt_id(headers: &HeaderMap) -> &str {
    headers.get(ATTEMPT).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Whether an answer bears a backend server's signature.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key(SIGNATURE)
}

/// The ports of an entry on loopback.
#[derive(Clone, Copy, Debug)]
pub struct EntryPorts {
    /// Where callers connect.
    pub callers: u16,
    /// Readiness.
    pub ready: u16,
    /// The directory.
    pub directory: u16,
    /// Two for connections between processes.
    pub internal: (u16, u16),
}

/// The settings file of an entry on loopback.
pub fn entry_settings(name: &str, store: SocketAddr, ports: EntryPorts, grace_s: u64) -> String {
    let EntryPorts { callers, ready, directory, internal: (low, high) } = ports;
    format!(
        "node={name}\nip=127.0.0.1\nzone=z\nregion=r\nlisten.front=127.0.0.1:{callers}\n\
         listen.ready=127.0.0.1:{ready}\nlisten.directory=127.0.0.1:{directory}\n\
         internalPortRange={low},{high}\nplatform.addr={store}\nbounds.graceS={grace_s}\n\
         bounds.retryBudgetSlack=80\n"
    )
}
