//! The links from this entry to agents: those of its cells, and others for as long as they are used.
//!
//! A link to an agent that leaves the cells gets no new work from then on, but is closed only after
//! it has been unused for [`IDLE_LIMIT`], so that a change of cells interrupts nothing.

use crate::agents::{Agent, Connected, LinkPurpose, Target};
use crate::connector::Connector;
use crate::router::{AgentDirectory, Router};
use crate::supervisor::{Supervisor, update_routing};
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

/// How long a link outside the entry's cells stays open after its last use. It exceeds the time from
/// choosing an agent to registering for its answer.
pub const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// On-demand links opened per request that no cell of this entry can serve.
const ON_DEMAND_LINKS_STEP: usize = 16;

/// Most on-demand links for one model or service; the maximum size of a cell.
const MAX_ON_DEMAND_LINKS: usize = 96;

/// The agents that this entry has links to, and the directory of all agents.
pub struct Agents {
    shared: Arc<Shared>,
}

struct Shared {
    runtime: Handle,
    connector: Arc<dyn Connector>,
    router: Arc<Router>,
    recorder: Recorder,
    /// Makes entries choose different agents for on-demand links.
    seed: u64,
    links: Mutex<HashMap<SocketAddr, (Arc<Agent>, CancellationToken)>>,
    directory: Mutex<Directory>,
    pinned_groups: Mutex<BTreeSet<String>>,
}

/// All agents of the fleet, by name and by what they serve.
#[derive(Default)]
struct Directory {
    agents: HashMap<ServerKey, Arc<AgentRecord>>,
    by_target: HashMap<Target, Vec<ServerKey>>,
}

impl Agents {
    /// Starts without links. Connections run on the runtime from which this is called.
    pub fn new(connector: Arc<dyn Connector>, router: Arc<Router>, recorder: Recorder) -> Self {
        let shared = Arc::new_cyclic(|own: &Weak<Shared>| {
            router.set_directory(Weak::clone(own) as Weak<dyn AgentDirectory>);
            Shared {
                runtime: Handle::current(),
                connector,
                router,
                recorder,
                seed: rand::random(),
                links: Mutex::default(),
                directory: Mutex::default(),
                pinned_groups: Mutex::default(),
            }
        });
        Self { shared }
    }

    /// Keeps links to the agents of exactly these VMs from now on, besides links in use.
    pub fn set_vms(&self, vms: &[AgentVm]) {
        let mut links = self.shared.links();
        let cell_addresses: HashSet<SocketAddr> = vms.iter().map(|vm| vm.address).collect();
        for vm in vms {
            let (agent, _) =
                links.entry(vm.address).or_insert_with(|| self.shared.start(vm.address));
            agent.set_purpose(LinkPurpose::Cell);
            update_routing(&self.shared.router, agent);
            if vm.leaving {
                // Entries see the change of the VM list at different times; the agent's heartbeats
                // announce it to all of them at once.
                agent.send(EntryMessage::VmLeaving);
            }
        }
        let served = served_by_cells(&links);
        for (agent, _) in
            links.values().filter(|(agent, _)| !cell_addresses.contains(&agent.address()))
        {
            self.shared.demote(agent, &served);
        }
        links.retain(|address, (agent, stop)| {
            let keep = cell_addresses.contains(address)
                || agent.purpose() == LinkPurpose::OnDemand
                || agent.idle_for() < IDLE_LIMIT;
            if !keep {
                stop.cancel();
            }
            keep
        });
    }

    /// Replaces the directory of agents.
    pub fn set_directory(&self, agents: &[Arc<AgentRecord>]) {
        let mut directory = Directory::default();
        for record in agents {
            let server = ServerKey::from_name(&record.name);
            directory.agents.insert(server, Arc::clone(record));
            directory.by_target.entry(Target::from(&record.serves)).or_default().push(server);
        }
        *self.shared.directory() = directory;
    }

    /// Sets the groups whose ranks need a link even outside this entry's cells.
    pub fn pin_groups(&self, groups: BTreeSet<String>) {
        *self.shared.pinned_groups.lock().unwrap_or_else(PoisonError::into_inner) = groups;
    }

