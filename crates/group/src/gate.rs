//! Checks that an agent applies to orders for its engine.
//!
//! Some engines refuse orders with an old fencing number, others ignore the number. The gate makes
//! both safe: one order is in flight at a time, numbers are checked on receipt and again right
//! before the order is sent, and no different order is sent while an earlier one may still take
//! effect.

use crate::intake::{IdleIntake, Intake};
use crate::message::{RankError, RankRequest, RankState};
use crate::pending_load::{PendingLoad, PendingLoadStore};
use crate::record::{Phase, RecordError, RecordStore};
use crate::serve::is_same_set;
use flamingowheel_backing::orders::{
    EngineOrders, EngineState, ExpertMap, Fence, Order, OrderError, OrderTarget,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::timeout;

/// How long a request waits for an earlier one before it fails.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether an engine checks fencing numbers; set by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineKind {
    /// Refuses orders with a number below the highest it has seen.
    ChecksFence,
    /// Accepts orders with any number.
    IgnoresFence,
}

/// A map whose weights the engine has confirmed as loaded.
#[derive(Clone, Debug)]
struct Loaded {
    map: ExpertMap,
    process_id: u64,
    digest: Option<u64>,
}

impl Loaded {
    fn matches(&self, map: &ExpertMap, engine: &EngineState) -> bool {
        self.process_id == engine.process_id
            && self.digest == engine.staged_map_digest
            && self.map == *map
    }
}

#[derive(Default)]
struct OrderState {
    /// An order of any kind that was sent and not answered.
    unanswered: Option<PendingLoad>,
    /// Pending loads stored by earlier agents of the group, until matched with this engine.
    inherited: Vec<PendingLoad>,
    loaded: Option<Loaded>,
}

/// Sends a coordinator's orders to the agent's engine. All orders of the agent go through it.
pub struct Gate<Engine> {
    engine: Engine,
    kind: EngineKind,
    incarnation: u64,
    lowest_fence: AtomicU64,
    /// Locked while an order is in flight.
    order_state: Mutex<OrderState>,
    pending_loads: PendingLoadStore,
    intake: Arc<dyn Intake>,
    /// Whether the group was changing its model version when the gate was opened.
    is_rolling: bool,
}

