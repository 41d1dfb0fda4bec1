//! Distribution of the key-value store's contents between entries.

use bytes::Bytes;
use flamingowheel_backing::kv::{KeyValueEntry, Revision, Snapshot, WatchEvent};
use flamingowheel_gateway::feed::isolation::{Isolation, Sources};
use flamingowheel_gateway::feed::mirror::{Change, Mirror, Source};
use flamingowheel_gateway::feed::reader::TAKEOVER_INTERVAL;
use flamingowheel_policy::topology::{FOLLOWERS, takeover_round};
use std::time::Duration;
use tokio::time::Instant;

fn entry(key: &str, value: &str, revision: u64) -> KeyValueEntry {
    KeyValueEntry {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        create_revision: Revision(revision),
        mod_revision: Revision(revision),
        lease: None,
    }
}

fn put(key: &str, value: &str, revision: u64) -> WatchEvent {
    WatchEvent::Put(entry(key, value, revision))
}

fn delete(key: &str, revision: u64) -> WatchEvent {
    WatchEvent::Delete { key: key.to_owned(), revision: Revision(revision) }
}

fn progress(revision: u64) -> WatchEvent {
    WatchEvent::Progress { revision: Revision(revision) }
}

fn values(mirror: &Mirror) -> Vec<(String, String)> {
    let changes = mirror.changes(0).changes;
    let values = changes.into_iter().filter_map(|change| match change {
        Change::Put { key, value, .. } => Some((key, String::from_utf8(value.to_vec()).unwrap())),
        Change::Delete(_) => None,
    });
    values.collect()
}

fn pair(key: &str, value: &str) -> (String, String) {
    (key.to_owned(), value.to_owned())
}

#[test]
fn apply_delta_incremental() {
    let (from, to, now) = (Mirror::default(), Mirror::default(), Instant::now());
    for event in [put("a", "1", 3), put("b", "1", 4), progress(4)] {
        from.apply_event(event);
    }
    assert!(to.apply_delta("vm-1", from.delta(0, now), now));
    for event in [put("a", "2", 6), delete("b", 7), progress(8)] {
        from.apply_event(event);
    }
    let delta = from.delta(to.head(now).revision, now);
    assert!(!delta.is_whole);
    assert!(to.apply_delta("vm-1", delta, now));
    assert_eq!(values(&to), [pair("a", "2")]);
    assert_eq!(to.head(now).revision, 8);
}

/// Two sources are at different revisions, and the one that lags answers last. If its delta were
/// applied regardless of revisions, a deleted backend server would be listed again, or an old
/// configuration restored.
#[test]
fn apply_delta_older_source() {
    let (ahead, behind, to) = (Mirror::default(), Mirror::default(), Mirror::default());
    let now = Instant::now();
    for event in [put("a", "1", 3), put("b", "1", 4), progress(4)] {
        ahead.apply_event(event.clone());
        behind.apply_event(event);
    }
    for event in [put("a", "2", 5), delete("b", 6), progress(6)] {
        ahead.apply_event(event);
    }
    assert!(to.apply_delta("vm-1", ahead.delta(0, now), now));
    assert!(to.apply_delta("vm-1", behind.delta(0, now), now));
    assert_eq!(values(&to), [pair("a", "2")]);
    assert_eq!(to.head(now).revision, 6);
}

/// One transaction writes several keys at one revision, and an entry fetches after the first of
/// them was applied. If its copy advanced to the revision, it would never fetch the others.
#[test]
fn delta_within_batch() {
    let (from, to, now) = (Mirror::default(), Mirror::default(), Instant::now());
    from.apply_event(progress(9));
    from.apply_event(put("a", "1", 10));
    assert!(to.apply_delta("vm-1", from.delta(9, now), now));
    from.apply_event(put("b", "1", 10));
    from.apply_event(progress(10));
    assert!(to.apply_delta("vm-1", from.delta(to.head(now).revision, now), now));
    assert_eq!(values(&to), [pair("a", "1"), pair("b", "1")]);
}

/// A stale read returns a snapshot older than the watch's events. Keys written since must not count
/// as deleted.
#[test]
fn apply_snapshot_stale() {
    let mirror = Mirror::default();
    for event in [put("a", "1", 3), put("b", "1", 8), progress(8)] {
        mirror.apply_event(event);
    }
    let entries = vec![entry("a", "1", 3), entry("gone", "1", 2)];
    mirror.apply_event(delete("gone", 7));
    mirror.apply_snapshot(Snapshot { revision: Revision(5), entries });
    assert_eq!(values(&mirror), [pair("a", "1"), pair("b", "1")]);
    assert_eq!(mirror.head(Instant::now()).revision, 8);
}

