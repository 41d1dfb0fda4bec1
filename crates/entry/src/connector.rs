//! Opens connections from an entry to agents. A trait, so that tests can connect in memory.

use flamingowheel_backing::BoxFuture;
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::message::{AgentMessage, EntryMessage};
use flamingowheel_protocol::websocket::{HandshakeError, Identity, connect};
use std::net::SocketAddr;

/// A connection to an agent.
pub type AgentLink = Link<EntryMessage, AgentMessage>;

/// Opens connections to agents.
pub trait Connector: Send + Sync + 'static {
    /// Connects to the process at `address`, which may turn out not to be an agent.
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, Result<AgentLink, HandshakeError>>;
}

/// Connects over WebSocket.
#[derive(Clone, Debug)]
pub struct WebSocketConnector {
    /// This entry's identity, sent in the handshake.
    pub identity: Identity,
}

impl Connector for WebSocketConnector {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, Result<AgentLink, HandshakeError>> {
        Box::pin(connect(address, &self.identity))
    }
}
