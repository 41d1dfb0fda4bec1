//! Applies the routing policy to the connected agents.

use crate::agents::{Agent, Target};
use flamingowheel_policy::key::{Fingerprint, ScopeKey, ServerKey};
use flamingowheel_policy::load::{Availability, LoadTracker};
use flamingowheel_policy::prefix::{BlockHash, CacheEvent, PrefixConfig, PrefixIndex};
use flamingowheel_policy::routing::{
    Choice, RouteError, RouteRequest, RoutingConfig, choose, choose_alone,
};
use flamingowheel_policy::suspicion::{SuspectRecord, SuspectTracker, SuspicionConfig, Verdict};
use flamingowheel_protocol::message::{LoadHint, Occupancy, Serves};
use futures_util::future::select_all;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// A request's priority, longest wait and number of attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteClass {
    /// Whether the request overtakes waiting requests.
    pub urgent: bool,
    /// Longest expected wait; beyond it the request is refused at once.
    pub max_wait: Duration,
    /// Number of attempts that the workspace allows, the first included.
    pub max_tries: u32,
}

/// Tracks the backend servers' load, caches and suspicions and chooses among the servers.
pub struct Router {
    config: RoutingConfig,
    started: Instant,
    state: Mutex<State>,
    suspects: Mutex<SuspectTracker>,
    directory: OnceLock<Weak<dyn AgentDirectory>>,
}

/// Finds agents that this entry has no link to, and opens links to them.
pub trait AgentDirectory: Send + Sync {
    /// Whether the directory has been received.
    fn is_ready(&self) -> bool;

    /// The agent of a backend server; `None` if it is not listed. Opens its link if there is none.
    fn agent(&self, server: ServerKey) -> Option<Arc<Agent>>;

    /// All backend servers of the fleet that serve `target`, linked or not, except those in this
    /// entry's cells whose connection is lost.
    fn serving(&self, target: &Target) -> Vec<ServerKey>;

    /// Opens links to some more agents that serve `target` and returns these agents.
    fn open_links(&self, target: &Target) -> Vec<Arc<Agent>>;
}

/// How long a request waits for the first connection of the links opened for it.
const ON_DEMAND_LINK_TIMEOUT: Duration = Duration::from_secs(2);

/// How long to wait for an agent that is not in the directory yet, since a caller can reach this entry
/// with the agent's ticket before the agent's record does.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two lookups during that wait.
const DIRECTORY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The routing decision for a request.
pub struct Routed {
    /// The chosen backend server and its expected cost.
    pub choice: Choice,
    /// The agent of the chosen backend server.
    pub agent: Arc<Agent>,
    /// Whether the prefix caches decided: without them another server would have been chosen.
    pub by_prefix: bool,
}

struct State {
    load: LoadTracker,
    prefixes: PrefixIndex,
    by_target: HashMap<Target, Vec<ServerKey>>,
    agents: HashMap<ServerKey, Arc<Agent>>,
}

impl Default for State {
    fn default() -> Self {
        // Agents send events in order and skip a number where events were lost permanently, so there
        // are no missing events to wait for.
        let config = PrefixConfig { max_pending: 0, ..PrefixConfig::default() };
        Self {
            load: LoadTracker::default(),
            prefixes: PrefixIndex::new(config),
            by_target: HashMap::new(),
            agents: HashMap::new(),
        }
    }
}

impl Default for Router {
    fn default() -> Self {
        Self::new(RoutingConfig::default())
    }
}

impl Router {
    /// A router without backend servers.
    pub fn new(config: RoutingConfig) -> Self {
        let suspects = Mutex::new(SuspectTracker::new(SuspicionConfig::default()));
        let (started, state) = (Instant::now(), Mutex::default());
        Self { config, started, state, suspects, directory: OnceLock::new() }
    }

    /// Sets the directory that opens links on demand; only the first call has an effect.
    pub fn set_directory(&self, directory: Weak<dyn AgentDirectory>) {
        let _ = self.directory.set(directory);
    }

    fn directory(&self) -> Option<Arc<dyn AgentDirectory>> {
        self.directory.get()?.upgrade()
    }

