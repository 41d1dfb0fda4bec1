//! Suppresses repeated events about conditions that last.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::event::{Event, Name};

/// Shortest time between two events about the same condition.
const INTERVAL_MS: u64 = 60_000;

/// Most conditions that are stored; beyond it all are dropped.
const MAX_CONDITIONS: usize = 1_024;

/// A condition that is detected repeatedly while it lasts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Condition {
    KeyValueDown,
    ClockDrift(Name),
}

/// Wall-clock time in milliseconds at which each condition was last recorded.
///
/// A failing call is retried several times a second, and every message carries a stamp. An event
/// for each would push all others out of the ring within an hour, just when an operator needs them
/// to see the effects of an outage. One event a minute still shows that the condition lasts.
#[derive(Debug, Default)]
pub(crate) struct RepeatFilter(Mutex<HashMap<Condition, u64>>);

impl RepeatFilter {
    /// Whether an event should be recorded or repeats a recent one.
    pub(crate) fn should_record(&self, event: &Event, now_ms: u64) -> bool {
        let condition = match event {
            Event::KeyValueDown { .. } => Condition::KeyValueDown,
            Event::ClockDriftIgnored { peer, .. } => Condition::ClockDrift(peer.clone()),
            Event::KeyValueUp { .. } => {
                self.lock().remove(&Condition::KeyValueDown);
                return true;
            }
            _ => return true,
        };
        let mut recorded_ms = self.lock();
        let last_ms = recorded_ms.get(&condition).copied();
        // abs_diff: a wall clock that was set back must not suppress events.
        if last_ms.is_some_and(|last_ms| now_ms.abs_diff(last_ms) < INTERVAL_MS) {
            return false;
        }
        if recorded_ms.len() >= MAX_CONDITIONS {
            recorded_ms.clear();
        }
        recorded_ms.insert(condition, now_ms);
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Condition, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
