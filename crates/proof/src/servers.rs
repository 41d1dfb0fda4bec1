//! The backend servers of the world.

use crate::entry::{MODEL, SERVICE};
use crate::oracle::Runs;
use flamingowheel_backing::backend::BackendServer;
use flamingowheel_backing::fake::{EngineSettings, FakeEngine, FakeService};
use flamingowheel_protocol::message::{BackendProfile, Serves};
use std::sync::Arc;
use std::time::Duration;

/// Default number of plain services.
pub const SERVICES: usize = 3;
/// Default number of engines.
pub const ENGINES: usize = 2;
/// Default number of backend servers; services come first.
pub const SERVERS: usize = SERVICES + ENGINES;

/// Requests that a backend server runs at once.
const PLACES: u32 = 4;
/// How many backend servers a world has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of plain services; they have the lowest indices.
    pub services: usize,
    /// Number of engines; their indices follow those of the services.
    pub engines: usize,
}

impl Default for Size {
    fn default() -> Self {
        Self { services: SERVICES, engines: ENGINES }
    }
}

/// The backend servers; they outlive their agents.
#[derive(Clone)]
pub struct Servers {
    /// Plain services, the first backend servers by index.
    pub services: Vec<FakeService>,
    /// Engines, indexed after the services.
    pub engines: Vec<FakeEngine>,
}

impl Servers {
    /// Starts the backend servers.
    pub fn start(size: Size) -> Self {
        let services = (0..size.services as u64).map(FakeService::new).collect();
        let settings = EngineSettings {
            token_delay: Duration::from_millis(50),
            restart_after: Some(Duration::from_secs(3)),
            places: PLACES as usize,
            ..EngineSettings::default()
        };
        let engine = |seed| FakeEngine::new(100 + seed, settings.clone());
        let engines = (0..size.engines as u64).map(engine).collect();
        Self { services, engines }
    }

    /// Number of backend servers.
    pub fn count(&self) -> usize {
        self.services.len() + self.engines.len()
    }

    /// The engine with this index among all backend servers.
    pub fn engine(&self, server: usize) -> &FakeEngine {
        &self.engines[server - self.services.len()]
    }

    pub(crate) fn backend(&self, server: usize) -> Arc<dyn BackendServer> {
        match self.services.get(server) {
            Some(service) => Arc::new(service.clone()),
            None => Arc::new(self.engine(server).clone()),
        }
    }

    pub(crate) fn profile(&self, server: usize) -> BackendProfile {
        let first_engine = self.services.len();
        let serves = match server < first_engine {
            true => Serves::Service { service: SERVICE.to_owned() },
            false => Serves::Model {
                model: MODEL.to_owned(),
                group: "group-a".to_owned(),
                rank: (server - first_engine) as u16,
            },
        };
        let can_resume = server >= first_engine;
        BackendProfile { serves, places: PLACES, can_resume, experts: None }
    }

    pub(crate) fn started_on(&self, server: usize, body: &[u8]) -> u32 {
        match self.services.get(server) {
            Some(service) => service.executions(body),
            None => self.engine(server).runs_of_body(body).started,
        }
    }
}

impl Runs for Servers {
    fn started(&self, body: &[u8]) -> u32 {
        (0..self.count()).map(|server| self.started_on(server, body)).sum()
    }
}
