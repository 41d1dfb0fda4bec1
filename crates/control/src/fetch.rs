//! Fetching a newer configuration from a peer.

use crate::node::Node;
use crate::transport::{PeerError, PeerTransport};
use flamingowheel_config::bucket::{Bucket, WORKSPACE_BUCKETS};
use flamingowheel_config::change::Change;
use flamingowheel_config::effective::{ConfigRevision, Documents};
use flamingowheel_config::replica::Replica;
use flamingowheel_observe::reason::ConfigSource;
use flamingowheel_protocol::peer::{PeerAnswer, PeerRequest, StoredValue};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How often a fetch of everything starts again because the peer moved on.
const SNAPSHOT_TRIES: usize = 4;

/// Fetches from peers into a node.
pub(crate) struct Fetcher<'a> {
    pub(crate) node: &'a Node,
    pub(crate) peers: &'a dyn PeerTransport,
    pub(crate) answer_timeout: Duration,
}

impl Fetcher<'_> {
    /// Fetches until this process has at least `revision`.
    pub(crate) async fn fetch(
        &self,
        peer: SocketAddr,
        revision: ConfigRevision,
    ) -> Result<(), PeerError> {
        if self.node.revision() >= revision {
            return Ok(());
        }
        let after = self.node.revision().0;
        match self.ask(peer, PeerRequest::Changes { after }).await? {
            PeerAnswer::Changes(changes) => self.take_changes(&changes),
            PeerAnswer::NotKept => self.fetch_all(peer).await,
            _ => Err(PeerError::Unexpected),
        }
    }

    fn take_changes(&self, stored: &[StoredValue]) -> Result<(), PeerError> {
        let changes: Result<Vec<Arc<Change>>, PeerError> = stored.iter().map(decode).collect();
        self.node.advance(changes?, ConfigSource::Peer).map_err(|_| PeerError::Unexpected)
    }

    /// Fetches all buckets. They must be of one revision: a mix of two would show a template's
    /// change in some of its workspaces only.
    async fn fetch_all(&self, peer: SocketAddr) -> Result<(), PeerError> {
        for _ in 0..SNAPSHOT_TRIES {
            if let Some(replica) = self.fetch_buckets(peer).await? {
                self.node.adopt(replica, ConfigSource::Peer);
                return Ok(());
            }
        }
        Err(PeerError::Unexpected)
    }

    /// All buckets, or `None` if the peer moved on meanwhile.
    async fn fetch_buckets(&self, peer: SocketAddr) -> Result<Option<Replica>, PeerError> {
        let mut documents = Documents::default();
        for number in 0..=WORKSPACE_BUCKETS {
            let answer = self.ask(peer, PeerRequest::Bucket { number }).await?;
            let PeerAnswer::Bucket { revision, value } = answer else {
                return Err(PeerError::Unexpected);
            };
            let revision = ConfigRevision(revision);
            if number > 0 && revision != documents.revision {
                return Ok(None);
            }
            documents.revision = revision;
            decode::<Bucket>(&value)?.add_to(&mut documents);
        }
        Ok(Some(Replica::new(documents)))
    }

    async fn ask(&self, peer: SocketAddr, request: PeerRequest) -> Result<PeerAnswer, PeerError> {
        let asked = timeout(self.answer_timeout, self.peers.ask(peer, request));
        asked.await.map_err(|_| PeerError::Timeout)?
    }
}

fn decode<T>(stored: &StoredValue) -> Result<T, PeerError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&stored.0).map_err(|_| PeerError::Unexpected)
}
