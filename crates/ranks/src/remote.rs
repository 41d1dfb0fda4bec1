//! Ranks without a living agent, seen to from the coordinator's VM.
//!
//! Calls from another VM are paid for and take the coordinator's link, so only a few ranks are kept up this
//! way. Of a group that lacks more agents the map stays as it is.

use crate::engine::{EnginePoller, Polling, UPDATE_CAPACITY};
use crate::peers::PeerUpdate;
use flamingowheel_platform::EngineClient;
use flamingowheel_protocol::ranks::RankTarget;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::{broadcast, mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Most ranks that are seen to from afar.
pub const MAX_REMOTE_RANKS: usize = 8;

/// Longest wait for an engine's answer, in milliseconds. A whole map takes a narrow link 40 ms.
const ENGINE_LIMIT_MS: u64 = 250;

/// The pollers of such ranks.
#[derive(Debug)]
pub struct RemotePollers {
    targets: watch::Receiver<RankTarget>,
    updates: mpsc::Sender<PeerUpdate>,
    polled: HashMap<SocketAddr, CancellationToken>,
}

impl RemotePollers {
    /// No rank yet. Pollers bring ranks to `targets` and tell `updates` how they stand.
    pub fn new(targets: watch::Receiver<RankTarget>, updates: mpsc::Sender<PeerUpdate>) -> Self {
        Self { targets, updates, polled: HashMap::new() }
    }

    /// Polls the engines at these addresses and no others.
    pub fn poll(&mut self, engines: &[SocketAddr]) {
        self.polled.retain(|engine, stop| {
            let is_wanted = engines.contains(engine);
            if !is_wanted {
                stop.cancel();
            }
            is_wanted
        });
        for &engine in engines {
            if self.polled.contains_key(&engine) {
                continue;
            }
            let client = match EngineClient::new(engine, ENGINE_LIMIT_MS) {
                Ok(client) => client,
                Err(error) => {
                    tracing::warn!(%engine, %error, "engine's address can't be used");
                    continue;
                }
            };
            tracing::info!(%engine, "no agent is heard, engine asked from here");
            let stop = CancellationToken::new();
            self.polled.insert(engine, stop.clone());
            let (targets, updates) = (self.targets.clone(), self.updates.clone());
            tokio::spawn(async move {
                stop.run_until_cancelled(poll(engine, client, targets, updates)).await;
            });
        }
    }
}

impl Drop for RemotePollers {
    fn drop(&mut self) {
        self.polled.values().for_each(CancellationToken::cancel);
    }
}

async fn poll(
    engine: SocketAddr,
    client: EngineClient,
    targets: watch::Receiver<RankTarget>,
    updates: mpsc::Sender<PeerUpdate>,
) {
    let (sender, mut told) = broadcast::channel(UPDATE_CAPACITY);
    let poller = EnginePoller::new(client, Polling::REMOTE, targets, sender);
    let forwarding = async {
        loop {
            match told.recv().await {
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
