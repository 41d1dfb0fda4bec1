//! Applies the routing policy to the agents that are connected.

use crate::agents::{Agent, Target};
use flamingowheel_policy::key::{Fingerprint, ScopeKey, ServerKey};
use flamingowheel_policy::load::{Availability, Load, LoadBook};
use flamingowheel_policy::routing::{Choice, RouteError, RouteRequest, RoutingConfig, choose};
use flamingowheel_protocol::message::{LoadHint, Serves};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Knowledge of the backend servers and the choice among them.
pub struct Router {
    config: RoutingConfig,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    book: LoadBook,
    by_target: HashMap<Target, Vec<ServerKey>>,
    agents: HashMap<ServerKey, Arc<Agent>>,
}

impl Default for Router {
    fn default() -> Self {
        Self::new(RoutingConfig::default())
    }
}

impl Router {
    /// Knows no backend server yet.
    pub fn new(config: RoutingConfig) -> Self {
        Self { config, started: Instant::now(), state: Mutex::default() }
    }

    /// Adds a backend server whose agent is connected.
    pub fn add(&self, server: ServerKey, serves: &Serves, agent: Arc<Agent>) {
        let mut state = self.lock();
        state.book.insert(server);
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

    /// Takes in the load that a message carried.
    pub fn learn(&self, server: ServerKey, hint: LoadHint) {
        let now = self.started.elapsed();
        let book = &mut self.lock().book;
        match hint {
            LoadHint::Whole(load) => {
                let load = Load {
                    running: load.running,
                    waiting: load.waiting,
                    places: load.places,
                    service_ms: load.service_ms,
                };
                book.on_fresh(server, load, now);
            }
            LoadHint::Occupied(occupied) => book.on_hint(server, occupied, now),
        }
    }

    /// Chooses a backend server and counts the request that will be sent to it.
    pub fn route(
        &self,
        target: &Target,
        fingerprint: Fingerprint,
        tried: &[ServerKey],
    ) -> Result<(Choice, Arc<Agent>), RouteError> {
        let now = self.started.elapsed();
        let mut state = self.lock();
        let servers = state.by_target.get(target).ok_or(RouteError::NoneAvailable)?;
        let request = RouteRequest { fingerprint, tried };
        let no_cost = |_| Some(Duration::ZERO);
        let choice = choose(&self.config, &request, servers, &state.book, now, no_cost)?;
        let agent = state.agents.get(&choice.server).cloned().ok_or(RouteError::NoneAvailable)?;
        state.book.on_sent(choice.server, now);
        Ok((choice, agent))
    }

    /// Backend servers by what they serve, for the choice of subsets.
    pub fn scopes(&self) -> Vec<(ScopeKey, Vec<ServerKey>)> {
        let state = self.lock();
        state.by_target.iter().map(|(target, servers)| (target.scope(), servers.clone())).collect()
    }

    /// Counts the end of a request that was sent.
    pub fn ended(&self, server: ServerKey) {
        let now = self.started.elapsed();
        self.lock().book.on_ended(server, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
