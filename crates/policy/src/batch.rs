//! Limits the number of requests in a rank group so that every stream meets the pause goal.
//!
//! When demand shifts, the most loaded rank of a group carries two or three times its share until
//! the expert map is rebalanced. All passes get longer by that ratio, and every stream in the batch
//! experiences the longest of them. A limit on the current pass time alone refills the group as
//! soon as passes are short; the next shift then delays the whole batch, which also drains more
//! slowly, and the group stays overloaded for as long as demand keeps shifting. So the number of
//! requests is limited to what the longest passes of the last seconds would have allowed. A limit
//! on the number also stays valid while passes are long; refusing everything then would make the
//! group oscillate between full and empty.

use std::collections::VecDeque;
use std::time::Duration;

/// Time constant of the mean number of an entry's requests in a group: shorter than the lifetime of
/// a stream, long enough that random variation at one entry isn't taken for the group's state.
const MEAN_TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// How long a long pass is kept. Contains a shift of demand where these recur within seconds.
const RETENTION: Duration = Duration::from_secs(4);

/// Length of the intervals of which only the most crowded pass is kept.
const SLOT_LENGTH: Duration = Duration::from_millis(250);

/// Time after a group has formed in which passes are ignored. The group starts with the first map
/// and with all requests that waited; none of those can meet the goal, and that load does not
/// recur.
const FORMATION_PERIOD: Duration = Duration::from_secs(4);

/// Share of the pause goal that the longest mean pass may take. Single passes are longer than the
/// mean when they prefill prompts, and one pass over the goal makes a stream late.
const GOAL_SHARE: f64 = 0.8;

/// Share of the pause goal above which a pass is used to estimate the limit. Shorter passes only
/// show that the group has room; a limit derived from them would refuse callers under normal load.
/// Below [`GOAL_SHARE`], so that a limit that works keeps being confirmed.
const INFORMATIVE_SHARE: f64 = 0.65;

/// Share of the retention time in which passes must have been long for a limit. A limit refuses
/// callers all the time, and protects streams only while passes are long.
const MIN_LONG_SHARE: f64 = 0.25;

/// Skew for which the lower bound of the limit is computed. Passes also get long when ranks stop or
/// are slow, and fewer requests would not shorten those.
const HIGH_SKEW: f64 = 3.0;

/// Lower bound of the limit, as a share of what the group can hold at [`HIGH_SKEW`].
const MIN_LIMIT_SHARE: f64 = 0.5;

/// Width of the range around the limit in which requests are admitted at random, relative to the
/// limit. One entry may have more requests than another while the group as a whole has room.
const SOFT_LIMIT_WIDTH: f64 = 0.4;

/// Pass time of a group as a function of one entry's requests, if all entries have equally many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassModel {
    /// Time of a pass without requests at even load, in milliseconds.
    pub fixed_ms: f64,
    /// Time that each request of the entry adds, in milliseconds.
    pub per_request_ms: f64,
    /// Share of the pass time that is proportional to the skew, from 0 to 1.
    pub expert_share: f64,
}

impl PassModel {
    /// Number of requests that would add as much time as the fixed part.
    fn fixed_requests(&self) -> f64 {
        self.fixed_ms / self.per_request_ms.max(f64::EPSILON)
    }

    /// Requests with which passes take `goal_ms` at [`HIGH_SKEW`].
    fn requests_at_high_skew(&self, goal_ms: f64) -> f64 {
        let ratio = 1.0 - self.expert_share + self.expert_share * HIGH_SKEW;
        (goal_ms / ratio - self.fixed_ms).max(0.0) / self.per_request_ms.max(f64::EPSILON)
    }
}

/// Estimates from past passes how many requests of an entry a group can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchLimit {
    first_observed_at: Option<Duration>,
    last_observed_at: Option<Duration>,
    /// Decayed mean of this entry's requests in the group.
    own_requests: f64,
    /// The most crowded pass of each interval, oldest first.
    slots: VecDeque<CrowdedPass>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct CrowdedPass {
    started_at: Duration,
    pass_ms: f64,
    /// Requests per millisecond of the pass, including [`PassModel::fixed_requests`].
    per_ms: f64,
}

