//! What copies of the key-value store hold after listings and exchanges of any age and order.

use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Revision, Transaction};
use flamingowheel_gateway::feed::follower::StoreFollower;
use flamingowheel_gateway::feed::mirror::{Change, Mirror};
use flamingowheel_platform::CONFIGURATION_KEY;
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, advance, sleep};

/// Age of the later page of the first read.
const LAG: Duration = Duration::from_secs(3);

type Contents = BTreeMap<String, Vec<u8>>;

async fn put(kv: &FakeKeyValue, key: &str, value: &str) {
    let (key, value) = (key.to_owned(), value.to_owned().into());
    let put = Operation::Put { key, value, lease: None };
    kv.transact(Transaction { on_success: vec![put], ..Transaction::default() }).await.unwrap();
}

async fn delete(kv: &FakeKeyValue, key: &str) {
    let delete = Operation::Delete { key: key.to_owned() };
    kv.transact(Transaction { on_success: vec![delete], ..Transaction::default() }).await.unwrap();
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

/// Brings a copy up to the store, as a watch does.
async fn follow(kv: &FakeKeyValue, mirror: &Mirror) {
    let mut watch = kv.watch("", Revision(mirror.revision().unwrap_or(0))).await.unwrap();
    while let Ok(event) = watch.try_recv() {
        mirror.apply_event(event);
    }
    let revision = kv.peek("").revision;
    mirror.apply_event(flamingowheel_backing::kv::WatchEvent::Progress { revision });
}

/// Starts an entry whose first read has a page that is up to date and an older one, which holds the
/// configuration.
async fn start_after_change(kv: &FakeKeyValue) -> (Arc<Mirror>, watch::Sender<bool>) {
    put(kv, "entries/1", "").await;
    put(kv, CONFIGURATION_KEY, "old").await;
    sleep(LAG * 2).await;
    put(kv, CONFIGURATION_KEY, "new").await;
    put(kv, "entries/1", "1").await;
    kv.set_page_items(1);
    kv.age_stale_pages(&[Duration::ZERO, LAG]);
    let (mirror, (follows, should_follow)) = (Arc::new(Mirror::default()), watch::channel(false));
    tokio::spawn(StoreFollower::new(kv.clone(), Arc::clone(&mirror), should_follow).run());
    while mirror.revision().is_none() {
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(held(&mirror)[CONFIGURATION_KEY], b"old");
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

async fn change<R>(kv: &FakeKeyValue, rng: &mut R)
where
    R: Rng,
{
    let key = format!("k/{:02}", rng.random_range(0..16));
    if rng.random_bool(0.4) {
        delete(kv, &key).await;
    } else {
        put(kv, &key, &rng.random::<u32>().to_string()).await;
    }
}

/// What the publisher of an entry makes of the changes of its copy.
#[derive(Default)]
struct Published {
    position: u64,
    contents: Contents,
}

impl Published {
    fn update(&mut self, mirror: &Mirror) {
        let changes = mirror.changes(self.position);
        if changes.is_whole {
            self.contents.clear();
        }
        for change in changes.changes {
            match change {
                Change::Put { key, value, .. } => {
                    drop(self.contents.insert(key, value.to_vec()));
                }
                Change::Delete(key) => drop(self.contents.remove(&key)),
            }
        }
        self.position = changes.position;
    }
}

/// Guards against copies that differ for good: whatever listings, watches and exchanges they are made
/// of, what is up to date holds what the store holds, and its publisher knows it.
#[tokio::test(start_paused = true)]
async fn copies_drawn_histories_converge() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let kv = FakeKeyValue::new();
        kv.draw_pages(seed, 6, Duration::from_secs(4));
        let mut copies: Vec<Mirror> = (0..4).map(|_| Mirror::default()).collect();
        let mut published: Vec<Published> = (0..4).map(|_| Published::default()).collect();
        for step in 0..120 {
            advance(Duration::from_millis(rng.random_range(1..300))).await;
            let copy = rng.random_range(0..copies.len());
            match rng.random_range(0..10) {
                0..5 => change(&kv, &mut rng).await,
                5 => copies[copy].apply_snapshot(kv.range_stale("").await.unwrap()),
                6 => follow(&kv, &copies[copy]).await,
                7 => (copies[copy], published[copy]) = Default::default(),
                _ => {
                    let other = copies.choose(&mut rng).unwrap();
                    exchange(other, &copies[copy]);
                }
            }
            let head = kv.peek("").revision.0;
            for (copy, published) in copies.iter().zip(&mut published) {
                published.update(copy);
                if copy.revision() == Some(head) {
                    assert_eq!(held(copy), stored(&kv), "seed {seed}, step {step}");
                    assert_eq!(published.contents, stored(&kv), "seed {seed}, step {step}");
                }
            }
        }
    }
}

/// Guards against a deleted backend server that another entry keeps: the sender's copy began with a
/// listing after the deletion, and knows nothing of it.
#[tokio::test(start_paused = true)]
async fn exchange_deletion_before_first_listing() {
    let kv = FakeKeyValue::new();
    put(&kv, "servers/1", "").await;
    let (sender, receiver) = (Mirror::default(), Mirror::default());
    receiver.apply_snapshot(kv.peek(""));
    delete(&kv, "servers/1").await;
    put(&kv, "servers/2", "").await;
    sender.apply_snapshot(kv.peek(""));
    exchange(&sender, &receiver);
    assert_eq!(held(&receiver), stored(&kv));
}

/// The same for a key that was written and deleted between two listings of the sender.
#[tokio::test(start_paused = true)]
async fn exchange_deletion_between_listings() {
    let kv = FakeKeyValue::new();
    put(&kv, "servers/2", "").await;
    let (sender, receiver) = (Mirror::default(), Mirror::default());
    sender.apply_snapshot(kv.peek(""));
    put(&kv, "servers/1", "").await;
    receiver.apply_snapshot(kv.peek(""));
    delete(&kv, "servers/1").await;
    sender.apply_snapshot(kv.peek(""));
    exchange(&sender, &receiver);
    assert_eq!(held(&receiver), stored(&kv));
}

/// Guards against a publisher that keeps a deleted backend server: a listing showed the deletion at a
/// revision that the publisher had passed already.
#[tokio::test(start_paused = true)]
async fn changes_deletion_shown_by_older_listing() {
    let kv = FakeKeyValue::new();
    put(&kv, "servers/1", "").await;
    put(&kv, "servers/2", "").await;
    put(&kv, "servers/3", "").await;
    let copy = Mirror::default();
    copy.apply_snapshot(kv.peek(""));
    let mut published = Published::default();
    published.update(&copy);
    // The first page shows the deletion, the second one is as old as the copy.
    sleep(LAG * 2).await;
    delete(&kv, "servers/1").await;
    kv.set_page_items(1);
    kv.age_stale_pages(&[Duration::ZERO, LAG]);
    copy.apply_snapshot(kv.range_stale("").await.unwrap());
    put(&kv, "servers/4", "").await;
    copy.apply_snapshot(kv.peek(""));
    published.update(&copy);
    assert_eq!(published.contents, stored(&kv));
}
