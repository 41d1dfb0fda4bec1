//! Client of a key-value service that has several addresses.
//!
//! A write is sent to a second address only if the first certainly did not apply it. In any other
//! case the caller must read back: a second copy could undo what others wrote in between.

use crate::BoxFuture;
use crate::kv::{
    KeyValue, KeyValueError, LeaseId, Operation, Revision, Snapshot, Transaction,
    TransactionAnswer, Watch,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Whether a call may be retried when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    /// Read-only or idempotent.
    Safe,
    /// A retry could apply the call twice.
    Unsafe,
}

/// A client of several addresses of one service. Calls go to the address that last answered.
///
/// ```
/// use flamingowheel_backing::client::Failover;
/// use flamingowheel_backing::fake::FakeKeyValue;
/// use flamingowheel_backing::kv::KeyValue;
/// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
/// let (first, second) = (FakeKeyValue::new(), FakeKeyValue::new());
/// first.set_down(true);
/// let kv = Failover::new(vec![first, second]);
/// assert!(kv.range("config/").await.is_ok());
/// # }
/// ```
#[derive(Debug)]
pub struct Failover<K> {
    clients: Vec<K>,
    current: AtomicUsize,
}

impl<K> Failover<K>
where
    K: KeyValue,
{
    /// Creates a client from one client per address, the preferred one first.
    pub fn new(clients: Vec<K>) -> Self {
        Self { clients, current: AtomicUsize::new(0) }
    }

    async fn call<'a, T, F>(&'a self, retry: Retry, send: F) -> Result<T, KeyValueError>
    where
        F: Fn(&'a K) -> BoxFuture<'a, Result<T, KeyValueError>>,
    {
        let mut last_error = KeyValueError::Unreachable;
        for _ in 0..self.clients.len() {
            let index = self.current.load(Ordering::Relaxed);
            let Some(client) = self.clients.get(index) else { break };
            last_error = match send(client).await {
                Err(error) if should_fail_over(&error) => error,
                result => return result,
            };
            self.fail_over(index);
            if last_error.may_have_taken_effect() && retry == Retry::Unsafe {
                break;
            }
        }
        Err(last_error)
    }

    /// Switches to the next address. Many calls may fail at one address at the same time; only the
    /// first of them switches, as otherwise they would skip working addresses.
    fn fail_over(&self, from: usize) {
        let next = (from + 1) % self.clients.len();
        let (order, relaxed) = (Ordering::Relaxed, Ordering::Relaxed);
        let _ = self.current.compare_exchange(from, next, order, relaxed);
    }
}

/// Refusals come from the service itself and would be the same at every address.
fn should_fail_over(error: &KeyValueError) -> bool {
    *error == KeyValueError::Unreachable || error.may_have_taken_effect()
}

fn transaction_retry(transaction: &Transaction) -> Retry {
    let mut operations = transaction.on_success.iter().chain(&transaction.on_failure);
    match operations.all(|operation| matches!(operation, Operation::Get { .. })) {
        true => Retry::Safe,
        false => Retry::Unsafe,
    }
}

impl<K> KeyValue for Failover<K>
where
    K: KeyValue,
{
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        Box::pin(self.call(Retry::Safe, move |client| client.range(prefix)))
    }

    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        let retry = transaction_retry(&transaction);
        Box::pin(self.call(retry, move |client| client.transact(transaction.clone())))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        Box::pin(self.call(Retry::Unsafe, move |client| client.grant_lease(ttl)))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(self.call(Retry::Safe, move |client| client.keep_alive(lease)))
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(self.call(Retry::Unsafe, move |client| client.revoke_lease(lease)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        Box::pin(self.call(Retry::Safe, move |client| client.watch(prefix, after)))
    }
}
