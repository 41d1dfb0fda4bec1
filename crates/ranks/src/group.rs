//! What a coordinator knows of its group, and when it is worth to change the map.

use crate::pace::PassTimes;
use crate::switch::PASSES_AHEAD;
use flamingowheel_fleet::EngineParameters;
use flamingowheel_policy::experts::{self, ChangeTimes, Demand, Map, Shape, StepLimits};
use flamingowheel_protocol::ranks::{GroupRecord, RankRecord, RankState, RankUpdate};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A rank's state older than this is not acted on.
const FRESH: Duration = Duration::from_millis(600);

/// Skew by which a map under preparation must be worse than one planned now to be given up for it:
/// a third of a pass, for the fifth of a second that is lost.
const OUTDATED_SKEW: f64 = 0.35;

/// Change of a rank's pace that entries are told of.
const PACE_STEP: f64 = 0.25;

/// Time of a change besides copies and passes, in milliseconds: the hold and its proof, the arming,
/// and the lists of experts from which the next change is planned.
const SWITCH_MS: f64 = 200.0;

/// What is known of one rank.
#[derive(Debug)]
pub struct Rank {
    /// As its agent told last.
    pub state: RankState,
    /// When that was.
    pub seen_at: Instant,
    /// Its engine's address.
    pub engine: SocketAddr,
    /// The experts held, by set, under the map of this version.
    pub experts: Option<(u64, Vec<Vec<u16>>)>,
}

/// What the configuration says of the engines' service.
#[derive(Clone, Debug)]
pub struct ServiceParameters {
    /// The engines' parameters.
    pub engine: EngineParameters,
    /// The shortest pause goal of its routes, in milliseconds.
    pub pause_goal_ms: f64,
}

/// What is known of the group.
#[derive(Debug)]
pub struct Group {
    pub(crate) name: String,
    pub(crate) epoch: u64,
    pub(crate) size: usize,
    pub(crate) ranks: BTreeMap<usize, Rank>,
    pub(crate) demand: Option<Demand>,
    pub(crate) window: Vec<u64>,
    /// The last pass of the window before.
    pub(crate) window_pass: Option<u64>,
    pub(crate) pass_times: PassTimes,
    /// What the configuration says of its service; `None` until it was read.
    pub parameters: Option<ServiceParameters>,
    pub(crate) connected: HashSet<SocketAddr>,
    pub(crate) listed_at: Option<Instant>,
    pub(crate) announced: Option<(GroupRecord, Instant)>,
    pub(crate) stop: CancellationToken,
}

impl Group {
    /// The group of a rank, of which nothing else is known.
    pub fn new(state: &RankState) -> Self {
        Self {
            name: state.group.clone(),
            epoch: state.epoch,
            size: state.size,
            ranks: BTreeMap::new(),
            demand: None,
            window: Vec::new(),
            window_pass: None,
            pass_times: PassTimes::default(),
            parameters: None,
            connected: HashSet::new(),
            listed_at: None,
            announced: None,
            stop: CancellationToken::new(),
        }
    }

    /// Takes in what a rank's agent tells.
    pub fn take(&mut self, update: RankUpdate, engine: SocketAddr) {
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
        let choices = choices.unpack();
        if self.window.len() == choices.len() {
            for (sum, choices) in self.window.iter_mut().zip(&choices) {
                *sum += u64::from(*choices);
            }
        } else if !choices.is_empty() {
            self.window = choices.iter().map(|choices| u64::from(*choices)).collect();
        }
        if state.rank == 0 {
            self.pass_times.observe(&state, Instant::now());
        }
        let known = self.ranks.remove(&state.rank).and_then(|rank| rank.experts);
        let is_listed = !experts.is_empty();
        let experts = if is_listed { Some((state.map_version, experts)) } else { known };
        let seen_at = Instant::now();
        self.ranks.insert(state.rank, Rank { state, seen_at, engine, experts });
    }

