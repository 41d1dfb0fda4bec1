//! Step times of the ranks under a placement, and predictions for the changes that the search
//! tries.

use super::placement::{Expert, Placement};

/// Number of squarings in [`powers`]: the norm's exponent is two to the power of this.
const EXPONENT_LOG2: u32 = 5;

/// The slowest rank's step time divided by that of a perfectly even split, in which each rank's
/// load is proportional to its speed.
///
/// ```
/// use flamingowheel_policy::rebalance::{Placement, skew};
/// let placement = Placement { ranks: vec![vec![0], vec![1]] };
/// assert_eq!(skew(&placement, &[3.0, 1.0], &[1.0, 1.0]), 1.5);
/// ```
pub fn skew(placement: &Placement, loads: &[f64], speeds: &[f64]) -> f64 {
    Score::new(placement, [loads; FORECASTS], speeds).max_time()
}

/// A slot, numbered over all ranks.
pub(super) type Slot = u32;

/// A slot and the expert to write into it.
pub(super) type Write = (Slot, Expert);

/// Number of points in time for which loads are forecast.
pub(super) const FORECASTS: usize = 3;

/// One value per forecast.
pub(super) type Values = [f64; FORECASTS];

fn per_forecast<F>(value: F) -> Values
where
    F: FnMut(usize) -> f64,
{
    std::array::from_fn(value)
}

/// Raises step times to the norm's exponent.
fn powers(times: &Values) -> Values {
    let mut powers = *times;
    for _ in 0..EXPONENT_LOG2 {
        powers = powers.map(|power| power * power);
    }
    powers
}

/// A change of one slot or an exchange between two ranks.
#[derive(Clone, Copy, Debug)]
pub(super) enum Change {
    /// Replaces a replica by one of another expert that the rank does not hold.
    Replace(Write),
    /// Swaps two experts, neither of which is placed on the other's rank.
    Swap(Write, Write),
}

/// A placement with the step time of each rank, relative to the step time of an even split.
#[derive(Clone, Debug)]
pub(super) struct Score {
    slots: Vec<Expert>,
    first_slot: Vec<Slot>,
    rank_of: Vec<u16>,
    /// Ranks of the replicas, ordered by expert.
    hosts: Vec<u16>,
    /// Index in `hosts` at which each expert's ranks begin.
    first_host: Vec<Slot>,
    /// Number of replicas, by rank and expert.
    held: Vec<u8>,
    loads: Vec<Values>,
    /// Load per replica of each expert with one replica less, the current number, and one more.
    shares: Vec<[Values; 3]>,
    inverse_speeds: Vec<f64>,
    times: Vec<Values>,
    powers: Vec<Values>,
    total: Values,
}

impl Score {
    pub(super) fn new(placement: &Placement, loads: [&[f64]; FORECASTS], speeds: &[f64]) -> Self {
        let experts = loads[0].len();
        let total_speed: f64 = speeds.iter().sum();
        let scale = per_forecast(|index| {
            let total: f64 = loads[index].iter().sum();
            if total > 0.0 { total_speed / total } else { 0.0 }
        });
        let load = |expert: usize| per_forecast(|index| loads[index][expert] * scale[index]);
        let mut score = Self {
            slots: placement.ranks.iter().flatten().copied().collect(),
            first_slot: Vec::with_capacity(placement.ranks.len() + 1),
            rank_of: Vec::new(),
            hosts: Vec::new(),
            first_host: vec![0; experts + 1],
            held: vec![0; experts * speeds.len()],
            loads: (0..experts).map(load).collect(),
            shares: Vec::new(),
            inverse_speeds: speeds.iter().map(|speed| 1.0 / speed).collect(),
            times: vec![[0.0; FORECASTS]; speeds.len()],
            powers: vec![[0.0; FORECASTS]; speeds.len()],
            total: [0.0; FORECASTS],
        };
        score.index(placement);
        score.refresh();
        score
    }

    fn index(&mut self, placement: &Placement) {
        let mut next = 0;
        for (rank, experts) in placement.ranks.iter().enumerate() {
            self.first_slot.push(next);
            next += experts.len() as Slot;
            for &expert in experts {
                self.rank_of.push(rank as u16);
                *self.held_mut(expert, rank as u16) += 1;
            }
        }
        self.first_slot.push(next);
    }

