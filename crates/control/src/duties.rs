//! What one process has to do for the others, computed from its member table.

use crate::membership::Table;
use flamingowheel_policy::topology::{EntryRef, Topology};
use flamingowheel_protocol::peer::{MemberRecord, MemberState};

/// The duties of one process. They change only with its member table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Duties {
    /// Names of the processes that this process polls.
    pub poll_targets: Vec<String>,
    /// Names of the processes that should poll this process.
    pub pollers: Vec<String>,
    /// Whether this process watches the key-value service for its data centre.
    pub is_watcher: bool,
    /// Whether this process reads the VM list for the fleet.
    pub reads_vm_list: bool,
}

impl Duties {
    /// Computes the duties of the process that owns `table`. Other processes that are silent or
    /// gone are left out, so that their duties pass to the rest.
    pub fn new(table: &Table) -> Self {
        let own = table.own_record();
        let has_duties =
            |record: &&MemberRecord| record.name == own.name || record.state < MemberState::Silent;
        let members = table.members().map(|member| &member.record).filter(has_duties);
        let topology = Topology::new(members.map(entry_ref));
        let (centre, name) = (own.data_centre.as_str(), own.name.as_str());
        Self {
            poll_targets: owned(topology.poll_targets(centre, name)),
            pollers: owned(topology.pollers(centre, name)),
            is_watcher: topology.is_watcher(centre, name),
            reads_vm_list: topology.reads_vm_list(centre, name),
        }
    }
}

fn entry_ref(record: &MemberRecord) -> EntryRef<'_> {
    EntryRef { data_centre: &record.data_centre, name: &record.name }
}

fn owned(names: Vec<&str>) -> Vec<String> {
    names.into_iter().map(str::to_owned).collect()
}
