//! One rank's engine: polled for its state, and brought to a target.

use crate::rescue;
use flamingowheel_fleet::engine::{EngineReport, GroupState, MapOrder, OrderAnswer};
use flamingowheel_platform::EngineClient;
use flamingowheel_protocol::packed::Packed;
use flamingowheel_protocol::ranks::{ExpertCounts, Progress, RankState, RankTarget, RankUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, watch};
use tokio::time::{Instant, sleep};

/// Time between two words on a rank's progress; silence tells that its agent is gone.
pub const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Time between updates with counts: one or two passes, so that a shift of demand is seen soon.
pub const COUNTS_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which an order that was taken but shows no effect is given again. Engines can
/// answer an order and carry it out seconds later.
const REPEAT_AFTER: Duration = Duration::from_millis(60);

/// Longest wait for another rank's engine to answer a hold, in milliseconds: a few ways between
/// data centres of one region.
const HOLD_LIMIT_MS: u64 = 30;

/// Updates that a slow reader may lag behind.
pub const UPDATE_CAPACITY: usize = 64;

/// How often an engine is asked, and for what.
#[derive(Clone, Copy, Debug)]
pub struct Polling {
    /// Time between reads of the report while nothing is to be done.
    idle: Duration,
    /// Time between reads while a target is not reached, a fraction of a pass.
    busy: Duration,
    /// Whether this is the engine's own VM, where counts and lists of experts are read as well.
    is_near: bool,
}

impl Polling {
    /// From the engine's own VM, where calls cost nothing.
    pub const LOCAL: Self =
        Self { idle: Duration::from_millis(50), busy: Duration::from_millis(12), is_near: true };

    /// From another VM, in place of an agent that is not there.
    pub const REMOTE: Self =
        Self { idle: Duration::from_millis(400), busy: Duration::from_millis(60), is_near: false };
}

/// What is known of the rank, for whoever connects.
#[derive(Clone, Debug, Default)]
pub struct RankSnapshot {
    /// How it stands; `None` until its engine answered.
    pub state: Option<RankState>,
    /// Version of the map whose experts it holds, and these.
    pub experts: Option<(u64, Packed)>,
}

/// The engine's poller.
#[derive(Debug)]
pub struct EnginePoller {
    client: EngineClient,
    polling: Polling,
    targets: watch::Receiver<RankTarget>,
    updates: broadcast::Sender<RankUpdate>,
    snapshot: watch::Sender<RankSnapshot>,
    last_counts: Option<Counted>,
    counted_at: Option<Instant>,
    told_at: Option<Instant>,
    /// The epoch and map whose lists of experts were told.
    listed: Option<(u64, u64)>,
    /// The target that an order was given for, and when.
    ordered: Option<(RankTarget, Instant)>,
    /// The pass after which the group stands still, and since when.
    stalled: Option<(u64, Instant)>,
    gave_hold: Option<u64>,
}

#[derive(Debug)]
struct Counted {
    epoch: u64,
    started_ms: u64,
    pass: u64,
    counts: Vec<u64>,
}

impl EnginePoller {
    /// A poller of the engine behind `client`.
    pub fn new(
        client: EngineClient,
        polling: Polling,
        targets: watch::Receiver<RankTarget>,
        updates: broadcast::Sender<RankUpdate>,
    ) -> Self {
        Self {
            client,
            polling,
            targets,
            updates,
            snapshot: watch::Sender::new(RankSnapshot::default()),
            last_counts: None,
            counted_at: None,
            told_at: None,
            listed: None,
            ordered: None,
            stalled: None,
            gave_hold: None,
        }
    }

