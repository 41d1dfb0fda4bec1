//! Bounded ring of a process's last events.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::api::EventQuery;
use crate::clock::Stamp;
use crate::event::Stamped;

/// Events kept by default; at about 300 bytes each this is near 5 MB.
pub const DEFAULT_CAPACITY: usize = 16_384;

/// The last events of a process; the oldest are overwritten and counted.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    events: VecDeque<Arc<Stamped>>,
    pushed: u64,
}

impl Ring {
    /// An empty ring for `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), state: Mutex::default() }
    }

    /// Adds the event that `make` builds from its number.
    ///
    /// Threads that stamp first and then race to the ring would leave it out of order, and a time
    /// line would show an effect before its cause; so the event is built under the ring's lock.
    pub fn push_with<F>(&self, make: F) -> Arc<Stamped>
    where
        F: FnOnce(u64) -> Stamped,
    {
        let mut state = self.lock();
        state.pushed += 1;
        let event = Arc::new(make(state.pushed));
        if state.events.len() == self.capacity {
            state.events.pop_front();
        }
        state.events.push_back(Arc::clone(&event));
        event
    }

    /// The events that match, oldest first.
    pub fn select(&self, query: &EventQuery) -> Vec<Arc<Stamped>> {
        self.lock().events.iter().filter(|event| query.matches(event)).cloned().collect()
    }

    /// How many events were overwritten so far.
    pub fn overwritten(&self) -> u64 {
        let state = self.lock();
        state.pushed - state.events.len() as u64
    }

    /// Stamp of the oldest event still kept.
    pub fn oldest(&self) -> Option<Stamp> {
        self.lock().events.front().map(|event| event.stamp)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Nothing under the lock can leave the ring half changed, so a poisoned one is still whole.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
