//! Agents found through a VM list that is wrong.

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

/// Counts the tries to connect; none succeeds.
#[derive(Default)]
struct Tries(AtomicUsize);

impl Connector for Tries {
    fn connect(&self, _address: SocketAddr) -> BoxFuture<'_, Result<AgentLink, HandshakeError>> {
        self.0.fetch_add(1, Ordering::Relaxed);
        Box::pin(async { Err(HandshakeError::TimedOut) })
    }
}

// The list's service restarts and answers with an empty list for a while. An entry that believed it
// would give up all agents at once, and refuse every request.
#[tokio::test(start_paused = true)]
async fn run_empty_list_not_taken() {
    let vm = Vm {
        name: "vm-1".to_owned(),
        ip: Ipv4Addr::new(127, 0, 2, 1).into(),
        data_centre: "a".to_owned(),
        state: VmState::Live,
    };
    let (list, tries) = (FakeVmList::new(vec![vm]), Arc::new(Tries::default()));
    let connector: Arc<dyn Connector> = Arc::clone(&tries) as Arc<dyn Connector>;
    let agents = Agents::new(connector, Arc::new(Router::default()), Recorder::for_tests("entry"));
    let book = Arc::new(AddressBook::new(&[], Vec::new()));
    let discovery = Discovery {
        list: Arc::new(list.clone()),
        agents: Arc::new(agents),
        node: Node::new(record("entry"), Recorder::for_tests("entry")),
        book: Arc::new(move || Arc::clone(&book)),
        clock: Arc::new(|| 0),
        inner_port: 7_400,
        own: Ipv4Addr::new(127, 0, 1, 1).into(),
        interval: Duration::from_secs(1),
    };
    tokio::spawn(discovery.run());
    sleep(Duration::from_secs(5)).await;
    list.set(Vec::new());
    sleep(Duration::from_secs(5)).await;
    let before = tries.0.load(Ordering::Relaxed);
    sleep(Duration::from_secs(10)).await;
    assert!(tries.0.load(Ordering::Relaxed) > before);
}

/// Agents in memory: each answers every connection, and notes when it was told to leave.
#[derive(Clone, Default)]
struct Plain {
    told: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
    opened: Arc<AtomicUsize>,
}

fn agent_ip(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 8, (number / 250) as u8, (number % 250) as u8)
}

fn agent_name(address: SocketAddr) -> String {
    format!("agent-{}", address.ip())
}

impl Connector for Plain {
    fn connect(&self, address: SocketAddr) -> BoxFuture<'_, Result<AgentLink, HandshakeError>> {
        self.opened.fetch_add(1, Ordering::Relaxed);
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
        let told = Arc::clone(&self.told);
        tokio::spawn(async move {
            let (load, window) = (Load::default(), Window(0));
            let heartbeat =
                AgentMessage::Heartbeat { load, window, leaving: false, backend_up: true };
            let _ = incoming.send(heartbeat).await;
            while let Some(message) = outgoing.recv().await {
                if message == EntryMessage::VmLeaving {
                    told.lock().unwrap().entry(address).or_insert_with(Instant::now);
                }
            }
        });
        Box::pin(async move { Ok(Link { peer, sender, receiver }) })
    }
}

const LARGE: usize = 30;
const AGENTS: usize = 400;

fn entry_name(number: usize) -> String {
    format!("entry-{number:02}")
}

