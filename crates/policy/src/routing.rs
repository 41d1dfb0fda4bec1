//! Choice of the backend server for a request.
//!
//! Candidates are ranked by a hash of the request's fingerprint and the server, so that every entry
//! sends identical bodies to the same few servers. Among the first few, the one with the lowest
//! expected cost is chosen: predicted wait, prefill that no cached prefix covers, and the time to
//! load a model or adapter. The number of candidates depends on the age of the load information: if
//! many entries picked the best of many servers by the same stale report, they would all pick the
//! same one.

use std::time::Duration;

use thiserror::Error;

use crate::key::{Fingerprint, ServerKey, mix};
use crate::load::{Estimate, LoadTracker};

/// How a class of requests is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingConfig {
    /// Most candidates with stale load information; all candidates with fresh information are
    /// considered.
    pub stale_candidates: usize,
    /// Load information no older than this counts as fresh.
    pub max_fresh_age: Duration,
    /// The first candidate that costs no more than this is chosen without considering further ones.
    pub acceptable_cost: Duration,
    /// If the best candidate's expected wait is at least this, and its load information is fresh,
    /// the request may wait in the agent's queue on any try. Otherwise every request would use up
    /// all its tries under overload.
    pub min_wait_to_queue: Duration,
    /// The request overtakes all waiting requests because of its priority.
    pub urgent: bool,
    /// A request with a longer expected wait is refused at the entry without a try. A lower class
    /// has a shorter limit, so it is shed first.
    pub max_wait: Duration,
    /// Most tries per request; the last one may wait in the agent's queue.
    pub max_tries: u32,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            stale_candidates: 3,
            max_fresh_age: Duration::from_millis(500),
            acceptable_cost: Duration::from_millis(2),
            min_wait_to_queue: Duration::from_millis(100),
            urgent: false,
            max_wait: Duration::from_secs(30),
            max_tries: 3,
        }
    }
}

/// The properties of a request that [`choose`] uses.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Seeds the ranking of candidates.
    pub fingerprint: Fingerprint,
    /// Backend servers that already refused or failed it.
    pub tried: &'a [ServerKey],
}

/// The chosen backend server and the estimates behind the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The server to send the request to.
    pub server: ServerKey,
    /// Expected wait plus the extra cost.
    pub cost: Duration,
    /// Number of candidates compared.
    pub candidates: usize,
    /// Estimated load of the server.
    pub estimate: Estimate,
    /// The agent should queue the request rather than refuse it early: no try is left, or all
    /// candidates have queues and another try would not find a shorter one.
    pub last_try: bool,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// Every backend server is leaving, suspect, already tried or excluded by its extra cost.
    #[error("no backend server is available")]
    NoneAvailable,
    /// The request has used [`RoutingConfig::max_tries`] tries.
    #[error("no tries are left")]
    NoTriesLeft,
    /// The best candidate's expected wait exceeds [`RoutingConfig::max_wait`].
    #[error("expected wait of {} ms is too long", .wait.as_millis())]
    Overloaded {
        /// The best candidate's expected wait, after which the request may be sent again.
        wait: Duration,
    },
}

