//! What entries learn of the key-value store from each other.

use bytes::Bytes;
use flamingowheel_backing::kv::{KeyValueEntry, Revision, Snapshot, WatchEvent};
use flamingowheel_gateway::feed::lone::Lone;
use flamingowheel_gateway::feed::mirror::{Change, Mirror};
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
        Change::Put(key, value) => Some((key, String::from_utf8(value.to_vec()).unwrap())),
        Change::Delete(_) => None,
    });
    values.collect()
}

fn pair(key: &str, value: &str) -> (String, String) {
    (key.to_owned(), value.to_owned())
}

#[test]
fn take_delta_goes_on_from_known() {
    let (from, to, now) = (Mirror::default(), Mirror::default(), Instant::now());
    for event in [put("a", "1", 3), put("b", "1", 4), progress(4)] {
        from.take_event(event);
    }
    assert!(to.take_delta(from.delta(0, now), now));
    for event in [put("a", "2", 6), delete("b", 7), progress(8)] {
        from.take_event(event);
    }
    let delta = from.delta(to.head(now).revision, now);
    assert!(!delta.is_whole);
    assert!(to.take_delta(delta, now));
    assert_eq!(values(&to), [pair("a", "2")]);
    assert_eq!(to.head(now).revision, 8);
}

/// Two sources are at different revisions, and the one that lags answers last. A backend server that has
/// left would be listed again, or an old configuration come back.
#[test]
fn take_delta_older_source() {
    let (ahead, behind, to) = (Mirror::default(), Mirror::default(), Mirror::default());
    let now = Instant::now();
    for event in [put("a", "1", 3), put("b", "1", 4), progress(4)] {
        ahead.take_event(event.clone());
        behind.take_event(event);
    }
    for event in [put("a", "2", 5), delete("b", 6), progress(6)] {
        ahead.take_event(event);
    }
    assert!(to.take_delta(ahead.delta(0, now), now));
    assert!(to.take_delta(behind.delta(0, now), now));
    assert_eq!(values(&to), [pair("a", "2")]);
    assert_eq!(to.head(now).revision, 6);
}

/// One transaction writes several keys at one revision, and an entry fetches after the first of them was
/// taken in. Told that it knows the revision, it would never fetch the others.
#[test]
fn delta_within_batch() {
    let (from, to, now) = (Mirror::default(), Mirror::default(), Instant::now());
    from.take_event(progress(9));
    from.take_event(put("a", "1", 10));
    assert!(to.take_delta(from.delta(9, now), now));
    from.take_event(put("b", "1", 10));
    from.take_event(progress(10));
    assert!(to.take_delta(from.delta(to.head(now).revision, now), now));
    assert_eq!(values(&to), [pair("a", "1"), pair("b", "1")]);
}

/// The store reads from a replica that is behind while a watch has told more. What was written since must
/// not be taken for deleted.
#[test]
fn take_snapshot_stale() {
    let mirror = Mirror::default();
    for event in [put("a", "1", 3), put("b", "1", 8), progress(8)] {
        mirror.take_event(event);
    }
    let entries = vec![entry("a", "1", 3), entry("gone", "1", 2)];
    mirror.take_event(delete("gone", 7));
    mirror.take_snapshot(Snapshot { revision: Revision(5), entries });
    assert_eq!(values(&mirror), [pair("a", "1"), pair("b", "1")]);
    assert_eq!(mirror.head(Instant::now()).revision, 8);
}

/// History was lost, and a key vanished in the meantime. Only its absence from what was read tells so.
#[test]
fn take_snapshot_key_vanished() {
    let mirror = Mirror::default();
    for event in [put("a", "1", 3), put("b", "1", 4), progress(4)] {
        mirror.take_event(event);
    }
    let before = mirror.changes(0).revision;
    mirror.take_snapshot(Snapshot { revision: Revision(9), entries: vec![entry("a", "1", 3)] });
    assert_eq!(values(&mirror), [pair("a", "1")]);
    assert_eq!(mirror.changes(before).changes, [Change::Delete("b".to_owned())]);
}

/// More keys have gone than are remembered. Whoever lacks one of the oldest must get everything, or that
/// key would stay for good.
#[test]
fn delta_after_forgotten_deletions() {
    let (from, to, now) = (Mirror::default(), Mirror::default(), Instant::now());
    from.take_event(put("first", "1", 1));
    from.take_event(progress(1));
    assert!(to.take_delta(from.delta(0, now), now));
    from.take_event(delete("first", 2));
    for number in 0..5_000_u64 {
        from.take_event(delete(&format!("key-{number}"), 3 + number));
    }
    from.take_event(progress(6_000));
    let delta = from.delta(to.head(now).revision, now);
    assert!(delta.is_whole);
    assert!(to.take_delta(delta, now));
    assert!(values(&to).is_empty());
}

/// The store is away, and whoever followed it has told so. Keys that vanish now have lapsed, which the entry
/// must know though it never asked the store.
#[tokio::test(start_paused = true)]
async fn take_delta_tells_outage() {
    let (from, to) = (Mirror::default(), Mirror::default());
    from.note_outage(Instant::now());
    tokio::time::advance(Duration::from_millis(300)).await;
    let now = Instant::now();
    assert!(to.take_delta(from.delta(0, now), now));
    assert_eq!(to.last_outage(), Some(now - Duration::from_millis(300)));
}

/// When entries of a fleet are all cut off from their sources at one moment begin to follow the store.
fn lone_starts(entries: usize) -> Vec<Duration> {
    let begun = Instant::now();
    let start = |entry: usize| {
        let draw = (entry as f64 + 0.5) / entries as f64;
        let mut lone = Lone::No;
        let steps = (0..1_000).map(|step| begun + Duration::from_millis(100) * step);
        for now in steps {
            lone = lone.next(now, false, entries, draw);
            if lone.follows() {
                return now - begun;
            }
        }
        panic!("never follows");
    };
    (0..entries).map(start).collect()
}

/// The followers have all died. Each entry that then followed the store at once would be one of 149 that
/// read everything and watch, on a store that may itself be in trouble.
#[test]
fn next_all_alone_few_a_second() {
    let starts = lone_starts(149);
    for second in 0..20 {
        let count = starts.iter().filter(|start| start.as_secs() == second).count();
        assert!(count <= 6, "{count} in second {second}");
    }
}

/// In a small fleet nobody else may be left to hear from.
#[test]
fn next_all_alone_small_fleet_soon() {
    assert!(lone_starts(6).into_iter().all(|start| start <= Duration::from_millis(1_400)));
}

/// A source is fresh for a moment, then not: whoever follows goes on for a while, instead of reading the
/// store anew each time.
#[test]
fn next_fresh_for_a_moment() {
    let now = Instant::now();
    let follows = Lone::Waits { until: now }.next(now, false, 9, 0.5);
    let later = now + Duration::from_millis(500);
    assert!(follows.next(later, true, 9, 0.5).follows());
    assert!(!follows.next(now + Duration::from_secs(3), true, 9, 0.5).follows());
}
