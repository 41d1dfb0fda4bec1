//! How long entries stay announced after a crash or a graceful shutdown.

use flamingowheel_backing::fake::kv::FakeKeyValue;
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_gateway::member::Announcement;
use flamingowheel_gateway::publish::ENTRIES_PREFIX;
use flamingowheel_gateway::view::{CapacityRecord, EntryRecord};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Longest time for which the directory may list an entry that has ended; callers may cache an
/// answer for as long.
const MAX_LISTED_AFTER_END: Duration = Duration::from_secs(5);

fn announcement(store: &FakeKeyValue) -> Announcement<FakeKeyValue> {
    let callers = SocketAddr::from(([127, 0, 0, 1], 8_000));
    Announcement {
        store: store.clone(),
        vm: "vm-1".to_owned(),
        record: EntryRecord {
            callers,
            data_centre: "d".to_owned(),
            peers: None,
            suspects: None,
            capacity: None,
        },
        min_ttl: Duration::from_secs(1),
        capacity: watch::channel(None).1,
    }
}

async fn is_announced(store: &FakeKeyValue) -> bool {
    !store.range(ENTRIES_PREFIX).await.unwrap().entries.is_empty()
}

/// An entry's VM loses power and does not restart. With a long lease, renewed rarely to save calls,
/// callers would be sent to it for seven seconds.
#[tokio::test(start_paused = true)]
async fn run_entry_dead() {
    let store = FakeKeyValue::default();
    let announcing = tokio::spawn(announcement(&store).run(CancellationToken::new()));
    sleep(Duration::from_secs(20)).await;
    assert!(is_announced(&store).await);
    announcing.abort();
    sleep(MAX_LISTED_AFTER_END).await;
    assert!(!is_announced(&store).await);
}

#[tokio::test(start_paused = true)]
async fn run_leaving_withdrawn() {
    let store = FakeKeyValue::default();
    let leaving = CancellationToken::new();
    let announcing = tokio::spawn(announcement(&store).run(leaving.clone()));
    sleep(Duration::from_secs(2)).await;
    leaving.cancel();
    announcing.await.unwrap();
    assert!(!is_announced(&store).await);
}

/// Guards against callers who follow a capacity that is no longer so.
#[tokio::test(start_paused = true)]
async fn run_capacity_changed_record_written() {
    let store = FakeKeyValue::default();
    let (sender, capacity) = watch::channel(None);
    let announcement = Announcement { capacity, ..announcement(&store) };
    let announcing = tokio::spawn(announcement.run(CancellationToken::new()));
    sleep(Duration::from_secs(2)).await;
    let slow = CapacityRecord { requests_per_s: 40, speed_percent: 25, room_percent: 100 };
    sender.send_replace(Some(slow));
    sleep(Duration::from_millis(100)).await;
    let entries = store.range(ENTRIES_PREFIX).await.unwrap().entries;
    let record: EntryRecord = serde_json::from_slice(&entries[0].value).unwrap();
    assert_eq!(record.capacity, Some(slow));
    drop(sender);
    sleep(Duration::from_secs(20)).await;
    assert!(is_announced(&store).await);
    announcing.abort();
    sleep(MAX_LISTED_AFTER_END).await;
    assert!(!is_announced(&store).await);
}
