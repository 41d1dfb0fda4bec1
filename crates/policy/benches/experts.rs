//! Time of a rebalancing step and the skew that it reaches, by group size.
//!
//! Prints for each size the skew after a shift of demand, after one step and after all steps, the
//! number of steps and copies, and the milliseconds per step.

#![allow(clippy::print_stdout, reason = "the table is the output")]

use flamingowheel_policy::experts::{ChangeTimes, Demand, Shape, StepLimits, skew, step};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

/// Sets, experts, ranks, replicas per rank, copies per rank and set.
const SIZES: [(usize, usize, usize, usize, usize); 5] = [
    (3, 96, 12, 11, 4),
    (16, 96, 24, 5, 2),
    (12, 128, 32, 5, 2),
    (16, 192, 96, 3, 2),
    (16, 192, 128, 3, 2),
];
const SEEDS: u64 = 5;
const TOPICS: usize = 9;
const CHOICES: f64 = 200_000.0;
/// Exponent of the Zipf distribution of a topic's experts.
const POPULARITY: f64 = 0.9;
const MAX_STEPS: usize = 12;

fn main() {
    println!("ranks experts before  one_step  all_steps steps copies  ms_a_step");
    for (sets, experts, ranks, replicas_per_rank, spare) in SIZES {
        let shape = Shape { sets, experts, ranks, replicas_per_rank };
        let mut sums = [0.0; 6];
        for seed in 0..SEEDS {
            let row = measure(shape, spare, seed);
            sums.iter_mut().zip(row).for_each(|(sum, value)| *sum += value / SEEDS as f64);
        }
        let [before, one, all, steps, copies, ms] = sums;
        println!(
            "{ranks:>5} {experts:>7} {before:>6.2} {one:>9.2} {all:>10.2} {steps:>5.1} {copies:>6.1} {ms:>10.2}"
        );
    }
}

fn measure(shape: Shape, spare: usize, seed: u64) -> [f64; 6] {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let paces = vec![1.0; shape.ranks];
    let times = ChangeTimes { copy_ms: 18.0, switch_ms: 500.0 };
    let limits = StepLimits::for_pressure(0.8, spare, times);
    let mut map = shape.first_map();
    let old = demand(shape, &mut rng);
    for _ in 0..MAX_STEPS {
        let Some(next) = step(&map, &old, &paces, limits) else { break };
        map = next.map;
    }
    let shifted = demand(shape, &mut rng);
    let before = skew(&map, &shifted, &paces);
    let (mut one, mut steps, mut copies) = (before, 0, 0);
    let begun = Instant::now();
    for _ in 0..MAX_STEPS {
        let Some(next) = step(&map, &shifted, &paces, limits) else { break };
        map = next.map;
        copies += next.copies;
        steps += 1;
        if steps == 1 {
            one = next.skew_after;
        }
    }
    let ms = begun.elapsed().as_secs_f64() * 1_000.0 / f64::from(steps.max(1));
    let all = skew(&map, &shifted, &paces);
    [before, one, all, f64::from(steps), copies as f64, ms]
}

/// Demand from a few topics, each of which prefers different experts in each set.
fn demand(shape: Shape, rng: &mut ChaCha8Rng) -> Demand {
    let mut counts = Vec::new();
    for _ in 0..shape.sets {
        let mut set = vec![0.0; shape.experts];
        for _ in 0..TOPICS {
            let part: f64 = rng.random_range(0.3..1.0);
            let mut order: Vec<usize> = (0..shape.experts).collect();
            order.shuffle(rng);
            for (place, expert) in order.into_iter().enumerate() {
                set[expert] += part / ((place + 1) as f64).powf(POPULARITY);
            }
        }
        let total: f64 = set.iter().sum();
        counts.extend(set.into_iter().map(|weight| (weight / total * CHOICES) as u64));
    }
    let mut demand = Demand::new(shape);
    demand.observe(&counts);
    demand
}
