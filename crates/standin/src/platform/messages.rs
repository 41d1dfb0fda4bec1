//! Messages in the platform's format: headers of callers and backend servers, stored records and
//! the settings of an entry.

use http::HeaderMap;
use http::request::Builder;
use serde_json::json;
use std::net::SocketAddr;

/// Service that all backend servers belong to.
const SERVICE: &str = "s";

/// Host name that all routes match.
const HOST: &str = "soak.example";

/// Header with the id of the attempt that a request belongs to.
pub const ATTEMPT_HEADER: &str = "flamingowheel-attempt-id";

/// Header with which a backend server signs its answer.
pub const SIGNATURE_HEADER: &str = "flamingowheel-instance-signature";

/// Header that states that a request did not run.
pub const NOT_EXECUTED_HEADER: &str = "flamingowheel-not-executed";

/// Store key of the newest configuration.
pub const CONFIGURATION_KEY: &str = "op/config";

/// Store key of a backend server's record.
pub fn server_key(id: &str) -> String {
    format!("servers/{id}")
}

/// Record with which the `start`-th start of a backend server registers itself.
pub fn server_record(address: SocketAddr, slots: u32, start: u64, is_draining: bool) -> String {
    server_record_in("z", address, slots, start, is_draining)
}

/// The same for a backend server in a data centre.
pub fn server_record_in(
    data_centre: &str,
    address: SocketAddr,
    slots: u32,
    start: u64,
    is_draining: bool,
) -> String {
    let state = if is_draining { "draining" } else { "ready" };
    json!({
        "service": SERVICE, "addr": address.to_string(), "zone": data_centre, "version": "1",
        "slots": slots, "state": state, "coldLeftMs": 0, "seq": 1, "born": start,
    })
    .to_string()
}

/// Record of a backend server of `service` that does not tell when it started.
pub fn record_without_start(service: &str, address: &str, seq: u64, cold_left_ms: u64) -> String {
    json!({
        "service": service, "addr": address, "zone": "z", "slots": 10, "state": "ready",
        "seq": seq, "coldLeftMs": cold_left_ms,
    })
    .to_string()
}

/// The record of a backend server that remains cold for a time.
pub fn cold_server_record(record: &str, cold_left_ms: u64) -> Option<String> {
    let mut record: serde_json::Value = serde_json::from_str(record).ok()?;
    record["coldLeftMs"] = cold_left_ms.into();
    Some(record.to_string())
}

/// A configuration whose routes send a request to at most `count` backend servers.
pub fn with_max_attempts(configuration: &str, count: u32) -> Option<String> {
    let mut configuration: serde_json::Value = serde_json::from_str(configuration).ok()?;
    for route in configuration["routes"].as_array_mut()? {
        route["maxAttempts"] = count.into();
    }
    Some(configuration.to_string())
}

/// A configuration whose backend servers need time to warm up, and tolerate `rate_per_s` requests
/// per second until then.
pub fn with_warm_up(configuration: &str, duration_s: f64, rate_per_s: f64) -> Option<String> {
    let mut configuration: serde_json::Value = serde_json::from_str(configuration).ok()?;
    for service in configuration["services"].as_array_mut()? {
        service["coldS"] = duration_s.into();
        service["coldPerS"] = rate_per_s.into();
    }
    Some(configuration.to_string())
}

/// A configuration with one workspace, its API keys and four routes: `/once/` for work that runs
/// once, `/safe/` for calls that may be retried, `/stream/` for streams that may be resumed and
/// `/live/` for streams that may not. All routes have the same timeout.
pub fn configuration(version: u64, api_keys: &[&str], timeout_ms: u64) -> String {
    let route = |kind: &str, path: &str, attempts: u32| {
        json!({
            "name": path, "host": HOST, "prefix": format!("/{path}/"), "routeKind": kind,
            "service": SERVICE, "maxAttempts": attempts, "timeoutMs": timeout_ms, "goalMs": 100,
            "resumable": path == "stream", "gapGoalMs": 150,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("unsafe", "once", 1), route("safe", "safe", 2), route("streaming", "stream", 2),
            route("streaming", "live", 1),
        ],
        "services": [{"name": SERVICE, "maxConns": 400}],
        "tenants": [{"name": "w", "apiKeys": api_keys}],
    })
    .to_string()
}

