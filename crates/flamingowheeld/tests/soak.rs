//! A short run of the fault-injection soak test with the daemon from this build.

use flamingowheel_soak::cli::Options;
use flamingowheel_soak::run;

/// Entries are killed, stopped, paused and restarted while the store fails in every way and
/// connections go silent. Reported outcomes must be true: no work order runs twice, no refused one
/// has run, and no partial answer counts as complete.
#[tokio::test(flavor = "multi_thread")]
async fn run_seed_short() {
    let options = Options {
        program: env!("CARGO_BIN_EXE_flamingowheeld").into(),
        seed: 1,
        seeds: 1,
        seconds: 6,
        entries: 3,
        servers: 4,
        callers: 6,
        is_planned: false,
    };
    let folder = std::env::temp_dir().join(format!("flamingowheel-soak-ci-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let tally = run::run_seed(&options, options.seed, &folder).await.unwrap();
    assert!(tally.violations.is_empty(), "{tally}\nlogs: {}", folder.display());
    assert!(tally.served > 0, "{tally}");
    // The error is ignored: a leftover directory in the temporary directory is harmless.
    let _ = std::fs::remove_dir_all(&folder);
}
