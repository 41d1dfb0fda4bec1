//! What an agent enforces in front of its engine.
//!
//! Some engines refuse an order with an old fencing number, others don't look at it. The gate makes
//! both safe: one order in flight, numbers checked at receipt and again right before the write, and
//! no different order while an earlier one may still take effect.

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

/// How long a request waits for the one before it.
const QUEUE_LIMIT: Duration = Duration::from_secs(1);

/// Whether an engine looks at fencing numbers; the operator says which.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineKind {
    /// Refuses an order with a lower number than it has seen.
    ChecksFence,
    /// Takes any order.
    IgnoresFence,
}

/// A map whose weights the engine was seen to have loaded.
#[derive(Clone, Debug)]
struct Loaded {
    map: ExpertMap,
    process_id: u64,
    digest: Option<u64>,
}

impl Loaded {
    fn is_still(&self, map: &ExpertMap, engine: &EngineState) -> bool {
        self.process_id == engine.process_id
            && self.digest == engine.staged_map_digest
            && self.map == *map
    }
}

#[derive(Default)]
struct Memory {
    /// An order that was sent and whose answer has not come.
    sent: Option<PendingLoad>,
    /// What earlier agents noted; one of them was this engine's.
    inherited: Vec<PendingLoad>,
    loaded: Option<Loaded>,
}

/// The only way from an agent to its engine's orders.
pub struct Gate<Engine> {
    engine: Engine,
    kind: EngineKind,
    incarnation: u64,
    lowest: AtomicU64,
    /// Locked while an order is in flight.
    memory: Mutex<Memory>,
    notes: PendingLoadStore,
    intake: Arc<dyn Intake>,
    /// When the gate was opened the group was about to change its version.
    is_rolling: bool,
}

