//! Count of the answer bytes that records hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counter shared by all executions of one kind; each subtracts what it added when it is dropped.
///
/// ```
/// use flamingowheel_agent::stored::StoredBytes;
/// let stored = StoredBytes::default();
/// stored.add(5);
/// stored.clone().remove(2);
/// assert_eq!(stored.get(), 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StoredBytes(Arc<AtomicUsize>);

impl StoredBytes {
    /// Adds bytes that are kept from now on.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Subtracts bytes that were added before.
    pub fn remove(&self, bytes: usize) {
        self.0.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// The number of bytes currently counted.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}
