//! Archives the answers of finished tickets in the key-value service before the process ends.
//!
//! Records are kept in this process's memory and end with it. Without the archive, a resend after a
//! planned stop would get the outcome "unknown" although the answer was complete. An archive
//! without a seal proves nothing about absent tickets. A process that admits no requests and has
//! none left seals its archive: absent tickets then never ran, and their callers may run them
//! elsewhere.

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

/// Upper bound on the bytes of one value, and of all values in one transaction.
const MAX_BATCH_BYTES: usize = 512 * 1024;

/// Upper bound on the writes in one transaction.
const MAX_BATCH_WRITES: usize = 120;

/// Upper bound on the bytes of a record besides body and media type.
const RECORD_OVERHEAD_BYTES: usize = 96;

/// Timeout of archiving, so that an agent also ends while the key-value service is down.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Archive of one agent process's answers.
#[derive(Clone, Copy, Debug)]
pub struct Archive {
    /// The agent process whose tickets are archived.
    pub incarnation: Incarnation,
    /// How long the agent keeps a ticket's record, and so the archive's time to live.
    pub ticket_retention: Duration,
}

/// Result of archiving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArchiveSummary {
    /// Number of tickets with a complete answer.
    pub finished: usize,
    /// Number of answers whose write was confirmed.
    pub written: usize,
    /// Whether the seal was written. Tickets that are neither archived nor listed in it as
    /// unanswered then never ran.
    pub sealed: bool,
}

impl Archive {
    /// Archives the answers of finished tickets, and the seal if the list of tickets is final. Ends
    /// within a few seconds even if the key-value service does not answer.
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
        match timeout(TIMEOUT, self.write(tickets, kv, &mut archived)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => tracing::warn!(%error, "ticket answers not archived"),
            Err(_) => tracing::warn!("timeout while archiving ticket answers"),
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
        // All keys have one lease: a seal that outlives a bucket would claim that tickets in that
        // bucket never ran.
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

/// Writes of one transaction.
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

/// Distributes the answers over buckets and leaves out empty ones. Tickets whose answer does not
/// fit are listed as unanswered.
fn buckets(
    finished: Vec<(Uuid, Arc<Execution>)>,
    unanswered: &mut Vec<Uuid>,
) -> impl Iterator<Item = (u8, Vec<ArchivedAnswer>)> {
    let mut buckets: Vec<(usize, Vec<ArchivedAnswer>)> = vec![(0, Vec::new()); BUCKETS];
    for (number, execution) in finished {
        let (bytes, answers) = &mut buckets[archive::bucket(number)];
        let remaining_bytes = MAX_BATCH_BYTES - *bytes;
        let Some((added, answer)) =
            archived_answer(number, &execution).filter(|(added, _)| *added <= remaining_bytes)
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

/// The archived form of an answer and an upper bound on its bytes; `None` if it is too large.
fn archived_answer(number: Uuid, execution: &Execution) -> Option<(usize, ArchivedAnswer)> {
    let answer = execution.complete_answer(MAX_BODY_BYTES)?;
    let bytes = answer.body.len() + answer.content_type.len() + RECORD_OVERHEAD_BYTES;
    let answer = ArchivedAnswer {
        number,
        fingerprint: execution.spec().fingerprint,
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
    };
    Some((bytes, answer))
}
