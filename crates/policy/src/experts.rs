//! Balances the experts of a rank group that executes passes in lockstep, in small steps.
//!
//! In each set of layers a pass takes as long as the most loaded rank. Demand shifts within a pass
//! and then stays the same for seconds, while copying one expert takes longer than several passes.
//! So demand is estimated from a few short windows, and each step copies only the few experts that
//! shorten passes most.

use crate::placement::{Change, Placement};

pub use crate::demand::Demand;

/// Experts held, by set and rank.
pub type Map = Vec<Vec<Vec<u16>>>;

/// Dimensions of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Sets of layers; each set has its own placement.
    pub sets: usize,
    /// Experts per set.
    pub experts: usize,
    /// Ranks in the group.
    pub ranks: usize,
    /// Most experts that a rank holds per set.
    pub replicas_per_rank: usize,
}

impl Shape {
    /// The initial map of a group: experts are distributed round-robin.
    ///
    /// ```
    /// use flamingowheel_policy::experts::Shape;
    /// let shape = Shape { sets: 1, experts: 4, ranks: 2, replicas_per_rank: 3 };
    /// assert_eq!(shape.first_map(), [[[0, 2], [1, 3]]]);
    /// ```
    pub fn first_map(&self) -> Map {
        let rank = |rank: usize| (rank..self.experts).step_by(self.ranks).map(|e| e as u16);
        let set: Vec<Vec<u16>> = (0..self.ranks).map(|r| rank(r).collect()).collect();
        vec![set; self.sets]
    }

    /// Whether a map has these dimensions, and each expert a place.
    ///
    /// ```
    /// use flamingowheel_policy::experts::Shape;
    /// let shape = Shape { sets: 1, experts: 4, ranks: 2, replicas_per_rank: 3 };
    /// assert!(shape.fits(&shape.first_map()));
    /// assert!(!shape.fits(&vec![vec![vec![0, 1], vec![2, 9]]]));
    /// ```
    pub fn fits(&self, map: &Map) -> bool {
        map.len() == self.sets && map.iter().all(|ranks| self.fits_set(ranks))
    }

    fn fits_set(&self, ranks: &[Vec<u16>]) -> bool {
        let mut has_place = vec![false; self.experts];
        for expert in ranks.iter().flatten() {
            let Some(has_place) = has_place.get_mut(usize::from(*expert)) else {
                return false;
            };
            *has_place = true;
        }
        ranks.len() == self.ranks && has_place.iter().all(|has_place| *has_place)
    }
}

/// Durations of the parts of a map change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeTimes {
    /// Time to copy one expert to a rank, in milliseconds.
    pub copy_ms: f64,
    /// Time from the last copy until the next change can start, in milliseconds.
    pub switch_ms: f64,
}

/// Limits of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepLimits {
    /// Durations of copies and of the switch to a new map.
    pub times: ChangeTimes,
    /// Most experts that one step copies to a rank in one set.
    pub copies_per_rank_and_set: usize,
    /// Smallest reduction of the load norm by one copy, relative to the mean rank load of its set.
    pub min_gain: f64,
    /// Smallest reduction of the mean skew by a step.
    pub min_saving: f64,
}

impl StepLimits {
    /// Limits for a group whose pass time is the share `pressure` of the pause goal.
    ///
    /// A copy is billed and lengthens passes by 15 % while it lasts. While passes are short, only a
    /// gain that halves the load of a shifted set justifies that; close to the goal every gain
    /// does.
    ///
    /// ```
    /// use flamingowheel_policy::experts::{ChangeTimes, StepLimits};
    /// let times = ChangeTimes { copy_ms: 150.0, switch_ms: 350.0 };
    /// let (low, high) =
    ///     (StepLimits::for_pressure(0.3, 4, times), StepLimits::for_pressure(0.9, 4, times));
    /// assert!(low.min_saving > high.min_saving);
    /// ```
    pub fn for_pressure(pressure: f64, copies_per_rank_and_set: usize, times: ChangeTimes) -> Self {
        let slack = ((HIGH_PRESSURE - pressure) / (HIGH_PRESSURE - LOW_PRESSURE)).clamp(0.0, 1.0);
        Self {
            times,
            copies_per_rank_and_set,
            min_gain: HIGH_PRESSURE_MIN_GAIN
                + slack * (LOW_PRESSURE_MIN_GAIN - HIGH_PRESSURE_MIN_GAIN),
            min_saving: HIGH_PRESSURE_MIN_SAVING
                + slack * (LOW_PRESSURE_MIN_SAVING - HIGH_PRESSURE_MIN_SAVING),
        }
    }
}

/// Most experts that one step copies to a rank, even if copies are fast.
const MAX_COPIES_PER_RANK: usize = 4;

/// Relative increase of the pass time while a rank copies.
const COPY_SLOWDOWN: f64 = 0.15;

/// Time in which a step must compensate for the slowdown by its copies. Demand that shifts every
/// few seconds leaves no more.
const PAYBACK_MS: f64 = 1_000.0;

/// Pressure at and above which the lowest thresholds apply, and at and below which the highest do.
const HIGH_PRESSURE: f64 = 0.6;
const LOW_PRESSURE: f64 = 0.35;

