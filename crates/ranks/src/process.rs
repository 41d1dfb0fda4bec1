//! Runs the agent.

use crate::collect::{Assignment, Collector};
use crate::coordinator::Coordinator;
use crate::engine::{Engine, Latest, Polling, UPDATE_CAPACITY};
use crate::far::FarRanks;
use crate::lookup::{Announcer, Lookup};
use crate::peers::Peers;
use flamingowheel_fleet::ProcessSettings;
use flamingowheel_platform::{EngineClient, StoreClient};
use flamingowheel_protocol::link::{Link, Timing};
use flamingowheel_protocol::message::{BackendProfile, Role, Serves};
use flamingowheel_protocol::ranks::{AgentRequest, RankTarget, RankUpdate, Telling};
use flamingowheel_protocol::targets::{EncodingCache, TargetDecoder};
use flamingowheel_protocol::websocket::{Identity, accept_links};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Longest wait for the own engine's answer, in milliseconds. It is on the same VM and answers
/// within one or two. Engines leave some orders unanswered; while the group is held, each
/// millisecond of waiting for one delays its next pass.
const OWN_ENGINE_LIMIT_MS: u64 = 40;

/// How connections between agents are kept. Ranks tell their progress five times a second, so a second
/// without a word means a dead connection.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(400),
    silence_limit: Duration::from_millis(1_000),
    stuck_limit: Duration::from_millis(1_000),
};

/// Updates of peers that may wait for the coordinator.
const PEER_UPDATE_CAPACITY: usize = 256;

/// Why an agent can't run.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings name no backend server.
    #[error("settings name no backend server beside this process")]
    NoBackendServer,
    /// An address is no authority.
    #[error("address: {0}")]
    Address(#[from] http::uri::InvalidUri),
    /// The port is taken.
    #[error("can't listen: {0}")]
    Io(#[from] std::io::Error),
}

/// Runs an agent until `asked_to_stop` resolves.
pub async fn run<F>(settings: &ProcessSettings, asked_to_stop: F) -> Result<(), StartError>
where
    F: Future<Output = ()>,
{
    let engine = settings.backend_server.ok_or(StartError::NoBackendServer)?;
    let own = EngineClient::new(engine, OWN_ENGINE_LIMIT_MS)?;
    let (targets, watched) = watch::channel(RankTarget::Idle);
    let (updates, own_updates) = broadcast::channel(UPDATE_CAPACITY);
    let poller = Engine::new(own.clone(), Polling::NEAR, watched.clone(), updates.clone());
    let latest = poller.latest();
    tokio::spawn(poller.run());

    let identity = identity(settings);
    let port = settings.internal_ports.0;
    let (members, collected) = watch::channel(Arc::default());
    let collector =
        Collector { identity: identity.clone(), members: collected, updates: updates.clone() };
    tokio::spawn(collector.run());

    let listener = TcpListener::bind(SocketAddr::new(settings.ip, port)).await?;
    let stop = CancellationToken::new();
    let status = updates.clone();
    let agent = Agent { targets: targets.clone(), members, updates, latest };
    let attend = move |link| agent.clone().attend(link);
    tokio::spawn(accept_links(listener, identity.clone(), stop.clone(), attend));

    let (peer_sender, peer_updates) = mpsc::channel(PEER_UPDATE_CAPACITY);
    let (assignment, assigned) = watch::channel(Arc::new(Assignment::default()));
    let store = StoreClient::new(settings.key_value)?;
    let service = settings.backend_service.clone().unwrap_or_default();
    let far = FarRanks::new(watched.clone(), peer_sender.clone());
    let coordinator = Coordinator {
        lookup: Lookup::new(store.clone(), service),
        announcer: Announcer::new(store),
        own,
        own_engine: engine,
        targets,
        own_updates,
        status,
        peers: Peers {
            identity,
            port,
            group: String::new(),
            targets: watched,
            assignment: assigned,
            updates: peer_sender,
            encodings: Arc::new(EncodingCache::default()),
        },
        assignment,
        link_bytes_per_s: settings.link_bytes_per_s,
        far,
        peer_updates,
        last_version: 0,
        asked_holds: HashSet::new(),
    };
    tokio::spawn(coordinator.run());
    asked_to_stop.await;
    stop.cancel();
    Ok(())
}

/// What this agent has for others.
#[derive(Clone, Debug)]
struct Agent {
    targets: watch::Sender<RankTarget>,
    members: watch::Sender<Arc<Vec<SocketAddr>>>,
    updates: broadcast::Sender<RankUpdate>,
    latest: watch::Receiver<Latest>,
}

impl Agent {
    /// Serves a coordinator or a collector: sends it this rank's updates and does what it asks for.
    async fn attend(self, mut link: Link<RankUpdate, AgentRequest>) {
        let mut updates = self.updates.subscribe();
        for update in self.first_updates() {
            if link.sender.send(update).await.is_err() {
                return;
            }
        }
        let mut decoder = TargetDecoder::default();
        let mut telling = Telling::State;
        let mut has_members = false;
        loop {
            tokio::select! {
                request = link.receiver.recv() => match request {
                    None => break,
                    Some(AgentRequest::Tell(asked)) => telling = asked,
                    Some(AgentRequest::Collect(addresses)) => {
                        let Some(addresses) = addresses.unpack::<Vec<SocketAddr>>() else {
                            tracing::warn!("addresses to collect from can't be read");
                            break;
                        };
                        has_members = !addresses.is_empty();
                        self.members.send_replace(Arc::new(addresses));
                    }
                    Some(AgentRequest::Target(message)) => {
                        let Some(target) = decoder.decode(message) else {
                            tracing::warn!("coordinator changes a map that it never told");
                            break;
                        };
                        self.targets.send_replace(target);
                    }
                },
                update = updates.recv() => match update {
                    Ok(update) => {
                        let is_wanted = is_wanted(&update, telling);
                        if is_wanted && link.sender.send(update).await.is_err() {
                            break;
                        }
                    }
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        tracing::debug!(missed, "a connected agent is slow");
                    }
                    Err(broadcast::error::RecvError::Closed) => break,
                },
            }
        }
        if has_members {
            self.members.send_replace(Arc::default());
        }
    }

    /// What whoever connects is told at first.
    fn first_updates(&self) -> Vec<RankUpdate> {
        let Latest { state, experts } = self.latest.borrow().clone();
        let experts =
            experts.map(|(map_version, experts)| RankUpdate::Experts { map_version, experts });
        state.map(RankUpdate::State).into_iter().chain(experts).collect()
    }
}

fn is_wanted(update: &RankUpdate, telling: Telling) -> bool {
    match update {
        RankUpdate::Choices(_) => telling == Telling::Choices,
        RankUpdate::Sum(_) => telling == Telling::Sums,
        RankUpdate::Group(_) => telling == Telling::Group,
        RankUpdate::State(_) | RankUpdate::Progress(_) | RankUpdate::Experts { .. } => {
            telling != Telling::Group
        }
    }
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
