//! Folding (compacting) the log into the buckets, so that its slots can be reused.

use crate::bucket::{Bucket, BucketId, HEAD_KEY, Head, affected_buckets};
use crate::replica::Replica;
use crate::store::{Store, StoreError, VersionedHead, put};
use flamingowheel_backing::kv::{Operation, Transaction};
use std::collections::BTreeSet;

/// Attempts of one write when other writers change the head in between.
const MAX_ATTEMPTS: usize = 16;

impl Store {
    /// Writes every bucket that the log has changes for, then updates `folded` in the head.
    ///
    /// Each write compares the head. Otherwise a process that was paused while folding could resume
    /// after others folded further, overwrite a bucket with an older one and so revert changes
    /// whose log slots are already reused. Stopping half-way is harmless: readers still take all
    /// changes after the head's `folded` from the log.
    pub async fn fold(&self, replica: &mut Replica) -> Result<(), StoreError> {
        let current = self.catch_up(replica).await?;
        let target = current.head.revision;
        for bucket in stale_buckets(replica, &current) {
            self.write_at_head(replica, |replica, _| {
                put(bucket.key(), &Bucket::of(bucket, replica.documents()))
            })
            .await?;
        }
        self.write_at_head(replica, |_, current| {
            let folded = target.max(current.head.folded);
            put(HEAD_KEY.to_owned(), &Head { folded, ..current.head })
        })
        .await
    }

    /// Folds if [`VersionedHead::fold_is_due`]; called by the process that accepted a change, after
    /// each change.
    pub async fn fold_if_due(&self, replica: &mut Replica) -> Result<(), StoreError> {
        if self.catch_up(replica).await?.fold_is_due() {
            self.fold(replica).await?;
        }
        Ok(())
    }

    /// Brings the replica up to date and writes a value built from it, on condition that the head
    /// has not changed since; retries if it has.
    async fn write_at_head<F>(&self, replica: &mut Replica, build: F) -> Result<(), StoreError>
    where
        F: Fn(&Replica, &VersionedHead) -> Operation,
    {
        for _ in 0..MAX_ATTEMPTS {
            let current = self.catch_up(replica).await?;
            let transaction = Transaction {
                compares: vec![current.compare()],
                on_success: vec![build(replica, &current)],
                on_failure: Vec::new(),
            };
            if self.kv.transact(transaction).await?.succeeded {
                return Ok(());
            }
        }
        Err(StoreError::Contended)
    }
}

/// The buckets affected by changes since the last fold; all buckets if the replica does not hold
/// all of those changes.
fn stale_buckets(replica: &Replica, current: &VersionedHead) -> BTreeSet<BucketId> {
    match replica.changes_after(current.head.folded) {
        Some(changes) => {
            changes.iter().flat_map(|change| affected_buckets(&change.edits)).collect()
        }
        None => BucketId::all().collect(),
    }
}
