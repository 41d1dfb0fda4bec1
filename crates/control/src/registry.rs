//! Where a new entry finds others: a list of inner addresses in the key-value service.
//!
//! It only serves to find somebody. Who is there is told by the table of members, so entries
//! write here once in a while, hold no lease, and old names do no harm until they are removed.

use flamingowheel_backing::kv::{KeyValue, KeyValueError, Operation, Transaction};
use flamingowheel_protocol::peer::MemberRecord;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the keys begin with; the entry's name follows.
const PREFIX: &str = "flamingowheel/entries/";
/// Most names removed in one call.
const MAX_REMOVED: usize = 100;

/// One entry as listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Listed {
    pub(crate) name: String,
    pub(crate) vm: String,
    pub(crate) inner: SocketAddr,
}

/// All that are listed. Values that can't be read are passed over.
pub(crate) async fn list(kv: &dyn KeyValue) -> Result<Vec<Listed>, KeyValueError> {
    let entries = kv.range(PREFIX).await?.entries;
    Ok(entries.iter().filter_map(|entry| serde_json::from_slice(&entry.value).ok()).collect())
}

/// Lists this entry. Sending it twice does no harm.
pub(crate) async fn register(kv: &dyn KeyValue, own: &MemberRecord) -> Result<(), KeyValueError> {
    let listed = Listed { name: own.name.clone(), vm: own.vm.clone(), inner: own.inner };
    let value = serde_json::to_vec(&listed).unwrap_or_default().into();
    let put = Operation::Put { key: key(&own.name), value, lease: None };
    run(kv, vec![put]).await
}

/// Takes entries off the list; one that is there after all lists itself again.
pub(crate) async fn remove<'a, I>(kv: &dyn KeyValue, names: I) -> Result<(), KeyValueError>
where
    I: IntoIterator<Item = &'a str>,
{
    let names = names.into_iter().take(MAX_REMOVED);
    let operations: Vec<_> = names.map(|name| Operation::Delete { key: key(name) }).collect();
    if operations.is_empty() {
        return Ok(());
    }
    run(kv, operations).await
}

async fn run(kv: &dyn KeyValue, on_success: Vec<Operation>) -> Result<(), KeyValueError> {
    kv.transact(Transaction { on_success, ..Transaction::default() }).await.map(|_| ())
}

fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}
