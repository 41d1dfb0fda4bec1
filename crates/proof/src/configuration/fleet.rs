//! Control processes and their in-memory network, in one thread.

use super::oracle::{ConfigViolation, IN_FORCE_LIMIT, Oracle};
use crate::backend::Lifecycle;
use crate::mutation::Mutation;
use crate::network::MessageFault;
use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::{FakeKeyValue, FakeVmList};
use flamingowheel_backing::vm::{Vm, VmState};
use flamingowheel_config::apply::ApplyRequest;
use flamingowheel_config::change::Origin;
use flamingowheel_config::document::parse;
use flamingowheel_config::store::Store;
use flamingowheel_config::token::TokenHash;
use flamingowheel_control::node::Node;
use flamingowheel_control::synchronizer::{Synchronizer, Timing};
use flamingowheel_control::transport::{PeerError, PeerTransport};
use flamingowheel_observe::reason::ConfigSource;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::peer::{MemberRecord, MemberState, PeerAnswer, PeerRequest};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// Number of control processes.
pub const PROCESSES: usize = 5;
const DATA_CENTRES: usize = 2;
/// The workspace whose deadline encodes which change is in force.
const WORKSPACE: &str = "bibb-county";
/// The smallest deadline that the documents allow; changes set larger ones.
const BASE_MS: u64 = 1_000;
/// One-way latency between two processes.
const MESSAGE_TIME: Duration = Duration::from_millis(1);
/// Delay of a reordered message, so that later ones arrive before it.
const REORDER_DELAY: Duration = Duration::from_millis(500);
/// Time for the fleet to start up.
const START_TIME: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Topology {
    nodes: HashMap<SocketAddr, (Node, Lifecycle)>,
    cut: HashSet<SocketAddr>,
    /// Fault of each process's next request to a peer.
    faults: HashMap<SocketAddr, MessageFault>,
}

type Shared = Arc<Mutex<Topology>>;

fn lock(topology: &Shared) -> MutexGuard<'_, Topology> {
    topology.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The network interface of one process.
struct ProcessTransport {
    topology: Shared,
    address: SocketAddr,
}

impl ProcessTransport {
    async fn reach_peer(&self, to: SocketAddr) -> Result<Node, PeerError> {
        sleep(MESSAGE_TIME).await;
        let found = {
            let topology = lock(&self.topology);
            let cut = topology.cut.contains(&self.address) || topology.cut.contains(&to);
            (!cut).then(|| topology.nodes.get(&to).cloned())
        };
        match found {
            Some(Some((node, lifecycle))) => {
                lifecycle.resumed().await;
                Ok(node)
            }
            Some(None) => Err(PeerError::Unreachable),
            None => std::future::pending().await,
        }
    }

    /// Delivers the request after `delay`, whether or not the caller still waits.
    fn deliver_late(&self, to: SocketAddr, request: PeerRequest, delay: Duration) {
        let transport = Self { topology: self.topology.clone(), address: self.address };
        tokio::spawn(async move {
            sleep(delay).await;
            if let Ok(node) = transport.reach_peer(to).await {
                let _ = node.answer(request).await;
            }
        });
    }
}

impl PeerTransport for ProcessTransport {
    fn ask(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerAnswer, PeerError>> {
        Box::pin(async move {
            let fault = lock(&self.topology).faults.remove(&self.address);
            match fault {
                Some(MessageFault::Lost) => return std::future::pending().await,
                Some(MessageFault::Delayed(delay)) => {
                    self.deliver_late(peer, request, delay);
                    return std::future::pending().await;
                }
                Some(MessageFault::Duplicated(delay)) => {
                    self.deliver_late(peer, request.clone(), delay)
                }
                Some(MessageFault::Reordered) => sleep(REORDER_DELAY).await,
                None => {}
            }
            let answer = self.reach_peer(peer).await?.answer(request).await;
            self.reach_peer(peer).await.map(|_| answer)
        })
    }
}

/// A process from its start to its end.
struct RunningProcess {
    node: Node,
    lifecycle: Lifecycle,
    stop: CancellationToken,
    highest_revision: u64,
    /// Since when a reachable process has had a newer revision.
    behind_since: Option<Instant>,
}

/// Control processes, their network and the key-value service.
pub struct Fleet {
    /// Shared by all processes.
    pub kv: FakeKeyValue,
    /// Records the answers that operators got.
    pub oracle: Oracle,
    vms: FakeVmList,
    topology: Shared,
    processes: Vec<Option<RunningProcess>>,
    mutation: Option<Mutation>,
    last_incarnation: u64,
    last_value: u64,
}

impl Fleet {
    /// Starts all processes and applies a first change.
    pub async fn start(mutation: Option<Mutation>) -> Self {
        let mut fleet = Self {
            kv: FakeKeyValue::new(),
            oracle: Oracle::default(),
            vms: FakeVmList::new((0..PROCESSES).map(vm).collect()),
            topology: Shared::default(),
            processes: (0..PROCESSES).map(|_| None).collect(),
            mutation,
            last_incarnation: 0,
            last_value: 0,
        };
        (0..PROCESSES).for_each(|process| fleet.start_process(process));
        fleet.change(0);
        sleep(START_TIME).await;
        fleet
    }

