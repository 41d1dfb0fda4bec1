//! Serves the connections of coordinators, collectors and entries to this agent.

use crate::engine::RankSnapshot;
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::ranks::{AgentRequest, RankTarget, RankUpdate, Subscription};
use flamingowheel_protocol::targets::TargetDecoder;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{broadcast, watch};

/// State that all connections to this agent share.
#[derive(Clone, Debug)]
pub struct Agent {
    /// Target state of the rank, as set by the coordinator.
    pub targets: watch::Sender<RankTarget>,
    /// Agents to collect choices from.
    pub members: watch::Sender<Arc<Vec<SocketAddr>>>,
    /// Updates on the rank and its group.
    pub updates: broadcast::Sender<RankUpdate>,
    /// Latest state of the rank, sent first on each connection.
    pub snapshot: watch::Receiver<RankSnapshot>,
}

impl Agent {
    /// Serves one connection: sends this rank's updates and executes the peer's requests.
    pub async fn serve(self, mut link: Link<RankUpdate, AgentRequest>) {
        let mut updates = self.updates.subscribe();
        for update in self.first_updates() {
            if link.sender.send(update).await.is_err() {
                return;
            }
        }
        let mut decoder = TargetDecoder::default();
        let mut subscription = Subscription::State;
        let mut has_members = false;
        loop {
            tokio::select! {
                request = link.receiver.recv() => match request {
                    None => break,
                    Some(AgentRequest::Subscribe(requested)) => subscription = requested,
                    Some(AgentRequest::Collect(addresses)) => {
                        let Some(addresses) = addresses.unpack::<Vec<SocketAddr>>() else {
                            tracing::warn!("can't decode the addresses to collect from");
                            break;
                        };
                        has_members = !addresses.is_empty();
                        self.members.send_replace(Arc::new(addresses));
                    }
                    Some(AgentRequest::Target(message)) => {
                        let Some(target) = decoder.decode(message) else {
                            tracing::warn!("target changes a map that was not received");
                            break;
                        };
                        self.targets.send_replace(target);
                    }
                },
                update = updates.recv() => match update {
                    Ok(update) => {
                        let is_subscribed = is_subscribed(&update, subscription);
                        if is_subscribed && link.sender.send(update).await.is_err() {
                            break;
                        }
                    }
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        tracing::debug!(missed, "slow connection missed updates");
                    }
                    Err(broadcast::error::RecvError::Closed) => break,
                },
            }
        }
        if has_members {
            self.members.send_replace(Arc::default());
        }
    }

    /// Returns the updates that are sent first on each connection.
    fn first_updates(&self) -> Vec<RankUpdate> {
        let RankSnapshot { state, experts } = self.snapshot.borrow().clone();
        let experts =
            experts.map(|(map_version, experts)| RankUpdate::Experts { map_version, experts });
        state.map(RankUpdate::State).into_iter().chain(experts).collect()
    }
}

fn is_subscribed(update: &RankUpdate, subscription: Subscription) -> bool {
    match update {
        RankUpdate::Choices(_) => subscription == Subscription::Choices,
        RankUpdate::Sum(_) => subscription == Subscription::Sums,
        RankUpdate::Group(_) => subscription == Subscription::Group,
        RankUpdate::State(_) | RankUpdate::Progress(_) | RankUpdate::Experts { .. } => {
            subscription != Subscription::Group
        }
    }
}
