//! Exchanges suspect requests with the other entries, by datagrams.

use super::Suspects;
use crate::view::Views;
use flamingowheel_protocol::suspects::{MAX_DATAGRAM_BYTES, SuspectMessage};
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep};

/// Entries that are told of a change at once. Each of them tells as many others, if the change is
/// new to it.
pub const FANOUT: usize = 8;

/// Time between two comparisons with another entry.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(1);

/// The same for an entry that no other has answered yet.
const FIRST_SYNC_INTERVAL: Duration = Duration::from_millis(50);

/// Entries that are asked at once by one that no other has answered yet.
const FIRST_SYNC_PEERS: usize = 3;

/// Time for which changes are collected: a server that ends breaks many connections at once.
const BATCH_TIME: Duration = Duration::from_millis(2);

/// Tells other entries of suspects, and learns from them.
#[derive(Debug)]
pub struct SuspectExchange {
    vm: String,
    views: Views,
    socket: UdpSocket,
    suspects: Arc<Suspects>,
}

impl SuspectExchange {
    /// Creates the exchange of the entry on `vm`. Other entries reach it at `socket`.
    pub fn new(vm: String, views: Views, socket: UdpSocket, suspects: Arc<Suspects>) -> Self {
        suspects.set_synced(false);
        Self { vm, views, socket, suspects }
    }

    /// Runs until the task is aborted.
    pub async fn run(self) {
        let mut datagram = [0; MAX_DATAGRAM_BYTES];
        let mut syncs = interval(SYNC_INTERVAL);
        let mut first_syncs = interval(FIRST_SYNC_INTERVAL);
        syncs.set_missed_tick_behavior(MissedTickBehavior::Delay);
        first_syncs.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_synced = self.suspects.is_synced.load(std::sync::atomic::Ordering::Relaxed);
            tokio::select! {
                () = self.suspects.changed.notified() => {
                    sleep(BATCH_TIME).await;
                    self.tell_changes().await;
                }
                received = self.socket.recv_from(&mut datagram) => match received {
                    Ok((size, from)) => self.receive(&datagram[..size], from).await,
                    // The error of an earlier send, such as to a process that has ended.
                    Err(error) => tracing::debug!(%error, "socket of suspects"),
                },
                _ = syncs.tick(), if is_synced => self.compare(1).await,
                _ = first_syncs.tick(), if !is_synced => self.sync_first().await,
            }
        }
    }

    async fn tell_changes(&self) {
        let peers = self.random_peers(FANOUT);
        for message in self.suspects.take_changes() {
            for peer in &peers {
                self.send(&message, *peer).await;
            }
        }
    }

    async fn compare(&self, peers: usize) {
        let question = self.suspects.question();
        for peer in self.random_peers(peers) {
            self.send(&question, peer).await;
        }
    }

    async fn sync_first(&self) {
        let is_announced = self.views.load().entries.contains_key(&self.vm);
        if is_announced && self.random_peers(1).is_empty() {
            self.suspects.set_synced(true);
        }
        self.compare(FIRST_SYNC_PEERS).await;
    }

    async fn receive(&self, datagram: &[u8], from: SocketAddr) {
        let Some(message) = SuspectMessage::decode(datagram) else {
            tracing::warn!(%from, "malformed datagram");
            return;
        };
        for answer in self.suspects.receive(&message) {
            self.send(&answer, from).await;
        }
    }

    fn random_peers(&self, count: usize) -> Vec<SocketAddr> {
        let view = self.views.load();
        let others = view.entries.iter().filter(|(vm, _)| **vm != self.vm);
        others.filter_map(|(_, record)| record.suspects).sample(&mut rand::rng(), count)
    }

    async fn send(&self, message: &SuspectMessage, to: SocketAddr) {
        let Some(bytes) = message.encode() else {
            return;
        };
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            tracing::debug!(%to, %error, "datagram not sent");
        }
    }
}
