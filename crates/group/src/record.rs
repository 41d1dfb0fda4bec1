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

/// How often a write whose answer was lost is tried again before its outcome is called unknown.
const MAX_ATTEMPTS: u32 = 5;
/// Pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// A map and its version. Versions are never used twice, also not after a change was rolled back,
/// so that a rank's version alone tells its map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedMap {
    /// The version, above zero; engines report zero before their first map.
    pub version: u64,
    /// The map.
    pub map: ExpertMap,
}

/// How far a change has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
pub enum Phase {
    /// No change is under way.
    Settled,
    /// Ranks load `next`; the map in force is still the old one.
    Pending {
        /// The map to come.
        next: VersionedMap,
    },
    /// The map in force is new, and ranks are being brought to it.
    Committed,
    /// Another version of the model is in force. Ranks take no new work, and when nothing is in
    /// progress any more they are brought to it.
    Rolling,
}

/// What all ranks of a group serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Adapters that each rank holds at least.
    pub adapters: BTreeSet<String>,
}

/// A rank as the record knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankEntry {
    /// Its agent process when the record was written.
    pub incarnation: u64,
}

/// The group's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupRecord {
    /// Drawn anew for each write, so that its writer can tell whether it took effect.
    pub change_id: Uuid,
    /// The map in force.
    pub in_force: VersionedMap,
    /// The highest version given out.
    pub last_version: u64,
    /// How far a change has come.
    pub phase: Phase,
    /// The group's ranks.
    pub ranks: Vec<RankEntry>,
    /// What they serve; `None` until operators have named a version or an adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub serving: Option<Serving>,
}

impl GroupRecord {
    /// The first record of a group.
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

    /// The first record of a group whose ranks share no map: engines report version zero.
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

    /// The record with `serving` in force. Adapters are loaded beside what runs; another version
    /// has to wait until nothing does.
    pub fn with_serving(&self, serving: Serving) -> Self {
        let known = self.serving.as_ref();
        let adds_only = known.is_some_and(|known| known.version == serving.version);
        let phase = match adds_only && self.phase != Phase::Rolling {
            true => Phase::Committed,
            false => Phase::Rolling,
        };
        Self { phase, serving: Some(serving), ..self.clone() }
    }

    /// The record while ranks load `map`.
    pub fn pending(&self, map: ExpertMap) -> Self {
        let last_version = self.last_version + 1;
        let next = VersionedMap { version: last_version, map };
        Self { last_version, phase: Phase::Pending { next }, ..self.clone() }
    }

    /// The record with `next` in force.
    pub fn committed(&self, next: &VersionedMap) -> Self {
        Self { in_force: next.clone(), phase: Phase::Committed, ..self.clone() }
    }

    /// The record once no change is under way; a pending one is dropped.
    pub fn settled(&self) -> Self {
        Self { phase: Phase::Settled, ..self.clone() }
    }
}

/// A record as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The record.
    pub record: GroupRecord,
    /// The revision of its last write.
    pub revision: Revision,
}

impl StoredRecord {
    /// The number that orders resting on this record carry.
    pub fn fence(&self) -> Fence {
        Fence(self.revision.0)
    }
}

/// Why the record could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The write surely did not take effect.
    #[error("record not written: {0}")]
    NotWritten(KeyValueError),
    /// The write may have taken effect.
    #[error("record may have been written: {0}")]
    Unknown(KeyValueError),
    /// Someone else wrote the record first.
    #[error("record was changed by another process")]
    Conflict,
    /// The stored value is not a group record.
    #[error("stored record can't be read")]
    Malformed,
    /// The group has no record.
    #[error("group has no record")]
    Missing,
}

/// Reads and writes one group's record.
#[derive(Clone)]
pub struct RecordStore {
    kv: Arc<dyn KeyValue>,
    key: String,
    notes: PendingLoadStore,
}

impl RecordStore {
    /// The record of the named group.
    pub fn new(kv: Arc<dyn KeyValue>, group: &str) -> Self {
        let notes = PendingLoadStore::new(Arc::clone(&kv), group);
        Self { kv, key: format!("groups/{group}/record"), notes }
    }

    /// What agents noted of loads on the group's engines.
    pub fn pending_loads(&self) -> PendingLoadStore {
        self.notes.clone()
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

    /// Replaces the record that was read as `old`.
    pub async fn replace(
        &self,
        old: &StoredRecord,
        record: GroupRecord,
    ) -> Result<StoredRecord, RecordError> {
        let compare = Compare::ModRevision { key: self.key.clone(), revision: old.revision };
        self.write(compare, record).await
    }

    /// An answer can be lost after the write took effect, and a write can even take effect after
    /// its answer was given up. A mere read can't tell the latter. So the same write is tried
    /// again: if it fails, whatever stands there now is final, and its change id tells whose it is.
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
        let mut may_stand = false;
        for attempt in 1.. {
            let error = match self.kv.transact(transaction.clone()).await {
                Ok(answer) if answer.succeeded => {
                    return Ok(StoredRecord { record, revision: answer.revision });
                }
                Ok(answer) => return own(&record, answer.reads.into_iter().next().flatten()),
                Err(error) => error,
            };
            may_stand |= error.may_have_taken_effect();
            if !may_stand {
                return Err(RecordError::NotWritten(error));
            }
            if attempt == MAX_ATTEMPTS {
                return Err(RecordError::Unknown(error));
            }
            tokio::time::sleep(ATTEMPT_PAUSE).await;
        }
        unreachable!("the loop ends by returning")
    }
}

fn own(written: &GroupRecord, found: Option<KeyValueEntry>) -> Result<StoredRecord, RecordError> {
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
