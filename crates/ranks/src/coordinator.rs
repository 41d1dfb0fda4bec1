//! Keeps the expert map of one group even; runs beside rank 0.

use crate::peers::{PeerUpdate, Peers, engines_of};
use crate::switch::{
    Arming, Holding, Leftover, Preparing, Released, Releasing, Switch, is_armed, leftover,
};
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_fleet::EngineParameters;
use flamingowheel_fleet::engine::{MapOrder, OrderAnswer};
use flamingowheel_platform::{CONFIGURATION_KEY, EngineClient, operator};
use flamingowheel_policy::experts::{self, Demand, Map, Shape, StepLimits};
use flamingowheel_protocol::ranks::{RankState, RankTarget, RankUpdate};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Time between looks at a change under way: a fraction of a pass.
const TICK: Duration = Duration::from_millis(10);

/// A rank's state older than this is not acted on.
const FRESH: Duration = Duration::from_millis(600);

/// Time between readings of demand; the windows in which it is learnt.
const WINDOW: Duration = Duration::from_millis(100);

/// Most experts that one step copies to a rank. Each takes some 150 ms, in which demand moves on
/// and passes are 15 % longer.
const COPIES_PER_RANK: usize = 2;

/// What a step must save of the skew to be worth a switch.
const MIN_SAVING: f64 = 0.04;

/// Time for copies before a change is given up: 2 copies of 0.15 s, and an order that is carried
/// out only when it is given again.
const PREPARE_LIMIT: Duration = Duration::from_millis(1_500);

/// Time after which ranks whose agents don't show them armed are armed from here.
const DIRECT_AFTER: Duration = Duration::from_millis(300);

/// Pause between readings of the list of backend servers while ranks are missing.
const LIST_PAUSE: Duration = Duration::from_secs(2);

/// Range of the random part of a version. Two coordinators of one group, one after the other,
/// would otherwise give one version to two maps: a rank that holds the older one would pass for
/// prepared.
const VERSION_SPREAD: u64 = 1 << 20;

/// What the coordinator works with.
#[derive(Debug)]
pub struct Coordinator<K> {
    /// The key-value store.
    pub store: K,
    /// The rank's own engine.
    pub own: EngineClient,
    /// The rank's own engine's address.
    pub own_engine: SocketAddr,
    /// The service of the engines.
    pub service: String,
    /// What all ranks are to be brought to.
    pub targets: watch::Sender<RankTarget>,
    /// Updates of the rank's own engine.
    pub own_updates: broadcast::Receiver<RankUpdate>,
    /// Connections to the other ranks' agents; the group is filled in.
    pub peers: Peers,
    /// Updates of the other ranks.
    pub peer_updates: mpsc::Receiver<PeerUpdate>,
}

#[derive(Debug)]
struct Rank {
    state: RankState,
    seen_at: Instant,
    engine: SocketAddr,
    /// The experts held, by set, under the map of this version.
    experts: Option<(u64, Vec<Vec<u16>>)>,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Watching,
    Preparing(Switch<Preparing>, Instant),
    Holding(Switch<Holding>),
    /// The time is that at which ranks are armed from here.
    Arming(Switch<Arming>, Instant),
    Releasing(Switch<Releasing>),
    Released(Switch<Released>),
}

/// What is known of the group.
#[derive(Debug)]
struct Group {
    name: String,
    epoch: u64,
    size: usize,
    ranks: BTreeMap<usize, Rank>,
    demand: Option<Demand>,
    window: Vec<u64>,
    parameters: Option<EngineParameters>,
    connected: HashSet<SocketAddr>,
    listed_at: Option<Instant>,
    stop: CancellationToken,
}

