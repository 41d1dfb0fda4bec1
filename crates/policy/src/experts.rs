//! Keeps the experts of a lock-step rank group even, in small steps.
//!
//! A pass lasts as long as its most loaded rank, set by set. Demand jumps within a pass and then
//! stays for seconds; copying one expert takes longer than several passes. So demand is learnt
//! from a few short windows, and each step copies only the few experts that shorten passes most.

pub use crate::demand::Demand;

/// Exponent of the norm that stands for the most loaded rank. A plain maximum is flat where two
/// ranks are equally loaded, so that no single move would seem to help.
const NORM_EXPONENT: i32 = 12;

/// Copies as which a change counts that copies nothing, when it is weighed against others.
const FREE_COPIES: f64 = 0.25;

/// Ranks that are looked at as receivers of load at the least.
const LEAST_RECEIVERS: usize = 16;

/// Experts by set and rank.
pub type Map = Vec<Vec<Vec<u16>>>;

/// Sizes of a group's map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Sets of layers with a placement of their own.
    pub sets: usize,
    /// Experts in a set.
    pub experts: usize,
    /// Ranks of the group.
    pub ranks: usize,
    /// Experts that a rank holds in a set, at most.
    pub replicas_per_rank: usize,
}

impl Shape {
    /// The map that a group begins with: experts in turn.
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
}

/// How long the parts of a change of the map take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeTimes {
    /// Copying one expert to a rank, in milliseconds.
    pub copy_ms: f64,
    /// From the last copy until the next change can begin, in milliseconds.
    pub switch_ms: f64,
}

/// What one step may copy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepLimits {
    /// How long copies take, and what a change takes besides.
    pub times: ChangeTimes,
    /// Experts that are new to a rank in one set.
    pub copies_per_rank_and_set: usize,
    /// What a copy must save at least, as a share of an even rank's load in its set.
    pub min_gain: f64,
    /// What the step must save of the mean skew.
    pub min_saving: f64,
}

impl StepLimits {
    /// Limits for a group whose passes take `pressure` of the time that a stream's pause may take.
    ///
    /// A copy is paid for and makes passes 15 % longer while it lasts. While passes are short,
    /// only what halves a shifted set's load is worth that; close to the goal every gain is.
    ///
    /// ```
    /// use flamingowheel_policy::experts::{ChangeTimes, StepLimits};
    /// let times = ChangeTimes { copy_ms: 150.0, switch_ms: 350.0 };
    /// let (calm, full) =
    ///     (StepLimits::for_pressure(0.3, 4, times), StepLimits::for_pressure(0.9, 4, times));
    /// assert!(calm.min_saving > full.min_saving);
    /// ```
    pub fn for_pressure(pressure: f64, copies_per_rank_and_set: usize, times: ChangeTimes) -> Self {
        let ease = ((FULL_PRESSURE - pressure) / (FULL_PRESSURE - CALM_PRESSURE)).clamp(0.0, 1.0);
        Self {
            times,
            copies_per_rank_and_set,
            min_gain: FULL_MIN_GAIN + ease * (CALM_MIN_GAIN - FULL_MIN_GAIN),
            min_saving: FULL_MIN_SAVING + ease * (CALM_MIN_SAVING - FULL_MIN_SAVING),
        }
    }
}

/// Most experts that one step copies to a rank, however quick copies are.
const MAX_COPIES_PER_RANK: usize = 4;

/// Part by which passes take longer while a rank copies.
const COPY_SLOWDOWN: f64 = 0.15;

/// Time in which a step must pay back what its copies slow, in milliseconds. Demand that shifts every
/// few seconds gives it no more.
const PAYBACK_MS: f64 = 1_000.0;

/// Share of the pause goal that passes take when every gain counts, and when few do.
const FULL_PRESSURE: f64 = 0.6;
const CALM_PRESSURE: f64 = 0.35;

/// What a copy must save in a full group: below it, chance in the next passes outweighs the gain.
const FULL_MIN_GAIN: f64 = 0.01;

/// The same in a calm group.
const CALM_MIN_GAIN: f64 = 0.05;

/// What a step must save of the mean skew, in a full and in a calm group.
const FULL_MIN_SAVING: f64 = 0.04;
const CALM_MIN_SAVING: f64 = 0.2;

/// A better map.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The map.
    pub map: Map,
    /// Most copies to one rank.
    pub copies: usize,
    /// Skew by the demand that is known, mean of the sets, before.
    pub skew_before: f64,
    /// The same with the new map.
    pub skew_after: f64,
}

