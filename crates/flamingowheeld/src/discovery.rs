//! Follows the VM list, so that an entry connects to the agents of all live VMs.

use flamingowheel_entry::agents::{AgentVm, Agents};
use flamingowheel_platform::vm::{Vm, VmList, VmState};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Where agents are found.
pub struct Discovery {
    /// The platform's list.
    pub list: Arc<dyn VmList>,
    /// Told about all VMs that may run an agent.
    pub agents: Arc<Agents>,
    /// The port on which every process of the fleet listens for the others.
    pub inner_port: u16,
    /// This process's own address, which is no agent's.
    pub own: IpAddr,
    /// Time between two reads.
    pub interval: Duration,
}

impl Discovery {
    /// Reads the list for ever. While it can't be read, what is known stays: a VM that is gone
    /// is noticed by its connection.
    pub async fn run(self) {
        let mut tick = tokio::time::interval(self.interval);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tick.tick().await;
            match self.list.list().await {
                // This VM is listed too, so an empty list is a fault of the list. Taking it at
                // its word would leave all callers without a backend server.
                Ok(vms) if vms.is_empty() => tracing::warn!("empty VM list not taken"),
                Ok(vms) => self.agents.set_vms(&self.agent_vms(&vms)),
                Err(error) => tracing::warn!(%error, "VM list not read"),
            }
        }
    }

    fn agent_vms(&self, vms: &[Vm]) -> Vec<AgentVm> {
        let others = vms.iter().filter(|vm| vm.ip != self.own);
        others
            .map(|vm| AgentVm {
                address: SocketAddr::new(vm.ip, self.inner_port),
                leaving: vm.state == VmState::Leaving,
            })
            .collect()
    }
}
