//! A fleet of entries in one process over a simulated network, with injected faults.

#![allow(dead_code, reason = "each test file uses a part")]

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::{FakeKeyValue, FakeVmList};
use flamingowheel_backing::vm::{Vm, VmState};
use flamingowheel_config::apply::{Applied, ApplyError, ApplyRequest};
use flamingowheel_config::bucket::{HEAD_KEY, Head};
use flamingowheel_config::change::Origin;
use flamingowheel_config::document::parse;
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_config::store::Store;
use flamingowheel_config::token::TokenHash;
use flamingowheel_control::node::Node;
use flamingowheel_control::synchronizer::{Synchronizer, Timing};
use flamingowheel_control::transport::{PeerError, PeerTransport};
use flamingowheel_observe::reason::ConfigSource;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::codec::encode;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::peer::{MemberRecord, MemberState, PeerAnswer, PeerFrame, PeerRequest};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

pub const TEMPLATE: &str = "kind: template\nname: callbox\n";

/// A template that differs only in its priority.
pub fn template(priority: u8) -> String {
    format!("kind: template\nname: callbox\nparameters: {{ priority: {priority} }}\n")
}

pub fn workspace(name: &str) -> String {
    let hash = TokenHash::of(name.as_bytes());
    format!("---\nkind: workspace\nname: {name}\ntemplate: callbox\ntoken_sha256: [{hash}]\n")
}

/// A simulated network between entries, addressed by their inner addresses.
#[derive(Clone)]
pub struct Network {
    state: Arc<Mutex<NetworkState>>,
    paused: watch::Sender<HashSet<SocketAddr>>,
}

struct NetworkState {
    nodes: HashMap<SocketAddr, Node>,
    cut: HashSet<SocketAddr>,
    delay: Duration,
    far_delay: Duration,
    measured: Option<HashMap<SocketAddr, u64>>,
}

impl Network {
    pub fn new(delay: Duration) -> Self {
        let state = NetworkState {
            nodes: HashMap::new(),
            cut: HashSet::new(),
            delay,
            far_delay: delay,
            measured: None,
        };
        Self { state: Arc::new(Mutex::new(state)), paused: watch::Sender::default() }
    }

    /// Drops all messages to and from an entry until [`Network::reconnect`].
    pub fn cut(&self, address: SocketAddr) {
        self.state.lock().unwrap().cut.insert(address);
    }

    pub fn reconnect(&self, address: SocketAddr) {
        self.state.lock().unwrap().cut.remove(&address);
    }

    /// Pauses or resumes an entry. A paused entry sends and answers nothing, and keeps its state.
    pub fn pause(&self, address: SocketAddr, paused: bool) {
        self.paused.send_modify(|all| {
            if paused {
                all.insert(address)
            } else {
                all.remove(&address)
            };
        });
    }

    /// Sets the delay of messages between data centres with odd and with even numbers, which are
    /// treated as two regions.
    pub fn set_far_delay(&self, delay: Duration) {
        self.state.lock().unwrap().far_delay = delay;
    }

    /// Sets the delay of messages within a region.
    pub fn set_delay(&self, delay: Duration) {
        self.state.lock().unwrap().delay = delay;
    }

    /// Starts to count the encoded bytes that each entry sends.
    pub fn start_measuring(&self) {
        self.state.lock().unwrap().measured = Some(HashMap::new());
    }

    /// Bytes sent since [`Network::start_measuring`], by entry.
    pub fn sent_bytes(&self) -> HashMap<SocketAddr, u64> {
        self.state.lock().unwrap().measured.clone().unwrap_or_default()
    }

    /// Counts the bytes of a message, if measuring was started.
    fn count_bytes(&self, from: SocketAddr, frame: PeerFrame) {
        if let Some(measured) = &mut self.state.lock().unwrap().measured {
            let bytes = encode(0, std::slice::from_ref(&frame)).unwrap().len();
            *measured.entry(from).or_default() += bytes as u64;
        }
    }

