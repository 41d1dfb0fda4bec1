//! Control processes in one thread, with their network.

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

/// Processes in the fleet.
pub const PROCESSES: usize = 5;
/// Data centres.
const CENTRES: usize = 2;
/// The workspace whose parameters tell which change is in force.
const WORKSPACE: &str = "bibb-county";
/// The smallest value that the documents allow for what changes set.
const BASE_MS: u64 = 1_000;
/// One way between two processes.
const MESSAGE_TIME: Duration = Duration::from_millis(1);
/// Time in which other messages overtake one.
const OVERTAKEN_TIME: Duration = Duration::from_millis(500);
/// Time that the fleet is given at the start.
const START_TIME: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Reach {
    nodes: HashMap<SocketAddr, (Node, Lifecycle)>,
    cut: HashSet<SocketAddr>,
    /// What befalls each process's next request to a peer.
    faults: HashMap<SocketAddr, MessageFault>,
}

type Shared = Arc<Mutex<Reach>>;

fn lock(reach: &Shared) -> MutexGuard<'_, Reach> {
    reach.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The network as one process sees it.
struct Port {
    reach: Shared,
    own: SocketAddr,
}

impl Port {
    async fn carry(&self, to: SocketAddr) -> Result<Node, PeerError> {
        sleep(MESSAGE_TIME).await;
        let found = {
            let reach = lock(&self.reach);
            let cut = reach.cut.contains(&self.own) || reach.cut.contains(&to);
            (!cut).then(|| reach.nodes.get(&to).cloned())
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

    /// The request comes this much later, whether or not the caller still waits.
    fn carry_late(&self, to: SocketAddr, request: PeerRequest, delay: Duration) {
        let port = Self { reach: self.reach.clone(), own: self.own };
        tokio::spawn(async move {
            sleep(delay).await;
            if let Ok(node) = port.carry(to).await {
                let _ = node.answer(request).await;
            }
        });
    }
}

impl PeerTransport for Port {
    fn ask(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerAnswer, PeerError>> {
        Box::pin(async move {
            let fault = lock(&self.reach).faults.remove(&self.own);
            match fault {
                Some(MessageFault::Lost) => return std::future::pending().await,
                Some(MessageFault::Delayed(delay)) => {
                    self.carry_late(peer, request, delay);
                    return std::future::pending().await;
                }
                Some(MessageFault::Duplicated(delay)) => {
                    self.carry_late(peer, request.clone(), delay)
                }
                Some(MessageFault::Reordered) => sleep(OVERTAKEN_TIME).await,
                None => {}
            }
            let answer = self.carry(peer).await?.answer(request).await;
            self.carry(peer).await.map(|_| answer)
        })
    }
}

/// One life of a process.
struct Life {
    node: Node,
    lifecycle: Lifecycle,
    stop: CancellationToken,
    highest: u64,
    /// Since when it could have had something newer.
    behind_since: Option<Instant>,
}

/// The fleet.
pub struct Fleet {
    /// The key-value service.
    pub kv: FakeKeyValue,
    /// What operators were told.
    pub oracle: Oracle,
    vms: FakeVmList,
    reach: Shared,
    lives: Vec<Option<Life>>,
    mutation: Option<Mutation>,
    births: u64,
    asked: u64,
}

impl Fleet {
    /// Starts all processes with a first accepted change.
    pub async fn start(mutation: Option<Mutation>) -> Self {
        let mut fleet = Self {
            kv: FakeKeyValue::new(),
            oracle: Oracle::default(),
            vms: FakeVmList::new((0..PROCESSES).map(vm).collect()),
            reach: Shared::default(),
            lives: (0..PROCESSES).map(|_| None).collect(),
            mutation,
            births: 0,
            asked: 0,
        };
        (0..PROCESSES).for_each(|process| fleet.start_process(process));
        fleet.change(0);
        sleep(START_TIME).await;
        fleet
    }

    /// Starts a process, if it does not run.
    pub fn start_process(&mut self, process: usize) {
        if self.lives[process].is_none() {
            let node = self.new_node(process);
            self.run(process, node, 0);
        }
    }

    fn new_node(&mut self, process: usize) -> Node {
        self.births += 1;
        let record = record(process, Incarnation(self.births));
        let recorder = Recorder::for_tests(&record.name);
        Node::new(record, recorder)
    }

    fn run(&mut self, process: usize, node: Node, highest: u64) {
        let own = address(process);
        let lifecycle = Lifecycle::default();
        lock(&self.reach).nodes.insert(own, (node.clone(), lifecycle.clone()));
        let spread = Synchronizer {
            node: node.clone(),
            store: Store::new(Arc::new(self.kv.clone())),
            peers: Arc::new(Port { reach: self.reach.clone(), own }),
            vms: Arc::new(self.vms.clone()),
            seeds: (0..PROCESSES).map(address).filter(|seed| *seed != own).collect(),
            timing: Timing::default(),
        };
        let stop = CancellationToken::new();
        tokio::spawn(lifecycle.clone().run(spread.run(stop.clone())));
        self.lives[process] = Some(Life { node, lifecycle, stop, highest, behind_since: None });
    }

    /// Kills a process, but not the last one.
    pub fn kill(&mut self, process: usize) {
        if self.lives.iter().flatten().count() > 1 {
            self.end(process);
        }
    }

    fn end(&mut self, process: usize) {
        if let Some(life) = self.lives[process].take() {
            life.stop.cancel();
            lock(&self.reach).nodes.remove(&address(process));
        }
    }

    /// Cuts a process off from the others, or lets it reach them again.
    pub fn cut(&self, process: usize, cut: bool) {
        let mut reach = lock(&self.reach);
        match cut {
            true => reach.cut.insert(address(process)),
            false => reach.cut.remove(&address(process)),
        };
    }

    /// Pauses a process, or lets it go on.
    pub fn pause(&self, process: usize, paused: bool) {
        if let Some(life) = &self.lives[process] {
            life.lifecycle.set_paused(paused);
        }
    }

    /// Each process's next request to a peer meets this fault.
    pub fn inject_fault(&self, fault: MessageFault) {
        let faults = (0..PROCESSES).map(|process| (address(process), fault));
        lock(&self.reach).faults = faults.collect();
    }

    /// Whether others can't reach a process just now.
    fn is_away(&self, process: usize) -> bool {
        let paused = self.lives[process].as_ref().is_some_and(|life| life.lifecycle.is_paused());
        paused || lock(&self.reach).cut.contains(&address(process))
    }

    /// An operator changes the configuration through a process; gives the value that is set.
    pub fn change(&mut self, process: usize) -> Option<u64> {
        let life = self.lives[process].as_ref()?;
        self.asked += 1;
        let (value, node, oracle) = (self.asked, life.node.clone(), self.oracle.clone());
        let (stop, lifecycle) = (life.stop.clone(), life.lifecycle.clone());
        let store = Store::new(Arc::new(self.kv.clone()));
        tokio::spawn(lifecycle.run(async move {
            let origin = Origin { operator: "ana".into(), at_unix_ms: 0, comment: String::new() };
            let Ok(edits) = parse(&documents(value)) else { return };
            let seen = node.revision();
            let request = ApplyRequest { uuid: Uuid::new_v4(), origin, edits, seen };
            let mut replica = node.replica();
            // The operator of a process that dies is told nothing.
            let answer = tokio::select! {
                biased;
                () = stop.cancelled() => return,
                answer = store.apply(&mut replica, &request) => answer,
            };
            node.adopt(replica, ConfigSource::Accepted);
            oracle.record_answer(value, &answer);
        }));
        Some(value)
    }

    /// Mends everything.
    pub fn repair(&mut self) {
        self.kv.set_down(false);
        self.kv.set_delay(Duration::ZERO);
        lock(&self.reach).cut.clear();
        lock(&self.reach).faults.clear();
        for process in 0..PROCESSES {
            self.pause(process, false);
            self.start_process(process);
        }
    }

    /// Checks every promise as of now.
    pub fn check(&mut self) -> Result<(), ConfigViolation> {
        if self.mutation == Some(Mutation::OlderPeerTaken) {
            self.take_from_older_peer();
        }
        if let Some(conflict) = self.oracle.conflict() {
            return Err(conflict);
        }
        for process in 0..PROCESSES {
            let newest = self.reachable_newest(process);
            if let Some(life) = &mut self.lives[process] {
                check_life(process, life, newest, &self.oracle)?;
            }
        }
        Ok(())
    }

    /// Mends everything, and checks that the newest accepted change gets everywhere.
    pub async fn settle(&mut self) -> Result<(), ConfigViolation> {
        self.repair();
        sleep(IN_FORCE_LIMIT).await;
        self.check()?;
        let newest = self.oracle.newest();
        for (process, life) in self.lives.iter().enumerate() {
            let revision = life.as_ref().map_or(0, |life| life.node.revision().0);
            if revision < newest {
                let behind_ms = IN_FORCE_LIMIT.as_millis() as u64;
                return Err(ConfigViolation::Behind { process, revision, newest, behind_ms });
            }
        }
        Ok(())
    }

    /// The newest revision among the processes that this one can reach.
    fn reachable_newest(&self, process: usize) -> u64 {
        if self.is_away(process) {
            return 0;
        }
        let reachable = |other: &usize| !self.is_away(*other);
        let lives = (0..PROCESSES).filter(reachable).filter_map(|other| self.lives[other].as_ref());
        lives.map(|life| life.node.revision().0).max().unwrap_or(0)
    }

    /// The planted fault: a process that reaches an older one takes its configuration.
    fn take_from_older_peer(&mut self) {
        let reachable = |process: usize| !self.is_away(process);
        let revision = |life: &Option<Life>| life.as_ref().map_or(0, |l| l.node.revision().0);
        let revisions: Vec<u64> = self.lives.iter().map(revision).collect();
        let older = (0..PROCESSES)
            .filter(|peer| reachable(*peer) && revisions[*peer] > 0)
            .min_by_key(|peer| revisions[*peer]);
        let Some(older) = older else { return };
        let taker = (0..PROCESSES)
            .find(|process| reachable(*process) && revisions[*process] > revisions[older]);
        let (Some(taker), Some(peer)) = (taker, &self.lives[older]) else { return };
        let replica = peer.node.replica();
        let highest = self.lives[taker].as_ref().map_or(0, |life| life.highest);
        self.end(taker);
        let node = self.new_node(taker);
        node.adopt(replica, ConfigSource::Peer);
        self.run(taker, node, highest);
    }
}

fn check_life(
    process: usize,
    life: &mut Life,
    newest: u64,
    oracle: &Oracle,
) -> Result<(), ConfigViolation> {
    let revision = life.node.revision().0;
    if revision < life.highest {
        return Err(ConfigViolation::Reverted { process, from: life.highest, to: revision });
    }
    life.highest = revision;
    let effective = life.node.effective().borrow().clone();
    let found =
        effective.workspace(WORKSPACE).map(|workspace| workspace.parameters.deadline_ms - BASE_MS);
    oracle.check(process, effective.revision().0, found)?;
    if revision >= newest {
        life.behind_since = None;
        return Ok(());
    }
    let behind = life.behind_since.get_or_insert_with(Instant::now).elapsed();
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

fn centre(process: usize) -> String {
    format!("dc-{}", process % CENTRES)
}

fn vm(process: usize) -> Vm {
    Vm {
        name: format!("vm-{process}"),
        ip: address(process).ip(),
        data_centre: centre(process),
        state: VmState::Live,
    }
}

fn record(process: usize, incarnation: Incarnation) -> MemberRecord {
    MemberRecord {
        name: format!("entry-{process}"),
        vm: format!("vm-{process}"),
        data_centre: centre(process),
        region: "region".to_owned(),
        inner: address(process),
        callers: address(process),
        operators: address(process),
        incarnation,
        version: 1,
        state: MemberState::Live,
    }
}