    /// The agent of a backend server in any cell. Waits for the directory if it isn't listed yet.
    pub async fn find_agent(&self, server: ServerKey, deadline: Instant) -> Option<Arc<Agent>> {
        let deadline = deadline.min(Instant::now() + DIRECTORY_TIMEOUT);
        loop {
            if let Some(agent) = self.agent(server) {
                return Some(agent);
            }
            let directory = self.directory().filter(|directory| directory.is_ready())?;
            if let Some(agent) = directory.agent(server) {
                return Some(agent);
            }
            if Instant::now() >= deadline {
                return None;
            }
            sleep(DIRECTORY_POLL_INTERVAL).await;
        }
    }

    /// Like [`Router::route`], but opens links on demand if no linked agent can serve `target`.
    pub async fn route_anywhere(
        &self,
        target: &Target,
        request: &RouteRequest<'_>,
        class: &RouteClass,
        prompt: &[BlockHash],
    ) -> Result<Routed, RouteError> {
        loop {
            let routed = self.route(target, request, class, prompt);
            if !matches!(routed, Err(RouteError::NoneAvailable)) {
                return routed;
            }
            let linked =
                self.directory().map(|directory| directory.open_links(target)).unwrap_or_default();
            if !any_connects(linked, class.max_wait.min(ON_DEMAND_LINK_TIMEOUT)).await {
                return routed;
            }
        }
    }

    /// Adds a backend server whose agent is connected.
    pub fn add(&self, server: ServerKey, serves: &Serves, agent: Arc<Agent>) {
        let mut state = self.lock();
        state.load.insert(server);
        // A new agent process numbers its cache events from the start.
        state.prefixes.remove(server);
        state.agents.insert(server, agent);
        let servers = state.by_target.entry(Target::from(serves)).or_default();
        if !servers.contains(&server) {
            servers.push(server);
        }
    }

    /// Removes a backend server, unless another agent process has been added under its name.
    pub fn remove(&self, server: ServerKey, agent: &Arc<Agent>) {
        let mut state = self.lock();
        let is_current =
            state.agents.get(&server).is_some_and(|current| Arc::ptr_eq(current, agent));
        if !is_current {
            return;
        }
        state.agents.remove(&server);
        state.load.remove(server);
        state.prefixes.remove(server);
        for servers in state.by_target.values_mut() {
            servers.retain(|other| *other != server);
        }
    }

    /// The agent of a backend server, if it was added.
    pub fn agent(&self, server: ServerKey) -> Option<Arc<Agent>> {
        self.lock().agents.get(&server).cloned()
    }

    /// Records whether a backend server accepts new work.
    pub fn set_accepting(&self, server: ServerKey, leaving: bool, backend_up: bool) {
        let availability = match (leaving, backend_up) {
            (true, _) => Availability::Leaving,
            (false, false) => Availability::Suspect,
            (false, true) => Availability::Available,
        };
        self.lock().load.set_availability(server, availability);
    }

