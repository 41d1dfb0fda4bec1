//! Which agents this entry has a link to: those of its cells, and others for as long as they are
//! needed.
//!
//! A link that falls out of the cells takes no new work at once and is closed only when nothing
//! has used it for [`IDLE_LIMIT`], so that no change of cells cuts anything off.

use crate::agents::{Agent, Connected, Duty, Target};
use crate::connector::Connector;
use crate::router::{Reach, Router};
use crate::supervisor::{Supervisor, place};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_protocol::message::{EntryMessage, Hello};
use flamingowheel_protocol::peer::{AgentRecord, MemberState};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a link that is not of the entry's cells outlives its last use. Longer than any step
/// between choosing an agent and listening for its answer.
pub const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Agents that are linked at one time for requests that no cell of this entry can serve.
const GUESTS_STEP: usize = 16;

/// Such agents for one model or service at the most; as many as a cell may hold.
const MAX_GUESTS: usize = 96;

/// All agents that this entry is linked to, and the directory of those it may link to.
pub struct Agents {
    shared: Arc<Shared>,
}

struct Shared {
    traffic: Handle,
    connector: Arc<dyn Connector>,
    router: Arc<Router>,
    recorder: Recorder,
    /// Makes entries that need guests choose different ones.
    seed: u64,
    known: Mutex<HashMap<SocketAddr, (Arc<Agent>, CancellationToken)>>,
    listed: Mutex<Listed>,
    pinned: Mutex<BTreeSet<String>>,
}

/// The directory of agents, by name and by what they serve.
#[derive(Default)]
struct Listed {
    agents: HashMap<ServerKey, Arc<AgentRecord>>,
    by_target: HashMap<Target, Vec<ServerKey>>,
}

impl Agents {
    /// No agents yet. Connections are served on the runtime that this is called on.
    pub fn new(connector: Arc<dyn Connector>, router: Arc<Router>, recorder: Recorder) -> Self {
        let shared = Arc::new_cyclic(|own: &Weak<Shared>| {
            router.set_reach(Weak::clone(own) as Weak<dyn Reach>);
            Shared {
                traffic: Handle::current(),
                connector,
                router,
                recorder,
                seed: rand::random(),
                known: Mutex::default(),
                listed: Mutex::default(),
                pinned: Mutex::default(),
            }
        });
        Self { shared }
    }

    /// Keeps links to exactly the agents of these VMs from now on, besides those in use.
    pub fn set_vms(&self, vms: &[AgentVm]) {
        let mut known = self.shared.known();
        let wanted: HashSet<SocketAddr> = vms.iter().map(|vm| vm.address).collect();
        for vm in vms {
            let (agent, _) =
                known.entry(vm.address).or_insert_with(|| self.shared.start(vm.address));
            agent.set_duty(Duty::Cell);
            place(&self.shared.router, agent);
            if vm.leaving {
                // The list lags differently at each entry; the agent tells all of them at once.
                agent.send(EntryMessage::VmLeaving);
            }
        }
        let served = served_by_cells(&known);
        for (agent, _) in known.values().filter(|(agent, _)| !wanted.contains(&agent.address())) {
            self.shared.demote(agent, &served);
        }
        known.retain(|address, (agent, stop)| {
            let keep = wanted.contains(address)
                || agent.duty() == Duty::Guest
                || agent.idle_for() < IDLE_LIMIT;
            if !keep {
                stop.cancel();
            }
            keep
        });
    }

    /// Takes the directory of agents.
    pub fn set_directory(&self, agents: &[Arc<AgentRecord>]) {
        let mut listed = Listed::default();
        for record in agents {
            let server = ServerKey::from_name(&record.name);
            listed.agents.insert(server, Arc::clone(record));
            listed.by_target.entry(Target::from(&record.serves)).or_default().push(server);
        }
        *self.shared.listed() = listed;
    }

    /// The groups whose ranks need a link wherever their cells are.
    pub fn pin_groups(&self, groups: BTreeSet<String>) {
        *self.shared.pinned.lock().unwrap_or_else(PoisonError::into_inner) = groups;
    }