impl<Engine> Gate<Engine>
where
    Engine: EngineOrders,
{
    /// Opens the gate of a new agent process.
    ///
    /// A coordinator that was replaced may still send orders. A new agent without a fencing number
    /// would accept them, and its rank would step with another map. So the lowest acceptable number
    /// is read from the group's record, and the gate can't be opened while that fails.
    pub async fn open(
        engine: Engine,
        kind: EngineKind,
        incarnation: u64,
        records: &RecordStore,
    ) -> Result<Self, RecordError> {
        let (lowest_fence, is_rolling) = match records.read().await {
            Ok(stored) => (stored.fence().0, stored.record.phase == Phase::Rolling),
            Err(RecordError::Missing) => (0, false),
            Err(error) => return Err(error),
        };
        let pending_loads = records.pending_loads();
        let inherited = match kind {
            EngineKind::ChecksFence => Vec::new(),
            EngineKind::IgnoresFence => pending_loads.read().await?,
        };
        let order_state = Mutex::new(OrderState { inherited, ..OrderState::default() });
        let (lowest_fence, intake) =
            (AtomicU64::new(lowest_fence), Arc::new(IdleIntake::default()));
        Ok(Self {
            engine,
            kind,
            incarnation,
            lowest_fence,
            order_state,
            pending_loads,
            intake,
            is_rolling,
        })
    }

    /// Sets the agent's intake.
    ///
    /// If the group is changing its model version, the intake is closed: requests would begin with
    /// the old version while the group may already be held.
    pub fn with_intake(self, intake: Arc<dyn Intake>) -> Self {
        if self.is_rolling {
            intake.set_open(false);
        }
        Self { intake, ..self }
    }

    /// Answers a coordinator's request.
    pub async fn handle(&self, request: &RankRequest) -> Result<RankState, RankError> {
        if request.incarnation.is_some_and(|incarnation| incarnation != self.incarnation) {
            return Err(RankError::WrongIncarnation { incarnation: self.incarnation });
        }
        self.check_fence(request.fence)?;
        // Requests must not queue up behind a silent engine; the coordinator sends them again.
        let locked = timeout(QUEUE_TIMEOUT, self.order_state.lock()).await;
        let mut order_state = locked.map_err(|_| RankError::EngineSilent)?;
        let state = self.read(&mut order_state).await?;
        // A newer coordinator may have sent a higher number while this request waited. Nothing is
        // awaited between this check and the write, except to store a load; the number is then
        // checked again.
        self.check_fence(request.fence)?;
        if let Some(open) = request.open {
            self.intake.set_open(open);
        }
        let Some(target) = &request.target else { return Ok(state) };
        if state.unresolved {
            return Err(RankError::Unresolved);
        }
        let version = state.engine.map_version;
        if request.requires_version.is_some_and(|required| required != version) {
            return Err(RankError::WrongVersion { version });
        }
        if is_reached(target, &state.engine) {
            return Ok(state);
        }
        self.check_no_requests(target, &state.engine)?;
        // Loads take long and the answer may be lost on its way; a completed load is not repeated.
        if let OrderTarget::StageMap { map } = target
            && order_state.loaded.as_ref().is_some_and(|loaded| loaded.matches(map, &state.engine))
        {
            return Ok(state);
        }
        self.send(&mut order_state.unanswered, request.fence, target, state.engine.process_id)
            .await?;
        let state = self.read(&mut order_state).await?;
        if let OrderTarget::StageMap { map } = target {
            let (process_id, digest) = (state.engine.process_id, state.engine.staged_map_digest);
            order_state.loaded = Some(Loaded { map: map.clone(), process_id, digest });
        }
        Ok(state)
    }

    /// Refuses numbers below the highest seen, and raises the highest seen.
    fn check_fence(&self, given: Fence) -> Result<(), RankError> {
        let lowest_fence = self.lowest_fence.fetch_max(given.0, Ordering::SeqCst);
        if given.0 < lowest_fence {
            return Err(RankError::Stale { given, lowest: Fence(lowest_fence) });
        }
        Ok(())
    }

    /// Reads the engine's state. Called with the lock held, so that no order is in flight.
    async fn read(&self, order_state: &mut OrderState) -> Result<RankState, RankError> {
        let engine = self.engine.state().await.map_err(|_| RankError::EngineSilent)?;
        let inherited = std::mem::take(&mut order_state.inherited).into_iter();
        let unanswered = &mut order_state.unanswered;
        *unanswered =
            unanswered.take().or(inherited.rev().find(|load| load.process_id == engine.process_id));
        let is_resolved = |unanswered: &PendingLoad| {
            unanswered.process_id != engine.process_id || is_reached(&unanswered.target, &engine)
        };
        if let Some(resolved) = unanswered.take_if(|unanswered| is_resolved(unanswered)) {
            self.remove_pending_load(&resolved.target, resolved.process_id).await;
        }
        let (incarnation, work) = (self.incarnation, self.intake.state());
        Ok(RankState { incarnation, engine, unresolved: unanswered.is_some(), work })
    }

    /// Refuses to load another model version while requests may run: an answer would begin with one
    /// version and continue with another, which its caller could not detect. An engine that was
    /// started held and has no map has run no step yet, so it may load any version.
    fn check_no_requests(
        &self,
        target: &OrderTarget,
        engine: &EngineState,
    ) -> Result<(), RankError> {
        let OrderTarget::Serve { model, version, .. } = target else { return Ok(()) };
        let changes = engine.model != *model || engine.version != *version;
        let is_fresh = engine.held_after_step.is_some() && engine.map_version == 0;
        if !changes || is_fresh || !self.intake.may_run_requests() {
            return Ok(());
        }
        Err(RankError::Busy { in_progress: self.intake.state().in_progress })
    }

    /// Sends an order to the engine.
    ///
    /// If its answer is lost, the order may wait in the engine's queue and take effect a minute
    /// later, when the group uses another map. An engine that checks fencing numbers then refuses
    /// it. For one that does not, the order is recorded, and no different order is sent until its
    /// effect is seen or the engine process is replaced. It is recorded before it is sent, so that
    /// this also holds if this call is cancelled. Loads are stored in the key-value service as
    /// well, for the next agent if this one dies.
    async fn send(
        &self,
        unanswered: &mut Option<PendingLoad>,
        fence: Fence,
        target: &OrderTarget,
        process_id: u64,
    ) -> Result<(), RankError> {
        if self.is_stored(target) {
            let load = PendingLoad { target: target.clone(), process_id };
            self.pending_loads.put(&load).await.map_err(|_| RankError::NotStored)?;
            // A newer coordinator may have sent a higher number meanwhile.
            if let Err(stale) = self.check_fence(fence) {
                self.remove_pending_load(target, process_id).await;
                return Err(stale);
            }
        }
        if self.kind == EngineKind::IgnoresFence && is_harmful_when_late(target) {
            *unanswered = Some(PendingLoad { target: target.clone(), process_id });
        }
        let order = Order { fence, target: target.clone() };
        let result = self.engine.send_order(&order).await;
        let error = match result {
            Ok(()) => {
                *unanswered = None;
                self.remove_pending_load(target, process_id).await;
                return Ok(());
            }
            Err(OrderError::Backend(error)) if !error.proves_not_started() => {
                return Err(RankError::EngineSilent);
            }
            Err(OrderError::Backend(_)) => RankError::EngineSilent,
            Err(OrderError::Stale { given, highest }) => {
                RankError::Stale { given, lowest: highest }
            }
            Err(OrderError::NotPossible { reason }) => RankError::NotPossible { reason },
        };
        *unanswered = None;
        self.remove_pending_load(target, process_id).await;
        Err(error)
    }

    /// Whether orders of this kind are stored for the next agent.
    fn is_stored(&self, target: &OrderTarget) -> bool {
        self.kind == EngineKind::IgnoresFence && is_load(target)
    }

    /// Removes the stored copy of an order that can't take effect any more. Left in place, it would
    /// keep the next agent from sending orders, and entries of ended engine processes would
    /// accumulate.
    async fn remove_pending_load(&self, target: &OrderTarget, process_id: u64) {
        if !self.is_stored(target) {
            return;
        }
        if let Err(error) = self.pending_loads.remove(process_id).await {
            tracing::warn!(%error, process_id, "pending load not removed");
        }
    }
}

/// Whether the engine has already reached the target. No order is sent then, so every order that is
/// sent has an effect by which it can be recognised.
fn is_reached(target: &OrderTarget, engine: &EngineState) -> bool {
    match target {
        OrderTarget::Serve { model, version, adapters, role } => {
            engine.model == *model
                && engine.version == *version
                && is_same_set(&engine.adapters, adapters)
                && engine.role == *role
        }
        // The digest is computed by the engine and can't be predicted here; see `Loaded`.
        OrderTarget::StageMap { .. } => false,
        OrderTarget::Hold { after_step } => engine.held_after_step == Some(*after_step),
        OrderTarget::SwitchMap { map_version, .. } => engine.map_version == *map_version,
        OrderTarget::Resume => engine.held_after_step.is_none(),
    }
}

fn is_load(target: &OrderTarget) -> bool {
    matches!(target, OrderTarget::Serve { .. })
}

/// Whether an order would do harm if it took effect late. A late hold or map load only stops or
/// delays a rank, which is noticed and undone. The others could make a rank step with another map
/// or serve another model version.
fn is_harmful_when_late(target: &OrderTarget) -> bool {
    !matches!(target, OrderTarget::StageMap { .. } | OrderTarget::Hold { .. })
}
