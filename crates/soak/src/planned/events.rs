//! Planned work on a fleet: stops with successors, reloads of settings, configurations, and silence
//! of backend servers, which excuses nothing.

use super::check::{GRACE_S, Stop, Version};
use crate::fleet::Fleet;
use futures_util::future::join_all;
use rand::{Rng, RngExt};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time from the start of a successor to the stop signal, and from the end of a stopped entry to the
/// start of its successor, in milliseconds.
const SUCCESSOR_GAP_MS: std::ops::Range<u64> = 0..2_000;

/// Time from a stop signal to a second one, in milliseconds. Some come after the end.
const SECOND_SIGNAL_MS: std::ops::Range<u64> = 0..3_000;

/// Pauses between the stops of a series, in milliseconds.
const STOP_GAP_MS: std::ops::Range<u64> = 0..1_500;

/// Pauses between the configurations of a series, in milliseconds.
const CONFIGURATION_GAP_MS: std::ops::Range<u64> = 0..600;

/// Timeouts of routes, in milliseconds.
pub const TIMEOUT_MS: std::ops::Range<u64> = 3_000..20_000;

/// How long a backend server is silent, in milliseconds.
const SERVER_SILENCE_MS: std::ops::Range<u64> = 300..3_000;

/// Time in which a started entry answers requests.
const START_TIME: Duration = Duration::from_millis(500);

/// When the successor of a stopped entry is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// This long before the stop signal, on other ports.
    Before(Duration),
    /// At the end of the stopped entry, on the same ports.
    AtEnd,
    /// This long after its end, on the same ports.
    After(Duration),
}

/// The stop of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// When its successor is started.
    pub successor: Successor,
    /// Time to a second stop signal.
    pub second_signal: Option<Duration>,
}

/// Planned work, or silence. Places are numbered; each has one entry or, around a stop, two.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The entry of a place is stopped.
    Stop(usize, StopPlan),
    /// All entries are stopped, this long one after the other.
    StopAll(Duration, Vec<StopPlan>),
    /// The entry of a place is stopped, and its successor too as soon as it serves.
    StopTwice(usize, [StopPlan; 2]),
    /// An entry reloads its settings.
    Hangup(usize),
    /// Configurations, each after a pause, with these timeouts in milliseconds.
    Configurations(Vec<(Duration, u64)>),
    /// A backend server writes nothing for a time.
    Silence(usize, Duration),
}

/// The entries of a run. Each place has two, of which one runs, except around a stop.
#[derive(Debug)]
pub struct Places {
    fleet: Arc<Fleet>,
    /// The entry of each place that runs, by its index.
    current: Vec<tokio::sync::Mutex<usize>>,
    /// When each running entry was started.
    running: Mutex<BTreeMap<usize, Instant>>,
    stops: Mutex<Vec<Stop>>,
    versions: Mutex<Vec<Version>>,
}

impl Places {
    /// Starts the first entry of each place of a fleet that has two for each.
    pub fn start(fleet: Arc<Fleet>) -> Self {
        let count = fleet.entries.len() / 2;
        let current = (0..count).map(tokio::sync::Mutex::new).collect();
        let (running, stops, versions) = (Mutex::default(), Mutex::default(), Mutex::default());
        let places = Self { fleet, current, running, stops, versions };
        (0..count).for_each(|entry| places.start_entry(entry));
        (count..2 * count).for_each(|entry| places.fleet.hold_ports(entry));
        places
    }

    /// Entries that were started and have not ended.
    pub fn running(&self) -> Vec<usize> {
        self.lock_running().keys().copied().collect()
    }

    fn lock_running(&self) -> MutexGuard<'_, BTreeMap<usize, Instant>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address of an entry for callers.
    pub fn address(&self, entry: usize) -> SocketAddr {
        self.fleet.entries[entry].callers
    }

