//! Requests of a rank, and the check that each answer comes of one version of the model.

use super::{Slot, World, is_leading};
use flamingowheel_backing::fake::FakeEngine;
use flamingowheel_group::intake::{Intake, IntakeState};
use flamingowheel_group::serve::DesiredServing;
use std::sync::Arc;
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

    fn state(&self) -> IntakeState {
        IntakeState {
            is_open: self.open.load(Ordering::SeqCst),
            in_progress: self.in_progress.load(Ordering::SeqCst),
        }
    }
}

impl World {
    /// Operators accept a version and adapters of the model.
    pub fn accept(&self, version: &str, adapters: &[&str]) {
        let version = Some(version.to_owned());
        let adapters = adapters.iter().map(|name| (*name).to_owned()).collect();
        self.wanted.send_replace(Some(DesiredServing { version, adapters }));
    }

    /// The requests of a rank.
    pub fn work(&self, rank: usize) -> &Arc<Traffic> {
        &self.slots[rank].work
    }

    /// Keeps all ranks at work, each request taking this long.
    pub fn run_traffic(self: &Arc<Self>, length: Duration) {
        let count = self.slots.len() as u32;
        for (rank, slot) in (0u32..).zip(&self.slots) {
            let (work, engine) = (Arc::clone(&slot.work), slot.engine.clone());
            let stop = self.stop.clone();
            tokio::spawn(async move {
                // Ranks are out of step with each other.
                sleep(length * rank / count).await;
                work.run(engine, length, stop).await;
            });
        }
    }

    /// Answers that began with one version of the model and ended with another.
    pub fn mixed_answers(&self) -> u32 {
        self.slots.iter().map(|slot| slot.work.mixed()).sum()
    }

    /// Ends the processes that don't coordinate.
    pub fn end_reserve(&self) {
        let processes = self.processes.lock().unwrap();
        let reserve = processes.iter().filter(|process| !is_leading(process));
        reserve.for_each(|process| process.running.abort());
    }

    /// Messages from coordinators to agents so far.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::SeqCst)
    }

    /// Orders that engines carried out so far.
    pub fn orders(&self) -> u64 {
        let count = |slot: &Slot| slot.engine.peek_state().counters.get("orders").copied();
        self.slots.iter().filter_map(count).sum()
    }

    /// Whether some rank takes new work.
    pub fn takes_work(&self) -> bool {
        self.slots.iter().any(|slot| slot.work.state().is_open)
    }

    /// Whether every engine serves this version and its agent takes work.
    pub fn all_serve(&self, version: &str) -> bool {
        let serves =
            |slot: &Slot| slot.engine.peek_state().version == version && slot.work.state().is_open;
        self.slots.iter().all(serves)
    }
}
