//! Retries of a whole fleet, counted where they arrive, under a paused clock.

#[allow(dead_code, unreachable_pub, missing_docs, unused_imports, reason = "shared with the bench")]
mod retries;

use retries::{Case, Fleet, Report, Trouble};

/// Arrivals beyond the first of each request, by those that the deployment allows.
const MAX_WORST: f64 = 1.0;

async fn run(trouble: Trouble) -> Report {
    Fleet::run(Case::new(6, 1.0, trouble), 1).await
}

// Guards against entries that take the shares of others that leave, while these drain and retry too.
#[tokio::test(start_paused = true)]
async fn try_acquire_entries_restart_at_once_within_allowance() {
    let report = run(Trouble::RestartsAtOnce).await;
    assert!(report.arrivals > 0 && report.worst <= MAX_WORST, "{report:?}");
}

// Guards against processes that begin with a full share, whatever their predecessors have spent.
#[tokio::test(start_paused = true)]
async fn try_acquire_entries_killed_again_within_allowance() {
    let report = run(Trouble::KilledEachTwoSeconds).await;
    assert!(report.arrivals > 0 && report.worst <= MAX_WORST, "{report:?}");
}

#[tokio::test(start_paused = true)]
async fn try_acquire_same_entries_within_allowance() {
    let report = run(Trouble::None).await;
    assert!(report.arrivals > 0 && report.worst <= MAX_WORST, "{report:?}");
}
