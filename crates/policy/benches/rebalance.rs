//! Runs the shipping rebalancer and its baselines on the same traces.
#![allow(clippy::print_stdout)]

#[path = "rebalance/trace.rs"]
mod trace;

use flamingowheel_policy::rebalance::{
    DecayedLoads, Params, Placement, Request, moves_between, plan, repack, skew,
};
use std::time::Instant;
use trace::{EXPERTS, RANKS, SLOW_FROM, STEPS, Trace};

const PLAN_EVERY_STEPS: usize = 4;
const DECAY_SHARE: f64 = 0.3;
const LAYERS: usize = 58;
const SLOW_RANK_SKEW_GOAL: f64 = 1.3;
/// Steps for which a group pauses per switch, and per weight that its busiest rank loads.
const STEPS_PER_SWITCH: f64 = 1.0;
const STEPS_PER_LOAD: f64 = 0.125;

#[derive(Clone, Copy)]
enum Policy {
    Static,
    Repack,
    Planned(Params),
}

/// Results of a policy on a trace.
#[derive(Default)]
struct PolicyResult {
    skews: Vec<f64>,
    moved: usize,
    steps_lost: f64,
}

impl PolicyResult {
    fn quantile(&self, share: f64) -> f64 {
        let mut sorted = self.skews.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share).round() as usize]
    }

    fn mean(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len() as f64
    }

    fn switch(&mut self, current: &Placement, target: &Placement) {
        let moves = moves_between(current, target);
        if moves.is_empty() {
            return;
        }
        let loads_on =
            |rank: usize| moves.iter().filter(|step| usize::from(step.rank) == rank).count();
        let busiest = (0..RANKS).map(loads_on).max().unwrap_or(0);
        self.moved += moves.len();
        self.steps_lost += STEPS_PER_SWITCH + STEPS_PER_LOAD * busiest as f64;
    }
}

fn observed_before(trace: &Trace) -> DecayedLoads {
    let mut loads = DecayedLoads::new(DECAY_SHARE, &trace.before[0]);
    trace.before[1..].iter().for_each(|step| loads.observe(step));
    loads
}

fn run(trace: &Trace, spare: usize, policy: Policy) -> PolicyResult {
    let slots = EXPERTS / RANKS + spare;
    let mut loads = observed_before(trace);
    let mut placement = repack(loads.means(), &trace.speeds[0], slots);
    let mut result = PolicyResult::default();
    for step in 0..STEPS {
        if step > 0 && step % PLAN_EVERY_STEPS == 0 {
            let target = decide(policy, &placement, &loads, &trace.speeds[step - 1], slots);
            result.switch(&placement, &target);
            placement = target;
        }
        result.skews.push(skew(&placement, &trace.loads[step], &trace.speeds[step]));
        loads.observe(&trace.loads[step]);
    }
    result
}

fn decide(
    policy: Policy,
    placement: &Placement,
    loads: &DecayedLoads,
    speeds: &[f64],
    slots: usize,
) -> Placement {
    match policy {
        Policy::Static => placement.clone(),
        Policy::Repack => repack(loads.means(), speeds, slots),
        Policy::Planned(params) => {
            let (current, loads) = ([placement.clone()], [loads.clone()]);
            let request = Request { current: &current, loads: &loads, speeds, params: &params };
            let plan = plan(&request).expect("the trace is valid");
            plan.layers.into_iter().next().map_or(placement.clone(), |layer| layer.target)
        }
    }
}

