//! Reuse of connections by many entries with few requests each.

use flamingowheel_policy::reuse;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

const RANKS: usize = 32;
const ENTRIES: usize = 74;
const REQUESTS_PER_S: f64 = 117.0;
const STREAM: Duration = Duration::from_millis(1_300);
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(1);
const DAY: Duration = Duration::from_secs(40);
const STATED: Duration = Duration::from_secs(5);
const SAMPLED_SHARE: f64 = 3.0 / RANKS as f64;

/// What a day brought.
struct Outcome {
    /// New connections per request.
    new_share: f64,
    /// Requests at the rank with the most over the mean, averaged over the day.
    worst_over_mean: f64,
}

/// Plays a day on which entries choose ranks by reports; `prefers` says whether by idle connections
/// too.
fn play(prefers: bool, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let idle_time = reuse::idle_time(Some(STATED));
    let mut idle: Vec<[Option<Duration>; RANKS]> = vec![[None; RANKS]; ENTRIES];
    let mut running: Vec<(Duration, usize, usize)> = Vec::new();
    let (mut load, mut report) = ([0_u32; RANKS], [0_u32; RANKS]);
    let (mut requests, mut opened, mut worst, mut samples) = (0, 0, 0.0, 0);
    for now in (0..DAY.as_millis() as u64).map(|step| STEP * step as u32) {
        running.retain(|(end, entry, rank)| {
            if *end <= now {
                load[*rank] -= 1;
                idle[*entry][*rank] = Some(now);
            }
            *end > now
        });
        if now.as_millis().is_multiple_of(REPORT_INTERVAL.as_millis()) {
            report = load;
            let mean = f64::from(load.iter().sum::<u32>()) / RANKS as f64;
            if mean > 1.0 {
                worst += f64::from(*load.iter().max().unwrap()) / mean;
                samples += 1;
            }
        }
        if rng.random::<f64>() >= REQUESTS_PER_S * STEP.as_secs_f64() {
            continue;
        }
        let entry = rng.random_range(0..ENTRIES);
        let mean = f64::from(report.iter().sum::<u32>()) / RANKS as f64;
        let is_idle = |rank: usize| idle[entry][rank].is_some_and(|since| now - since < idle_time);
        let key = |rank: usize, rng: &mut StdRng| {
            let is_reused = prefers && is_idle(rank) && reuse::is_preferred(report[rank], mean);
            let cost = (f64::from(report[rank]) + 0.5) * rng.random_range(0.9..1.1);
            (!is_reused, rng.random::<f64>() >= SAMPLED_SHARE, cost)
        };
        let keys: Vec<_> = (0..RANKS).map(|rank| key(rank, &mut rng)).collect();
        let rank = (0..RANKS).min_by(|a, b| keys[*a].partial_cmp(&keys[*b]).unwrap()).unwrap();
        requests += 1;
        opened += u32::from(!is_idle(rank));
        idle[entry][rank] = None;
        load[rank] += 1;
        running.push((now + STREAM, entry, rank));
    }
    Outcome {
        new_share: f64::from(opened) / f64::from(requests),
        worst_over_mean: worst / f64::from(samples),
    }
}

/// Guards against an entry that opens a connection for nearly every request, and against ranks that
/// are crowded because connections to them are open.
#[test]
fn is_preferred_many_entries_reused_uncrowded() {
    for seed in 1..=3 {
        let (before, after) = (play(false, seed), play(true, seed));
        let shares = (before.new_share, after.new_share);
        assert!(after.new_share < before.new_share / 2.0, "new connections {shares:?}");
        assert!(
            after.worst_over_mean < before.worst_over_mean * 1.05,
            "worst {} {}",
            before.worst_over_mean,
            after.worst_over_mean
        );
    }
}