    /// What entries are told of the group.
    pub fn record(&self) -> GroupRecord {
        let ranks = self.ranks.values();
        let ranks = ranks.map(|rank| RankRecord { engine: rank.engine, pace: rank.state.pace });
        GroupRecord { epoch: self.epoch, ranks: ranks.collect() }
    }

    /// The ranks' states, as told last.
    pub fn states(&self) -> Vec<RankState> {
        self.ranks.values().map(|rank| rank.state.clone()).collect()
    }

    /// Learns from the choices since the last call. Returns whether demand has shifted.
    pub fn close_window(&mut self) -> bool {
        let Some(shape) = self.shape() else {
            return false;
        };
        if self.window.len() != shape.sets * shape.experts {
            return false;
        }
        // A window shorter than a pass holds what some ranks have told of it, which looks like
        // another demand each time.
        let pass = self.ranks.get(&0).map(|rank| rank.state.pass);
        if self.window_pass == pass {
            return false;
        }
        self.window_pass = pass;
        let demand = self.demand.get_or_insert_with(|| Demand::new(shape));
        let has_shifted = demand.observe(&self.window);
        if has_shifted {
            tracing::info!(group = self.name, "demand shifted");
        }
        self.window.fill(0);
        has_shifted
    }

    /// The sizes of the group's map; `None` until the parameters are known.
    pub fn shape(&self) -> Option<Shape> {
        let engine = &self.parameters.as_ref()?.engine;
        Some(Shape {
            sets: engine.expert_sets,
            experts: engine.experts,
            ranks: self.size,
            replicas_per_rank: engine.replicas_per_rank,
        })
    }

    /// All ranks' states, if all are known, fresh, and of one working group.
    pub fn fresh_states(&self, now: Instant) -> Option<Vec<RankState>> {
        let is_usable = |rank: &Rank| {
            rank.state.is_open
                && rank.state.epoch == self.epoch
                && now.duration_since(rank.seen_at) < FRESH
        };
        let all = self.ranks.len() == self.size && self.ranks.values().all(is_usable);
        all.then(|| self.ranks.values().map(|rank| rank.state.clone()).collect())
    }

    /// The next step to an even map, if one is worth it.
    pub fn next_step(&self, states: &[RankState]) -> Option<experts::Step> {
        let demand = self.demand.as_ref().filter(|demand| demand.is_known())?;
        let map = self.map_in_use(states)?;
        let service = self.parameters.as_ref()?;
        let pressure = self.pass_times.mean_ms() / service.pause_goal_ms.max(1.0);
        let times = ChangeTimes {
            copy_ms: service.engine.copy_ms,
            switch_ms: SWITCH_MS + PASSES_AHEAD as f64 * self.pass_times.mean_ms(),
        };
        let limits = StepLimits::for_pressure(pressure, service.engine.max_new_experts, times);
        let paces: Vec<f64> = states.iter().map(|state| state.pace.max(1.0)).collect();
        experts::step(&map, demand, &paces, limits)
    }

    /// The step to take instead of a map that is being prepared, if that would be left clearly behind.
    pub fn step_instead_of(&self, map: &Map) -> Option<experts::Step> {
        let states = self.states();
        let demand = self.demand.as_ref()?;
        let step = self.next_step(&states)?;
        let paces: Vec<f64> = states.iter().map(|state| state.pace.max(1.0)).collect();
        let is_outdated = experts::skew(map, demand, &paces) > step.skew_after + OUTDATED_SKEW;
        is_outdated.then_some(step)
    }

    /// The map in use, put together from what the ranks hold.
    pub fn map_in_use(&self, states: &[RankState]) -> Option<Map> {
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

/// Whether entries would do the same with both records.
pub fn is_alike(a: &GroupRecord, b: &GroupRecord) -> bool {
    let pairs = a.ranks.iter().zip(&b.ranks);
    a.ranks.len() == b.ranks.len()
        && pairs.into_iter().all(|(a, b)| {
            a.engine == b.engine && (a.pace - b.pace).abs() < PACE_STEP * a.pace.max(b.pace)
        })
}

impl Drop for Group {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}
