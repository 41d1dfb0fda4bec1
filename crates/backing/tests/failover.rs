//! A key-value service with several addresses, some of which fail.

use bytes::Bytes;
use flamingowheel_backing::client::Failover;
use flamingowheel_backing::fake::{FakeKeyValue, LostAnswer};
use flamingowheel_backing::kv::{KeyValue, KeyValueError, Operation, Transaction};
use std::time::Duration;

fn two() -> (FakeKeyValue, FakeKeyValue, Failover<FakeKeyValue>) {
    let (first, second) = (FakeKeyValue::new(), FakeKeyValue::new());
    let kv = Failover::new(vec![first.clone(), second.clone()]);
    (first, second, kv)
}

fn put() -> Transaction {
    let (key, value) = ("key".to_owned(), Bytes::from_static(b"value"));
    let on_success = vec![Operation::Put { key, value, lease: None }];
    Transaction { on_success, ..Transaction::default() }
}

// The first member of the service is replaced and refuses connections. Writes go on at the second,
// and later calls don't knock at the first one's door each time.
#[tokio::test(start_paused = true)]
async fn transact_first_unreachable_second_takes_it() {
    let (first, second, kv) = two();
    first.set_down(true);
    kv.transact(put()).await.unwrap();
    assert_eq!(second.peek("key").entries.len(), 1);
    first.set_down(false);
    kv.transact(put()).await.unwrap();
    assert_eq!((first.calls().transact, second.calls().transact), (0, 2));
}

// The first member takes a write and dies before it answers. The write must not be sent to the
// second: it took effect, and a copy could undo what somebody else wrote since. The next call goes
// to the second.
#[tokio::test(start_paused = true)]
async fn transact_answer_lost_not_sent_twice() {
    for lost in [LostAnswer::AfterEffect, LostAnswer::BeforeEffect] {
        let (first, second, kv) = two();
        first.lose_answers(1, lost);
        let error = kv.transact(put()).await.unwrap_err();
        assert!(error.may_have_taken_effect());
        assert_eq!(second.calls().total(), 0);
        kv.range("key").await.unwrap();
        assert_eq!((first.calls().range, second.calls().range), (0, 1));
    }
}

// The same for leases: a second one would hold keys that nobody renews.
#[tokio::test(start_paused = true)]
async fn grant_lease_answer_lost_not_sent_twice() {
    let (first, second, kv) = two();
    first.lose_answers(1, LostAnswer::AfterEffect);
    assert!(kv.grant_lease(Duration::from_secs(5)).await.is_err());
    assert_eq!(second.calls().grant_lease, 0);
}

// The first member takes calls and never answers. Reads are answered by the second, those within
// a transaction too.
#[tokio::test(start_paused = true)]
async fn read_first_silent_second_answers() {
    let get = vec![Operation::Get { key: "key".to_owned() }];
    let read = Transaction { on_success: get, ..Transaction::default() };
    let (first, second, kv) = two();
    first.set_delay(Duration::from_secs(3_600));
    kv.transact(read).await.unwrap();
    kv.range("key").await.unwrap();
    assert_eq!((first.calls().total(), second.calls().total()), (1, 2));
}

// The service refuses because its rate is used up. Asking at another address would only use up
// more of it.
#[tokio::test(start_paused = true)]
async fn transact_rate_exceeded_not_moved_on() {
    let (first, second, kv) = two();
    first.set_rate_exceeded(true);
    assert_eq!(kv.transact(put()).await, Err(KeyValueError::RateExceeded));
    assert_eq!(second.calls().total(), 0);
}

// Nobody is there. The caller hears it after one try at each address, and the service is found
// again wherever it comes back.
#[tokio::test(start_paused = true)]
async fn range_all_unreachable_found_again() {
    let (first, second, kv) = two();
    first.set_down(true);
    second.set_down(true);
    assert_eq!(kv.range("key").await, Err(KeyValueError::Unreachable));
    second.set_down(false);
    kv.range("key").await.unwrap();
    second.set_down(true);
    first.set_down(false);
    kv.range("key").await.unwrap();
}

// Twenty calls find at the same moment that the first address is silent. All must be answered by
// the second; none may wander past it, back to the first.
#[tokio::test(start_paused = true)]
async fn range_many_at_once_all_answered() {
    let (first, second, kv) = two();
    first.set_delay(Duration::from_secs(3_600));
    let kv = std::sync::Arc::new(kv);
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..20 {
        let kv = std::sync::Arc::clone(&kv);
        calls.spawn(async move { kv.range("key").await.is_ok() });
    }
    assert!(calls.join_all().await.into_iter().all(|answered| answered));
    assert_eq!(second.calls().range, 20);
}
