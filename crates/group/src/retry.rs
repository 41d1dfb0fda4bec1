//! Backoff of failed map switches and model loads.

use flamingowheel_backing::orders::ExpertMap;
use std::time::Duration;
use tokio::time::Instant;

/// Delay after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Longest delay. It is bounded because nothing signals that the cause of the failures is gone.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// Exponential backoff.
#[derive(Debug, Default)]
pub(crate) struct Pauses {
    failures: u32,
    not_before: Option<Instant>,
}

impl Pauses {
    /// Whether the next attempt may begin.
    pub(crate) fn are_over(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|begin| begin <= now)
    }

    /// Records a failed attempt.
    pub(crate) fn failed(&mut self, now: Instant) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(16)).min(LONGEST_PAUSE);
        self.failures += 1;
        self.not_before = Some(now + pause);
    }
}

/// The desired map and the backoff of attempts to switch to it.
///
/// Without backoff, a rank that can't load a map would be ordered to load it twice a second, and
/// each attempt would use up some of the fleet's weight store rate.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    wanted: Option<ExpertMap>,
    pauses: Pauses,
}

impl Retries {
    /// Sets the desired map. A different map from before is due at once.
    pub(crate) fn want(&mut self, map: &ExpertMap) {
        if self.wanted.as_ref() != Some(map) {
            *self = Self { wanted: Some(map.clone()), ..Self::default() };
        }
    }

    /// The map to switch to now, if any.
    pub(crate) fn due(&self, in_force: &ExpertMap, now: Instant) -> Option<&ExpertMap> {
        let is_due = self.pauses.are_over(now);
        self.wanted.as_ref().filter(|map| is_due && *map != in_force)
    }

    /// Records a failed switch to the desired map.
    pub(crate) fn failed(&mut self, now: Instant) {
        self.pauses.failed(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn map(expert: u16) -> ExpertMap {
        ExpertMap { layers: vec![vec![vec![expert]]] }
    }

    #[test]
    fn due_pauses_double_up_to_a_bound() {
        let (mut retries, mut now, mut pauses) = (Retries::default(), Instant::now(), Vec::new());
        retries.want(&map(2));
        for _ in 0..9 {
            let failed_at = now;
            retries.failed(now);
            while retries.due(&map(1), now).is_none() {
                now += Duration::from_secs(1);
            }
            pauses.push((now - failed_at).as_secs());
        }
        assert_eq!(pauses, [1, 2, 4, 8, 16, 32, 60, 60, 60]);
    }

    #[test]
    fn want_another_map_due_at_once() {
        let (mut retries, now) = (Retries::default(), Instant::now());
        retries.want(&map(2));
        retries.failed(now);
        retries.want(&map(2));
        assert_eq!(retries.due(&map(1), now), None);
        retries.want(&map(3));
        assert_eq!(retries.due(&map(1), now), Some(&map(3)));
        assert_eq!(retries.due(&map(3), now), None);
    }
}
