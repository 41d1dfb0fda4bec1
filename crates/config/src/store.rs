//! Reading the configuration from the key-value service, and the outcome of a change.

use crate::api::ChangeState;
use crate::bucket::{
    Bucket, BucketId, FOLD_THRESHOLD, HEAD_KEY, Head, LOG_PREFIX, LOG_SLOTS, affected_buckets,
    encode, slot_key,
};
use crate::change::{Change, ChangeId, Origin};
use crate::document::Edit;
use crate::effective::{ConfigRevision, Documents};
use crate::replica::Replica;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, Operation, Revision, Transaction, Watch,
};
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use uuid::Uuid;

/// Most changes that are read by their slots, in one call; a replica further behind loads
/// everything.
const MAX_SLOTS_READ: u64 = 64;
/// Attempts of a cold load when the log is overwritten or advanced during the read.
const MAX_LOAD_ATTEMPTS: usize = 3;
/// Attempts of a query for a change's state when other writers change the head in between.
const MAX_STATE_ATTEMPTS: usize = 4;

/// Reads and writes the configuration in the key-value service.
#[derive(Clone)]
pub struct Store {
    pub(crate) kv: Arc<dyn KeyValue>,
}

/// The head with the revision that the key-value service gave it, for compare-and-swap writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedHead {
    /// The head as read; the default before the first change.
    pub head: Head,
    /// The service's modification revision of the head; `None` if the head does not exist yet.
    pub mod_revision: Option<Revision>,
}

impl VersionedHead {
    /// A condition that holds while the head has not been written since it was read.
    pub(crate) fn compare(&self) -> Compare {
        let key = HEAD_KEY.to_owned();
        match self.mod_revision {
            None => Compare::Absent { key },
            Some(revision) => Compare::ModRevision { key, revision },
        }
    }

    /// Whether the log slot of the next change is free, or holds a change that is folded.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.unfolded() < LOG_SLOTS
    }

    /// Whether the log holds [`FOLD_THRESHOLD`] or more unfolded changes.
    pub fn fold_is_due(&self) -> bool {
        self.unfolded() >= FOLD_THRESHOLD
    }

    fn unfolded(&self) -> u64 {
        self.head.revision.0.saturating_sub(self.head.folded.0)
    }
}

/// An error of reading or writing the configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// A call to the key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// A stored value can't be decoded by this version.
    #[error("the value of `{key}` is not a configuration of this version")]
    Corrupt {
        /// Key of the value.
        key: String,
    },
    /// The service's revision is older than the replica's: the service lost accepted changes, as
    /// after a restore from an old backup. The process keeps its configuration.
    #[error("the key-value service is at revision {service:?}, behind this process at {replica:?}")]
    ServiceBehind {
        /// Revision of the head in the service.
        service: ConfigRevision,
        /// Revision of this process's replica.
        replica: ConfigRevision,
    },
    /// Other writers changed the log too often for a consistent read or write.
    #[error("the log moved on while it was read")]
    Contended,
}

impl Store {
    /// Creates a store on a key-value service.
    pub fn new(kv: Arc<dyn KeyValue>) -> Self {
        Self { kv }
    }

    /// The key-value service that holds the configuration.
    pub fn key_value(&self) -> &dyn KeyValue {
        &*self.kv
    }

    /// Reads the head, in one call.
    pub async fn head(&self) -> Result<VersionedHead, StoreError> {
        let reads = self.get(vec![HEAD_KEY.to_owned()]).await?;
        decode_head(reads.first().and_then(Option::as_ref))
    }

    /// Reads everything: `head`, the buckets in several range reads, then the log.
    ///
    /// The parts are read at different times. The log is read last and so covers all changes after
    /// each part. If it no longer reaches back to the `folded` revision of the head, the load is
    /// retried.
    pub async fn load(&self) -> Result<Replica, StoreError> {
        for _ in 0..MAX_LOAD_ATTEMPTS {
            let head = self.head().await?.head;
            let buckets = self.read_buckets().await?;
            let log = self.read_log().await?;
            if let Some(replica) = assemble(&head, buckets, &log) {
                return Ok(replica);
            }
        }
        Err(StoreError::Contended)
    }

