//! Reuse of idle connections to backend servers.
//!
//! Load: many entries with few requests each before many servers. An entry returns to a server only
//! seconds later, and nearly every request pays for a new connection. So a connection is kept idle
//! nearly as long as its server keeps it, within the entry's part of what the server accepts.

use std::time::Duration;

/// Longest idle time of a connection to a server that does not state one.
const UNSTATED_IDLE_TIME: Duration = Duration::from_millis(1_500);

/// Part of the stated idle time within which a connection is reused. A request that crosses the
/// server's close may be lost; the rest covers the way of both and a busy process.
const REUSED_PART: f64 = 0.75;

/// Longest idle time of a reused connection, whatever the server states. A device in between may
/// forget a connection that is idle for longer.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Share of a server's connections that may be idle; the others are for requests.
const IDLE_SHARE: f64 = 0.25;

/// Most idle connections of one entry to one server: about as many as it has concurrent requests
/// there.
const MAX_IDLE: usize = 8;

/// Idle time up to which a connection is reused, given the time for which the server keeps it open.
///
/// ```
/// use flamingowheel_policy::reuse::idle_time;
/// use std::time::Duration;
/// assert_eq!(idle_time(None), Duration::from_millis(1_500));
/// assert_eq!(idle_time(Some(Duration::from_secs(4))), Duration::from_secs(3));
/// ```
pub fn idle_time(stated: Option<Duration>) -> Duration {
    stated.map_or(UNSTATED_IDLE_TIME, |stated| stated.mul_f64(REUSED_PART).min(MAX_IDLE_TIME))
}

/// Number of idle connections that each of `entries` entries may keep to a server that accepts
/// `max_connections` from all of them.
///
/// ```
/// use flamingowheel_policy::reuse::idle_part;
/// assert_eq!(idle_part(1_000, 50), 5);
/// assert_eq!(idle_part(100, 50), 1);
/// ```
pub fn idle_part(max_connections: u32, entries: usize) -> usize {
    let all = (f64::from(max_connections) * IDLE_SHARE) as usize;
    (all / entries.max(1)).clamp(1, MAX_IDLE)
}
