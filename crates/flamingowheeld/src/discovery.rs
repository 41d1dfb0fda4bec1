//! Finds agents through the VM list, and says which of them this entry keeps a link to.
//!
//! A small fleet's entries read the list each for itself and link to every agent. In a larger one
//! they read it in turn, by the fleet's clock: one read each interval in all. Whoever reads looks
//! at VMs that nobody knows, tells the others what it finds through the directory, and tells
//! agents whose VM is leaving.

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

/// VMs looked at in one turn at the most. At 64 a second a fleet of 7,300 that starts at once is
/// found within two minutes.
const MAX_LOOKS: usize = 64;

/// How long a new entry has to meet the others.
const MEETING_TIME: Duration = Duration::from_secs(10);

/// How long the agent of a leaving VM may take to be reached.
const NOTICE_LIMIT: Duration = Duration::from_millis(1_500);

/// Where agents are found.
pub struct Discovery {
    /// The platform's list.
    pub list: Arc<dyn VmList>,
    /// Told which agents need a link.
    pub agents: Arc<Agents>,
    /// The directory of agents, and the other entries.
    pub node: Node,
    /// The cells, as of now.
    pub book: Arc<dyn Fn() -> Arc<AddressBook> + Send + Sync>,
    /// Milliseconds on a clock that the fleet's entries share but for a small error.
    pub clock: Arc<dyn Fn() -> u64 + Send + Sync>,
    /// The port on which every process of the fleet listens for the others.
    pub inner_port: u16,
    /// This process's own address, which is no agent's.
    pub own: IpAddr,
    /// Time between two reads.
    pub interval: Duration,
}

impl Discovery {
    /// Runs for ever. While the list can't be read, what is known stays: a VM that is gone is
    /// noticed by its connection.
    pub async fn run(self) {
        let mut tick = tokio::time::interval(self.interval);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let started = Instant::now();
        let mut wanted = Wanted::default();
        loop {
            tick.tick().await;
            self.note_connected();
            let book = (self.book)();
            let is_small = book.uses_all_entries();
            self.node.set_vm_list_rotation(!is_small);
            let read = if is_small || self.is_own_turn() { self.read().await } else { None };
            if let (Some(vms), true) = (&read, is_small) {
                wanted.listed = self.agent_vms(vms);
                wanted.as_of = None;
            }
            self.refresh(&mut wanted, &book, is_small);
            // A new entry of a large fleet knows nobody yet, and must not link to all for that.
            let is_new = started.elapsed() < MEETING_TIME && wanted.vms.len() > MAX_LINKS;
            if !wanted.vms.is_empty() && !is_new {
                self.agents.set_vms(&wanted.vms);
            }
            if let Some(vms) = read {
                if !is_small {
                    self.node.apply_vm_list(&vms);
                }
                self.look(&vms, is_small).await;
            }
        }
    }

    async fn read(&self) -> Option<Vec<Vm>> {
        match self.list.list().await {
            // This VM is listed too, so an empty list is a fault of the list. Taking it at its
            // word would leave all callers without a backend server.
            Ok(vms) if vms.is_empty() => tracing::warn!("empty VM list not taken"),
            Ok(vms) => return Some(vms),
            Err(error) => tracing::warn!(%error, "VM list not read"),
        }
        None
    }

    /// Works out anew which links are wanted, if anything changed.
    fn refresh(&self, wanted: &mut Wanted, book: &Arc<AddressBook>, is_small: bool) {
        let pinned = self.agents.pinned_groups();
        let version = self.node.table_version();
        let is_same = |(known, built, groups): &(u64, Arc<AddressBook>, BTreeSet<String>)| {
            *known == version && Arc::ptr_eq(built, book) && *groups == pinned
        };
        if wanted.as_of.as_ref().is_some_and(is_same) {
            return;
        }
        let directory = self.node.agents();
        self.agents.set_directory(&directory);
        match book.servers_of(&self.node.own_record().name) {
            // A leaving entry stands before no cell, and callers still come: it keeps its links.
            Some(servers) if servers.is_empty() => {}
            Some(servers) if !is_small => wanted.vms = of_cells(&directory, &servers, &pinned),
            _ => wanted.vms = self.all(&directory, &wanted.listed),
        }
        wanted.as_of = Some((version, Arc::clone(book), pinned));
    }

    /// Processes that a link reached write their own record: that is how a restart is noticed,
    /// and how a record that went wrong is set right.
    fn note_connected(&self) {
        for (agent, connected) in self.agents.connected() {
            self.node.record_agent(agent.address(), &connected.hello);
        }
    }

    /// Whether this entry reads the list in this interval.
    fn is_own_turn(&self) -> bool {
        let members = self.node.members();
        let live = members.iter().filter(|member| member.state == MemberState::Live);
        let names: Vec<&str> = live.map(|member| member.record.name.as_str()).collect();
        let interval_ms = (self.interval.as_millis() as u64).max(1);
        is_turn(&names, &self.node.own_record().name, (self.clock)() / interval_ms)
    }

