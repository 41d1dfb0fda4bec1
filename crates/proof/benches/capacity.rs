//! Measures the marginal cost of entries, agents, links and messages in memory, CPU time and bytes,
//! on the production code. Prints `name=value` lines; docs/CAPACITY.md multiplies them by
//! the sizes of a fleet.
//!
//! Memory is allocated minus freed bytes. CPU time is that of the one thread that does the work, as
//! the kernel counts it.
#![allow(clippy::print_stdout, missing_docs, reason = "a program")]

#[path = "capacity/configuration.rs"]
mod configuration;
#[path = "capacity/decisions.rs"]
mod decisions;
#[path = "capacity/directory.rs"]
mod directory;
#[path = "capacity/links.rs"]
mod links;
#[path = "capacity/membership.rs"]
mod membership;
#[path = "capacity/wire.rs"]
mod wire;

use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Sizes of the planned fleet.
const WORKSPACES: usize = 27_000;
const ENTRIES: usize = 380;
const SERVERS: usize = 7_300;
const LAYERS: usize = 58;
const EXPERTS: usize = 64;
const RANKS: usize = 32;
/// CPU time that one measurement takes at least.
const MIN_CPU_NS: f64 = 400e6;
/// Divisor of the smaller size; costs per item are the slope between the two sizes.
const SIZE_DIVISOR: usize = 10;

fn main() -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    configuration::measure()?;
    runtime.block_on(membership::measure())?;
    directory::measure()?;
    runtime.block_on(links::measure())?;
    decisions::measure()?;
    wire::measure()
}

fn print(name: &str, value: f64) {
    println!("{name}={value:.3}");
}

/// Runs `work` and returns its result with the bytes it left allocated.
fn allocated<T, F>(work: F) -> (T, f64)
where
    F: FnOnce() -> T,
{
    let region = Region::new(ALLOCATOR);
    let result = work();
    (result, live_bytes(&region))
}

fn live_bytes(region: &Region<'_, System>) -> f64 {
    let change = region.change();
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// Bytes per item: the slope between a tenth of `count` items and all of them.
fn bytes_each<T, F>(count: usize, make: F) -> f64
where
    F: Fn(usize) -> T,
{
    let fewer = count / SIZE_DIVISOR;
    let (_small, small_bytes) = allocated(|| make(fewer));
    let (_large, large_bytes) = allocated(|| make(count));
    (large_bytes - small_bytes) / (count - fewer) as f64
}

/// CPU time of this thread, in nanoseconds.
fn thread_cpu_ns() -> Result<f64, Failure> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    Ok(text.split_whitespace().next().unwrap_or_default().parse()?)
}

/// CPU time in microseconds of one call. The kernel may count in ticks of 4 ms, so calls are
/// repeated until they have taken many ticks.
fn cpu_us_each<F>(batch: u32, mut work: F) -> Result<f64, Failure>
where
    F: FnMut(u32),
{
    let before = thread_cpu_ns()?;
    let (mut rounds, mut taken_ns) = (0, 0.0);
    while taken_ns < MIN_CPU_NS {
        (rounds..rounds + batch).for_each(&mut work);
        rounds += batch;
        taken_ns = thread_cpu_ns()? - before;
    }
    Ok(taken_ns / 1_000.0 / f64::from(rounds))
}