    /// Whether a request may run, must be isolated or is refused, according to recorded crashes.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let now = self.started.elapsed();
        self.suspects().verdict(fingerprint, now)
    }

    /// Merges suspicions and returns the changed ones, to be sent to all other agents.
    pub fn merge_suspicions(&self, records: &[SuspectRecord]) -> Vec<SuspectRecord> {
        let now = self.started.elapsed();
        let mut suspects = self.suspects();
        suspects.merge(records, now);
        suspects.drain_changes(now)
    }

    /// All suspicions, for an agent that has just connected.
    pub fn suspicions(&self) -> Vec<SuspectRecord> {
        self.suspects().records(self.started.elapsed())
    }

    /// All agents that were added.
    pub fn agents(&self) -> Vec<Arc<Agent>> {
        self.lock().agents.values().cloned().collect()
    }

    /// Applies the load that an agent reported.
    pub fn update_load(&self, server: ServerKey, hint: LoadHint) {
        let now = self.started.elapsed();
        let load_tracker = &mut self.lock().load;
        match hint {
            LoadHint::Whole(load) => load_tracker.on_current_load(server, load, now),
            LoadHint::Occupancy(Occupancy(hint)) => load_tracker.on_hint(server, hint, now),
        }
    }

    /// Applies changes of a backend server's prefix cache.
    pub fn apply_cache_events(&self, server: ServerKey, events: Vec<CacheEvent>) {
        let now = self.started.elapsed();
        let mut state = self.lock();
        if !state.agents.contains_key(&server) {
            return;
        }
        for event in events {
            state.prefixes.on_event(server, event, now);
        }
    }

    /// Estimated number of leading prompt blocks that a backend server has cached.
    pub fn covered_blocks(&self, server: ServerKey, prompt: &[BlockHash]) -> f64 {
        let now = self.started.elapsed();
        self.lock().prefixes.covered_blocks(server, prompt, now)
    }

    /// Number of cached blocks tracked for all backend servers.
    pub fn block_count(&self) -> usize {
        self.lock().prefixes.block_count()
    }

    /// Chooses a backend server for a request whose prompt has the blocks `prompt`, and counts the
    /// request as sent to it.
    pub fn route(
        &self,
        target: &Target,
        request: &RouteRequest<'_>,
        class: &RouteClass,
        prompt: &[BlockHash],
    ) -> Result<Routed, RouteError> {
        let now = self.started.elapsed();
        let mut state = self.lock();
        let servers = state.by_target.get(target).ok_or(RouteError::NoneAvailable)?;
        let extra = state.prefixes.extra_prefill(servers, prompt, now);
        let RouteClass { urgent, max_wait, max_tries } = *class;
        let config = RoutingConfig { urgent, max_wait, max_tries, ..self.config };
        let extra_cost = |server| Some(extra.of(server));
        let choice = choose(&config, request, servers, &state.load, now, extra_cost)?;
        let by_prefix = extra.is_covered(choice.server) && {
            let no_cost = |_| Some(Duration::ZERO);
            let otherwise = choose(&config, request, servers, &state.load, now, no_cost);
            otherwise.is_ok_and(|otherwise| otherwise.server != choice.server)
        };
        let agent = state.agents.get(&choice.server).cloned().ok_or(RouteError::NoneAvailable)?;
        state.load.on_sent(choice.server, now);
        Ok(Routed { choice, agent, by_prefix })
    }

    /// Chooses the one backend server for a request that may have crashed others, and counts the
    /// request as sent to it.
    pub fn route_isolated(
        &self,
        target: &Target,
        fingerprint: Fingerprint,
        crashed: &[ServerKey],
    ) -> Result<(ServerKey, Arc<Agent>), RouteError> {
        let now = self.started.elapsed();
        let server = self.choose_isolated(target, fingerprint, crashed)?;
        let linked = || self.directory().and_then(|directory| directory.agent(server));
        let agent = self.agent(server).or_else(linked).ok_or(RouteError::NoneAvailable)?;
        self.lock().load.on_sent(server, now);
        Ok((server, agent))
    }

    /// Chooses among all backend servers of the fleet. If only linked ones were considered, copies of
    /// the request through entries of different cells could each crash a different server.
    fn choose_isolated(
        &self,
        target: &Target,
        fingerprint: Fingerprint,
        crashed: &[ServerKey],
    ) -> Result<ServerKey, RouteError> {
        let mut servers =
            self.directory().map(|directory| directory.serving(target)).unwrap_or_default();
        let state = self.lock();
        servers.extend(state.by_target.get(target).into_iter().flatten());
        servers.sort_unstable();
        servers.dedup();
        choose_alone(fingerprint, crashed, &servers, &state.load)
    }

    /// Backend servers by what they serve, for choosing subsets.
    pub fn scopes(&self) -> Vec<(ScopeKey, Vec<ServerKey>)> {
        let state = self.lock();
        let scopes = state.by_target.iter();
        let mut scopes: Vec<_> =
            scopes.map(|(target, servers)| (target.scope(), servers.clone())).collect();
        scopes.sort_unstable();
        scopes
    }

    /// Counts the end of a request that was sent to `server`.
    pub fn request_ended(&self, server: ServerKey) {
        let now = self.started.elapsed();
        self.lock().load.on_ended(server, now);
    }

    fn suspects(&self) -> MutexGuard<'_, SuspectTracker> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether one of these agents connects within `limit`.
async fn any_connects(agents: Vec<Arc<Agent>>, limit: Duration) -> bool {
    let connecting = agents.iter().map(|agent| Box::pin(agent.connected_after(0)));
    let connecting: Vec<_> = connecting.collect();
    if connecting.is_empty() {
        return false;
    }
    timeout(limit, select_all(connecting)).await.is_ok()
}
