//! How evenly callers load entries of two sizes, with the directory's choice and the entries' own
//! gauges on a simulated clock. The variants show that the goals can be missed.
//!
//!     cargo bench -p flamingowheel-gateway --bench uneven -- [--seed N]

#![allow(clippy::print_stdout, reason = "the report is the output")]

use flamingowheel_policy::capacity::{Factors, LoadGauge, Reading, Resources};
use flamingowheel_policy::directory::{Caller, Candidate, choose};
use flamingowheel_policy::key::{DataCentreKey, EntryKey};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Sizes of fleets, in entries, and their data centres.
const FLEETS: [(usize, usize); 4] = [(6, 3), (42, 3), (74, 3), (380, 5)];

/// Most addresses of an answer.
const MAX_NAMED: usize = 64;

/// Callers for each entry.
const CALLERS_PER_ENTRY: usize = 60;

/// Time between readings of an entry's load.
const TICK: Duration = Duration::from_millis(250);

/// Ticks for which callers keep an answer; one in ten keeps it three times as long.
const KEPT_TICKS: usize = 8;

/// Ticks from a change of an entry's record until the directory knows it.
const NEWS_TICKS: usize = 2;

/// Time for which a traffic thread usually runs each time it wakes up, in microseconds.
const RUN_TIME_US: f64 = 100.0;

/// Demand of the whole fleet, as a share of what it can take.
const DEMAND: f64 = 0.45;

/// Demand in one data centre at a peak, as a multiple of its usual one.
const PEAK: f64 = 2.2;

/// Factor by which slow entries are slower.
const SLOWDOWN: f64 = 4.0;

/// How answers are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Proportional,
    EqualShares,
    StaleLoads,
    LeastLoaded,
}

const WAYS: [Way; 4] = [Way::Proportional, Way::EqualShares, Way::StaleLoads, Way::LeastLoaded];

struct Entry {
    candidate: Candidate,
    size: f64,
    slowdown: f64,
    gauge: LoadGauge,
    news: Vec<(usize, Factors)>,
    load: f64,
}

struct Asker {
    caller: Caller,
    demand: f64,
    asks_at: usize,
    kept_ticks: usize,
    answer: Vec<usize>,
}

struct Fleet {
    way: Way,
    entries: Vec<Entry>,
    askers: Vec<Asker>,
    named: Vec<usize>,
    answers: usize,
    rng: ChaCha8Rng,
    tick: usize,
}

impl Fleet {
    fn new(way: Way, count: usize, data_centres: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entry = |number: usize| {
            let is_large = (number / data_centres).is_multiple_of(2);
            let large = Resources {
                cpu_cores: 0.5,
                link_bytes_per_s: 25_000_000,
                memory_bytes: 512_000_000,
                max_descriptors: 8_192,
            };
            let small = Resources {
                cpu_cores: 0.17,
                link_bytes_per_s: 3_500_000,
                memory_bytes: 112_000_000,
                max_descriptors: 2_870,
            };
            let size = if is_large { large } else { small }.requests_per_s();
            let candidate = Candidate {
                key: EntryKey::from_name(&format!("entry-{seed}-{number}")),
                data_centre: DataCentreKey((number % data_centres) as u64),
                size: (way != Way::EqualShares).then_some(size),
                speed: 1.0,
                room: 1.0,
            };
            let gauge = LoadGauge::new(Duration::ZERO);
            Entry { candidate, size, slowdown: 1.0, gauge, news: Vec::new(), load: 0.0 }
        };
        let entries: Vec<Entry> = (0..count).map(entry).collect();
        let capacity: f64 = entries.iter().map(|entry| entry.size).sum();
        let callers = count * CALLERS_PER_ENTRY;
        let askers = (0..callers).map(|number| {
            let data_centre = DataCentreKey((number % data_centres) as u64);
            Asker {
                caller: Caller { key: rng.random(), data_centre: Some(data_centre) },
                demand: DEMAND * capacity / callers as f64,
                asks_at: rng.random_range(0..KEPT_TICKS),
                kept_ticks: if number % 10 == 0 { 3 * KEPT_TICKS } else { KEPT_TICKS },
                answer: Vec::new(),
            }
        });
        let askers = askers.collect();
        Self { way, entries, askers, named: vec![0; count], answers: 0, rng, tick: 0 }
    }

