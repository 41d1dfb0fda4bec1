//! Rank speeds from noisy and invalid reports.

use flamingowheel_policy::rebalance::{RankSpeeds, Work};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 32;

fn work(speed: f64) -> Option<Work> {
    Some(Work { tokens: 1000.0, busy_us: 1000.0 / speed })
}

fn observe(speeds: &mut RankSpeeds, first: f64, times: usize) {
    let mut all = vec![work(1.0); RANKS];
    all[0] = work(first);
    (0..times).for_each(|_| speeds.observe(&all));
}

/// Samples are noisy. If noise made a rank count as slow, its experts would repeatedly be moved
/// away and back.
#[test]
fn observe_noise_alone() {
    for (seed, noise) in [0.01, 0.05, 0.1, 0.2].into_iter().enumerate() {
        let mut random = ChaCha8Rng::seed_from_u64(seed as u64);
        let mut speeds = RankSpeeds::new(RANKS);
        let mut normal = || (0..12).map(|_| random.random_range(-0.5..0.5)).sum::<f64>() * noise;
        for interval in 0..2000 {
            let all: Vec<_> = (0..RANKS).map(|_| work((1.0 + normal()).max(0.05))).collect();
            speeds.observe(&all);
            assert_eq!(speeds.speeds(), [1.0; RANKS], "noise {noise}, interval {interval}");
        }
    }
}

/// An accelerator throttles to half its speed and later recovers; both must be detected from two
/// agreeing samples.
#[test]
fn observe_slow_rank_and_recovery() {
    let mut speeds = RankSpeeds::new(RANKS);
    observe(&mut speeds, 1.0, 5);
    // It slows down in the middle of this interval.
    observe(&mut speeds, 0.75, 1);
    observe(&mut speeds, 0.5, 2);
    assert!((speeds.speeds()[0] - 0.5).abs() < 0.05, "{:?}", speeds.speeds());
    assert_eq!(speeds.speeds()[1..], [1.0; RANKS - 1]);
    observe(&mut speeds, 1.0, 1);
    assert!(speeds.speeds()[0] < 0.6, "one good report must not count as recovery");
    observe(&mut speeds, 1.0, 1);
    assert_eq!(speeds.speeds(), [1.0; RANKS]);
}

/// One report is late or truncated, so its counters are invalid for one interval.
#[test]
fn observe_one_bad_report() {
    for bad in [0.01, 0.4, 3.0, f64::INFINITY, f64::NAN, -1.0, 0.0] {
        let mut speeds = RankSpeeds::new(RANKS);
        for _ in 0..20 {
            observe(&mut speeds, 1.0, 3);
            observe(&mut speeds, bad, 1);
            assert_eq!(speeds.speeds(), [1.0; RANKS], "{bad}");
        }
    }
}

/// The engine of a slow rank is replaced by one that doesn't report its work, so the rank's speed
/// is unknown and must be reset to 1.
#[test]
fn observe_no_report_resets_speed() {
    let mut speeds = RankSpeeds::new(RANKS);
    observe(&mut speeds, 0.5, 3);
    assert_eq!(speeds.speeds()[0], 0.5);
    let mut all = vec![work(1.0); RANKS];
    all[0] = None;
    speeds.observe(&all);
    assert_eq!(speeds.speeds()[0], 0.5, "one missed report must not change the speed");
    (0..6).for_each(|_| speeds.observe(&all));
    assert_eq!(speeds.speeds(), [1.0; RANKS]);
    let mut none = RankSpeeds::new(2);
    (0..9).for_each(|_| none.observe(&[None, None]));
    assert_eq!(none.speeds(), [1.0, 1.0]);
}

/// One of two ranks is slow, so there is no majority to compare with.
#[test]
fn observe_two_ranks() {
    let mut speeds = RankSpeeds::new(2);
    (0..4).for_each(|_| speeds.observe(&[work(1.0), work(0.5)]));
    assert_eq!(speeds.speeds(), [1.0, 0.5]);
}
