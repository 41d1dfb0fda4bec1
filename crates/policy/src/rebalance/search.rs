//! Beam search over chains of small changes that start at the most loaded ranks.

use super::params::Params;
use super::placement::{Expert, Placement};
use super::score::{Change, Score, Slot, Values, Write};

/// Candidates whose costs differ by less than this are considered duplicates.
const SAME_COST: f64 = 1e-9;

/// Number of successive depths without a better chain after which the search ends. Unlike single
/// greedy swaps, a chain may pass through placements that are not better yet.
const MAX_DEPTHS_WITHOUT_GAIN: usize = 3;

/// Size of a search.
#[derive(Clone, Copy)]
struct Beam {
    /// Chains kept from one depth to the next.
    width: usize,
    /// Number of ranks, slowest first, at whose slots changes start.
    hot_ranks: usize,
    /// Longest chain. Bounds the time of a plan; the next plan continues from its result.
    depth: usize,
}

/// Beam of [`probe`].
const PROBE: Beam = Beam { width: 2, hot_ranks: 1, depth: 12 };

/// Beam of a thorough search.
const THOROUGH: Beam = Beam { width: 10, hot_ranks: 2, depth: 20 };

/// A placement reached by a chain of changes.
#[derive(Clone)]
struct State {
    score: Score,
    moves: usize,
    cost: f64,
}

/// A possible change to one state of the beam.
struct Candidate {
    cost: f64,
    from: usize,
    change: Change,
}

/// The cheapest candidates so far, cheapest first.
struct Cheapest {
    found: Vec<Candidate>,
    width: usize,
}

impl Cheapest {
    /// Candidates at or above this cost are not kept.
    fn limit(&self) -> f64 {
        let full = self.found.len() >= self.width;
        self.found.last().filter(|_| full).map_or(f64::INFINITY, |last| last.cost)
    }

    fn offer(&mut self, candidate: Candidate) {
        let full = self.found.len() == self.width;
        if full && self.found.last().is_some_and(|last| last.cost <= candidate.cost) {
            return;
        }
        // The same changes in another order have the same cost, except for rounding errors.
        let same = |other: &Candidate| (other.cost - candidate.cost).abs() < SAME_COST;
        if self.found.iter().any(same) {
            return;
        }
        if full {
            self.found.pop();
        }
        let index = self.found.partition_point(|other| other.cost < candidate.cost);
        self.found.insert(index, candidate);
    }
}

/// Result of a search.
pub(super) struct SearchResult {
    pub(super) target: Placement,
    /// Predicted reduction of the skew.
    pub(super) gain: f64,
}

/// Result of a narrow search that found a gain. A narrow search takes a small part of the time of a
/// thorough one, and most layers have nothing to gain in most plans.
pub(super) struct Probe {
    search: Search,
    start: Score,
    best: State,
    min_gain: f64,
}

/// Searches for a placement that saves at least `min_gain` and more than its moves cost.
pub(super) fn probe(start: Score, params: &Params, max_moves: usize) -> Option<Probe> {
    let origin = Origin::new(&start);
    let search =
        Search { origin, min_gain_per_move: params.min_gain_per_move(), max_moves, beam: PROBE };
    let best = search.run(start.clone())?;
    let probe = Probe { search, start, best, min_gain: params.min_gain };
    (probe.gain(&probe.best) >= params.min_gain).then_some(probe)
}

impl Probe {
    fn gain(&self, state: &State) -> f64 {
        self.start.predicted() - state.score.predicted()
    }

    pub(super) fn result(&self) -> SearchResult {
        SearchResult { target: self.best.score.placement(), gain: self.gain(&self.best) }
    }

    /// Result of a thorough search, at least as good as that of the narrow one.
    pub(super) fn refine(mut self) -> SearchResult {
        self.search.beam = THOROUGH;
        let wide = self.search.run(self.start.clone());
        let better = |wide: &State| {
            // It may have a lower cost because it saves less with far fewer moves.
            wide.cost < self.best.cost && self.gain(wide) >= self.min_gain
        };
        if let Some(wide) = wide.filter(better) {
            self.best = wide;
        }
        self.result()
    }
}

/// The placement before the search, by rank and expert: moving an expert back to its rank costs
/// nothing.
struct Origin {
    experts: usize,
    held: Vec<bool>,
}

impl Origin {
    fn new(score: &Score) -> Self {
        let experts = usize::from(score.expert_count());
        let mut held = vec![false; experts * usize::from(score.rank_count())];
        for slot in 0..score.slot_count() {
            let rank = usize::from(score.rank_of(slot));
            held[rank * experts + usize::from(score.expert_in(slot))] = true;
        }
        Self { experts, held }
    }

    fn held(&self, rank: u16, expert: Expert) -> bool {
        self.held[usize::from(rank) * self.experts + usize::from(expert)]
    }
}

struct Search {
    origin: Origin,
    min_gain_per_move: f64,
    max_moves: usize,
    beam: Beam,
}

