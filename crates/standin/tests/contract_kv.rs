//! Contract tests of the key-value service. Each case runs against the fake under a paused
//! clock and against the HTTP client and stand-in over loopback.

use bytes::Bytes;
use flamingowheel_backing::client::{EtcdClient, HttpLimits, etcd};
use flamingowheel_backing::fake::{FakeKeyValue, LostAnswer};
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueError, LeaseId, MAX_VALUE_BYTES, Operation, Revision, Transaction,
    Watch, WatchEvent,
};
use flamingowheel_standin::{Connections, kv};
use std::future::Future;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

const CASE_TIMEOUT: Duration = Duration::from_secs(20);

struct Remote {
    client: EtcdClient,
    fake: FakeKeyValue,
    connections: Connections,
    _stop: DropGuard,
}

async fn remote() -> Remote {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let authority = listener.local_addr().unwrap().to_string().parse().unwrap();
    let (fake, connections) = (FakeKeyValue::new(), Connections::default());
    let stop = CancellationToken::new();
    tokio::spawn(kv::serve(listener, fake.clone(), connections.clone(), stop.clone()));
    let limits =
        HttpLimits { head_timeout_ms: 400, read_timeout_ms: 400, ..etcd::default_limits() };
    let client = EtcdClient::new(authority, limits);
    Remote { client, fake, connections, _stop: stop.drop_guard() }
}

async fn bounded<F>(case: F)
where
    F: Future<Output = ()>,
{
    tokio::time::timeout(CASE_TIMEOUT, case).await.expect("case hangs");
}

macro_rules! contract {
    ($($case:ident),+ $(,)?) => {
        mod over_fake {
            use super::FakeKeyValue;
            $(
                #[tokio::test(start_paused = true)]
                async fn $case() {
                    let kv = FakeKeyValue::new();
                    super::bounded(super::$case(&kv, &kv)).await;
                }
            )+
        }
        mod over_http {
            $(
                #[tokio::test]
                async fn $case() {
                    let remote = super::remote().await;
                    super::bounded(super::$case(&remote.client, &remote.fake)).await;
                }
            )+
        }
    };
}

contract!(
    range_sorted_by_prefix,
    transact_compares,
    transact_reads_and_deletes,
    transact_value_too_large,
    lease_binds_keys,
    watch_from_revision,
    watch_compacted,
    rate_exceeded_refuses,
    down_refuses,
    answer_lost_after_effect,
    answer_lost_before_effect,
);

fn put(key: &str, value: &'static str, lease: Option<LeaseId>) -> Transaction {
    let value = Bytes::from_static(value.as_bytes());
    Transaction {
        on_success: vec![Operation::Put { key: key.to_owned(), value, lease }],
        ..Transaction::default()
    }
}

async fn next_change(watch: &mut Watch) -> WatchEvent {
    loop {
        match watch.recv().await.expect("watch ended") {
            WatchEvent::Progress { .. } => continue,
            event => return event,
        }
    }
}

async fn range_sorted_by_prefix<K>(kv: &K, _fake: &FakeKeyValue)
where
    K: KeyValue,
{
    for key in ["b/2", "a/1", "b/1", "c"] {
        kv.transact(put(key, "v", None)).await.unwrap();
    }
    let snapshot = kv.range("b/").await.unwrap();
    let keys: Vec<&str> = snapshot.entries.iter().map(|entry| entry.key.as_str()).collect();
    assert_eq!((keys, snapshot.revision), (vec!["b/1", "b/2"], Revision(4)));
    assert_eq!(snapshot.entries[0].mod_revision, Revision(3));
    assert_eq!(snapshot.entries[0].value, "v");
    assert_eq!(kv.range("").await.unwrap().entries.len(), 4);
    assert!(kv.range("none").await.unwrap().entries.is_empty());
}

