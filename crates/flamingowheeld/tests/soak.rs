//! A short run of the fault soak with the daemon that was just built.

use flamingowheel_soak::cli::Options;
use flamingowheel_soak::run;

/// Entries are killed, stopped, paused and restarted, the store fails in every way and connections go
/// silent, all at once. Whatever callers are told must be true: no work order runs twice, no
/// refused one ran, no part of an answer passes for the whole.
#[tokio::test(flavor = "multi_thread")]
async fn seed_short_run() {
    let options = Options {
        program: env!("CARGO_BIN_EXE_flamingowheeld").into(),
        seed: 1,
        seeds: 1,
        seconds: 6,
        entries: 3,
        servers: 4,
        callers: 6,
    };
    let folder = std::env::temp_dir().join(format!("flamingowheel-soak-ci-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let tally = run::seed(&options, options.seed, &folder).await.unwrap();
    assert!(tally.violations.is_empty(), "{tally}\nlogs: {}", folder.display());
    assert!(tally.served > 0, "{tally}");
    // A folder left behind does no harm.
    let _ = std::fs::remove_dir_all(&folder);
}