impl Search {
    fn run(&self, start: Score) -> Option<State> {
        let cost = start.predicted();
        let mut beam = vec![State { score: start, moves: 0, cost }];
        let mut best: Option<State> = None;
        let mut best_cost = cost;
        let mut depths_without_gain = 0;
        for _ in 0..self.beam.depth {
            if depths_without_gain > MAX_DEPTHS_WITHOUT_GAIN || beam.is_empty() {
                break;
            }
            beam = self.deepen(&beam);
            depths_without_gain += 1;
            let Some(first) = beam.first() else { break };
            if first.cost < best_cost {
                best_cost = first.cost;
                depths_without_gain = 0;
                best = Some(first.clone());
            }
        }
        best
    }

    /// The cheapest states reached by one more change.
    fn deepen(&self, beam: &[State]) -> Vec<State> {
        let mut cheapest = Cheapest { found: Vec::new(), width: self.beam.width };
        for (from, state) in beam.iter().enumerate() {
            self.expand(from, state, &mut cheapest);
        }
        let apply = |found: &Candidate| self.apply(&beam[found.from], &found.change);
        cheapest.found.iter().map(apply).collect()
    }

    fn apply(&self, state: &State, change: &Change) -> State {
        let mut score = state.score.clone();
        let moves = self.moves_after(state, change);
        score.apply(change);
        let cost = score.predicted() + self.min_gain_per_move * moves as f64;
        State { score, moves, cost }
    }

    /// Number of weights to load after one more change; decreases if the change reverts an earlier
    /// one.
    fn moves_after(&self, state: &State, change: &Change) -> usize {
        let delta = |(slot, expert): Write| {
            let rank = state.score.rank_of(slot);
            let back = self.origin.held(rank, expert);
            let away = self.origin.held(rank, state.score.expert_in(slot));
            isize::from(!back) - isize::from(!away)
        };
        let delta = match *change {
            Change::Replace(write) => delta(write),
            Change::Swap(first, second) => delta(first) + delta(second),
        };
        state.moves.saturating_add_signed(delta)
    }

    fn expand(&self, from: usize, state: &State, cheapest: &mut Cheapest) {
        for rank in state.score.slowest(self.beam.hot_ranks) {
            for slot in state.score.slots_of(rank) {
                self.replace(from, state, slot, cheapest);
                self.swap_or_add(from, state, slot, cheapest);
            }
        }
    }

    /// Replaces a replica on a hot rank by any other expert.
    fn replace(&self, from: usize, state: &State, slot: Slot, cheapest: &mut Cheapest) {
        let score = &state.score;
        if score.replicas(score.expert_in(slot)) < 2 {
            return;
        }
        let rank = score.rank_of(slot);
        for expert in 0..state.score.expert_count() {
            if !state.score.is_placed_on(expert, rank) && state.score.relieves(slot, expert, 1) {
                self.evaluate_replace(from, state, (slot, expert), cheapest);
            }
        }
    }

    /// Swaps an expert of a hot rank with one on another rank, or adds a replica there.
    fn swap_or_add(&self, from: usize, state: &State, slot: Slot, cheapest: &mut Cheapest) {
        let expert = state.score.expert_in(slot);
        let rank = state.score.rank_of(slot);
        let mut partial_swaps: Vec<Option<Values>> =
            vec![None; usize::from(state.score.expert_count())];
        let score = &state.score;
        let partial_add = score.partial_add(expert);
        for other in 0..score.slot_count() {
            let resident = score.expert_in(other);
            let host = score.rank_of(other);
            if host == rank || score.is_placed_on(expert, host) {
                continue;
            }
            let can_swap = !score.is_placed_on(resident, rank)
                && score.relieves(slot, resident, 0)
                && score.fits(other, expert, 0, rank);
            let can_add = score.replicas(resident) > 1 && score.fits(other, expert, 1, rank);
            if can_swap {
                let partial = partial_swaps[usize::from(resident)]
                    .get_or_insert_with(|| score.partial_swap(slot, resident));
                let change = Change::Swap((slot, resident), (other, expert));
                let evaluate = |limit| score.after_swap(partial, (other, expert), limit);
                self.evaluate(from, state, change, evaluate, cheapest);
            }
            if can_add {
                let write = (other, expert);
                let evaluate = |limit| score.after_add(&partial_add, write, limit);
                self.evaluate(from, state, Change::Replace(write), evaluate, cheapest);
            }
        }
    }

    fn evaluate_replace(&self, from: usize, state: &State, write: Write, cheapest: &mut Cheapest) {
        let evaluate = |limit| state.score.after_replace(write, limit);
        self.evaluate(from, state, Change::Replace(write), evaluate, cheapest);
    }

    /// Offers a change as candidate if its predicted cost is below the limit.
    fn evaluate<Predict>(
        &self,
        from: usize,
        state: &State,
        change: Change,
        predict: Predict,
        cheapest: &mut Cheapest,
    ) where
        Predict: FnOnce(f64) -> Option<f64>,
    {
        let moves = self.moves_after(state, &change);
        if moves > self.max_moves {
            return;
        }
        let move_cost = self.min_gain_per_move * moves as f64;
        let Some(predicted) = predict(cheapest.limit() - move_cost) else { return };
        cheapest.offer(Candidate { cost: predicted + move_cost, from, change });
    }
}
