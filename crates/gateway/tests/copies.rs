//! What copies of the key-value store hold after listings and exchanges of any age and order.

use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_gateway::feed::follower::StoreFollower;
use flamingowheel_gateway::feed::mirror::{Change, Mirror};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

const CONFIGURATION: &str = "op/config";

/// Age of the later page of the first read.
const LAG: Duration = Duration::from_secs(3);

type Contents = BTreeMap<String, Vec<u8>>;

async fn put(kv: &FakeKeyValue, key: &str, value: &str) {
    let (key, value) = (key.to_owned(), value.to_owned().into());
    let put = Operation::Put { key, value, lease: None };
    kv.transact(Transaction { on_success: vec![put], ..Transaction::default() }).await.unwrap();
}

fn stored(kv: &FakeKeyValue) -> Contents {
    let entries = kv.peek("").entries.into_iter();
    entries.map(|entry| (entry.key, entry.value.to_vec())).collect()
}

fn held(mirror: &Mirror) -> Contents {
    let puts = mirror.changes(0).changes.into_iter().filter_map(|change| match change {
        Change::Put { key, value, .. } => Some((key, value.to_vec())),
        Change::Delete(_) => None,
    });
    puts.collect()
}

/// Passes the changes that `to` lacks on to it, as entries do.
fn exchange(from: &Mirror, to: &Mirror) {
    let now = Instant::now();
    if from.revision() > to.revision() {
        let delta = from.delta(to.revision().unwrap_or(0), now);
        assert!(to.apply_delta("vm", delta, now));
    }
}

/// Starts an entry whose first read has a page that is up to date and an older one, which holds the
/// configuration.
async fn start_after_change(kv: &FakeKeyValue) -> (Arc<Mirror>, watch::Sender<bool>) {
    put(kv, "entries/1", "").await;
    put(kv, CONFIGURATION, "old").await;
    sleep(LAG * 2).await;
    put(kv, CONFIGURATION, "new").await;
    put(kv, "entries/1", "1").await;
    kv.set_page_items(1);
    kv.age_stale_pages(&[Duration::ZERO, LAG]);
    let (mirror, (follows, should_follow)) = (Arc::new(Mirror::default()), watch::channel(false));
    tokio::spawn(StoreFollower::new(kv.clone(), Arc::clone(&mirror), should_follow).run());
    while mirror.revision().is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(held(&mirror)[CONFIGURATION], b"old");
    (mirror, follows)
}

/// Guards against an entry that keeps an old configuration after its start: its first read was older
/// in a later page, and it asked other entries only for what came after the first page.
#[tokio::test(start_paused = true)]
async fn read_first_second_page_stale_then_exchange() {
    let kv = FakeKeyValue::new();
    let (mirror, _follows) = start_after_change(&kv).await;
    let peer = Mirror::default();
    peer.apply_snapshot(kv.peek(""));
    exchange(&peer, &mirror);
    assert_eq!(held(&mirror), stored(&kv));
}

/// The same for an entry that follows the store itself afterwards.
#[tokio::test(start_paused = true)]
async fn read_first_second_page_stale_then_follow() {
    let kv = FakeKeyValue::new();
    let (mirror, follows) = start_after_change(&kv).await;
    follows.send_replace(true);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(held(&mirror), stored(&kv));
}
