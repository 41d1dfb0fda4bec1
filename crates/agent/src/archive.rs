//! Leaves the answers of finished tickets in the key-value service before the process ends.
//!
//! The records are in this process's memory and go with it. After a planned stop a resend would be
//! told "unknown" of work whose answer was known all the time. Safety never leans on what is
//! written here: what is absent stays unknown.

use crate::control::AgentHandle;
use crate::execution::Execution;
use flamingowheel_platform::kv::{KeyValue, KeyValueError, Operation, Transaction};
use flamingowheel_protocol::archive::{self, ArchivedAnswer, BUCKETS};
use flamingowheel_protocol::id::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use uuid::Uuid;

/// Largest body that is archived.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Largest value, and most bytes of values in one transaction.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Most writes in one transaction.
const MAX_BATCH_WRITES: usize = 120;

/// Bytes of a record beside body and media type, at the most.
const RECORD_OVERHEAD_BYTES: usize = 96;

/// How long an agent that ends may take for this. A service that is down must not keep it.
const LIMIT: Duration = Duration::from_secs(3);

/// Whose answers are archived, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Archive {
    /// The agent process.
    pub incarnation: Incarnation,
    /// How long its tickets are remembered.
    pub record_time: Duration,
}

/// How many answers were there and how many are archived for certain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Archived {
    /// Finished tickets with a whole answer.
    pub finished: usize,
    /// Those whose write was confirmed.
    pub written: usize,
}

impl Archive {
    /// Writes what is finished. Ends within a few seconds whatever the service does.
    pub async fn store<K>(&self, agent: &AgentHandle, kv: &K) -> Archived
    where
        K: KeyValue + ?Sized,
    {
        let finished = agent.finished_tickets().await;
        let mut archived = Archived { finished: finished.len(), written: 0 };
        if finished.is_empty() {
            return archived;
        }
        match timeout(LIMIT, self.write(finished, kv, &mut archived.written)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::warn!(%error, "answers of tickets not archived"),
            Err(_) => tracing::warn!("answers of tickets not archived in time"),
        }
        archived
    }

    async fn write<K>(
        &self,
        finished: Vec<(Uuid, Arc<Execution>)>,
        kv: &K,
        written: &mut usize,
    ) -> Result<(), KeyValueError>
    where
        K: KeyValue + ?Sized,
    {
        let lease = kv.grant_lease(self.record_time).await?;
        let mut batch = Batch::default();
        for (number, answers) in buckets(finished).into_iter().enumerate() {
            if answers.is_empty() {
                continue;
            }
            let value = archive::encode(&answers);
            if !batch.has_room_for(value.len()) {
                batch.send(kv, written).await?;
            }
            let key = archive::key(self.incarnation, number);
            batch.bytes += value.len();
            batch.answers += answers.len();
            batch.writes.push(Operation::Put { key, value, lease: Some(lease) });
        }
        batch.send(kv, written).await
    }
}

/// Writes that go together.
#[derive(Default)]
struct Batch {
    writes: Vec<Operation>,
    bytes: usize,
    answers: usize,
}

impl Batch {
    fn has_room_for(&self, bytes: usize) -> bool {
        self.writes.len() < MAX_BATCH_WRITES && self.bytes + bytes <= MAX_BATCH_BYTES
    }

    async fn send<K>(&mut self, kv: &K, written: &mut usize) -> Result<(), KeyValueError>
    where
        K: KeyValue + ?Sized,
    {
        let Self { writes, answers, .. } = std::mem::take(self);
        if writes.is_empty() {
            return Ok(());
        }
        kv.transact(Transaction { on_success: writes, ..Transaction::default() }).await?;
        *written += answers;
        Ok(())
    }
}

/// Spreads the answers over buckets; what is too large for its bucket is left out.
fn buckets(finished: Vec<(Uuid, Arc<Execution>)>) -> Vec<Vec<ArchivedAnswer>> {
    let mut buckets: Vec<(usize, Vec<ArchivedAnswer>)> = vec![(0, Vec::new()); BUCKETS];
    for (number, execution) in finished {
        let Some(whole) = execution.whole_answer(MAX_BODY_BYTES) else { continue };
        let (bytes, answers) = &mut buckets[archive::bucket(number)];
        let added = whole.body.len() + whole.content_type.len() + RECORD_OVERHEAD_BYTES;
        if *bytes + added > MAX_BATCH_BYTES {
            continue;
        }
        *bytes += added;
        answers.push(ArchivedAnswer {
            number,
            fingerprint: execution.work().fingerprint,
            status: whole.status,
            content_type: whole.content_type,
            body: whole.body,
        });
    }
    buckets.into_iter().map(|(_, answers)| answers).collect()
}
