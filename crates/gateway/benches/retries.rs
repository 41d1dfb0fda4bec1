//! Retries of a whole fleet, counted at the backend servers by the users' rule, with the entries' own
//! budgets and choice of servers under a simulated clock.
//!
//!     cargo bench -p flamingowheel-gateway --bench retries -- [--seed N] [--entries N]

#![allow(clippy::print_stdout, reason = "the report is the output")]

#[allow(dead_code, unreachable_pub, missing_docs, reason = "shared with a test")]
#[path = "../tests/retries/mod.rs"]
mod retries;

use flamingowheel_gateway::budget::{Allowance, RetryBudget};
use flamingowheel_policy::quota::Urgency;
use retries::{Case, Fleet, RATIO, TROUBLES, WINDOW};
use std::sync::Arc;
use std::time::Instant;

/// Sizes of the fleet.
const ENTRIES: [usize; 6] = [6, 7, 12, 42, 149, 380];

/// Requests a second and entry in fleets of this size and more.
const LARGE: usize = 380;
const LARGE_RATE_PER_S: f64 = 34.0;

/// Shares of the backend servers that refuse.
const SICK: [f64; 3] = [1.0 / 7.0, 1.0 / 3.0, 1.0];

/// Threads that decide at once, and decisions of each.
const THREADS: u32 = 5;
const DECISIONS: u32 = 200_000;

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed").unwrap_or_default().unwrap_or(1);
    let only: Option<usize> = arguments.opt_value_from_str("--entries").unwrap_or_default();
    measure_cost();
    for entries in ENTRIES.into_iter().filter(|entries| only.is_none_or(|only| only == *entries)) {
        for trouble in TROUBLES {
            for sick in SICK {
                let mut case = Case::new(entries, sick, trouble);
                if entries >= LARGE {
                    case.rate_per_s = LARGE_RATE_PER_S;
                }
                report(case, seed);
            }
        }
    }
}

fn report(case: Case, seed: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let report = runtime.block_on(Fleet::run(case, seed));
    let name = format!("{}_{:?}_{:.2}", case.entries, case.trouble, case.sick_share);
    println!("{name}_worst = {:.3}", report.worst);
    println!("{name}_mean = {:.3}", report.mean);
    println!("{name}_rescued = {:.3} of {}", report.rescued_share(), report.failed_first);
    println!("{name}_longest_gap_s = {:.2}", report.longest_gap.as_secs_f64());
}

/// Prints the time of a request that is counted and a retry that is decided on, by several threads that
/// share a budget.
fn measure_cost() {
    let allowance = Allowance { ratio: RATIO, slack: 78.0, window: WINDOW };
    let budget = Arc::new(RetryBudget::new(allowance, "e"));
    let begin = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for _ in 0..DECISIONS {
                    let now = tokio::time::Instant::now();
                    budget.record_request("s", now);
                    std::hint::black_box(budget.try_acquire("s", Urgency::Second, now).is_ok());
                }
            });
        }
    });
    let decisions = f64::from(THREADS * DECISIONS);
    println!("decision_us = {:.3}", begin.elapsed().as_secs_f64() * 1e6 / decisions);
}