    fn run(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.ask();
            self.serve();
            self.tick += 1;
        }
    }

    fn ask(&mut self) {
        let candidates: Vec<Candidate> = self.entries.iter().map(|entry| entry.candidate).collect();
        let least = self.least_loaded();
        for asker in self.askers.iter_mut().filter(|asker| asker.asks_at <= self.tick) {
            asker.asks_at = self.tick + asker.kept_ticks;
            asker.answer = match self.way {
                Way::LeastLoaded => least.clone(),
                _ => choose(&candidates, &asker.caller, MAX_NAMED),
            };
            asker.answer.iter().for_each(|&named| self.named[named] += 1);
            self.answers += 1;
        }
    }

    fn least_loaded(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        order.sort_by(|&a, &b| {
            self.entries[a].utilisation().total_cmp(&self.entries[b].utilisation())
        });
        order.truncate(self.entries.len().div_ceil(10).max(2));
        order
    }

    fn serve(&mut self) {
        self.entries.iter_mut().for_each(|entry| entry.load = 0.0);
        for asker in &self.askers {
            for &named in &asker.answer {
                self.entries[named].load += asker.demand / asker.answer.len() as f64;
            }
        }
        let now = TICK * (self.tick as u32 + 1);
        for entry in &mut self.entries {
            let noise = self.rng.random_range(0.85..1.15);
            let run_time_us = RUN_TIME_US * entry.slowdown * noise;
            let reading = Reading {
                run_time: Some(Duration::from_nanos((run_time_us * 1_000.0) as u64)),
                busy: entry.utilisation().min(1.0),
                held: 0.0,
            };
            if let Some(factors) = entry.gauge.update(reading, now) {
                entry.news.push((self.tick + NEWS_TICKS, factors));
            }
            let known = entry.news.iter().rev().find(|(at, _)| *at <= self.tick);
            if let Some((_, factors)) = known.filter(|_| self.way == Way::Proportional) {
                (entry.candidate.speed, entry.candidate.room) = (factors.speed, factors.room);
            }
        }
    }

    /// The load of the entry with most, over the mean, by what each can take.
    fn worst_over_mean(&self) -> f64 {
        let load: f64 = self.entries.iter().map(|entry| entry.load).sum();
        let capacity: f64 = self.entries.iter().map(Entry::capacity).sum();
        let worst = self.entries.iter().map(Entry::utilisation).fold(0.0, f64::max);
        worst * capacity / load
    }

    fn worst_utilisation(&self) -> f64 {
        self.entries.iter().map(Entry::utilisation).fold(0.0, f64::max)
    }

    /// The share of demand that goes to entries of its own data centre.
    fn near_share(&self) -> f64 {
        let is_near = |asker: &Asker, named: usize| {
            Some(self.entries[named].candidate.data_centre) == asker.caller.data_centre
        };
        let near = |asker: &Asker| {
            let near = asker.answer.iter().filter(|&&named| is_near(asker, named)).count();
            asker.demand * near as f64 / asker.answer.len() as f64
        };
        let demand: f64 = self.askers.iter().map(|asker| asker.demand).sum();
        self.askers.iter().map(near).sum::<f64>() / demand
    }

    fn changes(&self) -> usize {
        self.entries.iter().map(|entry| entry.news.len()).sum()
    }
}

impl Entry {
    fn capacity(&self) -> f64 {
        self.size / self.slowdown
    }

    fn utilisation(&self) -> f64 {
        self.load / self.capacity()
    }
}

fn steady(way: Way, name: &str, fleet: &mut Fleet) {
    fleet.run(Duration::from_secs(30));
    println!("{name}_worst_over_mean = {:.3}", fleet.worst_over_mean());
    println!("{name}_near_share = {:.3}", fleet.near_share());
    let least = fleet.named.iter().min().copied().unwrap_or(0);
    println!("{name}_least_named_share = {:.4}", least as f64 / fleet.answers as f64);
    if way == Way::Proportional {
        println!("{name}_announced_changes = {}", fleet.changes());
    }
}

/// A fifth of the entries turns slow.
fn slow(name: &str, fleet: &mut Fleet) {
    fleet.entries.iter_mut().step_by(5).for_each(|entry| entry.slowdown = SLOWDOWN);
    fleet.run(Duration::from_secs(5));
    println!("{name}_slow_after_5s_worst_over_mean = {:.3}", fleet.worst_over_mean());
    fleet.run(Duration::from_secs(10));
    println!("{name}_slow_after_15s_worst_over_mean = {:.3}", fleet.worst_over_mean());
}

/// Demand doubles in one data centre.
fn peak(name: &str, fleet: &mut Fleet) {
    fleet.run(Duration::from_secs(20));
    let peaking = Some(DataCentreKey(0));
    let peaked = fleet.askers.iter_mut().filter(|asker| asker.caller.data_centre == peaking);
    peaked.for_each(|asker| asker.demand *= PEAK);
    let (mut lowest, mut highest) = (f64::INFINITY, 0.0_f64);
    for second in 0..40 {
        fleet.run(Duration::from_secs(1));
        if second == 7 {
            println!("{name}_peak_after_8s_worst_busy = {:.3}", fleet.worst_utilisation());
        }
        if second >= 15 {
            lowest = lowest.min(fleet.near_share());
            highest = highest.max(fleet.near_share());
        }
    }
    println!("{name}_peak_worst_busy = {:.3}", fleet.worst_utilisation());
    println!("{name}_peak_near_share_swing = {:.3}", highest - lowest);
}

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed").ok().flatten().unwrap_or(1);
    for way in WAYS {
        for (count, data_centres) in FLEETS {
            let name = format!("{way:?}_{count}").to_lowercase();
            let mut fleet = Fleet::new(way, count, data_centres, seed);
            steady(way, &name, &mut fleet);
            slow(&name, &mut fleet);
            if way == Way::Proportional {
                peak(&name, &mut Fleet::new(way, count, data_centres, seed));
            }
        }
    }
}
