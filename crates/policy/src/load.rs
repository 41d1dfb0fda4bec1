//! What an entry knows of each backend server's load, and how old that knowledge is.
//!
//! Knowledge comes from periodic reports (late), and from every frame an agent sends on a running
//! stream, an acceptance or a refusal (fresh as of now). Own sends and finishes that a report can't
//! know of yet are added on top. With age an estimate drifts towards the mean of all known servers,
//! and its spread grows.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::ServerKey;

/// Most backend servers that one book keeps; further ones are refused by [`LoadTracker::insert`].
pub const MAX_SERVERS: usize = 8_192;
/// Own sends and finishes kept per server, the oldest dropped first.
const MAX_OWN_EVENTS: usize = 64;
/// Assumed until an agent has reported its own mean.
const DEFAULT_SERVICE: Duration = Duration::from_secs(2);
/// Assumed until an agent has reported its places.
const DEFAULT_PLACES: u16 = 8;

/// Load of one backend server as its agent sees it. It travels with every heartbeat, so its names
/// on the wire are short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that the engine runs now.
    #[serde(rename = "r")]
    pub running: u16,
    /// Requests that wait in the agent's queue.
    #[serde(rename = "w")]
    pub waiting: u16,
    /// Requests that the engine can run at once; zero while it is down.
    #[serde(rename = "p")]
    pub places: u16,
    /// Mean time a request holds a place; zero where the agent has not measured one.
    #[serde(rename = "s")]
    pub service_ms: u32,
}

impl Load {
    /// Requests running or waiting.
    ///
    /// ```
    /// use flamingowheel_policy::load::Load;
    /// let load = Load { running: 8, waiting: 2, places: 8, service_ms: 2_000 };
    /// assert_eq!(load.occupied(), 10);
    /// ```
    #[must_use]
    pub fn occupied(&self) -> u16 {
        self.running.saturating_add(self.waiting)
    }

    /// The two counts in two bytes, for chunks: waiting above running, each at most 255. Their sum
    /// alone would hide which backend servers have extra places in use, and urgent requests would
    /// all go to the same one.
    ///
    /// ```
    /// use flamingowheel_policy::load::Load;
    /// let load = Load { running: 9, waiting: 2, places: 8, service_ms: 2_000 };
    /// assert_eq!(load.hint(), 0x0209);
    /// ```
    #[must_use]
    pub fn hint(&self) -> u16 {
        let byte = |count: u16| u8::try_from(count).unwrap_or(u8::MAX);
        u16::from_be_bytes([byte(self.waiting), byte(self.running)])
    }
}

/// Whether a backend server may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Availability {
    /// Takes new work.
    #[default]
    Available,
    /// Finishes what it has.
    Leaving,
    /// Its connection is silent or its backend server is down.
    Suspect,
}

/// Expected load of one backend server at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Expected requests running or waiting.
    pub occupied: f64,
    /// Expected requests waiting, a part of `occupied`.
    pub waiting: f64,
    /// Standard deviation of `occupied`.
    pub deviation: f64,
    /// Age of the newest knowledge it rests on.
    pub age: Duration,
    /// Requests that the engine can run at once.
    pub places: u16,
    /// Mean time a request holds a place.
    pub service: Duration,
}

impl Estimate {
    /// Expected wait of one more request.
    ///
    /// The expected number of requests ahead of it is the mean of the part of a normal
    /// distribution above the last free place, taken by its softplus approximation.
    ///
    /// ```
    /// use flamingowheel_policy::load::Estimate;
    /// use std::time::Duration;
    /// let mut estimate = Estimate {
    ///     occupied: 2.0,
    ///     waiting: 0.0,
    ///     deviation: 0.1,
    ///     age: Duration::ZERO,
    ///     places: 8,
    ///     service: Duration::from_secs(2),
    /// };
    /// assert!(estimate.wait() < Duration::from_millis(1));
    /// estimate.occupied = 11.0;
    /// assert_eq!(estimate.wait().as_secs(), 1);
    /// ```
    #[must_use]
    pub fn wait(&self) -> Duration {
        self.wait_behind(self.occupied)
    }

    /// Expected wait of one more request that overtakes all waiting ones.
    #[must_use]
    pub fn urgent_wait(&self) -> Duration {
        self.wait_behind(self.occupied - self.waiting)
    }

    fn wait_behind(&self, occupied: f64) -> Duration {
        let places = f64::from(self.places.max(1));
        let excess = occupied - (places - 1.0);
        let width = (self.deviation * SOFTPLUS_WIDTH).max(MIN_WIDTH);
        let ahead = softplus(excess / width) * width;
        Duration::from_secs_f64(ahead * self.service.as_secs_f64() / places)
    }
}

/// Matches a softplus to the partial mean of a unit normal at its centre (0.399 / ln 2).
const SOFTPLUS_WIDTH: f64 = 0.576;
/// Keeps the division defined for knowledge of no age.
const MIN_WIDTH: f64 = 0.05;
/// Beyond it softplus equals its argument to the last bit that matters.
const SOFTPLUS_LINEAR: f64 = 30.0;

fn softplus(x: f64) -> f64 {
    if x > SOFTPLUS_LINEAR {
        return x;
    }
    x.exp().ln_1p()
}

/// An own send (+1) or finish (-1) that older knowledge doesn't include.
#[derive(Clone, Copy, Debug)]
struct OwnEvent {
    at: Duration,
    change: i8,
}

#[derive(Clone, Debug)]
struct ServerLoad {
    load: Load,
    as_of: Option<Duration>,
    own: VecDeque<OwnEvent>,
    availability: Availability,
}

