//! Loads that may still take effect, stored in the key-value service.
//!
//! If an agent dies with a load in its engine's queue, an engine that checks no fencing numbers
//! still carries it out, perhaps after a newer load of the agent's successor, and then serves a
//! version that was replaced. So a load for such an engine is stored before it is sent, and a new
//! agent begins by reading the pending loads of its predecessors.

use crate::record::RecordError;
use bytes::Bytes;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_backing::orders::OrderTarget;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An order that was sent to an engine, or was about to be. In the store always a load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PendingLoad {
    /// The ordered target; in the store always [`OrderTarget::Serve`].
    pub target: OrderTarget,
    /// The engine process that the order was sent to. The order is lost when that process ends.
    pub process_id: u64,
}

/// The pending loads of one group, stored under one key for each engine process.
#[derive(Clone)]
pub struct PendingLoadStore {
    kv: Arc<dyn KeyValue>,
    prefix: String,
}

impl PendingLoadStore {
    /// The store of the named group.
    pub fn new(kv: Arc<dyn KeyValue>, group: &str) -> Self {
        Self { kv, prefix: format!("groups/{group}/loads/") }
    }

    /// Reads all pending loads of the group.
    pub async fn read(&self) -> Result<Vec<PendingLoad>, RecordError> {
        let snapshot = self.kv.range(&self.prefix).await.map_err(RecordError::NotWritten)?;
        let decode = |value: &Bytes| serde_json::from_slice(value).ok();
        let loads = snapshot.entries.iter().map(|entry| decode(&entry.value));
        loads.collect::<Option<_>>().ok_or(RecordError::Malformed)
    }

    /// Stores a pending load, replacing the one of the same engine process.
    pub async fn put(&self, load: &PendingLoad) -> Result<(), RecordError> {
        let value = serde_json::to_vec(load).map_err(|_| RecordError::Malformed)?;
        let key = self.key(load.process_id);
        self.write(Operation::Put { key, value: value.into(), lease: None }).await
    }

    /// Removes the load of an engine process, once it has taken effect or certainly won't.
    pub async fn remove(&self, process_id: u64) -> Result<(), RecordError> {
        self.write(Operation::Delete { key: self.key(process_id) }).await
    }

    fn key(&self, process_id: u64) -> String {
        format!("{}{process_id:016x}", self.prefix)
    }

    async fn write(&self, operation: Operation) -> Result<(), RecordError> {
        let transaction = Transaction { on_success: vec![operation], ..Transaction::default() };
        match self.kv.transact(transaction).await {
            Ok(_) => Ok(()),
            Err(error) if error.may_have_taken_effect() => Err(RecordError::Unknown(error)),
            Err(error) => Err(RecordError::NotWritten(error)),
        }
    }
}
