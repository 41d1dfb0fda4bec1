//! Keeps the records of refused requests in the key-value store, for entries that start later or reach
//! no other entry.

use flamingowheel_backing::kv::{KeyValue, KeyValueError, Operation, Transaction};
use flamingowheel_policy::suspicion::SuspectRecord;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Prefix of the keys of records; the fingerprint follows.
pub const SUSPECTS_PREFIX: &str = "flamingowheel/suspects/";

/// Time for which the store keeps a record, the longest that it grants. Entries keep it longer.
const RECORD_TTL: Duration = Duration::from_secs(600);

/// Records that wait to be written; further ones are dropped.
const QUEUED_RECORDS: usize = 64;

/// Attempts to write a record, and the time between two.
const MAX_WRITES: u32 = 5;
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Hands records to the archive.
#[derive(Clone, Debug)]
pub struct ArchiveSender(mpsc::Sender<SuspectRecord>);

impl ArchiveSender {
    /// Has a record written.
    pub fn write(&self, record: SuspectRecord) {
        if self.0.try_send(record).is_err() {
            tracing::warn!("too many records of refused requests, one not stored");
        }
    }
}

/// The end of [`ArchiveSender`]s at the archive.
pub type ArchivedRecords = mpsc::Receiver<SuspectRecord>;

/// Creates the connection between traffic threads and archive.
pub fn channel() -> (ArchiveSender, ArchivedRecords) {
    let (sender, receiver) = mpsc::channel(QUEUED_RECORDS);
    (ArchiveSender(sender), receiver)
}

/// Writes records until all senders are dropped.
pub async fn run<K>(store: K, mut records: ArchivedRecords)
where
    K: KeyValue,
{
    while let Some(record) = records.recv().await {
        let fingerprint = record.fingerprint;
        for write in 1..=MAX_WRITES {
            match put(&store, &record).await {
                Ok(()) => break,
                Err(error) => {
                    tracing::warn!(%fingerprint, write, %error, "refused request not stored");
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}

async fn put<K>(store: &K, record: &SuspectRecord) -> Result<(), KeyValueError>
where
    K: KeyValue,
{
    let lease = store.grant_lease(RECORD_TTL).await?;
    let value =
        serde_json::to_vec(record).map_err(|_| KeyValueError::Malformed { what: "own record" })?;
    let key = format!("{SUSPECTS_PREFIX}{}", record.fingerprint);
    let put = Operation::Put { key, value: value.into(), lease: Some(lease) };
    store.transact(Transaction { on_success: vec![put], ..Transaction::default() }).await?;
    Ok(())
}
