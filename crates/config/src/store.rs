//! Reading the configuration from the key-value service.

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

/// Most changes read by their slots; beyond it the whole log is read, or everything.
const MAX_SLOTS_READ: u64 = 64;
/// How often a cold load starts again because the log moved on under it.
const LOAD_TRIES: usize = 3;
/// How often a question about a change starts again because others wrote in between.
const STATE_TRIES: usize = 4;

/// The configuration in the key-value service.
#[derive(Clone)]
pub struct Store {
    pub(crate) kv: Arc<dyn KeyValue>,
}

/// The head as read, with what a later write compares it by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedHead {
    /// The head.
    pub head: Head,
    /// The service's revision of it; `None` before the first change of all.
    pub mod_revision: Option<Revision>,
}

impl VersionedHead {
    /// Holds exactly as long as nobody wrote the head since.
    pub(crate) fn compare(&self) -> Compare {
        let key = HEAD_KEY.to_owned();
        match self.mod_revision {
            None => Compare::Absent { key },
            Some(revision) => Compare::ModRevision { key, revision },
        }
    }

    /// Whether the next change's slot holds nothing that is not yet folded.
    pub(crate) fn has_room(&self) -> bool {
        self.unfolded() < LOG_SLOTS
    }

    /// Whether enough changes have gathered that folding them is due.
    pub fn fold_is_due(&self) -> bool {
        self.unfolded() >= FOLD_THRESHOLD
    }

    fn unfolded(&self) -> u64 {
        self.head.revision.0.saturating_sub(self.head.folded.0)
    }
}

/// Why the configuration could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// A value is not what this version writes.
    #[error("the value of `{key}` is not a configuration of this version")]
    Corrupt {
        /// Its key.
        key: String,
    },
    /// The service is behind this process: it lost accepted changes, as after restoring an old
    /// copy. The process keeps what it has.
    #[error("the key-value service is at revision {service:?}, behind this process at {replica:?}")]
    ServiceBehind {
        /// The service's revision.
        service: ConfigRevision,
        /// Own revision.
        replica: ConfigRevision,
    },
    /// The log moved on too fast for a consistent read.
    #[error("the log moved on while it was read")]
    Contended,
}

impl Store {
    /// A store in this key-value service.
    pub fn new(kv: Arc<dyn KeyValue>) -> Self {
        Self { kv }
    }

    /// The key-value service itself.
    pub fn key_value(&self) -> &dyn KeyValue {
        &*self.kv
    }

    /// Reads the head; one call.
    pub async fn head(&self) -> Result<VersionedHead, StoreError> {
        let reads = self.get(vec![HEAD_KEY.to_owned()]).await?;
        head_entry(reads.first().and_then(Option::as_ref))
    }

