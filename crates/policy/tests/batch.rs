//! A rank group whose demand shifts every few seconds, with several entries before it.

use flamingowheel_policy::batch::{BatchLimit, PassModel, crowding};
use flamingowheel_policy::passes::{PassTime, limit_ms, retry_after_ms};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const ENTRIES: usize = 7;
const RANKS: f64 = 12.0;
const PAUSE_GOAL_MS: f64 = 120.0;
const STEPS: f64 = 4.0;
const STEP_MS: f64 = 4.55;
const PER_SEQUENCE_MS: f64 = 0.905;
const EXPERT_SHARE: f64 = 0.85;
/// Events of a stream, one a pass.
const EVENTS: u32 = 24;
const ARRIVALS_PER_S: f64 = 52.0;
const SECONDS: f64 = 40.0;
const SHIFT_EVERY_MS: f64 = 2_700.0;
/// From a shift until the map is even again.
const UNEVEN_MS: f64 = 1_000.0;
const EVEN_SKEW: f64 = 1.25;
const SHIFTED_SKEW: f64 = 2.9;

/// How long a caller comes back after its first try.
const PATIENCE_MS: f64 = 2_500.0;

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    Passes,
    PassesAndNumber,
}

#[derive(Clone, Copy)]
struct Day {
    has_shifts: bool,
    /// When arrivals double for two seconds.
    burst_at_ms: Option<f64>,
    arrivals_per_s: f64,
}

struct Stream {
    entry: usize,
    arrived_ms: f64,
    left: u32,
    longest_ms: f64,
}

struct Caller {
    arrived_ms: f64,
    back_at_ms: f64,
}

/// Requests that arrived in a second, and those of them that were in time.
#[derive(Clone, Copy, Default)]
struct Second {
    arrived: u32,
    in_time: u32,
}

struct Group {
    rule: Rule,
    passes: Vec<PassTime>,
    bounds: Vec<BatchLimit>,
    batch: Vec<Stream>,
    rng: ChaCha8Rng,
}

