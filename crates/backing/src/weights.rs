//! The weight store, from which engines load model weights within a rate limit.

use crate::BoxFuture;

/// Why the store did not serve a read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WeightStoreError {
    /// The store's rate limit is exhausted; retry later.
    #[error("weight store busy, retry after {retry_after_ms} ms")]
    Busy {
        /// Time to wait before the next attempt, in milliseconds.
        retry_after_ms: u64,
    },
    /// No answer came.
    #[error("weight store unreachable")]
    Unreachable,
}

/// The platform's weight store.
pub trait WeightStore: Send + Sync + 'static {
    /// Reads `bytes` of the named weights; counts against the store's rate limit.
    fn read<'a>(&'a self, name: &'a str, bytes: u64)
    -> BoxFuture<'a, Result<(), WeightStoreError>>;
}
