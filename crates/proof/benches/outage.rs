//! Measures the cost and the outcomes of non-idempotent work while the key-value service is down.
//!
//! Runs on a paused clock. Prints `name=value` lines; `--seed N` changes arrivals and kills. The
//! code under test draws random ids of its own, so counts for one seed can differ slightly between
//! runs.
#![allow(clippy::print_stdout, missing_docs, reason = "a program")]

#[path = "outage/keys.rs"]
mod keys;
#[path = "outage/tickets.rs"]
mod tickets;

type Failure = Box<dyn std::error::Error + Send + Sync>;

const DEFAULT_SEED: u64 = 1;

fn main() -> Result<(), Failure> {
    let seed = seed()?;
    println!("seed={seed}");
    for kills in [false, true] {
        runtime()?.block_on(tickets::measure(seed, kills))?;
    }
    runtime()?.block_on(keys::measure(seed))
}

/// Creates a runtime per measurement, so that no task continues into the next measurement.
fn runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()
}

fn seed() -> Result<u64, Failure> {
    let mut arguments = std::env::args().skip_while(|argument| argument != "--seed");
    match (arguments.next(), arguments.next()) {
        (None, _) => Ok(DEFAULT_SEED),
        (Some(_), Some(number)) => Ok(number.parse()?),
        (Some(_), None) => Err("--seed needs a number".into()),
    }
}
