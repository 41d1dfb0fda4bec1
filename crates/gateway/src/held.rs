//! What this entry holds for its callers: connections and bytes.
//!
//! Bodies of requests are counted before they are read, and answers that are collected while they
//! are. Callers that read slowly keep both for longer.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Share of the machine's memory that may be held for callers.
const CALLERS_SHARE: f64 = 0.3;

/// Share of that which one request may hold, so that a few large ones leave room for others.
const REQUEST_SHARE: f64 = 0.25;

/// Descriptors of a connection to a caller, with the one to a backend server that it may use.
const DESCRIPTORS_PER_CONNECTION: usize = 2;

/// Why bytes can't be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HoldError {
    /// They are more than one request may ever hold.
    #[error("more than one request may hold")]
    TooLarge,
    /// Others hold too much at present.
    #[error("callers hold too much at present")]
    Full,
}

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

    /// Holds `bytes` more for one request.
    ///
    /// ```
    /// use flamingowheel_gateway::held::{Held, HoldError};
    /// let held = Held::new(100_000_000, 1_024);
    /// assert_eq!(held.try_hold(8_000_000).err(), Some(HoldError::TooLarge));
    /// let kept: Vec<_> = (0..4).map(|_| held.try_hold(7_000_000).unwrap()).collect();
    /// assert_eq!(held.try_hold(7_000_000).err(), Some(HoldError::Full));
    /// drop(kept);
    /// assert_eq!(held.bytes(), 0);
    /// ```
    ///
    /// # Errors
    ///
    /// If it would pass the share of one request or of all.
    pub fn try_hold(self: &Arc<Self>, bytes: usize) -> Result<HeldBytes, HoldError> {
        let mut held = HeldBytes { held: Arc::clone(self), bytes: 0 };
        held.try_grow(bytes)?;
        Ok(held)
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

impl HeldBytes {
    /// Holds `more` bytes for the same request.
    ///
    /// # Errors
    ///
    /// If it would pass the share of one request or of all; what was held before stays so.
    pub fn try_grow(&mut self, more: usize) -> Result<(), HoldError> {
        let max_bytes = self.held.max_bytes;
        let own = self.bytes.saturating_add(more);
        if own as f64 > max_bytes as f64 * REQUEST_SHARE {
            return Err(HoldError::TooLarge);
        }
        let add = |all: usize| all.checked_add(more).filter(|&all| all <= max_bytes);
        let all = &self.held.bytes;
        all.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).map_err(|_| HoldError::Full)?;
        self.bytes = own;
        Ok(())
    }

    /// Holds `bytes` for the request, if that is more than before.
    ///
    /// # Errors
    ///
    /// As for [`Self::try_grow`].
    pub fn try_grow_to(&mut self, bytes: usize) -> Result<(), HoldError> {
        self.try_grow(bytes.saturating_sub(self.bytes))
    }

    /// Attaches the count to the bytes: it ends when the last copy of them is dropped.
    #[must_use]
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Counted { bytes, _held: self })
    }
}

struct Counted {
    bytes: Bytes,
    _held: HeldBytes,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
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
