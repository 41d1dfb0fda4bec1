//! Traces of expert loads and rank speeds, step by step.

use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const EXPERTS: usize = 64;
pub const RANKS: usize = 32;
pub const STEPS: usize = 288;
/// Steps observed before the first placement is made.
const STEPS_BEFORE: usize = 24;
const ZIPF_EXPONENT: f64 = 0.8;
const PERIOD_STEPS: f64 = 96.0;
const NOISE_SHARE: f64 = 0.1;

/// Loads and speeds of each step.
pub struct Trace {
    pub name: &'static str,
    /// Loads before the first step, from which the first placement is made.
    pub before: Vec<Vec<f64>>,
    pub loads: Vec<Vec<f64>>,
    pub speeds: Vec<Vec<f64>>,
}

/// Share of the second popularity order in the mix at a step.
type Mix = fn(usize) -> f64;

fn drift(step: usize) -> f64 {
    0.5 * (1.0 - (std::f64::consts::TAU * step as f64 / PERIOD_STEPS).cos())
}

/// An overnight batch that ramps up within a few steps, lasts, and ramps down as fast.
fn batch(step: usize) -> f64 {
    const RAMP_STEPS: f64 = 8.0;
    let at = (step % 144) as f64;
    let up = ((at - 48.0) / RAMP_STEPS).clamp(0.0, 1.0);
    let down = ((at - 96.0) / RAMP_STEPS).clamp(0.0, 1.0);
    0.8 * (up - down)
}

fn jump(step: usize) -> f64 {
    if step < STEPS / 2 { 0.0 } else { 1.0 }
}

fn constant(_step: usize) -> f64 {
    0.0
}

/// All traces of one seed.
pub fn all(seed: u64) -> Vec<Trace> {
    let kinds: [(&'static str, Mix, bool); 5] = [
        ("daily_drift", drift, false),
        ("overnight_batch", batch, false),
        ("jump", jump, false),
        ("slow_rank", constant, true),
        ("noise", constant, false),
    ];
    let build = |(index, (name, mix, slow)): (usize, (&'static str, Mix, bool))| {
        let seed = seed.wrapping_mul(31).wrapping_add(index as u64);
        Trace { speeds: speeds(slow), ..trace(name, seed, mix) }
    };
    kinds.into_iter().enumerate().map(build).collect()
}

/// A trace of one more drifting layer.
pub fn drifting(seed: u64) -> Trace {
    trace("layer", seed, drift)
}

/// First step at which the slow rank is slow.
pub const SLOW_FROM: usize = 96;

fn speeds(slow: bool) -> Vec<Vec<f64>> {
    let at = |step: usize| {
        let mut speeds = vec![1.0; RANKS];
        if slow && step >= SLOW_FROM {
            speeds[0] = 0.5;
        }
        speeds
    };
    (0..STEPS).map(at).collect()
}

fn trace(name: &'static str, seed: u64, mix: Mix) -> Trace {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let first = zipf(&mut random);
    let second = zipf(&mut random);
    let mut loads = |step: usize| -> Vec<f64> {
        let share = mix(step);
        let mixed = first.iter().zip(&second).map(|(a, b)| a * (1.0 - share) + b * share);
        mixed.map(|load| load * (1.0 + NOISE_SHARE * normal(&mut random)).max(0.0)).collect()
    };
    let before = (0..STEPS_BEFORE).map(|_| loads(0)).collect();
    Trace { name, before, loads: (0..STEPS).map(loads).collect(), speeds: speeds(false) }
}

fn zipf<Random>(random: &mut Random) -> Vec<f64>
where
    Random: Rng,
{
    let mut loads: Vec<f64> =
        (1..=EXPERTS).map(|position| (position as f64).powf(-ZIPF_EXPONENT)).collect();
    loads.shuffle(random);
    loads
}

/// A standard normal number by the Box-Muller transform.
fn normal<Random>(random: &mut Random) -> f64
where
    Random: Rng,
{
    let radius: f64 = 1.0 - random.random::<f64>();
    let angle = std::f64::consts::TAU * random.random::<f64>();
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
