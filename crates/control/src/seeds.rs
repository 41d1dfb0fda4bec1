//! Finding the first other entries, and being found.

use crate::registry::{self, Listed};
use crate::synchronizer::Synchronizer;
use flamingowheel_protocol::peer::MemberState;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Listed entries asked at one time.
const MAX_LISTED: usize = 8;
/// VMs asked at one time when nobody is known. At 380 entries among 7,680 VMs, 19 of 20 such
/// rounds find one at least.
const MAX_GUESSED: usize = 64;
/// How often an entry lists itself again, in case the list lost it.
const LIST_INTERVAL: Duration = Duration::from_secs(600);
/// Pause after a failure of the key-value service.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// How long the key-value service may take; a start goes on without it.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// Those of the settings and some of those in the key-value service.
pub(crate) async fn known(spread: &Synchronizer) -> Vec<SocketAddr> {
    let listed = registry::list(spread.store.key_value());
    let listed = timeout(ANSWER_LIMIT, listed).await.ok().and_then(Result::ok).unwrap_or_default();
    let mut seeds: BTreeSet<SocketAddr> = spread.seeds.iter().copied().collect();
    seeds.extend(some_of(spread, listed.iter().map(|listed| listed.inner), MAX_LISTED));
    others(spread, seeds)
}

/// Some VMs of the VM list, at the port that all processes of the fleet share. Most are those of
/// agents, which refuse; it is the last resort while the key-value service is down.
pub(crate) async fn guessed(spread: &Synchronizer) -> Vec<SocketAddr> {
    let port = spread.node.own_record().inner.port();
    let vms = timeout(ANSWER_LIMIT, spread.vms.list()).await.ok().and_then(Result::ok);
    let vms = vms.unwrap_or_default();
    let addresses = vms.iter().map(|vm| SocketAddr::new(vm.ip, port));
    others(spread, some_of(spread, addresses, MAX_GUESSED).into_iter().collect())
}

fn others(spread: &Synchronizer, mut seeds: BTreeSet<SocketAddr>) -> Vec<SocketAddr> {
    seeds.remove(&spread.node.own_record().inner);
    seeds.into_iter().collect()
}

fn some_of<I>(spread: &Synchronizer, from: I, count: usize) -> Vec<SocketAddr>
where
    I: Iterator<Item = SocketAddr>,
{
    let all: Vec<SocketAddr> = from.collect();
    spread.node.choose_some(&all, count)
}

/// Keeps this entry listed.
pub(crate) async fn stay_listed(spread: &Synchronizer) {
    loop {
        let registered =
            registry::register(spread.store.key_value(), &spread.node.own_record()).await;
        let pause = if registered.is_ok() { LIST_INTERVAL } else { RETRY_INTERVAL };
        sleep(spread.node.jitter(pause)).await;
    }
}

/// Takes off the list what is on no listed VM and not heard either. VMs are replaced all the
/// time under new names; without this the list would only grow.
pub(crate) async fn tidy(spread: &Synchronizer, vms: &BTreeSet<&str>) {
    if vms.is_empty() || !spread.node.tidy_is_due() {
        return;
    }
    let Ok(listed) = registry::list(spread.store.key_value()).await else { return };
    let members = spread.node.members();
    let heard = |listed: &Listed| {
        let member = members.iter().find(|member| member.record.name == listed.name);
        member.is_some_and(|member| member.state < MemberState::Silent)
    };
    let old = listed.iter().filter(|listed| !vms.contains(listed.vm.as_str()) && !heard(listed));
    // The next round tries again.
    let _ = registry::remove(spread.store.key_value(), old.map(|old| old.name.as_str())).await;
}
