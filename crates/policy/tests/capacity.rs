//! What entries announce of their load.

use flamingowheel_policy::capacity::{Factors, LoadGauge, Reading};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(250);

/// Feeds a gauge, and counts what it announces.
struct Machine {
    gauge: LoadGauge,
    now: Duration,
    announced: Vec<Factors>,
}

impl Machine {
    fn new() -> Self {
        Self { gauge: LoadGauge::new(Duration::ZERO), now: Duration::ZERO, announced: Vec::new() }
    }

    /// Runs for `seconds`; `reading` gets the number of the tick and the present factors.
    fn run<F>(&mut self, seconds: u32, reading: F)
    where
        F: Fn(u32, Factors) -> Reading,
    {
        for tick in 0..seconds * 4 {
            self.now += TICK;
            let reading = reading(tick, self.gauge.announced());
            self.announced.extend(self.gauge.update(reading, self.now));
        }
    }
}

fn reading(run_time_us: u64, busy: f64, held: f64) -> Reading {
    Reading { run_time: Some(Duration::from_micros(run_time_us)), busy, held }
}

#[test]
fn update_usual_nothing_announced() {
    let mut machine = Machine::new();
    machine.run(600, |tick, _| reading(80 + u64::from(tick * 7 % 40), 0.5, 0.2));
    assert_eq!(machine.announced, []);
}

/// Guards against a machine that turns slow and keeps its callers.
#[test]
fn update_slow_lowered_then_whole_again() {
    let mut machine = Machine::new();
    machine.run(20, |_, _| reading(100, 0.3, 0.0));
    machine.run(4, |_, _| reading(500, 0.6, 0.0));
    let slow = machine.gauge.announced().speed;
    assert!((0.16..0.26).contains(&slow), "{slow}");
    machine.run(12, |_, _| reading(100, 0.3, 0.0));
    assert_eq!(machine.gauge.announced(), Factors::WHOLE);
    assert!(machine.announced.len() <= 8, "{:?}", machine.announced);
}

/// Guards against a full entry that gets as many callers as before, and against one that gets none.
#[test]
fn update_descriptors_full_lowered_but_kept() {
    let mut machine = Machine::new();
    machine.run(20, |_, _| reading(100, 0.3, 0.3));
    machine.run(5, |_, _| reading(100, 0.3, 0.98));
    assert!(machine.gauge.announced().room < 0.65);
    machine.run(300, |_, _| reading(100, 0.3, 0.98));
    assert!(machine.gauge.announced().room >= 0.1);
}

/// Guards against load that swings because callers follow the announced room.
#[test]
fn update_load_follows_room_settles() {
    let mut machine = Machine::new();
    let demand = 1.3;
    let load = move |_, factors: Factors| reading(100, (demand * factors.room).min(1.0), 0.0);
    machine.run(30, load);
    machine.announced.clear();
    machine.run(120, load);
    assert!(machine.announced.len() <= 2, "{:?}", machine.announced);
    let busy = demand * machine.gauge.announced().room;
    assert!((0.6..0.9).contains(&busy), "{busy}");
}

/// Guards against a process without requests that is taken for a slow one.
#[test]
fn update_idle_nothing_announced() {
    let mut machine = Machine::new();
    machine.run(60, |_, _| Reading { run_time: None, busy: 0.0, held: 0.0 });
    assert_eq!(machine.announced, []);
}

/// Guards against an entry that is taken for slow when its first callers come.
#[test]
fn update_idle_then_callers_nothing_announced() {
    let mut machine = Machine::new();
    machine.run(20, |tick, _| reading(10 + u64::from(tick % 5), 0.001, 0.0));
    machine.run(20, |tick, _| reading(60 + u64::from(tick * 7 % 40), 0.004, 0.0));
    machine.run(20, |tick, _| reading(80 + u64::from(tick * 7 % 40), 0.3, 0.0));
    machine.run(20, |tick, _| reading(10 + u64::from(tick % 5), 0.001, 0.0));
    assert_eq!(machine.announced, []);
}
