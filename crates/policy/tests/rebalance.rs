//! Properties of the rebalancer over arbitrary placements, loads and speeds.

use flamingowheel_policy::rebalance::{
    DecayedLoads, Params, Placement, Request, RequestError, plan, repack, skew,
};
use proptest::prelude::*;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const EXPERTS: usize = 16;
const RANKS: usize = 8;

/// A placement that gives each expert one replica and fills the rest at random.
fn random_placement<Random>(random: &mut Random, slots_per_rank: usize) -> Placement
where
    Random: Rng,
{
    let mut experts: Vec<u16> = (0..EXPERTS as u16).collect();
    experts.resize_with(RANKS * slots_per_rank, || random.random_range(0..EXPERTS as u16));
    experts.shuffle(random);
    Placement { ranks: experts.chunks(slots_per_rank).map(<[u16]>::to_vec).collect() }
}

fn random_loads<Random>(random: &mut Random) -> DecayedLoads
where
    Random: Rng,
{
    let mut loads = DecayedLoads::new(0.3, &[1.0; EXPERTS]);
    for _ in 0..8 {
        let step: Vec<f64> = (0..EXPERTS).map(|_| random.random_range(0.0..20.0)).collect();
        loads.observe(&step);
    }
    loads
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn plan_any_request(
        seed in any::<u64>(),
        slots_per_rank in 2usize..5,
        layers in 1usize..4,
        max_moves in 0usize..12,
        move_weight in 0.0..1.0,
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut placements = || random_placement(&mut random, slots_per_rank);
        let current: Vec<Placement> = (0..layers).map(|_| placements()).collect();
        let loads: Vec<DecayedLoads> = (0..layers).map(|_| random_loads(&mut random)).collect();
        let speeds: Vec<f64> = (0..RANKS).map(|_| random.random_range(0.3..1.5)).collect();
        let params = Params { max_moves, move_weight, ..Params::skew_weighted() };
        let request =
            Request { current: &current, loads: &loads, speeds: &speeds, params: &params };
        let planned = plan(&request).unwrap();
        prop_assert!(planned.move_count() <= max_moves);
        for layer in &planned.layers {
            prop_assert!(layer.target.check(EXPERTS).is_ok());
            prop_assert_eq!(&current[layer.layer].after(&layer.moves), &layer.target);
            prop_assert!(layer.gain >= params.min_gain);
            prop_assert!(layer.gain >= params.min_gain_per_move() * layer.moves.len() as f64);
        }
        prop_assert_eq!(plan(&request).unwrap(), planned);
    }
}

fn zipf() -> Vec<f64> {
    (1..=64).map(|position| f64::from(position).powf(-0.8)).collect()
}

fn noisy<Random>(random: &mut Random, loads: &[f64]) -> Vec<f64>
where
    Random: Rng,
{
    // Uniform on [-spread, spread], which has a standard deviation of a tenth of the load.
    let spread = 0.1 * 3f64.sqrt();
    loads.iter().map(|load| load * (1.0 + random.random_range(-spread..spread))).collect()
}

/// Plans repeatedly under noisy loads with one slow rank; returns the placement and the number of
/// moves.
fn plan_repeatedly(params: &Params, slow_speed: f64, plans: usize) -> (Placement, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (base, even) = (zipf(), vec![1.0; 32]);
    let mut speeds = even.clone();
    speeds[0] = slow_speed;
    let mut current = [repack(&base, &even, 3)];
    let mut loads = [DecayedLoads::new(0.3, &noisy(&mut random, &base))];
    let mut moved = 0;
    for _ in 0..plans {
        (0..4).for_each(|_| loads[0].observe(&noisy(&mut random, &base)));
        let request = Request { current: &current, loads: &loads, speeds: &speeds, params };
        let planned = plan(&request).unwrap();
        moved += planned.move_count();
        for layer in planned.layers {
            current[layer.layer] = layer.target;
        }
    }
    let [placement] = current;
    (placement, moved)
}

/// Loads with noise but no drift look slightly uneven in every plan. If the rebalancer reacted to
/// that, the group would continuously load experts and switch maps, and each switch delays callers.
#[test]
fn plan_noise_alone() {
    assert_eq!(plan_repeatedly(&Params::skew_weighted(), 1.0, 72).1, 0);
    assert_eq!(plan_repeatedly(&Params::move_weighted(), 1.0, 72).1, 0);
}

/// An accelerator throttles to half its speed. Since all ranks step together, every token of the
/// group takes nearly twice as long until the rank has less load.
#[test]
fn plan_slow_rank() {
    let mut speeds = vec![1.0; 32];
    speeds[0] = 0.5;
    for params in [Params::skew_weighted(), Params::move_weighted()] {
        let before = skew(&repack(&zipf(), &[1.0; 32], 3), &zipf(), &speeds);
        let (placement, _) = plan_repeatedly(&params, 0.5, 4);
        assert!(before > 1.8, "{before}");
        let after = skew(&placement, &zipf(), &speeds);
        assert!(after < 1.3, "{after}");
    }
}

/// Two layers need moves but the budget suffices for one. The plan must be complete for the layer
/// with the higher skew, since a part of a chain of moves can be worse than none.
#[test]
fn plan_shared_budget() {
    let even = Placement { ranks: vec![vec![0, 1], vec![2, 3]] };
    let current = [even.clone(), even];
    let loads = [
        DecayedLoads::new(0.3, &[2.0, 2.0, 1.0, 1.0]),
        DecayedLoads::new(0.3, &[9.0, 9.0, 1.0, 1.0]),
    ];
    let params = Params { max_moves: 2, ..Params::skew_weighted() };
    let request =
        Request { current: &current, loads: &loads, speeds: &[1.0, 1.0], params: &params };
    let planned = plan(&request).unwrap();
    assert_eq!(planned.move_count(), 2);
    assert_eq!(planned.layers[0].layer, 1);
    assert_eq!(skew(&planned.layers[0].target, loads[1].means(), &[1.0, 1.0]), 1.0);
}

/// A load report from a faulty rank may contain invalid numbers. The request is refused, so that
/// the current placement stays in use.
#[test]
fn plan_invalid_input() {
    let current = [Placement { ranks: vec![vec![0, 1], vec![2, 3]] }];
    let params = Params::skew_weighted();
    let refused = |loads: &[f64], speeds: &[f64]| {
        let loads = [DecayedLoads::new(0.3, loads)];
        plan(&Request { current: &current, loads: &loads, speeds, params: &params }).unwrap_err()
    };
    assert_eq!(refused(&[1.0, 1.0, 1.0, f64::NAN], &[1.0, 1.0]), RequestError::InvalidNumber);
    assert_eq!(refused(&[1.0; 4], &[1.0, 0.0]), RequestError::InvalidNumber);
    assert!(matches!(refused(&[1.0; 4], &[1.0]), RequestError::Ranks { .. }));
    assert!(matches!(refused(&[1.0; 5], &[1.0, 1.0]), RequestError::Placement { .. }));
}

#[test]
fn plan_no_load_at_all() {
    let current = [Placement { ranks: vec![vec![0, 1], vec![2, 3]] }];
    let loads = [DecayedLoads::new(0.3, &[0.0; 4])];
    let params = Params::skew_weighted();
    let request =
        Request { current: &current, loads: &loads, speeds: &[1.0, 1.0], params: &params };
    assert_eq!(plan(&request).unwrap().move_count(), 0);
}