    async fn read_buckets(&self) -> Result<Vec<Bucket>, StoreError> {
        let mut buckets = Vec::new();
        for prefix in BucketId::range_prefixes() {
            for entry in self.kv.range(&prefix).await?.entries {
                buckets.push(decode(&entry)?);
            }
        }
        Ok(buckets)
    }

    /// The whole log, by revision.
    async fn read_log(&self) -> Result<Log, StoreError> {
        let entries = self.kv.range(LOG_PREFIX).await?.entries;
        let changes = entries.iter().map(decode::<Change>);
        changes.map(|change| change.map(|c| (c.revision(), Arc::new(c)))).collect()
    }

    /// Opens a watch on the log that delivers every change written after `after`, a revision of the
    /// key-value service.
    pub async fn watch_log(&self, after: Revision) -> Result<Watch, StoreError> {
        Ok(self.kv.watch(LOG_PREFIX, after).await?)
    }

    /// Brings a replica up to the head. Takes one call if the replica is up to date, two if it is
    /// at most `MAX_SLOTS_READ` changes behind.
    pub async fn catch_up(&self, replica: &mut Replica) -> Result<VersionedHead, StoreError> {
        for _ in 0..MAX_LOAD_ATTEMPTS {
            let current = self.head().await?;
            let (local, service) = (replica.revision(), current.head.revision);
            if service < local {
                return Err(StoreError::ServiceBehind { service, replica: local });
            }
            if service == local {
                return Ok(current);
            }
            self.fetch_changes(replica, service).await?;
        }
        Err(StoreError::Contended)
    }

    async fn fetch_changes(
        &self,
        replica: &mut Replica,
        until: ConfigRevision,
    ) -> Result<(), StoreError> {
        let from = replica.revision().0 + 1;
        if until.0 - from >= MAX_SLOTS_READ {
            replica.replace_if_newer(self.load().await?);
            return Ok(());
        }
        let keys = (from..=until.0).map(|revision| slot_key(ConfigRevision(revision))).collect();
        for entry in self.get(keys).await?.into_iter().flatten() {
            if replica.advance(Arc::new(decode(&entry)?)).is_err() {
                // The slot was reused in between.
                replica.replace_if_newer(self.load().await?);
                return Ok(());
            }
        }
        Ok(())
    }

    pub(crate) async fn get(
        &self,
        keys: Vec<String>,
    ) -> Result<Vec<Option<KeyValueEntry>>, StoreError> {
        let on_success = keys.into_iter().map(|key| Operation::Get { key }).collect();
        let transaction = Transaction { on_success, ..Transaction::default() };
        Ok(self.kv.transact(transaction).await?.reads)
    }

    /// The state of a change.
    ///
    /// While the revision of the change is free, a delayed write of it may still take effect. Then
    /// an empty change is written at that revision, which makes the state final.
    pub async fn change_state(&self, id: ChangeId) -> Result<ChangeState, StoreError> {
        for _ in 0..MAX_STATE_ATTEMPTS {
            let reads = self.get(vec![HEAD_KEY.to_owned(), slot_key(id.revision)]).await?;
            let current = decode_head(reads.first().and_then(Option::as_ref))?;
            let slot = slot_change(reads.get(1).and_then(Option::as_ref))?;
            match revision_state(&current.head, slot.as_ref(), id) {
                RevisionState::Decided(state) => return Ok(state),
                // Without a free slot the empty change would overwrite an unfolded one.
                RevisionState::Free if !current.has_free_slot() => return Ok(ChangeState::Unknown),
                RevisionState::Free => self.void(&current, id).await?,
            }
        }
        Ok(ChangeState::Unknown)
    }

    /// Uses up the revision that the change requests, by an empty change.
    async fn void(&self, current: &VersionedHead, id: ChangeId) -> Result<(), StoreError> {
        let origin = Origin {
            operator: "flamingowheel".to_owned(),
            at_unix_ms: 0,
            comment: format!("voids {id}, whose outcome was asked for"),
        };
        let empty = ChangeId { revision: id.revision, uuid: Uuid::new_v4() };
        let change = Change { id: empty, origin, edits: Vec::new(), voids: Some(id) };
        self.kv.transact(append_transaction(current, &change)).await?;
        Ok(())
    }
}

