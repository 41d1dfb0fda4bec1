//! What an entry can take: its machine's size, and how much of it is left.
//!
//! The load this answers: machines of unequal size, of which some turn slow, are choked or run full
//! while callers keep coming. An entry judges itself, so that no entry needs another's news to be
//! judged. What it announces changes by steps, with hysteresis and a least interval, because each
//! change is a write to the store and a reason for callers to move.

use std::collections::VecDeque;
use std::time::Duration;

/// What a usual request takes of a machine: an answer of some dozen events over two seconds.
const REQUEST_CPU_S: f64 = 0.004;
const REQUEST_BYTES: f64 = 16_384.0;
const REQUEST_HELD_BYTES_S: f64 = 262_144.0;
const REQUEST_DESCRIPTORS_S: f64 = 4.0;

/// Memory of a process without requests.
const IDLE_BYTES: f64 = 50_000_000.0;

/// Ratio between neighbouring steps of the announced factors.
const STEP: f64 = 1.19;

/// Distance from the announced step, in steps, at which another one is announced.
const HYSTERESIS_STEPS: f64 = 0.8;

/// Smallest factor: an entry is never left without new callers.
const MIN_FACTOR: f64 = 0.1;

/// Least time between a change and one to a smaller or a larger factor.
const LOWER_INTERVAL: Duration = Duration::from_millis(1_000);
const RAISE_INTERVAL: Duration = Duration::from_millis(3_000);

/// Slowdown that is taken for a difference between requests.
const USUAL_SLOWDOWN: f64 = 2.0;

/// Share of its processor time below which an entry's speed delays no caller, and is not judged: the
/// few times that it runs differ much.
const IDLE: f64 = 0.05;

/// Time for which the usual cost is remembered.
const USUAL_WINDOW: Duration = Duration::from_secs(120);

/// Time after a start in which costs are those of new connections.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time constant of the mean values.
const SMOOTHING: Duration = Duration::from_millis(1_000);

/// Share of its processor time, or of the fuller of its descriptors and its memory for callers,
/// above which an entry gets fewer callers, and below which it gets more again.
const FULL: f64 = 0.85;
const ROOMY: f64 = 0.65;

/// Factor by which room returns.
const ROOM_RETURN: f64 = 1.25;

/// The resources of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resources {
    /// Processor time, in cores.
    pub cpu_cores: f64,
    /// Bandwidth of its link, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// File descriptors.
    pub max_descriptors: u64,
}

impl Resources {
    /// Usual requests per second that the scarcest resource allows.
    ///
    /// ```
    /// use flamingowheel_policy::capacity::Resources;
    /// let large = Resources {
    ///     cpu_cores: 0.5,
    ///     link_bytes_per_s: 25_000_000,
    ///     memory_bytes: 512_000_000,
    ///     max_descriptors: 8_192,
    /// };
    /// let small = Resources { cpu_cores: 0.25, ..large };
    /// let choked = Resources { link_bytes_per_s: 100_000, ..large };
    /// assert_eq!(small.requests_per_s(), large.requests_per_s() / 2.0);
    /// assert!(choked.requests_per_s() < small.requests_per_s());
    /// ```
    #[must_use]
    pub fn requests_per_s(&self) -> f64 {
        let spare_bytes = (self.memory_bytes as f64 - IDLE_BYTES).max(0.0);
        let limits = [
            self.cpu_cores / REQUEST_CPU_S,
            self.link_bytes_per_s as f64 / REQUEST_BYTES,
            spare_bytes / REQUEST_HELD_BYTES_S,
            self.max_descriptors as f64 / REQUEST_DESCRIPTORS_S,
        ];
        limits.into_iter().fold(f64::INFINITY, f64::min).max(1.0)
    }
}

/// What an entry sees of itself between two readings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// Mean time for which its traffic threads ran each time they woke up; `None` if none did.
    pub run_time: Option<Duration>,
    /// Share of the time for which they ran.
    pub busy: f64,
    /// The fuller of its descriptors and its memory for callers, as a share.
    pub held: f64,
}

/// What an entry announces of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Factors {
    /// Its speed, as a share of its usual one.
    pub speed: f64,
    /// 1 while it has room for more callers, less the more it is overrun.
    pub room: f64,
}

impl Factors {
    /// The factors of an entry at its usual speed with room for more.
    pub const WHOLE: Self = Self { speed: 1.0, room: 1.0 };
}

/// Follows an entry's load.
#[derive(Debug)]
pub struct LoadGauge {
    started_at: Duration,
    read_at: Duration,
    run_time_s: Option<f64>,
    busy: f64,
    held: f64,
    /// Smallest mean run time of each half of the window, with the time at which the half began.
    usual: VecDeque<(Duration, f64)>,
    room: f64,
    room_changed_at: Duration,
    announced: Factors,
    announced_at: Duration,
}