async fn transact_compares<K>(kv: &K, _fake: &FakeKeyValue)
where
    K: KeyValue,
{
    let absent = vec![Compare::Absent { key: "a".to_owned() }];
    let create = Transaction { compares: absent, ..put("a", "1", None) };
    assert!(kv.transact(create.clone()).await.unwrap().succeeded);
    assert!(!kv.transact(create).await.unwrap().succeeded);
    let at = |revision| Transaction {
        compares: vec![Compare::ModRevision { key: "a".to_owned(), revision }],
        ..put("a", "2", None)
    };
    assert!(!kv.transact(at(Revision(9))).await.unwrap().succeeded);
    let answer = kv.transact(at(Revision(1))).await.unwrap();
    assert_eq!((answer.succeeded, answer.revision), (true, Revision(2)));
    let entry = kv.range("a").await.unwrap().entries.remove(0);
    assert_eq!((entry.create_revision, entry.mod_revision), (Revision(1), Revision(2)));
}

async fn transact_reads_and_deletes<K>(kv: &K, _fake: &FakeKeyValue)
where
    K: KeyValue,
{
    kv.transact(put("a", "1", None)).await.unwrap();
    let get = |key: &str| Operation::Get { key: key.to_owned() };
    let transaction = Transaction {
        on_success: vec![get("a"), Operation::Delete { key: "a".to_owned() }, get("a"), get("b")],
        ..Transaction::default()
    };
    let answer = kv.transact(transaction.clone()).await.unwrap();
    let found: Vec<bool> = answer.reads.iter().map(Option::is_some).collect();
    assert_eq!((found, answer.revision), (vec![true, false, false], Revision(2)));
    // Deleting an absent key is not a write.
    assert_eq!(kv.transact(transaction).await.unwrap().revision, Revision(2));
}

async fn transact_value_too_large<K>(kv: &K, _fake: &FakeKeyValue)
where
    K: KeyValue,
{
    let with_size = |bytes| Transaction {
        on_success: vec![Operation::Put {
            key: "a".to_owned(),
            value: vec![7; bytes].into(),
            lease: None,
        }],
        ..Transaction::default()
    };
    assert!(kv.transact(with_size(MAX_VALUE_BYTES)).await.unwrap().succeeded);
    let bytes = MAX_VALUE_BYTES + 1;
    let error = kv.transact(with_size(bytes)).await.unwrap_err();
    assert_eq!(error, KeyValueError::ValueTooLarge { bytes });
    assert_eq!(kv.range("a").await.unwrap().entries[0].value.len(), MAX_VALUE_BYTES);
}

async fn lease_binds_keys<K>(kv: &K, _fake: &FakeKeyValue)
where
    K: KeyValue,
{
    let lease = kv.grant_lease(Duration::from_secs(60)).await.unwrap();
    kv.transact(put("a", "1", Some(lease))).await.unwrap();
    assert_eq!(kv.range("a").await.unwrap().entries[0].lease, Some(lease));
    kv.keep_alive(lease).await.unwrap();
    kv.revoke_lease(lease).await.unwrap();
    assert!(kv.range("a").await.unwrap().entries.is_empty());
    assert_eq!(kv.keep_alive(lease).await, Err(KeyValueError::LeaseNotFound));
    assert_eq!(kv.revoke_lease(lease).await, Err(KeyValueError::LeaseNotFound));
    let error = kv.transact(put("a", "1", Some(lease))).await.unwrap_err();
    assert_eq!(error, KeyValueError::LeaseNotFound);
}

async fn watch_from_revision<K>(kv: &K, _fake: &FakeKeyValue)
where
    K: KeyValue,
{
    for value in ["1", "2"] {
        kv.transact(put("a", value, None)).await.unwrap();
    }
    kv.transact(put("b", "x", None)).await.unwrap();
    let mut watch = kv.watch("a", Revision(1)).await.unwrap();
    let WatchEvent::Put(second) = next_change(&mut watch).await else { panic!("not a put") };
    assert_eq!((second.value, second.mod_revision), (Bytes::from_static(b"2"), Revision(2)));
    let delete = Operation::Delete { key: "a".to_owned() };
    let transaction = Transaction { on_success: vec![delete], ..Transaction::default() };
    kv.transact(transaction).await.unwrap();
    let deleted = WatchEvent::Delete { key: "a".to_owned(), revision: Revision(4) };
    assert_eq!(next_change(&mut watch).await, deleted);
}

