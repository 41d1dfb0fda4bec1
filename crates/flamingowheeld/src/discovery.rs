//! Discovers agents through the VM list and selects those that this entry links to.
//!
//! In a small fleet every entry reads the list in every interval and links to every agent. In a
//! larger one the entries read it in rotation by a shared clock, so that there is one read an
//! interval in all. The entry whose turn it is probes VMs that are not in the directory, publishes
//! what it finds through the directory, and notifies agents whose VM is leaving.

use flamingowheel_backing::vm::{Vm, VmList, VmState};
use flamingowheel_control::node::Node;
use flamingowheel_entry::addresses::{AddressBook, MAX_LINKS};
use flamingowheel_entry::agents::{AgentVm, Agents};
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::load::MAX_SERVERS;
use flamingowheel_protocol::message::{EntryMessage, Role, Serves};
use flamingowheel_protocol::peer::{AgentRecord, MemberState};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Most VMs probed in one turn. At 64 a second a fleet of 7,300 VMs that starts at once is found
/// within two minutes.
const MAX_PROBES: usize = 64;

/// How long a new entry waits to discover the other entries before it links to many agents.
const STARTUP_GRACE: Duration = Duration::from_secs(10);

/// Longest time to connect to the agent of a leaving VM.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Discovers agents and maintains the set of links to them.
pub struct Discovery {
    /// The platform's list of VMs.
    pub vm_list: Arc<dyn VmList>,
    /// The links; receives the set of agents to link to.
    pub agents: Arc<Agents>,
    /// Source of the agent directory and of the other entries.
    pub node: Node,
    /// Returns the current address book, which holds the cells.
    pub address_book: Arc<dyn Fn() -> Arc<AddressBook> + Send + Sync>,
    /// Wall clock in milliseconds; entries' clocks may differ slightly.
    pub fleet_clock_ms: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// The port on which every process of the fleet listens for other processes.
    pub inner_port: u16,
    /// This entry's IP, which is left out as it is not an agent's.
    pub own_ip: IpAddr,
    /// Time between two reads of the VM list: by each entry in a small fleet, by all entries
    /// together in a larger one.
    pub read_interval: Duration,
}

impl Discovery {
    /// Runs discovery; never returns. While the list can't be read, the last set of agents stays in
    /// use: a VM that is gone is detected by its connection.
    pub async fn run(self) {
        let mut tick = tokio::time::interval(self.read_interval);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let started = Instant::now();
        let mut targets = LinkTargets::default();
        loop {
            tick.tick().await;
            self.record_connected();
            let book = (self.address_book)();
            let is_small = book.uses_all_entries();
            self.node.set_vm_list_rotation(!is_small);
            let read = if is_small || self.is_own_turn() { self.read_list().await } else { None };
            if let (Some(vms), true) = (&read, is_small) {
                targets.listed = self.agent_vms(vms);
                targets.computed_from = None;
            }
            self.update_links(&mut targets, &book, is_small);
            // A new entry of a large fleet has not discovered the other entries yet and would link
            // to every agent.
            let is_new = started.elapsed() < STARTUP_GRACE && targets.vms.len() > MAX_LINKS;
            if !targets.vms.is_empty() && !is_new {
                self.agents.set_vms(&targets.vms);
            }
            if let Some(vms) = read {
                if !is_small {
                    self.node.apply_vm_list(&vms);
                }
                self.probe_changed(&vms, is_small).await;
            }
        }
    }

    async fn read_list(&self) -> Option<Vec<Vm>> {
        match self.vm_list.list().await {
            // An empty list must be wrong, as it lacks this entry's own VM. Applying it would drop
            // the links to all backend servers.
            Ok(vms) if vms.is_empty() => tracing::warn!("empty VM list not taken"),
            Ok(vms) => return Some(vms),
            Err(error) => tracing::warn!(%error, "VM list not read"),
        }
        None
    }

    /// Recomputes the targets if the inputs have changed.
    fn update_links(&self, targets: &mut LinkTargets, book: &Arc<AddressBook>, is_small: bool) {
        let pinned = self.agents.pinned_groups();
        let version = self.node.table_version();
        let is_same = |(computed_version, computed_book, groups): &(
            u64,
            Arc<AddressBook>,
            BTreeSet<String>,
        )| {
            *computed_version == version && Arc::ptr_eq(computed_book, book) && *groups == pinned
        };
        if targets.computed_from.as_ref().is_some_and(is_same) {
            return;
        }
        let directory = self.node.agents();
        self.agents.set_directory(&directory);
        match book.servers_of(&self.node.own_record().name) {
            // A leaving entry belongs to no cell but still serves callers: it keeps its links.
            Some(servers) if servers.is_empty() => {}
            Some(servers) if !is_small => {
                targets.vms = agents_of_cells(&directory, &servers, &pinned)
            }
            _ => targets.vms = self.all_agents(&directory, &targets.listed),
        }
        targets.computed_from = Some((version, Arc::clone(book), pinned));
    }

    /// Records the hello of every connected agent in the directory. This detects restarts and
    /// corrects wrong records.
    fn record_connected(&self) {
        for (agent, connected) in self.agents.connected() {
            self.node.record_agent(agent.address(), &connected.hello);
        }
    }

    /// Whether this entry reads the list in this interval.
    fn is_own_turn(&self) -> bool {
        let members = self.node.members();
        let live = members.iter().filter(|member| member.state == MemberState::Live);
        let names: Vec<&str> = live.map(|member| member.record.name.as_str()).collect();
        let interval_ms = (self.read_interval.as_millis() as u64).max(1);
        is_turn(&names, &self.node.own_record().name, (self.fleet_clock_ms)() / interval_ms)
    }

