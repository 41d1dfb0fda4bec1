//! What one process has to do for the others, by its table.

use crate::membership::Table;
use flamingowheel_policy::topology::{EntryRef, Topology};
use flamingowheel_protocol::peer::{MemberRecord, MemberState};

/// The duties of one process. They change only with its table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Duties {
    /// Names of those it polls.
    pub poll_targets: Vec<String>,
    /// Names of those that should poll it.
    pub pollers: Vec<String>,
    /// Whether it watches the key-value service for its data centre.
    pub is_watcher: bool,
    /// Whether it reads the VM list for the fleet.
    pub reads_vm_list: bool,
}

impl Duties {
    /// The duties of the table's own process. Silent and gone processes have none, so that their
    /// part falls to others.
    pub fn new(table: &Table) -> Self {
        let own = table.own_record();
        let counts =
            |record: &&MemberRecord| record.name == own.name || record.state < MemberState::Silent;
        let members = table.members().map(|member| &member.record).filter(counts);
        let topology = Topology::new(members.map(place));
        let (centre, name) = (own.data_centre.as_str(), own.name.as_str());
        Self {
            poll_targets: owned(topology.poll_targets(centre, name)),
            pollers: owned(topology.pollers(centre, name)),
            is_watcher: topology.is_watcher(centre, name),
            reads_vm_list: topology.reads_vm_list(centre, name),
        }
    }
}

fn place(record: &MemberRecord) -> EntryRef<'_> {
    EntryRef { data_centre: &record.data_centre, name: &record.name }
}

fn owned(names: Vec<&str>) -> Vec<String> {
    names.into_iter().map(str::to_owned).collect()
}