impl ServerLoad {
    fn learn(&mut self, load: Load, as_of: Duration) {
        if self.as_of.is_some_and(|known| known > as_of) {
            return;
        }
        self.load = load;
        self.as_of = Some(as_of);
        while self.own.front().is_some_and(|event| event.at <= as_of) {
            self.own.pop_front();
        }
    }

    fn note(&mut self, at: Duration, change: i8) {
        if self.own.len() == MAX_OWN_EVENTS {
            self.own.pop_front();
        }
        self.own.push_back(OwnEvent { at, change });
    }

    fn places(&self) -> u16 {
        if self.load.places == 0 { DEFAULT_PLACES } else { self.load.places }
    }

    fn service(&self) -> Duration {
        if self.load.service_ms == 0 {
            return DEFAULT_SERVICE;
        }
        Duration::from_millis(u64::from(self.load.service_ms))
    }
}

/// Knowledge of all backend servers that one entry may send to.
///
/// ```
/// use flamingowheel_policy::key::ServerKey;
/// use flamingowheel_policy::load::{Load, LoadTracker};
/// use std::time::Duration;
/// let server = ServerKey::from_name("runner-1");
/// let mut book = LoadTracker::default();
/// book.insert(server);
/// let load = Load { running: 3, waiting: 0, places: 8, service_ms: 2_000 };
/// book.on_current_load(server, load, Duration::from_secs(1));
/// book.on_sent(server, Duration::from_secs(2));
/// let estimate = book.estimate(server, Duration::from_secs(2)).unwrap();
/// assert!(estimate.occupied > 3.5 && estimate.occupied < 4.5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    servers: HashMap<ServerKey, ServerLoad>,
    /// Decayed mean of `occupied / places` over what was learned.
    mean_share: f64,
    learned: u64,
}

/// Weight of one piece of knowledge in the decayed mean.
const MEAN_WEIGHT: f64 = 0.01;

impl LoadTracker {
    /// Adds a backend server of which nothing is known. False when the book is full.
    pub fn insert(&mut self, server: ServerKey) -> bool {
        if self.servers.contains_key(&server) {
            return true;
        }
        if self.servers.len() >= MAX_SERVERS {
            return false;
        }
        let fresh = ServerLoad {
            load: Load::default(),
            as_of: None,
            own: VecDeque::new(),
            availability: Availability::Available,
        };
        self.servers.insert(server, fresh);
        true
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Backend servers known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no backend server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Sets whether a backend server may get new work.
    pub fn set_availability(&mut self, server: ServerKey, availability: Availability) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.availability = availability;
        }
    }

    /// Whether a backend server may get new work; `None` for an unknown one.
    #[must_use]
    pub fn availability(&self, server: ServerKey) -> Option<Availability> {
        self.servers.get(&server).map(|known| known.availability)
    }

    /// Whether a backend server may get new work and, as far as is known, its engine is up.
    #[must_use]
    pub fn is_usable(&self, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|known| {
            let is_down = known.as_of.is_some() && known.load.places == 0;
            known.availability == Availability::Available && !is_down
        })
    }

    /// Takes in a periodic report that was true at `as_of`. One older than what is known is dropped.
    pub fn on_report(&mut self, server: ServerKey, load: Load, as_of: Duration) {
        let Some(known) = self.servers.get_mut(&server) else { return };
        known.learn(load, as_of);
        let share = f64::from(load.occupied()) / f64::from(known.places());
        self.learned += 1;
        let weight = (1.0 / self.learned as f64).max(MEAN_WEIGHT);
        self.mean_share += (share - self.mean_share) * weight;
    }

    /// Takes in the load carried by an acceptance, a refusal or a chunk: true as of now.
    pub fn on_current_load(&mut self, server: ServerKey, load: Load, now: Duration) {
        self.on_report(server, load, now);
    }

    /// Takes in the short form carried by a chunk, made by [`Load::hint`].
    pub fn on_hint(&mut self, server: ServerKey, hint: u16, now: Duration) {
        let Some(known) = self.servers.get(&server) else { return };
        let [waiting, running] = hint.to_be_bytes().map(u16::from);
        let load = Load { running, waiting, ..known.load };
        self.on_current_load(server, load, now);
    }

    /// Notes that a request was sent.
    pub fn on_sent(&mut self, server: ServerKey, now: Duration) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.note(now, 1);
        }
    }

    /// Notes that a request which was sent has ended or was refused.
    pub fn on_ended(&mut self, server: ServerKey, now: Duration) {
        if let Some(known) = self.servers.get_mut(&server) {
            known.note(now, -1);
        }
    }

    /// Expected load of a backend server now; `None` for an unknown one.
    #[must_use]
    pub fn estimate(&self, server: ServerKey, now: Duration) -> Option<Estimate> {
        let known = self.servers.get(&server)?;
        let places = known.places();
        let service = known.service();
        let age = now.saturating_sub(known.as_of.unwrap_or_default());
        let mean = self.mean_share * f64::from(places);
        let kept = match known.as_of {
            Some(_) => (-age.as_secs_f64() / service.as_secs_f64()).exp(),
            None => 0.0,
        };
        let own: f64 = known.own.iter().map(|event| f64::from(event.change)).sum();
        let occupied = (mean + (f64::from(known.load.occupied()) - mean) * kept + own).max(0.0);
        // Occupancy relaxes like an Ornstein-Uhlenbeck process whose variance at rest is about
        // that of a busy engine.
        let variance = f64::from(places) * REST_VARIANCE_PER_PLACE * (1.0 - kept * kept);
        let waiting = f64::from(known.load.waiting) * kept;
        Some(Estimate { occupied, waiting, deviation: variance.sqrt(), age, places, service })
    }
}

/// Variance of the occupancy of a busy engine, per place, measured by the routing bench.
const REST_VARIANCE_PER_PLACE: f64 = 0.3;