/// Lowest threshold of the gain of a copy. Random variation of the next passes outweighs smaller
/// gains.
const HIGH_PRESSURE_MIN_GAIN: f64 = 0.01;

/// Highest threshold of the gain of a copy, at low pressure.
const LOW_PRESSURE_MIN_GAIN: f64 = 0.05;

/// Thresholds of the mean skew saved by a step, at high and at low pressure.
const HIGH_PRESSURE_MIN_SAVING: f64 = 0.04;
const LOW_PRESSURE_MIN_SAVING: f64 = 0.2;

/// A step to a better map.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The map after the step.
    pub map: Map,
    /// Largest number of copies to one rank.
    pub copies: usize,
    /// Mean skew over the sets before the step, under the estimated demand.
    pub skew_before: f64,
    /// Mean skew over the sets after the step, under the estimated demand.
    pub skew_after: f64,
}

/// Load of the most loaded rank relative to the mean, averaged over the sets. `paces` holds the
/// slowdown factor of each rank relative to its published speed; a rank's load is multiplied by it.
pub fn skew(map: &Map, demand: &Demand, paces: &[f64]) -> f64 {
    let skews = map.iter().enumerate().map(|(set, ranks)| {
        let placement = Placement::new(ranks, demand.of_set(set), paces);
        placement.loads.iter().copied().fold(0.0, f64::max)
    });
    skews.sum::<f64>() / map.len().max(1) as f64
}

/// Plans the next small step to a balanced map, if its gain justifies its copies.
///
/// All ranks copy concurrently, so a step takes as long as the rank with the most copies. The group
/// keeps its old map until then, and its skew delays the streams. So a step copies at most one
/// expert to each rank. It allows a further copy only if the skew that this saves over the time of
/// a separate change outweighs the delay of the gain of the first copies.
pub fn step(map: &Map, demand: &Demand, paces: &[f64], limits: StepLimits) -> Option<Step> {
    let skew_before = skew(map, demand, paces);
    // Even a perfectly balanced map would not save enough.
    if skew_before - 1.0 < limits.min_saving {
        return None;
    }
    let mut draft = Draft::new(map, demand, paces);
    let mut skew_after = skew_before;
    let mut chosen = None;
    for copies_per_rank in 1..=MAX_COPIES_PER_RANK {
        draft.apply_best_changes(copies_per_rank, limits);
        let next = draft.skew();
        let slowdown = COPY_SLOWDOWN * skew_before;
        let delay_cost = (skew_before - skew_after + slowdown) * limits.times.copy_ms;
        let gain = (skew_after - next) * limits.times.switch_ms;
        if copies_per_rank > 1 && gain <= delay_cost {
            break;
        }
        skew_after = next;
        chosen = Some(draft.clone());
    }
    let draft = chosen?;
    let copies = draft.copies_by_rank.iter().copied().max().unwrap_or(0);
    let map: Map = draft.placements.into_iter().map(|placement| placement.ranks).collect();
    let slowed_ms = COPY_SLOWDOWN * skew_before * copies as f64 * limits.times.copy_ms;
    let min_saving = limits.min_saving.max(slowed_ms / PAYBACK_MS);
    let is_sufficient = skew_before - skew_after >= min_saving;
    is_sufficient.then_some(Step { map, copies, skew_before, skew_after })
}

/// A map that is being improved.
#[derive(Clone, Debug)]
struct Draft {
    shape: Shape,
    placements: Vec<Placement>,
    /// Copies by rank, over all sets.
    copies_by_rank: Vec<usize>,
}

impl Draft {
    fn new(map: &Map, demand: &Demand, paces: &[f64]) -> Self {
        let placement = |(set, ranks): (usize, &Vec<Vec<u16>>)| {
            Placement::new(ranks, demand.of_set(set), paces)
        };
        let placements = map.iter().enumerate().map(placement).collect();
        let shape = demand.shape();
        Self { shape, placements, copies_by_rank: vec![0; shape.ranks] }
    }

    /// Applies the changes with the highest gain per copy until no rank may copy more.
    fn apply_best_changes(&mut self, copies_per_rank: usize, limits: StepLimits) {
        let mut best: Vec<Option<Change>> =
            (0..self.placements.len()).map(|s| self.best(s, copies_per_rank, limits)).collect();
        loop {
            let chosen = best
                .iter()
                .enumerate()
                .filter_map(|(set, change)| change.map(|change| (set, change)))
                .max_by(|a, b| a.1.gain_per_copy().total_cmp(&b.1.gain_per_copy()));
            let Some((set, change)) = chosen else {
                return;
            };
            if change.copying_ranks().all(|rank| self.copies_by_rank[rank] < copies_per_rank) {
                self.placements[set].apply(&change);
                change.copying_ranks().for_each(|rank| self.copies_by_rank[rank] += 1);
            }
            best[set] = self.best(set, copies_per_rank, limits);
        }
    }

    fn best(&self, set: usize, copies_per_rank: usize, limits: StepLimits) -> Option<Change> {
        self.placements[set].best_change(&self.shape, &self.copies_by_rank, copies_per_rank, limits)
    }

    fn skew(&self) -> f64 {
        let max_load = |placement: &Placement| placement.loads.iter().copied().fold(0.0, f64::max);
        self.placements.iter().map(max_load).sum::<f64>() / self.placements.len().max(1) as f64
    }
}
