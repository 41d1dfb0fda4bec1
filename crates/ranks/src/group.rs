//! The coordinator's view of its group, and the decision when to change the map.

use crate::lookup::ServiceParameters;
use crate::pass_times::PassTimes;
use crate::peers::PeerUpdate;
use crate::switch::{FIRST_PASSES_AHEAD, MAX_PASSES_AHEAD, passes_ahead};
use flamingowheel_policy::experts::{self, ChangeTimes, Demand, Map, Shape, StepLimits};
use flamingowheel_protocol::ranks::{ExpertCounts, Progress, RankState, RankUpdate};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A rank's state older than this is considered stale.
const MAX_STATE_AGE: Duration = Duration::from_millis(600);

/// Weight of the newest switch in the moving average of the arming time.
const ARMING_WEIGHT: f64 = 0.3;

/// A map under preparation is replaced if its skew exceeds that of a newly planned map by more than
/// this: a third of a pass, since replacing it costs a fifth of a second.
const OUTDATED_SKEW: f64 = 0.35;

/// Time of the first switch besides copies and passes, in milliseconds; later ones take the mean.
const FIRST_SWITCH_MS: f64 = 200.0;

/// Weight of the newest switch in the moving average of the switch time.
const SWITCH_WEIGHT: f64 = 0.3;

/// Latest data on one rank.
#[derive(Debug)]
pub struct Rank {
    /// State from its latest update.
    pub state: RankState,
    /// Time of that update.
    pub seen_at: Instant,
    /// Address of its engine.
    pub engine: SocketAddr,
    /// Data centre of its agent; `None` if its engine is polled remotely.
    pub data_centre: Option<Arc<str>>,
    /// A map version and the experts that the rank holds under it, by set.
    pub experts: Option<(u64, Vec<Vec<u16>>)>,
}

/// Latest data on a group.
#[derive(Debug)]
pub struct Group {
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) size: usize,
    pub(crate) ranks: BTreeMap<usize, Rank>,
    /// The highest pass that an order of this epoch may name, also one of an earlier coordinator.
    newest_named_pass: u64,
    pub(crate) demand: Option<Demand>,
    /// Sum of the choices in the current window, by set and expert.
    pub(crate) window: Vec<u64>,
    /// Last pass of the previous window.
    pub(crate) window_pass: Option<u64>,
    pub(crate) pass_times: PassTimes,
    /// Mean time from requesting a hold until all ranks are armed.
    arming_ms: Option<f64>,
    /// Mean time from planning a map until it is in use, without the copies.
    switch_ms: Option<f64>,
    /// Version and map of the last switch that this coordinator completed.
    pub(crate) last_switch: Option<(u64, Arc<Map>)>,
    /// Configuration of its service; `None` until it was read.
    pub parameters: Option<ServiceParameters>,
    /// Engines to whose agents connections were opened.
    pub(crate) connected: HashSet<SocketAddr>,
    /// Engines of the service from the last lookup.
    pub(crate) listed: Vec<SocketAddr>,
    /// Engines that belong to other groups.
    pub(crate) foreign: HashSet<SocketAddr>,
    pub(crate) listed_at: Option<Instant>,
    pub(crate) stop: CancellationToken,
}

impl Group {
    /// Creates the group that a rank reports, with no ranks known yet.
    pub fn new(state: &RankState) -> Self {
        Self {
            name: state.group.clone(),
            epoch: state.epoch,
            size: state.size,
            ranks: BTreeMap::new(),
            newest_named_pass: state.pass + MAX_PASSES_AHEAD,
            demand: None,
            window: Vec::new(),
            window_pass: None,
            pass_times: PassTimes::default(),
            arming_ms: None,
            switch_ms: None,
            last_switch: None,
            parameters: None,
            connected: HashSet::new(),
            listed: Vec::new(),
            foreign: HashSet::new(),
            listed_at: None,
            stop: CancellationToken::new(),
        }
    }

    /// Applies an update on a rank.
    pub fn apply_update(&mut self, peer_update: PeerUpdate) {
        let PeerUpdate { engine, data_centre, update } = peer_update;
        match update {
            RankUpdate::State(state) => self.apply_state(state, engine, data_centre),
            RankUpdate::Progress(progress) => self.apply_progress(engine, progress, data_centre),
            RankUpdate::Experts { map_version, experts } => {
                let Some(experts) = experts.unpack() else {
                    tracing::warn!(%engine, "can't decode the list of experts");
                    return;
                };
                if let Some(rank) = self.rank_by_engine(engine) {
                    rank.experts = Some((map_version, experts));
                }
            }
            RankUpdate::Choices(choices) | RankUpdate::Sum(choices) => self.apply_choices(&choices),
            RankUpdate::Group(_) => {}
        }
    }

