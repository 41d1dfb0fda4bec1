//! Counts calls to the key-value service and records its outages.

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

/// Wraps a key-value client to count its calls and record outages. All code of a process shares
/// the wrapped client, so no call is missed.
pub struct ObservedKeyValue {
    inner: Arc<dyn KeyValue>,
    recorder: Recorder,
    down_since: Mutex<Option<Instant>>,
}

impl ObservedKeyValue {
    /// Wraps `inner`; its calls and outages are recorded in `recorder`.
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
            Err(error) if is_outage(error) => self.record_down(error),
            Err(_) => {
                self.recorder.metrics().count_kv_error();
                self.record_up();
            }
            Ok(_) => self.record_up(),
        }
        answer
    }

    /// Records an event only when an outage begins: calls fail many times a second while it lasts.
    fn record_down(&self, error: &KeyValueError) {
        self.recorder.metrics().count_kv_error();
        let is_new_outage = {
            let mut down_since = self.down_since.lock().unwrap_or_else(PoisonError::into_inner);
            let is_new_outage = down_since.is_none();
            down_since.get_or_insert_with(Instant::now);
            is_new_outage
        };
        if is_new_outage {
            self.recorder.record(Event::KeyValueDown { error: error.to_string().into() });
        }
    }

    fn record_up(&self) {
        let mut down_since = self.down_since.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(since) = down_since.take() else { return };
        drop(down_since);
        let down_ms = milliseconds(since.elapsed());
        self.recorder.record(Event::KeyValueUp { down_ms });
    }
}

/// Whether the service did not answer. An error that it returns is an answer.
fn is_outage(error: &KeyValueError) -> bool {
    matches!(error, KeyValueError::Unreachable | KeyValueError::NoAnswer { .. })
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn call_kind(transaction: &Transaction) -> KvCall {
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
        let kind = call_kind(&transaction);
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
