//! Admission to a rank group by its pass time.
//!
//! All ranks of a group execute each pass together, and every stream of the group gets one event
//! per pass. Once passes take longer than the pause that callers accept, all streams of the group
//! are late at once, however small the excess of requests is. So new requests are refused before
//! that point. A request stays in the batch for about twenty passes, so the batch shrinks by a
//! twentieth per pass while nothing is admitted. That is slow enough for all entries to act on the
//! same pass time without coordination.

use std::collections::VecDeque;
use std::time::Duration;

/// Time constant of the mean pass time: one to two passes near the limit, so that admission reacts
/// within two passes to a shift of demand that lengthens them.
const TIME_CONSTANT: Duration = Duration::from_millis(150);

/// Age from which the last observed pass no longer predicts the next one: a third of the batch has
/// changed.
const MAX_AGE: Duration = Duration::from_millis(700);

/// Longest pause that counts as a pass. Longer ones are interruptions: a group that is formed anew
/// or waits for a rank.
const MAX_PASS_MS: f64 = 600.0;

/// Share of the pause goal that the mean pass may take while requests are admitted. Single passes
/// vary by a third around the mean with the prompts that they prefill, and one pause over the goal
/// among twenty makes a stream late.
const ADMITTED_SHARE: f64 = 0.75;

/// Like [`ADMITTED_SHARE`], for a request that was refused before and was sent again after the
/// given delay. A second refusal costs it more than a first one costs a new request.
const RETRIED_SHARE: f64 = 0.8;

/// Random variation of the limit between requests, to either side. All entries observe the same
/// passes; without it they would admit and refuse in lockstep.
const LIMIT_SPREAD: f64 = 0.06;

/// Passes in which a batch shrinks by two thirds while nothing is admitted.
const PASSES_PER_REQUEST: f64 = 20.0;

/// Shortest and longest retry delay, in milliseconds. Within the shortest the batch hardly changes;
/// the longest outlasts the peak of most bursts and leaves the caller most of its deadline.
const RETRY_AFTER_MS: (f64, f64) = (250.0, 2_000.0);

/// Decayed mean of a group's pass times, as observed from the pauses of its streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PassTime {
    mean_ms: f64,
    observed_at: Option<Duration>,
}

impl PassTime {
    /// Records a pause between two events of a stream. Pauses of several streams that end at the
    /// same time belong to one pass and count once.
    ///
    /// ```
    /// use flamingowheel_policy::passes::PassTime;
    /// use std::time::Duration;
    /// let mut passes = PassTime::default();
    /// passes.observe(80.0, Duration::from_millis(100));
    /// assert_eq!(passes.mean_ms(Duration::from_millis(120)), Some(80.0));
    /// assert_eq!(passes.mean_ms(Duration::from_secs(2)), None);
    /// ```
    pub fn observe(&mut self, pause_ms: f64, now: Duration) {
        if pause_ms > MAX_PASS_MS {
            return;
        }
        let Some(last) = self.observed_at.filter(|last| now.saturating_sub(*last) < MAX_AGE) else {
            *self = Self { mean_ms: pause_ms, observed_at: Some(now) };
            return;
        };
        let since = now.saturating_sub(last);
        let weight = 1.0 - (-since.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        self.mean_ms += weight * (pause_ms - self.mean_ms);
        self.observed_at = Some(now);
    }

    /// The mean pass time in milliseconds; `None` if no pass was observed recently.
    pub fn mean_ms(&self, now: Duration) -> Option<f64> {
        let observed_at = self.observed_at?;
        (now.saturating_sub(observed_at) < MAX_AGE).then_some(self.mean_ms)
    }
}

/// The longest mean pass time at which a request is admitted, in milliseconds. `draw` is a random
/// number between 0 and 1, drawn once per request.
///
/// ```
/// use flamingowheel_policy::passes::limit_ms;
/// assert!(limit_ms(120.0, false, 0.5) < limit_ms(120.0, true, 0.5));
/// ```
pub fn limit_ms(pause_goal_ms: f64, is_retry: bool, draw: f64) -> f64 {
    let share = if is_retry { RETRIED_SHARE } else { ADMITTED_SHARE };
    pause_goal_ms * share * (1.0 + LIMIT_SPREAD * (2.0 * draw - 1.0))
}

/// Delay in milliseconds after which a refused caller should retry: the time in which the batch
/// shrinks by `crowding`, the ratio by which it is too large, if nothing is admitted meanwhile.
/// `draw`, between 0 and 1, spreads the retries of callers that were refused together.
///
/// ```
/// use flamingowheel_policy::passes::retry_after_ms;
/// assert!(retry_after_ms(1.1, 100.0, 0.5) < retry_after_ms(1.8, 100.0, 0.5));
/// ```
pub fn retry_after_ms(crowding: f64, pass_ms: f64, draw: f64) -> u64 {
    let wait_ms = crowding.max(1.0).ln() * PASSES_PER_REQUEST * pass_ms * (0.75 + draw / 2.0);
    let (least, most) = RETRY_AFTER_MS;
    wait_ms.clamp(least * (0.75 + draw / 2.0), most) as u64
}

/// Time constant of the usual pass time: longer than a shift of demand.
const USUAL_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// How long a rise of the pass time is kept: several shifts, where these recur within seconds.
const RISE_RETENTION: Duration = Duration::from_secs(12);

/// Length of the intervals of which only the highest rise is kept.
const RISE_SLOT: Duration = Duration::from_millis(500);

/// Highest rise that is reckoned with: beyond it no room would be left to what can wait.
const MAX_RISE: f64 = 1.5;

/// Share of the pause goal that passes may take after a rise as high as the last ones.
const RAISED_SHARE: f64 = 0.85;

/// The highest rise of a group's pass time in the last seconds. Demand shifts again and again, and
/// what is admitted just before a shift is late with it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PassRises {
    usual_ms: f64,
    observed_at: Option<Duration>,
    /// Start and highest rise of each interval, oldest first.
    slots: VecDeque<(Duration, f64)>,
}

