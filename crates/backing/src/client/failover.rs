//! One key-value service that is reached at several addresses.
//!
//! A write goes to a second address only if the first surely did not take it. Everything else a
//! caller must read back, and a second copy could undo what others wrote in between.

use crate::BoxFuture;
use crate::kv::{
    KeyValue, KeyValueError, LeaseId, Operation, Revision, Snapshot, Transaction,
    TransactionAnswer, Watch,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Whether a call may be sent again when nobody knows what became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Repeat {
    /// It changes nothing, or the same if it comes twice.
    Harmless,
    /// It may have taken effect.
    Never,
}

/// A client of several addresses of one service. Calls go to the address that answered last.
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
    /// A client over one client for each address, the preferred one first.
    pub fn new(clients: Vec<K>) -> Self {
        Self { clients, current: AtomicUsize::new(0) }
    }

    async fn call<'a, T, F>(&'a self, repeat: Repeat, ask: F) -> Result<T, KeyValueError>
    where
        F: Fn(&'a K) -> BoxFuture<'a, Result<T, KeyValueError>>,
    {
        let mut last = KeyValueError::Unreachable;
        for _ in 0..self.clients.len() {
            let at = self.current.load(Ordering::Relaxed);
            let Some(client) = self.clients.get(at) else { break };
            last = match ask(client).await {
                Err(error) if must_move_on(&error) => error,
                result => return result,
            };
            self.move_on(at);
            if last.may_have_taken_effect() && repeat == Repeat::Never {
                break;
            }
        }
        Err(last)
    }

    /// Many calls may fail at one address at the same moment; only the first of them moves on, or
    /// they would skip addresses that work.
    fn move_on(&self, from: usize) {
        let next = (from + 1) % self.clients.len();
        let (order, relaxed) = (Ordering::Relaxed, Ordering::Relaxed);
        let _ = self.current.compare_exchange(from, next, order, relaxed);
    }
}

/// Refusals come from the service itself and would be the same at each address.
fn must_move_on(error: &KeyValueError) -> bool {
    *error == KeyValueError::Unreachable || error.may_have_taken_effect()
}

fn repeat(transaction: &Transaction) -> Repeat {
    let mut operations = transaction.on_success.iter().chain(&transaction.on_failure);
    match operations.all(|operation| matches!(operation, Operation::Get { .. })) {
        true => Repeat::Harmless,
        false => Repeat::Never,
    }
}

impl<K> KeyValue for Failover<K>
where
    K: KeyValue,
{
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        Box::pin(self.call(Repeat::Harmless, move |client| client.range(prefix)))
    }

    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        let repeat = repeat(&transaction);
        Box::pin(self.call(repeat, move |client| client.transact(transaction.clone())))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        Box::pin(self.call(Repeat::Never, move |client| client.grant_lease(ttl)))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(self.call(Repeat::Harmless, move |client| client.keep_alive(lease)))
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(self.call(Repeat::Never, move |client| client.revoke_lease(lease)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        Box::pin(self.call(Repeat::Harmless, move |client| client.watch(prefix, after)))
    }
}
