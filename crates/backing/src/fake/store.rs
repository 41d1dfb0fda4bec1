//! The state of the key-value fake: revisions, transactions, leases and history.

use crate::kv::{
    Compare, KeyValueEntry, KeyValueError, LeaseId, MAX_VALUE_BYTES, Operation, Revision, Snapshot,
    Transaction, TransactionAnswer, WatchEvent,
};
use crate::listing::Page;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The service's limit on the operations of a transaction.
const MAX_OPERATIONS: usize = 128;

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    deadline: Instant,
}

#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    compacted_revision: u64,
    entries: BTreeMap<String, KeyValueEntry>,
    history: Vec<WatchEvent>,
    /// All changes with their times, compacted or not, for stale reads.
    log: Vec<(Instant, WatchEvent)>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

impl Store {
    pub(super) fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    pub(super) fn range(&self, prefix: &str) -> Snapshot {
        let entries = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, entry)| entry.clone())
            .collect();
        Snapshot { revision: self.revision(), entries }
    }

    /// The keys after `after`, at most `max_items`, as they were `age` ago.
    pub(super) fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        max_items: usize,
        age: Duration,
    ) -> Page {
        let (revision, entries) = self.as_of(age);
        let mut rest = entries
            .into_values()
            .filter(|entry| entry.key.starts_with(prefix))
            .filter(|entry| after.is_none_or(|after| entry.key.as_str() > after));
        let entries = rest.by_ref().take(max_items).collect();
        Page { entries, has_more: rest.next().is_some(), revision }
    }

    fn as_of(&self, age: Duration) -> (Revision, BTreeMap<String, KeyValueEntry>) {
        if age.is_zero() {
            return (self.revision(), self.entries.clone());
        }
        let now = Instant::now();
        let (mut revision, mut entries) = (Revision::default(), BTreeMap::new());
        for (_, event) in self.log.iter().take_while(|(at, _)| now.duration_since(*at) >= age) {
            revision = event_revision(event);
            match event {
                WatchEvent::Put(entry) => drop(entries.insert(entry.key.clone(), entry.clone())),
                WatchEvent::Delete { key, .. } => drop(entries.remove(key)),
                WatchEvent::Progress { .. } | WatchEvent::Compacted { .. } => {}
            }
        }
        (revision, entries)
    }

    /// Runs the transaction and returns its answer with the events it caused.
    pub(super) fn transact(
        &mut self,
        transaction: &Transaction,
    ) -> Result<(TransactionAnswer, Vec<WatchEvent>), KeyValueError> {
        let succeeded = transaction.compares.iter().all(|compare| self.holds(compare));
        let operations = if succeeded { &transaction.on_success } else { &transaction.on_failure };
        self.check(operations)?;
        let next = Revision(self.revision + 1);
        let mut reads = Vec::new();
        let mut events = Vec::new();
        for operation in operations {
            match operation {
                Operation::Put { key, value, lease } => {
                    events.push(self.put(key, value, *lease, next));
                }
                Operation::Get { key } => reads.push(self.entries.get(key).cloned()),
                Operation::Delete { key } => events.extend(self.delete(key, next)),
            }
        }
        self.commit(&events);
        Ok((TransactionAnswer { succeeded, revision: self.revision(), reads }, events))
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::Absent { key } => !self.entries.contains_key(key),
            Compare::ModRevision { key, revision } => {
                self.entries.get(key).map_or(Revision(0), |entry| entry.mod_revision) == *revision
            }
        }
    }

    fn check(&self, operations: &[Operation]) -> Result<(), KeyValueError> {
        if operations.len() > MAX_OPERATIONS {
            return Err(KeyValueError::Malformed { what: "too many operations" });
        }
        for operation in operations {
            let Operation::Put { value, lease, .. } = operation else { continue };
            if value.len() > MAX_VALUE_BYTES {
                return Err(KeyValueError::ValueTooLarge { bytes: value.len() });
            }
            if lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
                return Err(KeyValueError::LeaseNotFound);
            }
        }
        Ok(())
    }

    fn put(
        &mut self,
        key: &str,
        value: &Bytes,
        lease: Option<LeaseId>,
        revision: Revision,
    ) -> WatchEvent {
        let create_revision = self.entries.get(key).map_or(revision, |entry| entry.create_revision);
        let entry = KeyValueEntry {
            key: key.to_owned(),
            value: value.clone(),
            create_revision,
            mod_revision: revision,
            lease,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        WatchEvent::Put(entry)
    }

    fn delete(&mut self, key: &str, revision: Revision) -> Option<WatchEvent> {
        self.entries.remove(key)?;
        Some(WatchEvent::Delete { key: key.to_owned(), revision })
    }

    fn commit(&mut self, events: &[WatchEvent]) {
        if events.is_empty() {
            return;
        }
        self.revision += 1;
        self.history.extend_from_slice(events);
        let now = Instant::now();
        self.log.extend(events.iter().map(|event| (now, event.clone())));
    }

    pub(super) fn grant_lease(&mut self, ttl: Duration) -> (LeaseId, Instant) {
        self.next_lease += 1;
        let deadline = Instant::now() + ttl;
        self.leases.insert(self.next_lease, Lease { ttl, deadline });
        (LeaseId(self.next_lease), deadline)
    }

    pub(super) fn keep_alive(&mut self, lease: LeaseId) -> Result<(), KeyValueError> {
        let lease = self.leases.get_mut(&lease.0).ok_or(KeyValueError::LeaseNotFound)?;
        lease.deadline = Instant::now() + lease.ttl;
        Ok(())
    }

    pub(super) fn revoke_lease(
        &mut self,
        lease: LeaseId,
    ) -> Result<Vec<WatchEvent>, KeyValueError> {
        self.leases.remove(&lease.0).ok_or(KeyValueError::LeaseNotFound)?;
        let keys: Vec<String> = self
            .entries
            .values()
            .filter(|entry| entry.lease == Some(lease))
            .map(|entry| entry.key.clone())
            .collect();
        let next = Revision(self.revision + 1);
        let events: Vec<_> = keys.iter().filter_map(|key| self.delete(key, next)).collect();
        self.commit(&events);
        Ok(events)
    }

    pub(super) fn lease_deadline(&self, lease: LeaseId) -> Option<Instant> {
        self.leases.get(&lease.0).map(|lease| lease.deadline)
    }

    /// Gives all leases this much more time.
    pub(super) fn extend_leases(&mut self, by: Duration) {
        self.leases.values_mut().for_each(|lease| lease.deadline += by);
    }

    /// Ends all leases past their deadline and returns the deletions.
    pub(super) fn expire_leases(&mut self, now: Instant) -> Vec<WatchEvent> {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        expired
            .into_iter()
            .flat_map(|id| self.revoke_lease(LeaseId(id)).unwrap_or_default())
            .collect()
    }

    /// Discards the history up to `revision`.
    pub(super) fn compact(&mut self, revision: Revision) {
        self.compacted_revision = self.compacted_revision.max(revision.0.min(self.revision));
        let compacted_revision = self.compacted_revision;
        self.history.retain(|event| event_revision(event).0 > compacted_revision);
    }

    /// The events after `after`, or the oldest valid start revision if they are compacted.
    pub(super) fn events_after(
        &self,
        prefix: &str,
        after: Revision,
    ) -> Result<Vec<WatchEvent>, Revision> {
        if after.0 < self.compacted_revision {
            return Err(Revision(self.compacted_revision));
        }
        Ok(self
            .history
            .iter()
            .filter(|event| event_revision(event) > after && matches_prefix(event, prefix))
            .cloned()
            .collect())
    }
}

fn event_revision(event: &WatchEvent) -> Revision {
    match event {
        WatchEvent::Put(entry) => entry.mod_revision,
        WatchEvent::Delete { revision, .. } | WatchEvent::Progress { revision } => *revision,
        WatchEvent::Compacted { oldest } => *oldest,
    }
}

/// Whether a watch on `prefix` gets the event.
pub(super) fn matches_prefix(event: &WatchEvent, prefix: &str) -> bool {
    match event {
        WatchEvent::Put(entry) => entry.key.starts_with(prefix),
        WatchEvent::Delete { key, .. } => key.starts_with(prefix),
        WatchEvent::Progress { .. } | WatchEvent::Compacted { .. } => true,
    }
}
