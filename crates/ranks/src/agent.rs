//! What this agent does for those that connect to it: coordinators, collectors and entries.

use crate::engine::RankSnapshot;
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::ranks::{AgentRequest, RankTarget, RankUpdate, Subscription};
use flamingowheel_protocol::targets::TargetDecoder;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{broadcast, watch};

/// What this agent has for others.
#[derive(Clone, Debug)]
pub struct Agent {
    /// What the rank is to be brought to.
    pub targets: watch::Sender<RankTarget>,
    /// The agents to collect choices from.
    pub members: watch::Sender<Arc<Vec<SocketAddr>>>,
    /// What is told of the rank and of its group.
    pub updates: broadcast::Sender<RankUpdate>,
    /// What is known of the rank, for whoever connects.
    pub snapshot: watch::Receiver<RankSnapshot>,
}

impl Agent {
    /// Serves a coordinator or a collector: sends it this rank's updates and does what it asks for.
    pub async fn serve(self, mut link: Link<RankUpdate, AgentRequest>) {
        let mut updates = self.updates.subscribe();
        for update in self.first_updates() {
            if link.sender.send(update).await.is_err() {
                return;
            }
        }
        let mut decoder = TargetDecoder::default();
        let mut telling = Subscription::State;
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
        let RankSnapshot { state, experts } = self.snapshot.borrow().clone();
        let experts =
            experts.map(|(map_version, experts)| RankUpdate::Experts { map_version, experts });
        state.map(RankUpdate::State).into_iter().chain(experts).collect()
    }
}

fn is_wanted(update: &RankUpdate, telling: Subscription) -> bool {
    match update {
        RankUpdate::Choices(_) => telling == Subscription::Choices,
        RankUpdate::Sum(_) => telling == Subscription::Sums,
        RankUpdate::Group(_) => telling == Subscription::Group,
        RankUpdate::State(_) | RankUpdate::Progress(_) | RankUpdate::Experts { .. } => {
            telling != Subscription::Group
        }
    }
}
