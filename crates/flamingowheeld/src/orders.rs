//! Puts the group's gate before an agent's engine.

use crate::agent::authority;
use crate::entry::key_value;
use bytes::Bytes;
use flamingowheel_agent::control::OrderHandler;
use flamingowheel_config::settings::{AgentSettings, BackendServerKind, Settings};
use flamingowheel_group::gate::{EngineKind, Gate};
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::record::RecordStore;
use flamingowheel_platform::BoxFuture;
use flamingowheel_platform::client::{HttpLimits, HttpOrders};
use flamingowheel_protocol::id::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OnceCell;
use tokio::time::sleep;

/// Pause after the group's record could not be read.
const RETRY: Duration = Duration::from_millis(500);

/// An engine answers an order or a question in this time, or counts as silent.
const ENGINE_LIMIT_MS: u64 = 1_000;

/// Loading an expert map's weights takes longer than other orders.
const STAGE_LIMIT_MS: u64 = 60_000;

/// Carries out orders through the gate, once it is open.
pub struct GateOrders {
    gate: OnceCell<Gate<HttpOrders>>,
}

impl GateOrders {
    /// Opens the gate in the background. Until the group's record has been read no order is
    /// taken: the lowest acceptable fencing number is not known. `None` where the ranks share no
    /// expert map.
    pub fn start(
        settings: &Settings,
        own: &AgentSettings,
        incarnation: Incarnation,
    ) -> Option<Arc<Self>> {
        let BackendServerKind::Engine { group, checks_fencing, experts: Some(_), .. } = &own.kind
        else {
            return None;
        };
        let kind = match checks_fencing {
            true => EngineKind::ChecksFence,
            false => EngineKind::IgnoresFence,
        };
        let limits = HttpLimits {
            head_ms: STAGE_LIMIT_MS,
            silence_ms: ENGINE_LIMIT_MS,
            ..HttpLimits::default()
        };
        let engine = HttpOrders::new(authority(own.backend_server), limits);
        let records = RecordStore::new(Arc::new(key_value(settings)), group);
        let orders = Arc::new(Self { gate: OnceCell::new() });
        tokio::spawn(open(Arc::clone(&orders), engine, kind, incarnation, records));
        Some(orders)
    }

    async fn answer(&self, body: &[u8]) -> Result<RankState, RankError> {
        let gate = self.gate.get().ok_or(RankError::NotReady)?;
        let request: RankRequest = ciborium::from_reader(body)
            .map_err(|_| RankError::NotPossible { reason: "request can't be read".to_owned() })?;
        gate.handle(&request).await
    }
}

async fn open(
    orders: Arc<GateOrders>,
    engine: HttpOrders,
    kind: EngineKind,
    incarnation: Incarnation,
    records: RecordStore,
) {
    loop {
        match Gate::open(engine.clone(), kind, incarnation.0, &records).await {
            Ok(gate) => {
                let _ = orders.gate.set(gate);
                return;
            }
            Err(error) => tracing::warn!(%error, "group's record not read; no order is taken"),
        }
        sleep(RETRY).await;
    }
}

impl OrderHandler for GateOrders {
    fn handle(&self, body: Bytes) -> BoxFuture<'_, Bytes> {
        Box::pin(async move {
            let answer = self.answer(&body).await;
            let mut bytes = Vec::new();
            // Writing plain values into memory can't fail.
            let _ = ciborium::into_writer(&answer, &mut bytes);
            bytes.into()
        })
    }
}
