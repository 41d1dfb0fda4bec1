//! What requests want of each expert, learnt from short windows of counts.
//!
//! Demand jumps within a pass and then stays for seconds. Windows of about one pass vary by chance;
//! how much depends on the group: a window of 8 ranks moves by 0.13 of all choices, one of 32 ranks
//! by 0.04, while a jump moves it by 0.3 and by 0.2. So a jump is told from chance by what windows
//! of this group usually move. Judged by one fixed bound, jumps of large groups went unnoticed: the
//! mean crept after them for a second, and maps were planned for what nobody wanted any more.

use crate::experts::Shape;

/// Weight of the newest window in the mean while demand stays as it is: the mean of the last few
/// windows predicts the next best.
const NEWEST_WEIGHT: f64 = 0.25;

/// How much more than usual a window must have moved for demand to count as shifted. Of a calm
/// group's windows one in 50 moves as much by chance, and is soon outweighed.
const SHIFTED_RATIO: f64 = 1.9;

/// Part of the choices that must have moved in any case: less is not worth a new map.
const MIN_SHIFTED_SHARE: f64 = 0.08;

/// What windows are taken to move by chance before it is known: as in small groups.
const FIRST_NOISE: f64 = 0.13;

/// Weight of the newest window in what windows usually move: some two seconds.
const NOISE_WEIGHT: f64 = 0.05;

/// Choices below which a window says nothing by itself.
const MIN_WINDOW_CHOICES: u64 = 2_000;

/// What requests want of each expert.
#[derive(Clone, Debug)]
pub struct Demand {
    shape: Shape,
    /// Shares by set and expert, in one row; each set sums to 1.
    mean: Vec<f64>,
    is_known: Vec<bool>,
    /// Part of the choices by which windows differ from the mean while nothing shifts.
    noise: f64,
    /// Windows in the mean.
    windows: u32,
}

impl Demand {
    /// Nothing known.
    pub fn new(shape: Shape) -> Self {
        let mean = vec![0.0; shape.sets * shape.experts];
        let is_known = vec![false; shape.sets];
        Self { shape, mean, is_known, noise: FIRST_NOISE, windows: 0 }
    }

    /// Takes in how often each expert was chosen in a window, by set and expert in one row.
    /// Returns whether demand has shifted; the first window is a shift.
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
        let moved: f64 = windows.iter().map(|(set, shares)| self.moved(*set, shares)).sum();
        let moved = moved / windows.len() as f64;
        let has_shifted =
            is_new || (moved > MIN_SHIFTED_SHARE && moved > SHIFTED_RATIO * self.noise);
        if has_shifted {
            self.windows = 0;
        } else {
            self.noise += NOISE_WEIGHT * (moved - self.noise);
        }
        self.windows += 1;
        let weight = (1.0 / f64::from(self.windows)).max(NEWEST_WEIGHT);
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

    /// Whether anything is known of every set.
    pub fn is_known(&self) -> bool {
        self.is_known.iter().all(|known| *known)
    }

    /// The sizes of the map that this is the demand on.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The experts' shares in a set.
    pub(crate) fn of_set(&self, set: usize) -> &[f64] {
        &self.mean[set * self.shape.experts..(set + 1) * self.shape.experts]
    }

    /// The part of a set's choices that would have to be others for the window to be as the mean.
    fn moved(&self, set: usize, shares: &[f64]) -> f64 {
        let differences = self.of_set(set).iter().zip(shares).map(|(mean, share)| mean - share);
        differences.map(f64::abs).sum::<f64>() / 2.0
    }
}

fn shares(counts: &[u64]) -> Option<Vec<f64>> {
    let total: u64 = counts.iter().sum();
    let share = |count: &u64| *count as f64 / total as f64;
    (total >= MIN_WINDOW_CHOICES).then(|| counts.iter().map(share).collect())
}