impl PassRises {
    /// Records the mean pass time.
    pub fn observe(&mut self, mean_ms: f64, now: Duration) {
        let since = self.observed_at.replace(now).map(|last| now.saturating_sub(last));
        let Some(since) = since.filter(|since| *since < MAX_AGE) else {
            self.usual_ms = mean_ms;
            return;
        };
        let weight = 1.0 - (-since.as_secs_f64() / USUAL_TIME_CONSTANT.as_secs_f64()).exp();
        self.usual_ms += weight * (mean_ms - self.usual_ms);
        let rise = (mean_ms / self.usual_ms.max(1.0)).min(MAX_RISE);
        while self.slots.front().is_some_and(|(at, _)| now.saturating_sub(*at) > RISE_RETENTION) {
            self.slots.pop_front();
        }
        match self.slots.back_mut() {
            Some((at, highest)) if now.saturating_sub(*at) < RISE_SLOT => {
                *highest = highest.max(rise);
            }
            _ => self.slots.push_back((now, rise)),
        }
    }

    /// The ratio of the highest recent pass time to the one usual before it; 1 at the least.
    pub fn highest(&self, now: Duration) -> f64 {
        let is_kept = |(at, _): &&(Duration, f64)| now.saturating_sub(*at) <= RISE_RETENTION;
        self.slots.iter().filter(is_kept).map(|(_, rise)| *rise).fold(1.0, f64::max)
    }

    /// Ratio of the pass time after such a rise to what the goal allows; above 1, what can wait
    /// should.
    ///
    /// ```
    /// use flamingowheel_policy::passes::PassRises;
    /// use std::time::Duration;
    /// let at = |tenth: u64| Duration::from_millis(tenth * 100);
    /// let (mut calm, mut shifting) = (PassRises::default(), PassRises::default());
    /// for tenth in 0..60 {
    ///     calm.observe(70.0, at(tenth));
    ///     shifting.observe(if tenth % 40 > 35 { 110.0 } else { 70.0 }, at(tenth));
    /// }
    /// assert!(calm.crowding(70.0, 120.0, at(60)) < 1.0);
    /// assert!(shifting.crowding(70.0, 120.0, at(60)) > 0.98);
    /// ```
    pub fn crowding(&self, pass_ms: f64, pause_goal_ms: f64, now: Duration) -> f64 {
        pass_ms * self.highest(now) / (RAISED_SHARE * pause_goal_ms).max(1.0)
    }
}
