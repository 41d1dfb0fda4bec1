//! Startup of the agent process.

use crate::agent::Agent;
use crate::collect::{Assignment, Collector};
use crate::coordinator::Coordinator;
use crate::engine::{EnginePoller, Polling, UPDATE_CAPACITY};
use crate::engines::PlatformEngines;
use crate::lookup::{GroupPublisher, Lookup};
use crate::peers::PeerConnector;
use crate::remote::RemotePollers;
use flamingowheel_fleet::ProcessSettings;
use flamingowheel_platform::{EngineClient, StoreClient};
use flamingowheel_protocol::link::Timing;
use flamingowheel_protocol::message::{BackendProfile, Role, Serves};
use flamingowheel_protocol::ranks::RankTarget;
use flamingowheel_protocol::targets::EncodingCache;
use flamingowheel_protocol::websocket::{Identity, accept_links};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Timeout of calls to the local engine. It is on the same VM and answers within 1 or 2 ms, but
/// leaves some orders unanswered; while the group is held, waiting for one delays its next pass.
const LOCAL_ENGINE_TIMEOUT_MS: u64 = 40;

/// Timing of connections between agents. Ranks send their progress five times a second, so a second
/// of silence means that the connection is dead.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(400),
    silence_limit: Duration::from_millis(1_000),
    stuck_limit: Duration::from_millis(1_000),
};

/// Number of peer updates buffered for the coordinator.
const PEER_UPDATE_CAPACITY: usize = 256;

/// Part of the grace period that is reserved for the process to exit by itself before it is killed.
const EXIT_RESERVE: Duration = Duration::from_millis(300);

/// Why an agent can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings don't contain the address of a backend server on this VM.
    #[error("settings name no backend server on this VM")]
    NoBackendServer,
    /// The address of the engine or the key-value store is invalid.
    #[error("invalid address: {0}")]
    Address(#[from] http::uri::InvalidUri),
    /// The agent's port can't be bound.
    #[error("can't listen for agents: {0}")]
    Io(#[from] std::io::Error),
}

/// Runs an agent until `stop_signal` resolves, then waits up to the grace period until no hold of
/// its group is left.
pub async fn run<F>(settings: &ProcessSettings, stop_signal: F) -> Result<(), StartError>
where
    F: Future<Output = ()>,
{
    let engine = settings.backend_server.ok_or(StartError::NoBackendServer)?;
    let local_engine = EngineClient::local(engine, LOCAL_ENGINE_TIMEOUT_MS)?;
    let (targets, watched_targets) = watch::channel(RankTarget::Idle);
    let (updates, local_updates) = broadcast::channel(UPDATE_CAPACITY);
    let poller = EnginePoller::new(
        PlatformEngines,
        local_engine.clone(),
        Polling::LOCAL,
        watched_targets.clone(),
        updates.clone(),
    );
    let snapshot = poller.snapshot();
    tokio::spawn(poller.run());

    let identity = identity(settings);
    let port = settings.internal_ports.0;
    let (members, watched_members) = watch::channel(Arc::default());
    let collector = Collector {
        identity: identity.clone(),
        members: watched_members,
        updates: updates.clone(),
    };
    tokio::spawn(collector.run());

    let listener = TcpListener::bind(SocketAddr::new(settings.ip, port)).await?;
    let (stop, leaving) = (CancellationToken::new(), CancellationToken::new());
    let status = updates.clone();
    let agent = Agent { targets: targets.clone(), members, updates, snapshot };
    let serve = move |link| agent.clone().serve(link);
    tokio::spawn(accept_links(listener, identity.clone(), stop.clone(), serve));

    let (peer_sender, peer_updates) = mpsc::channel(PEER_UPDATE_CAPACITY);
    let (assignment, watched_assignment) = watch::channel(Arc::new(Assignment::default()));
    let store = StoreClient::new(settings.key_value)?;
    let service = settings.backend_service.clone().unwrap_or_default();
    let remote_pollers =
        RemotePollers::new(PlatformEngines, watched_targets.clone(), peer_sender.clone());
    let coordinator = Coordinator {
        engines: PlatformEngines,
        lookup: Lookup::new(store.clone(), service),
        publisher: GroupPublisher::new(store),
        local_engine,
        local_address: engine,
        targets,
        local_updates,
        status,
        peers: PeerConnector {
            identity,
            port,
            group: String::new(),
            targets: watched_targets,
            assignment: watched_assignment,
            updates: peer_sender,
            encodings: Arc::new(EncodingCache::default()),
        },
        assignment,
        link_bytes_per_s: settings.link_bytes_per_s,
        remote_pollers,
        peer_updates,
        last_version: 0,
        planned: None,
        leaving: leaving.clone(),
    };
    let coordinator = tokio::spawn(coordinator.run());
    stop_signal.await;
    leaving.cancel();
    let grace = Duration::from_millis(settings.bounds.grace_ms).saturating_sub(EXIT_RESERVE);
    match timeout(grace, coordinator).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::error!(%error, "coordinator failed"),
        Err(_) => tracing::warn!("grace period is over; the group may still be held"),
    }
    stop.cancel();
    Ok(())
}

fn identity(settings: &ProcessSettings) -> Identity {
    let service = settings.backend_service.clone().unwrap_or_default();
    let role = Role::Agent(BackendProfile {
        serves: Serves::Service { service },
        places: 0,
        can_resume: true,
        experts: None,
    });
    Identity::without_secret(&settings.vm, &settings.data_centre, role, TIMING)
}
