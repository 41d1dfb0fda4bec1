//! Fault injection and observation for tests.

use super::cache::PrefixCache;
use super::{FakeEngine, OrderFault, Process, RunCount, State};
use crate::backend::{BackendError, LoadReport};
use crate::fake::lock;
use crate::orders::{EngineState, ExpertMap};
use bytes::Bytes;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

impl FakeEngine {
    /// Starts a new process; the old one, if any, is killed with all its requests.
    pub fn restart(&self) {
        self.end_process();
        let mut state = lock(&self.shared.state);
        state.process_starts += 1;
        let id = xxh3_64_with_seed(&state.process_starts.to_be_bytes(), self.shared.seed);
        let started_at = Instant::now();
        state.process = Some(Process { id, started_at, ended: CancellationToken::new() });
        let held_after_step = self.shared.settings.starts_held.then_some(0);
        state.reported = EngineState { process_id: id, held_after_step, ..EngineState::default() };
        state.map = ExpertMap::default();
        state.cache = PrefixCache::new(self.shared.settings.cache_blocks);
        record_load(&mut state);
        drop(state);
        self.shared.up.send_replace(true);
    }

    /// Kills the process: requests in progress are lost and connections refused until a restart.
    pub fn crash(&self) {
        if !self.end_process() {
            return;
        }
        lock(&self.shared.state).crashes += 1;
        let Some(restart_delay) = self.shared.settings.restart_after else { return };
        let this = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(restart_delay).await;
            if this.process().is_err() {
                this.restart();
            }
        });
    }

    fn end_process(&self) -> bool {
        let running = lock(&self.shared.state).process.take();
        let Some(process) = running else { return false };
        process.ended.cancel();
        self.shared.up.send_replace(false);
        true
    }

    /// Adds to a counter that the engine reports with its state.
    pub fn add_to_counter(&self, name: &str, amount: u64) {
        let mut state = lock(&self.shared.state);
        *state.reported.counters.entry(name.to_owned()).or_default() += amount;
    }

    /// Makes any request whose body contains `part` crash the process.
    pub fn crash_on<B>(&self, part: B)
    where
        B: Into<Bytes>,
    {
        lock(&self.shared.state).crash_on.push(part.into());
    }

    /// Stops the engine from answering without closing connections, or lets it continue.
    pub fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.send_replace(frozen);
    }

    /// Whether the engine has stopped answering.
    pub fn is_frozen(&self) -> bool {
        *self.shared.frozen.borrow()
    }

    /// Subscribes to whether the process is up.
    pub fn subscribe_up(&self) -> watch::Receiver<bool> {
        self.shared.up.subscribe()
    }

    /// Applies a fault to the next order; several faults apply to successive orders.
    pub fn inject_order_fault(&self, fault: OrderFault) {
        lock(&self.shared.state).order_faults.push_back(fault);
    }

    /// Removes order faults that have not been applied yet.
    pub fn clear_order_faults(&self) {
        lock(&self.shared.state).order_faults.clear();
    }

    /// Numbers the next `count` cache events without publishing them.
    pub fn lose_cache_events(&self, count: usize) {
        lock(&self.shared.state).cache.lose_events(count);
    }

    /// How often a call with this id ran.
    pub fn runs_of_call(&self, id: &str) -> RunCount {
        lock(&self.shared.state).by_call.get(id).copied().unwrap_or_default()
    }

    /// How often this body ran, under any id.
    pub fn runs_of_body(&self, body: &[u8]) -> RunCount {
        lock(&self.shared.state).by_body.get(body).copied().unwrap_or_default()
    }

    /// All bodies that ran and how often.
    pub fn runs(&self) -> Vec<(Bytes, RunCount)> {
        let state = lock(&self.shared.state);
        state.by_body.iter().map(|(body, count)| (body.clone(), *count)).collect()
    }

    /// Number of crashes so far.
    pub fn crashes(&self) -> u64 {
        lock(&self.shared.state).crashes
    }

    /// The actual state, regardless of injected faults.
    pub fn peek_state(&self) -> EngineState {
        lock(&self.shared.state).reported.clone()
    }

    /// The expert map in use, regardless of injected faults.
    pub fn peek_map(&self) -> ExpertMap {
        lock(&self.shared.state).map.clone()
    }

    /// The last step that the engine may run now; `None` while it is frozen or down.
    pub(in crate::fake) fn step_limit(&self) -> Option<u64> {
        if self.is_frozen() {
            return None;
        }
        let state = lock(&self.shared.state);
        state.process.as_ref()?;
        Some(state.reported.held_after_step.unwrap_or(u64::MAX))
    }

    pub(in crate::fake) fn set_step(&self, step: u64) {
        lock(&self.shared.state).reported.step = step;
    }

    /// The newest report that is older than the lag.
    pub(super) fn lagging_report(&self) -> LoadReport {
        let mut state = lock(&self.shared.state);
        let lag = self.shared.settings.load_report_lag;
        let now = Instant::now();
        while state.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            state.reports.pop_front();
        }
        let Some((_, report)) = state.reports.front() else { return LoadReport::default() };
        let mut report = report.clone();
        // Uptime and process id are the current ones; only the load lags.
        if let Some(process) = &state.process {
            report.uptime_ms = millis(process.started_at.elapsed());
            report.process_id = process.id;
        }
        report
    }

    pub(super) fn update_load<F>(&self, update: F)
    where
        F: FnOnce(&mut State),
    {
        let mut state = lock(&self.shared.state);
        update(&mut state);
        record_load(&mut state);
    }

    pub(super) fn update_run_counts<F>(&self, id: &str, body: &Bytes, update: F)
    where
        F: Fn(&mut RunCount),
    {
        let mut state = lock(&self.shared.state);
        update(state.by_call.entry(id.to_owned()).or_default());
        update(state.by_body.entry(body.clone()).or_default());
    }

    /// Waits without a timeout until the engine is not frozen.
    pub(super) async fn wait_until_unfrozen(&self) -> Result<(), BackendError> {
        let mut frozen = self.shared.frozen.subscribe();
        frozen.wait_for(|frozen| !frozen).await.map(drop).map_err(|_| BackendError::Lost)
    }
}

fn record_load(state: &mut State) {
    let report = LoadReport {
        running: u32::try_from(state.running).unwrap_or(u32::MAX),
        waiting: u32::try_from(state.waiting.len()).unwrap_or(u32::MAX),
        ..LoadReport::default()
    };
    state.reports.push_back((Instant::now(), report));
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
