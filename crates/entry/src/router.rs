//! Applies the routing policy to the agents that are connected.

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

/// How a request is treated among others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteClass {
    /// It overtakes all that wait.
    pub urgent: bool,
    /// A longer expected wait is refused at once.
    pub max_wait: Duration,
    /// Tries that the workspace allows, the first included.
    pub max_tries: u32,
}

/// Knowledge of the backend servers and the choice among them.
pub struct Router {
    config: RoutingConfig,
    started: Instant,
    state: Mutex<State>,
    suspicion: Mutex<SuspectTracker>,
    reach: OnceLock<Weak<dyn Reach>>,
}

/// Reaches agents that this entry has no link to.
pub trait Reach: Send + Sync {
    /// Whether there is a directory of agents yet.
    fn is_ready(&self) -> bool;

    /// The agent in front of a backend server; its link is opened if there is none.
    fn agent(&self, server: ServerKey) -> Option<Arc<Agent>>;

    /// All backend servers of the fleet that serve this, linked or not, but for those whose link
    /// should be there and is not.
    fn serving(&self, target: &Target) -> Vec<ServerKey>;

    /// Opens links to some more agents that serve this.
    fn invite(&self, target: &Target) -> Vec<Arc<Agent>>;
}

/// How long a request waits for the first link of those that it made this entry open.
const INVITE_LIMIT: Duration = Duration::from_secs(2);

/// How long a new agent's record may take to get here after a caller does.
const LISTED_LIMIT: Duration = Duration::from_secs(2);

/// Time between two looks for it.
const LISTED_POLL: Duration = Duration::from_millis(100);

/// Where a request goes.
pub struct Routed {
    /// The choice.
    pub choice: Choice,
    /// The agent in front of the backend server.
    pub agent: Arc<Agent>,
    /// Without knowledge of prefix caches it would have gone elsewhere.
    pub by_prefix: bool,
}

struct State {
    book: LoadTracker,
    prefixes: PrefixIndex,
    by_target: HashMap<Target, Vec<ServerKey>>,
    agents: HashMap<ServerKey, Arc<Agent>>,
}

impl Default for State {
    fn default() -> Self {
        // Agents send in order and leave a number out where events were lost for good, so there
        // is nothing to wait for.
        let config = PrefixConfig { max_pending: 0, ..PrefixConfig::default() };
        Self {
            book: LoadTracker::default(),
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
    /// Knows no backend server yet.
    pub fn new(config: RoutingConfig) -> Self {
        let suspicion = Mutex::new(SuspectTracker::new(SuspicionConfig::default()));
        let (started, state) = (Instant::now(), Mutex::default());
        Self { config, started, state, suspicion, reach: OnceLock::new() }
    }

    /// Says who opens links on demand; only the first counts.
    pub fn set_reach(&self, reach: Weak<dyn Reach>) {
        let _ = self.reach.set(reach);
    }

    fn reach(&self) -> Option<Arc<dyn Reach>> {
        self.reach.get()?.upgrade()
    }

    /// The agent in front of a backend server, whichever cell that is in.
    pub async fn called(&self, server: ServerKey, deadline: Instant) -> Option<Arc<Agent>> {
        let deadline = deadline.min(Instant::now() + LISTED_LIMIT);
        loop {
            if let Some(agent) = self.agent(server) {
                return Some(agent);
            }
            let reach = self.reach().filter(|reach| reach.is_ready())?;
            if let Some(agent) = reach.agent(server) {
                return Some(agent);
            }
            if Instant::now() >= deadline {
                return None;
            }
            sleep(LISTED_POLL).await;
        }
    }

    /// Like [`Router::route`]; opens links if no agent at hand can serve this.
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
            let invited = self.reach().map(|reach| reach.invite(target)).unwrap_or_default();
            if !any_connects(invited, class.max_wait.min(INVITE_LIMIT)).await {
                return routed;
            }
        }
    }

    /// Adds a backend server whose agent is connected.
    pub fn add(&self, server: ServerKey, serves: &Serves, agent: Arc<Agent>) {
        let mut state = self.lock();
        state.book.insert(server);
        // A new agent process counts its cache events anew.
        state.prefixes.remove(server);
        state.agents.insert(server, agent);
        let servers = state.by_target.entry(Target::from(serves)).or_default();
        if !servers.contains(&server) {
            servers.push(server);
        }
    }

    /// Takes a backend server out, unless another process has taken its name meanwhile.
    pub fn remove(&self, server: ServerKey, agent: &Arc<Agent>) {
        let mut state = self.lock();
        let current = state.agents.get(&server).is_some_and(|known| Arc::ptr_eq(known, agent));
        if !current {
            return;
        }
        state.agents.remove(&server);
        state.book.remove(server);
        state.prefixes.remove(server);
        for servers in state.by_target.values_mut() {
            servers.retain(|known| *known != server);
        }
    }

    /// The agent in front of a backend server.
    pub fn agent(&self, server: ServerKey) -> Option<Arc<Agent>> {
        self.lock().agents.get(&server).cloned()
    }

