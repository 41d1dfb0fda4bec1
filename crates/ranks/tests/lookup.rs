//! Lookups in a slow key-value store.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::kv::FakeKeyValue;
use flamingowheel_backing::kv::{
    KeyValue, KeyValueError, LeaseId, Revision, Snapshot, Transaction, TransactionAnswer, Watch,
};
use flamingowheel_ranks::lookup::Lookup;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// A store that delays all reads.
#[derive(Clone)]
struct SlowStore {
    store: FakeKeyValue,
    read_delay: Duration,
}

impl KeyValue for SlowStore {
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        Box::pin(async move {
            sleep(self.read_delay).await;
            self.store.range(prefix).await
        })
    }

    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        self.store.transact(transaction)
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        self.store.grant_lease(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        self.store.keep_alive(lease)
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        self.store.revoke_lease(lease)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        self.store.watch(prefix, after)
    }
}

/// Reading a configuration of a megabyte over the coordinator's link takes longer than the first
/// timeout. With the same timeout for each attempt it would never be read, and the group would keep
/// its first map permanently.
#[tokio::test(start_paused = true)]
async fn start_large_configuration() {
    let store =
        SlowStore { store: FakeKeyValue::default(), read_delay: Duration::from_millis(1_800) };
    let mut lookup = Lookup::new(store, "s".to_owned());
    lookup.start(true);
    let found = timeout(Duration::from_secs(8), lookup.next()).await;
    assert!(found.is_ok_and(|found| found.is_some()));
}
