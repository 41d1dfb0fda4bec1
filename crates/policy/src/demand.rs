//! Estimates the demand for each expert from counts over short windows.
//!
//! Demand shifts within a pass and then stays the same for seconds. Windows of about one pass also
//! vary at random, by an amount that depends on the group: in a group of 8 ranks a window differs
//! from the mean in 0.13 of all choices, in one of 32 ranks in 0.04, while a shift changes 0.3 and
//! 0.2 of them. So a shift is detected relative to the usual variation of this group's windows.
//! With one fixed threshold, shifts in large groups went undetected: the mean lagged behind for a
//! second, and maps were planned for outdated demand.

use crate::experts::Shape;

/// Weight of the newest window in the mean while demand doesn't shift: the mean of the last few
/// windows is the best prediction of the next one.
const NEWEST_WEIGHT: f64 = 0.25;

/// Ratio of a window's distance to the usual one above which demand counts as shifted. Without a
/// shift one window in 50 exceeds it at random, which later windows soon correct.
const SHIFT_RATIO: f64 = 1.9;

/// Smallest distance that counts as a shift: less is not worth a new map.
const MIN_SHIFT_DISTANCE: f64 = 0.08;

/// Initial estimate of the usual distance, as in small groups.
const INITIAL_NOISE: f64 = 0.13;

/// Weight of the newest window in the usual distance; averages over about two seconds.
const NOISE_WEIGHT: f64 = 0.05;

/// Windows with fewer choices than this are too noisy and are ignored.
const MIN_WINDOW_CHOICES: u64 = 2_000;

/// Estimated share of the requests' choices that each expert gets.
#[derive(Clone, Debug)]
pub struct Demand {
    shape: Shape,
    /// Shares by set and expert, flattened; each set sums to 1.
    mean: Vec<f64>,
    is_known: Vec<bool>,
    /// Usual distance of a window from the mean while demand doesn't shift.
    noise: f64,
    /// Windows in the mean since the last shift.
    windows_since_shift: u32,
}

impl Demand {
    /// No windows observed yet.
    pub fn new(shape: Shape) -> Self {
        let mean = vec![0.0; shape.sets * shape.experts];
        let is_known = vec![false; shape.sets];
        Self { shape, mean, is_known, noise: INITIAL_NOISE, windows_since_shift: 0 }
    }

    /// Records how often each expert was chosen in a window, by set and expert, flattened.
    /// Returns whether demand has shifted; the first window counts as a shift.
    ///
    /// ```
    /// use flamingowheel_policy::experts::{Demand, Shape};
    /// let shape = Shape { sets: 1, experts: 2, ranks: 2, replicas_per_rank: 1 };
    /// let mut demand = Demand::new(shape);
    /// assert!(demand.observe(&[4_000, 1_000]));
    /// assert!(!demand.observe(&[4_050, 950]));
    /// assert!(demand.observe(&[500, 4_500]));
    /// ```
    pub fn observe(&mut self, counts: &[u64]) -> bool {
        let windows: Vec<(usize, Vec<f64>)> = counts
            .chunks(self.shape.experts)
            .take(self.shape.sets)
            .enumerate()
            .filter_map(|(set, counts)| Some((set, shares(counts)?)))
            .collect();
        if windows.is_empty() {
            return false;
        }
        let is_new = windows.iter().any(|(set, _)| !self.is_known[*set]);
        let distance: f64 = windows.iter().map(|(set, shares)| self.distance(*set, shares)).sum();
        let distance = distance / windows.len() as f64;
        let has_shifted =
            is_new || (distance > MIN_SHIFT_DISTANCE && distance > SHIFT_RATIO * self.noise);
        if has_shifted {
            self.windows_since_shift = 0;
        } else {
            self.noise += NOISE_WEIGHT * (distance - self.noise);
        }
        self.windows_since_shift += 1;
        let weight = (1.0 / f64::from(self.windows_since_shift)).max(NEWEST_WEIGHT);
        for (set, shares) in windows {
            let weight = if self.is_known[set] { weight } else { 1.0 };
            let start = set * self.shape.experts;
            for (mean, share) in self.mean[start..].iter_mut().zip(shares) {
                *mean += weight * (share - *mean);
            }
            self.is_known[set] = true;
        }
        has_shifted
    }

    /// Whether every set has been observed at least once.
    pub fn is_known(&self) -> bool {
        self.is_known.iter().all(|known| *known)
    }

    /// The sizes of the expert map that the counts refer to.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The experts' shares within a set.
    pub(crate) fn of_set(&self, set: usize) -> &[f64] {
        &self.mean[set * self.shape.experts..(set + 1) * self.shape.experts]
    }

    /// Distance of a window from the mean: the part of the set's choices that differ.
    fn distance(&self, set: usize, shares: &[f64]) -> f64 {
        let differences = self.of_set(set).iter().zip(shares).map(|(mean, share)| mean - share);
        differences.map(f64::abs).sum::<f64>() / 2.0
    }
}

fn shares(counts: &[u64]) -> Option<Vec<f64>> {
    let total: u64 = counts.iter().sum();
    let share = |count: &u64| *count as f64 / total as f64;
    (total >= MIN_WINDOW_CHOICES).then(|| counts.iter().map(share).collect())
}
