//! What this entry holds for its callers: connections and bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Share of the machine's memory that may be held for callers.
const CALLERS_SHARE: f64 = 0.3;

/// Share of that which one request may hold, so that a few large ones leave room for others.
const REQUEST_SHARE: f64 = 0.25;

/// Descriptors of a connection to a caller, with the one to a backend server that it may use.
const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// Counts what is held, and bounds it.
#[derive(Debug)]
pub struct Held {
    connections: AtomicUsize,
    bytes: AtomicUsize,
    max_bytes: usize,
    max_descriptors: usize,
}

/// Bytes that are held until this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    held: Arc<Held>,
    bytes: usize,
}

/// A connection that is counted until this is dropped.
#[derive(Debug)]
pub struct HeldConnection {
    held: Arc<Held>,
}

impl Held {
    /// Creates the account of a process with this much memory and this many descriptors.
    pub fn new(memory_bytes: u64, max_descriptors: u64) -> Arc<Self> {
        Arc::new(Self {
            connections: AtomicUsize::new(0),
            bytes: AtomicUsize::new(0),
            max_bytes: (memory_bytes as f64 * CALLERS_SHARE) as usize,
            max_descriptors: usize::try_from(max_descriptors).unwrap_or(usize::MAX).max(1),
        })
    }

    /// Creates an account without bounds.
    pub fn unlimited() -> Arc<Self> {
        Self::new(u64::MAX, u64::MAX)
    }

    /// Counts a connection.
    pub fn add_connection(self: &Arc<Self>) -> HeldConnection {
        self.connections.fetch_add(1, Ordering::Relaxed);
        HeldConnection { held: Arc::clone(self) }
    }

    /// Holds `bytes` more, unless they pass the share of one request or of all.
    ///
    /// ```
    /// use flamingowheel_gateway::held::Held;
    /// let held = Held::new(100_000_000, 1_024);
    /// assert!(held.try_hold(8_000_000).is_none());
    /// let kept: Vec<_> = (0..6).filter_map(|_| held.try_hold(7_000_000)).collect();
    /// assert_eq!(kept.len(), 4);
    /// drop(kept);
    /// assert_eq!(held.bytes(), 0);
    /// ```
    pub fn try_hold(self: &Arc<Self>, bytes: usize) -> Option<HeldBytes> {
        if bytes as f64 > self.max_bytes as f64 * REQUEST_SHARE {
            return None;
        }
        let add = |held: usize| held.checked_add(bytes).filter(|&held| held <= self.max_bytes);
        self.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(HeldBytes { held: Arc::clone(self), bytes })
    }

    /// Bytes held now.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// The fuller of bytes and descriptors, as a share.
    pub fn share(&self) -> f64 {
        let bytes = self.bytes() as f64 / self.max_bytes.max(1) as f64;
        let descriptors = self.connections().saturating_mul(DESCRIPTORS_PER_CONNECTION);
        bytes.max(descriptors as f64 / self.max_descriptors as f64)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Drop for HeldConnection {
    fn drop(&mut self) {
        self.held.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
