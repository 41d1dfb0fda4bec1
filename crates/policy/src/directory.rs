//! Which entries an answer of the directory names.
//!
//! Callers pick one address of an answer at random, so an entry's share of new callers is its share
//! of all answers. The load this answers: entries of unequal size, some of them slow or nearly full,
//! and callers whose demand moves between data centres. Each answer is a sample of fixed size in
//! which an entry's probability is proportional to its weight (Pareto sampling: Rosén, *On sampling
//! with probability proportional to size*, 1997). The random numbers are hashes of the caller and the
//! entry, so a caller's answer changes by as few entries as the weights require.

use crate::key::{DataCentreKey, EntryKey, mix};

/// Share of an answer that is near the caller while near entries have room.
const NEAR_SHARE: f64 = 0.92;

/// Fewest near entries beside a spare: with fewer, a spare gets more than a tenth of the callers.
const MIN_NEAR: usize = 9;

/// Fewest entries of an answer: a caller that finds one of them dead has two more.
const MIN_NAMED: usize = 3;

/// Largest relative difference of sizes at which entries count as alike.
const ALIKE_TOLERANCE: f64 = 0.1;

/// An entry that may be named.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Key of the entry's name.
    pub key: EntryKey,
    /// Data centre that the entry runs in.
    pub data_centre: DataCentreKey,
    /// What its machine can take; `None` if it does not say.
    pub size: Option<f64>,
    /// Its present speed, as a share of its usual one.
    pub speed: f64,
    /// 1 while it has room for more callers, less the more it is overrun.
    pub room: f64,
}

/// Who asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Key of the caller. Answers to one key are alike.
    pub key: u64,
    /// The caller's data centre, if it is known.
    pub data_centre: Option<DataCentreKey>,
}

/// Whether the entries' machines differ, so that equal shares would overrun some of them.
///
/// ```
/// use flamingowheel_policy::directory::is_uneven;
/// assert!(!is_uneven([Some(1.0), Some(1.05), None]));
/// assert!(is_uneven([Some(1.0), Some(3.0)]));
/// ```
pub fn is_uneven<I>(sizes: I) -> bool
where
    I: IntoIterator<Item = Option<f64>>,
{
    let (mut least, mut most) = (f64::INFINITY, 0.0_f64);
    for size in sizes.into_iter().flatten() {
        least = least.min(size);
        most = most.max(size);
    }
    least < most * (1.0 - ALIKE_TOLERANCE)
}

/// Returns the positions of the entries to name, at most `most`, those near the caller first.
///
/// ```
/// use flamingowheel_policy::directory::{Caller, Candidate, choose};
/// use flamingowheel_policy::key::{DataCentreKey, EntryKey};
/// let entry = |number, data_centre| Candidate {
///     key: EntryKey(number),
///     data_centre: DataCentreKey(data_centre),
///     size: Some(1.0),
///     speed: 1.0,
///     room: 1.0,
/// };
/// let caller = Caller { key: 7, data_centre: Some(DataCentreKey(2)) };
/// assert_eq!(choose(&[entry(1, 1), entry(2, 2)], &caller, 64), [1, 0]);
/// ```
#[must_use]
pub fn choose(candidates: &[Candidate], caller: &Caller, most: usize) -> Vec<usize> {
    let draw = Draw::new(candidates, caller);
    let (near, far) = draw.split();
    if is_uneven(candidates.iter().map(|candidate| candidate.size)) {
        return draw.uneven(near, far, most);
    }
    let near = draw.sample(near, most);
    let rest = most - near.len();
    let far = draw.sample(far, rest);
    near.into_iter().chain(far).collect()
}

/// The entries as one caller draws them.
struct Draw<'a> {
    candidates: &'a [Candidate],
    caller: &'a Caller,
    weights: Vec<f64>,
}

impl<'a> Draw<'a> {
    fn new(candidates: &'a [Candidate], caller: &'a Caller) -> Self {
        let sizes = || candidates.iter().filter_map(|candidate| candidate.size);
        let known = sizes().count();
        let mean = if known == 0 { 1.0 } else { sizes().sum::<f64>() / known as f64 };
        let is_uneven = is_uneven(candidates.iter().map(|candidate| candidate.size));
        let weight = |candidate: &Candidate| {
            if is_uneven {
                candidate.size.unwrap_or(mean) * candidate.speed * candidate.room
            } else {
                1.0
            }
        };
        let weights = candidates.iter().map(weight).collect();
        Self { candidates, caller, weights }
    }

    fn split(&self) -> (Vec<usize>, Vec<usize>) {
        let is_near = |&position: &usize| {
            Some(self.candidates[position].data_centre) == self.caller.data_centre
        };
        (0..self.candidates.len()).partition(is_near)
    }

