//! Whose turn it is while a service is short of room, as far as this entry knows.

use crate::exchange::Exchange;
use crate::group::{Admission, Fullness};
use flamingowheel_fleet::Configuration;
use flamingowheel_policy::key::{Fingerprint, WorkspaceKey};
use flamingowheel_policy::passes;
use flamingowheel_policy::priority::Levels;
use flamingowheel_policy::urgency::{Arrival, Demand, GivesWay, Standing, Turnover};
use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The ranks of urgency of each service's requests.
pub type LevelsByService = HashMap<String, Levels>;

/// Most callers whose return is remembered.
const MAX_RETURNS: usize = 1_024;

/// Time by which a caller may come back before it was told to: its clock, and the way.
const RETURN_TOLERANCE: Duration = Duration::from_millis(25);

/// The ranks of urgency that a configuration knows.
pub fn levels(configuration: &Configuration) -> LevelsByService {
    let workspaces = configuration.workspaces.as_ref();
    let mut of_workspaces: Vec<Option<u32>> =
        workspaces.into_iter().flat_map(HashMap::values).map(|w| w.priority).collect();
    of_workspaces.sort_unstable();
    of_workspaces.dedup();
    let mut keyed: HashMap<&str, HashSet<u32>> = HashMap::new();
    let mut public: HashMap<&str, HashSet<u32>> = HashMap::new();
    for route in configuration.routes.values().flat_map(HashMap::values) {
        let is_open = route.is_public || workspaces.is_none();
        let by_service = if is_open { &mut public } else { &mut keyed };
        for split in &route.splits {
            by_service.entry(&split.service).or_default().insert(route.priority);
        }
    }
    let of_service = |service: &&str| {
        let priorities = |routes: &HashMap<&str, HashSet<u32>>| -> Vec<u32> {
            routes.get(service).into_iter().flatten().copied().collect()
        };
        let (keyed, public) = (priorities(&keyed), priorities(&public));
        let levels = Levels::new(&keyed, &of_workspaces).with(&public, &[None]);
        ((*service).to_owned(), levels)
    };
    let services: HashSet<&str> = keyed.keys().chain(public.keys()).copied().collect();
    services.iter().map(of_service).collect()
}

/// What decides about one request while its service is short of room.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Random number between 0 and 1, the same for all decisions on the request.
    pub draw: f64,
    /// Its conditions among the requests of this entry.
    pub standing: Standing,
}

impl Turn {
    /// The request's conditions for admission; `None` for routes without a goal for pauses, unless
    /// the request gives way to others.
    pub fn admission(&self, exchange: &Exchange) -> Option<Admission> {
        let Self { draw, standing: Standing { cut, caution, gives_way, precedes, .. } } = *self;
        let pause_goal_ms = exchange.route.pause_goal_ms as f64;
        if pause_goal_ms <= 0.0 {
            let goal_ms = exchange.route.goal_ms as f64;
            let pass_limit_ms = passes::limit_ms(goal_ms, false, draw);
            let has_limit = cut > 0.0 && goal_ms > 0.0;
            return has_limit.then_some(Admission {
                pass_limit_ms,
                pause_goal_ms,
                draw,
                cut,
                caution,
            });
        }
        // A caller's retry has priority over a first attempt, if it comes as told.
        let is_caller_retry = exchange.is_caller_retry() && gives_way != GivesWay::ToPatient;
        let pass_limit_ms = passes::limit_ms(pause_goal_ms, is_caller_retry, draw);
        // Part of the entry's requests in the group are less urgent, and make room first.
        let has_all_places = is_caller_retry || (precedes && gives_way == GivesWay::ToNone);
        let draw = if has_all_places { 1.0 } else { draw };
        Some(Admission { pass_limit_ms, pause_goal_ms, draw, cut, caution })
    }

    /// Whether the request may wait for room that more urgent ones have taken.
    pub fn waits_for_room(&self) -> bool {
        self.standing.gives_way == GivesWay::ToUrgent
    }
}

