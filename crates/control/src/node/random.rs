//! Random choices, seeded by the incarnation so that tests are reproducible.

use super::Node;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::time::Duration;

impl Node {
    /// Varies an interval by up to 10 %, so that processes don't act at the same moment.
    pub(crate) fn jitter(&self, interval: Duration) -> Duration {
        interval.mul_f64(self.state().random.random_range(0.9..1.1))
    }

    /// A random element; `None` if there is none.
    pub(crate) fn choose<'a, T>(&self, from: &'a [T]) -> Option<&'a T> {
        from.choose(&mut self.state().random)
    }

    /// At most `count` random elements.
    pub(crate) fn choose_some<T>(&self, from: &[T], count: usize) -> Vec<T>
    where
        T: Clone,
    {
        from.sample(&mut self.state().random, count).cloned().collect()
    }

    /// Whether stale registrations in the key-value service should be removed now; true for one
    /// call in 60.
    pub(crate) fn is_cleanup_due(&self) -> bool {
        const ONE_IN: u32 = 60;
        self.state().random.random_range(0..ONE_IN) == 0
    }
}
