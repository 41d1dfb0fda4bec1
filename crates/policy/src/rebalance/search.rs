//! Beam search over chains of small changes that start at the most loaded ranks.

use super::params::Params;
use super::placement::{Expert, Placement};
use super::score::{Change, Score, Slot, Write};

/// Chains kept from one depth to the next.
const WIDTH: usize = 3;

/// Ranks, slowest first, whose slots a change starts from.
const HOT_RANKS: usize = 1;

/// Costs closer than this are taken for the same placement.
const SAME_COST: f64 = 1e-9;

/// Depths without a better chain after which the search ends: a chain may pass through placements
/// that are no better yet, which single greedy swaps never do.
const PATIENCE: usize = 3;

/// A placement reached by a chain of changes.
#[derive(Clone)]
struct State {
    score: Score,
    moves: usize,
    cost: f64,
}

/// A change that may be tried from one state of the beam.
struct Candidate {
    cost: f64,
    from: usize,
    change: Change,
}

/// The cheapest candidates offered, cheapest first.
#[derive(Default)]
struct Cheapest {
    found: Vec<Candidate>,
}

impl Cheapest {
    fn offer(&mut self, candidate: Candidate) {
        let full = self.found.len() == WIDTH;
        if full && self.found.last().is_some_and(|last| last.cost <= candidate.cost) {
            return;
        }
        // The same changes in another order reach the same cost, but for rounding.
        let same = |other: &Candidate| (other.cost - candidate.cost).abs() < SAME_COST;
        if self.found.iter().any(same) {
            return;
        }
        if full {
            self.found.pop();
        }
        let place = self.found.partition_point(|other| other.cost < candidate.cost);
        self.found.insert(place, candidate);
    }
}

/// What a search found.
pub(super) struct Found {
    pub(super) target: Placement,
    /// Predicted skew saved.
    pub(super) gain: f64,
}

/// Looks for a placement that saves more predicted skew than its moves are priced at.
pub(super) fn search(start: Score, params: &Params, max_moves: usize) -> Option<Found> {
    let search = Search { origin: Origin::new(&start), price: params.price(), max_moves };
    let before = start.predicted();
    let best = search.run(start)?;
    let gain = before - best.score.predicted();
    Some(Found { target: best.score.placement(), gain })
}

/// Which expert stood on which rank before the search: putting one back costs nothing.
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
    price: f64,
    max_moves: usize,
}

impl Search {
    fn run(&self, start: Score) -> Option<State> {
        let cost = start.predicted();
        let mut beam = vec![State { score: start, moves: 0, cost }];
        let mut best: Option<State> = None;
        let mut best_cost = cost;
        let mut stale = 0;
        while stale <= PATIENCE && !beam.is_empty() {
            beam = self.deepen(&beam);
            stale += 1;
            let Some(first) = beam.first() else { break };
            if first.cost < best_cost {
                best_cost = first.cost;
                stale = 0;
                best = Some(first.clone());
            }
        }
        best
    }

    /// The cheapest states one change further.
    fn deepen(&self, beam: &[State]) -> Vec<State> {
        let mut cheapest = Cheapest::default();
        for (from, state) in beam.iter().enumerate() {
            self.expand(state, |cost, change| cheapest.offer(Candidate { cost, from, change }));
        }
        let apply = |found: &Candidate| self.apply(&beam[found.from], &found.change);
        cheapest.found.iter().map(apply).collect()
    }

    fn apply(&self, state: &State, change: &Change) -> State {
        let mut score = state.score.clone();
        let moves = self.moves_after(state, change);
        score.apply(change);
        let cost = score.predicted() + self.price * moves as f64;
        State { score, moves, cost }
    }

    /// Weights to load after one more change; fewer than before if it takes one back.
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

    fn expand<Visit>(&self, state: &State, mut visit: Visit)
    where
        Visit: FnMut(f64, Change),
    {
        for rank in state.score.slowest(HOT_RANKS) {
            for slot in state.score.slots_of(rank) {
                self.replace(state, slot, &mut visit);
                self.share_out(state, slot, &mut visit);
            }
        }
    }

    /// Drops a replica from a hot rank for any other expert.
    fn replace<Visit>(&self, state: &State, slot: Slot, visit: &mut Visit)
    where
        Visit: FnMut(f64, Change),
    {
        let score = &state.score;
        if score.replicas(score.expert_in(slot)) < 2 {
            return;
        }
        let rank = score.rank_of(slot);
        for expert in 0..state.score.expert_count() {
            if !state.score.stands_on(expert, rank) && state.score.relieves(slot, expert, 1) {
                self.weigh(state, Change::Replace((slot, expert)), visit);
            }
        }
    }

    /// Exchanges the slot of a hot rank with one elsewhere, or adds a replica there.
    fn share_out<Visit>(&self, state: &State, slot: Slot, visit: &mut Visit)
    where
        Visit: FnMut(f64, Change),
    {
        let expert = state.score.expert_in(slot);
        let rank = state.score.rank_of(slot);
        for other in 0..state.score.slot_count() {
            let score = &state.score;
            let resident = score.expert_in(other);
            let host = score.rank_of(other);
            if host == rank || score.stands_on(expert, host) {
                continue;
            }
            let swaps = !score.stands_on(resident, rank)
                && score.relieves(slot, resident, 0)
                && score.fits(other, expert, 0, rank);
            let adds = score.replicas(resident) > 1 && score.fits(other, expert, 1, rank);
            if swaps {
                self.weigh(state, Change::Swap((slot, resident), (other, expert)), visit);
            }
            if adds {
                self.weigh(state, Change::Replace((other, expert)), visit);
            }
        }
    }

    fn weigh<Visit>(&self, state: &State, change: Change, visit: &mut Visit)
    where
        Visit: FnMut(f64, Change),
    {
        let moves = self.moves_after(state, &change);
        if moves > self.max_moves {
            return;
        }
        let cost = state.score.predicted_after(&change) + self.price * moves as f64;
        visit(cost, change);
    }
}
