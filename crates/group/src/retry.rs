//! Backoff of failed map switches and model loads.

use flamingowheel_backing::orders::ExpertMap;
use std::time::Duration;
use tokio::time::Instant;

/// Delay after the first failure; it doubles with each further one.
const INITIAL_DELAY: Duration = Duration::from_secs(1);

/// Longest delay. It is bounded because nothing signals that the cause of the failures is gone.
const MAX_DELAY: Duration = Duration::from_secs(60);

/// Exponential backoff.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
    not_before: Option<Instant>,
}

impl Backoff {
    /// Whether the next attempt may begin.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|begin| begin <= now)
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        let delay = INITIAL_DELAY.saturating_mul(1 << self.failures.min(16)).min(MAX_DELAY);
        self.failures += 1;
        self.not_before = Some(now + delay);
    }
}

/// The desired map and the backoff of attempts to switch to it.
///
/// Without backoff, a rank that can't load a map would be ordered to load it twice a second, and
/// each attempt would use up some of the fleet's weight store rate.
#[derive(Debug, Default)]
pub(crate) struct SwitchRetries {
    desired: Option<ExpertMap>,
    backoff: Backoff,
}

impl SwitchRetries {
    /// Sets the desired map. A different map from before is due at once.
    pub(crate) fn set_desired(&mut self, map: &ExpertMap) {
        if self.desired.as_ref() != Some(map) {
            *self = Self { desired: Some(map.clone()), ..Self::default() };
        }
    }

    /// The map to switch to now, if any.
    pub(crate) fn due(&self, in_force: &ExpertMap, now: Instant) -> Option<&ExpertMap> {
        let is_due = self.backoff.is_ready(now);
        self.desired.as_ref().filter(|map| is_due && *map != in_force)
    }

    /// Records a failed switch to the desired map.
    pub(crate) fn record_failure(&mut self, now: Instant) {
        self.backoff.record_failure(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn map(expert: u16) -> ExpertMap {
        ExpertMap { layers: vec![vec![vec![expert]]] }
    }

    #[test]
    fn due_delays_double_up_to_a_bound() {
        let (mut retries, mut now, mut delays) =
            (SwitchRetries::default(), Instant::now(), Vec::new());
        retries.set_desired(&map(2));
        for _ in 0..9 {
            let failed_at = now;
            retries.record_failure(now);
            while retries.due(&map(1), now).is_none() {
                now += Duration::from_secs(1);
            }
            delays.push((now - failed_at).as_secs());
        }
        assert_eq!(delays, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
    }

    #[test]
    fn set_desired_other_map_due_at_once() {
        let (mut retries, now) = (SwitchRetries::default(), Instant::now());
        retries.set_desired(&map(2));
        retries.record_failure(now);
        retries.set_desired(&map(2));
        assert_eq!(retries.due(&map(1), now), None);
        retries.set_desired(&map(3));
        assert_eq!(retries.due(&map(1), now), Some(&map(3)));
        assert_eq!(retries.due(&map(3), now), None);
    }
}
