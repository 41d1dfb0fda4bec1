//! Access to the directory of agents in the node's state.

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
    /// Builds a heartbeat for a peer that is contacted rarely. It has digests of the directory in
    /// place of agents, since most of the directory may have changed since the last contact.
    pub(crate) fn digest_heartbeat(&self, peer: &str) -> Heartbeat {
        let mut heartbeat = self.heartbeat(Some(peer), Duration::ZERO);
        heartbeat.updates.agents.clear();
        heartbeat.agent_digests = self.state().table.directory().digests().to_vec();
        heartbeat
    }

    /// The agents that a peer lacks or has older records of, by its answer to digests.
    pub(crate) fn agents_missing_at_peer(&self, answer: &HeartbeatAnswer) -> Vec<AgentRecord> {
        if answer.agent_parts.is_empty() {
            return Vec::new();
        }
        let peer_records: HashMap<&str, &AgentRecord> =
            answer.updates.agents.iter().map(|record| (record.name.as_str(), record)).collect();
        let own = self.state().table.directory().records_in_parts(&answer.agent_parts);
        let is_missing = |record: &AgentRecord| {
            let peer_record = peer_records.get(record.name.as_str());
            peer_record.is_none_or(|other| precedence(other) < precedence(record))
        };
        own.into_iter().filter(is_missing).collect()
    }

    /// Every known agent that is not gone.
    pub fn agents(&self) -> Vec<Arc<AgentRecord>> {
        self.state().table.directory().agents().cloned().collect()
    }

    /// Records the agent that sent `hello` on a connection to `address`.
    pub fn record_agent(&self, address: SocketAddr, hello: &Hello) {
        self.update_table(|table| {
            table.record_agent(address, hello, Instant::now());
            Vec::new()
        });
    }

    /// Records that an agent is leaving or gone. Never moves it back to an earlier state.
    pub fn downgrade_agent(&self, name: &str, state: MemberState) {
        self.update_table(|table| {
            table.downgrade_agent(name, state, Instant::now());
            Vec::new()
        });
    }

    /// Sets whether all entries read the VM list in rotation. If so, the two entries that read it
    /// for the whole fleet do so rarely.
    pub fn set_vm_list_rotation(&self, enabled: bool) {
        self.shared.vm_list_rotation.store(enabled, Ordering::Relaxed);
    }

    pub(crate) fn has_vm_list_rotation(&self) -> bool {
        self.shared.vm_list_rotation.load(Ordering::Relaxed)
    }

    /// Applies a read of the VM list to the member table.
    pub fn apply_vm_list(&self, vms: &[Vm]) {
        let listed = vms.iter().map(|vm| vm.name.as_str()).collect();
        let leaving = vms.iter().filter(|vm| vm.state == VmState::Leaving);
        let leaving = leaving.map(|vm| vm.name.as_str()).collect();
        self.update_table(|table| table.apply_vm_list(&listed, &leaving));
    }
}
