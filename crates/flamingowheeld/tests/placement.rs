//! Maps planned from what a group of stand-in engines counts.

use flamingowheel_backing::fake::{EngineSettings, FakeEngine, RankGroup};
use flamingowheel_backing::orders::{
    EXPERT_BUSY_COUNTER, EngineOrders, ExpertMap, Fence, Order, OrderTarget,
};
use flamingowheel_daemon::placement::{Observer, even_map};
use flamingowheel_group::message::RankState;
use flamingowheel_policy::rebalance::Params;
use flamingowheel_protocol::message::ExpertShape;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SHAPE: ExpertShape = ExpertShape { ranks: 4, layers: 2, experts: 16, slots: 6 };
const STEPS_PER_PLAN: usize = 50;
const TOKENS: f64 = 400.0;

fn tokens(expert: u16) -> f64 {
    (TOKENS / f64::from(expert + 4)).floor() * 10.0
}

struct World {
    group: RankGroup,
    observer: Observer,
    map: ExpertMap,
    version: u64,
    moved: u32,
    random: ChaCha8Rng,
    noise: f64,
}

impl World {
    async fn start(noise: f64) -> Self {
        let engine = |rank| {
            FakeEngine::new(
                u64::from(rank),
                EngineSettings { starts_held: true, ..EngineSettings::default() },
            )
        };
        let mut world = Self {
            group: RankGroup::new((0..SHAPE.ranks).map(engine).collect()),
            observer: Observer::new(SHAPE),
            map: ExpertMap::default(),
            version: 0,
            moved: 0,
            random: ChaCha8Rng::seed_from_u64(5),
            noise,
        };
        world.switch(even_map(SHAPE)).await;
        world
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
                engine.order(&Order { fence, target }).await.expect("carried out");
            }
        }
        self.map = map;
    }

    /// Runs some steps and carries out what is planned after them; returns the mean step time.
    async fn plan(&mut self, speeds: &[f64]) -> f64 {
        let mut total_us = 0;
        for _ in 0..STEPS_PER_PLAN {
            let spread = self.noise * 3f64.sqrt();
            let noisy: Vec<f64> = speeds
                .iter()
                .map(|s| s * (1.0 + self.random.random_range(-1.0..1.0) * spread))
                .collect();
            assert!(self.group.try_step(), "the group steps");
            let tokens = |_, expert| tokens(expert) as u64;
            total_us += self.group.count_work(tokens, &noisy);
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
            self.moved += 1;
            self.switch(map).await;
        }
        total_us as f64 / STEPS_PER_PLAN as f64
    }

    /// Part of all tokens that a rank works on.
    fn share_of_rank(&self, rank: usize) -> f64 {
        let mut own = 0.0;
        for ranks in &self.map.layers {
            let replicas = |expert: u16| ranks.iter().flatten().filter(|e| **e == expert).count();
            own += ranks[rank].iter().map(|e| tokens(*e) / replicas(*e) as f64).sum::<f64>();
        }
        own / (0..SHAPE.experts).map(tokens).sum::<f64>() / f64::from(SHAPE.layers)
    }

    async fn plans(&mut self, count: usize, speeds: &[f64]) -> f64 {
        let mut last = 0.0;
        for _ in 0..count {
            last = self.plan(speeds).await;
        }
        last
    }
}

/// One accelerator throttles to less than half its speed. As all ranks step together, every token of the
/// group takes more than twice as long, until that rank is given less; when it recovers, the others
/// would go on doing its part.
#[tokio::test(start_paused = true)]
async fn better_map_slow_rank_relieved_and_recovered() {
    let even = [1.0; SHAPE.ranks as usize];
    let mut slow = even;
    slow[2] = 0.4;
    let mut world = World::start(0.1).await;
    let before = world.plans(6, &even).await;
    let struck = world.plan(&slow).await;
    assert!(struck > before * 1.6, "{struck} after {before}");
    // Counted with the one above, the fourth plan is followed by the first relieved interval.
    world.plans(3, &slow).await;
    let relieved = world.plan(&slow).await;
    assert!(relieved < before * 1.3, "{relieved} after {before}");
    let share_when_slow = world.share_of_rank(2);
    let recovered = world.plans(5, &even).await;
    assert!(recovered < before * 1.1, "{recovered} after {before}");
    let share = world.share_of_rank(2);
    assert!(share_when_slow < 0.17 && share > 0.22, "{share} after {share_when_slow}");
}

/// Step times flicker while nothing is wrong. Each switch stops the group for a moment.
#[tokio::test(start_paused = true)]
async fn better_map_noise_moves_nothing() {
    let even = [1.0; SHAPE.ranks as usize];
    let mut world = World::start(0.3).await;
    world.plans(4, &even).await;
    let settled = world.moved;
    world.plans(60, &even).await;
    assert_eq!(world.moved, settled);
}

/// One rank's counters jump, as if a report had been counted twice.
#[tokio::test(start_paused = true)]
async fn better_map_one_bad_report() {
    let even = [1.0; SHAPE.ranks as usize];
    let mut world = World::start(0.05).await;
    world.plans(6, &even).await;
    let settled = world.moved;
    world.group.ranks()[3].add_to_counter(EXPERT_BUSY_COUNTER, 1_000_000_000);
    world.plans(6, &even).await;
    assert_eq!(world.moved, settled);
}
