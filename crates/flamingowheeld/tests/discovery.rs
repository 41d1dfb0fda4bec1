//! Discovery of agents with a faulty VM list, silent peers and leaving VMs.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::FakeVmList;
use flamingowheel_backing::vm::{Vm, VmState};
use flamingowheel_control::node::{MemberView, Node};
use flamingowheel_daemon::discovery::Discovery;
use flamingowheel_entry::addresses::{AddressBook, EntryMember, Scope};
use flamingowheel_entry::agents::{Agents, Target};
use flamingowheel_entry::connector::{AgentLink, Connector};
use flamingowheel_entry::router::Router;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_protocol::id::{Incarnation, Window};
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::message::{
    AgentMessage, BackendProfile, EntryMessage, Hello, Load, Role, Serves,
};
use flamingowheel_protocol::peer::{
    Heartbeat, MemberRecord, MemberState, MembershipUpdate, PeerRequest, Sender,
};
use flamingowheel_protocol::websocket::HandshakeError;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

fn record(name: &str) -> MemberRecord {
    let address = SocketAddr::from(([127, 0, 1, 1], 7_400));
    MemberRecord {
        name: name.to_owned(),
        vm: name.to_owned(),
        data_centre: "a".to_owned(),
        region: "r".to_owned(),
        inner: address,
        callers: address,
        operators: address,
        incarnation: Incarnation(1),
        version: 1,
        state: MemberState::Live,
    }
}

/// Counts the attempts to connect; none succeeds.
#[derive(Default)]
struct FailingConnector(AtomicUsize);

impl Connector for FailingConnector {
    fn connect(&self, _address: SocketAddr) -> BoxFuture<'_, Result<AgentLink, HandshakeError>> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Box::pin(async { Err(HandshakeError::TimedOut) })
    }
}

// The VM list's service restarts and returns an empty list for a while. An entry that applied it
// would drop all agents at once and refuse every request.
#[tokio::test(start_paused = true)]
async fn run_empty_list_ignored() {
    let vm = Vm {
        name: "vm-1".to_owned(),
        ip: Ipv4Addr::new(127, 0, 2, 1).into(),
        data_centre: "a".to_owned(),
        state: VmState::Live,
    };
    let (list, attempts) = (FakeVmList::new(vec![vm]), Arc::new(FailingConnector::default()));
    let connector: Arc<dyn Connector> = Arc::clone(&attempts) as Arc<dyn Connector>;
    let agents = Agents::new(connector, Arc::new(Router::default()), Recorder::for_tests("entry"));
    let book = Arc::new(AddressBook::new(&[], Vec::new()));
    let discovery = Discovery {
        vm_list: Arc::new(list.clone()),
        agents: Arc::new(agents),
        node: Node::new(record("entry"), Recorder::for_tests("entry")),
        address_book: Arc::new(move || Arc::clone(&book)),
        fleet_clock_ms: Arc::new(|| 0),
        inner_port: 7_400,
        own_ip: Ipv4Addr::new(127, 0, 1, 1).into(),
        read_interval: Duration::from_secs(1),
    };
    tokio::spawn(discovery.run());
    sleep(Duration::from_secs(5)).await;
    list.set(Vec::new());
    sleep(Duration::from_secs(5)).await;
    let before = attempts.0.load(Ordering::Relaxed);
    sleep(Duration::from_secs(10)).await;
    assert!(attempts.0.load(Ordering::Relaxed) > before);
}

/// In-memory agents: each accepts every connection and records when it was first notified that its
/// VM is leaving.
#[derive(Clone, Default)]
struct FakeAgents {
    notified_at: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
    connection_count: Arc<AtomicUsize>,
}

fn agent_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 8, (number / 250) as u8, (number % 250) as u8)
}

fn agent_name(address: SocketAddr) -> String {
    format!("agent-{}", address.ip())
}

impl Connector for FakeAgents {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, Result<AgentLink, HandshakeError>> {
        self.connection_count.fetch_add(1, Ordering::Relaxed);
        let serves = Serves::Service { service: "desk".to_owned() };
        let profile = BackendProfile { serves, places: 8, can_resume: false, experts: None };
        let peer = Hello {
            name: agent_name(address),
            incarnation: Incarnation(1),
            vm: address.to_string(),
            data_centre: "a".to_owned(),
            operators: None,
            role: Role::Agent(profile),
        };
        let (sender, mut outgoing) = mpsc::channel(16);
        let (incoming, receiver) = mpsc::channel(16);
        let notified_at = Arc::clone(&self.notified_at);
        tokio::spawn(async move {
            let (load, window) = (Load::default(), Window(0));
            let heartbeat =
                AgentMessage::Heartbeat { load, window, leaving: false, backend_up: true };
            let _ = incoming.send(heartbeat).await;
            while let Some(message) = outgoing.recv().await {
                if message == EntryMessage::VmLeaving {
                    notified_at.lock().unwrap().entry(address).or_insert_with(Instant::now);
                }
            }
        });
        Box::pin(async move { Ok(Link { peer, sender, receiver }) })
    }
}

const ENTRIES: usize = 30;
const AGENTS: usize = 400;

fn entry_name(number: usize) -> String {
    format!("entry-{number:02}")
}

/// A node that has a record of every entry but gets no further messages.
async fn node_with_members(number: usize) -> Node {
    let node = Node::new(record(&entry_name(number)), Recorder::for_tests("entry"));
    let others = (0..ENTRIES).filter(|other| *other != number);
    let updates = MembershipUpdate {
        records: others.map(|o| record(&entry_name(o))).collect(),
        ..MembershipUpdate::default()
    };
    let heartbeat = Heartbeat {
        from: Sender { name: entry_name(ENTRIES), incarnation: Incarnation(1) },
        revision: 0,
        after: 0,
        hold_ms: 0,
        updates,
        agent_digests: Vec::new(),
    };
    node.answer(PeerRequest::Heartbeat(Box::new(heartbeat))).await;
    node
}

