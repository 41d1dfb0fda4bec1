//! What non-idempotent work costs and what becomes of it while the key-value service is down.
//!
//! Runs on a paused clock. Prints `name=value` lines; `--seed N` draws other arrivals and kills. The
//! code under test draws identities of its own, so counts of a seed can differ a little.
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

/// A runtime of its own for each measurement, so that no task of one goes on in the next.
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