/// The history was compacted, and a key was deleted in the meantime. Only its absence from the
/// snapshot shows that.
#[test]
fn apply_snapshot_key_deleted() {
    let mirror = Mirror::default();
    for event in [put("a", "1", 3), put("b", "1", 4), progress(4)] {
        mirror.apply_event(event);
    }
    let before = mirror.changes(0).position;
    mirror.apply_snapshot(Snapshot { revision: Revision(9), entries: vec![entry("a", "1", 3)] });
    assert_eq!(values(&mirror), [pair("a", "1")]);
    assert_eq!(mirror.changes(before).changes, [Change::Delete("b".to_owned())]);
}

/// More keys were deleted than deletions are kept. An entry that lacks one of the oldest must get
/// all keys, or that key would never be removed.
#[test]
fn delta_after_pruned_deletions() {
    let (from, to, now) = (Mirror::default(), Mirror::default(), Instant::now());
    from.apply_event(put("first", "1", 1));
    from.apply_event(progress(1));
    assert!(to.apply_delta("vm-1", from.delta(0, now), now));
    from.apply_event(delete("first", 2));
    for number in 0..5_000_u64 {
        from.apply_event(delete(&format!("key-{number}"), 3 + number));
    }
    from.apply_event(progress(6_000));
    let delta = from.delta(to.head(now).revision, now);
    assert!(delta.is_whole);
    assert!(to.apply_delta("vm-1", delta, now));
    assert!(values(&to).is_empty());
}

/// The store is unreachable, and a follower has reported it. Keys that vanish now may belong to
/// live processes, so an entry that never called the store must learn the time of the outage from
/// the delta.
#[tokio::test(start_paused = true)]
async fn apply_delta_reports_outage() {
    let (from, to) = (Mirror::default(), Mirror::default());
    from.record_failure(Instant::now());
    tokio::time::advance(Duration::from_millis(300)).await;
    let now = Instant::now();
    assert!(to.apply_delta("vm-1", from.delta(0, now), now));
    assert_eq!(to.last_outage(), Some(now - Duration::from_millis(300)));
}

const LOST: Sources = Sources { has_current: false, has_predecessor: false };

/// When each entry starts to follow the store if all entries of a fleet but the followers lose
/// their sources at the same moment, and nobody who takes over reaches the store.
fn takeover_starts(entries: usize) -> Vec<Duration> {
    let begun = Instant::now();
    let start = |position: usize| {
        let turn = TAKEOVER_INTERVAL * takeover_round(position);
        let mut isolation = Isolation::Connected;
        let steps = (0..1_000).map(|step| begun + Duration::from_millis(10) * step);
        for now in steps {
            isolation = isolation.next(now, LOST, turn);
            if isolation.follows() {
                return now - begun;
            }
        }
        panic!("never follows");
    };
    (FOLLOWERS..entries).map(start).collect()
}

/// Guards against a whole fleet that calls the store where a few entries would do.
#[test]
fn next_all_isolated_starts_in_rounds() {
    let starts = takeover_starts(380);
    let before = |limit: Duration| starts.iter().filter(|start| **start < limit).count();
    assert_eq!(before(TAKEOVER_INTERVAL), 9);
    assert_eq!(before(TAKEOVER_INTERVAL * 2), 45);
    assert_eq!(before(TAKEOVER_INTERVAL * 3), 189);
}

/// Guards against an entry whose turn comes too late when all before it are cut off: its sources
/// may have told of their loss 0.9 s late, and 2 s are left for all.
#[test]
fn next_all_isolated_last_starts_in_time() {
    for entries in [6, 12, 42, 149, 380] {
        let limit = Duration::from_millis(600);
        assert!(takeover_starts(entries).into_iter().all(|start| start <= limit), "{entries}");
    }
}

/// Guards against an entry that reads the store anew each time a source is up to date for a moment.
#[test]
fn next_briefly_current_keeps_following() {
    let now = Instant::now();
    let found = Sources { has_current: true, has_predecessor: true };
    let follows = Isolation::Waiting { until: now }.next(now, LOST, Duration::ZERO);
    let later = now + Duration::from_millis(500);
    assert!(follows.next(later, found, Duration::ZERO).follows());
    assert!(!follows.next(now + Duration::from_secs(3), found, Duration::ZERO).follows());
}

