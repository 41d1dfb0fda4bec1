//! Runs the agent.

use crate::coordinator::Coordinator;
use crate::engine::{Engine, UPDATE_CAPACITY};
use crate::peers::Peers;
use flamingowheel_fleet::ProcessSettings;
use flamingowheel_platform::{EngineClient, StoreClient};
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::link::{Keeping, Link, NoStamps, Timing};
use flamingowheel_protocol::message::{BackendProfile, Hello, Role, Serves};
use flamingowheel_protocol::ranks::{RankTarget, RankUpdate};
use flamingowheel_protocol::targets::{TargetDecoder, TargetMessage};
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

/// How connections between agents are kept. Ranks report ten times a second, so a second without
/// a word means a dead connection.
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
    tokio::spawn(Engine::new(own.clone(), watched.clone(), updates.clone()).run());

    let identity = identity(settings);
    let port = settings.internal_ports.0;
    let listener = TcpListener::bind(SocketAddr::new(settings.ip, port)).await?;
    let stop = CancellationToken::new();
    let (link_targets, link_updates) = (targets.clone(), updates);
    let attend = move |link| attend(link, link_targets.clone(), link_updates.subscribe());
    tokio::spawn(accept_links(listener, identity.clone(), stop.clone(), attend));

    let (peer_sender, peer_updates) = mpsc::channel(PEER_UPDATE_CAPACITY);
    let coordinator = Coordinator {
        store: StoreClient::new(settings.key_value)?,
        own,
        own_engine: engine,
        service: settings.backend_service.clone().unwrap_or_default(),
        targets,
        own_updates,
        peers: Peers {
            identity,
            port,
            group: String::new(),
            targets: watched,
            updates: peer_sender,
        },
        peer_updates,
        last_version: 0,
        asked_holds: HashSet::new(),
    };
    tokio::spawn(coordinator.run());
    asked_to_stop.await;
    stop.cancel();
    Ok(())
}

/// Serves a coordinator: sends it this rank's updates and takes its targets.
async fn attend(
    mut link: Link<RankUpdate, TargetMessage>,
    targets: watch::Sender<RankTarget>,
    mut updates: broadcast::Receiver<RankUpdate>,
) {
    let mut decoder = TargetDecoder::default();
    loop {
        tokio::select! {
            message = link.receiver.recv() => {
                let Some(message) = message else { return };
                let Some(target) = decoder.decode(message) else {
                    tracing::warn!("coordinator changes a map that it never told");
                    return;
                };
                targets.send_replace(target);
            }
            update = updates.recv() => match update {
                Ok(update) => {
                    if link.sender.send(update).await.is_err() {
                        return;
                    }
                }
                Err(broadcast::error::RecvError::Lagged(missed)) => {
                    tracing::debug!(missed, "coordinator is slow");
                }
                Err(broadcast::error::RecvError::Closed) => return,
            },
        }
    }
}

/// The platform gives processes no secret, so all of a deployment's processes share a key that
/// proves no more than that: the network is trusted as far as the platform keeps others out.
fn identity(settings: &ProcessSettings) -> Identity {
    let hello = Hello {
        name: settings.vm.clone(),
        incarnation: Incarnation::fresh(),
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        operators: None,
        role: Role::Agent(BackendProfile {
            serves: Serves::Service {
                service: settings.backend_service.clone().unwrap_or_default(),
            },
            places: 0,
            can_resume: true,
            experts: None,
        }),
    };
    let keeping = Keeping { timing: TIMING, stamps: Arc::new(NoStamps) };
    Identity { hello, key: FleetKey::new([0; 32]), keeping }
}
