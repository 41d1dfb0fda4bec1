//! Brings what the control thread knows into what traffic reads.

use flamingowheel_control::node::Node;
use flamingowheel_entry::addresses::{AddressBook, EntryMember};
use flamingowheel_entry::state::EntryState;
use flamingowheel_protocol::peer::MemberState;
use std::sync::Arc;
use std::time::Duration;

/// How often the address book is built anew although no member changed, because backend servers
/// may have come or gone.
const REFRESH: Duration = Duration::from_secs(2);

/// Publishes every configuration that comes in force.
pub async fn publish_configuration(node: Node, state: Arc<EntryState>) {
    let mut effective = node.effective();
    loop {
        state.effective.store(effective.borrow_and_update().clone());
        if effective.changed().await.is_err() {
            return;
        }
    }
}

/// Publishes the entries that callers may be sent to.
pub async fn publish_addresses(node: Node, state: Arc<EntryState>) {
    let mut progress = node.progress();
    loop {
        let scopes = state.dispatcher.router().scopes();
        state.addresses.store(Arc::new(AddressBook::new(&scopes, members(&node))));
        tokio::select! {
            changed = progress.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = tokio::time::sleep(REFRESH) => {}
        }
    }
}

/// A silent entry may only be cut off from here, but a caller sent to it would lose time; it is
/// offered again as soon as it is heard.
fn members(node: &Node) -> Vec<EntryMember> {
    node.members()
        .into_iter()
        .map(|view| EntryMember {
            name: view.record.name,
            address: view.record.callers,
            data_centre: view.record.data_centre,
            leaving: view.state != MemberState::Live,
        })
        .collect()
}