/// The most loaded rank against the mean, averaged over the sets. A rank's load counts as often as it is
/// slower than published.
pub fn skew(map: &Map, demand: &Demand, paces: &[f64]) -> f64 {
    let skews = map.iter().enumerate().map(|(set, ranks)| {
        let placement = Placement::new(ranks, demand.of_set(set), paces);
        placement.loads.iter().copied().fold(0.0, f64::max)
    });
    skews.sum::<f64>() / map.len().max(1) as f64
}

/// The next small step to an even map, if one is worth its copies.
///
/// All ranks copy at the same time, so that a step takes as long as the rank that copies most. The
/// group keeps its old map all that while, and streams are late by its skew. So a step lets each rank
/// copy one expert, and a further one only if what that saves, for the time that another change
/// would take to bring it, outweighs the wait of what was already gained.
pub fn step(map: &Map, demand: &Demand, paces: &[f64], limits: StepLimits) -> Option<Step> {
    let skew_before = skew(map, demand, paces);
    // Not even a perfect map would save enough.
    if skew_before - 1.0 < limits.min_saving {
        return None;
    }
    let mut draft = Draft::new(map, demand, paces);
    let mut skew_after = skew_before;
    let mut chosen = None;
    for copies_per_rank in 1..=MAX_COPIES_PER_RANK {
        draft.fill(copies_per_rank, limits);
        let next = draft.skew();
        let slowed = COPY_SLOWDOWN * skew_before;
        let waited = (skew_before - skew_after + slowed) * limits.times.copy_ms;
        let spared = (skew_after - next) * limits.times.switch_ms;
        if copies_per_rank > 1 && spared <= waited {
            break;
        }
        skew_after = next;
        chosen = Some(draft.clone());
    }
    let draft = chosen?;
    let copies = draft.copied.iter().copied().max().unwrap_or(0);
    let map: Map = draft.placements.into_iter().map(|placement| placement.ranks).collect();
    let slowed_ms = COPY_SLOWDOWN * skew_before * copies as f64 * limits.times.copy_ms;
    let least_saving = limits.min_saving.max(slowed_ms / PAYBACK_MS);
    let is_worth_it = skew_before - skew_after >= least_saving;
    is_worth_it.then_some(Step { map, copies, skew_before, skew_after })
}

/// A map on the way to a better one.
#[derive(Clone, Debug)]
struct Draft {
    shape: Shape,
    placements: Vec<Placement>,
    /// Copies by rank, over all sets.
    copied: Vec<usize>,
}

impl Draft {
    fn new(map: &Map, demand: &Demand, paces: &[f64]) -> Self {
        let placement = |(set, ranks): (usize, &Vec<Vec<u16>>)| {
            Placement::new(ranks, demand.of_set(set), paces)
        };
        let placements = map.iter().enumerate().map(placement).collect();
        let shape = demand.shape();
        Self { shape, placements, copied: vec![0; shape.ranks] }
    }

    /// Makes the changes that save most for each copy, until no rank may copy more.
    fn fill(&mut self, copies_per_rank: usize, limits: StepLimits) {
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
            if change.copies().all(|rank| self.copied[rank] < copies_per_rank) {
                self.placements[set].apply(&change);
                change.copies().for_each(|rank| self.copied[rank] += 1);
            }
            best[set] = self.best(set, copies_per_rank, limits);
        }
    }

    fn best(&self, set: usize, copies_per_rank: usize, limits: StepLimits) -> Option<Change> {
        self.placements[set].best_change(&self.shape, &self.copied, copies_per_rank, limits)
    }

    fn skew(&self) -> f64 {
        let most = |placement: &Placement| placement.loads.iter().copied().fold(0.0, f64::max);
        self.placements.iter().map(most).sum::<f64>() / self.placements.len().max(1) as f64
    }
}

/// One set's experts on the ranks, with their loads; 1 is an even rank's.
#[derive(Clone, Debug)]
struct Placement {
    ranks: Vec<Vec<u16>>,
    shares: Vec<f64>,
    /// Ranks by the expert that they hold.
    holders: Vec<Vec<usize>>,
    /// Loads as the ranks feel them: times their pace.
    loads: Vec<f64>,
    /// Powers of the loads, whose sum is that of the norm.
    powers: Vec<f64>,
    paces: Vec<f64>,
    copies: Vec<usize>,
}

