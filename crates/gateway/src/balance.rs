//! Chooses a backend server for a request.

use crate::group::{Admission, Fullness, GroupLoad};
use crate::homes::Homes;
use crate::server::{Server, ServerStatus};
use crate::view::View;
use flamingowheel_policy::speeds::{self, Typical};
use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Weight of a server's failure ratio in its cost: a server that fails half of its requests appears
/// five times as slow, so it gets work only while the others are full.
const FAILURE_COST: f64 = 8.0;

/// Assumed latency of a server before its first answer, in milliseconds: short, so that a new
/// server is tried soon.
const UNKNOWN_LATENCY_MS: f64 = 5.0;

/// The same for a request that has failed at another server: it goes to one that is known to answer.
const UNKNOWN_LATENCY_OF_RETRY_MS: f64 = 1_000.0;

/// Cost of a request at a server: the expected time to its answer, in milliseconds, increased by
/// the failure ratio.
///
/// ```
/// use flamingowheel_gateway::{balance::cost, server::ServerStatus};
/// let idle = ServerStatus { in_flight: 0, failure_ratio: 0.0, latency_ms: Some(20.0),
///     is_in_backoff: false, is_silent: false, is_leaving: false, is_admitting: true, can_ask: false, share: 1.0 };
/// let busy = ServerStatus { in_flight: 3, ..idle };
/// assert!(cost(&busy, 6) > cost(&idle, 6));
/// ```
pub fn cost(status: &ServerStatus, slots: u32) -> f64 {
    cost_with(status, slots, UNKNOWN_LATENCY_MS)
}

fn cost_with(status: &ServerStatus, slots: u32, unknown_latency_ms: f64) -> f64 {
    // A new server shows its speed with one request before it gets more.
    let is_tried = status.share < 1.0 && status.in_flight > 0;
    let unknown_latency_ms =
        if is_tried { UNKNOWN_LATENCY_OF_RETRY_MS } else { unknown_latency_ms };
    let latency_ms = status.latency_ms.unwrap_or(unknown_latency_ms).max(1.0);
    let fullness = f64::from(status.in_flight) / f64::from(slots.max(1));
    latency_ms * (1.0 + 3.0 * fullness) * (1.0 + FAILURE_COST * status.failure_ratio)
}

/// Relative pass time from which a rank gets no requests while others can take them. All ranks of
/// the group wait for the slowest one, so its own work delays the whole group.
const SLOW_PACE: f64 = 1.3;

/// Mean number of ranks of a group that are sampled, among which the one with the fewest reported
/// requests is chosen. All entries receive the same reports, some tenths of a second late; without
/// sampling they would all choose the same few ranks.
const SAMPLED_RANKS: f64 = 3.0;

/// The server chosen for a request, or why there is none.
#[derive(Clone, Debug)]
pub enum Choice {
    /// Send to this server; with its group, if it is part of one.
    Send(Arc<Server>, Option<Arc<GroupLoad>>),
    /// Every group is full; the fullness of the best one.
    Busy(Fullness),
    /// No untried server takes a request now; the shortest time after which one may.
    Held(Duration),
    /// The data centres of all servers are evacuated.
    Evacuated,
    /// Servers are listed, but none in a region in which the request may be processed.
    NoHome,
    /// No untried server is listed, or all that are leave.
    NoServer,
}

/// A choice, and the limited server that would have been chosen if there were a permit for it.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The choice.
    pub choice: Choice,
    /// The server to ask a permit for.
    pub wanted: Option<Arc<Server>>,
}

/// Chooses the server for a request.
///
/// Servers in rank groups: the group with the lowest cost, then its rank with the fewest requests;
/// no full group if the request has an admission condition. Other servers: the one with the lowest
/// cost. Servers that are silent or in backoff are chosen only if all are. Limited servers are chosen
/// only with a permit.
pub fn choose(
    view: &View,
    service: &str,
    tried: &[Arc<Server>],
    admission: Option<&Admission>,
    now: Instant,
) -> Chosen {
    choose_at_home(view, service, tried, admission, Homes::default(), now)
}

