//! Answers that agents left in the key-value service before they ended.
//!
//! Absence, an error or a slow service mean that nothing is known, as if nobody had looked.

use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_protocol::archive::{self, ArchiveLookup};
use flamingowheel_protocol::id::Fingerprint;
use flamingowheel_protocol::ticket::Ticket;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Lookups at one time. When a busy agent goes, very many callers resend at once; without a bound
/// each would be a call against the service's rate at the same moment.
const MAX_LOOKUPS: usize = 4;

/// How long a caller waits for a lookup.
const LOOKUP_LIMIT: Duration = Duration::from_secs(1);

/// Looks archived answers up.
#[derive(Clone)]
pub struct Archive {
    kv: Arc<dyn KeyValue>,
    places: Arc<Semaphore>,
}

impl Archive {
    /// An archive in this key-value service.
    pub fn new(kv: Arc<dyn KeyValue>) -> Self {
        Self { kv, places: Arc::new(Semaphore::new(MAX_LOOKUPS)) }
    }

    /// What an agent process that ended left of a ticket. An answer to another request than this one
    /// tells nothing.
    pub async fn trace(&self, ticket: &Ticket, fingerprint: Fingerprint) -> ArchiveLookup {
        let trace = timeout(LOOKUP_LIMIT, self.read(ticket)).await.ok().flatten();
        match trace {
            Some(ArchiveLookup::Answer(answer)) if answer.fingerprint != fingerprint => {
                ArchiveLookup::Unknown
            }
            Some(trace) => trace,
            None => ArchiveLookup::Unknown,
        }
    }

    /// One read of both keys: of two reads, the seal's could come before the bucket was written or
    /// after it was gone.
    async fn read(&self, ticket: &Ticket) -> Option<ArchiveLookup> {
        let _place = self.places.acquire().await.ok()?;
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
