//! The key-value service: compare-and-swap transactions, leases and watches.
//!
//! Modelled on the etcd v3 API. Every call counts against the service's rate limit, an open watch
//! included, so callers batch operations and share watches.

use crate::BoxFuture;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::mpsc;

/// The largest value the service stores.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// A point in the history of the whole store; every write that takes effect raises it by one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// Identifies a lease that the service granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub i64);

/// One stored key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValueEntry {
    /// The key, which must be UTF-8.
    pub key: String,
    /// The value, at most [`MAX_VALUE_BYTES`].
    pub value: Bytes,
    /// The revision of the write that created the key.
    pub create_revision: Revision,
    /// The revision of the last write to the key. Strictly rising, so it serves as fencing number.
    pub mod_revision: Revision,
    /// The lease with which the key expires, if any.
    pub lease: Option<LeaseId>,
}

/// The answer to a range read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The store's revision at the read. Entries may be newer, but none lacks a change up to it.
    pub revision: Revision,
    /// The entries, sorted by key.
    pub entries: Vec<KeyValueEntry>,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// Key that must be absent.
        key: String,
    },
    /// The key's last write has exactly this revision.
    ModRevision {
        /// Key that must exist.
        key: String,
        /// Revision that the last write must have.
        revision: Revision,
    },
}

/// One step of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Write a value.
    Put {
        /// Key to create or overwrite.
        key: String,
        /// The value, at most [`MAX_VALUE_BYTES`].
        value: Bytes,
        /// Lease with which the key expires; `None` if it is to persist.
        lease: Option<LeaseId>,
    },
    /// Read one key.
    Get {
        /// Key to read; the result is `None` if it is absent.
        key: String,
    },
    /// Delete one key.
    Delete {
        /// Key to delete; an absent one is ignored.
        key: String,
    },
}

/// A transaction: if all comparisons hold, `on_success` runs atomically, else `on_failure` does.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Preconditions, checked against the state before the transaction.
    pub compares: Vec<Compare>,
    /// Run when all comparisons hold.
    pub on_success: Vec<Operation>,
    /// Run when at least one comparison does not hold.
    pub on_failure: Vec<Operation>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransactionAnswer {
    /// Whether `on_success` ran.
    pub succeeded: bool,
    /// The store's revision after the transaction.
    pub revision: Revision,
    /// One element for each `Get` of the branch that ran, in order.
    pub reads: Vec<Option<KeyValueEntry>>,
}

/// An event on a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValueEntry),
    /// A key was deleted or its lease expired.
    Delete {
        /// Key that no longer exists.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
    /// Sent while nothing changes, to show that the watch is alive.
    Progress {
        /// All events up to this revision have been sent.
        revision: Revision,
    },
    /// The start revision was compacted; the watcher must read the prefix again.
    Compacted {
        /// The oldest revision a new watch may start from.
        oldest: Revision,
    },
}

/// An open watch; it has ended when the receiver yields `None`. A watch can stop delivering events
/// without ending, so its holder reads the prefix again periodically.
pub type Watch = mpsc::Receiver<WatchEvent>;

/// Why a call to the key-value service failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyValueError {
    /// The connection was refused: the call can't have taken effect.
    #[error("key-value service unreachable")]
    Unreachable,
    /// The request was sent but not answered in time: it may have taken effect.
    #[error(
        "no answer from the key-value service within {limit_ms} ms; the call may have taken effect"
    )]
    NoAnswer {
        /// The timeout, in milliseconds; zero if the connection broke.
        limit_ms: u64,
    },
    /// The service refused the call before running it, because a rate limit is exhausted.
    #[error("key-value service refused the call: rate exceeded")]
    RateExceeded,
    /// A value is larger than the service stores.
    #[error("value of {bytes} bytes exceeds the limit of {MAX_VALUE_BYTES}")]
    ValueTooLarge {
        /// The value's size in bytes.
        bytes: usize,
    },
    /// The lease expired or never existed.
    #[error("lease not found")]
    LeaseNotFound,
    /// The answer does not follow the protocol.
    #[error("malformed answer from the key-value service: {what}")]
    Malformed {
        /// The part that is malformed.
        what: &'static str,
    },
}

impl KeyValueError {
    /// Whether the failed call may nevertheless have taken effect, so that a writer must read back
    /// to learn the outcome.
    ///
    /// ```
    /// use flamingowheel_backing::kv::KeyValueError;
    /// assert!(KeyValueError::NoAnswer { limit_ms: 500 }.may_have_taken_effect());
    /// assert!(!KeyValueError::Unreachable.may_have_taken_effect());
    /// ```
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::NoAnswer { .. } | Self::Malformed { .. })
    }
}

/// The platform's key-value service.
pub trait KeyValue: Send + Sync + 'static {
    /// Reads all keys that start with `prefix`.
    fn range<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Snapshot, KeyValueError>>;

    /// Reads all keys that start with `prefix` from a replica that may be seconds behind, which is
    /// cheaper if the service supports such reads. By default the same as [`KeyValue::range`].
    fn range_stale<'a>(
        &'a self,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<Snapshot, KeyValueError>> {
        self.range(prefix)
    }

    /// Runs a transaction of at most 128 operations, which counts as one call.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> BoxFuture<'_, Result<TransactionAnswer, KeyValueError>>;

    /// Grants a lease that expires unless kept alive.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<LeaseId, KeyValueError>>;

    /// Renews a lease for its full time to live.
    fn keep_alive(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>>;

    /// Ends a lease at once; keys bound to it are deleted.
    fn revoke_lease(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), KeyValueError>>;

    /// Watches all keys that start with `prefix`, beginning with the first write after `after`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
    ) -> BoxFuture<'a, Result<Watch, KeyValueError>>;
}
