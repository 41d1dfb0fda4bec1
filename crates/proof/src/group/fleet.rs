//! One group of ranks with its agents and two coordinators, in one thread.

use super::gate::AnyGate;
use crate::backend::Lifecycle;
use crate::mutation::Mutation;
use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::{
    EngineSettings, FakeEngine, FakeKeyValue, FencePolicy, MapMismatch, RankGroup,
};
use flamingowheel_backing::kv::{KeyValue, LeaseId};
use flamingowheel_backing::orders::{ExpertMap, OrderTarget};
use flamingowheel_group::coordinator::Coordinator;
use flamingowheel_group::gate::EngineKind;
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::ranks::Ranks;
use flamingowheel_group::record::RecordStore;
use flamingowheel_group::session::Timing;
use flamingowheel_group::status::{Activity, GroupStatus};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Number of ranks of the group.
pub const RANKS: usize = 3;
/// Number of processes that may coordinate the group.
pub const COORDINATORS: usize = 2;

const GROUP: &str = "group-a";
/// One-way latency between two processes; long, so that other events fall between two messages.
const MESSAGE_TIME: Duration = Duration::from_millis(30);
const STEP_TIME: Duration = Duration::from_millis(25);
const LOAD_TIME: Duration = Duration::from_millis(100);
const RESTART_TIME: Duration = Duration::from_secs(2);
const START_TIME: Duration = Duration::from_secs(3);
/// Time until a silent connection is replaced by a new one.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest time that a reordered request waits for the next one.
const REORDER_LIMIT: Duration = Duration::from_secs(5);
/// Time limit after the last fault for the group to step again or to report a rank out of service.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);
/// Longest delay of an order.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(60);
/// Upper limit of the lease ids in a run.
const MAX_LEASES: i64 = 10_000;

/// A violated invariant of a group.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GroupViolation {
    /// A step was run with two different maps.
    #[error("step {} was run with different maps: {:?}", .0.step, .0.maps)]
    MapMismatch(MapMismatch),
    /// After all faults have ended the group makes no steps, and no coordinator reports a rank out
    /// of service.
    #[error("the group makes no steps, and no rank is reported out of service: {status:?}")]
    Stalled {
        /// Status of each coordinator.
        status: Vec<GroupStatus>,
    },
    /// A rank serves a version other than that of the newest executed order.
    #[error("the rank serves version {found:?}; the newest executed order was for {expected:?}")]
    OtherVersion {
        /// The version that the rank serves.
        found: String,
        /// The version of the newest executed order.
        expected: String,
    },
    /// A new order is not executed although all faults have ended.
    #[error("a new order is not executed: {last}")]
    OrderNotExecuted {
        /// Error of the last attempt.
        last: String,
    },
}

/// Fault of an order to a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The request never arrives.
    RequestLost,
    /// The order is executed and its answer is lost.
    AnswerLost,
    /// The request arrives twice, the second time after this delay.
    Duplicated(Duration),
    /// The request arrives after this delay.
    Delayed(Duration),
    /// The request arrives after the next one to the same rank.
    Reordered,
}

struct Slot {
    engine: FakeEngine,
    gate: Mutex<Option<Arc<AnyGate>>>,
    calls: Mutex<Vec<AbortHandle>>,
    /// Lifecycle of the agent process.
    lifecycle: Lifecycle,
    /// Notified when a request was handled.
    request_handled: Notify,
}

struct Shared {
    kv: FakeKeyValue,
    kind: EngineKind,
    mutation: Option<Mutation>,
    slots: Vec<Slot>,
    faults: Mutex<VecDeque<CallFault>>,
    /// Until when connections deliver nothing.
    silent_until: Mutex<Option<Instant>>,
    incarnations: AtomicU64,
    message_time: Duration,
}

struct Process {
    running: AbortHandle,
    lifecycle: Lifecycle,
    status: watch::Receiver<GroupStatus>,
}