impl<K> Coordinator<K>
where
    K: KeyValue,
{
    /// Coordinates until dropped.
    pub async fn run(mut self) {
        let mut group: Option<Group> = None;
        let mut phase = Phase::Watching;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut windows = interval(WINDOW);
        windows.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_active = !matches!(phase, Phase::Watching);
            tokio::select! {
                update = self.own_updates.recv() => match update {
                    Ok(update) => self.take_own(&mut group, update),
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        tracing::debug!(missed, "updates of the own engine missed");
                    }
                    Err(broadcast::error::RecvError::Closed) => return,
                },
                Some(update) = self.peer_updates.recv() => {
                    if let Some(group) = &mut group {
                        group.take(update.update, update.engine);
                    }
                }
                _ = ticks.tick(), if is_active => {}
                _ = windows.tick() => {
                    if let Some(group) = &mut group {
                        group.close_window();
                        self.find_ranks(group).await;
                    }
                    if matches!(phase, Phase::Watching) {
                        phase = self.watch(&group);
                    }
                }
            }
            if let Some(known) = &group {
                phase = self.advance(phase, known).await;
                if is_active && matches!(phase, Phase::Watching) {
                    phase = self.watch(&group);
                }
            }
        }
    }

    fn take_own(&self, group: &mut Option<Group>, update: RankUpdate) {
        if update.state.rank != 0 {
            *group = None;
            return;
        }
        let is_same = group.as_ref().is_some_and(|group| group.name == update.state.group);
        if !is_same {
            tracing::info!(group = update.state.group, "coordinating");
            *group = Some(Group::new(&update.state));
        }
        if let Some(group) = group {
            group.take(update, self.own_engine);
        }
    }

    /// Learns the engines' parameters and connects to agents while ranks are missing.
    async fn find_ranks(&self, group: &mut Group) {
        let now = Instant::now();
        let is_complete = group.parameters.is_some() && group.fresh_states(now).is_some();
        let is_early = group.listed_at.is_some_and(|at| now - at < LIST_PAUSE);
        if is_complete || is_early {
            return;
        }
        group.listed_at = Some(now);
        if group.parameters.is_none() {
            group.parameters = self.read_parameters().await;
        }
        match engines_of(&self.store, &self.service).await {
            Ok(engines) => {
                let peers = Peers { group: group.name.clone(), ..self.peers.clone() };
                let stop = group.stop.clone();
                peers.connect_to(&engines, self.own_engine.ip(), &mut group.connected, &stop);
            }
            Err(error) => tracing::debug!(%error, "backend servers not listed"),
        }
    }

    async fn read_parameters(&self) -> Option<EngineParameters> {
        let snapshot = match self.store.range(CONFIGURATION_KEY).await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                tracing::debug!(%error, "configuration not read");
                return None;
            }
        };
        let entry = snapshot.entries.iter().find(|entry| entry.key == CONFIGURATION_KEY)?;
        let configuration = operator::decode(&entry.value)
            .inspect_err(|error| tracing::warn!(%error, "configuration can't be read"))
            .ok()?;
        configuration.services.get(&self.service)?.engine.clone()
    }

    /// Decides whether to change the map, and takes up what an earlier coordinator left.
    fn watch(&self, group: &Option<Group>) -> Phase {
        let Some(group) = group else {
            return Phase::Watching;
        };
        let now = Instant::now();
        let Some(states) = group.fresh_states(now) else {
            return Phase::Watching;
        };
        if let Some(left) = leftover(&states) {
            tracing::info!(group = group.name, epoch = group.epoch, ?left, "change taken up");
            return into_phase(left, now);
        }
        let Some(step) = group.next_step(&states) else {
            return Phase::Watching;
        };
        let newest = states.iter().map(|s| s.map_version.max(s.prepared_version.unwrap_or(0)));
        let version = newest.max().unwrap_or(0) + rand::random_range(1..VERSION_SPREAD);
        tracing::info!(
            group = group.name,
            epoch = group.epoch,
            version,
            copies = step.copies,
            skew_before = step.skew_before,
            skew_after = step.skew_after,
            "map planned"
        );
        let engines = group.ranks.values().map(|rank| rank.engine).collect();
        let switch = Switch::new(group.epoch, version, step.map, engines);
        self.targets.send_replace(switch.target());
        Phase::Preparing(switch, now)
    }

    async fn advance(&self, phase: Phase, group: &Group) -> Phase {
        let states: Vec<RankState> = group.ranks.values().map(|rank| rank.state.clone()).collect();
        if phase.epoch().is_some_and(|epoch| epoch != group.epoch) {
            tracing::info!(
                group = group.name,
                epoch = group.epoch,
                "change void: group formed again"
            );
            self.targets.send_replace(RankTarget::Idle);
            return Phase::Watching;
        }
        match phase {
            Phase::Watching => Phase::Watching,
            Phase::Preparing(switch, since) => match switch.advance(&states) {
                Ok(holding) if states.len() == group.size => self.hold(holding, &states).await,
                Ok(_) => Phase::Watching,
                Err(switch) if since.elapsed() > PREPARE_LIMIT => {
                    tracing::warn!(
                        version = switch.version,
                        "change given up: not prepared in time"
                    );
                    self.targets.send_replace(RankTarget::Idle);
                    Phase::Watching
                }
                Err(switch) => Phase::Preparing(switch, since),
            },
            Phase::Holding(switch) => self.hold(switch, &states).await,
            Phase::Arming(switch, direct_at) => match switch.advance(&states) {
                Ok(releasing) => self.release(releasing).await,
                Err(switch) if Instant::now() >= direct_at => {
                    self.arm_directly(&switch, group).await;
                    Phase::Arming(switch, Instant::now() + DIRECT_AFTER)
                }
                Err(switch) => Phase::Arming(switch, direct_at),
            },
            Phase::Releasing(switch) => self.release(switch).await,
            Phase::Released(switch) => {
                let has_begun = states.iter().all(|s| s.pass >= switch.pass());
                if switch.is_done(&states) || (has_begun && switch.map.is_empty()) {
                    tracing::info!(group = group.name, version = switch.version, "map in use");
                    self.targets.send_replace(RankTarget::Idle);
                    return Phase::Watching;
                }
                Phase::Released(switch)
            }
        }
    }

    async fn hold(&self, switch: Switch<Holding>, states: &[RankState]) -> Phase {
        if states.iter().all(|state| state.map_version == switch.version) {
            // Somebody else finished the change while this process was frozen.
            self.targets.send_replace(RankTarget::Idle);
            return Phase::Watching;
        }
        let pass = switch.pass();
        let answer = self.own.order(switch.epoch, &MapOrder::Hold { pass }).await;
        let held = self.own.report().await.ok().and_then(|report| report.held_pass);
        tracing::info!(pass, ?answer, ?held, "hold");
        if held == Some(pass) {
            let arming = switch.held();
            self.targets.send_replace(arming.target());
            return Phase::Arming(arming, Instant::now() + DIRECT_AFTER);
        }
        if answer == OrderAnswer::Conflict {
            return Phase::Holding(switch.too_late(states));
        }
        Phase::Holding(switch)
    }

    async fn release(&self, switch: Switch<Releasing>) -> Phase {
        let pass = switch.pass();
        let answer = self.own.order(switch.epoch, &MapOrder::Release { pass }).await;
        let report = self.own.report().await;
        tracing::info!(pass, ?answer, "release");
        match report {
            Ok(report) if report.held_pass.is_none() => Phase::Released(switch.released()),
            _ => Phase::Releasing(switch),
        }
    }

    /// Arms ranks whose agents don't: theirs may have died while the whole group waits.
    async fn arm_directly(&self, switch: &Switch<Arming>, group: &Group) {
        let RankTarget::Armed { epoch, version, pass, .. } = switch.target() else {
            return;
        };
        let missing = group.ranks.values().filter(|r| !is_armed(&r.state, version, pass));
        for engine in missing.map(|rank| rank.engine) {
            match EngineClient::new(engine, DIRECT_AFTER.as_millis() as u64) {
                Ok(client) => {
                    let answer = client.order(epoch, &MapOrder::Arm { version, pass }).await;
                    tracing::info!(%engine, version, pass, ?answer, "armed from rank 0");
                }
                Err(error) => tracing::warn!(%engine, %error, "engine's address can't be used"),
            }
        }
    }
}