    /// The stops so far.
    pub fn stops(&self) -> Vec<Stop> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The configurations so far.
    pub fn versions(&self) -> Vec<Version> {
        self.versions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Publishes a configuration with a timeout of all routes.
    pub async fn publish(&self, timeout_ms: u64) {
        let sent_at = Instant::now();
        self.fleet.publish_with_timeout(timeout_ms).await;
        let timeout = Duration::from_millis(timeout_ms);
        let version = Version { timeout, sent_at, acknowledged_at: Instant::now() };
        self.versions.lock().unwrap_or_else(PoisonError::into_inner).push(version);
    }

    /// Carries out an event.
    pub async fn carry_out(&self, event: Event) {
        match event {
            Event::Stop(place, plan) => self.stop(place, plan).await,
            Event::StopAll(gap, plans) => {
                let stops = plans.into_iter().enumerate().map(|(place, plan)| async move {
                    sleep(gap * place as u32).await;
                    self.stop(place, plan).await;
                });
                join_all(stops).await;
            }
            Event::StopTwice(place, [first, second]) => {
                self.stop(place, first).await;
                sleep(START_TIME).await;
                self.stop(place, second).await;
            }
            Event::Hangup(entry) => self.hang_up(entry),
            Event::Configurations(series) => {
                for (pause, timeout_ms) in series {
                    sleep(pause).await;
                    self.publish(timeout_ms).await;
                }
            }
            Event::Silence(server, duration) => {
                self.fleet.servers[server].standin.silence(duration);
            }
        }
    }

    /// Stops the entries of all places at once, without successors.
    pub async fn stop_finally(&self) {
        let stops = self.current.iter().map(|current| async {
            let current = current.lock().await;
            self.end(*current, None).await;
        });
        join_all(stops).await;
    }

    /// Stops the entry of a place, unless it is being stopped.
    async fn stop(&self, place: usize, plan: StopPlan) {
        let Ok(mut current) = self.current[place].try_lock() else { return };
        let mut successor = *current;
        if let Successor::Before(lead) = plan.successor {
            successor = (*current + self.current.len()) % self.fleet.entries.len();
            self.start_entry(successor);
            sleep(lead).await;
        }
        self.end(*current, plan.second_signal).await;
        if let Successor::After(gap) = plan.successor {
            sleep(gap).await;
        }
        if successor == *current {
            self.start_entry(successor);
        }
        *current = successor;
    }

    /// Stops an entry as the platform does: it is killed if it outlasts its grace period.
    async fn end(&self, entry: usize, second_signal: Option<Duration>) {
        let daemon = &self.fleet.entries[entry].daemon;
        let from = Instant::now();
        daemon.signal(Signal::TERM);
        if let Some(gap) = second_signal {
            // An entry that ends before gets no second signal.
            if timeout(gap, daemon.ended()).await.is_err() {
                daemon.signal(Signal::TERM);
            }
        }
        let left = Duration::from_secs(GRACE_S).saturating_sub(from.elapsed());
        let is_killed = timeout(left, daemon.ended()).await.is_err();
        let until = Instant::now();
        self.lock_running().remove(&entry);
        if is_killed {
            daemon.signal(Signal::KILL);
            daemon.ended().await;
        }
        self.fleet.hold_ports(entry);
        let stop = Stop { entry, from, until, is_killed };
        self.stops.lock().unwrap_or_else(PoisonError::into_inner).push(stop);
    }

    fn start_entry(&self, entry: usize) {
        self.fleet.start_entry(entry);
        self.lock_running().insert(entry, Instant::now());
    }

    /// Makes an entry reload its settings unless it is just starting: the signal ends a program that
    /// does not expect it yet.
    fn hang_up(&self, entry: usize) {
        if self.lock_running().get(&entry).is_some_and(|since| since.elapsed() >= START_TIME) {
            self.fleet.entries[entry].daemon.signal(Signal::HUP);
        }
    }
}

/// Chooses the next event for a number of places and of backend servers.
pub fn random_event<R>(places: usize, servers: usize, rng: &mut R) -> Event
where
    R: Rng,
{
    let place = rng.random_range(0..places);
    match rng.random_range(0..12) {
        0..=2 => Event::Stop(place, random_plan(rng)),
        3 => Event::StopAll(Duration::ZERO, (0..places).map(|_| random_plan(rng)).collect()),
        4 => {
            let gap = random_time(STOP_GAP_MS, rng);
            Event::StopAll(gap, (0..places).map(|_| random_plan(rng)).collect())
        }
        5 => Event::StopTwice(place, [random_plan(rng), random_plan(rng)]),
        6 | 7 => Event::Hangup(rng.random_range(0..2 * places)),
        8 | 9 => {
            let count = rng.random_range(1..5);
            let version =
                |_| (random_time(CONFIGURATION_GAP_MS, rng), rng.random_range(TIMEOUT_MS));
            Event::Configurations((0..count).map(version).collect())
        }
        _ => Event::Silence(rng.random_range(0..servers), random_time(SERVER_SILENCE_MS, rng)),
    }
}

fn random_plan<R>(rng: &mut R) -> StopPlan
where
    R: Rng,
{
    let gap = random_time(SUCCESSOR_GAP_MS, rng);
    let successor =
        [Successor::Before(gap), Successor::AtEnd, Successor::After(gap)][rng.random_range(0..3)];
    let second_signal = rng.random_bool(0.3).then(|| random_time(SECOND_SIGNAL_MS, rng));
    StopPlan { successor, second_signal }
}

fn random_time<R>(range_ms: std::ops::Range<u64>, rng: &mut R) -> Duration
where
    R: Rng,
{
    Duration::from_millis(rng.random_range(range_ms))
}
