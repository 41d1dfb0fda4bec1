//! Folding the log into the buckets, so that its slots can be used again.

use crate::bucket::{Bucket, BucketId, HEAD_KEY, Head, affected_buckets};
use crate::replica::Replica;
use crate::store::{Store, StoreError, VersionedHead, put};
use flamingowheel_backing::kv::{Operation, Transaction};
use std::collections::BTreeSet;

/// How often one write is tried again after a change came first.
const MAX_RACES: usize = 16;

impl Store {
    /// Writes every bucket that the log has changes for, then says so in the head.
    ///
    /// Each write compares the head. Otherwise a process that was paused while folding could wake
    /// after others folded further, overwrite a bucket with its older one and so revert changes
    /// whose log slots are gone. Stopping half-way is harmless: the head still tells readers to
    /// take the rest from the log.
    pub async fn fold(&self, replica: &mut Replica) -> Result<(), StoreError> {
        let entry = self.catch_up(replica).await?;
        let goal = entry.head.revision;
        for bucket in stale_buckets(replica, &entry) {
            self.write(replica, |replica, _| {
                put(bucket.key(), &Bucket::of(bucket, replica.documents()))
            })
            .await?;
        }
        self.write(replica, |_, entry| {
            let folded = goal.max(entry.head.folded);
            put(HEAD_KEY.to_owned(), &Head { folded, ..entry.head })
        })
        .await
    }

    /// Folds if enough changes have gathered; run after each accepted change, by whoever took it.
    pub async fn fold_if_due(&self, replica: &mut Replica) -> Result<(), StoreError> {
        if self.catch_up(replica).await?.fold_is_due() {
            self.fold(replica).await?;
        }
        Ok(())
    }

    /// Writes a value made from the newest documents, as of the head that it compares.
    async fn write<F>(&self, replica: &mut Replica, make: F) -> Result<(), StoreError>
    where
        F: Fn(&Replica, &VersionedHead) -> Operation,
    {
        for _ in 0..MAX_RACES {
            let entry = self.catch_up(replica).await?;
            let transaction = Transaction {
                compares: vec![entry.compare()],
                on_success: vec![make(replica, &entry)],
                on_failure: Vec::new(),
            };
            if self.kv.transact(transaction).await?.succeeded {
                return Ok(());
            }
        }
        Err(StoreError::Contended)
    }
}

/// The buckets that changes since the last fold touch; all if the replica lacks some of those.
fn stale_buckets(replica: &Replica, entry: &VersionedHead) -> BTreeSet<BucketId> {
    match replica.changes_after(entry.head.folded) {
        Some(changes) => {
            changes.iter().flat_map(|change| affected_buckets(&change.edits)).collect()
        }
        None => BucketId::all().collect(),
    }
}
