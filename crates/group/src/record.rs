//! The group's record in the key-value service.

use crate::pending_load::PendingLoadStore;
use bytes::Bytes;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, Operation, Revision, Transaction,
};
use flamingowheel_backing::orders::{ExpertMap, Fence};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use uuid::Uuid;

/// Attempts at a write whose answers are lost, before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 5;
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A map and its version. A version is never reused, even after a rollback, so a rank's version
/// identifies its map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedMap {
    /// Version, 1 or above; 0 means no map, as engines report before their first one.
    pub version: u64,
    /// Assignment of experts to ranks, by layer.
    pub map: ExpertMap,
}

/// Progress of a change of the map or the model version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
pub enum Phase {
    /// No change is in progress.
    Settled,
    /// Ranks load `next`; the old map is still in force.
    Pending {
        /// The map that is put in force once all ranks have loaded it and are held.
        next: VersionedMap,
    },
    /// The map or the adapters in force are new, and ranks are being brought to them.
    Committed,
    /// Another model version is in force. Ranks admit no requests, and load it once none is in
    /// progress.
    Rolling,
}

/// Model version and adapters that all ranks of a group serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Adapters that every rank must hold; ranks may hold more.
    pub adapters: BTreeSet<String>,
}

/// A rank in the group's record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankEntry {
    /// The rank's agent process at the last switch; 0 before the first.
    pub incarnation: u64,
}

/// The state of a group in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRecord {
    /// Generated for each write, so that the writer can recognise its own record after a lost
    /// answer.
    pub change_id: Uuid,
    /// The map that ranks may step with.
    pub in_force: VersionedMap,
    /// The highest map version given out so far, versions rolled back included.
    pub last_version: u64,
    /// Progress of the change in progress, if there is one.
    pub phase: Phase,
    /// The group's ranks, by index.
    pub ranks: Vec<RankEntry>,
    /// What the ranks serve; `None` until operators have named a version or an adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving: Option<Serving>,
}

impl GroupRecord {
    /// The first record of a group, with `map` in force as version 1.
    ///
    /// ```
    /// use flamingowheel_group::record::GroupRecord;
    /// let record = GroupRecord::first(Default::default(), 32);
    /// assert_eq!(record.in_force.version, 1);
    /// ```
    pub fn first(map: ExpertMap, ranks: usize) -> Self {
        Self {
            change_id: Uuid::new_v4(),
            in_force: VersionedMap { version: 1, map },
            last_version: 1,
            phase: Phase::Committed,
            ranks: vec![RankEntry::default(); ranks],
            serving: None,
        }
    }

    /// The first record of a group whose ranks share no map: its version is 0, as engines report.
    ///
    /// ```
    /// use flamingowheel_group::record::GroupRecord;
    /// assert_eq!(GroupRecord::without_map(1).in_force.version, 0);
    /// ```
    pub fn without_map(ranks: usize) -> Self {
        let first = Self::first(ExpertMap::default(), ranks);
        let in_force = VersionedMap::default();
        Self { in_force, last_version: 0, phase: Phase::Settled, ..first }
    }

    /// The record with `serving` in force. Adapters can be loaded while requests run; another
    /// version has to wait until none does.
    pub fn with_serving(&self, serving: Serving) -> Self {
        let current = self.serving.as_ref();
        let adds_only = current.is_some_and(|current| current.version == serving.version);
        let phase = match adds_only && self.phase != Phase::Rolling {
            true => Phase::Committed,
            false => Phase::Rolling,
        };
        Self { phase, serving: Some(serving), ..self.clone() }
    }

    /// The record while ranks load `map` under a new version.
    pub fn pending(&self, map: ExpertMap) -> Self {
        let last_version = self.last_version + 1;
        let next = VersionedMap { version: last_version, map };
        Self { last_version, phase: Phase::Pending { next }, ..self.clone() }
    }

    /// The record with `next` in force, while ranks are brought to it.
    pub fn committed(&self, next: &VersionedMap) -> Self {
        Self { in_force: next.clone(), phase: Phase::Committed, ..self.clone() }
    }

    /// The record with no change in progress; a pending one is rolled back.
    pub fn settled(&self) -> Self {
        Self { phase: Phase::Settled, ..self.clone() }
    }
}

/// A group's record with its revision in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The stored record.
    pub record: GroupRecord,
    /// Revision of the record's last write.
    pub revision: Revision,
}

