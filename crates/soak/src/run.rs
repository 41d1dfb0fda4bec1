//! One seed of a soak.

use crate::callers::{Caller, probe};
use crate::cli::Options;
use crate::faults;
use crate::fleet::Fleet;
use crate::report::{SharedTally, Tally};
use eyre::{Context, Result};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time for the processes to start and learn of each other.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Time from one fault to the next, in milliseconds; faults last longer than that and overlap.
const FAULT_GAP_MS: std::ops::Range<u64> = 150..900;

/// How long a fault lasts, in milliseconds: beyond a lease of 3 s at the most.
const FAULT_TIME_MS: std::ops::Range<u64> = 200..4_000;

/// Time after the last fault within which everything is as before.
const RECOVERY: Duration = Duration::from_secs(5);

/// Requests that show whether it is.
const PROBES: u32 = 30;

/// Runs one seed. Settings, logs and the list of faults lie in `folder`.
pub async fn run_seed(options: &Options, seed: u64, folder: &Path) -> Result<Tally> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Arc::new(Fleet::start_all(options, folder).await?);
    sleep(WARM_UP).await;
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.callers).collect();
    let (tally, stop, callers) =
        (SharedTally::default(), CancellationToken::new(), TaskTracker::new());
    for _ in 0..options.callers {
        let (entries, run_counter) = (entries.clone(), fleet.run_counter.clone());
        let caller = Caller { entries, run_counter, tally: tally.clone() };
        callers.spawn(caller.run(rng.random(), stop.clone()));
    }
    let (strikes, mut played) = (TaskTracker::new(), String::new());
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(options.seconds) {
        let fault = faults::random_fault(&fleet, &mut rng);
        let time = Duration::from_millis(rng.random_range(FAULT_TIME_MS));
        played += &format!("{} ms: {fault:?} for {time:?}\n", begun.elapsed().as_millis());
        strikes.spawn(faults::inject(Arc::clone(&fleet), fault, time));
        sleep(Duration::from_millis(rng.random_range(FAULT_GAP_MS))).await;
    }
    std::fs::write(folder.join("faults.txt"), played).wrap_err("list of faults")?;
    strikes.close();
    strikes.wait().await;
    // An entry that was stopped while another fault started it again must not stay away.
    (0..fleet.entries.len()).for_each(|entry| fleet.start_entry(entry));
    sleep(RECOVERY).await;
    let violation = probe(&entries, PROBES, &mut rng).await;
    tally.update(|tally| tally.violations.extend(violation));
    stop.cancel();
    callers.close();
    callers.wait().await;
    Ok(tally.read())
}