/// Chooses the server for a request that may only be processed in some regions; see [`choose`].
pub fn choose_at_home(
    view: &View,
    service: &str,
    tried: &[Arc<Server>],
    admission: Option<&Admission>,
    homes: Homes<'_>,
    now: Instant,
) -> Chosen {
    let typical = typical_time(view, service, now);
    let (mut best, mut wanted, mut wait) = (None, None, None);
    let is_eligible = |server: &&Arc<Server>| {
        !is_among(tried, server) && !server.is_evacuated() && homes.admit(view.region_of(server))
    };
    for server in view.servers_of(service).iter().filter(is_eligible) {
        let mut candidate = Candidate::new(view, server, admission, !tried.is_empty(), now);
        if let Some(typical) = &typical {
            candidate.set_share(typical, tried.is_empty(), now);
        }
        if candidate.is_leaving {
            continue;
        }
        if candidate.is_admitting {
            keep_better(&mut best, candidate);
            continue;
        }
        let server_wait = server.wait(now);
        wait = Some(wait.map_or(server_wait, |wait: Duration| wait.min(server_wait)));
        if candidate.can_ask {
            keep_better(&mut wanted, candidate);
        }
    }
    let is_wanted = |wanted: &Candidate<'_>| {
        best.as_ref().is_none_or(|best: &Candidate<'_>| wanted.compare(best).is_lt())
    };
    let wanted = wanted.filter(is_wanted).map(|wanted| Arc::clone(wanted.server));
    let choice = match (best, wait) {
        (Some(Candidate { fullness: Some(fullness), .. }), _) if fullness.is_full() => {
            Choice::Busy(fullness)
        }
        (Some(best), _) => Choice::Send(Arc::clone(best.server), best.group),
        (None, Some(wait)) => Choice::Held(wait),
        (None, None) => without_candidate(view, service, homes, now),
    };
    Chosen { choice, wanted }
}

/// Why no server can be chosen.
fn without_candidate(view: &View, service: &str, homes: Homes<'_>, now: Instant) -> Choice {
    let servers = view.servers_of(service);
    let is_home = |server: &&Arc<Server>| homes.admit(view.region_of(server));
    if !servers.is_empty() && !servers.iter().any(|server| is_home(&server)) {
        return Choice::NoHome;
    }
    let mut staying =
        servers.iter().filter(is_home).filter(|server| !server.status(now).is_leaving).peekable();
    let is_evacuated = staying.peek().is_some() && staying.all(|server| server.is_evacuated());
    if is_evacuated { Choice::Evacuated } else { Choice::NoServer }
}

/// The cold server that a permit was `asked` for, if there is one now and `choice` is another server:
/// an unused permit is lost to all entries.
pub fn prefer_permitted(
    choice: Choice,
    view: &View,
    asked: Option<&Arc<Server>>,
    now: Instant,
) -> Choice {
    let is_permitted = |server: &&Arc<Server>| {
        let status = server.status(now);
        let is_cold = !server.cold_left(now).is_zero();
        let is_open = !server.is_evacuated() && !status.is_leaving && !status.is_in_backoff;
        is_cold && is_open && status.is_admitting
    };
    match (choice, asked.filter(is_permitted)) {
        (Choice::Send(..), Some(server)) => {
            let group = view.group_ranks.get(&server.listed.address).map(|rank| &rank.group);
            Choice::Send(Arc::clone(server), group.cloned())
        }
        (choice, _) => choice,
    }
}

/// The typical time of a service's servers; `None` if they are ranks of groups, or too few are known.
fn typical_time(view: &View, service: &str, now: Instant) -> Option<Typical> {
    if !view.is_uneven {
        return None;
    }
    let servers = view.servers_of(service);
    let is_rank = |server: &Arc<Server>| view.group_ranks.contains_key(&server.listed.address);
    if servers.first().is_none_or(is_rank) {
        return None;
    }
    let known_ms = servers.iter().filter_map(|server| server.latency(now)).map(|(ms, _)| ms);
    Typical::new(known_ms.collect(), servers.len())
}

fn keep_better<'a>(best: &mut Option<Candidate<'a>>, candidate: Candidate<'a>) {
    if best.as_ref().is_none_or(|best| candidate.compare(best).is_lt()) {
        *best = Some(candidate);
    }
}

struct Candidate<'a> {
    server: &'a Arc<Server>,
    group: Option<Arc<GroupLoad>>,
    is_in_backoff: bool,
    is_silent: bool,
    is_slow: bool,
    is_leaving: bool,
    is_admitting: bool,
    can_ask: bool,
    /// Fullness of the group, if the request has an admission condition.
    fullness: Option<Fullness>,
    group_cost: f64,
    /// Whether it is not the turn of a slow server.
    is_not_due: bool,
    /// Whether the rank was not sampled.
    is_not_sampled: bool,
    cost: f64,
}

