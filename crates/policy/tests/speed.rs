//! Speeds of ranks from noisy and broken reports.

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

/// Reports flicker. If a rank were taken for slow because of that, its experts would be moved
/// away and back all day.
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

/// An accelerator throttles to half its speed and later recovers.
#[test]
fn observe_slow_rank_and_recovery() {
    let mut speeds = RankSpeeds::new(RANKS);
    observe(&mut speeds, 1.0, 5);
    // The interval in which it slows down is half one thing and half the other.
    observe(&mut speeds, 0.75, 1);
    observe(&mut speeds, 0.5, 2);
    assert!((speeds.speeds()[0] - 0.5).abs() < 0.05, "{:?}", speeds.speeds());
    assert_eq!(speeds.speeds()[1..], [1.0; RANKS - 1]);
    observe(&mut speeds, 1.0, 1);
    assert!(speeds.speeds()[0] < 0.6, "one good report is no recovery");
    observe(&mut speeds, 1.0, 1);
    assert_eq!(speeds.speeds(), [1.0; RANKS]);
}

/// One report comes late or is cut short, so that its counters make no sense for one interval.
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

/// A slow rank's engine is replaced by one that does not count. Nothing is known of it.
#[test]
fn observe_no_report_counts_as_one() {
    let mut speeds = RankSpeeds::new(RANKS);
    observe(&mut speeds, 0.5, 3);
    assert_eq!(speeds.speeds()[0], 0.5);
    let mut all = vec![work(1.0); RANKS];
    all[0] = None;
    speeds.observe(&all);
    assert_eq!(speeds.speeds()[0], 0.5, "one missed report changes nothing");
    (0..6).for_each(|_| speeds.observe(&all));
    assert_eq!(speeds.speeds(), [1.0; RANKS]);
    let mut none = RankSpeeds::new(2);
    (0..9).for_each(|_| none.observe(&[None, None]));
    assert_eq!(none.speeds(), [1.0, 1.0]);
}

/// Of two ranks one is slow: there is no majority to compare it with.
#[test]
fn observe_two_ranks() {
    let mut speeds = RankSpeeds::new(2);
    (0..4).for_each(|_| speeds.observe(&[work(1.0), work(0.5)]));
    assert_eq!(speeds.speeds(), [1.0, 0.5]);
}