    /// Starts a process unless it runs.
    pub fn start_process(&mut self, process: usize) {
        if self.processes[process].is_none() {
            let node = self.new_node(process);
            self.run(process, node, 0);
        }
    }

    fn new_node(&mut self, process: usize) -> Node {
        self.last_incarnation += 1;
        let record = record(process, Incarnation(self.last_incarnation));
        let recorder = Recorder::for_tests(&record.name);
        Node::new(record, recorder)
    }

    fn run(&mut self, process: usize, node: Node, highest_revision: u64) {
        let own_address = address(process);
        let lifecycle = Lifecycle::default();
        lock(&self.topology).nodes.insert(own_address, (node.clone(), lifecycle.clone()));
        let synchronizer = Synchronizer {
            node: node.clone(),
            store: Store::new(Arc::new(self.kv.clone())),
            peers: Arc::new(ProcessTransport {
                topology: self.topology.clone(),
                address: own_address,
            }),
            vms: Arc::new(self.vms.clone()),
            seeds: (0..PROCESSES).map(address).filter(|seed| *seed != own_address).collect(),
            timing: Timing::default(),
        };
        let stop = CancellationToken::new();
        tokio::spawn(lifecycle.clone().run(synchronizer.run(stop.clone())));
        self.processes[process] =
            Some(RunningProcess { node, lifecycle, stop, highest_revision, behind_since: None });
    }

    /// Kills a process unless it is the last one.
    pub fn kill(&mut self, process: usize) {
        if self.processes.iter().flatten().count() > 1 {
            self.end(process);
        }
    }

    fn end(&mut self, process: usize) {
        if let Some(running) = self.processes[process].take() {
            running.stop.cancel();
            lock(&self.topology).nodes.remove(&address(process));
        }
    }

    /// Partitions a process from the others, or reconnects it.
    pub fn cut(&self, process: usize, cut: bool) {
        let mut topology = lock(&self.topology);
        match cut {
            true => topology.cut.insert(address(process)),
            false => topology.cut.remove(&address(process)),
        };
    }

    /// Pauses or resumes a process.
    pub fn pause(&self, process: usize, paused: bool) {
        if let Some(running) = &self.processes[process] {
            running.lifecycle.set_paused(paused);
        }
    }

    /// Injects a fault into each process's next request to a peer.
    pub fn inject_fault(&self, fault: MessageFault) {
        let faults = (0..PROCESSES).map(|process| (address(process), fault));
        lock(&self.topology).faults = faults.collect();
    }

    /// Whether the process is paused or partitioned.
    fn is_unreachable(&self, process: usize) -> bool {
        let paused =
            self.processes[process].as_ref().is_some_and(|running| running.lifecycle.is_paused());
        paused || lock(&self.topology).cut.contains(&address(process))
    }

    /// Starts to apply an operator's change through a process; returns the value that it sets, or
    /// `None` if the process does not run.
    pub fn change(&mut self, process: usize) -> Option<u64> {
        let running = self.processes[process].as_ref()?;
        self.last_value += 1;
        let (value, node, oracle) = (self.last_value, running.node.clone(), self.oracle.clone());
        let (stop, lifecycle) = (running.stop.clone(), running.lifecycle.clone());
        let store = Store::new(Arc::new(self.kv.clone()));
        tokio::spawn(lifecycle.run(async move {
            let origin = Origin { operator: "ana".into(), at_unix_ms: 0, comment: String::new() };
            let Ok(edits) = parse(&documents(value)) else { return };
            let seen = node.revision();
            let request = ApplyRequest { uuid: Uuid::new_v4(), origin, edits, seen };
            let mut replica = node.replica();
            // An operator gets no answer from a process that dies.
            let answer = tokio::select! {
                biased;
                () = stop.cancelled() => return,
                answer = store.apply(&mut replica, &request) => answer,
            };
            node.replace_if_newer(replica, ConfigSource::Accepted);
            oracle.record_answer(value, &answer);
        }));
        Some(value)
    }

    /// Removes all faults and starts every process.
    pub fn repair(&mut self) {
        self.kv.set_down(false);
        self.kv.set_delay(Duration::ZERO);
        lock(&self.topology).cut.clear();
        lock(&self.topology).faults.clear();
        for process in 0..PROCESSES {
            self.pause(process, false);
            self.start_process(process);
        }
    }