async fn watch_compacted<K>(kv: &K, fake: &FakeKeyValue)
where
    K: KeyValue,
{
    for value in ["1", "2", "3"] {
        kv.transact(put("a", value, None)).await.unwrap();
    }
    fake.compact(Revision(3));
    let mut watch = kv.watch("a", Revision(1)).await.unwrap();
    assert_eq!(next_change(&mut watch).await, WatchEvent::Compacted { oldest: Revision(3) });
    assert_eq!(watch.recv().await, None);
}

async fn rate_exceeded_refuses<K>(kv: &K, fake: &FakeKeyValue)
where
    K: KeyValue,
{
    fake.set_rate_exceeded(true);
    assert_eq!(kv.range("a").await, Err(KeyValueError::RateExceeded));
    assert_eq!(kv.transact(put("a", "1", None)).await, Err(KeyValueError::RateExceeded));
    assert_eq!(kv.keep_alive(LeaseId(1)).await, Err(KeyValueError::RateExceeded));
    assert_eq!(kv.watch("a", Revision(0)).await.unwrap_err(), KeyValueError::RateExceeded);
    fake.set_rate_exceeded(false);
    assert!(kv.range("a").await.unwrap().entries.is_empty());
}

async fn down_refuses<K>(kv: &K, fake: &FakeKeyValue)
where
    K: KeyValue,
{
    let mut watch = kv.watch("a", Revision(0)).await.unwrap();
    fake.set_down(true);
    while watch.recv().await.is_some() {}
    // The stand-in's listener closes shortly after; until then there is no answer at all.
    while kv.transact(put("a", "1", None)).await != Err(KeyValueError::Unreachable) {}
    fake.set_down(false);
    while kv.range("a").await.is_err() {
        tokio::task::yield_now().await;
    }
    assert!(fake.peek("a").entries.is_empty());
}

async fn answer_lost_after_effect<K>(kv: &K, fake: &FakeKeyValue)
where
    K: KeyValue,
{
    fake.lose_answers(1, LostAnswer::AfterEffect);
    let error = kv.transact(put("a", "1", None)).await.unwrap_err();
    assert!(error.may_have_taken_effect());
    assert_eq!(kv.range("a").await.unwrap().entries.len(), 1);
}

async fn answer_lost_before_effect<K>(kv: &K, fake: &FakeKeyValue)
where
    K: KeyValue,
{
    fake.lose_answers(1, LostAnswer::BeforeEffect);
    let error = kv.transact(put("a", "1", None)).await.unwrap_err();
    assert!(error.may_have_taken_effect());
    assert!(kv.range("a").await.unwrap().entries.is_empty());
}

// A device on the path drops the state of open connections, so they go silent; new ones work. The
// call must fail within its timeout and the next one must succeed on a new connection.
#[tokio::test]
async fn range_connection_silent() {
    let remote = remote().await;
    bounded(async {
        remote.client.range("a").await.unwrap();
        remote.connections.silence_open();
        let error = remote.client.range("a").await.unwrap_err();
        assert_eq!(error, KeyValueError::NoAnswer { limit_ms: 400 });
        assert!(remote.client.range("a").await.is_ok());
    })
    .await;
}

// The service accepts connections but never answers. Calls must fail within their timeout.
#[tokio::test]
async fn range_server_silent() {
    let remote = remote().await;
    bounded(async {
        remote.connections.set_silent(true);
        let error = remote.client.range("a").await.unwrap_err();
        assert_eq!(error, KeyValueError::NoAnswer { limit_ms: 400 });
        remote.connections.set_silent(false);
        assert!(remote.client.range("a").await.is_ok());
    })
    .await;
}
