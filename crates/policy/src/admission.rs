//! The agent's decision about each request: start, queue or refuse at once.
//!
//! An early refusal is proof that the request did not run and carries the load as of now, so one
//! more try elsewhere is safe for every kind of request and better informed. Only a last
//! try may wait for longer. When the queue is full the lowest priority goes first.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::load::Load;

/// Priority of a request; a higher number goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Settings of an agent's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Requests that the engine runs at once.
    pub places: u16,
    /// Requests of the same or a higher priority that a try which is not the last may wait behind.
    pub early_queue: usize,
    /// Requests that may wait in all.
    pub max_queue: usize,
    /// Requests of this priority or above start at once, up to `urgent_places` beyond `places`:
    /// the engine batches continuously, so one more in the batch slows the others a little.
    pub urgent: Priority,
    /// Extra places for urgent requests.
    pub urgent_places: u16,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self { places: 8, early_queue: 0, max_queue: 16, urgent: Priority(200), urgent_places: 1 }
    }
}

/// A request as admission sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer<Id> {
    /// Names the request in later calls.
    pub id: Id,
    /// Its priority.
    pub priority: Priority,
    /// The entry won't try elsewhere: queue it rather than refuse it early.
    pub last_try: bool,
    /// When the caller stops waiting.
    pub deadline: Duration,
}

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision<Id> {
    /// It holds a place: start it.
    Start,
    /// It waits. A request of lower priority that had to give way was removed: refuse it as full.
    Queued {
        /// The request that gave way.
        shed: Option<Id>,
    },
    /// It did not and won't run here; the load is as of now.
    Full(Load),
}

/// Queue order: higher priority first, then first come.
type Rank = (std::cmp::Reverse<Priority>, u64);

#[derive(Clone, Copy, Debug)]
struct Waiting<Id> {
    id: Id,
    deadline: Duration,
}

/// Places and queue of one backend server.
///
/// ```
/// use flamingowheel_policy::admission::{Admission, AdmissionConfig, AdmissionDecision, Offer, Priority};
/// use std::time::Duration;
/// let config = AdmissionConfig { places: 1, early_queue: 0, ..AdmissionConfig::default() };
/// let mut admission = Admission::new(config);
/// let deadline = Duration::from_secs(9);
/// let offer = |id| Offer { id, priority: Priority(5), last_try: false, deadline };
/// assert_eq!(admission.offer(offer(1)), AdmissionDecision::Start);
/// assert!(matches!(admission.offer(offer(2)), AdmissionDecision::Full(load) if load.running == 1));
/// ```
#[derive(Clone, Debug)]
pub struct Admission<Id> {
    config: AdmissionConfig,
    running: u16,
    sequence: u64,
    queue: BTreeMap<Rank, Waiting<Id>>,
    service_ms: f64,
    alone: Alone<Id>,
}

/// The one suspect that an agent deals with at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Alone<Id> {
    None,
    /// Nothing else is started until it has run.
    Waiting {
        id: Id,
        deadline: Duration,
    },
    Running,
}

