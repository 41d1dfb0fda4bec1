//! Reads answers that agents archived in the key-value service before they shut down.
//!
//! An absent record, an error and a timeout all yield [`ArchiveLookup::Unknown`].

use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_protocol::archive::{self, ArchiveLookup};
use flamingowheel_protocol::id::Fingerprint;
use flamingowheel_protocol::ticket::Ticket;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Concurrent lookups. When a busy agent shuts down, very many callers resend at once; without this
/// bound their lookups would hit the service's rate limit at the same moment.
const MAX_LOOKUPS: usize = 4;

/// Timeout of a lookup, including the wait for a free slot.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Looks up archived answers, a few at a time.
#[derive(Clone)]
pub struct Archive {
    kv: Arc<dyn KeyValue>,
    lookups: Arc<Semaphore>,
}

impl Archive {
    /// A reader of the archive in `kv`.
    pub fn new(kv: Arc<dyn KeyValue>) -> Self {
        Self { kv, lookups: Arc::new(Semaphore::new(MAX_LOOKUPS)) }
    }

    /// What an agent process that has ended archived about a ticket. An answer to a request with
    /// another fingerprint counts as [`ArchiveLookup::Unknown`].
    pub async fn lookup(&self, ticket: &Ticket, fingerprint: Fingerprint) -> ArchiveLookup {
        let found = timeout(LOOKUP_TIMEOUT, self.read(ticket)).await.ok().flatten();
        match found {
            Some(ArchiveLookup::Answer(answer)) if answer.fingerprint != fingerprint => {
                ArchiveLookup::Unknown
            }
            Some(found) => found,
            None => ArchiveLookup::Unknown,
        }
    }

    /// Reads bucket and seal in one transaction. With two reads the seal could be read before the
    /// bucket is written or after it has expired.
    async fn read(&self, ticket: &Ticket) -> Option<ArchiveLookup> {
        let _permit = self.lookups.acquire().await.ok()?;
        let bucket = archive::key(ticket.incarnation, archive::bucket(ticket.number));
        let seal = archive::seal_key(ticket.incarnation);
        let on_success = vec![Operation::Get { key: bucket }, Operation::Get { key: seal }];
        let read = Transaction { on_success, ..Transaction::default() };
        let answer = self.kv.transact(read).await.ok()?;
        let [bucket, seal] = answer.reads.try_into().ok()?;
        let bucket = bucket.as_ref().map(|entry| &entry.value[..]);
        let seal = seal.as_ref().map(|entry| &entry.value[..]);
        Some(archive::lookup(bucket, seal, ticket.number, ticket.window))
    }
}
