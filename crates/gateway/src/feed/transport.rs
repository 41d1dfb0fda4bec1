//! Connections between the feeds of entries.

use crate::feed::{FeedMessage, FeedRequest};
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::websocket::{HandshakeError, Identity, connect};
use std::net::SocketAddr;

/// The reader's side of a connection.
pub type FeedLink = Link<FeedRequest, FeedMessage>;

/// Opens connections to other entries.
pub trait Connect: Clone + Send + Sync + 'static {
    /// Opens a connection to the entry at `address`.
    fn connect(
        &self,
        address: SocketAddr,
    ) -> impl Future<Output = Result<FeedLink, HandshakeError>> + Send;
}

/// Opens connections over WebSocket.
#[derive(Clone, Debug)]
pub struct WebSocketConnector {
    /// Identity of this entry.
    pub identity: Identity,
}

impl Connect for WebSocketConnector {
    async fn connect(&self, address: SocketAddr) -> Result<FeedLink, HandshakeError> {
        connect(address, &self.identity).await
    }
}
