//! What reads of the fake key-value service return: page sizes and the ages of stale reads.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// How reads are answered.
#[derive(Debug)]
pub(super) struct Reads {
    max_items: usize,
    next_ages: VecDeque<Duration>,
    drawn: Option<Drawn>,
}

#[derive(Debug)]
struct Drawn {
    rng: ChaCha8Rng,
    max_age: Duration,
}

impl Default for Reads {
    fn default() -> Self {
        Self { max_items: usize::MAX, next_ages: VecDeque::new(), drawn: None }
    }
}

impl Reads {
    pub(super) fn set_max_items(&mut self, max_items: usize) {
        self.max_items = max_items;
    }

    pub(super) fn set_next_ages(&mut self, ages: &[Duration]) {
        self.next_ages = ages.iter().copied().collect();
    }

    pub(super) fn draw(&mut self, seed: u64, max_items: usize, max_age: Duration) {
        self.max_items = max_items;
        self.drawn = Some(Drawn { rng: ChaCha8Rng::seed_from_u64(seed), max_age });
    }

    /// Largest number of items in the next page.
    pub(super) fn next_max_items(&mut self) -> usize {
        match &mut self.drawn {
            Some(drawn) => drawn.rng.random_range(1..=self.max_items),
            None => self.max_items,
        }
    }

    /// Age of the next page of a stale read.
    pub(super) fn next_age(&mut self) -> Duration {
        if let Some(age) = self.next_ages.pop_front() {
            return age;
        }
        match &mut self.drawn {
            Some(drawn) => drawn.max_age.mul_f64(drawn.rng.random()),
            None => Duration::ZERO,
        }
    }
}
