//! Polls one rank's engine and sends it the orders that bring it to the current target.

use crate::engines::{Engine, Engines};
use crate::rescue::{self, StalledPass};
use flamingowheel_fleet::engine::{EngineReport, GroupState, MapOrder, OrderAnswer};
use flamingowheel_protocol::packed::Packed;
use flamingowheel_protocol::ranks::{ExpertCounts, Progress, RankState, RankTarget, RankUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, watch};
use tokio::time::{Instant, sleep};

/// Interval between progress updates of a rank; they also serve as its agent's heartbeat.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between updates with choices: one or two passes, so that shifts of demand are detected
/// early.
pub const COUNTS_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an accepted order without visible effect is sent again. Engines may answer an
/// order and execute it seconds later.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Timeout for another rank's engine to answer a hold, in milliseconds: a few network latencies
/// between data centres of one region.
const HOLD_TIMEOUT_MS: u64 = 30;

/// Number of updates that a slow receiver may lag behind.
pub const UPDATE_CAPACITY: usize = 64;

/// How often an engine is polled, and for what.
#[derive(Clone, Copy, Debug)]
pub struct Polling {
    /// Interval between reports while the target is reached.
    idle: Duration,
    /// Interval between reports while the target is not reached: a fraction of a pass.
    busy: Duration,
    /// Whether the engine runs on this VM; if so, its counts and lists of experts are read too.
    is_local: bool,
}

impl Polling {
    /// For the engine on this VM, where calls are free.
    pub const LOCAL: Self =
        Self { idle: Duration::from_millis(50), busy: Duration::from_millis(12), is_local: true };

    /// For an engine on another VM whose agent is missing.
    pub const REMOTE: Self =
        Self { idle: Duration::from_millis(400), busy: Duration::from_millis(60), is_local: false };
}

/// The latest state of the rank, sent first on each new connection.
#[derive(Clone, Debug, Default)]
pub struct RankSnapshot {
    /// State of the rank; `None` until its engine first answered.
    pub state: Option<RankState>,
    /// Version of the map in use and the packed list of experts that the rank holds under it.
    pub experts: Option<(u64, Packed)>,
}

/// Polls an engine, publishes updates and brings the engine to the target.
#[derive(Debug)]
pub struct EnginePoller<E>
where
    E: Engines,
{
    engines: E,
    client: E::Engine,
    polling: Polling,
    targets: watch::Receiver<RankTarget>,
    updates: broadcast::Sender<RankUpdate>,
    snapshot: watch::Sender<RankSnapshot>,
    last_counts: Option<CountsSample>,
    counts_read_at: Option<Instant>,
    published_at: Option<Instant>,
    /// Epoch and map version for which the experts were last sent.
    experts_sent_for: Option<(u64, u64)>,
    /// The target of the last order, and when the order was sent.
    last_order: Option<(RankTarget, Instant)>,
    /// The pass at which the group has stalled, and since when.
    stalled: Option<(u64, Instant)>,
    /// Epoch and pass of the last hold that was given.
    gave_hold: Option<(u64, u64)>,
    /// Engines of the group, by rank, and the epoch in which they form it.
    group_engines: Option<(u64, Arc<Vec<SocketAddr>>)>,
}

#[derive(Debug)]
struct CountsSample {
    epoch: u64,
    started_ms: u64,
    pass: u64,
    counts: Vec<u64>,
}

