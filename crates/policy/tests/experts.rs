//! Small steps to a balanced expert map, and detection of demand shifts.

use flamingowheel_policy::experts::{ChangeTimes, Demand, Map, Shape, StepLimits, skew, step};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SHAPE: Shape = Shape { sets: 2, experts: 64, ranks: 8, replicas_per_rank: 11 };
const EQUAL_PACES: [f64; 8] = [1.0; 8];
/// Times where links copy an expert in less than a pass.
const FAST_COPIES: ChangeTimes = ChangeTimes { copy_ms: 20.0, switch_ms: 400.0 };
/// Times where a copy takes several passes.
const SLOW_COPIES: ChangeTimes = ChangeTimes { copy_ms: 400.0, switch_ms: 400.0 };
const WINDOW_CHOICES: f64 = 100_000.0;

/// Counts of a window in which the popularity of experts decreases from `favourite` on.
fn window(favourite: usize) -> Vec<u64> {
    let weight = |e: usize| 1.0 / ((e + SHAPE.experts - favourite) % SHAPE.experts + 1) as f64;
    let total: f64 = (0..SHAPE.experts).map(weight).sum();
    let count = |e: usize| (weight(e) / total * WINDOW_CHOICES) as u64;
    (0..SHAPE.sets).flat_map(|_| (0..SHAPE.experts).map(count)).collect()
}

fn demand(favourite: usize) -> Demand {
    let mut demand = Demand::new(SHAPE);
    demand.observe(&window(favourite));
    demand
}

fn full_limits() -> StepLimits {
    StepLimits::for_pressure(1.0, 4, FAST_COPIES)
}

fn steps(mut map: Map, demand: &Demand, paces: &[f64], count: usize) -> Map {
    for _ in 0..count {
        match step(&map, demand, paces, full_limits()) {
            Some(step) => map = step.map,
            None => break,
        }
    }
    map
}

fn assert_is_valid(map: &Map) {
    for ranks in map {
        let held = |e: u16| ranks.iter().any(|rank| rank.contains(&e));
        assert!((0..SHAPE.experts as u16).all(held), "an expert is held by no rank: {ranks:?}");
        for rank in ranks {
            let mut unique = rank.clone();
            unique.sort_unstable();
            unique.dedup();
            assert_eq!(unique.len(), rank.len(), "a rank holds an expert twice");
            assert!(rank.len() <= SHAPE.replicas_per_rank);
        }
    }
}

/// Topics change and with them the popular experts, so one rank has most of the load and slows down
/// all streams of the group. A few steps must restore a nearly even load.
#[test]
fn step_after_shift() {
    let first = SHAPE.first_map();
    let old = steps(first, &demand(0), &EQUAL_PACES, 8);
    let shifted = demand(27);
    let before = skew(&old, &shifted, &EQUAL_PACES);
    let after = skew(&steps(old, &shifted, &EQUAL_PACES, 8), &shifted, &EQUAL_PACES);
    assert!(before > 1.3, "the shift must cause skew: {before}");
    assert!(after < 1.1, "{before} became {after}");
}

#[test]
fn step_keeps_every_expert() {
    let mut map = SHAPE.first_map();
    for favourite in [0, 25, 41, 3, 63] {
        map = steps(map, &demand(favourite), &EQUAL_PACES, 6);
        assert_is_valid(&map);
    }
}

/// Largest number of experts that a step copies to one rank.
fn most_copies(old: &Map, new: &Map) -> usize {
    let copies = |rank: usize| -> usize {
        let pairs = old.iter().zip(new);
        pairs.map(|(old, new)| new[rank].iter().filter(|e| !old[rank].contains(e)).count()).sum()
    };
    (0..SHAPE.ranks).map(copies).max().unwrap_or(0)
}

#[test]
fn step_copies_as_counted() {
    let map = SHAPE.first_map();
    let step = step(&map, &demand(2), &EQUAL_PACES, full_limits()).unwrap();
    assert_eq!(most_copies(&map, &step.map), step.copies);
}