/// The group with its agents, coordinators and key-value service.
pub struct Fleet {
    /// Shared by agents and coordinators.
    pub kv: FakeKeyValue,
    group: RankGroup,
    shared: Arc<Shared>,
    processes: Vec<Process>,
    desired: watch::Sender<Option<ExpertMap>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An expert map that differs for each number.
fn map(number: u16) -> ExpertMap {
    ExpertMap { layers: vec![vec![vec![number], vec![number + 1], vec![number + 2]]] }
}

impl Fleet {
    /// Starts a group that steps with map 1. With a mutation its engines must ignore fencing
    /// numbers, as they would mask it otherwise.
    pub async fn start(kind: EngineKind, mutation: Option<Mutation>) -> Self {
        Self::start_with_latency(kind, mutation, MESSAGE_TIME).await
    }

    /// Starts engines and agents without coordinators.
    pub fn without_coordinators(
        kind: EngineKind,
        mutation: Option<Mutation>,
        message_time: Duration,
        settings: EngineSettings,
    ) -> Self {
        let fence_policy = match kind {
            EngineKind::ChecksFence => FencePolicy::Refuses,
            EngineKind::IgnoresFence => FencePolicy::Ignores,
        };
        let settings = EngineSettings {
            fence_policy,
            restart_after: Some(RESTART_TIME),
            needs_staging: false,
            ..settings
        };
        let engines: Vec<_> =
            (0..RANKS).map(|rank| FakeEngine::new(rank as u64, settings.clone())).collect();
        let slot = |engine: &FakeEngine| Slot {
            engine: engine.clone(),
            gate: Mutex::default(),
            calls: Mutex::default(),
            lifecycle: Lifecycle::default(),
            request_handled: Notify::new(),
        };
        let kv = FakeKeyValue::new();
        let shared = Arc::new(Shared {
            kv: kv.clone(),
            kind,
            mutation,
            slots: engines.iter().map(slot).collect(),
            faults: Mutex::default(),
            silent_until: Mutex::default(),
            incarnations: AtomicU64::new(0),
            message_time,
        });
        let group = RankGroup::new(engines);
        let desired = watch::Sender::new(Some(map(1)));
        let fleet = Self { kv, group, shared, processes: Vec::new(), desired };
        (0..RANKS).for_each(|rank| fleet.start_agent(rank, Duration::ZERO));
        fleet
    }

    /// Like [`Self::start`], with the given one-way latency of messages.
    pub async fn start_with_latency(
        kind: EngineKind,
        mutation: Option<Mutation>,
        message_time: Duration,
    ) -> Self {
        let settings = EngineSettings {
            starts_held: true,
            weight_load_time: LOAD_TIME,
            ..EngineSettings::default()
        };
        let mut fleet = Self::without_coordinators(kind, mutation, message_time, settings);
        let group = fleet.group.clone();
        (0..COORDINATORS).for_each(|_| fleet.start_coordinator());
        tokio::spawn(async move { group.run(STEP_TIME, CancellationToken::new()).await });
        sleep(START_TIME).await;
        fleet
    }

    /// Sets the map that the coordinators switch to.
    pub fn set_desired_map(&self, number: u16) {
        self.desired.send_replace(Some(map(number)));
    }

    /// The fake engine of a rank; it outlives the rank's agents.
    pub fn engine(&self, rank: usize) -> &FakeEngine {
        &self.shared.slots[rank].engine
    }

    /// Injects a fault into the next order to a rank; faults queue up.
    pub fn inject_fault(&self, fault: CallFault) {
        lock(&self.shared.faults).push_back(fault);
    }

    /// Makes the open connections deliver nothing more; new ones open after `SILENCE_LIMIT`.
    pub fn silence(&self) {
        *lock(&self.shared.silent_until) = Some(Instant::now() + SILENCE_LIMIT);
    }

    /// Reads and writes the group's record in the key-value service.
    pub fn records(&self) -> RecordStore {
        RecordStore::new(Arc::new(self.kv.clone()), GROUP)
    }

    /// Creates a coordinator's link to the agents.
    pub fn link(&self) -> Link {
        Link(Arc::clone(&self.shared))
    }

