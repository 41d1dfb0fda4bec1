//! The faults of the key-value fake, with a paused clock.

use bytes::Bytes;
use flamingowheel_backing::fake::{FakeKeyValue, LostAnswer};
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueError, LeaseId, Operation, Revision, Transaction, WatchEvent,
};
use std::time::Duration;
use tokio::time::Instant;

fn put(key: &str, value: &'static str, lease: Option<LeaseId>) -> Transaction {
    let value = Bytes::from_static(value.as_bytes());
    Transaction {
        on_success: vec![Operation::Put { key: key.to_owned(), value, lease }],
        ..Transaction::default()
    }
}

// The holder of a lease is paused and does not renew it. Watches must see its key deleted at the
// deadline, without any other call to the service.
#[tokio::test(start_paused = true)]
async fn lease_expires_on_time() {
    let kv = FakeKeyValue::new();
    let start = Instant::now();
    let lease = kv.grant_lease(Duration::from_secs(5)).await.unwrap();
    kv.transact(put("lease/a", "me", Some(lease))).await.unwrap();
    let mut watch = kv.watch("lease/", Revision(1)).await.unwrap();
    let deleted = loop {
        match watch.recv().await.unwrap() {
            WatchEvent::Delete { key, .. } => break key,
            _ => continue,
        }
    };
    assert_eq!(deleted, "lease/a");
    assert_eq!(start.elapsed().as_secs(), 5);
    assert_eq!(kv.keep_alive(lease).await, Err(KeyValueError::LeaseNotFound));
}

#[tokio::test(start_paused = true)]
async fn keep_alive_extends_lease() {
    let kv = FakeKeyValue::new();
    let lease = kv.grant_lease(Duration::from_secs(5)).await.unwrap();
    kv.transact(put("lease/a", "me", Some(lease))).await.unwrap();
    for _ in 0..5 {
        tokio::time::sleep(Duration::from_secs(4)).await;
        kv.keep_alive(lease).await.unwrap();
    }
    assert_eq!(kv.peek("lease/").entries.len(), 1);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert!(kv.peek("lease/").entries.is_empty());
}

// The answer to a write is lost after the write took effect. The writer must learn that it may have
// taken effect.
#[tokio::test(start_paused = true)]
async fn transact_answer_lost_after_effect() {
    let kv = FakeKeyValue::new();
    kv.lose_answers(1, LostAnswer::AfterEffect);
    let error = kv.transact(put("a", "1", None)).await.unwrap_err();
    assert!(error.may_have_taken_effect());
    assert_eq!(kv.range("a").await.unwrap().entries.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn lose_write_answers_spares_reads() {
    let kv = FakeKeyValue::new();
    kv.lose_write_answers(1, LostAnswer::AfterEffect);
    let get = Operation::Get { key: "a".to_owned() };
    let read = Transaction { on_success: vec![get], ..Transaction::default() };
    assert!(kv.transact(read).await.is_ok());
    assert!(kv.transact(put("a", "1", None)).await.is_err());
    assert!(kv.transact(put("a", "2", None)).await.is_ok());
}

// The request itself is lost. The writer must get the same error as for a lost answer.
#[tokio::test(start_paused = true)]
async fn transact_answer_lost_before_effect() {
    let kv = FakeKeyValue::new();
    kv.lose_answers(1, LostAnswer::BeforeEffect);
    assert!(kv.transact(put("a", "1", None)).await.unwrap_err().may_have_taken_effect());
    assert!(kv.range("a").await.unwrap().entries.is_empty());
}

// A slow service carries out a write after its caller timed out.
#[tokio::test(start_paused = true)]
async fn transact_slow_takes_effect_later() {
    let kv = FakeKeyValue::new();
    kv.set_delay(Duration::from_secs(4));
    let error = kv.transact(put("a", "1", None)).await.unwrap_err();
    assert_eq!(error, KeyValueError::NoAnswer { limit_ms: 500 });
    assert!(kv.peek("a").entries.is_empty());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(kv.peek("a").entries.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn watch_dropped_events_and_silence() {
    let kv = FakeKeyValue::new();
    let mut watch = kv.watch("a", Revision(0)).await.unwrap();
    kv.drop_watch_events(1);
    kv.transact(put("a", "1", None)).await.unwrap();
    kv.transact(put("a", "2", None)).await.unwrap();
    let WatchEvent::Put(entry) = watch.recv().await.unwrap() else { panic!("not a put") };
    assert_eq!(entry.mod_revision, Revision(2));
    kv.silence_watches();
    kv.transact(put("a", "3", None)).await.unwrap();
    let received = tokio::time::timeout(Duration::from_secs(60), watch.recv()).await;
    assert!(received.is_err(), "a silent watch must deliver neither events nor progress");
    assert!(kv.watch("a", Revision(2)).await.unwrap().recv().await.is_some());
}

#[tokio::test(start_paused = true)]
async fn watch_compacted_start() {
    let kv = FakeKeyValue::new();
    for value in ["1", "2", "3"] {
        kv.transact(put("a", value, None)).await.unwrap();
    }
    kv.compact(Revision(2));
    let mut watch = kv.watch("a", Revision(1)).await.unwrap();
    assert_eq!(watch.recv().await, Some(WatchEvent::Compacted { oldest: Revision(2) }));
    assert_eq!(watch.recv().await, None);
}

#[tokio::test(start_paused = true)]
async fn down_ends_watches_and_refuses() {
    let kv = FakeKeyValue::new();
    let mut watch = kv.watch("a", Revision(0)).await.unwrap();
    kv.set_down(true);
    assert_eq!(watch.recv().await, None);
    let error = kv.transact(put("a", "1", None)).await.unwrap_err();
    assert!(!error.may_have_taken_effect());
    kv.set_down(false);
    kv.set_rate_exceeded(true);
    assert_eq!(kv.range("a").await.unwrap_err(), KeyValueError::RateExceeded);
    assert_eq!((kv.calls().watch, kv.calls().transact, kv.calls().range), (1, 0, 1));
}

#[tokio::test(start_paused = true)]
async fn compare_and_swap_one_winner() {
    let kv = FakeKeyValue::new();
    let claim = Transaction {
        compares: vec![Compare::Absent { key: "a".to_owned() }],
        on_failure: vec![Operation::Get { key: "a".to_owned() }],
        ..put("a", "first", None)
    };
    assert!(kv.transact(claim.clone()).await.unwrap().succeeded);
    let answer = kv.transact(claim).await.unwrap();
    assert!(!answer.succeeded);
    assert_eq!(answer.reads[0].as_ref().unwrap().mod_revision, Revision(1));
}