    /// Probes VMs that are in the list but not in the directory, and the reverse, and notifies
    /// agents whose VM is leaving.
    async fn probe_changed(&self, vms: &[Vm], is_small: bool) {
        let directory = self.node.agents();
        let by_address: HashMap<SocketAddr, &AgentRecord> =
            directory.iter().map(|agent| (agent.address, &**agent)).collect();
        let listed: HashSet<SocketAddr> = vms.iter().map(|vm| self.address(vm)).collect();
        let vanished = directory.iter().filter(|agent| !listed.contains(&agent.address));
        let mut probes: Vec<SocketAddr> = vanished.map(|agent| agent.address).collect();
        probes.truncate(MAX_PROBES / 2);
        let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
        let leaving = leaving.filter_map(|vm| by_address.get(&self.address(vm)));
        let notices: FuturesUnordered<_> = leaving.map(|agent| self.notify(agent)).collect();
        if !is_small {
            let entries: HashSet<SocketAddr> =
                self.node.members().into_iter().map(|member| member.record.inner).collect();
            let is_known = |address: &SocketAddr| {
                by_address.contains_key(address)
                    || entries.contains(address)
                    || address.ip() == self.own_ip
            };
            let mut unknown: Vec<_> = listed.into_iter().filter(|a| !is_known(a)).collect();
            // In random order, so that VMs that don't answer can't keep the others from being
            // probed.
            unknown.sort_by_cached_key(|_| rand::random::<u32>());
            probes.extend(unknown.into_iter().take(MAX_PROBES - probes.len()));
        }
        let probes: FuturesUnordered<_> =
            probes.into_iter().map(|address| self.probe(address, &by_address)).collect();
        tokio::join!(notices.collect::<()>(), probes.collect::<()>());
    }

    async fn probe(&self, address: SocketAddr, by_address: &HashMap<SocketAddr, &AgentRecord>) {
        match self.agents.fetch_hello(address).await {
            Some(hello) if matches!(hello.role, Role::Agent(_)) => {
                self.node.record_agent(address, &hello);
            }
            Some(_) => {}
            // Its VM is not listed, and it can't be reached either.
            None => {
                if let Some(agent) = by_address.get(&address) {
                    self.node.downgrade_agent(&agent.name, MemberState::Gone);
                }
            }
        }
    }

    /// Notifies an agent that its VM is leaving. Entries with a link to it repeat the notice when
    /// the directory shows that it is leaving.
    async fn notify(&self, agent: &AgentRecord) {
        if agent.state == MemberState::Leaving {
            return;
        }
        let link = self.agents.link_to(agent.address);
        let connecting = link.connected_after(0);
        let Ok(Some(connected)) = tokio::time::timeout(NOTICE_TIMEOUT, connecting).await else {
            return;
        };
        if connected.sender.send(EntryMessage::VmLeaving).await.is_ok() {
            self.node.downgrade_agent(&agent.name, MemberState::Leaving);
        }
    }

    /// Every listed VM, and agents of the directory that the list lacks by mistake.
    fn all_agents(&self, directory: &[Arc<AgentRecord>], listed: &[AgentVm]) -> Vec<AgentVm> {
        let listed_addresses: HashSet<SocketAddr> = listed.iter().map(|vm| vm.address).collect();
        let unlisted = directory.iter().filter(|agent| !listed_addresses.contains(&agent.address));
        let unlisted = unlisted.map(|agent| agent_vm(agent));
        listed.iter().copied().chain(unlisted).take(MAX_SERVERS).collect()
    }

    fn agent_vms(&self, vms: &[Vm]) -> Vec<AgentVm> {
        let others = vms.iter().filter(|vm| vm.ip != self.own_ip);
        others
            .map(|vm| AgentVm { address: self.address(vm), leaving: vm.state == VmState::Leaving })
            .collect()
    }

    fn address(&self, vm: &Vm) -> SocketAddr {
        SocketAddr::new(vm.ip, self.inner_port)
    }
}

/// The VMs to connect to and the inputs that the set was computed from.
#[derive(Default)]
struct LinkTargets {
    /// The VMs of the last list read; used in a small fleet only.
    listed: Vec<AgentVm>,
    vms: Vec<AgentVm>,
    /// Version of the table, the address book and the groups.
    computed_from: Option<(u64, Arc<AddressBook>, BTreeSet<String>)>,
}

/// The agents of the servers in this entry's cells, and all ranks of the groups that it
/// coordinates.
fn agents_of_cells(
    directory: &[Arc<AgentRecord>],
    servers: &BTreeSet<ServerKey>,
    pinned: &BTreeSet<String>,
) -> Vec<AgentVm> {
    let is_target = |agent: &&Arc<AgentRecord>| {
        servers.contains(&ServerKey::from_name(&agent.name))
            || group_name(agent).is_some_and(|group| pinned.contains(group))
    };
    directory.iter().filter(is_target).map(|agent| agent_vm(agent)).collect()
}

fn agent_vm(agent: &AgentRecord) -> AgentVm {
    AgentVm { address: agent.address, leaving: agent.state == MemberState::Leaving }
}

fn group_name(agent: &AgentRecord) -> Option<&str> {
    match &agent.serves {
        Serves::Model { group, .. } => Some(group),
        Serves::Service { .. } => None,
    }
}

/// Whether it is an entry's turn to read the list. Where the entries' views of the members differ,
/// a turn may be skipped or taken twice.
fn is_turn(live: &[&str], own_name: &str, turn: u64) -> bool {
    let mut order = live.to_vec();
    order.sort_unstable();
    let count = order.len().max(1) as u64;
    order
        .iter()
        .position(|name| *name == own_name)
        .is_some_and(|place| place as u64 == turn % count)
}
