//! Time from the acknowledgement of a configuration until it is in force at the last entry, and
//! what it costs, with the entry's own feed on a paused clock.
//!
//!     cargo bench -p flamingowheel-gateway --bench spread -- [--seed N] [--entries N]

#![allow(clippy::print_stdout, reason = "the report is the output")]

#[path = "../tests/fleet/mod.rs"]
mod fleet;

use fleet::{FAULTS, Fault, Fleet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Sizes of fleets, in entries, and their data centres.
const SIZES: [(usize, usize); 5] = [(6, 3), (12, 3), (42, 3), (149, 5), (380, 5)];

/// Changes without a fault.
const CHANGES: usize = 100;

/// Entry-draws of each fault: larger fleets get fewer.
const DRAWS: usize = 800;

/// Longest time that is measured.
const LIMIT: Duration = Duration::from_secs(20);

/// Time in which costs are measured.
const COST_TIME: Duration = Duration::from_secs(10);

/// Time for a fleet to settle after a fault.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Which entries a fault strikes.
#[derive(Clone, Copy, Debug)]
enum Struck {
    /// One that follows the store, drawn.
    OneFollower,
    /// All that follow the store.
    AllFollowers,
    /// The same and a third of the others, drawn.
    ManyOthers,
}

const STRUCK: [Struck; 3] = [Struck::OneFollower, Struck::AllFollowers, Struck::ManyOthers];

/// Bytes, batches, reads and polls of the store, and renewals of leases so far.
struct Cost {
    at: Instant,
    counts: [f64; 4],
}

impl Cost {
    fn since(&self, before: &Self) -> [f64; 4] {
        std::array::from_fn(|kind| self.counts[kind] - before.counts[kind])
    }
}

struct Bench {
    fleet: Fleet,
    rng: ChaCha8Rng,
    name: String,
}

impl Bench {
    async fn run(entries: usize, data_centres: usize, seed: u64) {
        let fleet = Fleet::start(entries, data_centres).await;
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut bench = Self { fleet, rng, name: format!("entries_{entries}") };
        let steady = bench.steady_cost(entries).await;
        bench.without_faults(entries, steady).await;
        for struck in STRUCK {
            for fault in FAULTS {
                bench.with_fault(struck, fault, (DRAWS / entries).clamp(3, 20)).await;
            }
        }
    }

    fn cost(&self) -> Cost {
        let ((bytes, batches), calls) = (self.fleet.network.carried(), self.fleet.store.calls());
        let counts = [bytes, batches, calls.watch + calls.range, calls.keep_alive];
        Cost { at: Instant::now(), counts: counts.map(|count| count as f64) }
    }

    /// Prints and returns what the fleet costs a second while nothing changes.
    async fn steady_cost(&mut self, entries: usize) -> [f64; 4] {
        let before = self.cost();
        sleep(COST_TIME).await;
        let rates = self.cost().since(&before).map(|count| count / COST_TIME.as_secs_f64());
        let (name, [bytes, batches, calls, renewals]) = (&self.name, rates);
        println!("{name}_bytes_per_entry_per_s: {:.0}", bytes / entries as f64);
        println!("{name}_batches_per_entry_per_s: {:.1}", batches / entries as f64);
        println!("{name}_calls_per_s: {calls:.1}");
        println!("{name}_renewals_per_s: {renewals:.1}");
        rates
    }

    async fn without_faults(&mut self, entries: usize, steady: [f64; 4]) {
        let before = self.cost();
        let mut times = Vec::new();
        for _ in 0..CHANGES {
            let gap_ms = self.rng.random_range(1_000..1_800);
            sleep(Duration::from_millis(gap_ms)).await;
            let version = self.fleet.change().await;
            times.push(self.time_in_force(version, &[]).await);
        }
        let (spent, seconds) = (self.cost().since(&before), before.at.elapsed().as_secs_f64());
        let of_changes = |kind: usize| (spent[kind] - steady[kind] * seconds) / CHANGES as f64;
        let name = &self.name;
        println!("{name}_bytes_per_entry_and_change: {:.0}", of_changes(0) / entries as f64);
        println!("{name}_calls_per_change: {:.1}", of_changes(2));
        print_times(&format!("{name}_single_changes"), &mut times);
        let mut times = Vec::new();
        for _ in 0..CHANGES {
            let gap_ms = self.rng.random_range(0..100);
            sleep(Duration::from_millis(gap_ms)).await;
            let version = self.fleet.change().await;
            times.push(self.time_in_force(version, &[]).await);
        }
        print_times(&format!("{}_changes_in_series", self.name), &mut times);
    }

    async fn with_fault(&mut self, struck: Struck, fault: Fault, draws: usize) {
        let mut times = Vec::new();
        for _ in 0..draws {
            let vms = self.draw(struck);
            let offset_ms = self.rng.random_range(0..600);
            sleep(Duration::from_millis(offset_ms)).await;
            self.fleet.change().await;
            for vm in &vms {
                self.fleet.strike(vm, fault);
            }
            let gap_ms = self.rng.random_range(0..400);
            sleep(Duration::from_millis(gap_ms)).await;
            let version = self.fleet.change().await;
            times.push(self.time_in_force(version, &vms).await);
            for vm in &vms {
                self.fleet.heal(vm, fault);
            }
            sleep(SETTLE_TIME).await;
        }
        print_times(&format!("{}_{struck:?}_{fault:?}", self.name), &mut times);
    }

    fn draw(&mut self, struck: Struck) -> Vec<String> {
        let followers = self.fleet.followers();
        match struck {
            Struck::OneFollower => {
                vec![followers[self.rng.random_range(0..followers.len())].clone()]
            }
            Struck::AllFollowers => followers,
            Struck::ManyOthers => {
                let others = self.fleet.vms().into_iter().filter(|vm| !followers.contains(vm));
                let rng = &mut self.rng;
                let drawn: Vec<String> = others.filter(|_| rng.random_bool(1.0 / 3.0)).collect();
                [followers.clone(), drawn].concat()
            }
        }
    }

    /// Time until `version` is in force at all entries that are not struck.
    async fn time_in_force(&self, version: u64, struck: &[String]) -> Duration {
        let mut vms = self.fleet.vms();
        vms.retain(|vm| !struck.contains(vm));
        self.fleet.in_force(version, &vms, LIMIT).await.unwrap_or(LIMIT)
    }
}

fn print_times(name: &str, times: &mut [Duration]) {
    times.sort();
    let (middle, most) = (times[times.len() / 2].as_millis(), times[times.len() - 1].as_millis());
    println!("{name}_ms: middle {middle}, most {most} of {}", times.len());
}

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed").ok().flatten().unwrap_or(1);
    let only: Option<usize> = arguments.opt_value_from_str("--entries").ok().flatten();
    for (entries, data_centres) in SIZES {
        if only.is_none_or(|only| only == entries) {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_time()
                .start_paused(true)
                .build()
                .unwrap();
            runtime.block_on(Bench::run(entries, data_centres, seed));
        }
    }
}
