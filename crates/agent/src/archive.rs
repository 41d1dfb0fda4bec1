//! Leaves the answers of finished tickets in the key-value service before the process ends.
//!
//! The records are in this process's memory and go with it. After a planned stop a resend would be
//! told "unknown" of work whose answer was known all the time. An archive with no seal proves nothing
//! of what is absent. A process that takes no more work and has none left seals its archive: what is
//! absent then never ran, and its callers may have it run elsewhere.

use crate::control::{AgentHandle, TicketList};
use crate::execution::Execution;
use flamingowheel_backing::kv::{KeyValue, KeyValueError, Operation, Transaction};
use flamingowheel_protocol::archive::{self, ArchivedAnswer, BUCKETS, Seal};
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
    pub ticket_retention: Duration,
}

/// How many answers were there and how many are archived for certain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArchiveSummary {
    /// Finished tickets with a whole answer.
    pub finished: usize,
    /// Those whose write was confirmed.
    pub written: usize,
    /// Whether it is certain that what is not archived never ran.
    pub sealed: bool,
}

impl Archive {
    /// Writes what is finished. Ends within a few seconds whatever the service does.
    pub async fn store<K>(&self, agent: &AgentHandle, kv: &K) -> ArchiveSummary
    where
        K: KeyValue + ?Sized,
    {
        let tickets = agent.tickets().await;
        let finished = tickets.finished.len();
        let mut archived = ArchiveSummary { finished, ..ArchiveSummary::default() };
        if finished == 0 && !tickets.is_final {
            return archived;
        }
        match timeout(LIMIT, self.write(tickets, kv, &mut archived)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::warn!(%error, "answers of tickets not archived"),
            Err(_) => tracing::warn!("answers of tickets not archived in time"),
        }
        archived
    }

    async fn write<K>(
        &self,
        tickets: TicketList,
        kv: &K,
        archived: &mut ArchiveSummary,
    ) -> Result<(), KeyValueError>
    where
        K: KeyValue + ?Sized,
    {
        // All keys have one lease: a seal that outlives a bucket would say of work that ran that it
        // never did.
        let lease = Some(kv.grant_lease(self.ticket_retention).await?);
        let mut batch = Batch::default();
        let mut seal = Seal {
            oldest: tickets.oldest_window,
            unanswered: tickets.unanswered,
            ..Seal::default()
        };
        for (number, answers) in buckets(tickets.finished, &mut seal.unanswered) {
            seal.buckets.push(number);
            let value = archive::encode(&answers);
            if !batch.has_room_for(value.len()) {
                batch.send(kv, &mut archived.written).await?;
            }
            let key = archive::key(self.incarnation, usize::from(number));
            batch.bytes += value.len();
            batch.answers += answers.len();
            batch.writes.push(Operation::Put { key, value, lease });
        }
        let value = archive::encode(&seal);
        let sealed = tickets.is_final && value.len() <= MAX_BATCH_BYTES;
        if sealed {
            if !batch.has_room_for(value.len()) {
                batch.send(kv, &mut archived.written).await?;
            }
            let key = archive::seal_key(self.incarnation);
            batch.writes.push(Operation::Put { key, value, lease });
        }
        batch.send(kv, &mut archived.written).await?;
        archived.sealed = sealed;
        Ok(())
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

/// Spreads the answers over buckets, those without any left out; what is too large for its bucket is
/// named as unanswered.
fn buckets(
    finished: Vec<(Uuid, Arc<Execution>)>,
    unanswered: &mut Vec<Uuid>,
) -> impl Iterator<Item = (u8, Vec<ArchivedAnswer>)> {
    let mut buckets: Vec<(usize, Vec<ArchivedAnswer>)> = vec![(0, Vec::new()); BUCKETS];
    for (number, execution) in finished {
        let (bytes, answers) = &mut buckets[archive::bucket(number)];
        let room = MAX_BATCH_BYTES - *bytes;
        let Some((added, answer)) =
            archived(number, &execution).filter(|(added, _)| *added <= room)
        else {
            unanswered.push(number);
            continue;
        };
        *bytes += added;
        answers.push(answer);
    }
    let filled = (0..=u8::MAX).zip(buckets).map(|(number, (_, answers))| (number, answers));
    filled.filter(|(_, answers)| !answers.is_empty())
}

/// What is archived of a ticket, and its bytes at the most.
fn archived(number: Uuid, execution: &Execution) -> Option<(usize, ArchivedAnswer)> {
    let whole = execution.complete_answer(MAX_BODY_BYTES)?;
    let bytes = whole.body.len() + whole.content_type.len() + RECORD_OVERHEAD_BYTES;
    let answer = ArchivedAnswer {
        number,
        fingerprint: execution.spec().fingerprint,
        status: whole.status,
        content_type: whole.content_type,
        body: whole.body,
    };
    Some((bytes, answer))
}
