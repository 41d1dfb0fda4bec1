//! Counts calls on the key-value service and notices when it goes down and comes back.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::kv::{
    KeyValue, KeyValueError, LeaseId, Operation, Revision, Snapshot, Transaction,
    TransactionAnswer, Watch,
};
use tokio::time::Instant;

use crate::event::Event;
use crate::metrics::KvCall;
use crate::recorder::Recorder;

/// A key-value service whose calls are counted. It stands before the client that all code of a
/// process shares, so that no call can be missed.
pub struct ObservedKeyValue {
    inner: Arc<dyn KeyValue>,
    recorder: Recorder,
    down_since: Mutex<Option<Instant>>,
}

impl ObservedKeyValue {
    /// Observes the calls on `inner`.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use flamingowheel_observe::kv::ObservedKeyValue;
    /// use flamingowheel_observe::recorder::Recorder;
    /// use flamingowheel_backing::fake::FakeKeyValue;
    ///
    /// let recorder = Recorder::for_tests("entry-1");
    /// let _kv = ObservedKeyValue::new(Arc::new(FakeKeyValue::new()), recorder);
    /// ```
    pub fn new(inner: Arc<dyn KeyValue>, recorder: Recorder) -> Self {
        Self { inner, recorder, down_since: Mutex::default() }
    }

    async fn observe<'a, T>(
        &'a self,
        call: KvCall,
        answer: BoxFuture<'a, Result<T, KeyValueError>>,
    ) -> Result<T, KeyValueError> {
        self.recorder.metrics().count_kv_call(call);
        let answer = answer.await;
        match &answer {
            Err(error) if is_outage(error) => self.seen_down(error),
            Err(_) => {
                self.recorder.metrics().count_kv_error();
                self.seen_up();
            }
            Ok(_) => self.seen_up(),
        }
        answer
    }

    /// Records the beginning of an outage only: calls go on failing many times a second.
    fn seen_down(&self, error: &KeyValueError) {
        self.recorder.metrics().count_kv_error();
        let began = {
            let mut down_since = self.down_since.lock().unwrap_or_else(PoisonError::into_inner);
            let began = down_since.is_none();
            down_since.get_or_insert_with(Instant::now);
            began
        };
        if began {
            self.recorder.record(Event::KeyValueDown { error: error.to_string().into() });
        }
    }

    fn seen_up(&self) {
        let mut down_since = self.down_since.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(since) = down_since.take() else { return };
        drop(down_since);
        let down_ms = milliseconds(since.elapsed());
        self.recorder.record(Event::KeyValueUp { down_ms });
    }
}

/// Whether the service did not answer; a refusal is an answer.
fn is_outage(error: &KeyValueError) -> bool {
    matches!(error, KeyValueError::Unreachable | KeyValueError::NoAnswer { .. })
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn kind(transaction: &Transaction) -> KvCall {
    let mut operations = transaction.on_success.iter().chain(&transaction.on_failure);
    match operations.all(|operation| matches!(operation, Operation::Get { .. })) {
        true => KvCall::Read,
        false => KvCall::Write,
    }
}

impl KeyValue for ObservedKeyValue {
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        Box::pin(self.observe(KvCall::Read, self.inner.range(prefix)))
    }

    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        let kind = kind(&transaction);
        Box::pin(self.observe(kind, self.inner.transact(transaction)))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        Box::pin(self.observe(KvCall::Lease, self.inner.grant_lease(ttl)))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(self.observe(KvCall::Lease, self.inner.keep_alive(lease)))
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(self.observe(KvCall::Lease, self.inner.revoke_lease(lease)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        Box::pin(self.observe(KvCall::Watch, self.inner.watch(prefix, after)))
    }
}
