//! Simulated requests to ranks, and a check that each answer comes from one model version.

use super::{Slot, World, is_acting};
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
    /// Number of agent processes so far; requests of earlier ones don't change the counters.
    generation: AtomicU32,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            open: AtomicBool::new(true),
            in_progress: AtomicU32::new(0),
            mixed: AtomicU32::new(0),
            finished: AtomicU32::new(0),
            generation: AtomicU32::new(0),
        }
    }
}

impl Traffic {
    /// Resets the state for a new agent process: it admits requests and has none in progress.
    pub fn restart(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
        self.in_progress.store(0, Ordering::SeqCst);
        self.open.store(true, Ordering::SeqCst);
    }

    /// Number of answers that began with one version and ended with another.
    pub fn mixed(&self) -> u32 {
        self.mixed.load(Ordering::SeqCst)
    }

    /// Number of complete answers.
    pub fn finished(&self) -> u32 {
        self.finished.load(Ordering::SeqCst)
    }

    /// Runs one request after the other while the intake is open.
    pub async fn run(&self, engine: FakeEngine, length: Duration, stop: CancellationToken) {
        while !stop.is_cancelled() {
            // An engine that was started held and has no map begins no request.
            let is_ready = *engine.subscribe_up().borrow() && engine.peek_state().map_version > 0;
            if self.open.load(Ordering::SeqCst) && is_ready {
                self.run_one(&engine, length).await;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Runs one request, which ends after `length`.
    pub async fn run_one(&self, engine: &FakeEngine, length: Duration) {
        let generation = self.generation.load(Ordering::SeqCst);
        let began = engine.peek_state();
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        sleep(length).await;
        if self.generation.load(Ordering::SeqCst) != generation {
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
    /// Sets the model version and adapters that operators accepted.
    pub fn set_desired_serving(&self, version: &str, adapters: &[&str]) {
        let version = Some(version.to_owned());
        let adapters = adapters.iter().map(|name| (*name).to_owned()).collect();
        self.desired_serving.send_replace(Some(DesiredServing { version, adapters }));
    }

    /// The simulated requests to a rank.
    pub fn traffic(&self, rank: usize) -> &Arc<Traffic> {
        &self.slots[rank].traffic
    }

    /// Runs requests of this length at all ranks.
    pub fn run_traffic(self: &Arc<Self>, length: Duration) {
        let count = self.slots.len() as u32;
        for (rank, slot) in (0u32..).zip(&self.slots) {
            let (traffic, engine) = (Arc::clone(&slot.traffic), slot.engine.clone());
            let stop = self.stop.clone();
            tokio::spawn(async move {
                // Requests begin at different times on each rank.
                sleep(length * rank / count).await;
                traffic.run(engine, length, stop).await;
            });
        }
    }

    /// Number of answers that began with one model version and ended with another.
    pub fn mixed_answers(&self) -> u32 {
        self.slots.iter().map(|slot| slot.traffic.mixed()).sum()
    }

    /// Ends the standby coordinators.
    pub fn end_standby(&self) {
        let processes = self.processes.lock().unwrap();
        let standby = processes.iter().filter(|process| !is_acting(process));
        standby.for_each(|process| process.abort_handle.abort());
    }

    /// Number of messages from coordinators to agents so far.
    pub fn messages(&self) -> u64 {
        self.messages.load(Ordering::SeqCst)
    }

    /// Number of orders that engines have carried out so far.
    pub fn orders(&self) -> u64 {
        let count = |slot: &Slot| slot.engine.peek_state().counters.get("orders").copied();
        self.slots.iter().filter_map(count).sum()
    }

    /// Whether the intake of some rank is open.
    pub fn any_intake_open(&self) -> bool {
        self.slots.iter().any(|slot| slot.traffic.state().is_open)
    }

    /// Whether every engine serves this version and every intake is open.
    pub fn all_serve(&self, version: &str) -> bool {
        let serves = |slot: &Slot| {
            slot.engine.peek_state().version == version && slot.traffic.state().is_open
        };
        self.slots.iter().all(serves)
    }
}
