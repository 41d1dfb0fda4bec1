//! How many requests a rank group may hold for every stream in it to be in time.
//!
//! When demand shifts, the most loaded rank of a group carries two or three times its share until
//! the map is even again. All passes get longer by that ratio, and each stream in the batch meets
//! the longest of them. A limit on the passes as they are now fills the group again as soon as they
//! are short, and the next shift makes the whole batch late, which then leaves more slowly: the
//! group stays in that state for as long as shifts go on. So the number of requests is bounded by what
//! the longest passes of the last seconds would have allowed. A number also holds while passes are long,
//! where refusing everything would swing between a full and an empty group.

use std::collections::VecDeque;
use std::time::Duration;

/// Memory of an entry's mean number of requests in a group: shorter than the life of a stream, long
/// enough that chance at one entry does not pass for the state of the group.
const OWN_MEMORY: Duration = Duration::from_millis(1_500);

/// How long a long pass counts: the usual time from one shift of demand to the next.
const REMEMBERED: Duration = Duration::from_secs(4);

/// Time for which one value stands in what is remembered.
const SLOT: Duration = Duration::from_millis(250);

/// Time after a group has formed in which nothing is learnt. It begins with the first map and with
/// all requests that waited; none of those can be in time, and what they meet does not come again.
const FORMING: Duration = Duration::from_secs(4);

/// Share of the pause goal that the longest mean pass may take. Single passes are longer by the prompts
/// that are read in them, and one over the goal makes a stream late.
const GOAL_SHARE: f64 = 0.8;

/// Share of the pause goal from which a pass says what the group can hold. Shorter ones show that there is
/// room; a number worked out from them would hold callers back on calm days. Below [`GOAL_SHARE`], so that
/// a bound that works is not forgotten.
const TELLING_SHARE: f64 = 0.65;

/// Skew that the least bound is made for. Passes also get long by stops and by slow ranks, where
/// fewer requests would not make them short.
const HIGH_SKEW: f64 = 3.0;

/// Part of what a group could hold at [`HIGH_SKEW`] that is always admitted.
const LEAST_SHARE: f64 = 0.5;

/// Width of the range around the bound in which requests are admitted by chance. One entry has
/// more requests by chance than another, while the group as a whole has room.
const SOFT_RANGE: f64 = 0.4;

/// How a group's passes grow with the requests of one entry, if all entries have as many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PassModel {
    /// An even pass without requests, in milliseconds.
    pub fixed_ms: f64,
    /// Added by each request of the entry, in milliseconds.
    pub per_request_ms: f64,
    /// Share of a pass that grows with the skew.
    pub expert_share: f64,
}

impl PassModel {
    /// Requests that take as long as the fixed part.
    fn fixed_requests(&self) -> f64 {
        self.fixed_ms / self.per_request_ms.max(f64::EPSILON)
    }

    /// Requests with which passes take `goal_ms` at [`HIGH_SKEW`].
    fn at_high_skew(&self, goal_ms: f64) -> f64 {
        let ratio = 1.0 - self.expert_share + self.expert_share * HIGH_SKEW;
        (goal_ms / ratio - self.fixed_ms).max(0.0) / self.per_request_ms.max(f64::EPSILON)
    }
}

/// What an entry has learnt of how many of its requests a group can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchLimit {
    first_at: Option<Duration>,
    last_at: Option<Duration>,
    /// Mean number of own requests.
    own: f64,
    /// The most crowded pass of each slot.
    crowded: VecDeque<Crowded>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Crowded {
    slot_at: Duration,
    pass_ms: f64,
    /// Requests, the fixed part counted as some, that the pass held for each of its milliseconds.
    per_ms: f64,
}

impl BatchLimit {
    /// Takes in the mean pass while the entry has `own` requests in the group.
    pub fn observe(&mut self, pass_ms: f64, own: u32, model: &PassModel, now: Duration) {
        self.note_own(f64::from(own), now);
        let first_at = *self.first_at.get_or_insert(now);
        if now.saturating_sub(first_at) < FORMING {
            return;
        }
        while self.crowded.front().is_some_and(|pass| !pass.is_remembered(now)) {
            self.crowded.pop_front();
        }
        let per_ms = (self.own + model.fixed_requests()) / pass_ms.max(1.0);
        match self.crowded.back_mut() {
            Some(slot) if now.saturating_sub(slot.slot_at) < SLOT => {
                if per_ms < slot.per_ms {
                    *slot = Crowded { pass_ms, per_ms, ..*slot };
                }
            }
            _ => self.crowded.push_back(Crowded { slot_at: now, pass_ms, per_ms }),
        }
    }

    fn note_own(&mut self, own: f64, now: Duration) {
        let since = self.last_at.replace(now).map(|last| now.saturating_sub(last));
        let kept = since.map_or(0.0, |s| (-s.as_secs_f64() / OWN_MEMORY.as_secs_f64()).exp());
        self.own = kept * self.own + (1.0 - kept) * own;
    }

    /// Most requests of the entry with which the longest passes would be within `goal_ms`; `None`
    /// while no pass came near it.
    ///
    /// ```
    /// use flamingowheel_policy::batch::{BatchLimit, PassModel};
    /// use std::time::Duration;
    /// let model = PassModel { fixed_ms: 20.0, per_request_ms: 2.0, expert_share: 0.85 };
    /// let mut bound = BatchLimit::default();
    /// for second in 0..8 {
    ///     bound.observe(60.0, 10, &model, Duration::from_secs(second));
    /// }
    /// assert_eq!(bound.max_requests(120.0, &model, Duration::from_secs(8)), None);
    /// bound.observe(180.0, 10, &model, Duration::from_secs(8));
    /// assert!(bound.max_requests(120.0, &model, Duration::from_secs(8)).unwrap() < 10.0);
    /// ```
    pub fn max_requests(&self, goal_ms: f64, model: &PassModel, now: Duration) -> Option<f64> {
        let is_telling =
            |pass: &&Crowded| pass.is_remembered(now) && pass.pass_ms >= TELLING_SHARE * goal_ms;
        let telling = self.crowded.iter().filter(is_telling);
        let least_per_ms = telling.map(|pass| pass.per_ms).reduce(f64::min)?;
        let bound = least_per_ms * goal_ms * GOAL_SHARE - model.fixed_requests();
        Some(bound.max(LEAST_SHARE * model.at_high_skew(goal_ms)))
    }
}

impl Crowded {
    fn is_remembered(&self, now: Duration) -> bool {
        now.saturating_sub(self.slot_at) <= REMEMBERED
    }
}

/// By how much an entry with `own` requests is above the bound, as a ratio; above 1 a further request
/// is refused. `draw` is a random number between 0 and 1, drawn once a request.
///
/// ```
/// use flamingowheel_policy::batch::crowding;
/// assert!(crowding(10, 10.0, 0.9) < 1.0);
/// assert!(crowding(10, 10.0, 0.1) > 1.0);
/// ```
pub fn crowding(own: u32, bound: f64, draw: f64) -> f64 {
    let softened = bound * (1.0 - SOFT_RANGE / 2.0 + SOFT_RANGE * draw);
    f64::from(own) / softened.max(f64::EPSILON)
}