impl Phase {
    fn epoch(&self) -> Option<u64> {
        match self {
            Self::Watching => None,
            Self::Preparing(switch, _) => Some(switch.epoch),
            Self::Holding(switch) => Some(switch.epoch),
            Self::Arming(switch, _) => Some(switch.epoch),
            Self::Releasing(switch) => Some(switch.epoch),
            Self::Released(switch) => Some(switch.epoch),
        }
    }
}

fn into_phase(left: Leftover, now: Instant) -> Phase {
    match left {
        Leftover::Armed { epoch, version, pass } => {
            Phase::Arming(Switch::resume(epoch, version, pass), now + DIRECT_AFTER)
        }
        Leftover::Held { epoch, pass } => Phase::Releasing(Switch::abandoned(epoch, pass)),
    }
}

impl Group {
    fn new(state: &RankState) -> Self {
        Self {
            name: state.group.clone(),
            epoch: state.epoch,
            size: state.size,
            ranks: BTreeMap::new(),
            demand: None,
            window: Vec::new(),
            parameters: None,
            connected: HashSet::new(),
            listed_at: None,
            stop: CancellationToken::new(),
        }
    }

    fn take(&mut self, update: RankUpdate, engine: SocketAddr) {
        let RankUpdate { state, choices, experts } = update;
        if state.epoch > self.epoch {
            self.epoch = state.epoch;
            self.size = state.size;
            self.ranks.clear();
            // A member may have been replaced by one that was taken for another group's before.
            self.stop.cancel();
            self.stop = CancellationToken::new();
            self.connected.clear();
            self.listed_at = None;
        }
        if state.epoch < self.epoch {
            return;
        }
        if self.window.len() == choices.len() {
            for (sum, choices) in self.window.iter_mut().zip(&choices) {
                *sum += u64::from(*choices);
            }
        } else if !choices.is_empty() {
            self.window = choices.iter().map(|choices| u64::from(*choices)).collect();
        }
        let known = self.ranks.remove(&state.rank).and_then(|rank| rank.experts);
        let is_listed = !experts.is_empty();
        let experts = if is_listed { Some((state.map_version, experts)) } else { known };
        let seen_at = Instant::now();
        self.ranks.insert(state.rank, Rank { state, seen_at, engine, experts });
    }

