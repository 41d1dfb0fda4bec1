//! Handles orders for an agent's engine through the group's gate.

use crate::agent::authority;
use crate::entry::key_value;
use bytes::Bytes;
use flamingowheel_agent::control::{AgentHandle, Command, OrderHandler};
use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::client::{HttpLimits, HttpOrders};
use flamingowheel_backing::orders::OrderTarget;
use flamingowheel_config::settings::{AgentSettings, BackendServerKind, Settings};
use flamingowheel_group::gate::{EngineKind, Gate};
use flamingowheel_group::intake::{Intake, IntakeState};
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::record::RecordStore;
use flamingowheel_observe::event::{Event, Subject};
use flamingowheel_observe::reason::OrderKind;
use flamingowheel_observe::recorder::{Recorder, SubjectRecorder};
use flamingowheel_protocol::id::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OnceCell;
use tokio::time::sleep;

/// Delay before reading the group's record again after an error.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest time without a byte within an engine's answer; then the engine counts as silent.
const SILENCE_TIMEOUT_MS: u64 = 1_000;

/// Longest time until an engine's answer begins. Staging an expert map loads weights and takes
/// longer than other orders.
const HEAD_TIMEOUT_MS: u64 = 60_000;

/// Carries out orders through the gate; refuses them until the gate is open.
pub struct GateOrderHandler {
    gate: OnceCell<Gate<HttpOrders>>,
    group_recorder: SubjectRecorder,
}

impl GateOrderHandler {
    /// Opens the gate in the background. Orders are refused until the group's record has been read,
    /// because the lowest acceptable fencing number is not known before. `None` for plain services.
    pub fn start(
        settings: &Settings,
        agent_settings: &AgentSettings,
        incarnation: Incarnation,
        agent: &AgentHandle,
        recorder: &Recorder,
    ) -> Option<Arc<Self>> {
        let BackendServerKind::Engine { group, checks_fencing, .. } = &agent_settings.kind else {
            return None;
        };
        let kind = match checks_fencing {
            true => EngineKind::ChecksFence,
            false => EngineKind::IgnoresFence,
        };
        let limits = HttpLimits {
            head_timeout_ms: HEAD_TIMEOUT_MS,
            read_timeout_ms: SILENCE_TIMEOUT_MS,
            idle_timeout_ms: SILENCE_TIMEOUT_MS,
            ..HttpLimits::default()
        };
        let engine = HttpOrders::new(authority(agent_settings.backend_server), limits);
        let records = RecordStore::new(Arc::new(key_value(settings)), group);
        let group_recorder = recorder.with_subject(Subject::default().group(group.as_str()));
        let orders = Arc::new(Self { gate: OnceCell::new(), group_recorder });
        let intake = Arc::new(AgentIntake(agent.clone()));
        tokio::spawn(open_gate(Arc::clone(&orders), engine, kind, incarnation, records, intake));
        Some(orders)
    }

    async fn answer(&self, body: &[u8]) -> Result<RankState, RankError> {
        let gate = self.gate.get().ok_or(RankError::NotReady)?;
        let request: RankRequest = ciborium::from_reader(body)
            .map_err(|_| RankError::NotPossible { reason: "request can't be read".to_owned() })?;
        let answer = gate.handle(&request).await;
        if let Some(event) = order_event(&request, &answer) {
            self.group_recorder.record(event);
        }
        answer
    }
}

/// The event to record for an order, with the fencing number of its coordinator, so that a group's
/// timeline shows which coordinator gave which order. Reads are not recorded.
fn order_event(request: &RankRequest, answer: &Result<RankState, RankError>) -> Option<Event> {
    let order = order_kind(request.target.as_ref()?);
    let fencing_number = request.fence.0;
    match answer {
        Ok(_) => Some(Event::OrderApplied { order, fencing_number }),
        Err(RankError::Stale { lowest, .. }) => {
            let lowest_accepted = lowest.0;
            Some(Event::OrderRefused { order, fencing_number, lowest_accepted })
        }
        Err(_) => None,
    }
}

fn order_kind(target: &OrderTarget) -> OrderKind {
    match target {
        OrderTarget::Serve { .. } => OrderKind::Serve,
        OrderTarget::StageMap { .. } => OrderKind::StageMap,
        OrderTarget::Hold { .. } => OrderKind::Hold,
        OrderTarget::SwitchMap { .. } => OrderKind::SwitchMap,
        OrderTarget::Resume => OrderKind::Resume,
    }
}

async fn open_gate(
    orders: Arc<GateOrderHandler>,
    engine: HttpOrders,
    kind: EngineKind,
    incarnation: Incarnation,
    records: RecordStore,
    intake: Arc<AgentIntake>,
) {
    loop {
        match Gate::open(engine.clone(), kind, incarnation.0, &records).await {
            Ok(gate) => {
                let _ = orders.gate.set(gate.with_intake(intake));
                return;
            }
            Err(error) => {
                tracing::warn!(%error, "group's record not read; orders are refused until it is")
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Opens and closes the agent's admission of work.
struct AgentIntake(AgentHandle);

impl Intake for AgentIntake {
    fn set_open(&self, open: bool) {
        let commands = self.0.commands().clone();
        // The result is ignored: the caller checks `state` and repeats the request.
        tokio::spawn(async move { commands.send(Command::SetOpen(open)).await });
    }

    fn state(&self) -> IntakeState {
        let status = self.0.status();
        let in_progress = u32::try_from(status.in_progress_count).unwrap_or(u32::MAX);
        IntakeState { is_open: !status.closed, in_progress }
    }
}

impl OrderHandler for GateOrderHandler {
    fn handle(&self, body: Bytes) -> BoxFuture<'_, Bytes> {
        Box::pin(async move {
            let answer = self.answer(&body).await;
            let mut bytes = Vec::new();
            // Serialising plain values into memory can't fail.
            let _ = ciborium::into_writer(&answer, &mut bytes);
            bytes.into()
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use flamingowheel_backing::orders::{EngineState, Fence};

    fn state() -> RankState {
        RankState {
            incarnation: 1,
            engine: EngineState::default(),
            unresolved: false,
            work: IntakeState::default(),
        }
    }

    fn request(target: Option<OrderTarget>) -> RankRequest {
        RankRequest {
            incarnation: Some(1),
            fence: Fence(7),
            target,
            requires_version: None,
            open: None,
        }
    }

    // A coordinator that was replaced while it was paused still sends an order. The group's
    // timeline must show that the order was refused and which fencing number was in force.
    #[test]
    fn order_event_stale_fence_recorded_as_refused() {
        let answer = Err(RankError::Stale { given: Fence(7), lowest: Fence(9) });
        let refused =
            Event::OrderRefused { order: OrderKind::Resume, fencing_number: 7, lowest_accepted: 9 };
        assert_eq!(order_event(&request(Some(OrderTarget::Resume)), &answer), Some(refused));
    }

    #[test]
    fn order_event_applied_order_but_no_read() {
        let hold = OrderTarget::Hold { after_step: 3 };
        let applied = Event::OrderApplied { order: OrderKind::Hold, fencing_number: 7 };
        assert_eq!(order_event(&request(Some(hold.clone())), &Ok(state())), Some(applied));
        assert_eq!(order_event(&request(None), &Ok(state())), None);
        assert_eq!(order_event(&request(Some(hold)), &Err(RankError::EngineSilent)), None);
    }
}