impl<E> EnginePoller<E>
where
    E: Engines,
{
    /// Creates a poller of the engine behind `client`; `engines` are those of its group.
    pub fn new(
        engines: E,
        client: E::Engine,
        polling: Polling,
        targets: watch::Receiver<RankTarget>,
        updates: broadcast::Sender<RankUpdate>,
    ) -> Self {
        Self {
            engines,
            client,
            polling,
            targets,
            updates,
            snapshot: watch::Sender::new(RankSnapshot::default()),
            last_counts: None,
            counts_read_at: None,
            published_at: None,
            experts_sent_for: None,
            last_order: None,
            stalled: None,
            gave_hold: None,
            group_engines: None,
        }
    }

    /// Returns the latest state of the rank; it is kept up to date.
    pub fn snapshot(&self) -> watch::Receiver<RankSnapshot> {
        self.snapshot.subscribe()
    }

    /// Polls until dropped.
    pub async fn run(mut self) {
        let mut last_state = RankState::default();
        let mut is_reached = true;
        loop {
            let changed = self.targets.changed();
            let pause = if is_reached { self.polling.idle } else { self.polling.busy };
            tokio::select! {
                () = sleep(pause) => {}
                changed = changed => if changed.is_err() { return },
            }
            let report = match self.client.report().await {
                Ok(report) => report,
                Err(error) => {
                    tracing::debug!(%error, "can't read the engine's report");
                    sleep(self.polling.idle).await;
                    continue;
                }
            };
            let Some(mut state) = rank_state(&report) else {
                continue;
            };
            if self.polling.is_local {
                self.check_for_stall(&state);
            }
            is_reached = self.send_due_order(&state).await;
            let gave_hold = self.gave_hold.filter(|(epoch, _)| *epoch == state.epoch);
            state.gave_hold = gave_hold.map(|(_, pass)| pass);
            self.publish_state(&last_state, &state);
            last_state = state;
            if self.polling.is_local {
                self.publish_experts(&last_state).await;
                self.publish_choices(&report).await;
            }
        }
    }

    fn publish_state(&mut self, last: &RankState, state: &RankState) {
        let now = Instant::now();
        let is_due = self.published_at.is_none_or(|at| now - at >= PROGRESS_INTERVAL);
        self.snapshot.send_if_modified(|snapshot| {
            snapshot.state = Some(state.clone());
            false
        });
        if needs_state_update(last, state) {
            self.publish(RankUpdate::State(state.clone()));
        } else if is_due || self.issues_hold(state.rank) {
            let RankState { pass, running, waiting, pace, .. } = *state;
            self.publish(RankUpdate::Progress(Progress { pass, running, waiting, pace }));
        } else {
            return;
        }
        self.published_at = Some(now);
    }

    fn publish(&self, update: RankUpdate) {
        // Fails only while nobody is connected.
        let _ = self.updates.send(update);
    }

    /// Publishes the rank's experts when the map in use has changed.
    async fn publish_experts(&mut self, state: &RankState) {
        let map = (state.epoch, state.map_version);
        if self.experts_sent_for == Some(map) {
            return;
        }
        let held = match self.client.held_experts().await {
            Ok(held) if held.map_version == state.map_version => held,
            Ok(_) => return,
            Err(error) => {
                tracing::debug!(%error, "can't read the engine's experts");
                return;
            }
        };
        let (map_version, packed) = (held.map_version, Packed::pack(&held.experts));
        let Some(experts) = packed else {
            tracing::error!("can't encode the list of experts");
            return;
        };
        self.experts_sent_for = Some(map);
        self.snapshot.send_if_modified(|snapshot| {
            snapshot.experts = Some((map_version, experts.clone()));
            false
        });
        self.publish(RankUpdate::Experts { map_version, experts });
    }

    /// Detects a stalled group and finishes its switch: if the group has requests but starts no
    /// pass for longer than a live coordinator would hold it, the coordinator is presumably gone.
    fn check_for_stall(&mut self, state: &RankState) {
        let now = Instant::now();
        let is_waiting = state.is_open && state.running + state.waiting > 0;
        let has_advanced = self.stalled.is_none_or(|(pass, _)| pass != state.pass);
        if !is_waiting || has_advanced {
            self.stalled = is_waiting.then_some((state.pass, now));
            return;
        }
        let Some((pass, since)) = self.stalled else {
            return;
        };
        if now - since < rescue::stall_timeout(state.rank) {
            return;
        }
        self.stalled = Some((pass, now));
        let Some((_, engines)) = self.group_engines.as_ref().filter(|(e, _)| *e == state.epoch)
        else {
            return;
        };
        let engines = Arc::clone(engines);
        tracing::warn!(pass, rank = state.rank, "group has stalled, checking for a hold");
        let stalled = StalledPass { epoch: state.epoch, pass: pass + 1, engines };
        tokio::spawn(rescue::finish_switch(self.engines.clone(), stalled));
    }

    /// Sends the next order towards the target, if one is due. Returns whether the target is
    /// reached or can no longer be reached.
    async fn send_due_order(&mut self, state: &RankState) -> bool {
        let target = self.targets.borrow_and_update().clone();
        if let RankTarget::Prepared { epoch, engines, .. }
        | RankTarget::Armed { epoch, engines, .. } = &target
            && !engines.is_empty()
        {
            self.group_engines = Some((*epoch, Arc::clone(engines)));
        }
        if let RankTarget::Held { epoch, pass, by, engine } = target {
            return by != state.rank || self.hold_engine(epoch, pass, engine).await;
        }
        let Some((epoch, order)) = next_order(&target, state) else {
            self.last_order = None;
            return true;
        };
        let is_waiting = self
            .last_order
            .as_ref()
            .is_some_and(|(ordered, at)| *ordered == target && at.elapsed() < retry_delay(&order));
        if is_waiting {
            return false;
        }
        let answer = self.client.send_order(epoch, &order).await;
        tracing::info!(
            order = order_name(&order),
            version = order_version(&order),
            epoch,
            pass = state.pass,
            ?answer,
            "order sent"
        );
        let at = Instant::now();
        self.last_order = (answer != OrderAnswer::Unknown).then_some((target, at));
        false
    }

    /// Holds another rank's engine. The coordinator reads from that engine's report whether the
    /// hold came too late. Returns `false`, so that polling stays fast: the coordinator waits for
    /// updates sent after the hold.
    async fn hold_engine(&mut self, epoch: u64, pass: u64, engine: SocketAddr) -> bool {
        if self.gave_hold == Some((epoch, pass)) {
            return false;
        }
        let client = match self.engines.engine(engine, HOLD_TIMEOUT_MS) {
            Ok(client) => client,
            Err(error) => {
                tracing::warn!(%engine, %error, "invalid engine address");
                return false;
            }
        };
        let answer = client.send_order(epoch, &MapOrder::Hold { pass }).await;
        tracing::info!(order = "hold", epoch, pass, ?answer, "order sent");
        if matches!(answer, OrderAnswer::Taken | OrderAnswer::Conflict) {
            self.gave_hold = Some((epoch, pass));
        }
        false
    }

    /// Whether this rank's agent is to issue the hold. The coordinator then waits for its progress
    /// updates; all other progress of a switch shows as a changed state.
    fn issues_hold(&self, rank: usize) -> bool {
        matches!(*self.targets.borrow(), RankTarget::Held { by, .. } if by == rank)
    }

    /// Publishes the choices since the last update, at most once per [`COUNTS_INTERVAL`] and only
    /// if the group has started a pass since.
    async fn publish_choices(&mut self, report: &EngineReport) {
        let now = Instant::now();
        let is_early = self.counts_read_at.is_some_and(|at| now - at < COUNTS_INTERVAL);
        let is_idle = self
            .last_counts
            .as_ref()
            .is_some_and(|last| last.pass == report.pass && last.started_ms == report.started_ms);
        if is_early || is_idle {
            return;
        }
        let counts = match self.client.counts().await {
            Ok(counts) => counts,
            Err(error) => {
                tracing::debug!(%error, "can't read the engine's counts");
                return;
            }
        };
        self.counts_read_at = Some(now);
        let sample = CountsSample {
            epoch: counts.epoch,
            started_ms: report.started_ms,
            pass: counts.pass,
            counts: counts.counts,
        };
        let choices = self.last_counts.as_ref().and_then(|last| difference(last, &sample));
        self.last_counts = Some(sample);
        if let Some(choices) = choices.filter(|choices| choices.iter().any(|count| *count > 0)) {
            self.publish(RankUpdate::Choices(ExpertCounts::pack(&choices)));
        }
    }
}