    fn close_window(&mut self) {
        let Some(shape) = self.shape() else {
            return;
        };
        if self.window.len() != shape.sets * shape.experts {
            return;
        }
        let demand = self.demand.get_or_insert_with(|| Demand::new(shape));
        let shifted = demand.observe(&self.window);
        if shifted > 0 {
            tracing::info!(group = self.name, shifted, "demand shifted");
        }
        self.window.fill(0);
    }

    fn shape(&self) -> Option<Shape> {
        let engine = self.parameters.as_ref()?;
        Some(Shape {
            sets: engine.expert_sets,
            experts: engine.experts,
            ranks: self.size,
            replicas_per_rank: engine.replicas_per_rank,
        })
    }

    /// All ranks' states, if all are known, fresh, and of one working group.
    fn fresh_states(&self, now: Instant) -> Option<Vec<RankState>> {
        let is_usable = |rank: &Rank| {
            rank.state.is_open
                && rank.state.epoch == self.epoch
                && now.duration_since(rank.seen_at) < FRESH
        };
        let all = self.ranks.len() == self.size && self.ranks.values().all(is_usable);
        all.then(|| self.ranks.values().map(|rank| rank.state.clone()).collect())
    }

    fn next_step(&self, states: &[RankState]) -> Option<experts::Step> {
        let demand = self.demand.as_ref().filter(|demand| demand.is_known())?;
        let map = self.map_in_use(states)?;
        let limits = StepLimits {
            copies_per_rank: COPIES_PER_RANK,
            copies_per_rank_and_set: self.parameters.as_ref()?.max_new_experts,
        };
        let step = experts::step(&map, demand, limits)?;
        (step.skew_before - step.skew_after >= MIN_SAVING).then_some(step)
    }

    /// The map in use, put together from what the ranks hold.
    fn map_in_use(&self, states: &[RankState]) -> Option<Map> {
        let version = states.first()?.map_version;
        if states.iter().any(|state| state.map_version != version) {
            return None;
        }
        let sets = self.shape()?.sets;
        let ranks: Vec<&Rank> = self.ranks.values().collect();
        // A list can be older than the state beside it: put together from two maps, experts would
        // be missing, and the engines would refuse the result.
        let listed = |rank: &&Rank| match &rank.experts {
            Some((listed, experts)) if *listed == version && experts.len() == sets => {
                Some(experts.clone())
            }
            _ => None,
        };
        let ranks: Option<Vec<_>> = ranks.iter().map(listed).collect();
        let ranks = ranks?;
        let set = |set: usize| ranks.iter().map(|experts| experts[set].clone()).collect();
        Some((0..sets).map(set).collect())
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