    /// The groups that were pinned last.
    pub fn pinned_groups(&self) -> BTreeSet<String> {
        self.shared.pinned.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The agents that were connected, are still wanted, and can't be reached.
    pub fn disconnected(&self) -> Vec<(Arc<Agent>, Arc<Hello>)> {
        let known = self.shared.known();
        let agents = known.values().map(|(agent, _)| agent);
        let lost = agents.filter(|agent| agent.connected().is_none());
        lost.filter_map(|agent| Some((Arc::clone(agent), agent.last()?))).collect()
    }

    /// All agents that are connected.
    pub fn connected(&self) -> Vec<(Arc<Agent>, Connected)> {
        let known = self.shared.known();
        let agents = known.values().map(|(agent, _)| agent);
        agents.filter_map(|agent| Some((Arc::clone(agent), agent.connected()?))).collect()
    }

    /// The agent at an address, over a link that is opened if there is none.
    pub fn link_to(&self, address: SocketAddr) -> Arc<Agent> {
        self.shared.call(address)
    }

    /// Asks who is at an address, over a connection that is closed again.
    pub async fn fetch_hello(&self, address: SocketAddr) -> Option<Hello> {
        Some(self.shared.connector.connect(address).await.ok()?.peer)
    }
}

impl Shared {
    fn known(&self) -> MutexGuard<'_, HashMap<SocketAddr, (Arc<Agent>, CancellationToken)>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listed(&self) -> MutexGuard<'_, Listed> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(&self, address: SocketAddr) -> (Arc<Agent>, CancellationToken) {
        let (agent, stop) = (Arc::new(Agent::new(address)), CancellationToken::new());
        let supervisor = Supervisor {
            agent: Arc::clone(&agent),
            connector: Arc::clone(&self.connector),
            router: Arc::clone(&self.router),
            recorder: self.recorder.clone(),
            stop: stop.clone(),
        };
        self.traffic.spawn(supervisor.run());
        (agent, stop)
    }

    fn call(&self, address: SocketAddr) -> Arc<Agent> {
        let mut known = self.known();
        let (agent, _) = known.entry(address).or_insert_with(|| self.start(address));
        // Under the lock, so that the link isn't closed for idleness meanwhile.
        agent.touch();
        Arc::clone(agent)
    }

    /// Takes new work from an agent outside the cells. A guest keeps its work while there is any
    /// and no cell of this entry serves the same.
    fn demote(&self, agent: &Arc<Agent>, served: &HashSet<Target>) {
        let is_served = || {
            let connected = agent.connected();
            connected.is_some_and(|c| served.contains(&Target::from(&c.profile.serves)))
        };
        if agent.duty() == Duty::Guest && agent.idle_for() < IDLE_LIMIT && !is_served() {
            return;
        }
        if agent.duty() != Duty::Called {
            // A request that was routed to it a moment ago still has the full time to begin.
            agent.touch();
            agent.set_duty(Duty::Called);
        }
        place(&self.router, agent);
    }
}

impl Reach for Shared {
    fn is_ready(&self) -> bool {
        !self.listed().agents.is_empty()
    }

    fn agent(&self, server: ServerKey) -> Option<Arc<Agent>> {
        let address = self.listed().agents.get(&server)?.address;
        Some(self.call(address))
    }

    fn serving(&self, target: &Target) -> Vec<ServerKey> {
        let (listed, known) = (self.listed(), self.known());
        let is_lost = |server: &ServerKey| {
            let agent = listed.agents.get(server).and_then(|agent| known.get(&agent.address));
            agent
                .is_some_and(|(agent, _)| agent.duty() == Duty::Cell && agent.connected().is_none())
        };
        let servers = listed.by_target.get(target).into_iter().flatten();
        servers.copied().filter(|server| !is_lost(server)).collect()
    }

    fn invite(&self, target: &Target) -> Vec<Arc<Agent>> {
        let mut outside = Vec::new();
        {
            let (listed, known) = (self.listed(), self.known());
            let servers = listed.by_target.get(target).map_or(&[][..], Vec::as_slice);
            let mut guests = 0;
            for server in servers {
                let Some(record) = listed.agents.get(server) else { continue };
                match known.get(&record.address).map(|(agent, _)| agent.duty()) {
                    Some(Duty::Cell) => {}
                    Some(Duty::Guest) => guests += 1,
                    _ if record.state != MemberState::Live => {}
                    _ => outside.push((
                        xxh3_64_with_seed(&server.0.to_le_bytes(), self.seed),
                        record.address,
                    )),
                }
            }
            outside.sort_unstable();
            outside.truncate(GUESTS_STEP.min(MAX_GUESTS.saturating_sub(guests)));
        }
        let invited = outside.into_iter().map(|(_, address)| {
            let agent = self.call(address);
            agent.set_duty(Duty::Guest);
            place(&self.router, &agent);
            agent
        });
        invited.collect()
    }
}

/// What the entry's cells serve; nothing if there are no guests, for whom alone it is needed.
fn served_by_cells(
    known: &HashMap<SocketAddr, (Arc<Agent>, CancellationToken)>,
) -> HashSet<Target> {
    let agents = || known.values().map(|(agent, _)| agent);
    if !agents().any(|agent| agent.duty() == Duty::Guest) {
        return HashSet::new();
    }
    let open = agents().filter(|agent| agent.duty() == Duty::Cell && !agent.is_leaving());
    let connected = open.filter_map(|agent| agent.connected());
    connected.map(|connected| Target::from(&connected.profile.serves)).collect()
}

/// A VM that may run an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentVm {
    /// Where its agent would be reached.
    pub address: SocketAddr,
    /// The VM list says that it is leaving.
    pub leaving: bool,
}
