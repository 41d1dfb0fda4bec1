//! Agents found through a VM list that is wrong.

use flamingowheel_control::node::Node;
use flamingowheel_daemon::discovery::Discovery;
use flamingowheel_entry::addresses::AddressBook;
use flamingowheel_entry::agents::Agents;
use flamingowheel_entry::connector::{AgentLink, Connector};
use flamingowheel_entry::router::Router;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_platform::BoxFuture;
use flamingowheel_platform::fake::FakeVmList;
use flamingowheel_platform::vm::{Vm, VmState};
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::peer::{MemberRecord, MemberState};
use flamingowheel_protocol::websocket::HandshakeError;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::sleep;

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