    /// Checks the invariants that hold at any time.
    pub fn check(&mut self) -> Result<(), ConfigViolation> {
        if self.mutation == Some(Mutation::OlderRevisionAdopted) {
            self.adopt_from_older_peer();
        }
        if let Some(conflict) = self.oracle.conflict() {
            return Err(conflict);
        }
        for process in 0..PROCESSES {
            let newest = self.reachable_newest(process);
            if let Some(running) = &mut self.processes[process] {
                check_process(process, running, newest, &self.oracle)?;
            }
        }
        Ok(())
    }

    /// Removes all faults and checks that every process gets the newest accepted change.
    pub async fn settle(&mut self) -> Result<(), ConfigViolation> {
        self.repair();
        sleep(IN_FORCE_LIMIT).await;
        self.check()?;
        let newest = self.oracle.newest();
        for (process, running) in self.processes.iter().enumerate() {
            let revision = running.as_ref().map_or(0, |running| running.node.revision().0);
            if revision < newest {
                let behind_ms = IN_FORCE_LIMIT.as_millis() as u64;
                return Err(ConfigViolation::Behind { process, revision, newest, behind_ms });
            }
        }
        Ok(())
    }

    /// The newest revision among the processes that this one can reach; 0 if it is unreachable.
    fn reachable_newest(&self, process: usize) -> u64 {
        if self.is_unreachable(process) {
            return 0;
        }
        let reachable = |other: &usize| !self.is_unreachable(*other);
        let processes =
            (0..PROCESSES).filter(reachable).filter_map(|other| self.processes[other].as_ref());
        processes.map(|running| running.node.revision().0).max().unwrap_or(0)
    }

    /// The mutation: a process adopts the configuration of a reachable peer with an older revision.
    fn adopt_from_older_peer(&mut self) {
        let reachable = |process: usize| !self.is_unreachable(process);
        let revision = |running: &Option<RunningProcess>| {
            running.as_ref().map_or(0, |process| process.node.revision().0)
        };
        let revisions: Vec<u64> = self.processes.iter().map(revision).collect();
        let older = (0..PROCESSES)
            .filter(|peer| reachable(*peer) && revisions[*peer] > 0)
            .min_by_key(|peer| revisions[*peer]);
        let Some(older) = older else { return };
        let adopter = (0..PROCESSES)
            .find(|process| reachable(*process) && revisions[*process] > revisions[older]);
        let (Some(adopter), Some(peer)) = (adopter, &self.processes[older]) else { return };
        let replica = peer.node.replica();
        let highest_revision =
            self.processes[adopter].as_ref().map_or(0, |running| running.highest_revision);
        self.end(adopter);
        let node = self.new_node(adopter);
        node.replace_if_newer(replica, ConfigSource::Peer);
        self.run(adopter, node, highest_revision);
    }
}

fn check_process(
    process: usize,
    running: &mut RunningProcess,
    newest: u64,
    oracle: &Oracle,
) -> Result<(), ConfigViolation> {
    let revision = running.node.revision().0;
    if revision < running.highest_revision {
        return Err(ConfigViolation::Reverted {
            process,
            from: running.highest_revision,
            to: revision,
        });
    }
    running.highest_revision = revision;
    let effective = running.node.effective().borrow().clone();
    let found =
        effective.workspace(WORKSPACE).map(|workspace| workspace.parameters.deadline_ms - BASE_MS);
    oracle.check(process, effective.revision().0, found)?;
    if revision >= newest {
        running.behind_since = None;
        return Ok(());
    }
    let behind = running.behind_since.get_or_insert_with(Instant::now).elapsed();
    if behind <= IN_FORCE_LIMIT {
        return Ok(());
    }
    let behind_ms = behind.as_millis() as u64;
    Err(ConfigViolation::Behind { process, revision, newest, behind_ms })
}

fn documents(value: u64) -> String {
    let deadline_ms = BASE_MS + value;
    let hash = TokenHash::of(WORKSPACE.as_bytes());
    format!(
        "kind: template\nname: callbox\nparameters: {{ deadline_ms: {deadline_ms} }}\n---\n\
         kind: workspace\nname: {WORKSPACE}\ntemplate: callbox\ntoken_sha256: [{hash}]\n"
    )
}

fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, 1 + process as u8], 1))
}

fn data_centre(process: usize) -> String {
    format!("dc-{}", process % DATA_CENTRES)
}

fn vm(process: usize) -> Vm {
    Vm {
        name: format!("vm-{process}"),
        ip: address(process).ip(),
        data_centre: data_centre(process),
        state: VmState::Live,
    }
}

fn record(process: usize, incarnation: Incarnation) -> MemberRecord {
    MemberRecord {
        name: format!("entry-{process}"),
        vm: format!("vm-{process}"),
        data_centre: data_centre(process),
        region: "region".to_owned(),
        inner: address(process),
        callers: address(process),
        operators: address(process),
        incarnation,
        version: 1,
        state: MemberState::Live,
    }
}