    async fn wait_while_paused(&self, address: SocketAddr) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|all| !all.contains(&address)).await;
    }

    fn delay(&self, from: SocketAddr, to: SocketAddr) -> Duration {
        let state = self.state.lock().unwrap();
        let region = |address| {
            let node = state.nodes.get(&address)?;
            node.own_record().data_centre.bytes().last().map(|digit| digit % 2)
        };
        if region(from) == region(to) { state.delay } else { state.far_delay }
    }

    async fn deliver(&self, from: SocketAddr, to: SocketAddr) -> Result<Node, PeerError> {
        let delay = self.delay(from, to);
        tokio::time::sleep(delay).await;
        let found = {
            let state = self.state.lock().unwrap();
            let cut = state.cut.contains(&from) || state.cut.contains(&to);
            (!cut).then(|| state.nodes.get(&to).cloned())
        };
        match found {
            Some(node) => node.ok_or(PeerError::Unreachable),
            None => std::future::pending().await,
        }
    }
}

/// The transport of one entry over the simulated network.
struct EntryTransport {
    network: Network,
    own: SocketAddr,
}

impl PeerTransport for EntryTransport {
    fn ask(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerAnswer, PeerError>> {
        Box::pin(async move {
            self.network.wait_while_paused(self.own).await;
            let frame = PeerFrame::Request { number: 1, request: request.clone() };
            self.network.count_bytes(self.own, frame);
            let (network, own) = (self.network.clone(), self.own);
            // In a task of its own, so that the peer continues while the requester is paused.
            let answer = tokio::spawn(async move {
                let node = network.deliver(own, peer).await?;
                network.wait_while_paused(peer).await;
                let answer = node.answer(request).await;
                network.wait_while_paused(peer).await;
                network.count_bytes(peer, PeerFrame::Answer { number: 1, answer: answer.clone() });
                network.deliver(peer, own).await.map(|_| answer)
            });
            answer.await.unwrap_or(Err(PeerError::Unreachable))
        })
    }
}

fn request(text: &str, seen: ConfigRevision) -> ApplyRequest {
    let origin = Origin { operator: "ana".to_owned(), at_unix_ms: 0, comment: String::new() };
    ApplyRequest { uuid: Uuid::new_v4(), origin, edits: parse(text).unwrap(), seen }
}

/// One entry of the fleet.
pub struct Entry {
    pub node: Node,
    pub store: Store,
    pub address: SocketAddr,
    pub peers: Arc<dyn PeerTransport>,
    stop: CancellationToken,
}

impl Entry {
    pub async fn apply(&self, text: &str) -> Result<Applied, ApplyError> {
        let request = request(text, self.node.revision());
        let mut replica = self.node.replica();
        let applied = self.store.apply(&mut replica, &request).await;
        self.node.replace_if_newer(replica, ConfigSource::Accepted);
        applied
    }

    pub fn kill(&self) {
        self.stop.cancel();
    }

    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        let members = self.node.members();
        members.iter().find(|member| member.record.name == name).map(|member| member.state)
    }
}

/// A fleet of entries with its key-value service, VM list and network.
pub struct Fleet {
    pub kv: FakeKeyValue,
    pub vms: FakeVmList,
    pub network: Network,
    pub entries: BTreeMap<String, Entry>,
}

impl Fleet {
    /// Starts `count` entries in `centres` data centres and waits until each knows all others.
    pub async fn start(count: usize, centres: usize) -> Self {
        let mut fleet = Self {
            kv: FakeKeyValue::new(),
            vms: FakeVmList::new(Vec::new()),
            network: Network::new(Duration::from_millis(1)),
            entries: BTreeMap::new(),
        };
        for number in 0..count {
            fleet.add(number, centres);
        }
        fleet.until(Duration::from_secs(30), |entry| entry.node.members().len() == count).await;
        fleet
    }

    pub fn add(&mut self, number: usize, centres: usize) -> &Entry {
        let seeds = self.entries.values().take(3).map(|entry| entry.address).collect();
        self.add_with_seeds(number, centres, seeds)
    }

