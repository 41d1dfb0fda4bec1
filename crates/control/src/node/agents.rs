//! The directory of agents as a node keeps it.

use super::Node;
use crate::directory::precedence;
use flamingowheel_backing::vm::{Vm, VmState};
use flamingowheel_protocol::message::Hello;
use flamingowheel_protocol::peer::{AgentRecord, Heartbeat, HeartbeatAnswer, MemberState};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

impl Node {
    /// The same for a peer that is met once in a while: by digests, since what changed in between
    /// may be most of the directory.
    pub(crate) fn comparing_heartbeat(&self, peer: &str) -> Heartbeat {
        let mut heartbeat = self.heartbeat(Some(peer), Duration::ZERO);
        heartbeat.updates.agents.clear();
        heartbeat.agent_digests = self.state().table.directory().digests().to_vec();
        heartbeat
    }

    /// What a peer lacks of the directory by its answer to digests.
    pub(crate) fn agents_lacking(&self, answer: &HeartbeatAnswer) -> Vec<AgentRecord> {
        if answer.agent_parts.is_empty() {
            return Vec::new();
        }
        let theirs: HashMap<&str, &AgentRecord> =
            answer.updates.agents.iter().map(|record| (record.name.as_str(), record)).collect();
        let own = self.state().table.directory().records_in_parts(&answer.agent_parts);
        let lacks = |record: &AgentRecord| {
            let known = theirs.get(record.name.as_str());
            known.is_none_or(|known| precedence(known) < precedence(record))
        };
        own.into_iter().filter(lacks).collect()
    }

    /// Every agent known of that is not gone.
    pub fn agents(&self) -> Vec<Arc<AgentRecord>> {
        self.state().table.directory().agents().cloned().collect()
    }

    /// An agent process introduced itself at this address.
    pub fn record_agent(&self, address: SocketAddr, hello: &Hello) {
        self.change_table(|table| {
            table.record_agent(address, hello, Instant::now());
            Vec::new()
        });
    }

    /// Notes that an agent is leaving or gone.
    pub fn downgrade_agent(&self, name: &str, state: MemberState) {
        self.change_table(|table| {
            table.downgrade_agent(name, state, Instant::now());
            Vec::new()
        });
    }

    /// Says whether all entries read the VM list in turn; then the two that read it for the whole
    /// fleet do so rarely.
    pub fn set_vm_list_rotation(&self, in_turn: bool) {
        self.shared.list_in_turn.store(in_turn, Ordering::Relaxed);
    }

    pub(crate) fn is_list_in_turn(&self) -> bool {
        self.shared.list_in_turn.load(Ordering::Relaxed)
    }

    /// Takes a read of the VM list.
    pub fn apply_vm_list(&self, vms: &[Vm]) {
        let listed = vms.iter().map(|vm| vm.name.as_str()).collect();
        let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
        let leaving = leaving.map(|vm| vm.name.as_str()).collect();
        self.change_table(|table| table.apply_vm_list(&listed, &leaving));
    }
}