fn policies() -> [(&'static str, Policy); 4] {
    [
        ("static", Policy::Static),
        ("repack", Policy::Repack),
        ("skew_weighted", Policy::Planned(Params::skew_weighted())),
        ("move_weighted", Policy::Planned(Params::move_weighted())),
    ]
}

fn print_result(name: &str, result: &PolicyResult) {
    println!("{name}.skew_p50={:.3}", result.quantile(0.50));
    println!("{name}.skew_p95={:.3}", result.quantile(0.95));
    println!("{name}.skew_p99={:.3}", result.quantile(0.99));
    println!("{name}.moved={}", result.moved);
    println!("{name}.steps_lost={:.1}", result.steps_lost);
}

fn print_against_repack(name: &str, result: &PolicyResult, repack: &PolicyResult) {
    println!("{name}.mean_skew_vs_repack={:.4}", result.mean() / repack.mean());
    println!("{name}.p95_vs_repack={:.4}", result.quantile(0.95) / repack.quantile(0.95));
    println!("{name}.moved_vs_repack={:.4}", result.moved as f64 / repack.moved as f64);
}

/// Prints the number of plans after the slowdown until a plan interval has a median skew below the
/// goal.
fn print_slow_rank(name: &str, result: &PolicyResult) {
    let after = &result.skews[SLOW_FROM..];
    let is_below_goal = |interval: &[f64]| {
        let mut sorted = interval.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2] < SLOW_RANK_SKEW_GOAL
    };
    match after.chunks(PLAN_EVERY_STEPS).position(is_below_goal) {
        Some(plans) => println!("{name}.plans_until_skew_below_1.3={plans}"),
        None => println!("{name}.plans_until_skew_below_1.3=never"),
    }
}

fn compare(trace: &Trace, spare: usize) {
    let results = policies().map(|(name, policy)| (name, run(trace, spare, policy)));
    for (name, result) in &results {
        let name = format!("{}.spare_{spare}.{name}", trace.name);
        print_result(&name, result);
        match trace.name {
            "daily_drift" => print_against_repack(&name, result, &results[1].1),
            "slow_rank" => print_slow_rank(&name, result),
            "noise" => println!("{name}.moved_on_noise={}", result.moved),
            _ => {}
        }
    }
}

fn main() {
    let seed = seed();
    println!("seed={seed}");
    for trace in trace::all(seed) {
        for spare in 0..=2 {
            compare(&trace, spare);
        }
    }
    layers(seed);
}

/// Drift in all layers of a model with one shared budget of moves.
fn layers(seed: u64) {
    let traces: Vec<Trace> =
        (0..LAYERS).map(|layer| trace::drifting(seed + 1000 + layer as u64)).collect();
    let speeds = vec![1.0; RANKS];
    let params = Params::skew_weighted();
    let slots = EXPERTS / RANKS + 1;
    let mut loads: Vec<DecayedLoads> = traces.iter().map(observed_before).collect();
    let mut current: Vec<Placement> =
        loads.iter().map(|loads| repack(loads.means(), &speeds, slots)).collect();
    let (mut times_ms, mut skews, mut moved, mut max_moved) = (Vec::new(), Vec::new(), 0, 0);
    for step in 0..STEPS {
        if step > 0 && step % PLAN_EVERY_STEPS == 0 {
            let request =
                Request { current: &current, loads: &loads, speeds: &speeds, params: &params };
            let started = Instant::now();
            let plan = plan(&request).expect("the trace is valid");
            times_ms.push(started.elapsed().as_secs_f64() * 1e3);
            moved += plan.move_count();
            max_moved = max_moved.max(plan.move_count());
            for layer in plan.layers {
                current[layer.layer] = layer.target;
            }
        }
        let of_layer = |layer: usize| skew(&current[layer], &traces[layer].loads[step], &speeds);
        skews.push((0..LAYERS).map(of_layer).sum::<f64>() / LAYERS as f64);
        for (loads, trace) in loads.iter_mut().zip(&traces) {
            loads.observe(&trace.loads[step]);
        }
    }
    times_ms.sort_by(f64::total_cmp);
    let result = PolicyResult { skews, moved, steps_lost: 0.0 };
    println!("layers_58.skew_weighted.mean_skew={:.4}", result.mean());
    println!("layers_58.skew_weighted.moved={moved}");
    println!("layers_58.skew_weighted.most_moved_by_a_plan={max_moved}");
    println!("plan_ms_58_layers_median={:.1}", times_ms[times_ms.len() / 2]);
    println!("plan_ms_58_layers={:.1}", times_ms[times_ms.len() - 1]);
}

fn seed() -> u64 {
    let mut arguments = std::env::args();
    while let Some(argument) = arguments.next() {
        if argument == "--seed" {
            return arguments.next().and_then(|value| value.parse().ok()).unwrap_or(1);
        }
    }
    1
}