    /// Kills an agent process; another starts after `RESTART_TIME`.
    pub fn replace_agent(&self, rank: usize) {
        let slot = &self.shared.slots[rank];
        *lock(&slot.gate) = None;
        lock(&slot.calls).drain(..).for_each(|call| call.abort());
        self.start_agent(rank, RESTART_TIME);
    }

    /// Pauses or resumes an agent process; requests that it received wait until it is resumed.
    pub fn pause_agent(&self, rank: usize, paused: bool) {
        self.shared.slots[rank].lifecycle.set_paused(paused);
    }

    fn start_agent(&self, rank: usize, after: Duration) {
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            sleep(after).await;
            shared.open_gate(rank).await;
        });
    }

    /// Kills a coordinator and starts another.
    pub fn replace_coordinator(&mut self, index: usize) {
        self.processes.remove(index % COORDINATORS).running.abort();
        self.start_coordinator();
    }

    fn start_coordinator(&mut self) {
        let kv: Arc<dyn KeyValue> = Arc::new(self.kv.clone());
        let link = self.link();
        let desired = self.desired.subscribe();
        let coordinator = Coordinator::new(kv, GROUP, link, Timing::default(), desired);
        let (status, lifecycle) = (coordinator.status(), Lifecycle::default());
        let run = lifecycle.clone().run(coordinator.run(CancellationToken::new()));
        let running = tokio::spawn(run).abort_handle();
        self.processes.push(Process { running, lifecycle, status });
    }

    /// Index of the coordinator that leads; 0 if none does.
    pub fn leader(&self) -> usize {
        let leads = |process: &Process| process.status.borrow().activity != Activity::Following;
        self.processes.iter().position(leads).unwrap_or(0)
    }

    /// Pauses or resumes a coordinator.
    pub fn pause_coordinator(&self, index: usize, paused: bool) {
        self.processes[index % COORDINATORS].lifecycle.set_paused(paused);
    }

    /// Expires every lease without notice to its holder.
    pub fn expire_leases(&self) {
        (1..MAX_LEASES).for_each(|lease| self.kv.expire_lease(LeaseId(lease)));
    }

    /// Checks that no step was run with two maps.
    pub fn check(&self) -> Result<(), GroupViolation> {
        match self.group.map_mismatches().into_iter().next() {
            Some(mismatch) => Err(GroupViolation::MapMismatch(mismatch)),
            None => Ok(()),
        }
    }

    /// Removes all faults and resumes every process.
    pub fn repair(&self) {
        lock(&self.shared.faults).clear();
        self.kv.set_down(false);
        self.kv.set_delay(Duration::ZERO);
        for rank in 0..RANKS {
            self.pause_agent(rank, false);
            self.engine(rank).set_frozen(false);
            self.engine(rank).clear_order_faults();
        }
        self.processes.iter().for_each(|process| process.lifecycle.set_paused(false));
    }

    /// Removes all faults and checks that the group steps again or reports a rank out of service.
    pub async fn settle(&self) -> Result<(), GroupViolation> {
        self.repair();
        // Replaced processes may still be starting, and delayed orders may still arrive.
        sleep(MAX_ORDER_DELAY + RECOVERY_LIMIT).await;
        let before = self.group.step();
        sleep(Duration::from_secs(1)).await;
        self.check()?;
        let status: Vec<_> =
            self.processes.iter().map(|process| process.status.borrow().clone()).collect();
        let is_rank_reported = status.iter().any(|status| !status.out_of_service.is_empty());
        if self.group.step() > before || is_rank_reported {
            return Ok(());
        }
        Err(GroupViolation::Stalled { status })
    }
}