/// Whether a state must be published at once. Passes and loads change constantly; they are sent
/// with the periodic progress updates.
fn needs_state_update(last: &RankState, now: &RankState) -> bool {
    let comparable = RankState {
        pass: last.pass,
        running: last.running,
        waiting: last.waiting,
        pace: last.pace,
        ..now.clone()
    };
    comparable != *last
}

/// Returns the counts since `last`; `None` if the engine restarted or the group formed again in
/// between.
fn difference(last: &CountsSample, now: &CountsSample) -> Option<Vec<u32>> {
    let is_same = last.started_ms == now.started_ms
        && last.epoch == now.epoch
        && last.counts.len() == now.counts.len();
    if !is_same {
        return None;
    }
    let differences = last.counts.iter().zip(&now.counts);
    differences
        .map(|(last, now)| Some(u32::try_from(now.checked_sub(*last)?).unwrap_or(u32::MAX)))
        .collect()
}

/// Converts a report to the state sent to the coordinator; `None` for an engine without a group, or
/// whose numbers can't be those of a rank.
pub fn rank_state(report: &EngineReport) -> Option<RankState> {
    let group = report.group.as_ref()?;
    let state = RankState {
        group: group.name.clone(),
        epoch: group.epoch,
        rank: group.rank,
        size: group.size,
        is_open: group.state == GroupState::Open,
        pass: report.pass,
        running: report.running,
        waiting: report.waiting,
        pace: report.pace,
        map_version: report.map_version,
        prepared_version: report.prepared_version,
        armed: report.armed,
        held_pass: report.held_pass,
        gave_hold: None,
    };
    if !state.is_plausible() {
        tracing::debug!(?state, "engine's report is implausible");
        return None;
    }
    Some(state)
}

