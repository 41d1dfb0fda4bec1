//! Publishes configuration and addresses from the control thread to the request handlers.

use flamingowheel_control::node::{MemberView, Node};
use flamingowheel_entry::addresses::{AddressBook, EntryMember, RegionScope, Scope};
use flamingowheel_entry::agents::Target;
use flamingowheel_entry::state::EntryState;
use flamingowheel_policy::key::{RegionKey, ScopeKey, ServerKey};
use flamingowheel_protocol::peer::MemberState;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// How often to check for changed backend servers when no member changes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time between two builds of the address book.
const MIN_REBUILD_INTERVAL: Duration = Duration::from_millis(250);

/// Publishes each effective configuration to the request handlers.
pub async fn publish_configuration(node: Node, state: Arc<EntryState>) {
    let mut effective = node.effective();
    loop {
        state.effective.store(effective.borrow_and_update().clone());
        if effective.changed().await.is_err() {
            return;
        }
    }
}

/// Publishes the address book, which lists the entries that callers may be sent to.
pub async fn publish_addresses(node: Node, state: Arc<EntryState>) {
    let mut progress = node.progress();
    let mut built_from = None;
    loop {
        let from = (node.table_version(), state.dispatcher.router().scopes());
        if built_from.as_ref() != Some(&from) {
            let scopes = scopes(&node, &from.1);
            state.addresses.store(Arc::new(AddressBook::of_regions(&scopes, members(&node))));
            built_from = Some(from);
        }
        tokio::select! {
            changed = progress.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = tokio::time::sleep(REFRESH_INTERVAL) => {}
        }
        // When many processes start, each one is a change; a rebuild of the cells for each would
        // keep one core fully busy.
        tokio::time::sleep(MIN_REBUILD_INTERVAL).await;
    }
}

/// Backend servers by scope and region: those of the directory, and connected ones that are not in
/// the directory yet, which count as in this entry's region.
fn scopes(node: &Node, connected: &[Scope]) -> Vec<RegionScope> {
    let own_region = RegionKey::from_name(&node.own_record().region);
    let members = node.members();
    let region = |member: &MemberView| RegionKey::from_name(&member.record.region);
    let regions: HashMap<&str, RegionKey> =
        members.iter().map(|m| (m.record.data_centre.as_str(), region(m))).collect();
    let mut scopes: BTreeMap<(ScopeKey, RegionKey), BTreeSet<ServerKey>> = BTreeMap::new();
    let mut listed = HashSet::new();
    for agent in node.agents() {
        // A data centre without entries counts as its own region.
        let region = regions.get(agent.data_centre.as_str()).copied();
        let region = region.unwrap_or_else(|| RegionKey::from_name(&agent.data_centre));
        let (scope, server) =
            (Target::from(&agent.serves).scope(), ServerKey::from_name(&agent.name));
        scopes.entry((scope, region)).or_default().insert(server);
        listed.insert(server);
    }
    for (scope, servers) in connected {
        let unlisted = servers.iter().filter(|server| !listed.contains(server));
        scopes.entry((*scope, own_region)).or_default().extend(unlisted);
    }
    let to_region_scope = |((scope, region), servers): (_, BTreeSet<ServerKey>)| {
        (scope, region, servers.into_iter().collect())
    };
    scopes.into_iter().map(to_region_scope).collect()
}

/// Members of the address book. An entry that is not live is marked as leaving: a silent one may be
/// unreachable only from here, but callers sent to it could time out. It is listed as available
/// again as soon as it is live.
fn members(node: &Node) -> Vec<EntryMember> {
    node.members()
        .into_iter()
        .filter(|view| view.state != MemberState::Gone)
        .map(|view| EntryMember {
            name: view.record.name,
            address: view.record.callers,
            data_centre: view.record.data_centre,
            region: view.record.region,
            leaving: view.state != MemberState::Live,
        })
        .collect()
}
