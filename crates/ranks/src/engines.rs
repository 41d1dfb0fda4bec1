//! Access to the engines of a group.

use flamingowheel_fleet::engine::{EngineReport, ExpertCounts, MapOrder, OrderAnswer};
use flamingowheel_platform::EngineClient;
use flamingowheel_platform::engine::{EngineError, HeldExperts};
use std::net::SocketAddr;

/// Creates clients of engines by their addresses.
pub trait Engines: Clone + Send + Sync + 'static {
    /// A client of one engine.
    type Engine: Engine;

    /// Creates a client of another VM's engine at `address` that gives up after `timeout_ms` without
    /// an answer.
    fn engine(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Self::Engine, http::uri::InvalidUri>;
}

/// A client of one engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Reads the engine's state. It may be some hundred milliseconds old if the engine runs on
    /// another VM.
    fn report(&self) -> impl Future<Output = Result<EngineReport, EngineError>> + Send;

    /// Reads how often each expert was selected.
    fn counts(&self) -> impl Future<Output = Result<ExpertCounts, EngineError>> + Send;

    /// Reads which experts the rank holds.
    fn held_experts(&self) -> impl Future<Output = Result<HeldExperts, EngineError>> + Send;

    /// Sends an order. The engine refuses it if its group is not in the epoch `epoch`.
    fn send_order(&self, epoch: u64, order: &MapOrder) -> impl Future<Output = OrderAnswer> + Send;
}

/// The engines of the platform, over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformEngines;

impl Engines for PlatformEngines {
    type Engine = EngineClient;

    fn engine(
        &self,
        address: SocketAddr,
        timeout_ms: u64,
    ) -> Result<Self::Engine, http::uri::InvalidUri> {
        EngineClient::remote(address, timeout_ms)
    }
}

impl Engine for EngineClient {
    async fn report(&self) -> Result<EngineReport, EngineError> {
        Self::report(self).await
    }

    async fn counts(&self) -> Result<ExpertCounts, EngineError> {
        Self::counts(self).await
    }

    async fn held_experts(&self) -> Result<HeldExperts, EngineError> {
        Self::held_experts(self).await
    }

    async fn send_order(&self, epoch: u64, order: &MapOrder) -> OrderAnswer {
        Self::send_order(self, epoch, order).await
    }
}