/// Chooses one of `servers`, the backend servers of the request's cell.
///
/// `extra_cost` returns the time that a server would need for prefill that its cache does not cover
/// and for loading the model or adapter; `None` excludes the server.
///
/// # Errors
///
/// When no server may take the request, its wait would be too long, or no try is left.
///
/// ```
/// use flamingowheel_policy::key::{Fingerprint, ServerKey};
/// use flamingowheel_policy::load::{Load, LoadTracker};
/// use flamingowheel_policy::routing::{RouteRequest, RoutingConfig, choose};
/// use std::time::Duration;
/// let servers = [ServerKey::from_name("a"), ServerKey::from_name("b")];
/// let mut tracker = LoadTracker::default();
/// for (server, running) in servers.iter().zip([8, 1]) {
///     tracker.insert(*server);
///     let load = Load { running, waiting: 0, places: 8, service_ms: 2_000 };
///     tracker.on_current_load(*server, load, Duration::ZERO);
/// }
/// let request = RouteRequest { fingerprint: Fingerprint(1), tried: &[] };
/// let no_cost = |_| Some(Duration::ZERO);
/// let choice =
///     choose(&RoutingConfig::default(), &request, &servers, &tracker, Duration::ZERO, no_cost);
/// assert_eq!(choice.unwrap().server, servers[1]);
/// ```
pub fn choose<F>(
    config: &RoutingConfig,
    request: &RouteRequest<'_>,
    servers: &[ServerKey],
    loads: &LoadTracker,
    now: Duration,
    extra_cost: F,
) -> Result<Choice, RouteError>
where
    F: Fn(ServerKey) -> Option<Duration>,
{
    let tries = u32::try_from(request.tried.len()).unwrap_or(u32::MAX);
    if tries >= config.max_tries {
        return Err(RouteError::NoTriesLeft);
    }
    let is_last = tries + 1 == config.max_tries;
    let mut best: Option<Choice> = None;
    let mut considered = 0;
    let mut stale = 0;
    for server in ranking(request.fingerprint, request.tried, servers, loads) {
        let Some(estimate) = loads.estimate(server, now) else { continue };
        let is_stale = estimate.age > config.max_fresh_age;
        if is_stale && stale >= config.stale_candidates {
            continue;
        }
        let Some(extra) = extra_cost(server) else { continue };
        considered += 1;
        stale += usize::from(is_stale);
        let cost = expected_wait(config, &estimate) + extra;
        if best.is_none_or(|choice| cost < choice.cost) {
            best = Some(Choice { server, cost, candidates: 0, estimate, last_try: is_last });
        }
        if cost <= config.acceptable_cost {
            break;
        }
    }
    let best = best.ok_or(RouteError::NoneAvailable)?;
    let wait = expected_wait(config, &best.estimate);
    if wait > config.max_wait {
        return Err(RouteError::Overloaded { wait });
    }
    let is_fresh = best.estimate.age <= config.max_fresh_age;
    // An urgent request overtakes queues, so a queue does not predict its wait on another try.
    let all_have_queues = is_fresh && !config.urgent && wait >= config.min_wait_to_queue;
    let last_try = is_last || all_have_queues;
    Ok(Choice { candidates: considered, last_try, ..best })
}

/// Chooses a server for a suspect that must run alone: the first usable one in its fingerprint's
/// order that it has not crashed. Every entry sends every copy there and the agent runs one at a
/// time, so copies sent concurrently through many entries crash at most one backend server.
///
/// # Errors
///
/// When no server may take it.
///
/// ```
/// use flamingowheel_policy::key::{Fingerprint, ServerKey};
/// use flamingowheel_policy::load::LoadTracker;
/// use flamingowheel_policy::routing::choose_alone;
/// let servers = [ServerKey(1), ServerKey(2)];
/// let mut tracker = LoadTracker::default();
/// servers.iter().for_each(|server| assert!(tracker.insert(*server)));
/// let server = choose_alone(Fingerprint(1), &[servers[0]], &servers, &tracker);
/// assert_eq!(server, Ok(servers[1]));
/// ```
pub fn choose_alone(
    fingerprint: Fingerprint,
    crashed: &[ServerKey],
    servers: &[ServerKey],
    loads: &LoadTracker,
) -> Result<ServerKey, RouteError> {
    // A server that this entry has no link to may be usable, and other entries may have a link.
    let may_run = |server: &&ServerKey| {
        !crashed.contains(server)
            && (loads.is_usable(**server) || loads.availability(**server).is_none())
    };
    let seed = fingerprint.seed();
    let first = servers.iter().filter(may_run).min_by_key(|server| (mix(seed, server.0), **server));
    first.copied().ok_or(RouteError::NoneAvailable)
}

fn expected_wait(config: &RoutingConfig, estimate: &Estimate) -> Duration {
    if config.urgent { estimate.urgent_wait() } else { estimate.wait() }
}

/// The usable servers in the fingerprint's order, by rendezvous hashing.
fn ranking(
    fingerprint: Fingerprint,
    excluded: &[ServerKey],
    servers: &[ServerKey],
    loads: &LoadTracker,
) -> Vec<ServerKey> {
    let seed = fingerprint.seed();
    let mut ranked: Vec<(u64, ServerKey)> = servers
        .iter()
        .filter(|server| loads.is_usable(**server) && !excluded.contains(server))
        .map(|server| (mix(seed, server.0), *server))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, server)| server).collect()
}
