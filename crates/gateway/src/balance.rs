//! Chooses a backend server for a request.

use crate::group::{Admission, Fullness, GroupLoad};
use crate::server::{Server, Standing};
use crate::view::View;
use std::cmp::Ordering;
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
/// let calm = Standing { in_flight: 0, failure_ratio: 0.0, latency_ms: Some(20.0),
///     is_paused: false, is_silent: false };
/// let busy = Standing { in_flight: 3, ..calm };
/// assert!(cost(&busy, 6) > cost(&calm, 6));
/// ```
pub fn cost(standing: &Standing, slots: u32) -> f64 {
    let latency_ms = standing.latency_ms.unwrap_or(UNKNOWN_LATENCY_MS).max(1.0);
    let fullness = f64::from(standing.in_flight) / f64::from(slots.max(1));
    latency_ms * (1.0 + 3.0 * fullness) * (1.0 + FAILURE_COST * standing.failure_ratio)
}

/// Pace from which a rank gets no requests while others can take them. All ranks of its group
/// wait for it, so that its own work is what the whole group lacks.
const SLOW_PACE: f64 = 1.3;

/// Ranks of a group, on average, among which the one with the fewest requests is chosen by report. All
/// entries hear the same, some tenths of a second late: of all ranks they would choose the same few.
const SAMPLED_RANKS: f64 = 3.0;

/// A server to send to, or why there is none.
#[derive(Clone, Debug)]
pub enum Choice {
    /// This one; with its group, if it is part of one.
    Send(Arc<Server>, Option<Arc<GroupLoad>>),
    /// Every group is full; how full the best one is.
    Busy(Fullness),
    /// No server takes work.
    Nobody,
}

/// The server for a request.
///
/// Servers in rank groups: the group with the cheapest passes, then its rank with
/// the fewest requests; none that is full, if the request asks for admission. Others: the cheapest
/// one. A paused or silent one only if all are.
pub fn choose(
    view: &View,
    service: &str,
    tried: &[Arc<Server>],
    admission: Option<&Admission>,
    now: Instant,
) -> Choice {
    let untried: Vec<&Arc<Server>> =
        view.servers_of(service).iter().filter(|server| !is_among(tried, server)).collect();
    if untried.is_empty() {
        return Choice::Nobody;
    }
    let ranked = untried.iter().map(|server| Ranked::new(view, server, admission, now));
    let by_order = |a: &Ranked<'_>, b: &Ranked<'_>| {
        a.order().partial_cmp(&b.order()).unwrap_or(Ordering::Equal)
    };
    let Some(best) = ranked.min_by(by_order) else {
        return Choice::Nobody;
    };
    match best.fullness {
        Some(fullness) if fullness.is_full() => Choice::Busy(fullness),
        _ => Choice::Send(Arc::clone(best.server), best.group),
    }
}

struct Ranked<'a> {
    server: &'a Arc<Server>,
    group: Option<Arc<GroupLoad>>,
    is_paused: bool,
    is_silent: bool,
    is_slow: bool,
    /// Of the group, if the request asks for admission.
    fullness: Option<Fullness>,
    group_cost: f64,
    /// Whether it is not among those drawn to choose from.
    is_left_out: bool,
    cost: f64,
}

impl<'a> Ranked<'a> {
    fn new(
        view: &View,
        server: &'a Arc<Server>,
        admission: Option<&Admission>,
        now: Instant,
    ) -> Self {
        let standing = server.standing(now);
        // Entries that know the same would otherwise all choose the same server.
        let spread = rand::random_range(0.9..1.1);
        let Standing { is_paused, is_silent, .. } = standing;
        match view.seats.get(&server.listed.address) {
            Some(seat) => {
                let is_reported_silent = seat.group.is_reported_silent(seat.rank, now);
                let report = seat.group.report_of(seat.rank, now);
                let reported = report.map(|r| r.requests + server.sent_since(r.taken_at));
                let requests = reported.unwrap_or(0).max(standing.in_flight);
                let drawn_share = SAMPLED_RANKS / seat.group.size().max(1) as f64;
                Self {
                    server,
                    group: Some(Arc::clone(&seat.group)),
                    is_paused,
                    is_silent: is_silent || seat.is_away || is_reported_silent == Some(true),
                    is_slow: seat.pace >= SLOW_PACE,
                    fullness: admission.map(|admission| seat.group.fullness(admission, now)),
                    group_cost: seat.group.cost(now),
                    is_left_out: report.is_some() && rand::random::<f64>() >= drawn_share,
                    cost: (f64::from(requests) + 0.5 + FAILURE_COST * standing.failure_ratio)
                        * spread,
                }
            }
            None => Self {
                server,
                group: None,
                is_paused,
                is_silent,
                is_slow: false,
                fullness: None,
                group_cost: 0.0,
                is_left_out: false,
                cost: cost(&standing, server.listed.slots) * spread,
            },
        }
    }

    /// Compared from left to right; the least is best.
    fn order(&self) -> (bool, bool, bool, f64, bool, bool, f64) {
        let is_full = self.fullness.is_some_and(|fullness| fullness.is_full());
        (
            self.is_paused,
            self.is_silent,
            is_full,
            self.group_cost,
            self.is_slow,
            self.is_left_out,
            self.cost,
        )
    }
}

fn is_among(tried: &[Arc<Server>], server: &Arc<Server>) -> bool {
    tried.iter().any(|tried| tried.listed.id == server.listed.id)
}
