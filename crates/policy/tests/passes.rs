//! Simulation of an overloaded rank group with many entries.

use flamingowheel_policy::passes::{PassTime, limit_ms, retry_after_ms};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const ENTRIES: usize = 42;
const RANKS: f64 = 32.0;
const PAUSE_GOAL_MS: f64 = 150.0;
/// Events of a stream, one per pass.
const EVENTS: u32 = 19;
/// A fifth more than the group can serve within the pause goal.
const ARRIVALS_PER_S: f64 = 185.0;
const SECONDS: f64 = 30.0;

struct Stream {
    entry: usize,
    events_left: u32,
    longest_ms: f64,
}

#[derive(Default)]
struct Tally {
    arrived: u32,
    in_time: u32,
    refused: u32,
}

/// Duration of a pass by the model that engines publish: five steps for the whole batch, multiplied
/// by the skew. Varies with the prompts that it prefills.
fn pass_ms<R>(batch: usize, rng: &mut R) -> f64
where
    R: Rng,
{
    let step_ms = 4.55 + 1.09 * batch as f64 / RANKS;
    5.0 * step_ms * 1.45 * rng.random_range(0.85..1.15)
}

fn simulate(is_limited: bool, arrivals_per_s: f64) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut passes = vec![PassTime::default(); ENTRIES];
    let mut batch: Vec<Stream> = Vec::new();
    let mut tally = Tally::default();
    let mut now_ms = 0.0;
    while now_ms < SECONDS * 1_000.0 {
        let lasted_ms = pass_ms(batch.len(), &mut rng);
        now_ms += lasted_ms;
        let now = Duration::from_secs_f64(now_ms / 1_000.0);
        for stream in &mut batch {
            passes[stream.entry].observe(lasted_ms, now);
            stream.events_left -= 1;
            stream.longest_ms = stream.longest_ms.max(lasted_ms);
        }
        let ended = batch.extract_if(.., |stream| stream.events_left == 0);
        tally.in_time += ended.filter(|s| s.longest_ms <= PAUSE_GOAL_MS).count() as u32;
        let expected = arrivals_per_s * lasted_ms / 1_000.0;
        let count = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
        for _ in 0..count {
            tally.arrived += 1;
            let entry = rng.random_range(0..ENTRIES);
            let limit = limit_ms(PAUSE_GOAL_MS, false, rng.random());
            if is_limited && passes[entry].mean_ms(now).is_some_and(|pass_ms| pass_ms > limit) {
                tally.refused += 1;
                continue;
            }
            batch.push(Stream { entry, events_left: EVENTS, longest_ms: 0.0 });
        }
    }
    tally
}

/// For half a minute a fifth more requests arrive than the group can serve in time. If all are
/// admitted, they slow each other down until every stream has a pause over the goal, although the
/// engines run at full speed. Each of the many entries observes only its own few streams.
#[test]
fn limit_ms_overload_most_served_in_time() {
    let unlimited = simulate(false, ARRIVALS_PER_S);
    let limited = simulate(true, ARRIVALS_PER_S);
    let share = |tally: &Tally| f64::from(tally.in_time) / f64::from(tally.arrived);
    assert!(share(&unlimited) < 0.2, "{} without a limit", share(&unlimited));
    assert!(share(&limited) > 0.6, "{} with a limit", share(&limited));
}

/// Below capacity no request must be refused: a refusal would cost a caller its answer needlessly.
#[test]
fn limit_ms_below_capacity_nobody_refused() {
    let below_capacity = simulate(true, ARRIVALS_PER_S / 2.0);
    assert_eq!(below_capacity.refused, 0, "of {}", below_capacity.arrived);
}

/// All ranks wait while a group is formed anew. That pause doesn't depend on the batch, and must
/// not cause refusals of the requests that arrive right after it.
#[test]
fn observe_interruption_ignored() {
    let mut passes = PassTime::default();
    passes.observe(80.0, Duration::from_millis(100));
    passes.observe(1_900.0, Duration::from_millis(150));
    assert_eq!(passes.mean_ms(Duration::from_millis(160)), Some(80.0));
}

/// Six streams of one entry observe the same long pass. Counted six times, it would weigh as much
/// as half a second of long passes.
#[test]
fn observe_one_pass_on_many_streams_counts_once() {
    let at = Duration::from_millis;
    let (mut one, mut many) = (PassTime::default(), PassTime::default());
    one.observe(60.0, at(0));
    many.observe(60.0, at(0));
    one.observe(140.0, at(80));
    (0..6).for_each(|_| many.observe(140.0, at(80)));
    assert_eq!(one, many);
}

/// Callers that were refused together must not retry at the same time.
#[test]
fn retry_after_ms_spread() {
    let crowding = 150.0 / 110.0;
    let (early, late) =
        (retry_after_ms(crowding, 150.0, 0.0), retry_after_ms(crowding, 150.0, 1.0));
    assert!(late - early > 200, "{early} to {late} ms");
}
