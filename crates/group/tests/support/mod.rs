//! A group of fake engines with agents and coordinators over an in-memory link, and fault injection
//! at a chosen message.
#![allow(dead_code)]

pub mod faults;
pub mod traffic;

pub use faults::Fault;

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::{
    EngineSettings, FakeEngine, FakeKeyValue, FencePolicy, RankGroup,
};
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_backing::orders::{ExpertMap, OrderTarget};
use flamingowheel_group::budget::{Budget, StoreLimits};
use flamingowheel_group::coordinator::Coordinator;
use flamingowheel_group::gate::{EngineKind, Gate};
use flamingowheel_group::intake::Intake;
use flamingowheel_group::lease::Leases;
use flamingowheel_group::message::{RankError, RankRequest, RankState};
use flamingowheel_group::ranks::Ranks;
use flamingowheel_group::record::RecordStore;
use flamingowheel_group::serve::DesiredServing;
use flamingowheel_group::session::{LoadLimiter, Timing, WeightSizes};
use flamingowheel_group::status::{Activity, GroupStatus};
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use traffic::Traffic;

pub const RANKS: usize = 3;
/// With these limits the reserved minimum of one process is 50 bytes/s.
const LIMITS: StoreLimits = StoreLimits { rate_bytes_per_s: 1000.0, max_members: 2 };
pub const GROUP: &str = "g1";
pub const MODEL: &str = "notes";
/// Another group that the processes coordinate under the same lease.
const OTHER_GROUP: &str = "beside";
/// Duration of faults that end by themselves.
pub const OUTAGE: Duration = Duration::from_secs(4);
const RESTART: Duration = Duration::from_secs(2);
const LOAD_SPREAD: Duration = Duration::from_millis(40);
const STEP: Duration = Duration::from_millis(25);

/// A map that differs for each number.
pub fn map(number: u16) -> ExpertMap {
    ExpertMap { layers: vec![vec![vec![number], vec![number + 1], vec![number + 2]]] }
}

struct Slot {
    engine: FakeEngine,
    gate: Mutex<Option<Arc<Gate<FakeEngine>>>>,
    calls: Mutex<Vec<AbortHandle>>,
    paused: watch::Sender<bool>,
    refuses_loads: AtomicBool,
    pub traffic: Arc<Traffic>,
}

struct Process {
    abort_handle: AbortHandle,
    stop: CancellationToken,
    paused: watch::Sender<bool>,
    status: watch::Receiver<GroupStatus>,
}

pub struct World {
    pub kv: FakeKeyValue,
    pub group: RankGroup,
    name: &'static str,
    kind: EngineKind,
    sizes: Option<WeightSizes>,
    desired_serving: watch::Sender<Option<DesiredServing>>,
    slots: Vec<Slot>,
    processes: Mutex<Vec<Process>>,
    desired_map: watch::Sender<Option<ExpertMap>>,
    messages: AtomicU64,
    refused_loads: AtomicU64,
    incarnations: AtomicU64,
    schedule: Mutex<Vec<(u64, Fault)>>,
    stop: CancellationToken,
}

/// The link of all coordinators to all agents.
struct Link(Arc<World>);

impl World {
    /// A group that steps with map 1, with one acting coordinator and one on standby.
    pub async fn start(kind: EngineKind) -> Arc<Self> {
        Self::start_with(kind, None).await
    }

    /// As [`World::start`], with loads limited by a budget and counted with this expert size.
    pub async fn start_with(kind: EngineKind, expert_bytes: Option<u64>) -> Arc<Self> {
        let sizes =
            expert_bytes.map(|expert_bytes| WeightSizes { expert_bytes, ..WeightSizes::default() });
        Self::start_sized(kind, sizes, map(1)).await
    }

    /// As [`World::start`], with loads limited by a budget and counted with these sizes, and with
    /// this map.
    pub async fn start_sized(
        kind: EngineKind,
        sizes: Option<WeightSizes>,
        map: ExpertMap,
    ) -> Arc<Self> {
        Self::start_ranks(kind, sizes, map, RANKS).await
    }

    /// Another group in the same key-value service.
    pub async fn start_other_group(kv: FakeKeyValue, group: &'static str) -> Arc<Self> {
        Self::start_in(kv, group, EngineKind::ChecksFence, None, map(1), RANKS).await
    }

    /// As [`World::start_sized`], with this number of ranks.
    pub async fn start_ranks(
        kind: EngineKind,
        sizes: Option<WeightSizes>,
        map: ExpertMap,
        ranks: usize,
    ) -> Arc<Self> {
        Self::start_in(FakeKeyValue::new(), GROUP, kind, sizes, map, ranks).await
    }

