//! Answers that agents left in the key-value service before they ended.
//!
//! Absence, an error or a slow service mean that nothing is known, as if nobody had looked.

use flamingowheel_platform::kv::{KeyValue, Operation, Transaction};
use flamingowheel_protocol::archive::{self, ArchivedAnswer};
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

    /// The answer that a ticket's work had, if it is there and of this very request.
    pub async fn find(&self, ticket: &Ticket, fingerprint: Fingerprint) -> Option<ArchivedAnswer> {
        let answer = timeout(LOOKUP_LIMIT, self.read(ticket)).await.ok()??;
        (answer.fingerprint == fingerprint).then_some(answer)
    }

    async fn read(&self, ticket: &Ticket) -> Option<ArchivedAnswer> {
        let _place = self.places.acquire().await.ok()?;
        let key = archive::key(ticket.incarnation, archive::bucket(ticket.number));
        let on_success = vec![Operation::Get { key }];
        let read = Transaction { on_success, ..Transaction::default() };
        let answer = self.kv.transact(read).await.ok()?;
        let entry = answer.reads.into_iter().next()??;
        archive::find(&entry.value, ticket.number)
    }
}