impl<Engine> Gate<Engine>
where
    Engine: EngineOrders,
{
    /// Opens the gate of a fresh agent.
    ///
    /// A coordinator that lost its place may still send orders. An agent that remembers nothing
    /// would take them, and one rank would step with another map. So the agent first takes the
    /// lowest acceptable number from the record, and stays shut while that can't be read.
    pub async fn open(
        engine: Engine,
        kind: EngineKind,
        incarnation: u64,
        records: &RecordStore,
    ) -> Result<Self, RecordError> {
        let (lowest, is_rolling) = match records.read().await {
            Ok(stored) => (stored.fence().0, stored.record.phase == Phase::Rolling),
            Err(RecordError::Missing) => (0, false),
            Err(error) => return Err(error),
        };
        let notes = records.pending_loads();
        let inherited = match kind {
            EngineKind::ChecksFence => Vec::new(),
            EngineKind::IgnoresFence => notes.read().await?,
        };
        let memory = Mutex::new(Memory { inherited, ..Memory::default() });
        let (lowest, intake) = (AtomicU64::new(lowest), Arc::new(IdleIntake::default()));
        Ok(Self { engine, kind, incarnation, lowest, memory, notes, intake, is_rolling })
    }

    /// Says what work the agent has.
    ///
    /// A fresh agent of a group that is about to change its version takes no work: its requests
    /// would begin with a version that goes away, while the group may stand still already.
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
        self.admit(request.fence)?;
        // A silent engine must not let requests pile up; whoever asks will ask again.
        let locked = timeout(QUEUE_LIMIT, self.memory.lock()).await;
        let mut memory = locked.map_err(|_| RankError::EngineSilent)?;
        let state = self.read(&mut memory).await?;
        // While this order waited, a newer coordinator may have come; its number decides. This is
        // the last point before the write: nothing is awaited in between.
        self.admit(request.fence)?;
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
        self.check_streams(target, &state.engine)?;
        // A load takes long and its answer may be lost; the same load is not asked for twice.
        if let OrderTarget::StageMap { map } = target
            && memory.loaded.as_ref().is_some_and(|loaded| loaded.is_still(map, &state.engine))
        {
            return Ok(state);
        }
        self.write(&mut memory.sent, request.fence, target, state.engine.process_id).await?;
        let state = self.read(&mut memory).await?;
        if let OrderTarget::StageMap { map } = target {
            let (process_id, digest) = (state.engine.process_id, state.engine.staged_map_digest);
            memory.loaded = Some(Loaded { map: map.clone(), process_id, digest });
        }
        Ok(state)
    }

    /// Refuses numbers below the highest seen, and remembers the highest.
    fn admit(&self, given: Fence) -> Result<(), RankError> {
        let lowest = self.lowest.fetch_max(given.0, Ordering::SeqCst);
        if given.0 < lowest {
            return Err(RankError::Stale { given, lowest: Fence(lowest) });
        }
        Ok(())
    }

    /// Reads the engine; called with the lock held, so that no order is in flight meanwhile.
    async fn read(&self, memory: &mut Memory) -> Result<RankState, RankError> {
        let engine = self.engine.state().await.map_err(|_| RankError::EngineSilent)?;
        let inherited = std::mem::take(&mut memory.inherited).into_iter();
        let sent = &mut memory.sent;
        *sent = sent.take().or(inherited.rev().find(|note| note.process_id == engine.process_id));
        let over = |sent: &PendingLoad| {
            sent.process_id != engine.process_id || is_reached(&sent.target, &engine)
        };
        if let Some(resolved) = sent.take_if(|sent| over(sent)) {
            self.forget(&resolved.target, resolved.process_id).await;
        }
        let (incarnation, work) = (self.incarnation, self.intake.state());
        Ok(RankState { incarnation, engine, unresolved: sent.is_some(), work })
    }

    /// An answer that began with one version would go on with another: its caller gets the two
    /// halves of two answers and nothing tells. So while anything runs no other version is loaded,
    /// whoever asks. A process that was started held and has no map has run no step yet.
    fn check_streams(&self, target: &OrderTarget, engine: &EngineState) -> Result<(), RankError> {
        let OrderTarget::Serve { model, version, .. } = target else { return Ok(()) };
        let changes = engine.model != *model || engine.version != *version;
        let is_fresh = engine.held_after_step.is_some() && engine.map_version == 0;
        if !changes || is_fresh || !self.intake.may_run_requests() {
            return Ok(());
        }
        Err(RankError::Busy { in_progress: self.intake.state().in_progress })
    }

    /// An order whose answer is lost may sit in the engine's queue and take effect a minute later,
    /// when the group long uses another map. An engine that checks numbers will refuse it then. For
    /// one that does not, it is remembered, and nothing different is sent until its effect is seen
    /// or the engine's process is another. It is noted before the write, so that it is also there
    /// if this call is given up half-way. A load is noted in the key-value service as well, for the
    /// agent that follows if this one dies meanwhile.
    async fn write(
        &self,
        sent: &mut Option<PendingLoad>,
        fence: Fence,
        target: &OrderTarget,
        process_id: u64,
    ) -> Result<(), RankError> {
        if self.is_noted(target) {
            let note = PendingLoad { target: target.clone(), process_id };
            self.notes.put(&note).await.map_err(|_| RankError::NotNoted)?;
            // That took a while: a newer coordinator may have come.
            if let Err(stale) = self.admit(fence) {
                self.forget(target, process_id).await;
                return Err(stale);
            }
        }
        if self.kind == EngineKind::IgnoresFence && is_harmful_when_late(target) {
            *sent = Some(PendingLoad { target: target.clone(), process_id });
        }
        let order = Order { fence, target: target.clone() };
        let result = self.engine.order(&order).await;
        let error = match result {
            Ok(()) => {
                *sent = None;
                self.forget(target, process_id).await;
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
        *sent = None;
        self.forget(target, process_id).await;
        Err(error)
    }

    /// Whether orders of this kind are noted for a successor.
    fn is_noted(&self, target: &OrderTarget) -> bool {
        self.kind == EngineKind::IgnoresFence && is_load(target)
    }

    /// Takes the note of an order back that can't take effect any more. Left there, it would keep a later
    /// agent from ordering anything, and notes of engines' processes that are gone would pile up.
    async fn forget(&self, target: &OrderTarget, process_id: u64) {
        if !self.is_noted(target) {
            return;
        }
        if let Err(error) = self.notes.remove(process_id).await {
            tracing::warn!(%error, process_id, "note of a load not taken back");
        }
    }
}

/// Whether the engine is already where the order wants it. Orders name targets, so nothing is then
/// written, and every order that is written has an effect by which it can be recognised.
fn is_reached(target: &OrderTarget, engine: &EngineState) -> bool {
    match target {
        OrderTarget::Serve { model, version, adapters, role } => {
            engine.model == *model
                && engine.version == *version
                && is_same_set(&engine.adapters, adapters)
                && engine.role == *role
        }
        // The way an engine computes the digest is its own; see `Loaded`.
        OrderTarget::StageMap { .. } => false,
        OrderTarget::Hold { after_step } => engine.held_after_step == Some(*after_step),
        OrderTarget::SwitchMap { map_version, .. } => engine.map_version == *map_version,
        OrderTarget::Resume => engine.held_after_step.is_none(),
    }
}

fn is_load(target: &OrderTarget) -> bool {
    matches!(target, OrderTarget::Serve { .. })
}

/// A late hold or load stops or delays a rank, which is noticed and undone. The others could let a
/// rank step with another map, or serve another version.
fn is_harmful_when_late(target: &OrderTarget) -> bool {
    !matches!(target, OrderTarget::StageMap { .. } | OrderTarget::Hold { .. })
}
