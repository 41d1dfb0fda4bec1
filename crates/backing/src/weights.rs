//! The weight store: where engines load model weights from, within a rate.

use crate::BoxFuture;

/// Why the store gave no permit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WeightStoreError {
    /// The store asks to come back later.
    #[error("weight store busy, retry after {retry_after_ms} ms")]
    Busy {
        /// When to ask again, in milliseconds.
        retry_after_ms: u64,
    },
    /// No answer came.
    #[error("weight store unreachable")]
    Unreachable,
}

/// The platform's weight store.
pub trait WeightStore: Send + Sync + 'static {
    /// Reads `bytes` of the named weights; counts against the store's rate.
    fn read<'a>(&'a self, name: &'a str, bytes: u64)
    -> BoxFuture<'a, Result<(), WeightStoreError>>;
}
