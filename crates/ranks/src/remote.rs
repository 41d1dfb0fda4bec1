//! Polls the engines of ranks without a live agent from the coordinator's VM.
//!
//! Calls between VMs are billed and use the coordinator's link, so only a few ranks are polled
//! this way. The map of a group that lacks more agents is left unchanged.

use crate::engine::{EnginePoller, Polling, UPDATE_CAPACITY};
use crate::engines::Engines;
use crate::peers::PeerUpdate;
use flamingowheel_protocol::ranks::{RankTarget, RankUpdate};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::{broadcast, mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Maximum number of ranks that are polled remotely.
pub const MAX_REMOTE_RANKS: usize = 8;

/// Timeout of calls to the engines. On a slow link, sending a complete map takes 40 ms.
const ENGINE_TIMEOUT_MS: u64 = 250;

/// The running pollers, by engine.
#[derive(Debug)]
pub struct RemotePollers<E> {
    engines: E,
    targets: watch::Receiver<RankTarget>,
    updates: mpsc::Sender<PeerUpdate>,
    pollers: HashMap<SocketAddr, CancellationToken>,
}

impl<E> RemotePollers<E>
where
    E: Engines,
{
    /// Creates an empty set. Pollers bring their ranks to `targets` and send their state to
    /// `updates`.
    pub fn new(
        engines: E,
        targets: watch::Receiver<RankTarget>,
        updates: mpsc::Sender<PeerUpdate>,
    ) -> Self {
        Self { engines, targets, updates, pollers: HashMap::new() }
    }

    /// Starts polling the engines at these addresses and stops polling all others.
    pub fn poll(&mut self, addresses: &[SocketAddr]) {
        self.pollers.retain(|engine, stop| {
            let is_listed = addresses.contains(engine);
            if !is_listed {
                stop.cancel();
            }
            is_listed
        });
        for &engine in addresses {
            if self.pollers.contains_key(&engine) {
                continue;
            }
            let client = match self.engines.engine(engine, ENGINE_TIMEOUT_MS) {
                Ok(client) => client,
                Err(error) => {
                    tracing::warn!(%engine, %error, "invalid engine address");
                    continue;
                }
            };
            tracing::info!(%engine, "agent is silent, polling its engine remotely");
            let stop = CancellationToken::new();
            self.pollers.insert(engine, stop.clone());
            let (targets, updates) = (self.targets.clone(), self.updates.clone());
            let (sender, received) = broadcast::channel(UPDATE_CAPACITY);
            let poller =
                EnginePoller::new(self.engines.clone(), client, Polling::REMOTE, targets, sender);
            let polling = poll(engine, poller, received, updates);
            tokio::spawn(async move {
                stop.run_until_cancelled(polling).await;
            });
        }
    }
}

impl<E> Drop for RemotePollers<E> {
    fn drop(&mut self) {
        self.pollers.values().for_each(CancellationToken::cancel);
    }
}

async fn poll<E>(
    engine: SocketAddr,
    poller: EnginePoller<E>,
    mut received: broadcast::Receiver<RankUpdate>,
    updates: mpsc::Sender<PeerUpdate>,
) where
    E: Engines,
{
    let forwarding = async {
        loop {
            match received.recv().await {
                Ok(update) => {
                    let update = PeerUpdate { engine, data_centre: None, update };
                    if updates.send(update).await.is_err() {
                        return;
                    }
                }
                Err(broadcast::error::RecvError::Lagged(_)) => {}
                Err(broadcast::error::RecvError::Closed) => return,
            }
        }
    };
    tokio::join!(poller.run(), forwarding);
}