    /// The groups last set by [`Agents::pin_groups`].
    pub fn pinned_groups(&self) -> BTreeSet<String> {
        self.shared.pinned_groups.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The linked agents whose connection was lost and has not been replaced, with their last hello.
    pub fn disconnected(&self) -> Vec<(Arc<Agent>, Arc<Hello>)> {
        let links = self.shared.links();
        let agents = links.values().map(|(agent, _)| agent);
        let lost = agents.filter(|agent| agent.connected().is_none());
        lost.filter_map(|agent| Some((Arc::clone(agent), agent.last_hello()?))).collect()
    }

    /// The linked agents that have a connection, with that connection.
    pub fn connected(&self) -> Vec<(Arc<Agent>, Connected)> {
        let links = self.shared.links();
        let agents = links.values().map(|(agent, _)| agent);
        agents.filter_map(|agent| Some((Arc::clone(agent), agent.connected()?))).collect()
    }

    /// The agent at an address. Its link is opened if there is none, without waiting for it.
    pub fn link_to(&self, address: SocketAddr) -> Arc<Agent> {
        self.shared.link_to(address)
    }

    /// Connects to an address only to receive the hello of its process. `None` if it can't be reached.
    pub async fn fetch_hello(&self, address: SocketAddr) -> Option<Hello> {
        Some(self.shared.connector.connect(address).await.ok()?.peer)
    }
}

impl Shared {
    fn links(&self) -> MutexGuard<'_, HashMap<SocketAddr, (Arc<Agent>, CancellationToken)>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.runtime.spawn(supervisor.run());
        (agent, stop)
    }

    fn link_to(&self, address: SocketAddr) -> Arc<Agent> {
        let mut links = self.links();
        let (agent, _) = links.entry(address).or_insert_with(|| self.start(address));
        // Under the lock, so that `set_vms` can't close the link as idle in between.
        agent.touch();
        Arc::clone(agent)
    }

    /// Stops routing new work to an agent outside the cells. An on-demand link is still used while it
    /// is active and no cell of this entry serves the same target.
    fn demote(&self, agent: &Arc<Agent>, served: &HashSet<Target>) {
        let is_served = || {
            let connected = agent.connected();
            connected.is_some_and(|c| served.contains(&Target::from(&c.profile.serves)))
        };
        if agent.purpose() == LinkPurpose::OnDemand && agent.idle_for() < IDLE_LIMIT && !is_served()
        {
            return;
        }
        if agent.purpose() != LinkPurpose::Direct {
            // Keeps the link open long enough to send a request that has just been routed to it.
            agent.touch();
            agent.set_purpose(LinkPurpose::Direct);
        }
        update_routing(&self.router, agent);
    }
}

impl AgentDirectory for Shared {
    fn is_ready(&self) -> bool {
        !self.directory().agents.is_empty()
    }

    fn agent(&self, server: ServerKey) -> Option<Arc<Agent>> {
        let address = self.directory().agents.get(&server)?.address;
        Some(self.link_to(address))
    }

    fn serving(&self, target: &Target) -> Vec<ServerKey> {
        let (directory, links) = (self.directory(), self.links());
        let is_lost = |server: &ServerKey| {
            let link = directory.agents.get(server).and_then(|agent| links.get(&agent.address));
            link.is_some_and(|(agent, _)| {
                agent.purpose() == LinkPurpose::Cell && agent.connected().is_none()
            })
        };
        let servers = directory.by_target.get(target).into_iter().flatten();
        servers.copied().filter(|server| !is_lost(server)).collect()
    }

    fn open_links(&self, target: &Target) -> Vec<Arc<Agent>> {
        let mut candidates = Vec::new();
        {
            let (directory, links) = (self.directory(), self.links());
            let servers = directory.by_target.get(target).map_or(&[][..], Vec::as_slice);
            let mut on_demand_count = 0;
            for server in servers {
                let Some(record) = directory.agents.get(server) else { continue };
                match links.get(&record.address).map(|(agent, _)| agent.purpose()) {
                    Some(LinkPurpose::Cell) => {}
                    Some(LinkPurpose::OnDemand) => on_demand_count += 1,
                    _ if record.state != MemberState::Live => {}
                    _ => candidates.push((
                        xxh3_64_with_seed(&server.0.to_le_bytes(), self.seed),
                        record.address,
                    )),
                }
            }
            candidates.sort_unstable();
            candidates.truncate(
                ON_DEMAND_LINKS_STEP.min(MAX_ON_DEMAND_LINKS.saturating_sub(on_demand_count)),
            );
        }
        let linked = candidates.into_iter().map(|(_, address)| {
            let agent = self.link_to(address);
            agent.set_purpose(LinkPurpose::OnDemand);
            update_routing(&self.router, &agent);
            agent
        });
        linked.collect()
    }
}

/// What the entry's cells serve; empty if there are no on-demand links, since it is needed only for
/// those.
fn served_by_cells(
    links: &HashMap<SocketAddr, (Arc<Agent>, CancellationToken)>,
) -> HashSet<Target> {
    let agents = || links.values().map(|(agent, _)| agent);
    if !agents().any(|agent| agent.purpose() == LinkPurpose::OnDemand) {
        return HashSet::new();
    }
    let accepting =
        agents().filter(|agent| agent.purpose() == LinkPurpose::Cell && !agent.is_leaving());
    let connected = accepting.filter_map(|agent| agent.connected());
    connected.map(|connected| Target::from(&connected.profile.serves)).collect()
}

/// A VM that may run an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentVm {
    /// The address at which its agent listens.
    pub address: SocketAddr,
    /// Whether the VM is leaving, according to the VM list.
    pub leaving: bool,
}
