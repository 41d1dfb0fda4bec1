//! Load of each backend server as an entry knows it, and the age of that information.
//!
//! Loads arrive in periodic reports, which lag, and with every acceptance, refusal and stream frame
//! of an agent, which are current. Requests that this entry has sent or finished since the last
//! update are added on top. With age an estimate decays towards the mean of all known servers, and
//! its variance grows.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::ServerKey;

/// Most backend servers in one tracker; [`LoadTracker::insert`] refuses further ones.
pub const MAX_SERVERS: usize = 8_192;
/// Sends and finishes of this entry kept per server; the oldest are dropped first.
const MAX_OWN_EVENTS: usize = 64;
/// Assumed until an agent has reported its own mean.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_secs(2);
/// Assumed until an agent has reported its places.
const DEFAULT_PLACES: u16 = 8;

/// Load of one backend server as reported by its agent. Sent with every heartbeat, so its field
/// names on the wire are short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running in the engine.
    #[serde(rename = "r")]
    pub running: u16,
    /// Requests waiting in the agent's queue.
    #[serde(rename = "w")]
    pub waiting: u16,
    /// Number of requests the engine can run concurrently; zero while it is down.
    #[serde(rename = "p")]
    pub places: u16,
    /// Mean time a request occupies a place; zero until the agent has measured it.
    #[serde(rename = "s")]
    pub service_ms: u32,
}

impl Load {
    /// Number of requests running or waiting.
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

    /// Both counts packed into two bytes, for chunks: waiting in the high byte, running in the low
    /// byte, each capped at 255. Their sum alone would hide which backend servers have extra places
    /// in use, and urgent requests would all go to the same one.
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
    /// It may get new work.
    #[default]
    Available,
    /// It finishes its requests and gets no new ones.
    Leaving,
    /// The connection to its agent is silent, or the backend server is down.
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
    /// Age of the newest load that the estimate is based on.
    pub age: Duration,
    /// Number of requests the engine can run concurrently.
    pub places: u16,
    /// Mean time a request occupies a place.
    pub service: Duration,
}

impl Estimate {
    /// Expected wait of one more request.
    ///
    /// The expected number of requests ahead of it is the partial mean of a normal distribution
    /// above the last free place, computed by its softplus approximation.
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

    /// Expected wait of one more request that overtakes all waiting requests.
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

/// Makes the softplus equal to the partial mean of a unit normal at its centre (0.399 / ln 2).
const SOFTPLUS_WIDTH: f64 = 0.576;
/// Avoids a division by zero for estimates of age zero, whose deviation is zero.
const MIN_WIDTH: f64 = 0.05;
/// Above this softplus equals its argument within floating-point precision.
const SOFTPLUS_LINEAR: f64 = 30.0;

fn softplus(x: f64) -> f64 {
    if x > SOFTPLUS_LINEAR {
        return x;
    }
    x.exp().ln_1p()
}

/// A send (+1) or finish (-1) of this entry that the last known load doesn't include.
#[derive(Clone, Copy, Debug)]
struct OwnEvent {
    at: Duration,
    change: i8,
}

#[derive(Clone, Debug)]
struct ServerLoad {
    load: Load,
    as_of: Option<Duration>,
    own_events: VecDeque<OwnEvent>,
    availability: Availability,
}

impl ServerLoad {
    fn update(&mut self, load: Load, as_of: Duration) {
        if self.as_of.is_some_and(|last| last > as_of) {
            return;
        }
        self.load = load;
        self.as_of = Some(as_of);
        while self.own_events.front().is_some_and(|event| event.at <= as_of) {
            self.own_events.pop_front();
        }
    }

    fn push_own_event(&mut self, at: Duration, change: i8) {
        if self.own_events.len() == MAX_OWN_EVENTS {
            self.own_events.pop_front();
        }
        self.own_events.push_back(OwnEvent { at, change });
    }

    fn places(&self) -> u16 {
        if self.load.places == 0 { DEFAULT_PLACES } else { self.load.places }
    }

    fn service(&self) -> Duration {
        if self.load.service_ms == 0 {
            return DEFAULT_SERVICE_TIME;
        }
        Duration::from_millis(u64::from(self.load.service_ms))
    }
}

/// Loads of all backend servers that one entry may send to.
///
/// ```
/// use flamingowheel_policy::key::ServerKey;
/// use flamingowheel_policy::load::{Load, LoadTracker};
/// use std::time::Duration;
/// let server = ServerKey::from_name("runner-1");
/// let mut tracker = LoadTracker::default();
/// tracker.insert(server);
/// let load = Load { running: 3, waiting: 0, places: 8, service_ms: 2_000 };
/// tracker.on_current_load(server, load, Duration::from_secs(1));
/// tracker.on_sent(server, Duration::from_secs(2));
/// let estimate = tracker.estimate(server, Duration::from_secs(2)).unwrap();
/// assert!(estimate.occupied > 3.5 && estimate.occupied < 4.5);
/// ```
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    servers: HashMap<ServerKey, ServerLoad>,
    /// Decayed mean of `occupied / places` over all loads received.
    mean_share: f64,
    received: u64,
}

