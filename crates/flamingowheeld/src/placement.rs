//! Plans a group's expert map from its engines' counters.

use flamingowheel_backing::orders::{EXPERT_BUSY_COUNTER, ExpertMap, expert_counter};
use flamingowheel_group::message::RankState;
use flamingowheel_group::proposal::propose;
use flamingowheel_policy::rebalance::{DecayedLoads, Params, RankSpeeds, Work};
use flamingowheel_protocol::message::ExpertShape;

/// Weight of one observation in the decayed mean load.
const OBSERVATION_WEIGHT: f64 = 0.3;

/// Prefix of the names of the experts' token counters.
const EXPERT_COUNTER_PREFIX: &str = "expert_tokens/";

/// An interval with fewer tokens is ignored, for example right after engines were replaced.
const MIN_TOKENS: f64 = 1.0;

/// A map that spreads all experts evenly, for a group that has no map yet.
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

/// One rank's total tokens and busy time since its process started.
#[derive(Clone, Copy, Debug)]
struct RankCounters {
    process_id: u64,
    tokens: u64,
    busy_us: u64,
}

impl RankCounters {
    fn from_state(state: &RankState) -> Option<Self> {
        let counters = &state.engine.counters;
        let expert_counters =
            counters.iter().filter(|(name, _)| name.starts_with(EXPERT_COUNTER_PREFIX));
        Some(Self {
            process_id: state.engine.process_id,
            tokens: expert_counters.map(|(_, count)| count).sum(),
            busy_us: *counters.get(EXPERT_BUSY_COUNTER)?,
        })
    }

    /// The work since an earlier report; `None` if another process sent that one or a counter fell.
    fn work_since(&self, before: &Self) -> Option<Work> {
        if self.process_id != before.process_id {
            return None;
        }
        let tokens = self.tokens.checked_sub(before.tokens)? as f64;
        let busy_us = self.busy_us.checked_sub(before.busy_us)? as f64;
        Some(Work { tokens, busy_us })
    }
}

/// Derives the loads of a group's experts and the speeds of its ranks from successive counters.
#[derive(Debug)]
pub struct LoadObserver {
    shape: ExpertShape,
    last_expert_tokens: Option<Vec<Vec<f64>>>,
    loads: Vec<DecayedLoads>,
    last_counters: Vec<Option<RankCounters>>,
    speeds: RankSpeeds,
}

impl LoadObserver {
    /// An observer without observations; proposes no map.
    pub fn new(shape: ExpertShape) -> Self {
        let ranks = usize::from(shape.ranks);
        Self {
            shape,
            last_expert_tokens: None,
            loads: Vec::new(),
            last_counters: vec![None; ranks],
            speeds: RankSpeeds::new(ranks),
        }
    }

    /// Adds the current counters of all ranks, in the order of ranks. The first call only sets the
    /// baseline; an interval in which a counter fell is ignored for the loads.
    pub fn observe(&mut self, states: &[RankState]) {
        self.observe_speeds(states);
        let counted = self.expert_tokens(states);
        let Some(before) = self.last_expert_tokens.replace(counted.clone()) else { return };
        let increases: Vec<Vec<f64>> = counted
            .iter()
            .zip(&before)
            .map(|(now, then)| now.iter().zip(then).map(|(n, t)| n - t).collect())
            .collect();
        let is_monotonic = increases.iter().flatten().all(|load| *load >= 0.0);
        if !is_monotonic || increases.iter().flatten().sum::<f64>() < MIN_TOKENS {
            return;
        }
        if self.loads.is_empty() {
            self.loads =
                increases.iter().map(|l| DecayedLoads::new(OBSERVATION_WEIGHT, l)).collect();
            return;
        }
        for (loads, layer) in self.loads.iter_mut().zip(&increases) {
            loads.observe(layer);
        }
    }

    fn observe_speeds(&mut self, states: &[RankState]) {
        let mut work = vec![None; self.last_counters.len()];
        for ((before, state), work) in self.last_counters.iter_mut().zip(states).zip(&mut work) {
            let now = RankCounters::from_state(state);
            *work = now.zip(*before).and_then(|(now, before)| now.work_since(&before));
            *before = now;
        }
        self.speeds.observe(&work);
    }

    /// A map that is better than `current` by enough to be worth the moves of experts.
    pub fn better_map(&self, current: &ExpertMap, params: &Params) -> Option<ExpertMap> {
        propose(current, &self.loads, &self.speeds.speeds(), params).ok()?
    }

    fn expert_tokens(&self, states: &[RankState]) -> Vec<Vec<f64>> {
        let experts = |layer: usize| {
            (0..self.shape.experts).map(|expert| counter_sum(states, layer, expert)).collect()
        };
        (0..usize::from(self.shape.layers)).map(experts).collect()
    }
}

fn counter_sum(states: &[RankState], layer: usize, expert: u16) -> f64 {
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
        let mut observer = LoadObserver::new(SHAPE);
        for step in 0..4 {
            observer.observe(&states([step * 400, step * 400, step * 100, step * 100]));
        }
        let map = observer.better_map(&even_map(SHAPE), &Params::skew_weighted()).unwrap();
        let hot = |rank: usize| map.layers[0][rank].iter().filter(|expert| **expert < 2).count();
        assert_eq!((hot(0), hot(1)), (1, 1));
    }

    // A replaced engine counts from zero, so its counters fall. The difference must not count as
    // load.
    #[test]
    fn observe_counter_falls_ignored() {
        let mut observer = LoadObserver::new(SHAPE);
        observer.observe(&states([400, 400, 100, 100]));
        observer.observe(&states([0, 0, 0, 0]));
        assert!(observer.better_map(&even_map(SHAPE), &Params::skew_weighted()).is_none());
    }
}
