//! Expert maps planned from the counters of a group of stand-in engines.

use flamingowheel_backing::fake::{EngineSettings, FakeEngine, RankGroup};
use flamingowheel_backing::orders::{
    EXPERT_BUSY_COUNTER, EngineOrders, ExpertMap, Fence, Order, OrderTarget,
};
use flamingowheel_daemon::placement::{LoadObserver, even_map};
use flamingowheel_group::message::RankState;
use flamingowheel_policy::rebalance::Params;
use flamingowheel_protocol::message::ExpertShape;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SHAPE: ExpertShape = ExpertShape { ranks: 4, layers: 2, experts: 16, slots: 6 };
const STEPS_PER_PLAN: usize = 50;
const TOKEN_SCALE: f64 = 400.0;

fn tokens(expert: u16) -> f64 {
    (TOKEN_SCALE / f64::from(expert + 4)).floor() * 10.0
}

struct Simulation {
    group: RankGroup,
    observer: LoadObserver,
    map: ExpertMap,
    version: u64,
    switch_count: u32,
    random: ChaCha8Rng,
    noise: f64,
}

impl Simulation {
    async fn start(noise: f64) -> Self {
        let engine = |rank| {
            FakeEngine::new(
                u64::from(rank),
                EngineSettings { starts_held: true, ..EngineSettings::default() },
            )
        };
        let mut simulation = Self {
            group: RankGroup::new((0..SHAPE.ranks).map(engine).collect()),
            observer: LoadObserver::new(SHAPE),
            map: ExpertMap::default(),
            version: 0,
            switch_count: 0,
            random: ChaCha8Rng::seed_from_u64(5),
            noise,
        };
        simulation.switch(even_map(SHAPE)).await;
        simulation
    }

    async fn switch(&mut self, map: ExpertMap) {
        self.version += 1;
        let step = self.group.step();
        let fence = Fence(self.version);
        for engine in self.group.ranks() {
            let targets = [
                OrderTarget::StageMap { map: map.clone() },
                OrderTarget::Hold { after_step: step },
                OrderTarget::SwitchMap { map_version: self.version, map: map.clone() },
                OrderTarget::Resume,
            ];
            for target in targets {
                engine.send_order(&Order { fence, target }).await.expect("carried out");
            }
        }
        self.map = map;
    }

    /// Runs [`STEPS_PER_PLAN`] steps, plans once and switches to the planned map, if any; returns
    /// the mean step time in microseconds.
    async fn run_plan(&mut self, speeds: &[f64]) -> f64 {
        let mut total_us = 0;
        for _ in 0..STEPS_PER_PLAN {
            let spread = self.noise * 3f64.sqrt();
            let noisy: Vec<f64> = speeds
                .iter()
                .map(|s| s * (1.0 + self.random.random_range(-1.0..1.0) * spread))
                .collect();
            assert!(self.group.try_step(), "the group steps");
            let tokens = |_, expert| tokens(expert) as u64;
            total_us += self.group.record_step_work(tokens, &noisy);
        }
        let state = |engine: &FakeEngine| RankState {
            incarnation: 1,
            engine: engine.peek_state(),
            unresolved: false,
            work: Default::default(),
        };
        let states: Vec<RankState> = self.group.ranks().iter().map(state).collect();
        self.observer.observe(&states);
        if let Some(map) = self.observer.better_map(&self.map, &Params::skew_weighted()) {
            self.switch_count += 1;
            self.switch(map).await;
        }
        total_us as f64 / STEPS_PER_PLAN as f64
    }

    /// Share of all tokens that a rank processes, from 0 to 1.
    fn share_of_rank(&self, rank: usize) -> f64 {
        let mut own = 0.0;
        for ranks in &self.map.layers {
            let replicas = |expert: u16| ranks.iter().flatten().filter(|e| **e == expert).count();
            own += ranks[rank].iter().map(|e| tokens(*e) / replicas(*e) as f64).sum::<f64>();
        }
        own / (0..SHAPE.experts).map(tokens).sum::<f64>() / f64::from(SHAPE.layers)
    }

    async fn run_plans(&mut self, count: usize, speeds: &[f64]) -> f64 {
        let mut last = 0.0;
        for _ in 0..count {
            last = self.run_plan(speeds).await;
        }
        last
    }
}

/// One accelerator throttles to less than half its speed. As all ranks step together, every token
/// of the group takes more than twice as long until that rank gets less work. When it recovers, it
/// must get its share back.
#[tokio::test(start_paused = true)]
async fn better_map_slow_rank_gets_less_until_recovered() {
    let even = [1.0; SHAPE.ranks as usize];
    let mut slow = even;
    slow[2] = 0.4;
    let mut simulation = Simulation::start(0.1).await;
    let before = simulation.run_plans(6, &even).await;
    let throttled = simulation.run_plan(&slow).await;
    assert!(throttled > before * 1.6, "{throttled} after {before}");
    // The rank gets less work after the fourth plan, counting the one above.
    simulation.run_plans(3, &slow).await;
    let relieved = simulation.run_plan(&slow).await;
    assert!(relieved < before * 1.3, "{relieved} after {before}");
    let share_when_slow = simulation.share_of_rank(2);
    let recovered = simulation.run_plans(5, &even).await;
    assert!(recovered < before * 1.1, "{recovered} after {before}");
    let share = simulation.share_of_rank(2);
    assert!(share_when_slow < 0.17 && share > 0.22, "{share} after {share_when_slow}");
}

/// Step times vary without a fault. The map must not change, as each switch pauses the group.
#[tokio::test(start_paused = true)]
async fn better_map_noise_causes_no_switch() {
    let even = [1.0; SHAPE.ranks as usize];
    let mut simulation = Simulation::start(0.3).await;
    simulation.run_plans(4, &even).await;
    let switches_before = simulation.switch_count;
    simulation.run_plans(60, &even).await;
    assert_eq!(simulation.switch_count, switches_before);
}

/// One rank's busy time jumps, as if a report had been counted twice. The map must not change.
#[tokio::test(start_paused = true)]
async fn better_map_one_bad_report_ignored() {
    let even = [1.0; SHAPE.ranks as usize];
    let mut simulation = Simulation::start(0.05).await;
    simulation.run_plans(6, &even).await;
    let switches_before = simulation.switch_count;
    simulation.group.ranks()[3].add_to_counter(EXPERT_BUSY_COUNTER, 1_000_000_000);
    simulation.run_plans(6, &even).await;
    assert_eq!(simulation.switch_count, switches_before);
}