/// With large experts and slow links one copy takes several passes. Two copies per rank would keep
/// the group on its old map for twice as long after a shift of demand, and all streams would be
/// late meanwhile. The first copies have most of the gain and must not wait for further ones.
#[test]
fn step_slow_copies_one_per_rank() {
    let (old, shifted) = (steps(SHAPE.first_map(), &demand(0), &EQUAL_PACES, 8), demand(27));
    let limits = |times| StepLimits::for_pressure(1.0, 4, times);
    let slow = step(&old, &shifted, &EQUAL_PACES, limits(SLOW_COPIES)).unwrap();
    let fast = step(&old, &shifted, &EQUAL_PACES, limits(FAST_COPIES)).unwrap();
    assert_eq!(most_copies(&old, &slow.map), 1);
    assert!(most_copies(&old, &fast.map) > 1);
}

/// Demand has changed slightly. Slow copies, which lengthen passes for most of the time until the
/// next shift, cost more than the small reduction of skew gains; fast copies don't.
#[test]
fn step_slow_copies_small_gain_left() {
    let map = steps(SHAPE.first_map(), &demand(0), &EQUAL_PACES, 8);
    let parts = window(0).into_iter().zip(window(27));
    let moved: Vec<u64> = parts.map(|(old, new)| (old * 12 + new) / 13).collect();
    let mut demand = Demand::new(SHAPE);
    demand.observe(&moved);
    let planned = |times| {
        step(&map, &demand, &EQUAL_PACES, StepLimits::for_pressure(1.0, 4, times)).is_some()
    };
    assert!(planned(FAST_COPIES));
    assert!(!planned(SLOW_COPIES));
}

/// A rank becomes slow and delays every pass of its group. Experts that other ranks hold too can be
/// dropped from it immediately, without a copy.
#[test]
fn step_relieves_slow_rank() {
    let demand = demand(0);
    let map = steps(SHAPE.first_map(), &demand, &EQUAL_PACES, 8);
    let paces = [1.0, 1.0, 5.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    let before = skew(&map, &demand, &paces);
    let after = skew(&steps(map, &demand, &paces, 6), &demand, &paces);
    assert!(after < before * 0.6, "{before} became {after}");
}

/// Copies are billed and lengthen passes while they last. While passes are short, there must be no
/// copies for a gain that no caller would notice.
#[test]
fn step_low_pressure_copies_less() {
    let demand = demand(0);
    let first = SHAPE.first_map();
    let copies = |pressure: f64| {
        let limits = StepLimits::for_pressure(pressure, 4, FAST_COPIES);
        let mut map = first.clone();
        let mut copies = 0;
        while let Some(next) = step(&map, &demand, &EQUAL_PACES, limits) {
            copies += new_experts(&map, &next.map);
            map = next.map;
        }
        copies
    };
    assert!(copies(0.2) < copies(1.0), "{} and {}", copies(0.2), copies(1.0));
}

fn new_experts(old: &Map, new: &Map) -> usize {
    let pairs = old.iter().flatten().zip(new.iter().flatten());
    pairs.map(|(old, new)| new.iter().filter(|expert| !old.contains(expert)).count()).sum()
}

#[test]
fn observe_shift_replaces_mean() {
    let mut demand = demand(0);
    assert!(!demand.observe(&window(0)));
    assert!(demand.observe(&window(33)));
}

/// A window with noise: each expert's count varies by up to `spread`, relatively, to either side.
fn noisy<R>(favourite: usize, spread: f64, rng: &mut R) -> Vec<u64>
where
    R: Rng,
{
    let vary = |count: u64| count as f64 * (1.0 + rng.random_range(-spread..spread));
    window(favourite).into_iter().map(vary).map(|count| count as u64).collect()
}

/// Windows of 32 ranks vary little, and a shift of a few topics changes a fifth of the choices.
/// Mistaken for noise, the map would be planned for outdated demand, and passes would take twice as
/// long for a second.
#[test]
fn observe_small_shift_of_steady_group() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut demand = demand(0);
    (0..20).for_each(|_| {
        demand.observe(&noisy(0, 0.1, &mut rng));
    });
    let (old, new) = (window(0), window(33));
    let mixed: Vec<u64> = old.iter().zip(&new).map(|(old, new)| (old * 3 + new) / 4).collect();
    assert!(demand.observe(&mixed));
}

/// Windows of 8 ranks vary by a fifth and more without any shift. If each of them counted as a
/// shift, it would cancel the change in progress, and the map would never be balanced.
#[test]
fn observe_noise_is_no_shift() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut demand = demand(0);
    let shifts = (0..200).filter(|_| demand.observe(&noisy(0, 0.6, &mut rng))).count();
    assert!(shifts <= 4, "{shifts} of 200 windows");
}