    /// Near entries and a few spares while the near ones have room; a sample of all otherwise.
    fn uneven(&self, near: Vec<usize>, far: Vec<usize>, most: usize) -> Vec<usize> {
        let near_count = self.fair_count(&near);
        if near_count < MIN_NEAR || far.is_empty() {
            let all = (0..self.candidates.len()).collect::<Vec<_>>();
            let count = self.fair_count(&all).max(MIN_NAMED).min(most);
            return self.with_spare(self.sample(all, count), most);
        }
        let share = self.near_share(&near, &far);
        let near_count = near_count.min((most as f64 * share) as usize).max(1);
        let spares = near_count as f64 * (1.0 - share) / share;
        let spares = self.round(spares).clamp(1, most - near_count);
        let near = self.sample(near, near_count);
        near.into_iter().chain(self.sample(far, spares)).collect()
    }

    /// The largest sample in which each entry's probability is proportional to its weight.
    fn fair_count(&self, positions: &[usize]) -> usize {
        let largest = positions.iter().map(|&position| self.weights[position]).fold(0.0, f64::max);
        if largest <= 0.0 {
            return positions.len();
        }
        (self.total(positions) / largest + f64::EPSILON) as usize
    }

    /// The share of the near entries: most while they are as able as the others, and no less than
    /// their part of the whole.
    fn near_share(&self, near: &[usize], far: &[usize]) -> f64 {
        let room = (self.mean_left(near) / self.mean_left(far)).min(1.0);
        let (near, far) = (self.total(near), self.total(far));
        (NEAR_SHARE * room).max(near / (near + far)).min(NEAR_SHARE)
    }

    /// Mean share of their size that the entries can take at present.
    fn mean_left(&self, positions: &[usize]) -> f64 {
        let candidates = positions.iter().map(|&position| &self.candidates[position]);
        let left = candidates.map(|candidate| candidate.speed * candidate.room);
        left.sum::<f64>() / positions.len() as f64
    }

    fn total(&self, positions: &[usize]) -> f64 {
        positions.iter().map(|&position| self.weights[position]).sum()
    }

    /// Rounds up or down so that the mean over callers is `value`.
    fn round(&self, value: f64) -> usize {
        (value + unit(mix(self.caller.key, 0))) as usize
    }

    /// Adds an entry of another data centre if all chosen ones share one.
    fn with_spare(&self, mut chosen: Vec<usize>, most: usize) -> Vec<usize> {
        let data_centre = |position: usize| self.candidates[position].data_centre;
        let Some(&first) = chosen.first() else {
            return chosen;
        };
        if chosen.iter().any(|&position| data_centre(position) != data_centre(first)) {
            return chosen;
        }
        let others = (0..self.candidates.len())
            .filter(|&position| data_centre(position) != data_centre(first))
            .collect();
        chosen.truncate(most - 1);
        chosen.extend(self.sample(others, 1));
        chosen
    }

    /// Draws `count` of the entries, with probabilities proportional to their weights.
    fn sample(&self, mut positions: Vec<usize>, count: usize) -> Vec<usize> {
        if positions.len() > count {
            let probabilities = self.probabilities(&positions, count);
            let order = |position: usize, probability: f64| {
                let drawn = unit(mix(self.caller.key, self.candidates[position].key.0));
                drawn * (1.0 - probability) / ((1.0 - drawn) * probability)
            };
            let mut ordered: Vec<(f64, usize)> = positions
                .iter()
                .zip(probabilities)
                .map(|(&position, probability)| (order(position, probability), position))
                .collect();
            ordered.sort_by(|a, b| a.0.total_cmp(&b.0));
            ordered.truncate(count);
            positions = ordered.into_iter().map(|(_, position)| position).collect();
        }
        positions.sort_by_key(|&position| {
            let is_near = Some(self.candidates[position].data_centre) == self.caller.data_centre;
            (!is_near, position)
        });
        positions
    }

    /// Probabilities that add up to `count`. Those that would pass 1 are cut, and the others share
    /// the rest.
    fn probabilities(&self, positions: &[usize], count: usize) -> Vec<f64> {
        let weights: Vec<f64> = positions
            .iter()
            .map(|&position| self.weights[position].max(f64::MIN_POSITIVE))
            .collect();
        let mut is_certain = vec![false; weights.len()];
        loop {
            let certain = is_certain.iter().filter(|&&is_certain| is_certain).count();
            let open = weights.iter().zip(&is_certain).filter(|(_, is_certain)| !**is_certain);
            let total: f64 = open.map(|(weight, _)| weight).sum();
            let scale = count.saturating_sub(certain) as f64 / total;
            let before = certain;
            for (weight, is_certain) in weights.iter().zip(&mut is_certain) {
                *is_certain |= weight * scale >= 1.0;
            }
            if is_certain.iter().filter(|&&is_certain| is_certain).count() == before {
                let probability = |(weight, &is_certain): (&f64, &bool)| {
                    if is_certain { 1.0 } else { weight * scale }
                };
                return weights.iter().zip(&is_certain).map(probability).collect();
            }
        }
    }
}

/// Maps a hash into the open interval between 0 and 1.
fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}
