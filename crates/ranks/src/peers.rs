//! Connections from the coordinator to the agents of the other ranks.

use flamingowheel_backing::kv::{KeyValue, KeyValueError};
use flamingowheel_platform::{SERVERS_PREFIX, servers};
use flamingowheel_protocol::ranks::{RankTarget, RankUpdate};
use flamingowheel_protocol::targets::{TargetEncoder, TargetMessage};
use flamingowheel_protocol::websocket::{Identity, connect};
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Pause before an agent that could not be reached is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// An update and where it came from.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// The engine's address.
    pub engine: SocketAddr,
    /// The update.
    pub update: RankUpdate,
}

/// What every connection needs.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Who this agent is.
    pub identity: Identity,
    /// The port of agents, the same on all VMs of a deployment.
    pub port: u16,
    /// The group whose ranks are wanted.
    pub group: String,
    /// What ranks are to be brought to.
    pub targets: watch::Receiver<RankTarget>,
    /// Where updates go.
    pub updates: mpsc::Sender<PeerUpdate>,
}

/// The engines of a service, as listed.
pub async fn engines_of<K>(store: &K, service: &str) -> Result<Vec<SocketAddr>, KeyValueError>
where
    K: KeyValue,
{
    let snapshot = store.range(SERVERS_PREFIX).await?;
    let listed = snapshot.entries.iter().filter_map(|entry| {
        servers::decode(&entry.key, &entry.value)
            .inspect_err(|error| tracing::warn!(key = entry.key, %error, "entry left out"))
            .ok()
    });
    Ok(listed.filter(|server| server.service == service).map(|server| server.address).collect())
}

impl Peers {
    /// Connects to the agents beside `engines`, but not to those already in `connected`.
    pub fn connect_to(
        &self,
        engines: &[SocketAddr],
        own_ip: IpAddr,
        connected: &mut HashSet<SocketAddr>,
        stop: &CancellationToken,
    ) {
        for &engine in engines {
            if engine.ip() == own_ip || !connected.insert(engine) {
                continue;
            }
            let (peers, stop) = (self.clone(), stop.clone());
            tokio::spawn(async move {
                stop.run_until_cancelled(peers.keep(engine)).await;
            });
        }
    }

    /// Stays connected to one agent, unless it turns out to belong to another group.
    async fn keep(self, engine: SocketAddr) {
        let agent = SocketAddr::new(engine.ip(), self.port);
        loop {
            match connect::<TargetMessage, RankUpdate>(agent, &self.identity).await {
                Ok(link) => {
                    if self.attend(engine, link).await {
                        return;
                    }
                }
                Err(error) => tracing::debug!(%agent, %error, "agent not reached"),
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Returns whether the agent belongs to another group.
    async fn attend(
        &self,
        engine: SocketAddr,
        mut link: flamingowheel_protocol::link::Link<TargetMessage, RankUpdate>,
    ) -> bool {
        let mut targets = self.targets.clone();
        targets.mark_changed();
        let mut encoder = TargetEncoder::default();
        let mut is_member = false;
        loop {
            tokio::select! {
                update = link.receiver.recv() => {
                    let Some(update) = update else { return false };
                    if update.state.group != self.group {
                        return true;
                    }
                    is_member = true;
                    if self.updates.send(PeerUpdate { engine, update }).await.is_err() {
                        return true;
                    }
                }
                changed = targets.changed(), if is_member => {
                    if changed.is_err() {
                        return true;
                    }
                    let message = encoder.encode(&targets.borrow_and_update());
                    if link.sender.send(message).await.is_err() {
                        return false;
                    }
                }
            }
        }
    }
}
