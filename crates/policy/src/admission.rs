//! The agent's decision about each request: start, queue or refuse it.
//!
//! An early refusal proves that the request did not run and carries the current load, so a retry on
//! another server is safe for every kind of request and better informed. Only a last try may wait
//! for longer. When the queue is full, requests of the lowest priority are shed first.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::load::Load;

/// Priority of a request; higher numbers are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Settings of an agent's admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Number of requests that the engine may run concurrently.
    pub places: u16,
    /// Most requests of the same or a higher priority that a try other than the last may wait
    /// behind.
    pub early_queue: usize,
    /// Most requests that may wait in total.
    pub max_queue: usize,
    /// Requests of this priority or above start immediately, up to `urgent_places` beyond `places`:
    /// the engine batches continuously, so one more request slows the others only a little.
    pub urgent: Priority,
    /// Extra places for urgent requests.
    pub urgent_places: u16,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self { places: 8, early_queue: 0, max_queue: 16, urgent: Priority(200), urgent_places: 1 }
    }
}

/// A request that is offered for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer<Id> {
    /// Identifies the request in later calls.
    pub id: Id,
    /// Its place in the queue order and whether it counts as urgent.
    pub priority: Priority,
    /// The entry won't try another server: queue the request rather than refuse it early.
    pub last_try: bool,
    /// Time at which the caller stops waiting.
    pub deadline: Duration,
}

/// Decision about an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision<Id> {
    /// It occupies a place now: start it.
    Start,
    /// It waits in the queue.
    Queued {
        /// The request of lower priority that was removed to make room: refuse it as full.
        shed: Option<Id>,
    },
    /// It did not run and won't run here. Carries the current load.
    Full(Load),
}

/// Queue order: higher priority first, then in order of arrival.
type Rank = (std::cmp::Reverse<Priority>, u64);

#[derive(Clone, Copy, Debug)]
struct Waiting<Id> {
    id: Id,
    deadline: Duration,
}

/// Places and queue of one backend server.
///
/// ```
/// use flamingowheel_policy::admission::{
///     Admission, AdmissionConfig, AdmissionDecision, Offer, Priority,
/// };
/// use std::time::Duration;
/// let config = AdmissionConfig { places: 1, early_queue: 0, ..AdmissionConfig::default() };
/// let mut admission = Admission::new(config);
/// let deadline = Duration::from_secs(9);
/// let offer = |id| Offer { id, priority: Priority(5), last_try: false, deadline };
/// assert_eq!(admission.offer(offer(1)), AdmissionDecision::Start);
/// let decision = admission.offer(offer(2));
/// assert!(matches!(decision, AdmissionDecision::Full(load) if load.running == 1));
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

/// State of the suspect that must run alone; there is at most one at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Alone<Id> {
    None,
    /// No other request is started until it has run.
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
    /// Starts without requests.
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

    /// The current load, for reports, refusals and chunks.
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

    /// Starts, queues or refuses a request.
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

    /// Starts, queues or refuses a suspect, which may only run while no other request runs. A
    /// second suspect is refused meanwhile: each one makes the backend server drain once more.
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

    /// Records that a started request has ended after occupying its place for `held`, and returns
    /// the next request to start, if any.
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

    /// Starts the next waiting request if a place is free for it. After a change of `places`, call
    /// this until it returns `None`.
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

    /// Removes a waiting request; then call [`Admission::start_next`]. False when the request is
    /// not waiting here.
    pub fn cancel(&mut self, id: Id) -> bool {
        if matches!(self.alone, Alone::Waiting { id: waiting, .. } if waiting == id) {
            self.alone = Alone::None;
            return true;
        }
        let found = self.queue.iter().find(|(_, waiting)| waiting.id == id).map(|(rank, _)| *rank);
        found.is_some_and(|rank| self.queue.remove(&rank).is_some())
    }

    /// Removes and returns the waiting requests whose deadline has passed. If one of them was to
    /// run alone, others may start now: call [`Admission::start_next`].
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

    /// Changes the number of places, for example when the engine reports a different one.
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

    /// Removes the last request of the queue if its priority is lower.
    fn shed_below(&mut self, priority: Priority) -> Option<Id> {
        let last = self.queue.last_entry()?;
        (last.key().0.0 < priority).then(|| last.remove().id)
    }
}

/// Weight of one request in the decayed mean of service times.
const SERVICE_WEIGHT: f64 = 0.05;
