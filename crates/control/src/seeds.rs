//! Discovery of the first peers, and registration of this entry for others to find.

use crate::registry::{self, RegisteredEntry};
use crate::synchronizer::Synchronizer;
use flamingowheel_protocol::peer::MemberState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Upper bound on registered entries probed in one round.
const MAX_REGISTERED: usize = 8;
/// Upper bound on VMs probed in one round when no entry is known. With 380 entries among 7,680
/// VMs, 19 of 20 rounds find at least one entry.
const MAX_VMS: usize = 64;
/// How often an entry registers itself again, in case its registration was removed.
const REGISTER_INTERVAL: Duration = Duration::from_secs(600);
/// Delay after a failed registration.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout for the key-value service and the VM list; discovery continues without them.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The seeds of the settings and some of the entries registered in the key-value service.
pub(crate) async fn configured_and_registered(synchronizer: &Synchronizer) -> Vec<SocketAddr> {
    let registered = registry::list(synchronizer.store.key_value());
    let registered =
        timeout(ANSWER_TIMEOUT, registered).await.ok().and_then(Result::ok).unwrap_or_default();
    let mut seeds: BTreeSet<SocketAddr> = synchronizer.seeds.iter().copied().collect();
    seeds.extend(sample(synchronizer, registered.iter().map(|entry| entry.inner), MAX_REGISTERED));
    without_self(synchronizer, seeds)
}

/// Some VMs of the VM list, at the port that all processes of the fleet share. Most of them run
/// agents, which refuse. Only used as a last resort while the key-value service is down.
pub(crate) async fn from_vm_list(synchronizer: &Synchronizer) -> Vec<SocketAddr> {
    let port = synchronizer.node.own_record().inner.port();
    let vms = timeout(ANSWER_TIMEOUT, synchronizer.vms.list()).await.ok().and_then(Result::ok);
    let vms = vms.unwrap_or_default();
    let addresses = vms.iter().map(|vm| SocketAddr::new(vm.ip, port));
    without_self(synchronizer, sample(synchronizer, addresses, MAX_VMS).into_iter().collect())
}

fn without_self(synchronizer: &Synchronizer, mut seeds: BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    seeds.remove(&synchronizer.node.own_record().inner);
    seeds.into_iter().collect()
}

fn sample<I>(synchronizer: &Synchronizer, addresses: I, count: usize) -> Vec<SocketAddr>
where
    I: Iterator<Item = SocketAddr>,
{
    let all: Vec<SocketAddr> = addresses.collect();
    synchronizer.node.choose_some(&all, count)
}

/// Keeps this entry registered.
pub(crate) async fn keep_registered(synchronizer: &Synchronizer) {
    loop {
        let registered =
            registry::register(synchronizer.store.key_value(), &synchronizer.node.own_record())
                .await;
        let pause = if registered.is_ok() { REGISTER_INTERVAL } else { RETRY_INTERVAL };
        sleep(synchronizer.node.jitter(pause)).await;
    }
}

/// Removes registrations whose VM is not in the VM list and whose entry is silent, gone or
/// unknown. VMs are continually replaced under new names, so the registrations would only grow.
pub(crate) async fn remove_stale(synchronizer: &Synchronizer, vms: &BTreeSet<&str>) {
    if vms.is_empty() || !synchronizer.node.is_cleanup_due() {
        return;
    }
    let Ok(registered) = registry::list(synchronizer.store.key_value()).await else { return };
    let members = synchronizer.node.members();
    let is_active = |entry: &RegisteredEntry| {
        let member = members.iter().find(|member| member.record.name == entry.name);
        member.is_some_and(|member| member.state < MemberState::Silent)
    };
    let stale =
        registered.iter().filter(|entry| !vms.contains(entry.vm.as_str()) && !is_active(entry));
    // A failure is ignored; the next round retries.
    let _ =
        registry::remove(synchronizer.store.key_value(), stale.map(|entry| entry.name.as_str()))
            .await;
}
