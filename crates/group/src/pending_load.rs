//! Notes of loads that may still take effect, kept in the key-value service.
//!
//! An agent that dies with a load in its engine's queue takes the knowledge of it along. An engine
//! that checks no fencing numbers carries the load out all the same, perhaps after a newer one of
//! the agent's successor, and then serves a version that was replaced. So a load for such an engine
//! is noted before it is sent, and a fresh agent begins with what its predecessor noted.

use crate::record::RecordError;
use bytes::Bytes;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_backing::orders::OrderTarget;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A load that was sent, or was about to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PendingLoad {
    /// What the engine was told to serve.
    pub target: OrderTarget,
    /// The engine's process; a later one knows nothing of the order.
    pub process_id: u64,
}

/// The notes of one group, a key for each process of an engine.
#[derive(Clone)]
pub struct PendingLoadStore {
    kv: Arc<dyn KeyValue>,
    prefix: String,
}

impl PendingLoadStore {
    /// The notes of the named group.
    pub fn new(kv: Arc<dyn KeyValue>, group: &str) -> Self {
        Self { kv, prefix: format!("groups/{group}/loads/") }
    }

    /// All notes of the group.
    pub async fn read(&self) -> Result<Vec<PendingLoad>, RecordError> {
        let snapshot = self.kv.range(&self.prefix).await.map_err(RecordError::NotWritten)?;
        let decode = |value: &Bytes| serde_json::from_slice(value).ok();
        let notes = snapshot.entries.iter().map(|entry| decode(&entry.value));
        notes.collect::<Option<_>>().ok_or(RecordError::Malformed)
    }

    /// Puts a note in the place of the one before it.
    pub async fn put(&self, note: &PendingLoad) -> Result<(), RecordError> {
        let value = serde_json::to_vec(note).map_err(|_| RecordError::Malformed)?;
        let key = self.key(note.process_id);
        self.run(Operation::Put { key, value: value.into(), lease: None }).await
    }

    /// Takes back the note of a load that was surely not carried out.
    pub async fn remove(&self, process_id: u64) -> Result<(), RecordError> {
        self.run(Operation::Delete { key: self.key(process_id) }).await
    }

    fn key(&self, process_id: u64) -> String {
        format!("{}{process_id:016x}", self.prefix)
    }

    async fn run(&self, operation: Operation) -> Result<(), RecordError> {
        let transaction = Transaction { on_success: vec![operation], ..Transaction::default() };
        match self.kv.transact(transaction).await {
            Ok(_) => Ok(()),
            Err(error) if error.may_have_taken_effect() => Err(RecordError::Unknown(error)),
            Err(error) => Err(RecordError::NotWritten(error)),
        }
    }
}
