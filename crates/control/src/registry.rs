//! Registrations of entries in the key-value service, by which a new entry finds its first peers.
//!
//! The member table decides which entries are live. Entries therefore write their registration
//! rarely and without a lease, and stale registrations do no harm until they are removed.

use flamingowheel_backing::kv::{KeyValue, KeyValueError, Operation, Transaction};
use flamingowheel_protocol::peer::MemberRecord;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Prefix of the keys, followed by the entry's name.
const PREFIX: &str = "flamingowheel/entries/";
/// Upper bound on registrations removed in one transaction.
const MAX_REMOVED: usize = 100;

/// The stored registration of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RegisteredEntry {
    pub(crate) name: String,
    pub(crate) vm: String,
    pub(crate) inner: SocketAddr,
}

/// Lists all registrations. Values that can't be parsed are skipped.
pub(crate) async fn list(kv: &dyn KeyValue) -> Result<Vec<RegisteredEntry>, KeyValueError> {
    let entries = kv.range(PREFIX).await?.entries;
    Ok(entries.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect())
}

/// Registers this entry. Idempotent.
pub(crate) async fn register(kv: &dyn KeyValue, own: &MemberRecord) -> Result<(), KeyValueError> {
    let registration =
        RegisteredEntry { name: own.name.clone(), vm: own.vm.clone(), inner: own.inner };
    let value = serde_json::to_vec(&registration).unwrap_or_default().into();
    let put = Operation::Put { key: key(&own.name), value, lease: None };
    transact(kv, vec![put]).await
}

/// Removes registrations. An entry that still runs registers itself again.
pub(crate) async fn remove<'a, I>(kv: &dyn KeyValue, names: I) -> Result<(), KeyValueError>
where
    I: IntoIterator<Item = &'a str>,
{
    let names = names.into_iter().take(MAX_REMOVED);
    let operations: Vec<_> = names.map(|name| Operation::Delete { key: key(name) }).collect();
    if operations.is_empty() {
        return Ok(());
    }
    transact(kv, operations).await
}

async fn transact(kv: &dyn KeyValue, on_success: Vec<Operation>) -> Result<(), KeyValueError> {
    kv.transact(Transaction { on_success, ..Transaction::default() }).await.map(|_| ())
}

fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}