/// Adds the headers that a caller sends with a request.
pub fn caller_headers(request: Builder, attempt: &str, api_key: &str, deadline_ms: u64) -> Builder {
    request
        .header("host", HOST)
        .header("authorization", format!("Token {api_key}"))
        .header(ATTEMPT_HEADER, attempt)
        .header("flamingowheel-deadline-ms", deadline_ms)
}

/// The first lines of a backend server's answer in chunks, to which headers may be added.
///
/// ```
/// use flamingowheel_standin::platform::messages::answer_head;
/// assert!(answer_head("a1").ends_with("transfer-encoding: chunked\r\n"));
/// ```
pub fn answer_head(attempt: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{ATTEMPT_HEADER}: {attempt}\r\n{SIGNATURE_HEADER}: sig\r\n\
         transfer-encoding: chunked\r\n"
    )
}

/// Header with the parts of a request's prompt.
pub(super) const PROMPT_HEADER: &str = "flamingowheel-prompt-prefix";

/// Adds the parts of a prompt, of which the last is the request's own.
pub fn with_prompt(request: Builder, parts: &[&str]) -> Builder {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part}:40")).collect();
    request.header(PROMPT_HEADER, parts.join(","))
}

/// Value of the attempt header of a request; empty if it has none.
pub fn attempt_id(headers: &HeaderMap) -> &str {
    headers.get(ATTEMPT_HEADER).and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// Whether an answer carries a backend server's signature.
pub fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key(SIGNATURE_HEADER)
}

/// Name of the backend server that signed an answer.
pub fn signature(headers: &HeaderMap) -> Option<&str> {
    headers.get(SIGNATURE_HEADER)?.to_str().ok()
}

/// The ports of an entry on loopback.
#[derive(Clone, Copy, Debug)]
pub struct EntryPorts {
    /// Port that callers connect to.
    pub callers: u16,
    /// Port of the readiness check.
    pub ready: u16,
    /// Port of the directory.
    pub directory: u16,
    /// First and last port of the range for connections between processes.
    pub internal: (u16, u16),
}

impl EntryPorts {
    /// All ports.
    pub fn all(&self) -> [u16; 5] {
        let Self { callers, ready, directory, internal: (low, high) } = *self;
        [callers, ready, directory, low, high]
    }
}

/// A configuration with these routes to the service `s`, a workspace with the given keys, and an idle
/// limit.
pub fn routes_configuration(
    version: u64,
    routes: &[&str],
    api_keys: &[&str],
    idle_ms: u64,
) -> String {
    let route = |name: &&str| {
        serde_json::json!({
            "name": name, "host": "h", "prefix": format!("/{name}/"), "routeKind": "safe",
            "service": "s",
        })
    };
    let routes: Vec<serde_json::Value> = routes.iter().map(route).collect();
    let limits = serde_json::json!({
        "maxHeaderBytes": 1, "maxBodyBytes": 1, "headerTimeoutMs": 1, "idleTimeoutMs": idle_ms,
    });
    serde_json::json!({
        "version": version, "routes": routes, "limits": limits,
        "tenants": [{ "name": "w", "apiKeys": api_keys }],
    })
    .to_string()
}

/// Retries per request that the settings file of an entry allows.
pub const RETRY_RATIO: f64 = 0.2;

/// Additional retries in each window that it allows.
pub const RETRY_SLACK: f64 = 80.0;

/// The settings file of an entry on loopback.
pub fn entry_settings(name: &str, store: SocketAddr, ports: EntryPorts, grace_s: u64) -> String {
    let EntryPorts { callers, ready, directory, internal: (low, high) } = ports;
    format!(
        "node={name}\nip=127.0.0.1\nzone=z\nregion=r\nlisten.front=127.0.0.1:{callers}\n\
         listen.ready=127.0.0.1:{ready}\nlisten.directory=127.0.0.1:{directory}\n\
         internalPortRange={low},{high}\nplatform.addr={store}\nbounds.graceS={grace_s}\n\
         bounds.retryBudgetRatio={RETRY_RATIO}\nbounds.retryBudgetSlack={RETRY_SLACK}\n"
    )
}
