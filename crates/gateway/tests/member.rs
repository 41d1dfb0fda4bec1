//! How long entries stay announced.

use flamingowheel_backing::fake::kv::FakeKeyValue;
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_gateway::member::Announcement;
use flamingowheel_gateway::publish::ENTRIES_PREFIX;
use flamingowheel_gateway::view::EntryRecord;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Callers keep a directory's answer for up to this long, and are to find no entry in a new one that has
/// been off for longer.
const LONGEST_NAMED: Duration = Duration::from_secs(5);

fn announcement(store: &FakeKeyValue) -> Announcement<FakeKeyValue> {
    let callers = SocketAddr::from(([127, 0, 0, 1], 8_000));
    Announcement {
        store: store.clone(),
        vm: "vm-1".to_owned(),
        record: EntryRecord { callers, data_centre: "d".to_owned(), peers: None },
        min_ttl: Duration::from_secs(1),
    }
}

async fn is_listed(store: &FakeKeyValue) -> bool {
    !store.range(ENTRIES_PREFIX).await.unwrap().entries.is_empty()
}

/// An entry's VM loses power for good. With a lease that is renewed seldom to save calls, callers were
/// sent to it for seven seconds.
#[tokio::test(start_paused = true)]
async fn run_entry_gone_for_good() {
    let store = FakeKeyValue::default();
    let announcing = tokio::spawn(announcement(&store).run(CancellationToken::new()));
    sleep(Duration::from_secs(20)).await;
    assert!(is_listed(&store).await);
    announcing.abort();
    sleep(LONGEST_NAMED).await;
    assert!(!is_listed(&store).await);
}

#[tokio::test(start_paused = true)]
async fn run_leaving_taken_back() {
    let store = FakeKeyValue::default();
    let leaving = CancellationToken::new();
    let announcing = tokio::spawn(announcement(&store).run(leaving.clone()));
    sleep(Duration::from_secs(2)).await;
    leaving.cancel();
    announcing.await.unwrap();
    assert!(!is_listed(&store).await);
}