    /// Looks at what the list shows and the directory does not, and tells those that must leave.
    async fn look(&self, vms: &[Vm], is_small: bool) {
        let directory = self.node.agents();
        let by_address: HashMap<SocketAddr, &AgentRecord> =
            directory.iter().map(|agent| (agent.address, &**agent)).collect();
        let listed: HashSet<SocketAddr> = vms.iter().map(|vm| self.address(vm)).collect();
        let vanished = directory.iter().filter(|agent| !listed.contains(&agent.address));
        let mut looks: Vec<SocketAddr> = vanished.map(|agent| agent.address).collect();
        looks.truncate(MAX_LOOKS / 2);
        let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
        let leaving = leaving.filter_map(|vm| by_address.get(&self.address(vm)));
        let notices: FuturesUnordered<_> = leaving.map(|agent| self.notify(agent)).collect();
        if !is_small {
            let entries: HashSet<SocketAddr> =
                self.node.members().into_iter().map(|member| member.record.inner).collect();
            let known = |address: &SocketAddr| {
                by_address.contains_key(address)
                    || entries.contains(address)
                    || address.ip() == self.own
            };
            let mut unknown: Vec<_> = listed.into_iter().filter(|a| !known(a)).collect();
            // Not the same ones each time: VMs that don't answer must not hide the others.
            unknown.sort_by_cached_key(|_| rand::random::<u32>());
            looks.extend(unknown.into_iter().take(MAX_LOOKS - looks.len()));
        }
        let looks: FuturesUnordered<_> =
            looks.into_iter().map(|address| self.look_at(address, &by_address)).collect();
        tokio::join!(notices.collect::<()>(), looks.collect::<()>());
    }

    async fn look_at(&self, address: SocketAddr, known: &HashMap<SocketAddr, &AgentRecord>) {
        match self.agents.fetch_hello(address).await {
            Some(hello) if matches!(hello.role, Role::Agent(_)) => {
                self.node.record_agent(address, &hello);
            }
            Some(_) => {}
            // On no listed VM, and not reached either.
            None => {
                if let Some(agent) = known.get(&address) {
                    self.node.downgrade_agent(&agent.name, MemberState::Gone);
                }
            }
        }
    }

    /// Tells an agent that its VM is leaving. Entries that have a link to it say it again when
    /// the directory tells them.
    async fn notify(&self, agent: &AgentRecord) {
        if agent.state == MemberState::Leaving {
            return;
        }
        let reached = self.agents.link_to(agent.address);
        let connecting = reached.connected_after(0);
        let Ok(Some(connected)) = tokio::time::timeout(NOTICE_LIMIT, connecting).await else {
            return;
        };
        if connected.sender.send(EntryMessage::VmLeaving).await.is_ok() {
            self.node.downgrade_agent(&agent.name, MemberState::Leaving);
        }
    }

    /// Every VM of the list, and agents that the list leaves out by mistake.
    fn all(&self, directory: &[Arc<AgentRecord>], listed: &[AgentVm]) -> Vec<AgentVm> {
        let known: HashSet<SocketAddr> = listed.iter().map(|vm| vm.address).collect();
        let unlisted = directory.iter().filter(|agent| !known.contains(&agent.address));
        let unlisted = unlisted.map(|agent| agent_vm(agent));
        listed.iter().copied().chain(unlisted).take(MAX_SERVERS).collect()
    }

    fn agent_vms(&self, vms: &[Vm]) -> Vec<AgentVm> {
        let others = vms.iter().filter(|vm| vm.ip != self.own);
        others
            .map(|vm| AgentVm { address: self.address(vm), leaving: vm.state == VmState::Leaving })
            .collect()
    }

    fn address(&self, vm: &Vm) -> SocketAddr {
        SocketAddr::new(vm.ip, self.inner_port)
    }
}

/// The links that are wanted, and what that was worked out from.
#[derive(Default)]
struct Wanted {
    listed: Vec<AgentVm>,
    vms: Vec<AgentVm>,
    /// Version of the table, the address book and the groups.
    as_of: Option<(u64, Arc<AddressBook>, BTreeSet<String>)>,
}

/// The agents of these cells, and all ranks of the groups that this entry coordinates.
fn of_cells(
    directory: &[Arc<AgentRecord>],
    servers: &BTreeSet<ServerKey>,
    pinned: &BTreeSet<String>,
) -> Vec<AgentVm> {
    let is_wanted = |agent: &&Arc<AgentRecord>| {
        servers.contains(&ServerKey::from_name(&agent.name))
            || group(agent).is_some_and(|group| pinned.contains(group))
    };
    directory.iter().filter(is_wanted).map(|agent| agent_vm(agent)).collect()
}

fn agent_vm(agent: &AgentRecord) -> AgentVm {
    AgentVm { address: agent.address, leaving: agent.state == MemberState::Leaving }
}

fn group(agent: &AgentRecord) -> Option<&str> {
    match &agent.serves {
        Serves::Model { group, .. } => Some(group),
        Serves::Service { .. } => None,
    }
}

/// Whether it is an entry's turn to read the list. Entries whose views differ leave a turn out or
/// take it twice.
fn is_turn(live: &[&str], own: &str, turn: u64) -> bool {
    let mut order = live.to_vec();
    order.sort_unstable();
    let count = order.len().max(1) as u64;
    order.iter().position(|name| *name == own).is_some_and(|place| place as u64 == turn % count)
}
