//! The interface for requests to other entries.

use flamingowheel_backing::BoxFuture;
use flamingowheel_protocol::peer::{PeerAnswer, PeerRequest};
use std::net::SocketAddr;

/// Why a request to a peer failed. Requests are idempotent, so the kinds don't distinguish whether
/// the peer may have processed the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection could be opened, or it closed before the request was sent.
    #[error("peer unreachable")]
    Unreachable,
    /// No answer within the timeout, or the connection closed before the answer arrived.
    #[error("peer did not answer in time")]
    Timeout,
    /// The answer has the wrong type or invalid content.
    #[error("unexpected answer from peer")]
    Unexpected,
}

/// Sends requests to other entries.
pub trait PeerTransport: Send + Sync + 'static {
    /// Sends one request to the entry with this inner address and waits for the answer, without a
    /// timeout of its own.
    fn ask(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerAnswer, PeerError>>;
}
