//! A group of ranks that step together, with a check that no step runs with two maps.

use super::engine::FakeEngine;
use super::{engine::map_digest, lock};
use crate::orders::{EXPERT_BUSY_COUNTER, expert_counter};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time that a rank of speed 1 spends on one token of one expert.
const US_PER_TOKEN: f64 = 10.0;

/// A step in which two ranks used different maps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MapMismatch {
    /// The step's number.
    pub step: u64,
    /// For each rank the map version it used and the digest of the map's contents.
    pub maps: Vec<(u64, u64)>,
}

#[derive(Debug, Default)]
struct State {
    step: u64,
    map_mismatches: Vec<MapMismatch>,
    version_mismatches: Vec<u64>,
    stalled_steps: u64,
}

/// A group of engines in lock-step: a step is run by all ranks or by none.
///
/// ```
/// use flamingowheel_backing::fake::{EngineSettings, FakeEngine, RankGroup};
/// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
/// let ranks = vec![FakeEngine::new(1, EngineSettings::default())];
/// let group = RankGroup::new(ranks);
/// assert!(group.try_step());
/// assert_eq!(group.step(), 1);
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct RankGroup {
    ranks: Vec<FakeEngine>,
    state: Arc<Mutex<State>>,
}

impl RankGroup {
    /// Creates a group of these ranks that has run no step.
    pub fn new(ranks: Vec<FakeEngine>) -> Self {
        Self { ranks, state: Arc::default() }
    }

    /// The engines of the group, indexed by rank.
    pub fn ranks(&self) -> &[FakeEngine] {
        &self.ranks
    }

    /// Runs one step if every rank is up, not frozen and not held; returns whether it ran.
    pub fn try_step(&self) -> bool {
        let mut state = lock(&self.state);
        let next = state.step + 1;
        let ready =
            self.ranks.iter().all(|rank| rank.step_limit().is_some_and(|last| next <= last));
        if !ready {
            state.stalled_steps += 1;
            return false;
        }
        let maps: Vec<_> = self
            .ranks
            .iter()
            .map(|rank| (rank.peek_state().map_version, map_digest(&rank.peek_map())))
            .collect();
        if maps.windows(2).any(|pair| pair[0] != pair[1]) {
            state.map_mismatches.push(MapMismatch { step: next, maps });
        }
        let versions = self.ranks.iter().map(|rank| rank.peek_state().version);
        if versions.collect::<HashSet<_>>().len() > 1 {
            state.version_mismatches.push(next);
        }
        self.ranks.iter().for_each(|rank| rank.set_step(next));
        state.step = next;
        true
    }

    /// Adds one step's work to the counters of each rank: the `tokens` of each expert, split evenly
    /// between its replicas, and the time that a rank of that speed spends on them. Returns the
    /// longest of these times, in microseconds.
    pub fn record_step_work<Tokens>(&self, tokens: Tokens, speeds: &[f64]) -> u64
    where
        Tokens: Fn(usize, u16) -> u64,
    {
        let record_work = |(rank, engine): (usize, &FakeEngine)| {
            let mut total = 0;
            for (layer, ranks) in engine.peek_map().layers.iter().enumerate() {
                for expert in ranks.get(rank).into_iter().flatten() {
                    let replicas = ranks.iter().flatten().filter(|other| *other == expert).count();
                    let share = tokens(layer, *expert) / replicas.max(1) as u64;
                    engine.add_to_counter(&expert_counter(layer, *expert), share);
                    total += share;
                }
            }
            let busy_us = total as f64 * US_PER_TOKEN / speeds.get(rank).unwrap_or(&1.0);
            engine.add_to_counter(EXPERT_BUSY_COUNTER, busy_us as u64);
            busy_us as u64
        };
        self.ranks.iter().enumerate().map(record_work).max().unwrap_or(0)
    }

    /// Tries a step at this interval until `stop` is cancelled.
    pub async fn run(&self, interval: Duration, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(interval) => self.try_step(),
            };
        }
    }

    /// Number of the last step that ran; zero before the first.
    pub fn step(&self) -> u64 {
        lock(&self.state).step
    }

    /// Number of steps that could not run because a rank was not ready.
    pub fn stalled_steps(&self) -> u64 {
        lock(&self.state).stalled_steps
    }

    /// Steps that ran with different model versions.
    pub fn version_mismatches(&self) -> Vec<u64> {
        lock(&self.state).version_mismatches.clone()
    }

    /// Steps that ran with different maps; a correct switch causes none.
    pub fn map_mismatches(&self) -> Vec<MapMismatch> {
        lock(&self.state).map_mismatches.clone()
    }
}
