//! Measures what this entry can take, and announces it.

use crate::held::Held;
use crate::metrics::Metrics;
use crate::view::{CapacityRecord, Views};
use flamingowheel_fleet::ProcessSettings;
use flamingowheel_policy::capacity::{Factors, LoadGauge, Reading, Resources};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time between readings.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// The announced capacity of an entry that has read nothing yet.
pub fn initial(settings: &ProcessSettings) -> CapacityRecord {
    let resources = Resources {
        cpu_cores: settings.cpu_cores,
        link_bytes_per_s: settings.link_bytes_per_s,
        memory_bytes: settings.memory_bytes,
        max_descriptors: settings.max_descriptors,
    };
    let requests_per_s = resources.requests_per_s().round() as u32;
    record(requests_per_s, Factors::WHOLE)
}

fn record(requests_per_s: u32, factors: Factors) -> CapacityRecord {
    let percent = |share: f64| (share * 100.0).round() as u8;
    CapacityRecord {
        requests_per_s,
        speed_percent: percent(factors.speed),
        room_percent: percent(factors.room),
    }
}

/// Running times and wake-ups of the traffic threads so far.
#[derive(Clone, Copy, Debug, Default)]
struct Runs {
    time: Duration,
    count: u64,
}

impl Runs {
    fn of(threads: &[Handle]) -> Self {
        threads.iter().map(Handle::metrics).fold(Self::default(), |runs, thread| Self {
            time: runs.time + thread.worker_total_busy_duration(0),
            count: runs.count + thread.worker_park_count(0),
        })
    }
}

/// Reads this entry's load and announces changes.
#[derive(Debug)]
pub struct CapacityMonitor {
    /// The traffic threads.
    pub threads: Vec<Handle>,
    /// What is held for callers.
    pub held: Arc<Held>,
    /// The newest view: load counts only where machines differ.
    pub views: Views,
    /// Output: the announced capacity.
    pub announced: watch::Sender<Option<CapacityRecord>>,
    /// This entry's metrics.
    pub metrics: Arc<Metrics>,
}

impl CapacityMonitor {
    /// Runs until dropped. `initial` is what is announced at the start.
    pub async fn run(self, initial: CapacityRecord) {
        let origin = Instant::now();
        let mut gauge = LoadGauge::new(Duration::ZERO);
        let (mut runs, mut read_at) = (Runs::of(&self.threads), origin);
        let mut ticks = interval(READ_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        ticks.tick().await;
        loop {
            ticks.tick().await;
            let (now, current) = (Instant::now(), Runs::of(&self.threads));
            let reading = self.reading(runs, current, now - read_at);
            (runs, read_at) = (current, now);
            gauge.update(reading, now - origin);
            let capacity = record(initial.requests_per_s, gauge.announced());
            self.metrics.set_capacity(capacity, self.held.bytes(), self.held.connections());
            let is_new = *self.announced.borrow() != Some(capacity);
            if is_new && self.views.load().is_uneven {
                self.announce(capacity, reading);
            }
        }
    }

    fn reading(&self, before: Runs, now: Runs, elapsed: Duration) -> Reading {
        let time = now.time.saturating_sub(before.time);
        let count = now.count.saturating_sub(before.count);
        let available = elapsed.as_secs_f64() * self.threads.len().max(1) as f64;
        Reading {
            run_time: u32::try_from(count).ok().and_then(|count| time.checked_div(count)),
            busy: (time.as_secs_f64() / available).min(1.0),
            held: self.held.share(),
        }
    }

    fn announce(&self, capacity: CapacityRecord, reading: Reading) {
        tracing::info!(
            requests_per_s = capacity.requests_per_s,
            speed_percent = capacity.speed_percent,
            room_percent = capacity.room_percent,
            run_time_us = reading.run_time.map(|run_time| run_time.as_micros() as u64),
            busy = reading.busy,
            held = reading.held,
            held_bytes = self.held.bytes(),
            connections = self.held.connections(),
            "capacity changed"
        );
        self.announced.send_replace(Some(capacity));
    }
}