impl BatchLimit {
    /// Records the mean pass time while the entry has `own_requests` requests in the group.
    pub fn observe(&mut self, pass_ms: f64, own_requests: u32, model: &PassModel, now: Duration) {
        self.update_own_requests(f64::from(own_requests), now);
        let first_observed_at = *self.first_observed_at.get_or_insert(now);
        if now.saturating_sub(first_observed_at) < FORMATION_PERIOD {
            return;
        }
        while self.slots.front().is_some_and(|pass| !pass.is_retained(now)) {
            self.slots.pop_front();
        }
        let per_ms = (self.own_requests + model.fixed_requests()) / pass_ms.max(1.0);
        match self.slots.back_mut() {
            Some(slot) if now.saturating_sub(slot.started_at) < SLOT_LENGTH => {
                if per_ms < slot.per_ms {
                    *slot = CrowdedPass { pass_ms, per_ms, ..*slot };
                }
            }
            _ => self.slots.push_back(CrowdedPass { started_at: now, pass_ms, per_ms }),
        }
    }

    fn update_own_requests(&mut self, own_requests: f64, now: Duration) {
        let since = self.last_observed_at.replace(now).map(|last| now.saturating_sub(last));
        let decay =
            since.map_or(0.0, |s| (-s.as_secs_f64() / MEAN_TIME_CONSTANT.as_secs_f64()).exp());
        self.own_requests = decay * self.own_requests + (1.0 - decay) * own_requests;
    }

    /// The most requests of the entry with which the longest recent passes would have stayed within
    /// `goal_ms`; `None` if passes rarely came near it.
    ///
    /// ```
    /// use flamingowheel_policy::batch::{BatchLimit, PassModel};
    /// use std::time::Duration;
    /// let model = PassModel { fixed_ms: 20.0, per_request_ms: 2.0, expert_share: 0.85 };
    /// let mut limit = BatchLimit::default();
    /// for second in 0..8 {
    ///     limit.observe(60.0, 10, &model, Duration::from_secs(second));
    /// }
    /// assert_eq!(limit.max_requests(120.0, &model, Duration::from_secs(8)), None);
    /// for tenth in 80..95 {
    ///     limit.observe(180.0, 10, &model, Duration::from_millis(tenth * 100));
    /// }
    /// assert!(limit.max_requests(120.0, &model, Duration::from_secs(9)).unwrap() < 10.0);
    /// ```
    pub fn max_requests(&self, goal_ms: f64, model: &PassModel, now: Duration) -> Option<f64> {
        let long_passes = self.long_passes(goal_ms, now);
        let long_time: Duration = long_passes.iter().map(|(_, lasted)| *lasted).sum();
        if long_time < RETENTION.mul_f64(MIN_LONG_SHARE) {
            return None;
        }
        let min_per_ms = long_passes.iter().map(|(pass, _)| pass.per_ms).reduce(f64::min)?;
        let limit = min_per_ms * goal_ms * GOAL_SHARE - model.fixed_requests();
        Some(limit.max(MIN_LIMIT_SHARE * model.requests_at_high_skew(goal_ms)))
    }

    /// The retained passes that came near `goal_ms`, with the lengths of their intervals.
    fn long_passes(&self, goal_ms: f64, now: Duration) -> Vec<(&CrowdedPass, Duration)> {
        let ends = self.slots.iter().skip(1).map(|next| next.started_at).chain([now]);
        let is_long = |(pass, _): &(&CrowdedPass, Duration)| {
            pass.is_retained(now) && pass.pass_ms >= INFORMATIVE_SHARE * goal_ms
        };
        let long_passes = self.slots.iter().zip(ends).filter(is_long);
        let with_length = long_passes
            .map(|(pass, end)| (pass, end.saturating_sub(pass.started_at).min(2 * SLOT_LENGTH)));
        with_length.collect()
    }
}

impl CrowdedPass {
    fn is_retained(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) <= RETENTION
    }
}

/// Ratio of an entry's requests to a randomly softened `limit`; above 1 a further request is
/// refused. `draw` is a random number between 0 and 1, drawn once per request.
///
/// ```
/// use flamingowheel_policy::batch::crowding;
/// assert!(crowding(10, 10.0, 0.9) < 1.0);
/// assert!(crowding(10, 10.0, 0.1) > 1.0);
/// ```
pub fn crowding(own_requests: u32, limit: f64, draw: f64) -> f64 {
    let softened = limit * (1.0 - SOFT_LIMIT_WIDTH / 2.0 + SOFT_LIMIT_WIDTH * draw);
    f64::from(own_requests) / softened.max(f64::EPSILON)
}
