//! The agent's load, readable without locks by all tasks that report it.

use flamingowheel_protocol::message::Load;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Shared load, written by the control task. It is packed into one word, so that readers never see
/// a partial update.
#[derive(Clone, Debug, Default)]
pub struct LoadCell(Arc<AtomicU64>);

/// Longest mean service time that fits the packed form, about 18 hours.
const MAX_SERVICE_MS: u32 = (1 << 26) - 1;
/// Largest number of requests or places that fits the packed form.
const MAX_COUNT: u16 = (1 << 12) - 1;

impl LoadCell {
    /// Sets the load; values that don't fit are capped.
    pub fn set(&self, load: Load) {
        let count = |value: u16| u64::from(value.min(MAX_COUNT));
        let service = u64::from(load.service_ms.min(MAX_SERVICE_MS));
        let packed = service << 36
            | count(load.places) << 24
            | count(load.waiting) << 12
            | count(load.running);
        self.0.store(packed, Ordering::Relaxed);
    }

    /// Returns the last load set.
    ///
    /// ```
    /// use flamingowheel_agent::load::LoadCell;
    /// use flamingowheel_protocol::message::Load;
    /// let cell = LoadCell::default();
    /// let load = Load { running: 3, waiting: 1, places: 8, service_ms: 2_000 };
    /// cell.set(load);
    /// assert_eq!(cell.get(), load);
    /// ```
    pub fn get(&self) -> Load {
        let packed = self.0.load(Ordering::Relaxed);
        let count = |shift: u32| (packed >> shift) as u16 & MAX_COUNT;
        let service_ms = (packed >> 36) as u32 & MAX_SERVICE_MS;
        Load { running: count(0), waiting: count(12), places: count(24), service_ms }
    }
}