/// What a change does to the loads of a few ranks.
#[derive(Debug, Default)]
struct Deltas {
    by_rank: Vec<f64>,
    touched: Vec<usize>,
}

impl Deltas {
    fn new(ranks: usize) -> Self {
        Self { by_rank: vec![0.0; ranks], touched: Vec::new() }
    }

    fn add(&mut self, rank: usize, load: f64) {
        self.touched.push(rank);
        self.by_rank[rank] += load;
    }

    fn clear(&mut self) {
        for rank in self.touched.drain(..) {
            self.by_rank[rank] = 0.0;
        }
    }
}

/// One change of a set's placement.
#[derive(Clone, Copy, Debug)]
struct Change {
    expert: u16,
    from: usize,
    kind: ChangeKind,
    gain: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeKind {
    /// Rank `to` gets a replica, in the place of `victim` if it is full.
    Add { to: usize, victim: Option<u16> },
    /// Rank `to` gets the expert and gives back `victim`, which nobody else holds.
    Exchange { to: usize, victim: u16 },
    /// The other holders carry the expert alone. Nothing is copied, which is the fastest way to relieve
    /// a rank that has become slow.
    Drop,
}

impl Change {
    fn gain_per_copy(&self) -> f64 {
        match self.kind {
            ChangeKind::Add { .. } => self.gain,
            ChangeKind::Exchange { .. } => self.gain / 2.0,
            ChangeKind::Drop => self.gain / FREE_COPIES,
        }
    }

    /// The ranks that copy an expert.
    fn copies(&self) -> impl Iterator<Item = usize> {
        let (to, back) = match self.kind {
            ChangeKind::Add { to, .. } => (Some(to), None),
            ChangeKind::Exchange { to, .. } => (Some(to), Some(self.from)),
            ChangeKind::Drop => (None, None),
        };
        to.into_iter().chain(back)
    }
}

impl Placement {
    fn new(ranks: &[Vec<u16>], demand: &[f64], paces: &[f64]) -> Self {
        let count = ranks.len() as f64;
        let shares: Vec<f64> = demand.iter().map(|share| share * count).collect();
        let mut holders = vec![Vec::new(); shares.len()];
        for (rank, held) in ranks.iter().enumerate() {
            held.iter().for_each(|expert| holders[usize::from(*expert)].push(rank));
        }
        let paces = (0..ranks.len()).map(|rank| paces.get(rank).copied().unwrap_or(1.0)).collect();
        let (loads, powers, copies) = (Vec::new(), Vec::new(), vec![0; ranks.len()]);
        let ranks = ranks.to_vec();
        let mut placement = Self { ranks, shares, holders, loads, powers, paces, copies };
        placement.sum_loads();
        placement
    }

    fn sum_loads(&mut self) {
        let load = |held: &Vec<u16>| held.iter().map(|expert| self.part(*expert, 0.0)).sum::<f64>();
        let loads = self.ranks.iter().zip(&self.paces).map(|(held, pace)| load(held) * pace);
        self.loads = loads.collect();
        self.powers = self.loads.iter().map(|load| power(*load)).collect();
    }

    fn best_change(
        &self,
        shape: &Shape,
        copied: &[usize],
        copies_per_rank: usize,
        limits: StepLimits,
    ) -> Option<Change> {
        let from = most_loaded(&self.loads)?;
        let power_sum: f64 = self.powers.iter().sum();
        let norm = root(power_sum);
        let may_copy = |rank: usize| {
            copied[rank] < copies_per_rank && self.copies[rank] < limits.copies_per_rank_and_set
        };
        let receivers = self.receivers(from, &may_copy);
        let mut best: Option<Change> = None;
        let mut deltas = Deltas::new(self.ranks.len());
        for &expert in &self.ranks[from] {
            let may_give_back = may_copy(from);
            for kind in self.kinds(shape, expert, from, &receivers, may_give_back) {
                let mut change = Change { expert, from, kind, gain: 0.0 };
                self.shift_loads(&change, &mut deltas);
                change.gain = norm - root(self.power_sum_after(power_sum, &deltas));
                deltas.clear();
                let gain = change.gain_per_copy();
                let is_better = best.is_none_or(|best| gain > best.gain_per_copy());
                if gain > limits.min_gain && is_better {
                    best = Some(change);
                }
            }
        }
        best
    }

    /// The sum of the loads' powers after a change, from the ranks that it touches.
    fn power_sum_after(&self, before: f64, deltas: &Deltas) -> f64 {
        let mut sum = before;
        for (index, &rank) in deltas.touched.iter().enumerate() {
            if !deltas.touched[..index].contains(&rank) {
                sum += power(self.loads[rank] + deltas.by_rank[rank]) - self.powers[rank];
            }
        }
        sum.max(0.0)
    }

