//! How fast a configuration comes into force at all entries of a fleet.

mod fleet;

use flamingowheel_gateway::feed::contact::MAX_SOURCE_AGE;
use fleet::store::Reach;
use fleet::{FAULTS, Fault, Fleet};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time within which a configuration is in force at every VM in touch.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time within which a backend server that is gone gets no requests any more.
const DRAIN_LIMIT: Duration = Duration::from_millis(2_000);

/// The goal for a change with one fault in its way.
const SINGLE_FAULT_GOAL: Duration = Duration::from_millis(1_200);

/// Time of a poll of an entry that follows the store, while nothing changes.
const POLL_WAIT: Duration = Duration::from_millis(1_000);

fn without(vms: &[String], left_out: &[String]) -> Vec<String> {
    vms.iter().filter(|vm| !left_out.contains(vm)).cloned().collect()
}

/// Guards against a change that no entry gets because all that follow the store lost it at that
/// moment.
#[tokio::test(start_paused = true)]
async fn change_all_followers_refused_by_store() {
    let mut fleet = Fleet::start(9, 3).await;
    let followers = fleet.followers();
    for vm in &followers {
        fleet.set_reach(vm, Reach::Refused);
    }
    let in_touch = without(&fleet.vms(), &followers);
    let mut version = 0;
    for _ in 0..3 {
        version = fleet.change().await;
        sleep(Duration::from_millis(60)).await;
    }
    let limit = IN_FORCE_LIMIT - Duration::from_millis(60);
    let in_force = fleet.in_force(version, &in_touch, limit).await;
    assert!(in_force.is_ok(), "late: {in_force:?}");
}

/// Guards against the same loss without any sign of it: the store's answers stop.
#[tokio::test(start_paused = true)]
async fn change_all_followers_unanswered_by_store() {
    let mut fleet = Fleet::start(9, 3).await;
    let followers = fleet.followers();
    for vm in &followers {
        fleet.set_reach(vm, Reach::Silent);
    }
    let in_touch = without(&fleet.vms(), &followers);
    let version = fleet.change().await;
    let in_force = fleet.in_force(version, &in_touch, IN_FORCE_LIMIT).await;
    assert!(in_force.is_ok(), "late: {in_force:?}");
}

/// Guards against delays of a change without any fault.
#[tokio::test(start_paused = true)]
async fn change_without_fault() {
    let mut fleet = Fleet::start(9, 3).await;
    for _ in 0..3 {
        let version = fleet.change().await;
        let in_force = fleet.in_force(version, &fleet.vms(), Duration::from_millis(300)).await;
        assert!(in_force.is_ok(), "late: {in_force:?}");
    }
}

/// Strikes `count` of the entries that follow the store and changes the configuration twice within
/// a tenth of a second; returns how long the second change takes at the others.
async fn change_with_fault(fault: Fault, count: usize) -> Result<Duration, Vec<String>> {
    let mut fleet = Fleet::start(9, 3).await;
    let struck: Vec<String> = fleet.followers().into_iter().take(count).collect();
    fleet.change().await;
    for vm in &struck {
        fleet.strike(vm, fault);
    }
    let version = fleet.change().await;
    let in_touch = without(&fleet.vms(), &struck);
    fleet.in_force(version, &in_touch, IN_FORCE_LIMIT).await
}

/// Guards against a change that waits for one entry that others get changes from.
#[tokio::test(start_paused = true)]
async fn change_one_follower_struck() {
    for fault in FAULTS {
        let in_force = change_with_fault(fault, 1).await;
        let is_in_time = in_force.as_ref().is_ok_and(|after| *after <= SINGLE_FAULT_GOAL);
        assert!(is_in_time, "{fault:?}: {in_force:?}");
    }
}

/// Guards against a change that is lost with all entries that follow the store.
#[tokio::test(start_paused = true)]
async fn change_all_followers_struck() {
    for fault in FAULTS {
        let in_force = change_with_fault(fault, 3).await;
        assert!(in_force.is_ok(), "{fault:?}: {in_force:?}");
    }
}

/// Guards against an entry that keeps what it read at its start: the configuration changes between
/// its first read and its first connections, and it is the time at which the followers change.
#[tokio::test(start_paused = true)]
async fn change_while_entries_start() {
    for gap_ms in [0, 5, 20, 100, 300, 900, 1_100, 2_000] {
        let mut fleet = Fleet::start(9, 3).await;
        for vm in fleet.followers().into_iter().take(2) {
            fleet.kill(&vm);
            fleet.restart(&vm);
        }
        fleet.add();
        sleep(Duration::from_millis(gap_ms)).await;
        let version = fleet.change().await;
        let in_force = fleet.in_force(version, &fleet.vms(), IN_FORCE_LIMIT).await;
        assert!(in_force.is_ok(), "{gap_ms} ms: {in_force:?}");
    }
}