/// Returns the order that brings a rank closer to its target; `None` if none is needed.
fn next_order(target: &RankTarget, state: &RankState) -> Option<(u64, MapOrder)> {
    match target {
        RankTarget::Idle | RankTarget::Held { .. } => None,
        RankTarget::Prepared { epoch, version, map, .. } => {
            let is_done = state.prepared_version == Some(*version) || state.map_version == *version;
            let is_void = state.epoch != *epoch;
            if is_done || is_void {
                return None;
            }
            Some((*epoch, MapOrder::Prepare { version: *version, map: map.clone() }))
        }
        RankTarget::Armed { epoch, version, pass, .. } => {
            let is_done = state.armed == Some((*version, *pass)) || state.map_version == *version;
            // Once the pass has started the engine would refuse the order.
            let is_void = state.epoch != *epoch || state.pass >= *pass;
            if is_done || is_void {
                return None;
            }
            Some((*epoch, MapOrder::Arm { version: *version, pass: *pass }))
        }
    }
}

/// Copying experts takes a while; all other orders take effect at once.
fn retry_delay(order: &MapOrder) -> Duration {
    match order {
        MapOrder::Prepare { .. } => ORDER_RETRY_DELAY * 5,
        _ => ORDER_RETRY_DELAY,
    }
}

fn order_name(order: &MapOrder) -> &'static str {
    match order {
        MapOrder::Prepare { .. } => "prepare",
        MapOrder::Arm { .. } => "arm",
        MapOrder::Hold { .. } => "hold",
        MapOrder::Release { .. } => "release",
    }
}

fn order_version(order: &MapOrder) -> Option<u64> {
    match order {
        MapOrder::Prepare { version, .. } | MapOrder::Arm { version, .. } => Some(*version),
        _ => None,
    }
}