    async fn start_in(
        kv: FakeKeyValue,
        name: &'static str,
        kind: EngineKind,
        sizes: Option<WeightSizes>,
        map: ExpertMap,
        ranks: usize,
    ) -> Arc<Self> {
        let fence_policy = match kind {
            EngineKind::ChecksFence => FencePolicy::Refuses,
            EngineKind::IgnoresFence => FencePolicy::Ignores,
        };
        let settings = EngineSettings {
            fence_policy,
            restart_after: Some(RESTART),
            starts_held: true,
            weight_load_time: Duration::from_millis(100),
            ..EngineSettings::default()
        };
        // Ranks load at different speeds, so that some finish before others.
        let engine = |rank: u32| {
            let weight_load_time = settings.weight_load_time + rank * LOAD_SPREAD;
            FakeEngine::new(rank.into(), EngineSettings { weight_load_time, ..settings.clone() })
        };
        let engines: Vec<_> = (0..ranks as u32).map(engine).collect();
        let slot = |engine: &FakeEngine| Slot {
            engine: engine.clone(),
            gate: Mutex::default(),
            calls: Mutex::default(),
            paused: watch::Sender::new(false),
            refuses_loads: AtomicBool::new(false),
            traffic: Arc::default(),
        };
        let world = Arc::new(Self {
            kv,
            name,
            kind,
            sizes,
            desired_serving: watch::Sender::new(None),
            slots: engines.iter().map(slot).collect(),
            group: RankGroup::new(engines),
            processes: Mutex::default(),
            desired_map: watch::Sender::new(Some(map)),
            messages: AtomicU64::new(0),
            refused_loads: AtomicU64::new(0),
            incarnations: AtomicU64::new(0),
            schedule: Mutex::default(),
            stop: CancellationToken::new(),
        });
        for rank in 0..ranks {
            world.start_agent(rank).await;
        }
        world.start_coordinator();
        world.start_coordinator();
        let (group, stop) = (world.group.clone(), world.stop.clone());
        tokio::spawn(async move { group.run(STEP, stop).await });
        sleep(Duration::from_secs(2)).await;
        assert!(world.runs_within(Duration::from_secs(1)).await, "the group does not start");
        world
    }

    pub fn start_coordinator(self: &Arc<Self>) {
        let kv: Arc<dyn KeyValue> = Arc::new(self.kv.clone());
        let link = Link(Arc::clone(self));
        let desired_map = self.desired_map.subscribe();
        let mut coordinator =
            Coordinator::new(Arc::clone(&kv), self.name, link, Timing::default(), desired_map);
        coordinator =
            coordinator.with_rollout(Arc::clone(&kv), MODEL, self.desired_serving.subscribe());
        if let Some(sizes) = self.sizes {
            let member = format!("p{}", self.processes.lock().unwrap().len());
            let budget = Arc::new(Budget::new(kv, &member, LIMITS));
            coordinator = coordinator.with_load_limiter(Some(LoadLimiter { budget, sizes }));
        }
        let status = coordinator.status();
        let paused = watch::Sender::new(false);
        let leases = Leases::new(Arc::new(self.kv.clone()), Timing::default().lease_ttl);
        let stop = CancellationToken::new();
        let run = coordinator.with_leases(leases.clone()).run(stop.clone());
        let run = async { tokio::join!(run, hold_other_group(leases)).0 };
        let abort_handle = tokio::spawn(pausable(run, paused.subscribe())).abort_handle();
        self.processes.lock().unwrap().push(Process { abort_handle, stop, paused, status });
    }