    /// Ranks that may take load: the less loaded half, since others would soon have to give it on.
    fn receivers<F>(&self, from: usize, may_copy: &F) -> Vec<usize>
    where
        F: Fn(usize) -> bool,
    {
        let mut ranks: Vec<usize> =
            (0..self.ranks.len()).filter(|rank| *rank != from && may_copy(*rank)).collect();
        ranks.sort_unstable_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        ranks.truncate(self.ranks.len().div_ceil(2).max(LEAST_RECEIVERS));
        ranks
    }

    /// The ways to take load of an expert from a rank.
    fn kinds(
        &self,
        shape: &Shape,
        expert: u16,
        from: usize,
        receivers: &[usize],
        may_give_back: bool,
    ) -> Vec<ChangeKind> {
        let mut kinds = Vec::new();
        if self.holders[usize::from(expert)].len() > 1 {
            kinds.push(ChangeKind::Drop);
        }
        for &to in receivers {
            if self.ranks[to].contains(&expert) {
                continue;
            }
            if self.ranks[to].len() < shape.replicas_per_rank {
                kinds.push(ChangeKind::Add { to, victim: None });
                continue;
            }
            for &victim in &self.ranks[to] {
                if self.holders[usize::from(victim)].len() > 1 {
                    kinds.push(ChangeKind::Add { to, victim: Some(victim) });
                } else if may_give_back && !self.ranks[from].contains(&victim) {
                    kinds.push(ChangeKind::Exchange { to, victim });
                }
            }
        }
        kinds
    }

    /// The load that one holder of an expert has from it, with `more` holders than now.
    fn part(&self, expert: u16, more: f64) -> f64 {
        let expert = usize::from(expert);
        self.shares[expert] / (self.holders[expert].len() as f64 + more)
    }

    fn shift_loads(&self, change: &Change, deltas: &mut Deltas) {
        let (expert, from) = (change.expert, change.from);
        match change.kind {
            ChangeKind::Drop => self.remove_replica(expert, from, deltas),
            ChangeKind::Exchange { to, victim } => {
                let (given, back) = (self.part(expert, 0.0), self.part(victim, 0.0));
                deltas.add(from, (back - given) * self.paces[from]);
                deltas.add(to, (given - back) * self.paces[to]);
            }
            ChangeKind::Add { to, victim } => {
                let after = self.part(expert, 1.0);
                let change_each = after - self.part(expert, 0.0);
                for &rank in &self.holders[usize::from(expert)] {
                    deltas.add(rank, change_each * self.paces[rank]);
                }
                deltas.add(to, after * self.paces[to]);
                if let Some(victim) = victim {
                    self.remove_replica(victim, to, deltas);
                }
            }
        }
    }

    fn remove_replica(&self, expert: u16, of: usize, deltas: &mut Deltas) {
        let before = self.part(expert, 0.0);
        let change_each = self.part(expert, -1.0) - before;
        for &rank in &self.holders[usize::from(expert)] {
            let change = if rank == of { -before } else { change_each };
            deltas.add(rank, change * self.paces[rank]);
        }
    }

    fn apply(&mut self, change: &Change) {
        let (expert, from) = (change.expert, change.from);
        match change.kind {
            ChangeKind::Drop => self.release(expert, from),
            ChangeKind::Exchange { to, victim } => {
                self.release(expert, from);
                self.release(victim, to);
                self.hold(expert, to);
                self.hold(victim, from);
            }
            ChangeKind::Add { to, victim } => {
                if let Some(victim) = victim {
                    self.release(victim, to);
                }
                self.hold(expert, to);
            }
        }
        for rank in change.copies() {
            self.copies[rank] += 1;
        }
        self.sum_loads();
    }

    fn hold(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(rank);
    }

    fn release(&mut self, expert: u16, rank: usize) {
        self.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|holder| *holder != rank);
    }
}

fn power(load: f64) -> f64 {
    load.max(0.0).powi(NORM_EXPONENT)
}

fn root(power_sum: f64) -> f64 {
    power_sum.powf(1.0 / f64::from(NORM_EXPONENT))
}

fn most_loaded(loads: &[f64]) -> Option<usize> {
    (0..loads.len()).max_by(|a, b| loads[*a].total_cmp(&loads[*b]))
}