impl Shared {
    async fn open_gate(&self, rank: usize) {
        let records = RecordStore::new(Arc::new(self.kv.clone()), GROUP);
        let incarnation = self.incarnations.fetch_add(1, Ordering::SeqCst) + 1;
        loop {
            let engine = self.slots[rank].engine.clone();
            let gate = match self.mutation {
                Some(Mutation::FenceAtReceiptOnly) => {
                    Some(AnyGate::receipt_only(engine, incarnation))
                }
                _ => AnyGate::real(engine, self.kind, incarnation, &records).await,
            };
            if let Some(gate) = gate {
                *lock(&self.slots[rank].gate) = Some(Arc::new(gate));
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// The fault of this request, if any. Reads, loads and holds get none: they are so many that
    /// they would use up nearly all faults, and none of them changes the map in use.
    fn next_fault(&self, request: &RankRequest) -> Option<CallFault> {
        match request.target.as_ref()? {
            OrderTarget::StageMap { .. } | OrderTarget::Hold { .. } => None,
            _ => lock(&self.faults).pop_front(),
        }
    }

    async fn deliver(&self, rank: usize, request: RankRequest) -> Result<RankState, RankError> {
        let gate = lock(&self.slots[rank].gate).clone();
        let Some(gate) = gate else { return Err(RankError::NoAnswer) };
        // The agent handles a request that it received whether or not its caller still waits.
        let lifecycle = self.slots[rank].lifecycle.clone();
        let handled = tokio::spawn(async move {
            lifecycle.resumed().await;
            let answer = gate.handle(&request).await;
            lifecycle.resumed().await;
            answer
        });
        lock(&self.slots[rank].calls).push(handled.abort_handle());
        let answer = handled.await.unwrap_or(Err(RankError::NoAnswer));
        self.slots[rank].request_handled.notify_waiters();
        answer
    }

    fn silent_until(&self) -> Option<Instant> {
        *lock(&self.silent_until)
    }

    async fn deliver_with_fault(
        self: &Arc<Self>,
        rank: usize,
        request: RankRequest,
    ) -> Result<RankState, RankError> {
        match self.next_fault(&request) {
            Some(CallFault::RequestLost) => std::future::pending().await,
            Some(CallFault::AnswerLost) => {
                let _ = self.deliver(rank, request).await;
                std::future::pending().await
            }
            Some(CallFault::Delayed(delay)) => {
                self.deliver_late(rank, request, delay);
                std::future::pending().await
            }
            Some(CallFault::Reordered) => self.deliver_reordered(rank, request).await,
            Some(CallFault::Duplicated(delay)) => {
                self.deliver_late(rank, request.clone(), delay);
                self.deliver(rank, request).await
            }
            None => self.deliver(rank, request).await,
        }
    }

    /// Delivers the request after the next one, whether or not the caller still waits.
    async fn deliver_reordered(
        self: &Arc<Self>,
        rank: usize,
        request: RankRequest,
    ) -> Result<RankState, RankError> {
        let shared = Arc::clone(self);
        let delivered = tokio::spawn(async move {
            let request_handled = shared.slots[rank].request_handled.notified();
            let _ = timeout(REORDER_LIMIT, request_handled).await;
            shared.deliver(rank, request).await
        });
        delivered.await.unwrap_or(Err(RankError::NoAnswer))
    }

    fn deliver_late(self: &Arc<Self>, rank: usize, request: RankRequest, delay: Duration) {
        let shared = Arc::clone(self);
        let received_by = lock(&self.slots[rank].gate).clone();
        tokio::spawn(async move {
            if let (Some(gate), Some(Mutation::FenceAtReceiptOnly)) = (received_by, shared.mutation)
            {
                return gate.handle_late(&request, delay).await;
            }
            sleep(delay).await;
            // The process that runs by then receives the request.
            shared.deliver(rank, request).await
        });
    }
}

/// The coordinators' link to the agents.
pub struct Link(Arc<Shared>);

impl Ranks for Link {
    fn count(&self) -> usize {
        RANKS
    }

    fn call(
        &self,
        rank: usize,
        request: RankRequest,
    ) -> BoxFuture<'_, Result<RankState, RankError>> {
        let shared = Arc::clone(&self.0);
        Box::pin(async move {
            sleep(shared.message_time).await;
            let silent_before = shared.silent_until();
            if silent_before.is_some_and(|until| Instant::now() < until) {
                return std::future::pending().await;
            }
            let answer = shared.deliver_with_fault(rank, request).await;
            // The connection went silent while the answer was in flight.
            match shared.silent_until() == silent_before {
                true => answer,
                false => std::future::pending().await,
            }
        })
    }
}
