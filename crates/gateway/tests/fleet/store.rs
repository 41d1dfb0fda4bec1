//! The key-value store as one VM reaches it.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{
    KeyValue, KeyValueError, LeaseId, Revision, Snapshot, Transaction, TransactionAnswer, Watch,
    WatchEvent,
};
use flamingowheel_backing::poll::{self, Poll, PollAnswer, PollError, PollTiming};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// One-way latency to the store.
const LATENCY: Duration = Duration::from_millis(1);

/// Time limit of all calls but polls.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// How the store treats one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// Calls are answered.
    #[default]
    Normal,
    /// Calls fail at once, waiting ones too.
    Refused,
    /// Calls get no answer.
    Silent,
    /// Polls are answered in time but never tell of a change.
    Stale,
    /// Answers come later by this much.
    Slow(Duration),
}

/// The store of one VM; clones share the fault.
#[derive(Clone, Debug)]
pub struct VmStore {
    fake: FakeKeyValue,
    reach: watch::Receiver<Reach>,
}

impl VmStore {
    pub fn new(fake: FakeKeyValue, reach: watch::Receiver<Reach>) -> Self {
        Self { fake, reach }
    }

    /// Passes a call on, unless the VM can't reach the store; ends it if that changes meanwhile.
    async fn call<T, F>(&self, limit: Duration, call: F) -> Result<T, KeyValueError>
    where
        F: Future<Output = Result<T, KeyValueError>>,
    {
        let mut reach = self.reach.clone();
        let limit_ms = limit.as_millis() as u64;
        let delay = match *reach.borrow() {
            Reach::Slow(delay) => delay,
            _ => Duration::ZERO,
        };
        let answered = async {
            sleep(LATENCY).await;
            let answer = call.await;
            sleep(LATENCY + delay).await;
            answer
        };
        let failing = |reach: &Reach| matches!(reach, Reach::Refused | Reach::Silent);
        let deadline = Instant::now() + limit;
        tokio::select! {
            biased;
            Ok(reach) = reach.wait_for(failing) => {
                if *reach == Reach::Refused {
                    return Err(KeyValueError::Unreachable);
                }
            }
            answer = answered => return answer,
            () = sleep_until(deadline) => {}
        }
        sleep_until(deadline).await;
        Err(KeyValueError::NoAnswer { limit_ms })
    }

    async fn changes(&self, after: Revision, wait: Duration) -> Result<PollAnswer, PollError> {
        let deadline = Instant::now() + wait;
        if *self.reach.borrow() == Reach::Stale {
            sleep(wait).await;
            return Ok(PollAnswer { events: Vec::new(), revision: after });
        }
        let mut watch = self.fake.watch("", after).await?;
        let mut answer = PollAnswer { events: Vec::new(), revision: after };
        while answer.events.is_empty() {
            let event = match timeout_at(deadline, watch.recv()).await {
                Err(_) => return Ok(answer),
                Ok(None) => return Err(KeyValueError::Unreachable.into()),
                Ok(Some(event)) => event,
            };
            let mut next = Some(event);
            while let Some(event) = next {
                let revision = match &event {
                    WatchEvent::Put(entry) => entry.mod_revision,
                    WatchEvent::Delete { revision, .. } | WatchEvent::Progress { revision } => {
                        *revision
                    }
                    WatchEvent::Compacted { .. } => return Err(PollError::Compacted),
                };
                answer.revision = answer.revision.max(revision);
                if !matches!(event, WatchEvent::Progress { .. }) {
                    answer.events.push(event);
                }
                next = watch.try_recv().ok();
            }
        }
        Ok(answer)
    }
}

impl Poll for VmStore {
    fn poll<'a>(
        &'a self,
        _prefix: &'a str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'a, Result<PollAnswer, PollError>> {
        Box::pin(async move {
            let limit = Duration::from_secs(60);
            let call = async { Ok(self.changes(after, wait).await) };
            self.call(limit, call).await?
        })
    }
}

impl KeyValue for VmStore {
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        Box::pin(self.call(CALL_LIMIT, self.fake.range(prefix)))
    }

    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>> {
        Box::pin(self.call(CALL_LIMIT, self.fake.transact(transaction)))
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>> {
        Box::pin(self.call(CALL_LIMIT, self.fake.grant_lease(ttl)))
    }

    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(self.call(CALL_LIMIT, self.fake.keep_alive(lease)))
    }

    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>> {
        Box::pin(self.call(CALL_LIMIT, self.fake.revoke_lease(lease)))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>> {
        let watch = poll::watch(self.clone(), prefix, after, PollTiming::default());
        Box::pin(std::future::ready(Ok(watch)))
    }
}