/// Guards against entries that each stop following the store because the other one does.
#[test]
fn next_without_predecessor_keeps_following() {
    let now = Instant::now();
    let found = Sources { has_current: true, has_predecessor: false };
    let follows = Isolation::Following { until: now };
    assert!(follows.next(now + Duration::from_secs(60), found, Duration::ZERO).follows());
}

/// Guards against entries that all make calls to the store for seconds after it is back.
#[test]
fn next_predecessor_after_minimum_time_ends_at_once() {
    let now = Instant::now();
    let (alone, found) = (Sources::default(), Sources { has_current: true, has_predecessor: true });
    let mut state = Isolation::Following { until: now };
    for millis in (0..3_000).step_by(100) {
        state = state.next(now + Duration::from_millis(millis), alone, Duration::ZERO);
        assert!(state.follows());
    }
    let state = state.next(now + Duration::from_millis(3_000), found, Duration::ZERO);
    assert_eq!(state, Isolation::Connected);
}

/// A change arrives late. The time it took must count from the last moment at which the copy was
/// known to lack nothing, not from the arrival of the change at the source.
#[tokio::test(start_paused = true)]
async fn last_update_counts_since_confirmation() {
    let (from, to) = (Mirror::default(), Mirror::default());
    from.apply_event(progress(4));
    assert!(to.apply_delta("vm-1", from.delta(0, Instant::now()), Instant::now()));
    to.confirm(4, Instant::now());
    tokio::time::advance(Duration::from_millis(700)).await;
    from.apply_event(put("a", "1", 5));
    from.apply_event(progress(5));
    // The source knows of a newer revision than this copy, so its answer confirms nothing here.
    to.confirm(5, Instant::now());
    tokio::time::advance(Duration::from_millis(200)).await;
    assert!(to.apply_delta("vm-1", from.delta(4, Instant::now()), Instant::now()));
    let update = to.last_update().unwrap();
    assert_eq!(update.source, Source::Entry("vm-1".to_owned()));
    assert_eq!(update.max_delay, Some(Duration::from_millis(900)));
}

/// Guards against an entry that passes off its copy as recent because others told it that the store
/// answers, while it lacks their changes.
#[tokio::test(start_paused = true)]
async fn confirm_copy_behind_is_not_recent() {
    let mirror = Mirror::default();
    mirror.apply_event(progress(4));
    mirror.confirm(4, Instant::now());
    tokio::time::advance(Duration::from_millis(900)).await;
    mirror.confirm(5, Instant::now());
    assert_eq!(mirror.head(Instant::now()).age_ms, Some(900));
    mirror.apply_event(progress(5));
    mirror.confirm(5, Instant::now());
    assert_eq!(mirror.head(Instant::now()).age_ms, Some(0));
}

/// Guards against an entry that loses keys which have not changed for long: what it lacked included
/// deletions that are no longer kept, and only newer keys were sent as all there are.
#[test]
fn delta_after_pruned_deletions_keeps_old_keys() {
    let (from, to, now) = (Mirror::default(), Mirror::default(), Instant::now());
    from.apply_event(put("old", "1", 1));
    from.apply_event(progress(1));
    assert!(to.apply_delta("vm-1", from.delta(0, now), now));
    delete_many(&from);
    assert!(to.apply_delta("vm-1", from.delta(to.head(now).revision, now), now));
    assert_eq!(values(&to), [pair("old", "1")]);
}

/// The same for the changes that the publisher of the same process gets.
#[test]
fn changes_after_pruned_deletions_keep_old_keys() {
    let from = Mirror::default();
    from.apply_event(put("old", "1", 1));
    from.apply_event(progress(1));
    let known = from.changes(0).position;
    delete_many(&from);
    let changes = from.changes(known);
    assert!(changes.is_whole);
    let keys = changes.changes.iter().filter(|change| matches!(change, Change::Put { .. }));
    assert_eq!(keys.count(), 1);
}

/// Deletes more keys than deletions are kept.
fn delete_many(mirror: &Mirror) {
    for number in 0..5_000_u64 {
        mirror.apply_event(delete(&format!("key-{number}"), 3 + number));
    }
    mirror.apply_event(progress(6_000));
}