/// The requests of each service at this entry, and the callers that it has refused.
#[derive(Debug)]
pub struct Turns {
    origin: Instant,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    services: HashMap<String, Service>,
    /// When refused requests may return.
    returns: HashMap<Fingerprint, Duration>,
}

#[derive(Debug, Default)]
struct Service {
    demand: Demand,
    /// Requests that wait for room.
    waiting: u32,
}

impl Default for Turns {
    fn default() -> Self {
        Self { origin: Instant::now(), state: Mutex::default() }
    }
}

impl Turns {
    /// Records a request that has arrived. Returns the conditions under which it is admitted.
    pub fn arrive(&self, exchange: &Exchange, draw: f64, now: Instant) -> Standing {
        let at = now - self.origin;
        let state = &mut *self.lock();
        let told = state.returns.remove(&exchange.fingerprint);
        let is_before_told = told.is_some_and(|told| at + RETURN_TOLERANCE < told);
        let is_early = exchange.level.is_some() && is_before_told;
        // Where all requests have one rank, room is shared as it was.
        let workspace = exchange.workspace.as_ref().filter(|_| exchange.level.is_some());
        let workspace = workspace.map(|workspace| WorkspaceKey::from_name(&workspace.name));
        let arrival = Arrival { rank: exchange.rank, workspace, is_early, draw };
        let standing = state.service(&exchange.service).demand.arrive(&arrival, at);
        if let Some(told) = told.filter(|told| is_early && *told > at) {
            state.returns.insert(exchange.fingerprint, told);
        }
        standing
    }

    /// Records that a request goes to a server.
    pub fn admit(&self, exchange: &Exchange, now: Instant) {
        let at = now - self.origin;
        let state = &mut *self.lock();
        state.returns.remove(&exchange.fingerprint);
        state.service(&exchange.service).demand.settle(exchange.rank, true, at);
    }

    /// Records that a request is refused as a service is full. Returns when its caller should come
    /// back, in milliseconds from now.
    pub fn refuse(&self, exchange: &Exchange, fullness: &Fullness, draw: f64, now: Instant) -> u64 {
        let at = now - self.origin;
        let retry_after_ms = passes::retry_after_ms(fullness.crowding, fullness.pass_ms, draw);
        let delay = Duration::from_millis(retry_after_ms);
        let state = &mut *self.lock();
        let demand = &mut state.service(&exchange.service).demand;
        demand.settle(exchange.rank, false, at);
        let delay = demand.return_after(exchange.rank, delay, turnover(fullness).interval(), at);
        if state.returns.len() >= MAX_RETURNS {
            state.returns.retain(|_, told| *told > at);
        }
        if state.returns.len() < MAX_RETURNS {
            state.returns.insert(exchange.fingerprint, at + delay);
        }
        delay.as_millis() as u64
    }

    /// Lets a request wait for room, if that is likely to be in time for its goal. Returns for how
    /// long at most.
    pub fn wait(
        self: &Arc<Self>,
        exchange: &Exchange,
        fullness: &Fullness,
    ) -> Option<(Waiting, Duration)> {
        let goal_ms = exchange.route.goal_ms as f64;
        let state = &mut *self.lock();
        let waiting = &mut state.service(&exchange.service).waiting;
        let max_wait = turnover(fullness).max_wait(goal_ms, *waiting)?;
        *waiting += 1;
        let (turns, service) = (Arc::clone(self), exchange.service.clone());
        Some((Waiting { turns, service }, max_wait))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn service(&mut self, name: &str) -> &mut Service {
        if !self.services.contains_key(name) {
            self.services.insert(name.to_owned(), Service::default());
        }
        self.services.entry(name.to_owned()).or_default()
    }
}

fn turnover(fullness: &Fullness) -> Turnover {
    let Fullness { crowding, pass_ms, own_requests, .. } = *fullness;
    Turnover { crowding, pass_ms, own_requests }
}

/// Counts a request as waiting until dropped.
#[derive(Debug)]
pub struct Waiting {
    turns: Arc<Turns>,
    service: String,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let state = &mut *self.turns.lock();
        let waiting = &mut state.service(&self.service).waiting;
        *waiting = waiting.saturating_sub(1);
    }
}
