//! Connections to the agents of other ranks.

use crate::collect::Assignment;
use flamingowheel_backing::kv::{KeyValue, KeyValueError};
use flamingowheel_platform::{SERVERS_PREFIX, servers};
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::ranks::{AgentRequest, RankTarget, RankUpdate, Subscription};
use flamingowheel_protocol::targets::{EncodingCache, TargetEncoder};
use flamingowheel_protocol::websocket::{Identity, connect};
use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Pause between attempts to connect to an agent.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// A connection to another rank's agent.
pub type AgentLink = Link<AgentRequest, RankUpdate>;

/// An update and the rank's engine that it is about.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// Address of the engine, which identifies the rank.
    pub engine: SocketAddr,
    /// Data centre of the agent; `None` if the update comes from a poller, not from an agent's
    /// connection.
    pub data_centre: Option<Arc<str>>,
    /// The update itself.
    pub update: RankUpdate,
}

/// Opens connections to the other ranks' agents; each connection gets a clone.
#[derive(Clone, Debug)]
pub struct PeerConnector {
    /// Identity with which this agent introduces itself.
    pub identity: Identity,
    /// Port of the agents, the same on all VMs of a deployment.
    pub port: u16,
    /// Name of the group; connections to agents of other groups are closed.
    pub group: String,
    /// Target state, sent to every agent of the group.
    pub targets: watch::Receiver<RankTarget>,
    /// Which agents send choices to which others.
    pub assignment: watch::Receiver<Arc<Assignment>>,
    /// Receives the agents' updates.
    pub updates: mpsc::Sender<PeerUpdate>,
    /// Cache of encoded targets, shared by all connections.
    pub encodings: Arc<EncodingCache>,
}

/// Lists the engines of a service from the backend server registry.
pub async fn list_engines<K>(store: &K, service: &str) -> Result<Vec<SocketAddr>, KeyValueError>
where
    K: KeyValue,
{
    let snapshot = store.range(SERVERS_PREFIX).await?;
    let listed = snapshot.entries.iter().filter_map(|entry| {
        servers::decode(&entry.key, &entry.value)
            .inspect_err(|error| tracing::warn!(key = entry.key, %error, "registration ignored"))
            .ok()
    });
    Ok(listed.filter(|server| server.service == service).map(|server| server.address).collect())
}

/// Stays connected to an agent, reconnecting until `serve` returns that the agent is not needed any
/// more.
pub async fn keep_connected<Serve, Serving>(
    agent: SocketAddr,
    identity: &Identity,
    mut serve: Serve,
) where
    Serve: FnMut(AgentLink) -> Serving,
    Serving: Future<Output = Reconnect>,
{
    loop {
        match connect::<AgentRequest, RankUpdate>(agent, identity).await {
            Ok(link) => {
                if serve(link).await == Reconnect::No {
                    return;
                }
            }
            Err(error) => tracing::debug!(%agent, %error, "can't connect to the agent"),
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Whether to reconnect after a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reconnect {
    /// The connection broke or sent something unusable.
    Yes,
    /// The agent belongs to another group, or this process no longer uses the updates.
    No,
}

impl PeerConnector {
    /// Connects to the agents beside `engines`, except this VM's and those already in `connected`,
    /// which is extended. `stop` ends the connections.
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
                let agent = SocketAddr::new(engine.ip(), peers.port);
                let serve = |link| peers.serve(engine, agent, link);
                let connection = keep_connected(agent, &peers.identity, serve);
                stop.run_until_cancelled(connection).await;
            });
        }
    }

    async fn serve(&self, engine: SocketAddr, agent: SocketAddr, mut link: AgentLink) -> Reconnect {
        let mut targets = self.targets.clone();
        targets.mark_changed();
        let mut assignment = self.assignment.clone();
        assignment.mark_changed();
        let data_centre: Arc<str> = link.peer.data_centre.as_str().into();
        let mut encoder = TargetEncoder::new(Arc::clone(&self.encodings));
        let mut sent = (Subscription::State, Arc::default());
        let mut is_member = false;
        loop {
            tokio::select! {
                update = link.receiver.recv() => {
                    let Some(update) = update else { return Reconnect::Yes };
                    let is_foreign =
                        matches!(&update, RankUpdate::State(state) if state.group != self.group);
                    is_member |= !is_foreign && matches!(update, RankUpdate::State(_));
                    let data_centre = Some(Arc::clone(&data_centre));
                    let update = PeerUpdate { engine, data_centre, update };
                    if self.updates.send(update).await.is_err() || is_foreign {
                        return Reconnect::No;
                    }
                }
                changed = targets.changed(), if is_member => {
                    if changed.is_err() {
                        return Reconnect::No;
                    }
                    let Some(message) = encoder.encode(&targets.borrow_and_update()) else {
                        tracing::error!("can't encode the target");
                        return Reconnect::Yes;
                    };
                    if link.sender.send(AgentRequest::Target(message)).await.is_err() {
                        return Reconnect::Yes;
                    }
                }
                changed = assignment.changed(), if is_member => {
                    if changed.is_err() {
                        return Reconnect::No;
                    }
                    let part = assignment.borrow_and_update().for_agent(agent);
                    for request in part.requests(&sent) {
                        if link.sender.send(request).await.is_err() {
                            return Reconnect::Yes;
                        }
                    }
                    sent = (part.subscription, part.members);
                }
            }
        }
    }
}