    fn apply_state(&mut self, state: RankState, engine: SocketAddr, data_centre: Option<Arc<str>>) {
        if !state.is_plausible() {
            tracing::warn!(%engine, ?state, "rank's state is implausible");
            return;
        }
        if state.group != self.name {
            self.foreign.insert(engine);
            self.ranks.retain(|_, rank| rank.engine != engine);
            return;
        }
        if state.epoch > self.epoch {
            self.epoch = state.epoch;
            self.size = state.size;
            self.ranks.clear();
            // This process coordinated the group before the epoch began: no other one has since.
            self.newest_named_pass = 0;
            self.last_switch = None;
            // A member may have been replaced by an engine that belonged to another group before.
            self.stop.cancel();
            self.stop = CancellationToken::new();
            self.connected.clear();
            self.foreign.clear();
            self.listed_at = None;
        }
        if state.epoch < self.epoch {
            return;
        }
        let now = Instant::now();
        if state.rank == 0 {
            self.pass_times.observe(state.pass, state.running + state.waiting > 0, now);
        }
        let experts = self.ranks.remove(&state.rank).and_then(|rank| rank.experts);
        let rank = state.rank;
        self.ranks.insert(rank, Rank { state, seen_at: now, engine, data_centre, experts });
    }

    fn apply_progress(
        &mut self,
        engine: SocketAddr,
        progress: Progress,
        data_centre: Option<Arc<str>>,
    ) {
        if !progress.is_plausible() {
            tracing::warn!(%engine, ?progress, "rank's progress is implausible");
            return;
        }
        let now = Instant::now();
        let Some(rank) = self.rank_by_engine(engine) else {
            return;
        };
        let Progress { pass, running, waiting, pace } = progress;
        rank.state = RankState { pass, running, waiting, pace, ..std::mem::take(&mut rank.state) };
        rank.seen_at = now;
        rank.data_centre = data_centre;
        if rank.state.rank == 0 {
            self.pass_times.observe(pass, running + waiting > 0, now);
        }
    }

    fn apply_choices(&mut self, choices: &ExpertCounts) {
        let Some(choices) = choices.unpack() else {
            tracing::warn!("can't decode choices");
            return;
        };
        let counts = self.shape().map(|shape| shape.sets * shape.experts);
        if counts.is_some_and(|counts| counts != choices.len()) {
            tracing::warn!(choices = choices.len(), "choices are of another map");
            return;
        }
        if self.window.len() == choices.len() {
            for (sum, count) in self.window.iter_mut().zip(&choices) {
                *sum = sum.saturating_add(u64::from(*count));
            }
        } else if !choices.is_empty() {
            self.window = choices.iter().map(|count| u64::from(*count)).collect();
        }
    }

    fn rank_by_engine(&mut self, engine: SocketAddr) -> Option<&mut Rank> {
        self.ranks.values_mut().find(|rank| rank.engine == engine)
    }

    /// Records that all ranks use a map, so that the next step needn't wait for their lists of
    /// experts.
    pub fn record_switch(&mut self, version: u64, map: &Arc<Map>) {
        // The map of a switch that was taken over from another coordinator is not known.
        self.last_switch = (!map.is_empty()).then(|| (version, Arc::clone(map)));
    }

    /// Records that orders name a pass.
    pub fn record_named_pass(&mut self, pass: u64) {
        self.newest_named_pass = self.newest_named_pass.max(pass);
    }

    /// Whether all passes have started that an order of this epoch may name. Engines refuse such
    /// orders from then on, however late they are.
    pub fn has_started_named_passes(&self) -> bool {
        self.ranks.get(&0).is_some_and(|rank| rank.state.pass >= self.newest_named_pass)
    }

    /// Returns the addresses of the engines, by rank; empty unless all are known.
    pub fn engines(&self) -> Vec<SocketAddr> {
        let engines: Vec<SocketAddr> = self.ranks.values().map(|rank| rank.engine).collect();
        if engines.len() == self.size { engines } else { Vec::new() }
    }

    /// Returns the latest states of the known ranks, by rank.
    pub fn states(&self) -> Vec<RankState> {
        self.ranks.values().map(|rank| rank.state.clone()).collect()
    }

    /// Adds the choices since the last call to the demand. Returns whether demand has shifted.
    pub fn close_window(&mut self) -> bool {
        let Some(shape) = self.shape() else {
            return false;
        };
        if self.window.len() != shape.sets * shape.experts {
            return false;
        }
        // A window shorter than a pass contains the choices of only some ranks, which would look
        // like a shift of demand each time.
        let pass = self.ranks.get(&0).map(|rank| rank.state.pass);
        if self.window_pass == pass {
            return false;
        }
        self.window_pass = pass;
        // A group that forms again may have another number of ranks.
        let known = self.demand.take().filter(|demand| demand.shape() == shape);
        let demand = self.demand.insert(known.unwrap_or_else(|| Demand::new(shape)));
        let has_shifted = demand.observe(&self.window);
        if has_shifted {
            tracing::info!(group = self.name, "demand shifted");
        }
        self.window.fill(0);
        has_shifted
    }

    /// Returns the dimensions of the group's map; `None` until the parameters are known.
    pub fn shape(&self) -> Option<Shape> {
        let engine = &self.parameters.as_ref()?.engine;
        Some(Shape {
            sets: engine.expert_sets,
            experts: engine.experts,
            ranks: self.size,
            replicas_per_rank: engine.replicas_per_rank,
        })
    }

