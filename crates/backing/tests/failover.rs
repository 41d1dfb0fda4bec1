//! Failover between the addresses of a key-value service.

use bytes::Bytes;
use flamingowheel_backing::client::Failover;
use flamingowheel_backing::fake::{FakeKeyValue, LostAnswer};
use flamingowheel_backing::kv::{KeyValue, KeyValueError, Operation, Transaction};
use std::time::Duration;

fn two_addresses() -> (FakeKeyValue, FakeKeyValue, Failover<FakeKeyValue>) {
    let (first, second) = (FakeKeyValue::new(), FakeKeyValue::new());
    let kv = Failover::new(vec![first.clone(), second.clone()]);
    (first, second, kv)
}

fn put_transaction() -> Transaction {
    let (key, value) = ("key".to_owned(), Bytes::from_static(b"value"));
    let on_success = vec![Operation::Put { key, value, lease: None }];
    Transaction { on_success, ..Transaction::default() }
}

// The first address refuses connections. Writes must continue at the second one, and later calls
// must not try the first one again.
#[tokio::test(start_paused = true)]
async fn transact_first_unreachable_second_used() {
    let (first, second, kv) = two_addresses();
    first.set_down(true);
    kv.transact(put_transaction()).await.unwrap();
    assert_eq!(second.peek("key").entries.len(), 1);
    first.set_down(false);
    kv.transact(put_transaction()).await.unwrap();
    assert_eq!((first.calls().transact, second.calls().transact), (0, 2));
}

// The answer to a write at the first address is lost. The write must not be sent to the second
// address: it may have taken effect, and a copy could undo what another client wrote since. Only
// the next call goes to the second address.
#[tokio::test(start_paused = true)]
async fn transact_answer_lost_not_sent_twice() {
    for lost in [LostAnswer::AfterEffect, LostAnswer::BeforeEffect] {
        let (first, second, kv) = two_addresses();
        first.lose_answers(1, lost);
        let error = kv.transact(put_transaction()).await.unwrap_err();
        assert!(error.may_have_taken_effect());
        assert_eq!(second.calls().total(), 0);
        kv.range("key").await.unwrap();
        assert_eq!((first.calls().range, second.calls().range), (0, 1));
    }
}

// The answer to a lease grant is lost. The grant must not be sent to the second address: one of two
// leases would never be renewed.
#[tokio::test(start_paused = true)]
async fn grant_lease_answer_lost_not_sent_twice() {
    let (first, second, kv) = two_addresses();
    first.lose_answers(1, LostAnswer::AfterEffect);
    assert!(kv.grant_lease(Duration::from_secs(5)).await.is_err());
    assert_eq!(second.calls().grant_lease, 0);
}

// The first address accepts calls but never answers. Reads, including those in a transaction, must
// be answered by the second one.
#[tokio::test(start_paused = true)]
async fn read_first_silent_second_answers() {
    let get = vec![Operation::Get { key: "key".to_owned() }];
    let read = Transaction { on_success: get, ..Transaction::default() };
    let (first, second, kv) = two_addresses();
    first.set_delay(Duration::from_secs(3_600));
    kv.transact(read).await.unwrap();
    kv.range("key").await.unwrap();
    assert_eq!((first.calls().total(), second.calls().total()), (1, 2));
}

// The service refuses a call because its rate limit is exhausted. The call must not be sent to
// another address, which would count against the same limit.
#[tokio::test(start_paused = true)]
async fn transact_rate_exceeded_no_failover() {
    let (first, second, kv) = two_addresses();
    first.set_rate_exceeded(true);
    assert_eq!(kv.transact(put_transaction()).await, Err(KeyValueError::RateExceeded));
    assert_eq!(second.calls().total(), 0);
}

// All addresses are unreachable. The call must fail after one attempt at each, and later calls must
// reach the service at whichever address is up again.
#[tokio::test(start_paused = true)]
async fn range_all_unreachable_then_recovered() {
    let (first, second, kv) = two_addresses();
    first.set_down(true);
    second.set_down(true);
    assert_eq!(kv.range("key").await, Err(KeyValueError::Unreachable));
    second.set_down(false);
    kv.range("key").await.unwrap();
    second.set_down(true);
    first.set_down(false);
    kv.range("key").await.unwrap();
}

// Twenty concurrent calls time out at the first address. All must be answered by the second one: if
// each of them switched the address, some would switch back to the first.
#[tokio::test(start_paused = true)]
async fn range_many_at_once_all_answered() {
    let (first, second, kv) = two_addresses();
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