impl LoadGauge {
    /// Creates the gauge of an entry that starts now.
    ///
    /// ```
    /// use flamingowheel_policy::capacity::{Factors, LoadGauge, Reading};
    /// use std::time::Duration;
    /// let mut gauge = LoadGauge::new(Duration::ZERO);
    /// let reading = |micros| Reading {
    ///     run_time: Some(Duration::from_micros(micros)),
    ///     busy: 0.3,
    ///     held: 0.1,
    /// };
    /// for second in 1..30 {
    ///     assert_eq!(gauge.update(reading(100), Duration::from_secs(second)), None);
    /// }
    /// let slow = (30..34).filter_map(|s| gauge.update(reading(400), Duration::from_secs(s))).last();
    /// assert!(slow.is_some_and(|factors| factors.speed < 0.35 && factors.room == 1.0));
    /// ```
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            read_at: now,
            run_time_s: None,
            busy: 0.0,
            held: 0.0,
            usual: VecDeque::new(),
            room: 1.0,
            room_changed_at: now,
            announced: Factors::WHOLE,
            announced_at: now,
        }
    }

    /// What was announced last.
    #[must_use]
    pub fn announced(&self) -> Factors {
        self.announced
    }

    /// Takes a reading; returns the factors to announce if they have changed.
    pub fn update(&mut self, reading: Reading, now: Duration) -> Option<Factors> {
        self.average(reading, now);
        self.remember_usual(now);
        self.follow_room(now);
        let current = Factors { speed: self.speed(), room: self.room };
        let next = Factors {
            speed: step(self.announced.speed, current.speed),
            room: step(self.announced.room, current.room),
        };
        let falls = next.speed < self.announced.speed || next.room < self.announced.room;
        let interval = if falls { LOWER_INTERVAL } else { RAISE_INTERVAL };
        if next == self.announced || now.saturating_sub(self.announced_at) < interval {
            return None;
        }
        self.announced = next;
        self.announced_at = now;
        Some(next)
    }

    fn average(&mut self, reading: Reading, now: Duration) {
        let elapsed = now.saturating_sub(self.read_at).as_secs_f64();
        self.read_at = now;
        let share = 1.0 - (-elapsed / SMOOTHING.as_secs_f64()).exp();
        self.busy += share * (reading.busy - self.busy);
        self.held += share * (reading.held - self.held);
        if self.busy < IDLE {
            self.run_time_s = None;
        } else if let Some(run_time) = reading.run_time.map(|run_time| run_time.as_secs_f64()) {
            let mean = self.run_time_s.unwrap_or(run_time);
            self.run_time_s = Some(mean + share * (run_time - mean));
        }
    }

    /// Keeps the smallest mean run time of the window: a machine that is slow for longer than that
    /// is taken as it is.
    fn remember_usual(&mut self, now: Duration) {
        let Some(run_time_s) = self.run_time_s else {
            return;
        };
        if now.saturating_sub(self.started_at) < WARM_UP {
            return;
        }
        let half = USUAL_WINDOW / 2;
        match self.usual.back_mut() {
            Some((since, least)) if now.saturating_sub(*since) < half => {
                *least = least.min(run_time_s);
            }
            _ => self.usual.push_back((now, run_time_s)),
        }
        while self.usual.len() > 2 {
            self.usual.pop_front();
        }
    }

    fn speed(&self) -> f64 {
        let usual = self.usual.iter().map(|(_, least)| *least).fold(f64::INFINITY, f64::min);
        let Some(run_time_s) = self.run_time_s.filter(|_| usual.is_finite()) else {
            return 1.0;
        };
        let speed = usual / run_time_s;
        if speed * USUAL_SLOWDOWN >= 1.0 { 1.0 } else { speed.max(MIN_FACTOR) }
    }

    /// Gives up room while the entry is full and takes it back by steps, with a pause after each for
    /// callers to follow.
    fn follow_room(&mut self, now: Duration) {
        let full = self.busy.max(self.held);
        let since = now.saturating_sub(self.room_changed_at);
        let next = if full > FULL && since >= LOWER_INTERVAL {
            (self.room * FULL / full).min(self.room / STEP).max(MIN_FACTOR)
        } else if full < ROOMY && since >= RAISE_INTERVAL {
            (self.room * ROOM_RETURN).min(1.0)
        } else {
            return;
        };
        if next != self.room {
            self.room = next;
            self.room_changed_at = now;
        }
    }
}

/// The announced step, or the one at `current` if that is far enough.
fn step(announced: f64, current: f64) -> f64 {
    let distance = (current / announced).ln().abs() / STEP.ln();
    if distance < HYSTERESIS_STEPS && current < 1.0 {
        return announced;
    }
    let steps = (current.ln() / STEP.ln()).round();
    STEP.powf(steps).clamp(MIN_FACTOR, 1.0)
}
