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

/// Pause before an agent that could not be reached is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);

/// A connection to another rank's agent.
pub type AgentLink = Link<AgentRequest, RankUpdate>;

/// An update and where it came from.
#[derive(Clone, Debug)]
pub struct PeerUpdate {
    /// The engine's address.
    pub engine: SocketAddr,
    /// The data centre of its VM; `None` if it was read without an agent.
    pub data_centre: Option<Arc<str>>,
    /// The update.
    pub update: RankUpdate,
}

/// What every connection needs.
#[derive(Clone, Debug)]
pub struct PeerConnector {
    /// Who this agent is.
    pub identity: Identity,
    /// The port of agents, the same on all VMs of a deployment.
    pub port: u16,
    /// The group whose ranks are wanted.
    pub group: String,
    /// What ranks are to be brought to.
    pub targets: watch::Receiver<RankTarget>,
    /// Who tells choices to whom.
    pub assignment: watch::Receiver<Arc<Assignment>>,
    /// Where updates go.
    pub updates: mpsc::Sender<PeerUpdate>,
    /// Encodings that the connections share.
    pub encodings: Arc<EncodingCache>,
}

/// The engines of a service, as listed.
pub async fn list_engines<K>(store: &K, service: &str) -> Result<Vec<SocketAddr>, KeyValueError>
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

/// Stays connected to an agent until `attend` says that it is not wanted any more.
pub async fn keep_connected<Attend, Attending>(
    agent: SocketAddr,
    identity: &Identity,
    mut attend: Attend,
) where
    Attend: FnMut(AgentLink) -> Attending,
    Attending: Future<Output = Reconnect>,
{
    loop {
        match connect::<AgentRequest, RankUpdate>(agent, identity).await {
            Ok(link) => {
                if attend(link).await == Reconnect::No {
                    return;
                }
            }
            Err(error) => tracing::debug!(%agent, %error, "agent not reached"),
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Whether a connection that ended is to be opened again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reconnect {
    /// It broke off.
    Yes,
    /// The agent belongs to another group, or nobody listens.
    No,
}

impl PeerConnector {
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
                let agent = SocketAddr::new(engine.ip(), peers.port);
                let attend = |link| peers.attend(engine, agent, link);
                let keeping = keep_connected(agent, &peers.identity, attend);
                stop.run_until_cancelled(keeping).await;
            });
        }
    }

    async fn attend(
        &self,
        engine: SocketAddr,
        agent: SocketAddr,
        mut link: AgentLink,
    ) -> Reconnect {
        let mut targets = self.targets.clone();
        targets.mark_changed();
        let mut assignment = self.assignment.clone();
        assignment.mark_changed();
        let data_centre: Arc<str> = link.peer.data_centre.as_str().into();
        let mut encoder = TargetEncoder::new(Arc::clone(&self.encodings));
        let mut told = (Subscription::State, Arc::default());
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
                        tracing::error!("target can't be encoded");
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
                    for request in part.requests(&told) {
                        if link.sender.send(request).await.is_err() {
                            return Reconnect::Yes;
                        }
                    }
                    told = (part.telling, part.members);
                }
            }
        }
    }
}