fn book(node: &Node) -> Arc<AddressBook> {
    let members = node.members().into_iter().map(|view| EntryMember {
        name: view.record.name,
        address: view.record.callers,
        data_centre: view.record.data_centre,
        region: view.record.region,
        leaving: false,
    });
    let servers = node.agents().iter().map(|a| ServerKey::from_name(&a.name)).collect();
    let scope: Scope = (Target::Service("desk".to_owned()).scope(), servers);
    Arc::new(AddressBook::new(&[scope], members.collect()))
}

fn start_discovery(node: &Node, list: &FakeVmList, fake_agents: &FakeAgents) -> Arc<Agents> {
    let (connector, recorder) = (Arc::new(fake_agents.clone()), Recorder::for_tests("entry"));
    let agents = Arc::new(Agents::new(connector, Arc::new(Router::default()), recorder));
    let (book_node, began) = (node.clone(), Instant::now());
    let cache = Mutex::new((0, book(node)));
    let discovery = Discovery {
        vm_list: Arc::new(list.clone()),
        agents: Arc::clone(&agents),
        node: node.clone(),
        address_book: Arc::new(move || {
            let mut cache = cache.lock().unwrap();
            if cache.0 != book_node.table_version() {
                *cache = (book_node.table_version(), book(&book_node));
            }
            Arc::clone(&cache.1)
        }),
        fleet_clock_ms: Arc::new(move || began.elapsed().as_millis() as u64),
        inner_port: 7_400,
        own_ip: Ipv4Addr::new(127, 0, 1, 1).into(),
        read_interval: Duration::from_secs(1),
    };
    tokio::spawn(discovery.run());
    agents
}

fn vm(number: usize, state: VmState) -> Vm {
    let (name, data_centre) = (format!("vm-{number}"), "a".to_owned());
    Vm { name, ip: agent_ip(number).into(), data_centre, state }
}

// The peers are silent from the start, so this entry gets no agents from them. It must still
// find all agents in its own turns, and link only to those of its cells.
#[tokio::test(start_paused = true)]
async fn run_peers_silent_finds_agents() {
    let list = FakeVmList::new((0..AGENTS).map(|number| vm(number, VmState::Live)).collect());
    let (node, fake_agents) = (node_with_members(0).await, FakeAgents::default());
    let agents = start_discovery(&node, &list, &fake_agents);
    sleep(Duration::from_secs(300)).await;
    assert_eq!(node.agents().len(), AGENTS);
    let linked = agents.connected().len();
    let in_cells = book(&node).servers_of(&entry_name(0)).unwrap().len();
    assert_eq!(linked, in_cells);
    assert!((1..AGENTS).contains(&linked), "{linked}");
    let calls = list.calls();
    sleep(Duration::from_secs(300)).await;
    assert_eq!(list.calls() - calls, 10);
}

// A VM is leaving. Most entries have no link to its agent, and in most seconds the entry that reads
// the list is one of these. Without a notice the agent would accept new work until it is cut off.
#[tokio::test(start_paused = true)]
async fn run_leaving_vm_notified_in_time() {
    let list = FakeVmList::new((0..AGENTS).map(|number| vm(number, VmState::Live)).collect());
    let fake_agents = FakeAgents::default();
    let mut links = Vec::new();
    for number in 0..ENTRIES {
        let node = node_with_members(number).await;
        for agent in 0..AGENTS {
            let address = SocketAddr::new(agent_ip(agent).into(), 7_400);
            let hello = fake_agents.connect(address).await.unwrap().peer;
            node.record_agent(address, &hello);
        }
        links.push(start_discovery(&node, &list, &fake_agents));
    }
    sleep(Duration::from_secs(40)).await;
    for (turn, number) in [7, 190, 311].into_iter().enumerate() {
        sleep(Duration::from_millis(300 + 350 * turn as u64)).await;
        list.set((0..AGENTS).map(|n| vm(n, state(n == number))).collect());
        let changed_at = Instant::now();
        sleep(Duration::from_secs(2)).await;
        let address = SocketAddr::new(agent_ip(number).into(), 7_400);
        let notified_at = fake_agents.notified_at.lock().unwrap().get(&address).copied();
        assert!(notified_at.is_some_and(|at| at >= changed_at), "{number}");
    }
}

// The VM of another entry is leaving. The entry that reads the list in its turn must record this,
// or callers would be sent to the leaving entry until it is cut off.
#[tokio::test(start_paused = true)]
async fn run_in_rotation_leaving_entry_recorded() {
    let mut vms: Vec<Vm> = (0..10).map(|number| vm(number, VmState::Live)).collect();
    vms[3].name = entry_name(3);
    vms[3].state = VmState::Leaving;
    let (node, fake_agents) = (node_with_members(0).await, FakeAgents::default());
    let _agents = start_discovery(&node, &FakeVmList::new(vms), &fake_agents);
    sleep(Duration::from_secs(ENTRIES as u64 + 1)).await;
    let leaving = |view: &MemberView| view.state == MemberState::Leaving;
    let members = node.members();
    let names: Vec<_> = members.iter().filter(|view| leaving(view)).collect();
    assert_eq!(names.len(), 1);
    assert_eq!(names[0].record.name, entry_name(3));
}

fn state(leaving: bool) -> VmState {
    if leaving { VmState::Leaving } else { VmState::Live }
}
