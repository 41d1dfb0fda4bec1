//! Runs planned work with one seed.

use super::callers::Caller;
use super::check::{GRACE_S, Seen};
use super::events::{Places, TIMEOUT_MS, random_event};
use super::logs::WithoutEnd;
use super::report::PlannedTally;
use crate::cli::Options;
use crate::fleet::Fleet;
use eyre::{Context, Result};
use futures_util::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time for the processes to start and discover each other.
const WARM_UP: Duration = Duration::from_millis(1_000);

/// Time for callers to see the end of a process.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time between the starts of two events, in milliseconds. Most last longer than this and overlap.
const EVENT_GAP_MS: std::ops::Range<u64> = 100..1_200;

/// Runs one seed. Settings, logs and the list of events are written to `folder`.
pub async fn run_seed(options: &Options, seed: u64, folder: &Path) -> Result<PlannedTally> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let fleet = Arc::new(Fleet::prepare(options, 2 * options.entries, GRACE_S, folder).await?);
    let places = Arc::new(Places::start(Arc::clone(&fleet)));
    places.publish(TIMEOUT_MS.end).await;
    sleep(WARM_UP).await;
    let (calls, stop) = (Arc::<Mutex<Vec<_>>>::default(), CancellationToken::new());
    let callers = (0..options.callers).map(|number| {
        let (places, calls) = (Arc::clone(&places), Arc::clone(&calls));
        let caller = Caller { places, calls, number };
        tokio::spawn(caller.run(rng.random(), stop.clone()))
    });
    let callers: Vec<_> = callers.collect();
    let (work, mut event_log, started) = (TaskTracker::new(), String::new(), Instant::now());
    while started.elapsed() < Duration::from_secs(options.seconds) {
        let event = random_event(options.entries, options.servers, &mut rng);
        event_log += &format!("{} ms: {event:?}\n", started.elapsed().as_millis());
        let places = Arc::clone(&places);
        work.spawn(async move { places.carry_out(event).await });
        sleep(Duration::from_millis(rng.random_range(EVENT_GAP_MS))).await;
    }
    std::fs::write(folder.join("events.txt"), event_log).wrap_err("list of events")?;
    work.close();
    work.wait().await;
    // Callers have to see how the last stop ends their requests.
    sleep(SETTLE_TIME).await;
    stop.cancel();
    // Callers keep their connections until the processes are gone.
    let kept = join_all(callers).await;
    places.stop_finally().await;
    drop(kept);
    let calls = std::mem::take(&mut *calls.lock().unwrap_or_else(PoisonError::into_inner));
    let (arrivals, runs) = (fleet.request_log.arrivals(), fleet.request_log.all_runs());
    let (stops, versions) = (places.stops(), places.versions());
    let seen = Seen {
        calls: &calls,
        arrivals: &arrivals,
        runs: &runs,
        stops: &stops,
        versions: &versions,
    };
    let logs: Vec<&Path> = fleet.entries.iter().map(|entry| entry.daemon.log()).collect();
    let without_end = WithoutEnd::read(&seen, &logs).wrap_err("logs of entries")?;
    Ok(PlannedTally::of(&seen, without_end))
}
