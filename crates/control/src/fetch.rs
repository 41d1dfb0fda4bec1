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

/// Upper bound on attempts to fetch all buckets. An attempt fails if the peer's revision changes.
const MAX_SNAPSHOT_ATTEMPTS: usize = 4;

/// Fetches configuration from peers and puts it in force in a node.
pub(crate) struct Fetcher<'a> {
    pub(crate) node: &'a Node,
    pub(crate) peers: &'a dyn PeerTransport,
    pub(crate) answer_timeout: Duration,
}

impl Fetcher<'_> {
    /// Fetches the peer's changes, or all of its documents, unless this process has `revision` or a
    /// newer one.
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
            PeerAnswer::Changes(changes) => self.apply_changes(&changes),
            PeerAnswer::NotKept => self.fetch_all(peer).await,
            _ => Err(PeerError::Unexpected),
        }
    }

    fn apply_changes(&self, stored: &[StoredValue]) -> Result<(), PeerError> {
        let changes: Result<Vec<Arc<Change>>, PeerError> = stored.iter().map(decode).collect();
        self.node.advance(changes?, ConfigSource::Peer).map_err(|_| PeerError::Unexpected)
    }

    /// Fetches all buckets. They must be of one revision: with a mix of two, a template's change
    /// could be in force in only some of its workspaces.
    async fn fetch_all(&self, peer: SocketAddr) -> Result<(), PeerError> {
        for _ in 0..MAX_SNAPSHOT_ATTEMPTS {
            if let Some(replica) = self.fetch_buckets(peer).await? {
                self.node.replace_if_newer(replica, ConfigSource::Peer);
                return Ok(());
            }
        }
        Err(PeerError::Unexpected)
    }

    /// Fetches all buckets once. Returns `None` if the peer's revision changed meanwhile.
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
        let answer = timeout(self.answer_timeout, self.peers.ask(peer, request));
        answer.await.map_err(|_| PeerError::Timeout)?
    }
}

fn decode<T>(stored: &StoredValue) -> Result<T, PeerError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&stored.0).map_err(|_| PeerError::Unexpected)
}
