//! Placement of the experts of one set of layers, and the change that shortens passes most.

use crate::experts::{Shape, StepLimits};

/// Exponent of the norm that approximates the load of the most loaded rank. With a plain maximum no
/// single move would seem to help when two ranks are equally loaded.
const NORM_EXPONENT: i32 = 12;

/// Cost of a change without copies, as a number of copies, when changes are compared by gain per
/// copy.
const DROP_COST_COPIES: f64 = 0.25;

/// Fewest ranks considered as receivers of load.
const MIN_RECEIVERS: usize = 16;

/// Placement of one set's experts, with rank loads relative to the mean load.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) ranks: Vec<Vec<u16>>,
    shares: Vec<f64>,
    /// Ranks that hold each expert.
    holders: Vec<Vec<usize>>,
    /// Load of each rank multiplied by its pace.
    pub(crate) loads: Vec<f64>,
    /// Loads raised to [`NORM_EXPONENT`].
    powers: Vec<f64>,
    paces: Vec<f64>,
    copies: Vec<usize>,
}

/// Load changes of the few ranks that a change affects.
#[derive(Debug, Default)]
struct Deltas {
    by_rank: Vec<f64>,
    affected: Vec<usize>,
}

impl Deltas {
    fn new(ranks: usize) -> Self {
        Self { by_rank: vec![0.0; ranks], affected: Vec::new() }
    }

    fn add(&mut self, rank: usize, load: f64) {
        self.affected.push(rank);
        self.by_rank[rank] += load;
    }

    fn clear(&mut self) {
        for rank in self.affected.drain(..) {
            self.by_rank[rank] = 0.0;
        }
    }
}

/// One change of a set's placement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    expert: u16,
    from: usize,
    kind: ChangeKind,
    gain: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeKind {
    /// Rank `to` gets a replica; if the rank is full, it replaces `victim`.
    Add { to: usize, victim: Option<u16> },
    /// Rank `to` gets the expert in exchange for `victim`, which no other rank holds.
    Exchange { to: usize, victim: u16 },
    /// The rank drops its replica and the other holders take its load. Nothing is copied, so this
    /// is the fastest way to relieve a rank that has become slow.
    Drop,
}

impl Change {
    pub(crate) fn gain_per_copy(&self) -> f64 {
        match self.kind {
            ChangeKind::Add { .. } => self.gain,
            ChangeKind::Exchange { .. } => self.gain / 2.0,
            ChangeKind::Drop => self.gain / DROP_COST_COPIES,
        }
    }

    /// The ranks that copy an expert.
    pub(crate) fn copying_ranks(&self) -> impl Iterator<Item = usize> {
        let (to, back) = match self.kind {
            ChangeKind::Add { to, .. } => (Some(to), None),
            ChangeKind::Exchange { to, .. } => (Some(to), Some(self.from)),
            ChangeKind::Drop => (None, None),
        };
        to.into_iter().chain(back)
    }
}

impl Placement {
    pub(crate) fn new(ranks: &[Vec<u16>], demand: &[f64], paces: &[f64]) -> Self {
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
        let load = |held: &Vec<u16>| {
            held.iter().map(|expert| self.load_per_holder(*expert, 0.0)).sum::<f64>()
        };
        let loads = self.ranks.iter().zip(&self.paces).map(|(held, pace)| load(held) * pace);
        self.loads = loads.collect();
        self.powers = self.loads.iter().map(|load| power(*load)).collect();
    }

    pub(crate) fn best_change(
        &self,
        shape: &Shape,
        copies_by_rank: &[usize],
        copies_per_rank: usize,
        limits: StepLimits,
    ) -> Option<Change> {
        let from = most_loaded(&self.loads)?;
        let power_sum: f64 = self.powers.iter().sum();
        let norm = root(power_sum);
        let may_copy = |rank: usize| {
            copies_by_rank[rank] < copies_per_rank
                && self.copies[rank] < limits.copies_per_rank_and_set
        };
        let receivers = self.receivers(from, &may_copy);
        let mut best: Option<Change> = None;
        let mut deltas = Deltas::new(self.ranks.len());
        for &expert in &self.ranks[from] {
            let may_give_back = may_copy(from);
            for kind in self.change_kinds(shape, expert, from, &receivers, may_give_back) {
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

    /// The sum of `powers` after a change, recomputed for the affected ranks only.
    fn power_sum_after(&self, before: f64, deltas: &Deltas) -> f64 {
        let mut sum = before;
        for (index, &rank) in deltas.affected.iter().enumerate() {
            if !deltas.affected[..index].contains(&rank) {
                sum += power(self.loads[rank] + deltas.by_rank[rank]) - self.powers[rank];
            }
        }
        sum.max(0.0)
    }

    /// Ranks that may receive load: the less loaded half, since the others would soon have to pass
    /// it on.
    fn receivers<F>(&self, from: usize, may_copy: &F) -> Vec<usize>
    where
        F: Fn(usize) -> bool,
    {
        let mut ranks: Vec<usize> =
            (0..self.ranks.len()).filter(|rank| *rank != from && may_copy(*rank)).collect();
        ranks.sort_unstable_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        ranks.truncate(self.ranks.len().div_ceil(2).max(MIN_RECEIVERS));
        ranks
    }

    /// All changes that reduce the load of an expert on a rank.
    fn change_kinds(
        &self,
        shape: &Shape,
        expert: u16,
        from: usize,
        receivers: &[usize],
        may_give_back: bool,
    ) -> Vec<ChangeKind> {
        let mut change_kinds = Vec::new();
        if self.holders[usize::from(expert)].len() > 1 {
            change_kinds.push(ChangeKind::Drop);
        }
        for &to in receivers {
            if self.ranks[to].contains(&expert) {
                continue;
            }
            if self.ranks[to].len() < shape.replicas_per_rank {
                change_kinds.push(ChangeKind::Add { to, victim: None });
                continue;
            }
            for &victim in &self.ranks[to] {
                if self.holders[usize::from(victim)].len() > 1 {
                    change_kinds.push(ChangeKind::Add { to, victim: Some(victim) });
                } else if may_give_back && !self.ranks[from].contains(&victim) {
                    change_kinds.push(ChangeKind::Exchange { to, victim });
                }
            }
        }
        change_kinds
    }

    /// Load of an expert on each of its holders if it had `more` additional holders.
    fn load_per_holder(&self, expert: u16, more: f64) -> f64 {
        let expert = usize::from(expert);
        self.shares[expert] / (self.holders[expert].len() as f64 + more)
    }

    fn shift_loads(&self, change: &Change, deltas: &mut Deltas) {
        let (expert, from) = (change.expert, change.from);
        match change.kind {
            ChangeKind::Drop => self.remove_replica(expert, from, deltas),
            ChangeKind::Exchange { to, victim } => {
                let (given, back) =
                    (self.load_per_holder(expert, 0.0), self.load_per_holder(victim, 0.0));
                deltas.add(from, (back - given) * self.paces[from]);
                deltas.add(to, (given - back) * self.paces[to]);
            }
            ChangeKind::Add { to, victim } => {
                let after = self.load_per_holder(expert, 1.0);
                let change_each = after - self.load_per_holder(expert, 0.0);
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
        let before = self.load_per_holder(expert, 0.0);
        let change_each = self.load_per_holder(expert, -1.0) - before;
        for &rank in &self.holders[usize::from(expert)] {
            let change = if rank == of { -before } else { change_each };
            deltas.add(rank, change * self.paces[rank]);
        }
    }

    pub(crate) fn apply(&mut self, change: &Change) {
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
        for rank in change.copying_ranks() {
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
