//! Short runs of the soak test with the daemon from this build.

use flamingowheel_soak::cli::Options;
use flamingowheel_soak::planned::check::Verdict;
use flamingowheel_soak::{planned, run};
use std::path::PathBuf;

/// Options of a short run.
fn options(seed: u64, seconds: u64, servers: usize, callers: usize) -> Options {
    Options {
        program: env!("CARGO_BIN_EXE_flamingowheeld").into(),
        seed,
        seeds: 1,
        seconds,
        entries: 3,
        servers,
        callers,
        is_planned: false,
    }
}

/// A folder for settings and logs.
fn folder(name: &str) -> PathBuf {
    let folder = format!("flamingowheel-soak-ci-{name}-{}", std::process::id());
    let folder = std::env::temp_dir().join(folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Entries are killed, stopped, paused and restarted while the store fails in every way and
/// connections go silent. Reported outcomes must be true: no work order runs twice, no refused one
/// has run, and no partial answer counts as complete.
#[tokio::test(flavor = "multi_thread")]
async fn run_seed_short() {
    let options = options(1, 6, 4, 6);
    let folder = folder("short");
    let tally = run::run_seed(&options, options.seed, &folder).await.unwrap();
    assert!(tally.violations.is_empty(), "{tally}\nlogs: {}", folder.display());
    assert!(tally.served > 0, "{tally}");
    // The error is ignored: a leftover directory in the temporary directory is harmless.
    let _ = std::fs::remove_dir_all(&folder);
}

/// Entries are stopped in series while their successors start, settings are read again and
/// configurations change; servers are slow and silent meanwhile. No request that an entry has read
/// may be cut, whichever thread or connection of the entry it was on.
#[tokio::test(flavor = "multi_thread")]
async fn run_seed_planned() {
    let options = options(2, 5, 6, 64);
    let folder = folder("planned");
    let tally = planned::run::run_seed(&options, options.seed, &folder).await.unwrap();
    assert!(tally.violations.is_empty(), "{tally}\nlogs: {}", folder.display());
    assert!(tally.around_stops.contains_key(&Verdict::Whole), "{tally}");
    // The error is ignored: a leftover directory in the temporary directory is harmless.
    let _ = std::fs::remove_dir_all(&folder);
}
