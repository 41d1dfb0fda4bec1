//! How many bytes of answers the tickets' records hold together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Shared by all executions that count into it; each takes off what it added when it goes.
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
    /// Counts bytes that are kept from now on.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Takes off bytes that were added before.
    pub fn remove(&self, bytes: usize) {
        self.0.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Bytes kept now.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}
