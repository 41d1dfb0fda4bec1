//! Reuse of idle connections to backend servers.
//!
//! Load: many entries with few requests each before many servers. An entry that spreads its requests
//! over all servers returns to one only after the server has closed the idle connection, and nearly
//! every request pays for a new one. So a rank to which a connection is open is preferred, as long as
//! it has about as many requests as its group's mean. All entries get the same reports, but each has
//! connections to ranks of its own, so they don't choose the same rank at once.

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

/// Requests above the mean up to which a rank is preferred: what reports that are some tenths of a
/// second old miss anyway.
const PREFERRED_EXCESS: f64 = 1.0;

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

/// Whether a rank to which a connection is open is preferred to others, given its requests and the
/// mean of its group's ranks.
///
/// ```
/// use flamingowheel_policy::reuse::is_preferred;
/// assert!(is_preferred(5, 4.2));
/// assert!(!is_preferred(6, 4.2));
/// ```
pub fn is_preferred(requests: u32, mean_requests: f64) -> bool {
    f64::from(requests) <= mean_requests + PREFERRED_EXCESS
}