    /// Starts an agent; it answers once it has read the group's record.
    async fn start_agent(&self, rank: usize) {
        let records = RecordStore::new(Arc::new(self.kv.clone()), self.name);
        let incarnation = self.incarnations.fetch_add(1, Ordering::SeqCst) + 1;
        let engine = &self.slots[rank].engine;
        loop {
            let gate = Gate::open(engine.clone(), self.kind, incarnation, &records).await;
            if let Ok(gate) = gate {
                let traffic = &self.slots[rank].traffic;
                traffic.restart();
                let gate = gate.with_intake(Arc::clone(traffic) as Arc<dyn Intake>);
                *self.slots[rank].gate.lock().unwrap() = Some(Arc::new(gate));
                return;
            }
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Makes a rank refuse to load maps and model versions.
    pub fn refuse_loads(&self, rank: usize, refuses: bool) {
        self.slots[rank].refuses_loads.store(refuses, Ordering::SeqCst);
    }

    /// Number of loads refused so far.
    pub fn refused_loads(&self) -> u64 {
        self.refused_loads.load(Ordering::SeqCst)
    }

    pub fn set_desired_map(&self, number: u16) {
        self.desired_map.send_replace(Some(map(number)));
    }

    /// The longest time without a step within `time`.
    pub async fn longest_stall(&self, time: Duration) -> Duration {
        let until = Instant::now() + time;
        let (mut step, mut stepped_at, mut longest) = (0, Instant::now(), Duration::ZERO);
        while Instant::now() < until {
            if self.group.step() > step {
                (step, stepped_at) = (self.group.step(), Instant::now());
            }
            longest = longest.max(stepped_at.elapsed());
            sleep(STEP).await;
        }
        longest
    }

    /// Whether the group runs a step within this time.
    pub async fn runs_within(&self, time: Duration) -> bool {
        let before = self.group.step();
        sleep(time).await;
        self.group.step() > before
    }

    /// Stops all tasks of this world, so that they don't slow down the next one.
    pub fn shutdown(&self) {
        self.stop.cancel();
        self.processes.lock().unwrap().drain(..).for_each(|process| process.abort_handle.abort());
    }

    pub fn engine(&self, rank: usize) -> &FakeEngine {
        &self.slots[rank].engine
    }

    /// The status as the acting coordinator reports it.
    pub fn status(&self) -> GroupStatus {
        let processes = self.processes.lock().unwrap();
        let running = processes
            .iter()
            .filter(|process| !*process.paused.borrow() && !process.abort_handle.is_finished());
        let mut statuses = running.map(|process| process.status.borrow().clone());
        statuses.find(|status| status.activity != Activity::Following).unwrap_or_default()
    }

    /// Asserts that no step was run with two maps or two model versions.
    pub fn check_steps(&self, case: &str) {
        assert_eq!(self.group.map_mismatches(), [], "{case}");
        assert!(self.group.version_mismatches().is_empty(), "{case}: steps with two versions");
    }

    async fn deliver(&self, rank: usize, request: RankRequest) -> Result<RankState, RankError> {
        let gate = self.slots[rank].gate.lock().unwrap().clone();
        let Some(gate) = gate else { return Err(RankError::NoAnswer) };
        let refuses_loads = self.slots[rank].refuses_loads.load(Ordering::SeqCst);
        if refuses_loads
            && matches!(
                request.target,
                Some(OrderTarget::StageMap { .. } | OrderTarget::Serve { .. })
            )
        {
            self.refused_loads.fetch_add(1, Ordering::SeqCst);
            return Err(RankError::NotPossible { reason: "weights can't be read".to_owned() });
        }
        // The agent handles the request to its end even if its caller stops waiting.
        let paused = self.slots[rank].paused.subscribe();
        let handled = tokio::spawn(async move {
            let mut answer = Err(RankError::NoAnswer);
            pausable(async { answer = gate.handle(&request).await }, paused).await;
            answer
        });
        self.slots[rank].calls.lock().unwrap().push(handled.abort_handle());
        handled.await.unwrap_or(Err(RankError::NoAnswer))
    }
}

/// Acquires the other group whenever it is free.
async fn hold_other_group(leases: Leases) {
    loop {
        if let Ok(Some(lease)) = leases.acquire(OTHER_GROUP).await {
            lease.keep_alive().await;
            lease.release().await;
        }
        sleep(Timing::default().poll_interval).await;
    }
}

fn is_acting(process: &Process) -> bool {
    process.status.borrow().activity != Activity::Following && !*process.paused.borrow()
}

impl Ranks for Link {
    fn count(&self) -> usize {
        self.0.slots.len()
    }

    fn call(
        &self,
        rank: usize,
        request: RankRequest,
    ) -> BoxFuture<'_, Result<RankState, RankError>> {
        let world = Arc::clone(&self.0);
        Box::pin(async move {
            let fault = world.due_fault();
            if let Some(fault) = fault {
                world.inject(rank, fault);
            }
            match fault {
                Some(Fault::LoseRequest) => std::future::pending().await,
                Some(Fault::LoseAnswer) => {
                    let _ = world.deliver(rank, request).await;
                    std::future::pending().await
                }
                Some(Fault::Duplicate) => {
                    let _ = world.deliver(rank, request.clone()).await;
                    world.deliver(rank, request).await
                }
                Some(Fault::Delay(delay)) => {
                    tokio::spawn(async move {
                        sleep(delay).await;
                        let _ = world.deliver(rank, request).await;
                    });
                    std::future::pending().await
                }
                _ => world.deliver(rank, request).await,
            }
        })
    }
}

/// Runs a future that is not polled while `paused` is set, like a stopped process.
async fn pausable<F>(future: F, paused: watch::Receiver<bool>)
where
    F: Future<Output = ()>,
{
    tokio::pin!(future);
    loop {
        let mut signal = paused.clone();
        let _ = signal.wait_for(|paused| !paused).await;
        tokio::select! {
            biased;
            _ = signal.wait_for(|paused| *paused) => {}
            () = &mut future => return,
        }
    }
}
