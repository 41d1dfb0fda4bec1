//! An agent's gate to its engine: the real one, or a mutation without one safeguard.

use flamingowheel_backing::fake::FakeEngine;
use flamingowheel_backing::orders::{EngineOrders, Fence, Order, OrderError};
use flamingowheel_group::gate::{EngineKind, Gate};
use flamingowheel_group::intake::IntakeState;
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::record::RecordStore;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::sleep;

/// The gate of an agent process in the tests.
pub enum AnyGate {
    /// The production gate.
    Real(Box<Gate<FakeEngine>>),
    /// The gate of [`Mutation::FenceAtReceiptOnly`](crate::mutation::Mutation::FenceAtReceiptOnly).
    ReceiptOnly(ReceiptOnly),
}

impl AnyGate {
    /// Opens the production gate; `None` if that fails.
    pub async fn real(
        engine: FakeEngine,
        kind: EngineKind,
        incarnation: u64,
        records: &RecordStore,
    ) -> Option<Self> {
        let gate = Gate::open(engine, kind, incarnation, records).await.ok()?;
        Some(Self::Real(Box::new(gate)))
    }

    /// Creates a gate that checks fencing numbers only at receipt.
    pub fn receipt_only(engine: FakeEngine, incarnation: u64) -> Self {
        let (lowest, queue) = (AtomicU64::new(0), Mutex::default());
        Self::ReceiptOnly(ReceiptOnly { engine, incarnation, lowest, queue })
    }

    /// Handles a request after a delay. With the mutation the delay falls between the agent's check
    /// and the write; the real gate would check again.
    pub async fn handle_late(
        &self,
        request: &RankRequest,
        delay: Duration,
    ) -> Result<RankState, RankError> {
        let Self::ReceiptOnly(gate) = self else {
            sleep(delay).await;
            return self.handle(request).await;
        };
        gate.admit(request)?;
        sleep(delay).await;
        gate.write(request).await
    }

    /// Handles a coordinator's request.
    pub async fn handle(&self, request: &RankRequest) -> Result<RankState, RankError> {
        match self {
            Self::Real(gate) => gate.handle(request).await,
            Self::ReceiptOnly(gate) => gate.handle(request).await,
        }
    }
}

/// Checks the fencing number when an order arrives, and not again before it is written.
pub struct ReceiptOnly {
    engine: FakeEngine,
    incarnation: u64,
    lowest: AtomicU64,
    /// Locked while an order is in flight.
    queue: Mutex<()>,
}

impl ReceiptOnly {
    async fn handle(&self, request: &RankRequest) -> Result<RankState, RankError> {
        self.admit(request)?;
        self.write(request).await
    }

    fn admit(&self, request: &RankRequest) -> Result<(), RankError> {
        if request.incarnation.is_some_and(|incarnation| incarnation != self.incarnation) {
            return Err(RankError::WrongIncarnation { incarnation: self.incarnation });
        }
        let lowest = self.lowest.fetch_max(request.fence.0, Ordering::SeqCst);
        if request.fence.0 < lowest {
            return Err(RankError::Stale { given: request.fence, lowest: Fence(lowest) });
        }
        Ok(())
    }

    async fn write(&self, request: &RankRequest) -> Result<RankState, RankError> {
        let _turn = self.queue.lock().await;
        if let Some(target) = &request.target {
            let order = Order { fence: request.fence, target: target.clone() };
            self.engine.send_order(&order).await.map_err(rank_error)?;
        }
        let engine = self.engine.state().await.map_err(|_| RankError::EngineSilent)?;
        Ok(RankState {
            incarnation: self.incarnation,
            engine,
            unresolved: false,
            work: IntakeState::default(),
        })
    }
}

fn rank_error(error: OrderError) -> RankError {
    match error {
        OrderError::Stale { given, highest } => RankError::Stale { given, lowest: highest },
        OrderError::NotPossible { reason } => RankError::NotPossible { reason },
        OrderError::Backend(_) => RankError::EngineSilent,
    }
}