/// Guards against an entry that goes on calling the old address of a source that started again
/// elsewhere under its name, before its lease had run out.
#[tokio::test(start_paused = true)]
async fn change_followers_addressed_anew() {
    let mut fleet = Fleet::start(9, 3).await;
    for vm in fleet.followers() {
        fleet.kill(&vm);
        fleet.restart(&vm);
        sleep(Duration::from_secs(5)).await;
    }
    let calls = fleet.store.calls().watch;
    sleep(POLL_WAIT * 10).await;
    // Entries that don't reach the three followers follow the store as well.
    assert!(fleet.store.calls().watch - calls <= 3 * 10, "more than three entries follow");
}

/// Guards against an entry that knows of a change and waits for a slow source to send it, while the
/// store would answer at once.
#[tokio::test(start_paused = true)]
async fn change_sources_slow() {
    let mut fleet = Fleet::start(60, 3).await;
    let slow = fleet.followers();
    fleet.change().await;
    for vm in &slow {
        fleet.strike(vm, Fault::Slow);
    }
    let version = fleet.change().await;
    let in_touch = without(&fleet.vms(), &slow);
    let in_force = fleet.in_force(version, &in_touch, IN_FORCE_LIMIT).await;
    assert!(in_force.is_ok(), "late: {in_force:?}");
}

/// Guards against a series of changes of which the last one is taken for the one before, or an
/// older one comes back, while the followers are lost in between.
#[tokio::test(start_paused = true)]
async fn change_series_never_goes_back() {
    for fault in FAULTS {
        let mut fleet = Fleet::start(9, 3).await;
        let followers = fleet.followers();
        let in_touch = without(&fleet.vms(), &followers);
        let mut seen: Vec<u64> = in_touch.iter().map(|vm| fleet.version_at(vm)).collect();
        for number in 0..6 {
            if number == 3 {
                followers.iter().for_each(|vm| fleet.strike(vm, fault));
            }
            fleet.change().await;
            sleep(Duration::from_millis(20)).await;
        }
        let newest = fleet.change().await;
        for _ in 0..400 {
            sleep(Duration::from_millis(5)).await;
            for (vm, seen) in in_touch.iter().zip(&mut seen) {
                let version = fleet.version_at(vm);
                assert!(version >= *seen, "{fault:?}: {vm} went back from {seen} to {version}");
                *seen = version;
            }
        }
        assert!(seen.iter().all(|seen| *seen == newest), "{fault:?}: {seen:?}, not {newest}");
    }
}

/// Guards against a change that is lost with the store's history.
#[tokio::test(start_paused = true)]
async fn change_history_compacted() {
    let mut fleet = Fleet::start(9, 3).await;
    fleet.change().await;
    let version = fleet.change().await;
    fleet.store.compact(fleet.store.peek("").revision);
    let in_force = fleet.in_force(version, &fleet.vms(), SINGLE_FAULT_GOAL).await;
    assert!(in_force.is_ok(), "late: {in_force:?}");
}

/// Guards against a frozen entry that takes up again with an older version, or passes off its copy
/// as recent.
#[tokio::test(start_paused = true)]
async fn change_while_entries_stand_still() {
    let mut fleet = Fleet::start(9, 3).await;
    let followers = fleet.followers();
    followers.iter().for_each(|vm| fleet.freeze(vm, true));
    sleep(Duration::from_secs(2)).await;
    let version = fleet.change().await;
    sleep(Duration::from_secs(2)).await;
    followers.iter().for_each(|vm| fleet.freeze(vm, false));
    let in_force = fleet.in_force(version, &fleet.vms(), IN_FORCE_LIMIT).await;
    assert!(in_force.is_ok(), "late: {in_force:?}");
    sleep(Duration::from_secs(2)).await;
    let vms = fleet.vms();
    let mut ages = vms.iter().map(|vm| fleet.mirror(vm).age(Instant::now()));
    assert!(ages.all(|age| age.is_some_and(|age| age < MAX_SOURCE_AGE)));
}

/// Guards against a backend server that is gone from the store and goes on getting requests, since
/// entries take the loss of their followers for one of the store.
#[tokio::test(start_paused = true)]
async fn remove_server_followers_struck() {
    for (fault, count) in FAULTS.into_iter().flat_map(|fault| [(fault, 1), (fault, 3)]) {
        let mut fleet = Fleet::start(9, 3).await;
        fleet.list_server("i-1", true).await;
        sleep(Duration::from_secs(1)).await;
        let struck: Vec<String> = fleet.followers().into_iter().take(count).collect();
        struck.iter().for_each(|vm| fleet.strike(vm, fault));
        sleep(Duration::from_millis(300)).await;
        fleet.change().await;
        fleet.list_server("i-1", false).await;
        sleep(DRAIN_LIMIT).await;
        let in_touch = without(&fleet.vms(), &struck);
        let late: Vec<&String> = in_touch.iter().filter(|vm| fleet.has_server(vm)).collect();
        assert!(late.is_empty(), "{fault:?} of {count}: {late:?}");
    }
}