    /// Reads everything: `head`, the buckets in pieces, then the log.
    ///
    /// The pieces are of different moments. The log comes last and so reaches beyond each of
    /// them; if it no longer reaches back to what the head called folded, the read starts again.
    pub async fn load(&self) -> Result<Replica, StoreError> {
        for _ in 0..LOAD_TRIES {
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

    /// Opens a watch that brings every change written after a revision of the service.
    pub async fn watch_log(&self, after: Revision) -> Result<Watch, StoreError> {
        Ok(self.kv.watch(LOG_PREFIX, after).await?)
    }

    /// Brings a replica up to the head: one call if it is there already, two if it lags by a
    /// few changes.
    pub async fn catch_up(&self, replica: &mut Replica) -> Result<VersionedHead, StoreError> {
        for _ in 0..LOAD_TRIES {
            let entry = self.head().await?;
            let (own, service) = (replica.revision(), entry.head.revision);
            if service < own {
                return Err(StoreError::ServiceBehind { service, replica: own });
            }
            if service == own {
                return Ok(entry);
            }
            self.fetch(replica, service).await?;
        }
        Err(StoreError::Contended)
    }

    async fn fetch(&self, replica: &mut Replica, until: ConfigRevision) -> Result<(), StoreError> {
        let from = replica.revision().0 + 1;
        if until.0 - from >= MAX_SLOTS_READ {
            replica.replace_if_newer(self.load().await?);
            return Ok(());
        }
        let keys = (from..=until.0).map(|revision| slot_key(ConfigRevision(revision))).collect();
        for entry in self.get(keys).await?.into_iter().flatten() {
            if replica.advance(Arc::new(decode(&entry)?)).is_err() {
                // The slot was used again in between.
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

    /// What became of a change.
    ///
    /// While its revision is free, a delayed write of it may still arrive. Then an empty change
    /// takes that revision, after which the answer is certain.
    pub async fn change_state(&self, id: ChangeId) -> Result<ChangeState, StoreError> {
        for _ in 0..STATE_TRIES {
            let reads = self.get(vec![HEAD_KEY.to_owned(), slot_key(id.revision)]).await?;
            let entry = head_entry(reads.first().and_then(Option::as_ref))?;
            let slot = slot_change(reads.get(1).and_then(Option::as_ref))?;
            match judge(&entry.head, slot.as_ref(), id) {
                Verdict::Known(state) => return Ok(state),
                // Without room an empty change would overwrite one that is not yet folded.
                Verdict::Free if !entry.has_room() => return Ok(ChangeState::Unknown),
                Verdict::Free => self.void(&entry, id).await?,
            }
        }
        Ok(ChangeState::Unknown)
    }

    /// Uses up the revision that the change asks for.
    async fn void(&self, entry: &VersionedHead, id: ChangeId) -> Result<(), StoreError> {
        let origin = Origin {
            operator: "flamingowheel".to_owned(),
            at_unix_ms: 0,
            comment: format!("voids {id}, whose outcome was asked for"),
        };
        let own = ChangeId { revision: id.revision, uuid: Uuid::new_v4() };
        let change = Change { id: own, origin, edits: Vec::new(), voids: Some(id) };
        self.kv.transact(append_transaction(entry, &change)).await?;
        Ok(())
    }
}

type Log = BTreeMap<ConfigRevision, Arc<Change>>;

enum Verdict {
    Known(ChangeState),
    Free,
}

fn judge(head: &Head, slot: Option<&Change>, id: ChangeId) -> Verdict {
    if head.revision.next() == id.revision {
        return Verdict::Free;
    }
    if head.revision < id.revision {
        // Nobody can have asked for it yet: the id was not made by this store.
        return Verdict::Known(ChangeState::Unknown);
    }
    match slot {
        Some(change) if change.id == id => {
            Verdict::Known(ChangeState::Accepted { revision: id.revision })
        }
        Some(change) if change.revision() == id.revision => {
            Verdict::Known(ChangeState::NotAccepted)
        }
        // The slot holds a later change: the log no longer reaches back.
        _ => Verdict::Known(ChangeState::Unknown),
    }
}

/// The transaction that accepts a change: it takes effect at most once however often it is sent,
/// since it writes the head that it compares.
pub(crate) fn append_transaction(entry: &VersionedHead, change: &Change) -> Transaction {
    let head = Head { revision: change.revision(), change: Some(change.id), ..entry.head };
    let slot = slot_key(change.revision());
    Transaction {
        compares: vec![entry.compare()],
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

fn head_entry(entry: Option<&KeyValueEntry>) -> Result<VersionedHead, StoreError> {
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

/// Puts the pieces of a cold load together, or `None` if the log misses changes in between.
fn assemble(head: &Head, buckets: Vec<Bucket>, log: &Log) -> Option<Replica> {
    let until = log.keys().next_back().copied().unwrap_or_default();
    if until < head.revision || !is_whole(log, head.folded, until) {
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

/// Whether the ring is whole and reaches back to what is folded.
fn is_whole(log: &Log, folded: ConfigRevision, until: ConfigRevision) -> bool {
    let oldest = until.0.saturating_sub(LOG_SLOTS - 1).max(1);
    oldest <= folded.0 + 1 && log.keys().map(|revision| revision.0).eq(oldest..=until.0)
}
