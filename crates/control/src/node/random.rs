//! Random choices, seeded by the incarnation so that tests repeat.

use super::Node;
use rand::RngExt;
use rand::seq::IndexedRandom;
use std::time::Duration;

impl Node {
    /// Spreads what many processes do at the same interval.
    pub(crate) fn jitter(&self, interval: Duration) -> Duration {
        interval.mul_f64(self.state().random.random_range(0.9..1.1))
    }

    /// Any one of these.
    pub(crate) fn choose<'a, T>(&self, from: &'a [T]) -> Option<&'a T> {
        from.choose(&mut self.state().random)
    }

    /// Some of these, at most `count`.
    pub(crate) fn choose_some<T>(&self, from: &[T], count: usize) -> Vec<T>
    where
        T: Clone,
    {
        from.sample(&mut self.state().random, count).cloned().collect()
    }

    /// Whether the list of entries in the key-value service should be tidied; true now and then.
    pub(crate) fn tidy_is_due(&self) -> bool {
        const ONE_IN: u32 = 60;
        self.state().random.random_range(0..ONE_IN) == 0
    }
}