    /// What is known of the rank, for whoever connects later.
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
                    tracing::debug!(%error, "no report from the engine");
                    sleep(self.polling.idle).await;
                    continue;
                }
            };
            let Some(mut state) = rank_state(&report) else {
                continue;
            };
            if self.polling.is_near {
                self.look_for_stall(&state);
            }
            is_reached = self.approach(&state).await;
            state.gave_hold = self.gave_hold;
            self.tell_state(&last_state, &state);
            last_state = state;
            if self.polling.is_near {
                self.tell_experts(&last_state).await;
                self.tell_choices(&report).await;
            }
        }
    }

    fn tell_state(&mut self, last: &RankState, state: &RankState) {
        let now = Instant::now();
        let is_due = self.told_at.is_none_or(|at| now - at >= PROGRESS_INTERVAL);
        self.snapshot.send_if_modified(|snapshot| {
            snapshot.state = Some(state.clone());
            false
        });
        if is_news(last, state) {
            self.tell(RankUpdate::State(state.clone()));
        } else if is_due || self.gives_hold(state.rank) {
            let RankState { pass, running, waiting, pace, .. } = *state;
            self.tell(RankUpdate::Progress(Progress { pass, running, waiting, pace }));
        } else {
            return;
        }
        self.told_at = Some(now);
    }

    fn tell(&self, update: RankUpdate) {
        // Nobody listens while no coordinator is connected.
        let _ = self.updates.send(update);
    }

    /// Tells the lists of experts when the map in use has changed.
    async fn tell_experts(&mut self, state: &RankState) {
        let map = (state.epoch, state.map_version);
        if self.listed == Some(map) {
            return;
        }
        let held = match self.client.held_experts().await {
            Ok(held) if held.map_version == state.map_version => held,
            Ok(_) => return,
            Err(error) => {
                tracing::debug!(%error, "no list of experts from the engine");
                return;
            }
        };
        let (map_version, packed) = (held.map_version, Packed::pack(&held.experts));
        let Some(experts) = packed else {
            tracing::error!("list of experts can't be encoded");
            return;
        };
        self.listed = Some(map);
        self.snapshot.send_if_modified(|snapshot| {
            snapshot.experts = Some((map_version, experts.clone()));
            false
        });
        self.tell(RankUpdate::Experts { map_version, experts });
    }

    /// Has a change finished whose coordinator seems to be gone: the group waits, with requests
    /// in its batch, and the coordinator would have let it go long before.
    fn look_for_stall(&mut self, state: &RankState) {
        let now = Instant::now();
        let is_waiting = state.is_open && state.running + state.waiting > 0;
        let moved = self.stalled.is_none_or(|(pass, _)| pass != state.pass);
        if !is_waiting || moved {
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
        let engines = match &*self.targets.borrow() {
            RankTarget::Prepared { epoch, engines, .. }
            | RankTarget::Armed { epoch, engines, .. }
                if *epoch == state.epoch =>
            {
                Arc::clone(engines)
            }
            _ => return,
        };
        tracing::warn!(pass, rank = state.rank, "group stands still, looking for a hold");
        tokio::spawn(rescue::finish_switch(engines));
    }

    /// Gives the order that the target needs, if one is needed now. Returns whether the target
    /// is reached or can't be reached any more.
    async fn approach(&mut self, state: &RankState) -> bool {
        let target = self.targets.borrow_and_update().clone();
        if let RankTarget::Held { epoch, pass, by, engine } = target {
            return by != state.rank || self.hold(epoch, pass, engine).await;
        }
        let Some((epoch, order)) = missing_order(&target, state) else {
            self.ordered = None;
            return true;
        };
        let is_waiting = self
            .ordered
            .as_ref()
            .is_some_and(|(ordered, at)| *ordered == target && at.elapsed() < repeat_after(&order));
        if is_waiting {
            return false;
        }
        let answer = self.client.send_order(epoch, &order).await;
        tracing::info!(
            order = order_name(&order),
            version = version_of(&order),
            epoch,
            pass = state.pass,
            ?answer,
            "order given"
        );
        let at = Instant::now();
        self.ordered = (answer != OrderAnswer::Unknown).then_some((target, at));
        false
    }

    /// Holds another rank's engine. Whether it was too late for that shows there. The target is
    /// never reached: the coordinator waits for words that were sent after the hold.
    async fn hold(&mut self, epoch: u64, pass: u64, engine: SocketAddr) -> bool {
        if self.gave_hold == Some(pass) {
            return false;
        }
        let client = match EngineClient::new(engine, HOLD_LIMIT_MS) {
            Ok(client) => client,
            Err(error) => {
                tracing::warn!(%engine, %error, "engine's address can't be used");
                return false;
            }
        };
        let answer = client.send_order(epoch, &MapOrder::Hold { pass }).await;
        tracing::info!(order = "hold", epoch, pass, ?answer, "order given");
        if matches!(answer, OrderAnswer::Taken | OrderAnswer::Conflict) {
            self.gave_hold = Some(pass);
        }
        false
    }

    /// Whether this rank's agent is to hold the group, so that the coordinator waits for its word. All
    /// other news of a change show in the state.
    fn gives_hold(&self, rank: usize) -> bool {
        matches!(*self.targets.borrow(), RankTarget::Held { by, .. } if by == rank)
    }

    /// Tells the choices since the last time, when it is time for them. A group that does no passes has
    /// none.
    async fn tell_choices(&mut self, report: &EngineReport) {
        let now = Instant::now();
        let is_early = self.counted_at.is_some_and(|at| now - at < COUNTS_INTERVAL);
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
                tracing::debug!(%error, "no counts from the engine");
                return;
            }
        };
        self.counted_at = Some(now);
        let counted = Counted {
            epoch: counts.epoch,
            started_ms: report.started_ms,
            pass: counts.pass,
            counts: counts.counts,
        };
        let choices = self.last_counts.as_ref().and_then(|last| difference(last, &counted));
        self.last_counts = Some(counted);
        if let Some(choices) = choices.filter(|choices| choices.iter().any(|count| *count > 0)) {
            self.tell(RankUpdate::Choices(ExpertCounts::pack(&choices)));
        }
    }
}

/// Whether a change should be told at once. Passes and loads change all the time; they go along
/// with the counts.
fn is_news(last: &RankState, now: &RankState) -> bool {
    let alike = RankState {
        pass: last.pass,
        running: last.running,
        waiting: last.waiting,
        pace: last.pace,
        ..now.clone()
    };
    alike != *last
}

/// `None` if the engine has begun anew, so that the counts don't belong together.
fn difference(last: &Counted, now: &Counted) -> Option<Vec<u32>> {
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

/// What the coordinator needs of a report; `None` for an engine that is part of no group.
pub fn rank_state(report: &EngineReport) -> Option<RankState> {
    let group = report.group.as_ref()?;
    Some(RankState {
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
    })
}

/// The order that brings a rank nearer to its target; `None` if there is nothing left to order.
fn missing_order(target: &RankTarget, state: &RankState) -> Option<(u64, MapOrder)> {
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
            // After the pass has begun the engine would only refuse.
            let is_void = state.epoch != *epoch || state.pass >= *pass;
            if is_done || is_void {
                return None;
            }
            Some((*epoch, MapOrder::Arm { version: *version, pass: *pass }))
        }
    }
}

/// Copying takes long, arming shows at once.
fn repeat_after(order: &MapOrder) -> Duration {
    match order {
        MapOrder::Prepare { .. } => REPEAT_AFTER * 5,
        _ => REPEAT_AFTER,
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

fn version_of(order: &MapOrder) -> Option<u64> {
    match order {
        MapOrder::Prepare { version, .. } | MapOrder::Arm { version, .. } => Some(*version),
        _ => None,
    }
}