impl StoredRecord {
    /// The fencing number of orders that are based on this record.
    pub fn fence(&self) -> Fence {
        Fence(self.revision.0)
    }
}

/// Why the record could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The read failed, or the write certainly did not take effect.
    #[error("record not written: {0}")]
    NotWritten(KeyValueError),
    /// The write may have taken effect.
    #[error("record may have been written: {0}")]
    Unknown(KeyValueError),
    /// Another process changed the record since it was read.
    #[error("record was changed by another process")]
    Conflict,
    /// The stored value can't be decoded as a group record.
    #[error("stored record can't be read")]
    Malformed,
    /// The group has no record yet.
    #[error("group has no record")]
    Missing,
}

/// Reads and writes one group's record.
#[derive(Clone)]
pub struct RecordStore {
    kv: Arc<dyn KeyValue>,
    key: String,
    pending_loads: PendingLoadStore,
}

impl RecordStore {
    /// The store of the named group's record.
    pub fn new(kv: Arc<dyn KeyValue>, group: &str) -> Self {
        let pending_loads = PendingLoadStore::new(Arc::clone(&kv), group);
        Self { kv, key: format!("groups/{group}/record"), pending_loads }
    }

    /// The store of loads that may still take effect on the group's engines.
    pub fn pending_loads(&self) -> PendingLoadStore {
        self.pending_loads.clone()
    }

    /// Reads the record.
    pub async fn read(&self) -> Result<StoredRecord, RecordError> {
        let snapshot = self.kv.range(&self.key).await.map_err(RecordError::NotWritten)?;
        let entry = snapshot.entries.into_iter().find(|entry| entry.key == self.key);
        decode(&entry.ok_or(RecordError::Missing)?)
    }

    /// Writes the group's first record.
    pub async fn create(&self, record: GroupRecord) -> Result<StoredRecord, RecordError> {
        self.write(Compare::Absent { key: self.key.clone() }, record).await
    }

    /// Replaces `old`; fails with [`RecordError::Conflict`] if the record was changed since.
    pub async fn replace(
        &self,
        old: &StoredRecord,
        record: GroupRecord,
    ) -> Result<StoredRecord, RecordError> {
        let compare = Compare::ModRevision { key: self.key.clone(), revision: old.revision };
        self.write(compare, record).await
    }

    /// The answer can be lost after the write took effect, and the write can even take effect after
    /// the client has stopped waiting, which a read could not rule out. So the same write is
    /// retried: if its comparison fails, the stored record is final, and its change id shows
    /// whether this writer wrote it.
    async fn write(
        &self,
        compare: Compare,
        mut record: GroupRecord,
    ) -> Result<StoredRecord, RecordError> {
        record.change_id = Uuid::new_v4();
        let value = serde_json::to_vec(&record).map_err(|_| RecordError::Malformed)?;
        let get = Operation::Get { key: self.key.clone() };
        let put = Operation::Put { key: self.key.clone(), value: Bytes::from(value), lease: None };
        let transaction =
            Transaction { compares: vec![compare], on_success: vec![put], on_failure: vec![get] };
        let mut may_have_been_written = false;
        for attempt in 1.. {
            let error = match self.kv.transact(transaction.clone()).await {
                Ok(answer) if answer.succeeded => {
                    return Ok(StoredRecord { record, revision: answer.revision });
                }
                Ok(answer) => {
                    return check_own_write(&record, answer.reads.into_iter().next().flatten());
                }
                Err(error) => error,
            };
            may_have_been_written |= error.may_have_taken_effect();
            if !may_have_been_written {
                return Err(RecordError::NotWritten(error));
            }
            if attempt == MAX_ATTEMPTS {
                return Err(RecordError::Unknown(error));
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        unreachable!("the loop ends by returning")
    }
}

fn check_own_write(
    written: &GroupRecord,
    found: Option<KeyValueEntry>,
) -> Result<StoredRecord, RecordError> {
    let stored = decode(&found.ok_or(RecordError::Conflict)?)?;
    if stored.record.change_id != written.change_id {
        return Err(RecordError::Conflict);
    }
    Ok(stored)
}

fn decode(entry: &KeyValueEntry) -> Result<StoredRecord, RecordError> {
    let record = serde_json::from_slice(&entry.value).map_err(|_| RecordError::Malformed)?;
    Ok(StoredRecord { record, revision: entry.mod_revision })
}
