//! Which backend server gets a request.
//!
//! Candidates are ranked by a hash of the request's fingerprint and the server, so that identical
//! bodies meet the same few servers from every entry. Of the first few, the one with the least
//! expected cost wins: predicted wait, prefill that no cached prefix covers, and the time to load
//! a model or adapter. How many are looked at follows how fresh the knowledge is: many entries that
//! pick the best of many by the same stale report would all pick the same one.

use std::time::Duration;

use thiserror::Error;

use crate::key::{Fingerprint, ServerKey, mix};
use crate::load::{Estimate, LoadTracker};

/// How a class of requests is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingConfig {
    /// Candidates with older knowledge than `max_fresh_age`; all with fresh knowledge are looked at.
    pub stale_candidates: usize,
    /// Knowledge no older than this counts as fresh.
    pub max_fresh_age: Duration,
    /// The first candidate that costs no more than this is taken without looking further.
    pub acceptable_cost: Duration,
    /// From this expected wait at the best candidate on, a request may wait in the agent's queue
    /// whatever its try, if the knowledge is fresh. Otherwise every request would use up all its tries under overload.
    pub min_wait_to_queue: Duration,
    /// The request's priority lets it overtake all that wait.
    pub urgent: bool,
    /// A longer expected wait than this is refused at the entry rather than tried. A lower class
    /// gets a shorter one and so is shed first.
    pub max_wait: Duration,
    /// Tries a request has in all; the last one may wait in the agent's queue.
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

/// What routing needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Seeds the ranking of candidates.
    pub fingerprint: Fingerprint,
    /// Backend servers that refused or failed it already.
    pub tried: &'a [ServerKey],
}

/// The backend server that was chosen, and why.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Where to send it.
    pub server: ServerKey,
    /// Expected wait plus the extra cost, in all.
    pub cost: Duration,
    /// Candidates that were compared.
    pub candidates: usize,
    /// What was expected of the server.
    pub estimate: Estimate,
    /// Ask the agent to queue it rather than to refuse early: no try is left, or all candidates
    /// have queues and another try would find no better.
    pub last_try: bool,
}

/// Why no backend server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// Every backend server is leaving, suspect, tried or ruled out by its extra cost.
    #[error("no backend server is available")]
    NoneAvailable,
    /// The request has used up its tries.
    #[error("no tries are left")]
    NoTriesLeft,
    /// Even the best candidate would keep the request waiting for too long.
    #[error("expected wait of {} ms is too long", .wait.as_millis())]
    Overloaded {
        /// The best candidate's expected wait: try again after it.
        wait: Duration,
    },
}

/// Chooses among `servers`, those of the request's cell.
///
/// `extra_cost` gives the time that a server would need for prefill that its cache does not cover
/// and for loading the model or adapter; `None` rules the server out.
///
/// # Errors
///
/// When no server may take the request or it has no try left.
///
/// ```
/// use flamingowheel_policy::key::{Fingerprint, ServerKey};
/// use flamingowheel_policy::load::{Load, LoadTracker};
/// use flamingowheel_policy::routing::{RouteRequest, RoutingConfig, choose};
/// use std::time::Duration;
/// let servers = [ServerKey::from_name("a"), ServerKey::from_name("b")];
/// let mut book = LoadTracker::default();
/// for (server, running) in servers.iter().zip([8, 1]) {
///     book.insert(*server);
///     let load = Load { running, waiting: 0, places: 8, service_ms: 2_000 };
///     book.on_current_load(*server, load, Duration::ZERO);
/// }
/// let request = RouteRequest { fingerprint: Fingerprint(1), tried: &[] };
/// let no_cost = |_| Some(Duration::ZERO);
/// let choice =
///     choose(&RoutingConfig::default(), &request, &servers, &book, Duration::ZERO, no_cost);
/// assert_eq!(choice.unwrap().server, servers[1]);
/// ```
pub fn choose<F>(
    config: &RoutingConfig,
    request: &RouteRequest<'_>,
    servers: &[ServerKey],
    book: &LoadTracker,
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
    let mut looked_at = 0;
    let mut stale = 0;
    for server in ranking(request.fingerprint, request.tried, servers, book) {
        let Some(estimate) = book.estimate(server, now) else { continue };
        let is_stale = estimate.age > config.max_fresh_age;
        if is_stale && stale >= config.stale_candidates {
            continue;
        }
        let Some(extra) = extra_cost(server) else { continue };
        looked_at += 1;
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
    // An urgent request overtakes queues, so a queue does not tell what another try would find.
    let queues = is_fresh && !config.urgent && wait >= config.min_wait_to_queue;
    let last_try = is_last || queues;
    Ok(Choice { candidates: looked_at, last_try, ..best })
}

/// Chooses for a suspect that must run alone: the first usable server in its fingerprint's order
/// that it has not crashed. Every entry sends every copy there, and the agent runs one at a time, so
/// copies sent at once through many entries cost one backend server.
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
/// let mut book = LoadTracker::default();
/// servers.iter().for_each(|server| assert!(book.insert(*server)));
/// let server = choose_alone(Fingerprint(1), &[servers[0]], &servers, &book);
/// assert_eq!(server, Ok(servers[1]));
/// ```
pub fn choose_alone(
    fingerprint: Fingerprint,
    crashed: &[ServerKey],
    servers: &[ServerKey],
    book: &LoadTracker,
) -> Result<ServerKey, RouteError> {
    // A server that this entry has no link to may well be usable, and other entries know it is.
    let may_run = |server: &&ServerKey| {
        !crashed.contains(server)
            && (book.is_usable(**server) || book.availability(**server).is_none())
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
    book: &LoadTracker,
) -> Vec<ServerKey> {
    let seed = fingerprint.seed();
    let mut ranked: Vec<(u64, ServerKey)> = servers
        .iter()
        .filter(|server| book.is_usable(**server) && !excluded.contains(server))
        .map(|server| (mix(seed, server.0), *server))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, server)| server).collect()
}
