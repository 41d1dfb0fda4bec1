//! Retries of a whole fleet, counted where they arrive, under a paused clock.

#[allow(dead_code, unreachable_pub, missing_docs, unused_imports, reason = "shared with the bench")]
mod retries;

use retries::{Case, Fleet, Report, TROUBLES, Trouble};

/// Arrivals beyond the first of each request, by those that the deployment allows.
const MAX_WORST: f64 = 1.0;

/// The same at least, where all servers refuse and the fleet doesn't change.
const MIN_USED: f64 = 0.6;

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

// Guards against a fleet that keeps the rule by not retrying.
#[tokio::test(start_paused = true)]
async fn try_acquire_same_entries_room_used() {
    let report = run(Trouble::None).await;
    assert!(report.worst <= MAX_WORST && report.mean >= MIN_USED, "{report:?}");
}

#[tokio::test(start_paused = true)]
async fn try_acquire_any_trouble_within_allowance() {
    for entries in [6, 7] {
        for trouble in TROUBLES {
            let report = Fleet::run(Case::new(entries, 1.0, trouble), 2).await;
            let is_kept = report.arrivals > 0 && report.worst <= MAX_WORST;
            assert!(is_kept, "{entries} {trouble:?}: {report:?}");
        }
    }
}
