//! Admission to a rank group by the time of its passes.
//!
//! All ranks of a group do each pass together, and every stream in the group gets one event a
//! pass. Once passes take longer than the pause that callers accept, all streams of the group are
//! late at once, however few requests too many there are. So new requests are refused before
//! that point. A request stays in the batch for some twenty passes, so that the batch shrinks by
//! a twentieth a pass when nothing is admitted; that is slow enough for all entries to act on the same
//! pass time without exchanging anything.

use std::time::Duration;

/// Memory of the mean pass time: one to two passes near the limit, so that a shift of demand that
/// lengthens passes is acted on within two of them.
const MEMORY: Duration = Duration::from_millis(150);

/// Age at which the last pass seen says nothing of the next one any more: the batch has changed by
/// a third.
const STALE: Duration = Duration::from_millis(700);

/// Longest pause that is a pass, in milliseconds. Longer ones are stops: a group that forms again
/// or waits for a rank.
const LONGEST_PASS_MS: f64 = 600.0;

/// Share of the pause goal that the mean pass may take while requests are admitted. Single passes
/// vary by a third around the mean with the prompts that are read in them, and one pause over the
/// goal among twenty makes a stream late.
const ADMITTED_SHARE: f64 = 0.75;

/// The same for a request that was refused before and came back as told. It would lose more by a
/// second refusal than one that comes for the first time.
const RETURNED_SHARE: f64 = 0.8;

/// Spread of the limit between requests, to either side. All entries see the same passes; without
/// it they would admit and refuse in lock-step.
const SPREAD: f64 = 0.06;

/// Time in which a batch empties by two thirds when nothing is admitted, in passes.
const PASSES_OF_REQUEST: f64 = 20.0;

/// Shortest and longest time after which a refused caller is told to come back, in milliseconds.
/// Below the first nothing has changed; the second is longer than most bursts' worst part and leaves the
/// caller most of its deadline.
const RETRY_AFTER_MS: (f64, f64) = (250.0, 2_000.0);

/// How long a group's passes take, as seen on the pauses of streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PassTime {
    mean_ms: f64,
    seen_at: Option<Duration>,
}

impl PassTime {
    /// Notes a pause between two events of a stream. Pauses of several streams that end together
    /// are one pass, and count once.
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
        if pause_ms > LONGEST_PASS_MS {
            return;
        }
        let Some(last) = self.seen_at.filter(|last| now.saturating_sub(*last) < STALE) else {
            *self = Self { mean_ms: pause_ms, seen_at: Some(now) };
            return;
        };
        let since = now.saturating_sub(last);
        let weight = 1.0 - (-since.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.mean_ms += weight * (pause_ms - self.mean_ms);
        self.seen_at = Some(now);
    }

    /// The mean pass, in milliseconds; `None` if none was seen lately.
    pub fn mean_ms(&self, now: Duration) -> Option<f64> {
        let seen_at = self.seen_at?;
        (now.saturating_sub(seen_at) < STALE).then_some(self.mean_ms)
    }
}

/// Longest mean pass with which a request is admitted, in milliseconds. `draw` is a random number
/// between 0 and 1, drawn once a request.
///
/// ```
/// use flamingowheel_policy::passes::limit_ms;
/// assert!(limit_ms(120.0, false, 0.5) < limit_ms(120.0, true, 0.5));
/// ```
pub fn limit_ms(pause_goal_ms: f64, has_returned: bool, draw: f64) -> f64 {
    let share = if has_returned { RETURNED_SHARE } else { ADMITTED_SHARE };
    pause_goal_ms * share * (1.0 + SPREAD * (2.0 * draw - 1.0))
}

/// When a refused caller should come back, in milliseconds: once the batch has shrunk by
/// `crowding`, the ratio by which it is too large, if nobody else were admitted meanwhile. `draw`
/// spreads callers that were refused together.
///
/// ```
/// use flamingowheel_policy::passes::retry_after_ms;
/// assert!(retry_after_ms(1.1, 100.0, 0.5) < retry_after_ms(1.8, 100.0, 0.5));
/// ```
pub fn retry_after_ms(crowding: f64, pass_ms: f64, draw: f64) -> u64 {
    let wait_ms = crowding.max(1.0).ln() * PASSES_OF_REQUEST * pass_ms * (0.75 + draw / 2.0);
    let (least, most) = RETRY_AFTER_MS;
    wait_ms.clamp(least * (0.75 + draw / 2.0), most) as u64
}