    /// Notes whether a backend server takes new work.
    pub fn set_accepting(&self, server: ServerKey, leaving: bool, backend_up: bool) {
        let availability = match (leaving, backend_up) {
            (true, _) => Availability::Leaving,
            (false, false) => Availability::Suspect,
            (false, true) => Availability::Available,
        };
        self.lock().book.set_availability(server, availability);
    }

    /// What may be done with a request, by what is known of crashes.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let now = self.started.elapsed();
        self.suspicion().verdict(fingerprint, now)
    }

    /// Takes in suspicions and returns what was news, for all other agents.
    pub fn suspect(&self, records: &[SuspectRecord]) -> Vec<SuspectRecord> {
        let now = self.started.elapsed();
        let mut suspicion = self.suspicion();
        suspicion.merge(records, now);
        suspicion.drain_changes(now)
    }

    /// All suspicions, for an agent that has just been connected.
    pub fn suspicions(&self) -> Vec<SuspectRecord> {
        self.suspicion().records(self.started.elapsed())
    }

    /// All agents that are connected.
    pub fn agents(&self) -> Vec<Arc<Agent>> {
        self.lock().agents.values().cloned().collect()
    }

    /// Takes in the load that a message carried.
    pub fn learn(&self, server: ServerKey, hint: LoadHint) {
        let now = self.started.elapsed();
        let book = &mut self.lock().book;
        match hint {
            LoadHint::Whole(load) => book.on_current_load(server, load, now),
            LoadHint::Occupancy(Occupancy(hint)) => book.on_hint(server, hint, now),
        }
    }

    /// Takes in changes of a backend server's prefix cache.
    pub fn learn_cache(&self, server: ServerKey, events: Vec<CacheEvent>) {
        let now = self.started.elapsed();
        let mut state = self.lock();
        if !state.agents.contains_key(&server) {
            return;
        }
        for event in events {
            state.prefixes.on_event(server, event, now);
        }
    }

    /// Leading blocks of a prompt that a backend server probably has cached.
    pub fn covered_blocks(&self, server: ServerKey, prompt: &[BlockHash]) -> f64 {
        let now = self.started.elapsed();
        self.lock().prefixes.covered_blocks(server, prompt, now)
    }

    /// Blocks of prefix caches that are remembered in all.
    pub fn block_count(&self) -> usize {
        self.lock().prefixes.block_count()
    }

    /// Chooses a backend server for a request whose prompt has these blocks, and counts the
    /// request that will be sent to it.
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
        let choice = choose(&config, request, servers, &state.book, now, extra_cost)?;
        let by_prefix = extra.is_covered(choice.server) && {
            let no_cost = |_| Some(Duration::ZERO);
            let otherwise = choose(&config, request, servers, &state.book, now, no_cost);
            otherwise.is_ok_and(|otherwise| otherwise.server != choice.server)
        };
        let agent = state.agents.get(&choice.server).cloned().ok_or(RouteError::NoneAvailable)?;
        state.book.on_sent(choice.server, now);
        Ok(Routed { choice, agent, by_prefix })
    }

    /// Chooses the one backend server for a request that may have crashed others.
    pub fn route_isolated(
        &self,
        target: &Target,
        fingerprint: Fingerprint,
        crashed: &[ServerKey],
    ) -> Result<(ServerKey, Arc<Agent>), RouteError> {
        let now = self.started.elapsed();
        let server = self.alone(target, fingerprint, crashed)?;
        let reached = || self.reach().and_then(|reach| reach.agent(server));
        let agent = self.agent(server).or_else(reached).ok_or(RouteError::NoneAvailable)?;
        self.lock().book.on_sent(server, now);
        Ok((server, agent))
    }

    /// The choice is among all backend servers of the fleet: were it among those at hand, copies
    /// through entries of different cells would each crash another one.
    fn alone(
        &self,
        target: &Target,
        fingerprint: Fingerprint,
        crashed: &[ServerKey],
    ) -> Result<ServerKey, RouteError> {
        let mut servers = self.reach().map(|reach| reach.serving(target)).unwrap_or_default();
        let state = self.lock();
        servers.extend(state.by_target.get(target).into_iter().flatten());
        servers.sort_unstable();
        servers.dedup();
        choose_alone(fingerprint, crashed, &servers, &state.book)
    }

    /// Backend servers by what they serve, for the choice of subsets.
    pub fn scopes(&self) -> Vec<(ScopeKey, Vec<ServerKey>)> {
        let state = self.lock();
        let scopes = state.by_target.iter();
        let mut scopes: Vec<_> =
            scopes.map(|(target, servers)| (target.scope(), servers.clone())).collect();
        scopes.sort_unstable();
        scopes
    }

    /// Counts the end of a request that was sent.
    pub fn ended(&self, server: ServerKey) {
        let now = self.started.elapsed();
        self.lock().book.on_ended(server, now);
    }

    fn suspicion(&self) -> MutexGuard<'_, SuspectTracker> {
        self.suspicion.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether one of these agents is connected in time.
async fn any_connects(agents: Vec<Arc<Agent>>, limit: Duration) -> bool {
    let connecting = agents.iter().map(|agent| Box::pin(agent.connected_after(0)));
    let connecting: Vec<_> = connecting.collect();
    if connecting.is_empty() {
        return false;
    }
    timeout(limit, select_all(connecting)).await.is_ok()
}
