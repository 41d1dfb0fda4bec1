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
use crate::load::{Availability, Estimate, LoadBook};

/// How many candidates are looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoutingConfig {
    /// Candidates whatever their knowledge's age.
    pub min_candidates: usize,
    /// Candidates when all knowledge is fresh.
    pub max_candidates: usize,
    /// Knowledge younger than this counts as fresh.
    pub fresh: Duration,
    /// Tries a request has in all; the last one may wait in the agent's queue.
    pub max_tries: u32,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            min_candidates: 4,
            max_candidates: 16,
            fresh: Duration::from_millis(250),
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
    /// This is the last try: ask the agent to queue it rather than to refuse early.
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
/// use flamingowheel_policy::load::{Load, LoadBook};
/// use flamingowheel_policy::routing::{RouteRequest, RoutingConfig, choose};
/// use std::time::Duration;
/// let servers = [ServerKey::from_name("a"), ServerKey::from_name("b")];
/// let mut book = LoadBook::default();
/// for (server, running) in servers.iter().zip([8, 1]) {
///     book.insert(*server);
///     let load = Load { running, waiting: 0, places: 8, service_ms: 2_000 };
///     book.on_fresh(*server, load, Duration::ZERO);
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
    book: &LoadBook,
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
    let last_try = tries + 1 == config.max_tries;
    let mut best: Option<Choice> = None;
    let mut looked_at = 0;
    let mut fresh = 0;
    for server in ranking(request, servers, book) {
        let Some(extra) = extra_cost(server) else { continue };
        let Some(estimate) = book.estimate(server, now) else { continue };
        looked_at += 1;
        fresh += usize::from(estimate.age <= config.fresh);
        let cost = estimate.wait() + extra;
        if best.is_none_or(|choice| cost < choice.cost) {
            best = Some(Choice { server, cost, candidates: 0, estimate, last_try });
        }
        if looked_at >= candidate_count(config, fresh, looked_at) {
            break;
        }
    }
    let best = best.ok_or(RouteError::NoneAvailable)?;
    Ok(Choice { candidates: looked_at, ..best })
}

/// Grows from the least to the most with the share of candidates whose knowledge is fresh.
fn candidate_count(config: &RoutingConfig, fresh: usize, looked_at: usize) -> usize {
    let span = config.max_candidates.saturating_sub(config.min_candidates);
    config.min_candidates + span * fresh / looked_at.max(1)
}

fn ranking(request: &RouteRequest<'_>, servers: &[ServerKey], book: &LoadBook) -> Vec<ServerKey> {
    let seed = request.fingerprint.seed();
    let mut ranked: Vec<(u64, ServerKey)> = servers
        .iter()
        .filter(|server| book.availability(**server) == Some(Availability::Available))
        .filter(|server| !request.tried.contains(server))
        .map(|server| (mix(seed, server.0), *server))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, server)| server).collect()
}
