//! Bounded ring of a process's most recent events.

use std::collections::{HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::api::EventQuery;
use crate::clock::Stamp;
use crate::event::StampedEvent;

/// Events kept by default; 4.3 MB at 264 bytes each, the size that the bench `record` prints.
pub const DEFAULT_CAPACITY: usize = 16_384;

/// Time before and after a request's own events within which other events may explain it.
const CONTEXT_SLACK_MS: u64 = 1_000;

/// The most recent events of a process; the oldest are overwritten and counted.
#[derive(Debug)]
pub struct Ring {
    capacity: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    events: VecDeque<Arc<StampedEvent>>,
    pushed: u64,
}

impl Ring {
    /// An empty ring for `capacity` events, at least one.
    ///
    /// ```
    /// use flamingowheel_observe::ring::Ring;
    ///
    /// assert_eq!(Ring::new(16).overwritten(), 0);
    /// ```
    pub fn new(capacity: usize) -> Self {
        Self { capacity: capacity.max(1), state: Mutex::default() }
    }

    /// Adds the event that `make` builds from its sequence number.
    ///
    /// The event is built under the ring's lock: if threads stamped their events before taking the
    /// lock, the ring could get out of order and a timeline would show an effect before its cause.
    ///
    /// ```
    /// use flamingowheel_observe::clock::Stamp;
    /// use flamingowheel_observe::event::{Event, StampedEvent, Subject};
    /// use flamingowheel_observe::ring::Ring;
    ///
    /// let pushed = Ring::new(16).push_with(|sequence| StampedEvent {
    ///     stamp: Stamp::default(),
    ///     sequence,
    ///     process: "entry-1".into(),
    ///     subject: Subject::default(),
    ///     event: Event::LeaseLost { lease: "runners-a".into() },
    /// });
    /// assert_eq!(pushed.sequence, 1);
    /// ```
    pub fn push_with<F>(&self, make: F) -> Arc<StampedEvent>
    where
        F: FnOnce(u64) -> StampedEvent,
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

    /// The newest events that match, oldest first, and how many older ones the limit left out.
    ///
    /// Without a limit, a query to all processes of a large fleet would return some 100 million
    /// events to one reader.
    pub fn select(&self, query: &EventQuery) -> (Vec<Arc<StampedEvent>>, u64) {
        let mut events = self.matching(query);
        let left_out = events.len().saturating_sub(query.limit.unwrap_or(usize::MAX));
        events.drain(..left_out);
        (events, left_out as u64)
    }

    /// The events that match; for a request also the events that explain it.
    fn matching(&self, query: &EventQuery) -> Vec<Arc<StampedEvent>> {
        let state = self.lock();
        let matching: Vec<&Arc<StampedEvent>> =
            state.events.iter().filter(|event| query.matches(event)).collect();
        let context = query.request.and_then(|_| Context::of(&matching));
        let Some(context) = context else {
            return matching.into_iter().cloned().collect();
        };
        let is_included =
            |event: &&Arc<StampedEvent>| query.matches(event) || context.explains(event);
        state.events.iter().filter(is_included).cloned().collect()
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
        // No code under the lock can leave the ring half changed, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time span and peers of a request, to find events that explain it without naming it.
///
/// A lost connection or a crashed engine is recorded once, not once for each of the hundreds of
/// requests it affected; without it a request's timeline would show a retry without its cause.
struct Context<'a> {
    from_ms: u64,
    to_ms: u64,
    peers: HashSet<&'a str>,
}

impl<'a> Context<'a> {
    fn of(events: &[&'a Arc<StampedEvent>]) -> Option<Self> {
        let first = events.first()?.stamp;
        let last = events.last()?.stamp;
        Some(Self {
            from_ms: first.wall_ms().saturating_sub(CONTEXT_SLACK_MS),
            to_ms: last.wall_ms() + CONTEXT_SLACK_MS,
            peers: events.iter().filter_map(|event| event.event.peer()).collect(),
        })
    }

    /// An agent's events about a request name no peer; then the events of all peers are included.
    fn includes_peer(&self, peer: &str) -> bool {
        self.peers.is_empty() || self.peers.contains(peer)
    }

    fn explains(&self, event: &StampedEvent) -> bool {
        let at_ms = event.stamp.wall_ms();
        event.subject.request.is_none()
            && event.event.is_context()
            && (self.from_ms..=self.to_ms).contains(&at_ms)
            && event.event.peer().is_none_or(|peer| self.includes_peer(peer))
    }
}