impl Group {
    fn new(rule: Rule, seed: u64) -> Self {
        Self {
            rule,
            passes: vec![PassTime::default(); ENTRIES],
            bounds: vec![BatchLimit::default(); ENTRIES],
            batch: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn own(&self, entry: usize) -> u32 {
        self.batch.iter().filter(|stream| stream.entry == entry).count() as u32
    }

    /// Lets the pass be seen by all entries that have a stream in it.
    fn end_pass(&mut self, lasted_ms: f64, now_ms: f64) -> Vec<Stream> {
        let now = at(now_ms);
        for entry in 0..ENTRIES {
            let own = self.own(entry);
            if own == 0 {
                continue;
            }
            self.passes[entry].observe(lasted_ms, now);
            if let Some(mean_ms) = self.passes[entry].mean_ms(now) {
                self.bounds[entry].observe(mean_ms, own, &model(), now);
            }
        }
        for stream in &mut self.batch {
            stream.left -= 1;
            stream.longest_ms = stream.longest_ms.max(lasted_ms);
        }
        self.batch.extract_if(.., |stream| stream.left == 0).collect()
    }

    /// Takes a caller in, or tells when to come back.
    fn offer(&mut self, arrived_ms: f64, now_ms: f64) -> Option<Caller> {
        let entry = self.rng.random_range(0..ENTRIES);
        let draw: f64 = self.rng.random();
        let has_returned = now_ms > arrived_ms;
        let limit_ms = limit_ms(PAUSE_GOAL_MS, has_returned, draw);
        let pass_ms = self.passes[entry].mean_ms(at(now_ms)).unwrap_or(0.0);
        let bound = self.bounds[entry].max_requests(PAUSE_GOAL_MS, &model(), at(now_ms));
        let bound = bound.filter(|_| self.rule == Rule::PassesAndNumber);
        let softness = if has_returned { 1.0 } else { draw };
        let by_number = bound.map_or(0.0, |bound| crowding(self.own(entry), bound, softness));
        let crowding = by_number.max(pass_ms / limit_ms);
        if crowding > 1.0 {
            let wait_ms = retry_after_ms(crowding, pass_ms, draw) as f64;
            return Some(Caller { arrived_ms, back_at_ms: now_ms + wait_ms });
        }
        self.batch.push(Stream { entry, arrived_ms, left: EVENTS, longest_ms: 0.0 });
        None
    }
}

fn at(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

fn model() -> PassModel {
    PassModel {
        fixed_ms: STEPS * STEP_MS,
        per_request_ms: STEPS * PER_SEQUENCE_MS * ENTRIES as f64 / RANKS,
        expert_share: EXPERT_SHARE,
    }
}

/// A pass as the engines publish it; it varies with the prompts that are read in it.
fn pass_ms<R>(batch: usize, skew: f64, rng: &mut R) -> f64
where
    R: Rng,
{
    let step_ms = STEP_MS + PER_SEQUENCE_MS * batch as f64 / RANKS;
    let ratio = 1.0 - EXPERT_SHARE + EXPERT_SHARE * skew;
    STEPS * step_ms * ratio * rng.random_range(0.95..1.2)
}

fn skew_at(day: Day, now_ms: f64) -> f64 {
    let is_uneven = day.has_shifts && now_ms % SHIFT_EVERY_MS < UNEVEN_MS;
    if is_uneven { SHIFTED_SKEW } else { EVEN_SKEW }
}

fn play(rule: Rule, day: Day, seed: u64) -> Vec<Second> {
    let mut group = Group::new(rule, seed);
    let mut seconds = vec![Second::default(); SECONDS as usize + 2];
    let mut waiting: Vec<Caller> = Vec::new();
    let mut now_ms = 0.0;
    while now_ms < SECONDS * 1_000.0 {
        let began_ms = now_ms;
        let lasted_ms = pass_ms(group.batch.len(), skew_at(day, now_ms), &mut group.rng);
        now_ms += lasted_ms;
        for stream in group.end_pass(lasted_ms, now_ms) {
            let is_in_time = stream.longest_ms <= PAUSE_GOAL_MS;
            seconds[(stream.arrived_ms / 1_000.0) as usize].in_time += u32::from(is_in_time);
        }
        let back: Vec<Caller> = waiting.extract_if(.., |c| c.back_at_ms <= now_ms).collect();
        for caller in back {
            waiting.extend(group.offer(caller.arrived_ms, now_ms));
        }
        let is_burst = day.burst_at_ms.is_some_and(|b| (b..b + 2_000.0).contains(&began_ms));
        let rate = day.arrivals_per_s * if is_burst { 2.0 } else { 1.0 };
        let expected = rate * lasted_ms / 1_000.0;
        let count = expected as u32 + u32::from(group.rng.random::<f64>() < expected.fract());
        for _ in 0..count {
            seconds[(now_ms / 1_000.0) as usize].arrived += 1;
            waiting.extend(group.offer(now_ms, now_ms));
        }
        waiting.retain(|caller| caller.back_at_ms - caller.arrived_ms < PATIENCE_MS);
    }
    seconds
}

/// Share of the requests from one second to another that were in time, over several seeds.
fn share(rule: Rule, day: Day, from: usize, to: usize) -> f64 {
    let days = (1..=8).map(|seed| play(rule, day, seed));
    let seconds: Vec<Second> = days.flat_map(|day| day[from..to].to_vec()).collect();
    let arrived: u32 = seconds.iter().map(|second| second.arrived).sum();
    let in_time: u32 = seconds.iter().map(|second| second.in_time).sum();
    f64::from(in_time) / f64::from(arrived)
}

const SHIFTS: Day = Day { has_shifts: true, burst_at_ms: None, arrivals_per_s: ARRIVALS_PER_S };

/// Demand shifts every few seconds, and for two seconds twice as many callers come. With a limit on
/// passes alone the group is full from then on at each shift, and nearly all callers get late clauses
/// until the shifts end, though the burst is long over.
#[test]
fn bound_burst_between_shifts() {
    let pushed = Day { burst_at_ms: Some(10_000.0), ..SHIFTS };
    let passes = share(Rule::Passes, pushed, 17, 36);
    let number = share(Rule::PassesAndNumber, pushed, 17, 36);
    assert!(passes < 0.4, "{passes} with a limit on passes");
    assert!(number > passes + 0.2, "{number} with a bound, {passes} without");
    let undisturbed = share(Rule::PassesAndNumber, SHIFTS, 17, 36);
    assert!(number > undisturbed - 0.05, "{number} after the burst, {undisturbed} without one");
}

/// A group whose demand never shifts keeps all its callers: the bound follows the passes seen, and
/// those are short.
#[test]
fn bound_no_shifts_nobody_held_back() {
    let calm = Day { has_shifts: false, ..SHIFTS };
    let number = share(Rule::PassesAndNumber, calm, 0, 36);
    assert!(number > 0.99, "{number}");
}

/// Ranks stop for a moment, or one is slow: the pass is long however few requests are in it. Taken for a
/// crowded batch, it would close the group to all callers for seconds.
#[test]
fn bound_long_passes_least_is_kept() {
    let mut bound = BatchLimit::default();
    for tenth in 0..100 {
        bound.observe(400.0, 2, &model(), Duration::from_millis(tenth * 100));
    }
    let left = bound.max_requests(PAUSE_GOAL_MS, &model(), Duration::from_secs(10)).unwrap();
    assert!(left >= 4.0, "{left}");
}

/// All processes start again after a power failure, and everybody who waited comes at once to a group
/// that has its first map. What passes take then does not come again, and must not hold callers
/// back for the seconds after it.
#[test]
fn bound_forming_nothing_learnt() {
    let mut bound = BatchLimit::default();
    for tenth in 0..30 {
        bound.observe(250.0, 16, &model(), Duration::from_millis(tenth * 100));
    }
    assert_eq!(bound.max_requests(PAUSE_GOAL_MS, &model(), Duration::from_secs(3)), None);
}