impl<Id> Admission<Id>
where
    Id: Copy + Eq,
{
    /// No request yet.
    #[must_use]
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            config,
            running: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            service_ms: 0.0,
            alone: Alone::None,
        }
    }

    /// The load as of now, for reports, refusals and chunks.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: u16::try_from(self.waiting()).unwrap_or(u16::MAX),
            places: self.config.places,
            service_ms: self.service_ms as u32,
        }
    }

    fn waiting(&self) -> usize {
        self.queue.len() + usize::from(matches!(self.alone, Alone::Waiting { .. }))
    }

    /// Decides about a request.
    pub fn offer(&mut self, offer: Offer<Id>) -> AdmissionDecision<Id> {
        if self.has_place(offer.priority) && self.ahead_of(offer.priority) == 0 {
            self.running += 1;
            return AdmissionDecision::Start;
        }
        let limit = if offer.last_try { self.config.max_queue } else { self.config.early_queue };
        if self.ahead_of(offer.priority) >= limit {
            return AdmissionDecision::Full(self.load());
        }
        let shed = match self.queue.len() >= self.config.max_queue {
            true => self.shed_below(offer.priority),
            false => None,
        };
        if self.queue.len() >= self.config.max_queue {
            return AdmissionDecision::Full(self.load());
        }
        self.sequence += 1;
        let rank = (std::cmp::Reverse(offer.priority), self.sequence);
        self.queue.insert(rank, Waiting { id: offer.id, deadline: offer.deadline });
        AdmissionDecision::Queued { shed }
    }

    /// Decides about a suspect, which may only run while nothing else does. A second one is refused
    /// meanwhile: each would drain the backend server once more.
    pub fn offer_alone(&mut self, offer: Offer<Id>) -> AdmissionDecision<Id> {
        if self.alone != Alone::None {
            return AdmissionDecision::Full(self.load());
        }
        if self.running == 0 {
            self.alone = Alone::Running;
            self.running = 1;
            return AdmissionDecision::Start;
        }
        self.alone = Alone::Waiting { id: offer.id, deadline: offer.deadline };
        AdmissionDecision::Queued { shed: None }
    }

    /// Notes that a started request has ended after holding its place for `held`, and returns the
    /// next request to start, if any.
    pub fn finish(&mut self, held: Duration) -> Option<Id> {
        self.running = self.running.saturating_sub(1);
        if self.alone == Alone::Running {
            self.alone = Alone::None;
        }
        let held_ms = held.as_secs_f64() * 1_000.0;
        let weight = if self.service_ms == 0.0 { 1.0 } else { SERVICE_WEIGHT };
        self.service_ms += (held_ms - self.service_ms) * weight;
        self.start_next()
    }

    /// Starts the next waiting request if it may have a place. Call it again until `None` after a
    /// change of `places`.
    pub fn start_next(&mut self) -> Option<Id> {
        if let Alone::Waiting { id, .. } = self.alone {
            return (self.running == 0).then(|| {
                self.alone = Alone::Running;
                self.running = 1;
                id
            });
        }
        let (rank, _) = self.queue.first_key_value()?;
        if !self.has_place(rank.0.0) {
            return None;
        }
        self.running += 1;
        self.queue.pop_first().map(|(_, waiting)| waiting.id)
    }

    /// Removes a waiting request; then call [`Admission::start_next`]. False when it does not wait here (any more).
    pub fn cancel(&mut self, id: Id) -> bool {
        if matches!(self.alone, Alone::Waiting { id: waiting, .. } if waiting == id) {
            self.alone = Alone::None;
            return true;
        }
        let found = self.queue.iter().find(|(_, waiting)| waiting.id == id).map(|(rank, _)| *rank);
        found.is_some_and(|rank| self.queue.remove(&rank).is_some())
    }

    /// Removes and returns the waiting requests whose callers have stopped waiting. Where one of
    /// them was to run alone, others may start now: call [`Admission::start_next`].
    pub fn expire(&mut self, now: Duration) -> Vec<Id> {
        let mut expired = Vec::new();
        if let Alone::Waiting { id, deadline } = self.alone
            && deadline <= now
        {
            self.alone = Alone::None;
            expired.push(id);
        }
        self.queue.retain(|_, waiting| {
            let is_late = waiting.deadline <= now;
            if is_late {
                expired.push(waiting.id);
            }
            !is_late
        });
        expired
    }

    /// Changes the number of places, as when the engine reports another one.
    pub fn set_places(&mut self, places: u16) {
        self.config.places = places;
    }

    fn has_place(&self, priority: Priority) -> bool {
        if self.alone != Alone::None {
            return false;
        }
        let extra = if priority >= self.config.urgent { self.config.urgent_places } else { 0 };
        self.running < self.config.places.saturating_add(extra)
    }

    fn ahead_of(&self, priority: Priority) -> usize {
        self.queue.range(..(std::cmp::Reverse(priority), u64::MAX)).count()
    }

    /// Removes the last of the queue if its priority is lower.
    fn shed_below(&mut self, priority: Priority) -> Option<Id> {
        let last = self.queue.last_entry()?;
        (last.key().0.0 < priority).then(|| last.remove().id)
    }
}

/// Weight of one request in the decayed mean of service times.
const SERVICE_WEIGHT: f64 = 0.05;