impl<'a> Candidate<'a> {
    fn new(
        view: &View,
        server: &'a Arc<Server>,
        admission: Option<&Admission>,
        is_retry: bool,
        now: Instant,
    ) -> Self {
        let status = server.status(now);
        let unknown_latency_ms =
            if is_retry { UNKNOWN_LATENCY_OF_RETRY_MS } else { UNKNOWN_LATENCY_MS };
        // Keeps entries with the same information from all choosing the same server.
        let spread = rand::random_range(0.9..1.1);
        let ServerStatus { is_in_backoff, is_silent, is_leaving, is_admitting, can_ask, .. } =
            status;
        let is_elsewhere = view
            .data_centre
            .as_deref()
            .is_some_and(|data_centre| data_centre != server.listed.data_centre);
        let is_far = view.is_uneven && is_elsewhere;
        match view.group_ranks.get(&server.listed.address) {
            Some(group_rank) => {
                let is_reported_silent = group_rank.group.is_reported_silent(group_rank.rank, now);
                let report = group_rank.group.rank_report(group_rank.rank, now);
                let reported = report.map(|r| r.requests + server.sent_since(r.taken_at));
                let requests = reported.unwrap_or(0).max(status.in_flight);
                let open_ranks = group_rank.group.size() as f64 * group_rank.group.open_share();
                let sampled_share = SAMPLED_RANKS / open_ranks.max(1.0);
                Self {
                    server,
                    group: Some(Arc::clone(&group_rank.group)),
                    is_in_backoff,
                    is_silent: is_silent || group_rank.is_away || is_reported_silent == Some(true),
                    is_slow: group_rank.pace >= SLOW_PACE,
                    is_leaving,
                    is_admitting,
                    can_ask,
                    fullness: admission
                        .filter(|admission| admission.pause_goal_ms > 0.0)
                        .map(|admission| group_rank.group.fullness(admission, now)),
                    group_cost: group_rank.group.cost(now),
                    is_not_due: true,
                    is_not_sampled: report.is_some() && rand::random::<f64>() >= sampled_share,
                    cost: (f64::from(requests) + 0.5 + FAILURE_COST * status.failure_ratio)
                        / status.share
                        * spread,
                }
            }
            None => Self {
                server,
                group: None,
                is_in_backoff,
                is_silent,
                is_slow: false,
                is_leaving,
                is_admitting,
                can_ask,
                fullness: admission
                    .filter(|admission| admission.pause_goal_ms <= 0.0)
                    .and_then(|admission| plain_fullness(&status, admission)),
                group_cost: 0.0,
                is_not_due: true,
                is_not_sampled: false,
                cost: cost_with(&status, server.listed.slots, unknown_latency_ms)
                    * speeds::distance_factor(is_far)
                    * spread,
            },
        }
    }

    /// Gives a slow server that is not full the share that its speed allows. Retries go to the others.
    fn set_share(&mut self, typical: &Typical, is_first: bool, now: Instant) {
        let Some((observed_ms, age)) = self.server.latency(now) else {
            return;
        };
        let expected_ms = typical.expected_ms(observed_ms, age);
        self.cost *= expected_ms.max(1.0) / observed_ms.max(1.0);
        let has_room = || self.server.status(now).in_flight < self.server.listed.slots;
        let is_due = is_first && typical.is_due(expected_ms, rand::random()) && has_room();
        self.is_not_due = !is_due;
        if is_due {
            tracing::debug!(
                server = self.server.listed.id,
                expected_ms,
                typical_ms = typical.time_ms,
                "share of a slow server"
            );
        }
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.sort_key().partial_cmp(&other.sort_key()).unwrap_or(Ordering::Equal)
    }

    /// Sort key, compared from left to right; the lowest is best.
    fn sort_key(&self) -> (bool, bool, bool, f64, bool, bool, bool, f64) {
        let is_full = self.fullness.is_some_and(|fullness| fullness.is_full());
        (
            self.is_in_backoff,
            self.is_silent,
            is_full,
            self.group_cost,
            self.is_slow,
            self.is_not_due,
            self.is_not_sampled,
            self.cost,
        )
    }
}

/// How full a server without a group is: its answers take long once requests queue there.
fn plain_fullness(status: &ServerStatus, admission: &Admission) -> Option<Fullness> {
    let latency_ms = status.latency_ms?;
    let limit_ms = admission.pass_limit_ms * (1.0 - admission.cut);
    Some(Fullness {
        crowding: latency_ms / limit_ms.max(1.0),
        own_requests: status.in_flight,
        limit: None,
        pass_ms: latency_ms,
        rise: 1.0,
        occupancy: None,
        report_age: None,
    })
}

fn is_among(tried: &[Arc<Server>], server: &Arc<Server>) -> bool {
    tried.iter().any(|tried| tried.listed.id == server.listed.id)
}
