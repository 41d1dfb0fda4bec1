//! How other entries are reached.

use flamingowheel_backing::BoxFuture;
use flamingowheel_protocol::peer::{PeerAnswer, PeerRequest};
use std::net::SocketAddr;

/// Why a peer gave no answer. A request to a peer has no effect that matters twice, so the kinds
/// need not be told apart by what may have happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection.
    #[error("peer unreachable")]
    Unreachable,
    /// No answer in time.
    #[error("peer did not answer in time")]
    Timeout,
    /// An answer to another question.
    #[error("peer answered something else")]
    Unexpected,
}

/// Asks other entries.
pub trait PeerTransport: Send + Sync + 'static {
    /// Sends one request to the entry with this inner address and waits for the answer.
    fn ask(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerAnswer, PeerError>>;
}