    /// Recomputes the ranks of each expert's replicas.
    fn update_hosts(&mut self) {
        self.first_host.fill(0);
        for &expert in &self.slots {
            self.first_host[usize::from(expert) + 1] += 1;
        }
        for expert in 1..self.first_host.len() {
            self.first_host[expert] += self.first_host[expert - 1];
        }
        self.hosts.resize(self.slots.len(), 0);
        let mut next = self.first_host.clone();
        for (&expert, &rank) in self.slots.iter().zip(&self.rank_of) {
            let place = &mut next[usize::from(expert)];
            self.hosts[*place as usize] = rank;
            *place += 1;
        }
    }

    /// Recomputes all shares, times and powers.
    fn refresh(&mut self) {
        self.update_hosts();
        self.shares.clear();
        self.times.fill([0.0; FORECASTS]);
        for expert in 0..self.expert_count() {
            let shares = self.shares_of(expert);
            self.shares.push(shares);
            for slot in
                self.first_host[usize::from(expert)]..self.first_host[usize::from(expert) + 1]
            {
                let rank = usize::from(self.hosts[slot as usize]);
                let inverse_speed = self.inverse_speeds[rank];
                for (time, share) in self.times[rank].iter_mut().zip(shares[1]) {
                    *time += share * inverse_speed;
                }
            }
        }
        for (target, times) in self.powers.iter_mut().zip(&self.times) {
            *target = powers(times);
        }
        self.total = per_forecast(|index| self.powers.iter().map(|powers| powers[index]).sum());
    }

    /// The current placement.
    pub(super) fn placement(&self) -> Placement {
        let bounds = self.first_slot.windows(2);
        let ranks = bounds.map(|pair| self.slots[pair[0] as usize..pair[1] as usize].to_vec());
        Placement { ranks: ranks.collect() }
    }

    /// Predicted step time, see [`step_time`].
    pub(super) fn predicted(&self) -> f64 {
        step_time(&self.total)
    }

    /// Predicted step time of a perfectly even split, which no placement can beat.
    pub(super) fn floor(&self) -> f64 {
        let even = self.rank_count() as f64;
        step_time(&self.total.map(|total| if total > 0.0 { even } else { 0.0 }))
    }

    /// The slowest rank's time under the first forecast.
    pub(super) fn max_time(&self) -> f64 {
        self.times.iter().map(|times| times[0]).fold(0.0, f64::max)
    }

    /// The `count` ranks that contribute most to the predicted step time.
    pub(super) fn slowest(&self, count: usize) -> Vec<u16> {
        let weight = |rank: u16| -> f64 {
            let powers = &self.powers[usize::from(rank)];
            powers.iter().zip(&self.total).map(|(power, total)| power / total).sum()
        };
        let mut order: Vec<u16> = (0..self.rank_count()).collect();
        order.sort_by(|&a, &b| weight(b).total_cmp(&weight(a)).then(a.cmp(&b)));
        order.truncate(count);
        order
    }

    pub(super) fn rank_count(&self) -> u16 {
        self.times.len() as u16
    }

    pub(super) fn expert_count(&self) -> Expert {
        self.loads.len() as Expert
    }

    pub(super) fn slots_of(&self, rank: u16) -> std::ops::Range<Slot> {
        let rank = usize::from(rank);
        self.first_slot[rank]..self.first_slot[rank + 1]
    }

    pub(super) fn slot_count(&self) -> Slot {
        self.slots.len() as Slot
    }

    pub(super) fn expert_in(&self, slot: Slot) -> Expert {
        self.slots[slot as usize]
    }

    pub(super) fn rank_of(&self, slot: Slot) -> u16 {
        self.rank_of[slot as usize]
    }

    pub(super) fn replicas(&self, expert: Expert) -> usize {
        self.hosts_of(expert).len()
    }

    fn hosts_of(&self, expert: Expert) -> &[u16] {
        let expert = usize::from(expert);
        &self.hosts[self.first_host[expert] as usize..self.first_host[expert + 1] as usize]
    }

    fn held_mut(&mut self, expert: Expert, rank: u16) -> &mut u8 {
        &mut self.held[usize::from(rank) * self.loads.len() + usize::from(expert)]
    }

    pub(super) fn is_placed_on(&self, expert: Expert, rank: u16) -> bool {
        self.held[usize::from(rank) * self.loads.len() + usize::from(expert)] > 0
    }

    fn shares_of(&self, expert: Expert) -> [Values; 3] {
        let replicas = self.replicas(expert);
        let share = |replicas: usize| {
            let part = 1.0 / replicas.max(1) as f64;
            self.loads[usize::from(expert)].map(|load| load * part)
        };
        [share(replicas.saturating_sub(1)), share(replicas), share(replicas + 1)]
    }

