//! Measures how long a group's passes take.

use tokio::time::Instant;

/// Weight of the newest pass time in the moving average, which then spans about ten observations or
/// one second.
const PASS_TIME_WEIGHT: f64 = 0.1;

/// Pass times, derived from the pass number while the batch has requests.
#[derive(Debug, Default)]
pub struct PassTimes {
    last: Option<(u64, Instant)>,
    mean_ms: f64,
    newest_ms: f64,
}

impl PassTimes {
    /// Records the last pass that a rank started, and whether it has requests.
    pub fn observe(&mut self, newest: u64, is_busy: bool, now: Instant) {
        let last = self.last.replace((newest, now));
        let Some((pass, at)) = last.filter(|(pass, _)| is_busy && newest > *pass) else {
            if newest == last.map_or(0, |(pass, _)| pass) && is_busy {
                self.last = last.or(self.last);
            }
            return;
        };
        let each_ms = (now - at).as_secs_f64() * 1_000.0 / (newest - pass) as f64;
        self.newest_ms = each_ms;
        let weight = if self.mean_ms > 0.0 { PASS_TIME_WEIGHT } else { 1.0 };
        self.mean_ms += weight * (each_ms - self.mean_ms);
    }

    /// Latest pass time, in milliseconds; 0 before the first.
    pub fn newest_ms(&self) -> f64 {
        self.newest_ms
    }

    /// Moving average of the pass times, in milliseconds; 0 before the first.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
