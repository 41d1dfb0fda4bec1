//! Turns what engines count into the expert map that a group should use.

use flamingowheel_backing::orders::{EXPERT_BUSY_COUNTER, ExpertMap, expert_counter};
use flamingowheel_group::message::RankState;
use flamingowheel_group::proposal::propose;
use flamingowheel_policy::rebalance::{DecayedLoads, Params, RankSpeeds, Work};
use flamingowheel_protocol::message::ExpertShape;

/// Part of the mean load that one observation weighs.
const OBSERVATION_SHARE: f64 = 0.3;

/// What the names of the experts' counters begin with.
const EXPERT_COUNTERS: &str = "expert_tokens/";

/// A rank whose engine was replaced has counted nothing yet; such an interval is left out.
const MIN_TOKENS: f64 = 1.0;

/// A map that spreads all experts evenly, for a group that has none yet.
///
/// ```
/// use flamingowheel_daemon::placement::even_map;
/// use flamingowheel_protocol::message::ExpertShape;
/// let map = even_map(ExpertShape { ranks: 2, layers: 1, experts: 3, slots: 2 });
/// assert_eq!(map.layers, [[vec![0, 1], vec![2, 0]]]);
/// ```
pub fn even_map(shape: ExpertShape) -> ExpertMap {
    let slot = |rank: u16, slot: u16| (rank * shape.slots + slot) % shape.experts.max(1);
    let rank = |rank: u16| (0..shape.slots).map(|number| slot(rank, number)).collect();
    let layer: Vec<Vec<u16>> = (0..shape.ranks).map(rank).collect();
    ExpertMap { layers: vec![layer; usize::from(shape.layers)] }
}

/// What one rank has counted since its process started.
#[derive(Clone, Copy, Debug)]
struct RankCount {
    process_id: u64,
    tokens: u64,
    busy_us: u64,
}

impl RankCount {
    fn of(state: &RankState) -> Option<Self> {
        let counters = &state.engine.counters;
        let of_experts = counters.iter().filter(|(name, _)| name.starts_with(EXPERT_COUNTERS));
        Some(Self {
            process_id: state.engine.process_id,
            tokens: of_experts.map(|(_, count)| count).sum(),
            busy_us: *counters.get(EXPERT_BUSY_COUNTER)?,
        })
    }

    /// The work since an earlier report of the same process.
    fn since(&self, before: &Self) -> Option<Work> {
        if self.process_id != before.process_id {
            return None;
        }
        let tokens = self.tokens.checked_sub(before.tokens)? as f64;
        let busy_us = self.busy_us.checked_sub(before.busy_us)? as f64;
        Some(Work { tokens, busy_us })
    }
}

/// Loads of a group's experts and speeds of its ranks over time.
#[derive(Debug)]
pub struct Observer {
    shape: ExpertShape,
    counted: Option<Vec<Vec<f64>>>,
    loads: Vec<DecayedLoads>,
    ranks: Vec<Option<RankCount>>,
    speeds: RankSpeeds,
}

impl Observer {
    /// Nothing observed yet.
    pub fn new(shape: ExpertShape) -> Self {
        let ranks = usize::from(shape.ranks);
        Self {
            shape,
            counted: None,
            loads: Vec::new(),
            ranks: vec![None; ranks],
            speeds: RankSpeeds::new(ranks),
        }
    }

    /// Takes in what all ranks have counted so far.
    pub fn observe(&mut self, states: &[RankState]) {
        self.observe_speeds(states);
        let counted = self.count(states);
        let Some(before) = self.counted.replace(counted.clone()) else { return };
        let since: Vec<Vec<f64>> = counted
            .iter()
            .zip(&before)
            .map(|(now, then)| now.iter().zip(then).map(|(n, t)| n - t).collect())
            .collect();
        let is_whole = since.iter().flatten().all(|load| *load >= 0.0);
        if !is_whole || since.iter().flatten().sum::<f64>() < MIN_TOKENS {
            return;
        }
        if self.loads.is_empty() {
            self.loads = since.iter().map(|l| DecayedLoads::new(OBSERVATION_SHARE, l)).collect();
            return;
        }
        for (loads, layer) in self.loads.iter_mut().zip(&since) {
            loads.observe(layer);
        }
    }

    fn observe_speeds(&mut self, states: &[RankState]) {
        let mut work = vec![None; self.ranks.len()];
        for ((before, state), work) in self.ranks.iter_mut().zip(states).zip(&mut work) {
            let now = RankCount::of(state);
            *work = now.zip(*before).and_then(|(now, before)| now.since(&before));
            *before = now;
        }
        self.speeds.observe(&work);
    }

    /// The map to use instead of `current`, if one is worth its moves.
    pub fn better_map(&self, current: &ExpertMap, params: &Params) -> Option<ExpertMap> {
        propose(current, &self.loads, &self.speeds.speeds(), params).ok()?
    }

    fn count(&self, states: &[RankState]) -> Vec<Vec<f64>> {
        let experts = |layer: usize| {
            (0..self.shape.experts).map(|expert| total(states, layer, expert)).collect()
        };
        (0..usize::from(self.shape.layers)).map(experts).collect()
    }
}

fn total(states: &[RankState], layer: usize, expert: u16) -> f64 {
    let name = expert_counter(layer, expert);
    let counters = states.iter().filter_map(|state| state.engine.counters.get(&name));
    counters.map(|count| *count as f64).sum()
}

#[cfg(test)]
mod tests {
    use super::*;
    use flamingowheel_backing::orders::EngineState;
    use flamingowheel_group::intake::IntakeState;

    const SHAPE: ExpertShape = ExpertShape { ranks: 2, layers: 1, experts: 4, slots: 2 };

    fn states(counts: [u64; 4]) -> Vec<RankState> {
        let mut engine = EngineState::default();
        for (expert, count) in counts.into_iter().enumerate() {
            engine.counters.insert(expert_counter(0, expert as u16), count);
        }
        vec![RankState { incarnation: 1, engine, unresolved: false, work: IntakeState::default() }]
    }

    #[test]
    fn better_map_spreads_two_hot_experts() {
        let mut observer = Observer::new(SHAPE);
        for step in 0..4 {
            observer.observe(&states([step * 400, step * 400, step * 100, step * 100]));
        }
        let map = observer.better_map(&even_map(SHAPE), &Params::skew_weighted()).unwrap();
        let hot = |rank: usize| map.layers[0][rank].iter().filter(|expert| **expert < 2).count();
        assert_eq!((hot(0), hot(1)), (1, 1));
    }

    // An engine was replaced and counts from zero. Its fall must not be taken for a load.
    #[test]
    fn observe_counter_falls_left_out() {
        let mut observer = Observer::new(SHAPE);
        observer.observe(&states([400, 400, 100, 100]));
        observer.observe(&states([0, 0, 0, 0]));
        assert!(observer.better_map(&even_map(SHAPE), &Params::skew_weighted()).is_none());
    }
}