    /// Load per replica of the expert.
    fn share(&self, expert: Expert) -> Values {
        self.shares[usize::from(expert)][1]
    }

    /// Load per replica of the expert if it had one replica less.
    fn share_with_less(&self, expert: Expert) -> Values {
        self.shares[usize::from(expert)][0]
    }

    /// Load per replica of the expert if it had `more` additional replicas, at most one.
    fn share_with(&self, expert: Expert, more: usize) -> Values {
        self.shares[usize::from(expert)][1 + more.min(1)]
    }

    /// Whether the slot's rank has less load under any forecast if `expert` is placed there with
    /// `more_replicas` additional replicas.
    pub(super) fn relieves(&self, slot: Slot, expert: Expert, more_replicas: usize) -> bool {
        let before = self.share(self.expert_in(slot));
        let after = self.share_with(expert, more_replicas);
        after.iter().zip(&before).any(|(after, before)| after < before)
    }

    /// Whether the slot's rank stays below the current time of rank `hot` under any forecast if
    /// `expert` is placed there with `more_replicas` additional replicas.
    pub(super) fn fits(&self, slot: Slot, expert: Expert, more_replicas: usize, hot: u16) -> bool {
        let rank = usize::from(self.rank_of(slot));
        let before = self.share(self.expert_in(slot));
        let after = self.share_with(expert, more_replicas);
        let time = |index: usize| {
            self.times[rank][index] + (after[index] - before[index]) * self.inverse_speeds[rank]
        };
        (0..FORECASTS).any(|index| time(index) < self.times[usize::from(hot)][index])
    }

    /// Applies a change.
    pub(super) fn apply(&mut self, change: &Change) {
        match *change {
            Change::Replace(write) => self.write(write),
            Change::Swap(first, second) => {
                self.write(first);
                self.write(second);
            }
        }
        self.refresh();
    }

    fn write(&mut self, (slot, expert): Write) {
        let rank = self.rank_of(slot);
        let old = std::mem::replace(&mut self.slots[slot as usize], expert);
        *self.held_mut(old, rank) -= 1;
        *self.held_mut(expert, rank) += 1;
    }

    /// Predicted step time after [`Change::Replace`]; `None` if it is provably not below `limit`.
    pub(super) fn after_replace(&self, write: Write, limit: f64) -> Option<f64> {
        let mut total = self.total;
        self.apply_replace(write, &mut total);
        (!is_at_least(&total, limit)).then(|| step_time(&total))
    }

    /// First part of adding a replica of an expert: the totals after its current hosts share their
    /// load with one more replica.
    pub(super) fn partial_add(&self, expert: Expert) -> Values {
        let less = self.load_change_per_host(expert);
        let mut total = self.total;
        for &host in self.hosts_of(expert) {
            self.add_load_effect(host, &less, &mut total);
        }
        total
    }

    /// Predicted step time if the replica in `slot` is replaced by one of `expert`, which the rank
    /// does not hold yet, given the totals `partial` from [`Score::partial_add`]; `None` if it is
    /// provably not below `limit`.
    pub(super) fn after_add(
        &self,
        partial: &Values,
        (slot, expert): Write,
        limit: f64,
    ) -> Option<f64> {
        let rank = self.rank_of(slot);
        let dropped = self.expert_in(slot);
        let (given, taken) = (self.share(dropped), self.share_with(expert, 1));
        let mut total = *partial;
        self.add_load_effect(rank, &per_forecast(|index| taken[index] - given[index]), &mut total);
        // The load of the other hosts of the dropped expert can only increase.
        if is_at_least(&total, limit) {
            return None;
        }
        let dropped_after = self.share_with_less(dropped);
        let more = per_forecast(|index| dropped_after[index] - given[index]);
        let less = self.load_change_per_host(expert);
        for &host in self.hosts_of(dropped).iter().filter(|host| **host != rank) {
            if self.is_placed_on(expert, host) {
                self.add_load_effect_twice(host, &less, &more, &mut total);
            } else {
                self.add_load_effect(host, &more, &mut total);
            }
        }
        (!is_at_least(&total, limit)).then(|| step_time(&total))
    }

    /// Load change of each host of an expert if the expert had one more replica.
    fn load_change_per_host(&self, expert: Expert) -> Values {
        let (before, after) = (self.share(expert), self.share_with(expert, 1));
        per_forecast(|index| after[index] - before[index])
    }

