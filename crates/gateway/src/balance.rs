//! Chooses a backend server for a request.

use crate::server::{Server, Standing};
use std::sync::Arc;
use tokio::time::Instant;

/// What a server's share of failures adds to its cost: one that fails half of its requests
/// appears five times as slow, so that it gets work only while the others are full.
const FAILURE_COST: f64 = 8.0;

/// Latency that is assumed of a server before its first answer, in milliseconds: short, so that a
/// new server is tried soon.
const UNKNOWN_LATENCY_MS: f64 = 5.0;

/// Cost of a request at a server as it stands: the time until its answer is expected, in
/// milliseconds, raised by its failures.
///
/// ```
/// use flamingowheel_gateway::{balance::cost, server::Standing};
/// let calm = Standing { in_flight: 0, failure_ratio: 0.0, latency_ms: Some(20.0), is_paused: false };
/// let busy = Standing { in_flight: 3, ..calm };
/// assert!(cost(&busy, 6) > cost(&calm, 6));
/// ```
pub fn cost(standing: &Standing, slots: u32) -> f64 {
    let latency_ms = standing.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS).max(1.0);
    let fullness = f64::from(standing.in_flight) / f64::from(slots.max(1));
    latency_ms * (1.0 + 3.0 * fullness) * (1.0 + FAILURE_COST * standing.failure_ratio)
}

/// The cheapest server that was not tried yet; a paused one only if all are paused.
pub fn choose(servers: &[Arc<Server>], tried: &[Arc<Server>], now: Instant) -> Option<Arc<Server>> {
    let untried = servers.iter().filter(|server| !is_among(tried, server));
    let ranked = untried.map(|server| {
        let standing = server.standing(now);
        // Entries that know the same would otherwise all choose the same server.
        let spread = rand::random_range(0.9..1.1);
        (standing.is_paused, cost(&standing, server.listed.slots) * spread, server)
    });
    let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(_, _, server)| Arc::clone(server))
}

fn is_among(tried: &[Arc<Server>], server: &Arc<Server>) -> bool {
    tried.iter().any(|tried| tried.listed.id == server.listed.id)
}
