//! Shares of workspaces in the room of a service, by their use at one entry.
//!
//! A workspace whose rate jumps far above what it usually sends takes the room of all others if
//! requests are admitted in order of arrival. Its usual rate is its weight, and weighted max-min
//! shares of the room say which part of its requests is surplus. A part of the requests is marked,
//! chosen at random, so that no entry needs to know what reaches the others: all of them see the
//! same ratio of a workspace's rate to its share (core-stateless fair queuing).

use crate::key::WorkspaceKey;
use std::collections::HashMap;
use std::time::Duration;

/// Time constant of the present rate: a few requests of each workspace at an entry.
const PRESENT: Duration = Duration::from_secs(3);

/// Time constant of the usual rate, longer than a burst.
const USUAL: Duration = Duration::from_secs(60);

/// Largest weight of a workspace, as a multiple of the mean: a rate that stays far above the others
/// becomes usual, but not its claim to the room.
const MAX_WEIGHT: f64 = 8.0;

/// Time for which all workspaces are taken to have sent equally much before the first request.
const PRIOR: Duration = Duration::from_secs(5);

/// Ratio of a workspace's present to its usual rate from which it presses.
const PRESSING_RATIO: f64 = 2.5;

/// Standard deviations, and requests, by which the present rate must exceed the usual one: an entry
/// sees few requests of each workspace, and some more may be chance.
const MARGIN: (f64, f64) = (2.0, 1.5);

/// Time between computations of the level of shares.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Number of workspaces above which those that have sent nothing for long are forgotten.
const MAX_WORKSPACES: usize = 256;

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Decayed {
    value: f64,
    at: Duration,
}

impl Decayed {
    pub(crate) fn add(&mut self, count: f64, constant: Duration, now: Duration) {
        self.value = self.value(constant, now) + count;
        self.at = self.at.max(now);
    }

    pub(crate) fn value(&self, constant: Duration, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at);
        self.value * (-since.as_secs_f64() / constant.as_secs_f64()).exp()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    present: Decayed,
    usual: Decayed,
    /// Share of the requests that is surplus, as of the last computation.
    surplus: f64,
}

/// The use of each workspace.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    uses: HashMap<WorkspaceKey, Use>,
    since: Option<Duration>,
    computed_at: Option<Duration>,
}

impl Shares {
    /// Records a request. Returns the share of the workspace's requests that is surplus, if a service
    /// has room for the share `room` of all requests.
    ///
    /// ```
    /// use flamingowheel_policy::{key::WorkspaceKey, shares::Shares};
    /// use std::time::Duration;
    /// let (mut shares, calm, loud) = (Shares::default(), WorkspaceKey(1), WorkspaceKey(2));
    /// let at = |request: u64| Duration::from_millis(request * 20);
    /// (0..1_000).for_each(|r| _ = shares.record(WorkspaceKey(r % 10), 1.0, at(r)));
    /// (1_000..1_100).for_each(|r| _ = shares.record(loud, 0.5, at(r)));
    /// assert!(shares.record(loud, 0.5, at(1_101)) > 0.3);
    /// assert_eq!(shares.record(calm, 0.5, at(1_101)), 0.0);
    /// ```
    pub fn record(&mut self, workspace: WorkspaceKey, room: f64, now: Duration) -> f64 {
        self.since.get_or_insert(now);
        let own = self.uses.entry(workspace).or_default();
        own.present.add(1.0, PRESENT, now);
        own.usual.add(1.0, USUAL, now);
        if self.age(now).is_none_or(|age| age >= REFRESH_INTERVAL) {
            self.computed_at = Some(now);
            self.forget(now);
            self.compute(room, now);
        }
        self.uses.get(&workspace).map_or(0.0, |own| own.surplus)
    }

    /// Time since the shares were computed.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.computed_at.map(|at| now.saturating_sub(at))
    }

    fn forget(&mut self, now: Duration) {
        if self.uses.len() > MAX_WORKSPACES {
            self.uses.retain(|_, own| own.usual.value(USUAL, now) > 0.05);
        }
    }

    fn compute(&mut self, room: f64, now: Duration) {
        let count = |own: &Use| own.usual.value(USUAL, now);
        let total: f64 = self.uses.values().map(count).sum();
        let mean = total / self.uses.len().max(1) as f64;
        let observed = now.saturating_sub(self.since.unwrap_or(now));
        let (observed_s, prior_s) = (span_s(USUAL, observed), PRIOR.as_secs_f64());
        let scale = span_s(PRESENT, observed) / observed_s.max(f64::EPSILON);
        let prior = mean * prior_s / observed_s.max(f64::EPSILON);
        // The prior has no influence on the mean.
        let shrink = observed_s / (observed_s + prior_s);
        let usual = |own: &Use| (count(own) + prior) * shrink * scale;
        let mean = mean * scale;
        let claims: Vec<(WorkspaceKey, f64, f64)> = self
            .uses
            .iter()
            .map(|(key, own)| {
                let weight = usual(own).clamp(mean / MAX_WEIGHT, mean * MAX_WEIGHT);
                (*key, own.present.value(PRESENT, now), weight)
            })
            .collect();
        let level = max_min_level(&claims, room);
        let is_alone = claims.len() < 2;
        for (key, present, weight) in claims {
            let fair = (level * weight).max(weight);
            let (deviations, requests) = MARGIN;
            let chance = weight + deviations * weight.sqrt() + requests;
            let presses = present > chance && present > PRESSING_RATIO * weight;
            let is_over = room < 1.0 && presses && !is_alone && present > fair;
            let surplus = if is_over { 1.0 - fair / present } else { 0.0 };
            if let Some(own) = self.uses.get_mut(&key) {
                own.surplus = surplus;
            }
        }
    }
}

/// The time that a count decaying with `constant` stands for, if it began `observed` ago.
fn span_s(constant: Duration, observed: Duration) -> f64 {
    let constant_s = constant.as_secs_f64();
    constant_s * (1.0 - (-observed.as_secs_f64() / constant_s).exp())
}

/// The number of requests for each unit of weight, up to which every workspace is served if there is
/// room for the share `room` of all.
fn max_min_level(claims: &[(WorkspaceKey, f64, f64)], room: f64) -> f64 {
    let ratio =
        |(_, present, weight): &(WorkspaceKey, f64, f64)| present / weight.max(f64::EPSILON);
    let mut by_ratio: Vec<&(WorkspaceKey, f64, f64)> = claims.iter().collect();
    by_ratio.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let mut left = room * claims.iter().map(|(_, present, _)| present).sum::<f64>();
    let mut weights: f64 = claims.iter().map(|(_, _, weight)| weight).sum();
    for claim in by_ratio {
        let level = left / weights.max(f64::EPSILON);
        if ratio(claim) >= level {
            return level;
        }
        left -= claim.1;
        weights -= claim.2;
    }
    f64::INFINITY
}