type Log = BTreeMap<ConfigRevision, Arc<Change>>;

/// Whether the revision that a change requests is still free.
enum RevisionState {
    /// The state of the change can be reported without a write.
    Decided(ChangeState),
    /// No change has the revision yet; a delayed write may still take it.
    Free,
}

fn revision_state(head: &Head, slot: Option<&Change>, id: ChangeId) -> RevisionState {
    if head.revision.next() == id.revision {
        return RevisionState::Free;
    }
    if head.revision < id.revision {
        // No change can have requested this revision yet: the id does not come from this store.
        return RevisionState::Decided(ChangeState::Unknown);
    }
    match slot {
        Some(change) if change.id == id => {
            RevisionState::Decided(ChangeState::Accepted { revision: id.revision })
        }
        Some(change) if change.revision() == id.revision => {
            RevisionState::Decided(ChangeState::NotAccepted)
        }
        // The slot holds a later change: the log no longer reaches back to this revision.
        _ => RevisionState::Decided(ChangeState::Unknown),
    }
}

/// The transaction that accepts a change. It takes effect at most once however often it is sent,
/// since it compares the head and also writes it.
pub(crate) fn append_transaction(current: &VersionedHead, change: &Change) -> Transaction {
    let head = Head { revision: change.revision(), change: Some(change.id), ..current.head };
    let slot = slot_key(change.revision());
    Transaction {
        compares: vec![current.compare()],
        on_success: vec![put(HEAD_KEY.to_owned(), &head), put(slot.clone(), change)],
        on_failure: vec![Operation::Get { key: slot }],
    }
}

pub(crate) fn put<T>(key: String, value: &T) -> Operation
where
    T: serde::Serialize,
{
    Operation::Put { key, value: encode(value).into(), lease: None }
}

pub(crate) fn slot_change(entry: Option<&KeyValueEntry>) -> Result<Option<Change>, StoreError> {
    entry.map(decode).transpose()
}

fn decode_head(entry: Option<&KeyValueEntry>) -> Result<VersionedHead, StoreError> {
    match entry {
        None => Ok(VersionedHead { head: Head::default(), mod_revision: None }),
        Some(entry) => {
            Ok(VersionedHead { head: decode(entry)?, mod_revision: Some(entry.mod_revision) })
        }
    }
}

fn decode<T>(entry: &KeyValueEntry) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&entry.value).map_err(|_| StoreError::Corrupt { key: entry.key.clone() })
}

/// Builds the replica from the parts of a cold load, or returns `None` if the log lacks changes
/// that the buckets need.
fn assemble(head: &Head, buckets: Vec<Bucket>, log: &Log) -> Option<Replica> {
    let until = log.keys().next_back().copied().unwrap_or_default();
    if until < head.revision || !is_complete(log, head.folded, until) {
        return None;
    }
    let mut documents = Documents::default();
    let mut folded = HashMap::new();
    for bucket in buckets {
        folded.insert(bucket.id, bucket.folded);
        bucket.add_to(&mut documents);
    }
    for change in log.values() {
        let revision = change.revision();
        let missing = |edit: &&Edit| {
            let bucket = affected_buckets(std::slice::from_ref(*edit)).first().copied();
            bucket.and_then(|id| folded.get(&id)).is_none_or(|folded| revision > *folded)
        };
        let edits: Vec<Edit> = change.edits.iter().filter(missing).cloned().collect();
        documents.apply(revision, &edits);
    }
    documents.revision = until;
    let mut replica = Replica::new(documents);
    log.values().for_each(|change| replica.record(Arc::clone(change)));
    Some(replica)
}

/// Whether the log has no gaps and reaches back to the folded revision.
fn is_complete(log: &Log, folded: ConfigRevision, until: ConfigRevision) -> bool {
    let oldest = until.0.saturating_sub(LOG_SLOTS - 1).max(1);
    oldest <= folded.0 + 1 && log.keys().map(|revision| revision.0).eq(oldest..=until.0)
}
