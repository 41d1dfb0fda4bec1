//! An in-memory weight store that refuses reads beyond its rate limit.

use super::lock;
use crate::BoxFuture;
use crate::weights::{WeightStore, WeightStoreError};
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

const MS_PER_S: u64 = 1000;

#[derive(Debug)]
struct State {
    rate_bytes_per_s: u64,
    burst_bytes: u64,
    available_bytes: u64,
    refilled_at: Instant,
    bytes_read: u64,
    refused_reads: u64,
    down: bool,
}

impl State {
    fn refill(&mut self) {
        let elapsed_ms = u64::try_from(self.refilled_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let added = elapsed_ms.saturating_mul(self.rate_bytes_per_s) / MS_PER_S;
        if added == 0 {
            return;
        }
        self.refilled_at = Instant::now();
        self.available_bytes = self.available_bytes.saturating_add(added).min(self.burst_bytes);
    }

    fn read(&mut self, bytes: u64) -> Result<(), WeightStoreError> {
        if self.down {
            return Err(WeightStoreError::Unreachable);
        }
        self.refill();
        if bytes > self.available_bytes {
            self.refused_reads += 1;
            let missing = bytes - self.available_bytes;
            let retry_after_ms =
                missing.saturating_mul(MS_PER_S).div_ceil(self.rate_bytes_per_s.max(1));
            return Err(WeightStoreError::Busy { retry_after_ms });
        }
        self.available_bytes -= bytes;
        self.bytes_read += bytes;
        Ok(())
    }
}

/// In-memory weight store; clones share one rate limit.
///
/// ```
/// use flamingowheel_backing::fake::FakeWeightStore;
/// use flamingowheel_backing::weights::{WeightStore, WeightStoreError};
/// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
/// let store = FakeWeightStore::new(1_000, 500);
/// assert_eq!(store.read("m", 500).await, Ok(()));
/// assert_eq!(store.read("m", 500).await, Err(WeightStoreError::Busy { retry_after_ms: 500 }));
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct FakeWeightStore {
    state: Arc<Mutex<State>>,
}

impl FakeWeightStore {
    /// Creates a store that serves `rate_bytes_per_s`, and at most `burst_bytes` at once.
    pub fn new(rate_bytes_per_s: u64, burst_bytes: u64) -> Self {
        let state = State {
            rate_bytes_per_s,
            burst_bytes,
            available_bytes: burst_bytes,
            refilled_at: Instant::now(),
            bytes_read: 0,
            refused_reads: 0,
            down: false,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Makes the store unreachable or reachable again.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        lock(&self.state).bytes_read
    }

    /// Reads refused so far.
    pub fn refused_reads(&self) -> u64 {
        lock(&self.state).refused_reads
    }
}

impl WeightStore for FakeWeightStore {
    fn read<'a>(
        &'a self,
        _name: &'a str,
        bytes: u64,
    ) -> BoxFuture<'a, Result<(), WeightStoreError>> {
        let result = lock(&self.state).read(bytes);
        Box::pin(async move { result })
    }
}