    pub fn add_with_seeds(
        &mut self,
        number: usize,
        centres: usize,
        seeds: Vec<SocketAddr>,
    ) -> &Entry {
        let record = record(number, centres);
        let (name, address) = (record.name.clone(), record.inner);
        self.vms.add(Vm {
            name: record.vm.clone(),
            ip: address.ip(),
            data_centre: record.data_centre.clone(),
            state: VmState::Live,
        });
        let node = Node::new(record, Recorder::for_tests(&name));
        let store = Store::new(Arc::new(self.kv.clone()));
        let peers: Arc<dyn PeerTransport> =
            Arc::new(EntryTransport { network: self.network.clone(), own: address });
        let synchronizer = Synchronizer {
            node: node.clone(),
            store: store.clone(),
            peers: Arc::clone(&peers),
            vms: Arc::new(self.vms.clone()),
            seeds,
            timing: Timing::default(),
        };
        let stop = CancellationToken::new();
        self.network.state.lock().unwrap().nodes.insert(address, node.clone());
        tokio::spawn(pausable(self.network.clone(), address, synchronizer.run(stop.clone())));
        self.entries.entry(name).or_insert(Entry { node, store, address, peers, stop })
    }

    pub fn entry(&self, number: usize) -> &Entry {
        &self.entries[&format!("entry-{number}")]
    }

    /// Stops a process. Requests to its address fail from then on.
    pub fn kill(&mut self, number: usize) {
        let entry = self.entries.remove(&format!("entry-{number}")).unwrap();
        entry.kill();
        self.network.state.lock().unwrap().nodes.remove(&entry.address);
    }

    /// Waits until `reached` holds for all entries, at most for `limit`. Returns the time it took.
    pub async fn until<F>(&self, limit: Duration, reached: F) -> Duration
    where
        F: Fn(&Entry) -> bool,
    {
        let start = tokio::time::Instant::now();
        while !self.entries.values().all(&reached) {
            if start.elapsed() > limit {
                let missing = self.entries.iter().filter(|(_, entry)| !reached(entry));
                let names: Vec<_> = missing.map(|(name, _)| name.as_str()).collect();
                panic!("not within {limit:?}: {names:?}");
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        start.elapsed()
    }

    /// The newest revision in the key-value service, read without counting as a call.
    pub fn kv_revision(&self) -> u64 {
        let found = self.kv.peek(HEAD_KEY).entries;
        let head = found.first().map(|entry| serde_json::from_slice::<Head>(&entry.value).unwrap());
        head.map_or(0, |head| head.revision.0)
    }

    /// Writes a change to the key-value service without any entry having it, as if the entry that
    /// applied it crashed right after.
    pub async fn apply_and_crash(&self, text: &str) {
        let store = Store::new(Arc::new(self.kv.clone()));
        let mut replica = store.load().await.unwrap();
        let request = request(text, replica.revision());
        assert!(matches!(store.apply(&mut replica, &request).await, Ok(Applied::Accepted(_))));
    }

    pub async fn until_revision(&self, revision: u64, limit: Duration) -> Duration {
        self.until(limit, |entry| entry.node.revision() >= ConfigRevision(revision)).await
    }
}

/// Polls a future only while the entry is not paused.
async fn pausable<F>(network: Network, address: SocketAddr, future: F)
where
    F: Future<Output = ()>,
{
    let mut future = pin!(future);
    loop {
        network.wait_while_paused(address).await;
        let mut paused = network.paused.subscribe();
        let pause = paused.wait_for(|all| all.contains(&address));
        let mut pause = pin!(pause);
        let ended = std::future::poll_fn(|context| {
            if pause.as_mut().poll(context).is_ready() {
                return Poll::Ready(false);
            }
            future.as_mut().poll(context).map(|()| true)
        });
        if ended.await {
            return;
        }
    }
}

pub fn record(number: usize, centres: usize) -> MemberRecord {
    let address =
        |port| SocketAddr::from(([127, 0, (number / 250) as u8, (number % 250) as u8], port));
    MemberRecord {
        name: format!("entry-{number}"),
        vm: format!("vm-{number}"),
        data_centre: format!("dc-{}", number % centres),
        region: "region".to_owned(),
        inner: address(1),
        callers: address(2),
        operators: address(3),
        incarnation: Incarnation(1 + number as u64),
        version: 1,
        state: MemberState::Live,
    }
}
