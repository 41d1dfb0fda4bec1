//! Holds back events that say the same over and over.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::event::{Event, Name};

/// How often the same is recorded at the most.
const INTERVAL_MS: u64 = 60_000;

/// Conditions remembered at the most.
const MAX_CONDITIONS: usize = 1_024;

/// A condition that lasts and is found anew again and again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Condition {
    KeyValueDown,
    ClockDrift(Name),
}

/// When each lasting condition was recorded last.
///
/// A failing call is tried again several times a second, and every message carries a stamp. An
/// event for each would push everything else out of the ring within an hour, just when somebody
/// wants to know what an outage did. Once a minute still shows that it lasts.
#[derive(Debug, Default)]
pub(crate) struct Repeats(Mutex<HashMap<Condition, u64>>);

impl Repeats {
    /// Whether an event is worth recording now.
    pub(crate) fn is_due(&self, event: &Event, now_ms: u64) -> bool {
        let condition = match event {
            Event::KeyValueDown { .. } => Condition::KeyValueDown,
            Event::ClockDriftIgnored { peer, .. } => Condition::ClockDrift(peer.clone()),
            Event::KeyValueUp { .. } => {
                self.lock().remove(&Condition::KeyValueDown);
                return true;
            }
            _ => return true,
        };
        let mut recorded = self.lock();
        let last_ms = recorded.get(&condition).copied();
        // A wall clock set back must not silence the events.
        if last_ms.is_some_and(|last_ms| now_ms.abs_diff(last_ms) < INTERVAL_MS) {
            return false;
        }
        if recorded.len() >= MAX_CONDITIONS {
            recorded.clear();
        }
        recorded.insert(condition, now_ms);
        true
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Condition, u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
