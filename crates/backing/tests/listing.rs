//! Listings of stores that answer in pages.

use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{
    KeyValue, KeyValueEntry, Operation, Revision, Snapshot, Transaction, WatchEvent,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::{advance, sleep};

const SEEDS: u64 = 400;
const CHANGES: usize = 60;
const KEYS: u32 = 24;

/// Largest number of keys in a page, below that of all keys.
const PAGE_KEYS: usize = 7;

/// Largest age of a stale page, well within the time over which the changes are spread.
const MAX_AGE: Duration = Duration::from_secs(4);

type Copy = BTreeMap<String, KeyValueEntry>;

/// Writes or deletes a key.
async fn change<R>(kv: &FakeKeyValue, rng: &mut R)
where
    R: Rng,
{
    let key = format!("k/{:02}", rng.random_range(0..KEYS));
    let operation = if rng.random_bool(0.3) {
        Operation::Delete { key }
    } else {
        let value = rng.random::<u64>().to_be_bytes().to_vec().into();
        Operation::Put { key, value, lease: None }
    };
    let transaction = Transaction { on_success: vec![operation], ..Transaction::default() };
    kv.transact(transaction).await.unwrap();
}

/// The listing with all changes after its revision.
async fn completed(kv: &FakeKeyValue, listing: Snapshot) -> Copy {
    let mut copy: Copy =
        listing.entries.into_iter().map(|entry| (entry.key.clone(), entry)).collect();
    let mut watch = kv.watch("", listing.revision).await.unwrap();
    while let Ok(event) = watch.try_recv() {
        match event {
            WatchEvent::Put(entry) => drop(copy.insert(entry.key.clone(), entry)),
            WatchEvent::Delete { key, .. } => drop(copy.remove(&key)),
            WatchEvent::Progress { .. } | WatchEvent::Compacted { .. } => {}
        }
    }
    copy
}

fn stored(kv: &FakeKeyValue) -> Copy {
    kv.peek("").entries.into_iter().map(|entry| (entry.key.clone(), entry)).collect()
}

/// Guards against a listing that claims a revision whose changes it lacks: of two pages, the later
/// one came from a replica that lagged further behind.
#[tokio::test(start_paused = true)]
async fn range_stale_pages_of_drawn_ages() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let kv = FakeKeyValue::new();
        for _ in 0..CHANGES {
            change(&kv, &mut rng).await;
            advance(Duration::from_millis(rng.random_range(1..200))).await;
        }
        kv.draw_pages(seed, PAGE_KEYS, MAX_AGE);
        let listing = kv.range_stale("").await.unwrap();
        assert_eq!(completed(&kv, listing).await, stored(&kv), "seed {seed}");
    }
}

/// Guards against a listing that lacks a change which was made between two of its pages.
#[tokio::test(start_paused = true)]
async fn range_changes_between_pages() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let kv = FakeKeyValue::new();
        for _ in 0..CHANGES {
            change(&kv, &mut rng).await;
        }
        kv.draw_pages(seed, PAGE_KEYS, MAX_AGE);
        kv.set_page_gap(Duration::from_millis(5));
        let changing = async {
            loop {
                sleep(Duration::from_millis(2)).await;
                change(&kv, &mut rng).await;
            }
        };
        let listing = tokio::select! {
            listing = kv.range("") => listing.unwrap(),
            () = changing => unreachable!("changes go on"),
        };
        assert_eq!(completed(&kv, listing).await, stored(&kv), "seed {seed}");
    }
}

/// Each page of a stale read has an age of its own, and says so by its revision.
#[tokio::test(start_paused = true)]
async fn page_age_of_each() {
    let kv = FakeKeyValue::new();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..CHANGES {
        change(&kv, &mut rng).await;
        advance(Duration::from_secs(1)).await;
    }
    kv.set_page_items(2);
    kv.age_stale_pages(&[Duration::ZERO, Duration::from_secs(30)]);
    let first = kv.page("", None, true).await.unwrap();
    assert_eq!((first.entries.len(), first.has_more), (2, true));
    let last_key = first.entries.last().map(|entry| entry.key.as_str());
    let second = kv.page("", last_key, true).await.unwrap();
    assert!(second.revision < first.revision, "{:?} {:?}", first.revision, second.revision);
    let third = kv.page("", None, false).await.unwrap();
    assert_eq!(third.revision, kv.peek("").revision);
}

/// Leases either expire or pause while the service is down.
#[tokio::test(start_paused = true)]
async fn set_down_leases_pause() {
    for (pauses, expected) in [(true, 1), (false, 0)] {
        let kv = FakeKeyValue::new();
        kv.set_pauses_leases(pauses);
        let lease = kv.grant_lease(Duration::from_secs(2)).await.unwrap();
        let put = Operation::Put { key: "k".into(), value: "v".into(), lease: Some(lease) };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        kv.transact(transaction).await.unwrap();
        kv.set_down(true);
        sleep(Duration::from_secs(10)).await;
        kv.set_down(false);
        assert_eq!(kv.peek("").entries.len(), expected, "pauses: {pauses}");
        sleep(Duration::from_secs(3)).await;
        assert_eq!(kv.peek("").entries.len(), 0, "pauses: {pauses}");
    }
}

/// A watch that is cut ends, and the next one goes on from any revision that is kept.
#[tokio::test(start_paused = true)]
async fn cut_watches_ends() {
    let kv = FakeKeyValue::new();
    let mut watch = kv.watch("", Revision(0)).await.unwrap();
    kv.cut_watches();
    assert_eq!(watch.recv().await, None);
}