/// A node that knows of all entries and agents but hears nobody.
async fn node_of(number: usize) -> Node {
    let node = Node::new(record(&entry_name(number)), Recorder::for_tests("entry"));
    let others = (0..LARGE).filter(|other| *other != number);
    let news = MembershipUpdate {
        records: others.map(|o| record(&entry_name(o))).collect(),
        ..MembershipUpdate::default()
    };
    let heartbeat = Heartbeat {
        from: Sender { name: entry_name(LARGE), incarnation: Incarnation(1) },
        revision: 0,
        after: 0,
        hold_ms: 0,
        updates: news,
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

fn start(node: &Node, list: &FakeVmList, plain: &Plain) -> Arc<Agents> {
    let (connector, recorder) = (Arc::new(plain.clone()), Recorder::for_tests("entry"));
    let agents = Arc::new(Agents::new(connector, Arc::new(Router::default()), recorder));
    let (own, began) = (node.clone(), Instant::now());
    let built = Mutex::new((0, book(node)));
    let discovery = Discovery {
        list: Arc::new(list.clone()),
        agents: Arc::clone(&agents),
        node: node.clone(),
        book: Arc::new(move || {
            let mut built = built.lock().unwrap();
            if built.0 != own.table_version() {
                *built = (own.table_version(), book(&own));
            }
            Arc::clone(&built.1)
        }),
        clock: Arc::new(move || began.elapsed().as_millis() as u64),
        inner_port: 7_400,
        own: Ipv4Addr::new(127, 0, 1, 1).into(),
        interval: Duration::from_secs(1),
    };
    tokio::spawn(discovery.run());
    agents
}

fn vm(number: usize, state: VmState) -> Vm {
    let (name, data_centre) = (format!("vm-{number}"), "a".to_owned());
    Vm { name, ip: agent_ip(number).into(), data_centre, state }
}

// The peers are silent from the start, and nobody tells this entry of any agent. It still finds
// all in its own turns, and links to those of its cells only.
#[tokio::test(start_paused = true)]
async fn run_peers_silent_finds_agents() {
    let list = FakeVmList::new((0..AGENTS).map(|number| vm(number, VmState::Live)).collect());
    let (node, plain) = (node_of(0).await, Plain::default());
    let agents = start(&node, &list, &plain);
    sleep(Duration::from_secs(300)).await;
    assert_eq!(node.agents().len(), AGENTS);
    let linked = agents.connected().len();
    let own = book(&node).servers_of(&entry_name(0)).unwrap().len();
    assert_eq!(linked, own);
    assert!((1..AGENTS).contains(&linked), "{linked}");
    let calls = list.calls();
    sleep(Duration::from_secs(300)).await;
    assert_eq!(list.calls() - calls, 10);
}

// A VM is taken away. Most entries have no link to its agent, and in most seconds none of those
// that have reads the list; without a notice the agent would take new work until it is cut off.
#[tokio::test(start_paused = true)]
async fn run_leaving_vm_told_in_time() {
    let list = FakeVmList::new((0..AGENTS).map(|number| vm(number, VmState::Live)).collect());
    let plain = Plain::default();
    let mut links = Vec::new();
    for number in 0..LARGE {
        let node = node_of(number).await;
        for agent in 0..AGENTS {
            let address = SocketAddr::new(agent_ip(agent).into(), 7_400);
            let hello = plain.connect(address).await.unwrap().peer;
            node.record_agent(address, &hello);
        }
        links.push(start(&node, &list, &plain));
    }
    sleep(Duration::from_secs(40)).await;
    for (turn, number) in [7, 190, 311].into_iter().enumerate() {
        sleep(Duration::from_millis(300 + 350 * turn as u64)).await;
        list.set((0..AGENTS).map(|n| vm(n, state(n == number))).collect());
        let since = Instant::now();
        sleep(Duration::from_secs(2)).await;
        let address = SocketAddr::new(agent_ip(number).into(), 7_400);
        let told = plain.told.lock().unwrap().get(&address).copied();
        assert!(told.is_some_and(|at| at >= since), "{number}");
    }
}

// The VM of another entry is taken away. All read the list in turn, so whoever does must say so:
// callers would be sent to that entry until it is cut off.
#[tokio::test(start_paused = true)]
async fn run_in_turn_leaving_entry_noted() {
    let mut vms: Vec<Vm> = (0..10).map(|number| vm(number, VmState::Live)).collect();
    vms[3].name = entry_name(3);
    vms[3].state = VmState::Leaving;
    let (node, plain) = (node_of(0).await, Plain::default());
    let _agents = start(&node, &FakeVmList::new(vms), &plain);
    sleep(Duration::from_secs(LARGE as u64 + 1)).await;
    let leaving = |view: &MemberView| view.state == MemberState::Leaving;
    let members = node.members();
    let names: Vec<_> = members.iter().filter(|view| leaving(view)).collect();
    assert_eq!(names.len(), 1);
    assert_eq!(names[0].record.name, entry_name(3));
}

fn state(leaving: bool) -> VmState {
    if leaving { VmState::Leaving } else { VmState::Live }
}
