//! Runs the soak test with one seed.

use crate::callers::{Caller, probe};
use crate::changes;
use crate::cli::Options;
use crate::faults::{self, Fault};
use crate::fleet::Fleet;
use crate::report::{SharedTally, Tally};
use crate::signals::{FaultSpan, Observed};
use eyre::{Context, Result};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time for the processes to start and discover each other.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Most items in a page of the store, below the number of keys.
const PAGE_ITEMS: usize = 8;

/// Largest age of a page of a stale read.
const MAX_STALE_AGE: Duration = Duration::from_secs(3);

/// Time between the starts of two faults, in milliseconds. Most last longer than this and overlap.
const FAULT_GAP_MS: std::ops::Range<u64> = 150..900;

/// The same in a run that mainly changes configurations: entries have to be without a fault for 3 s
/// to be checked.
const CHANGE_GAP_MS: std::ops::Range<u64> = 600..2_400;

/// How long a fault lasts, in milliseconds. The longest faults outlast a lease of 3 s.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..4_000;

/// Time after the last fault within which the fleet must serve normally again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Number of requests that check the recovery.
const PROBE_COUNT: u32 = 30;

/// Runs one seed. Settings, logs and the list of faults are written to `folder`.
pub async fn run_seed(options: &Options, seed: u64, folder: &Path) -> Result<Tally> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Arc::new(Fleet::start_all(options, folder).await?);
    fleet.kv.draw_pages(seed, PAGE_ITEMS, MAX_STALE_AGE);
    // The last entry is added during the run.
    if fleet.entries.len() > 2 {
        fleet.kill_entry(fleet.entries.len() - 1).await;
    }
    sleep(WARM_UP).await;
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.callers).collect();
    let (tally, stop, callers) =
        (SharedTally::default(), CancellationToken::new(), TaskTracker::new());
    for _ in 0..options.callers {
        let (entries, request_log) = (entries.clone(), fleet.request_log.clone());
        let caller = Caller { entries, request_log, tally: tally.clone() };
        callers.spawn(caller.run(rng.random(), stop.clone()));
    }
    let (injections, mut fault_log) = (TaskTracker::new(), String::new());
    let mut fault_spans = Vec::new();
    // Faults of entries, and of the store at all of them.
    let mut unsettled = Vec::new();
    let is_amid_changes: bool = rng.random();
    let gaps_ms = if is_amid_changes { CHANGE_GAP_MS } else { FAULT_GAP_MS };
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(options.seconds) {
        let fault = if is_amid_changes {
            faults::random_fault_amid_changes(&fleet, &mut rng)
        } else {
            faults::random_fault(&fleet, &mut rng)
        };
        let duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        let (struck, outage) = fault.outage(entries.len(), duration);
        let from = Instant::now();
        let span = |entry| FaultSpan { entry, from, until: from + outage };
        fault_spans.extend(struck.into_iter().map(span));
        if fault.is_of_store() {
            let span = |entry| FaultSpan { entry, from, until: from + duration };
            unsettled.extend((0..entries.len()).map(span));
        }
        fault_log += &format!("{} ms: {fault:?} for {duration:?}\n", started.elapsed().as_millis());
        let injection = injections.spawn(faults::inject(Arc::clone(&fleet), fault, duration));
        if matches!(fault, Fault::ConfigurationsAmidLoss(..)) {
            // Further faults would leave no entry in touch to check.
            injection.await.wrap_err("injection of a fault")?;
        }
        sleep(Duration::from_millis(rng.random_range(gaps_ms.clone()))).await;
    }
    std::fs::write(folder.join("faults.txt"), fault_log).wrap_err("list of faults")?;
    injections.close();
    injections.wait().await;
    // With overlapping faults an entry can end up stopped: one fault starts it again while another
    // is still stopping it.
    (0..fleet.entries.len()).for_each(|entry| fleet.start_entry(entry));
    sleep(RECOVERY_TIME).await;
    let violation = probe(&entries, PROBE_COUNT, &mut rng).await;
    tally.update(|tally| tally.violations.extend(violation));
    stop.cancel();
    callers.close();
    callers.wait().await;
    let arrivals = fleet.request_log.arrivals();
    let ends = fleet.request_log.ends();
    tally.update(|tally| {
        let observed = Observed { arrivals: &arrivals, calls: &tally.calls, faults: &fault_spans };
        let limits = fleet.limits.lock().unwrap_or_else(PoisonError::into_inner);
        let mut violations = observed.check_limits(&limits);
        let colds = fleet.colds.lock().unwrap_or_else(PoisonError::into_inner);
        violations.extend(observed.check_cold(&colds));
        violations.extend(observed.check_rests());
        violations.extend(observed.check_leaving());
        violations.extend(observed.check_retries());
        let crashing = fleet.crashing.lock().unwrap_or_else(PoisonError::into_inner);
        tally.ends = ends.len();
        violations.extend(observed.check_crashes(&ends, &crashing));
        let probes = fleet.probes.lock().unwrap_or_else(PoisonError::into_inner);
        unsettled.extend(fault_spans.iter().copied());
        let evacuations = fleet.evacuations.lock().unwrap_or_else(PoisonError::into_inner);
        let in_touch_check = Observed { faults: &unsettled, ..observed };
        violations.extend(in_touch_check.check_evacuations(&evacuations));
        let in_touch = probes.iter().filter(|probe| changes::is_in_touch(probe, &unsettled));
        tally.probes = in_touch.clone().count();
        violations.extend(in_touch.filter_map(changes::violation));
        let false_answers = fleet.false_answers.lock().unwrap_or_else(PoisonError::into_inner);
        violations.extend(false_answers.iter().cloned());
        tally.violations.extend(violations);
    });
    Ok(tally.read())
}
