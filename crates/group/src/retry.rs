//! When a change or a load that failed is tried again.

use flamingowheel_backing::orders::ExpertMap;
use std::time::Duration;
use tokio::time::Instant;

/// Pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// The longest pause: what was in the way may be gone, and nobody has to tell.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// Pauses that grow with each failure.
#[derive(Debug, Default)]
pub(crate) struct Pauses {
    failures: u32,
    not_before: Option<Instant>,
}

impl Pauses {
    /// Whether the next try may begin.
    pub(crate) fn are_over(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|begin| begin <= now)
    }

    /// A try has failed.
    pub(crate) fn failed(&mut self, now: Instant) {
        let pause = FIRST_PAUSE.saturating_mul(1 << self.failures.min(16)).min(LONGEST_PAUSE);
        self.failures += 1;
        self.not_before = Some(now + pause);
    }
}

/// The wanted map and how its switch has fared.
///
/// A rank that can't load a map would otherwise be told to twice a second, and each try takes from
/// the weight store's rate what the rest of the fleet could use.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    wanted: Option<ExpertMap>,
    pauses: Pauses,
}

impl Retries {
    /// Takes note of the wanted map; another one than before is due at once.
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

    /// A switch to the wanted map did not get through.
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
