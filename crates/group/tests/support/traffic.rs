//! Requests of a rank, and the check that each answer comes of one version of the model.

use flamingowheel_group::intake::{Intake, Work};
use flamingowheel_platform::fake::FakeEngine;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

#[derive(Debug)]
pub struct Traffic {
    open: AtomicBool,
    in_progress: AtomicU32,
    mixed: AtomicU32,
    finished: AtomicU32,
    /// Requests of an earlier agent process are its own matter.
    life: AtomicU32,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            open: AtomicBool::new(true),
            in_progress: AtomicU32::new(0),
            mixed: AtomicU32::new(0),
            finished: AtomicU32::new(0),
            life: AtomicU32::new(0),
        }
    }
}

impl Traffic {
    /// The agent's process is another.
    pub fn restart(&self) {
        self.life.fetch_add(1, Ordering::SeqCst);
        self.in_progress.store(0, Ordering::SeqCst);
        self.open.store(true, Ordering::SeqCst);
    }

    /// Answers that were begun by one version and ended by another.
    pub fn mixed(&self) -> u32 {
        self.mixed.load(Ordering::SeqCst)
    }

    /// Answers that ended whole.
    pub fn finished(&self) -> u32 {
        self.finished.load(Ordering::SeqCst)
    }

    /// Runs one request after the other for as long as new ones are taken.
    pub async fn run(&self, engine: FakeEngine, length: Duration, stop: CancellationToken) {
        while !stop.is_cancelled() {
            // A process that was started held and has no map begins nothing.
            let is_up = *engine.up().borrow() && engine.peek_state().map_version > 0;
            if self.open.load(Ordering::SeqCst) && is_up {
                self.run_one(&engine, length).await;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Runs one request, which ends when its time is over and the engine is not held.
    pub async fn run_one(&self, engine: &FakeEngine, length: Duration) {
        let life = self.life.load(Ordering::SeqCst);
        let began = engine.peek_state();
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        sleep(length).await;
        if self.life.load(Ordering::SeqCst) != life {
            return;
        }
        self.in_progress.fetch_sub(1, Ordering::SeqCst);
        let ended = engine.peek_state();
        if ended.process_id != began.process_id {
            return;
        }
        self.finished.fetch_add(1, Ordering::SeqCst);
        if ended.version != began.version {
            self.mixed.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl Intake for Traffic {
    fn set_open(&self, open: bool) {
        self.open.store(open, Ordering::SeqCst);
    }

    fn work(&self) -> Work {
        Work {
            is_open: self.open.load(Ordering::SeqCst),
            in_progress: self.in_progress.load(Ordering::SeqCst),
        }
    }
}