    /// Returns the states of all ranks if all are known, fresh, of the current epoch and serving.
    pub fn fresh_states(&self, now: Instant) -> Option<Vec<RankState>> {
        let is_usable = |rank: &Rank| {
            rank.state.is_open
                && rank.state.epoch == self.epoch
                && now.duration_since(rank.seen_at) < MAX_STATE_AGE
        };
        let all = self.ranks.len() == self.size && self.ranks.values().all(is_usable);
        all.then(|| self.ranks.values().map(|rank| rank.state.clone()).collect())
    }

    /// Returns the next step towards a balanced map, if one is worthwhile.
    pub fn next_step(&self, states: &[RankState]) -> Option<experts::Step> {
        let shape = self.shape()?;
        let is_usable = |demand: &&Demand| demand.is_known() && demand.shape() == shape;
        let demand = self.demand.as_ref().filter(is_usable)?;
        let map = self.map_in_use(states)?;
        let service = self.parameters.as_ref()?;
        let pressure = self.pass_times.mean_ms() / service.pause_goal_ms.max(1.0);
        let times = ChangeTimes { copy_ms: service.engine.copy_ms, switch_ms: self.switch_ms() };
        let limits = StepLimits::for_pressure(pressure, service.engine.max_new_experts, times);
        let paces: Vec<f64> = states.iter().map(|state| state.pace.max(1.0)).collect();
        experts::step(&map, demand, &paces, limits)
    }

    /// Returns the number of passes between requesting a hold and the change of maps.
    pub fn passes_ahead(&self) -> u64 {
        match self.arming_ms {
            Some(arming_ms) => passes_ahead(arming_ms, self.pass_times.newest_ms()),
            None => FIRST_PASSES_AHEAD,
        }
    }

    /// Records the time from requesting a hold until all ranks were armed.
    pub fn record_arming_time(&mut self, elapsed: Duration) {
        let elapsed_ms = elapsed.as_secs_f64() * 1_000.0;
        let mean_ms = self.arming_ms.get_or_insert(elapsed_ms);
        *mean_ms += ARMING_WEIGHT * (elapsed_ms - *mean_ms);
    }

    /// Returns the time from planning a map until it is in use, without the copies, in milliseconds.
    fn switch_ms(&self) -> f64 {
        let passes_ms = self.passes_ahead() as f64 * self.pass_times.mean_ms();
        self.switch_ms.unwrap_or(FIRST_SWITCH_MS + passes_ms)
    }

    /// Records the time from planning a map with `copies` copies on a rank until it was in use.
    pub fn record_switch_time(&mut self, elapsed: Duration, copies: usize) {
        let Some(service) = &self.parameters else {
            return;
        };
        let copies_ms = copies as f64 * service.engine.copy_ms;
        let switch_ms = (elapsed.as_secs_f64() * 1_000.0 - copies_ms).max(0.0);
        let mean_ms = self.switch_ms.get_or_insert(switch_ms);
        *mean_ms += SWITCH_WEIGHT * (switch_ms - *mean_ms);
    }

    /// Returns a step to take instead of the map that is being prepared, if that map is clearly
    /// worse.
    pub fn replacement_step(&self, map: &Map) -> Option<experts::Step> {
        let states = self.states();
        let demand = self.demand.as_ref()?;
        let step = self.next_step(&states)?;
        let paces: Vec<f64> = states.iter().map(|state| state.pace.max(1.0)).collect();
        let is_outdated = experts::skew(map, demand, &paces) > step.skew_after + OUTDATED_SKEW;
        is_outdated.then_some(step)
    }

    /// Returns the map in use: that of the last switch, or one assembled from the ranks' experts.
    pub fn map_in_use(&self, states: &[RankState]) -> Option<Map> {
        let version = states.first()?.map_version;
        if states.iter().any(|state| state.map_version != version) {
            return None;
        }
        if let Some((_, map)) =
            self.last_switch.as_ref().filter(|(switched_version, _)| *switched_version == version)
        {
            return Some(Map::clone(map));
        }
        let sets = self.shape()?.sets;
        let ranks: Vec<&Rank> = self.ranks.values().collect();
        // A list of experts can be older than the state beside it. Assembled from lists of two
        // maps, the result would lack experts and the engines would refuse it.
        let listed = |rank: &&Rank| match &rank.experts {
            Some((listed, experts)) if *listed == version && experts.len() == sets => {
                Some(experts.clone())
            }
            _ => None,
        };
        let ranks: Option<Vec<_>> = ranks.iter().map(listed).collect();
        let ranks = ranks?;
        let set = |set: usize| ranks.iter().map(|experts| experts[set].clone()).collect();
        let map: Map = (0..sets).map(set).collect();
        if !self.shape()?.fits(&map) {
            tracing::warn!(group = self.name, version, "lists of experts make up no map");
            return None;
        }
        Some(map)
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