    /// Adds the effect of the load change `second` to the total, given that it already includes
    /// `first` on `rank`.
    fn add_load_effect_twice(
        &self,
        rank: u16,
        first: &Values,
        second: &Values,
        total: &mut Values,
    ) {
        let mut undone = [0.0; FORECASTS];
        self.add_load_effect(rank, first, &mut undone);
        self.add_load_effect(rank, &per_forecast(|index| first[index] + second[index]), total);
        for (total, undone) in total.iter_mut().zip(undone) {
            *total -= undone;
        }
    }

    /// First part of a swap: the totals after the expert in `slot` is replaced by `resident`.
    pub(super) fn partial_swap(&self, slot: Slot, resident: Expert) -> Values {
        let (given, taken) = (self.share(self.expert_in(slot)), self.share(resident));
        let mut total = self.total;
        self.add_load_effect(
            self.rank_of(slot),
            &per_forecast(|index| taken[index] - given[index]),
            &mut total,
        );
        total
    }

    /// Predicted step time if the expert in slot `other` is replaced by `expert`, given the totals
    /// `partial` from [`Score::partial_swap`]; `None` if it is provably not below `limit`.
    pub(super) fn after_swap(
        &self,
        partial: &Values,
        (other, expert): Write,
        limit: f64,
    ) -> Option<f64> {
        let rank = self.rank_of(other);
        let rank_powers = &self.powers[usize::from(rank)];
        // Lower bound: the other rank without any load.
        if is_at_least(&per_forecast(|index| partial[index] - rank_powers[index]), limit) {
            return None;
        }
        let (given, taken) = (self.share(self.expert_in(other)), self.share(expert));
        let mut total = *partial;
        self.add_load_effect(rank, &per_forecast(|index| taken[index] - given[index]), &mut total);
        (!is_at_least(&total, limit)).then(|| step_time(&total))
    }

    fn apply_replace(&self, (slot, expert): Write, total: &mut Values) {
        let rank = self.rank_of(slot);
        let dropped = self.expert_in(slot);
        let (dropped_share, share) = (self.share(dropped), self.share(expert));
        let dropped_after = self.share_with_less(dropped);
        let after = self.share_with(expert, 1);
        let more = per_forecast(|index| dropped_after[index] - dropped_share[index]);
        let less = per_forecast(|index| after[index] - share[index]);
        let load_change = per_forecast(|index| after[index] - dropped_share[index]);
        self.add_load_effect(rank, &load_change, total);
        for &host in self.hosts_of(dropped) {
            if host == rank {
                continue;
            }
            if self.is_placed_on(expert, host) {
                self.add_load_effect(host, &per_forecast(|index| more[index] + less[index]), total);
            } else {
                self.add_load_effect(host, &more, total);
            }
        }
        for &host in self.hosts_of(expert) {
            if !self.is_placed_on(dropped, host) {
                self.add_load_effect(host, &less, total);
            }
        }
    }

    /// Adds the effect of additional `load` on `rank` to the total.
    fn add_load_effect(&self, rank: u16, load: &Values, total: &mut Values) {
        let rank = usize::from(rank);
        let inverse_speed = self.inverse_speeds[rank];
        let times = per_forecast(|index| self.times[rank][index] + load[index] * inverse_speed);
        let after = powers(&times);
        for (index, total) in total.iter_mut().enumerate() {
            *total += after[index] - self.powers[rank][index];
        }
    }
}

/// Predicted step time, averaged over the forecasts. For each forecast it is a norm that lies
/// slightly above the slowest rank's time. It grows with the number of ranks that are nearly as
/// slow, like the expected maximum under noise.
fn step_time(total: &Values) -> f64 {
    // Rounding errors may leave a total slightly below zero if all loads are zero.
    let mut roots = total.map(|total| total.max(0.0));
    for _ in 0..EXPONENT_LOG2 {
        roots = roots.map(f64::sqrt);
    }
    roots.iter().sum::<f64>() / FORECASTS as f64
}

/// Larger limits are not compared by powers, which would overflow.
const MAX_LIMIT: f64 = 8.0;

/// Whether the step time is provably not below `limit`. The mean is at least the geometric mean,
/// which can be compared without computing roots. This rejects most candidates of a search.
fn is_at_least(total: &Values, limit: f64) -> bool {
    if limit <= 0.0 {
        return true;
    }
    if limit > MAX_LIMIT {
        return false;
    }
    let product: f64 = total.iter().product();
    let [power, ..] = powers(&[limit.powi(FORECASTS as i32); FORECASTS]);
    product >= power
}