/// Weight of one received load in the decayed mean.
const MEAN_WEIGHT: f64 = 0.01;

impl LoadTracker {
    /// Adds a backend server without a known load. False when the tracker is full.
    pub fn insert(&mut self, server: ServerKey) -> bool {
        if self.servers.contains_key(&server) {
            return true;
        }
        if self.servers.len() >= MAX_SERVERS {
            return false;
        }
        let server_load = ServerLoad {
            load: Load::default(),
            as_of: None,
            own_events: VecDeque::new(),
            availability: Availability::Available,
        };
        self.servers.insert(server, server_load);
        true
    }

    /// Removes a backend server.
    pub fn remove(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Number of backend servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there is no backend server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Sets whether a backend server may get new work.
    pub fn set_availability(&mut self, server: ServerKey, availability: Availability) {
        if let Some(server_load) = self.servers.get_mut(&server) {
            server_load.availability = availability;
        }
    }

    /// Whether a backend server may get new work; `None` for an unknown one.
    #[must_use]
    pub fn availability(&self, server: ServerKey) -> Option<Availability> {
        self.servers.get(&server).map(|server_load| server_load.availability)
    }

    /// Whether a backend server may get new work and its last known load does not report the engine
    /// as down.
    #[must_use]
    pub fn is_usable(&self, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|server_load| {
            let is_down = server_load.as_of.is_some() && server_load.load.places == 0;
            server_load.availability == Availability::Available && !is_down
        })
    }

    /// Records a periodic report of the load at `as_of`. A report older than the last known load is
    /// dropped.
    pub fn on_report(&mut self, server: ServerKey, load: Load, as_of: Duration) {
        let Some(server_load) = self.servers.get_mut(&server) else { return };
        server_load.update(load, as_of);
        let share = f64::from(load.occupied()) / f64::from(server_load.places());
        self.received += 1;
        let weight = (1.0 / self.received as f64).max(MEAN_WEIGHT);
        self.mean_share += (share - self.mean_share) * weight;
    }

    /// Records the current load, as carried by a message of the agent such as an acceptance or a
    /// refusal.
    pub fn on_current_load(&mut self, server: ServerKey, load: Load, now: Duration) {
        self.on_report(server, load, now);
    }

    /// Records the current load in the packed form of [`Load::hint`], as carried by a chunk.
    pub fn on_hint(&mut self, server: ServerKey, hint: u16, now: Duration) {
        let Some(server_load) = self.servers.get(&server) else { return };
        let [waiting, running] = hint.to_be_bytes().map(u16::from);
        let load = Load { running, waiting, ..server_load.load };
        self.on_current_load(server, load, now);
    }

    /// Records that this entry sent a request.
    pub fn on_sent(&mut self, server: ServerKey, now: Duration) {
        if let Some(server_load) = self.servers.get_mut(&server) {
            server_load.push_own_event(now, 1);
        }
    }

    /// Records that a request of this entry has ended or was refused.
    pub fn on_ended(&mut self, server: ServerKey, now: Duration) {
        if let Some(server_load) = self.servers.get_mut(&server) {
            server_load.push_own_event(now, -1);
        }
    }

    /// Expected load of a backend server now; `None` for an unknown one.
    #[must_use]
    pub fn estimate(&self, server: ServerKey, now: Duration) -> Option<Estimate> {
        let server_load = self.servers.get(&server)?;
        let places = server_load.places();
        let service = server_load.service();
        let age = now.saturating_sub(server_load.as_of.unwrap_or_default());
        let mean = self.mean_share * f64::from(places);
        let decay = match server_load.as_of {
            Some(_) => (-age.as_secs_f64() / service.as_secs_f64()).exp(),
            None => 0.0,
        };
        let own_change: f64 =
            server_load.own_events.iter().map(|event| f64::from(event.change)).sum();
        let occupied =
            (mean + (f64::from(server_load.load.occupied()) - mean) * decay + own_change).max(0.0);
        // Occupancy behaves like an Ornstein-Uhlenbeck process whose stationary variance is about
        // that of a busy engine.
        let variance = f64::from(places) * STATIONARY_VARIANCE_PER_PLACE * (1.0 - decay * decay);
        let waiting = f64::from(server_load.load.waiting) * decay;
        Some(Estimate { occupied, waiting, deviation: variance.sqrt(), age, places, service })
    }
}

/// Variance of the occupancy of a busy engine, per place.
const STATIONARY_VARIANCE_PER_PLACE: f64 = 0.3;
