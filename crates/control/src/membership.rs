//! The member table of one process: records of all entries, merged by version.
//!
//! The table combines three sources. Each process publishes its own record and alone raises its
//! version. Processes that watch it may mark it as silent under its last version; it refutes that
//! with a higher version. The VM list marks VMs as leaving and confirms that a silent process is
//! gone.

use crate::directory::Directory;
use flamingowheel_protocol::message::Hello;
use flamingowheel_protocol::peer::{AgentRecord, MemberRecord, MemberState, MembershipUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// How long the record of a process that is gone is kept, so that a late update can't bring the
/// process back.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// The member table of one process.
#[derive(Clone, Debug)]
pub struct Table {
    own_name: String,
    version: u64,
    members: BTreeMap<String, Member>,
    leaving_vms: BTreeMap<String, u64>,
    directory: Directory,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The record with the highest precedence received so far.
    pub record: MemberRecord,
    /// When a message of the member last arrived, or its record last changed.
    pub last_seen_at: Instant,
    /// Table version of the last change to the record.
    changed_in_version: u64,
}

/// A result of an update of the table that is recorded as an event or logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A process was added to the table or changed its state.
    Changed {
        /// Name of the process.
        name: String,
        /// The new state.
        state: MemberState,
    },
    /// A record with this process's name and another incarnation was received: two processes have
    /// the same name, or this one restarted and its previous record is still circulating.
    NameClaimed,
}

impl Table {
    /// Creates a table with only this process's own record.
    pub fn new(own: MemberRecord, now: Instant) -> Self {
        let name = own.name.clone();
        let member = Member { record: own, last_seen_at: now, changed_in_version: 1 };
        Self {
            own_name: name.clone(),
            version: 1,
            members: BTreeMap::from([(name, member)]),
            leaving_vms: BTreeMap::new(),
            directory: Directory::default(),
        }
    }

    /// The record that this process publishes of itself.
    pub fn own_record(&self) -> &MemberRecord {
        &self.members[&self.own_name].record
    }

    /// Version of this table, raised by every change. Local to the process.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Looks up a process by name; processes that are gone are kept for a while.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All processes, this one included, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The state of a member: that of its record, or `Leaving` if that is `Live` and the VM list
    /// marks its VM as leaving.
    pub fn state(&self, member: &Member) -> MemberState {
        let listed_leaving = self.leaving_vms.contains_key(&member.record.vm);
        match member.record.state {
            MemberState::Live if listed_leaving => MemberState::Leaving,
            state => state,
        }
    }

    /// Whether a VM of a known entry is leaving according to the VM list.
    pub fn is_vm_leaving(&self, vm: &str) -> bool {
        self.leaving_vms.contains_key(vm)
    }

    /// The changes after a version of this table. Agents are left out for version 0.
    pub fn updates_after(&self, version: u64) -> MembershipUpdate {
        let newer = |member: &&Member| member.changed_in_version > version;
        let vms = self
            .leaving_vms
            .iter()
            .filter(|(_, changed_in_version)| **changed_in_version > version);
        MembershipUpdate {
            records: self.members.values().filter(newer).map(|m| m.record.clone()).collect(),
            leaving_vms: vms.map(|(vm, _)| vm.clone()).collect(),
            // On first contact the directories are compared by digest instead.
            agents: if version == 0 { Vec::new() } else { self.directory.changed_after(version) },
        }
    }

    /// The directory of agents.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Records the agent that sent `hello` on a connection to `address`.
    pub fn record_agent(&mut self, address: SocketAddr, hello: &Hello, now: Instant) {
        for record in self.directory.records_for_hello(address, hello) {
            self.merge_agent(record, now);
        }
    }

    /// Records that an agent is leaving or gone. Never moves it back to an earlier state.
    pub fn downgrade_agent(&mut self, name: &str, state: MemberState, now: Instant) {
        if let Some(stored) = self.directory.get(name) {
            let record = AgentRecord { state: state.max(stored.state), ..stored.clone() };
            self.merge_agent(record, now);
        }
    }

    fn merge_agent(&mut self, record: AgentRecord, now: Instant) {
        if self.directory.merge(record, self.version + 1, now) {
            self.version += 1;
        }
    }

    /// Digest of members and agents; independent of the order in which records were received.
    pub fn digest(&self) -> u64 {
        let records = self.members.values().map(|member| {
            let MemberRecord { name, version, incarnation, state, .. } = &member.record;
            xxh3_64(format!("{name} {version} {} {state:?}", incarnation.0).as_bytes())
        });
        let agents = self.directory.digests().iter().fold(0, |digest, part| digest ^ part);
        records.fold(agents, |digest, record| digest ^ record)
    }

    /// Merges updates from a peer.
    pub fn merge(&mut self, updates: MembershipUpdate, now: Instant) -> Vec<Observation> {
        let mut observations = Vec::new();
        for record in updates.records {
            observations.extend(self.merge_record(record, now));
        }
        for vm in updates.leaving_vms {
            self.mark_vm_leaving(vm);
        }
        for agent in updates.agents {
            self.merge_agent(agent, now);
        }
        observations
    }

    fn merge_record(&mut self, record: MemberRecord, now: Instant) -> Option<Observation> {
        if record.name == self.own_name {
            return self.merge_own(&record);
        }
        if let Some(stored) = self.members.get(&record.name)
            && precedence(&stored.record) >= precedence(&record)
        {
            return None;
        }
        let (name, state) = (record.name.clone(), record.state);
        let before = self.members.get(&name).map(|member| member.record.state);
        self.version += 1;
        let member = Member { record, last_seen_at: now, changed_in_version: self.version };
        self.members.insert(name.clone(), member);
        (before != Some(state)).then_some(Observation::Changed { name, state })
    }

    /// Merges a peer's record of this process.
    ///
    /// A false suspicion removes this process from address answers although it works. It is refuted
    /// by raising the version of the own record above the suspicion's. In the same way a restarted
    /// process overrides the record of its previous start.
    fn merge_own(&mut self, record: &MemberRecord) -> Option<Observation> {
        let own = self.own_record();
        if precedence(own) >= precedence(record) {
            return None;
        }
        let claimed = record.incarnation != own.incarnation;
        let state = own.state;
        self.set_own(record.version + 1, state);
        claimed.then_some(Observation::NameClaimed)
    }

    /// Sets this process's own state to `Leaving`. It can't be undone.
    pub fn leave(&mut self) {
        let version = self.own_record().version + 1;
        self.set_own(version, MemberState::Leaving);
    }

    fn set_own(&mut self, version: u64, state: MemberState) {
        self.version += 1;
        let changed_in_version = self.version;
        if let Some(own) = self.members.get_mut(&self.own_name) {
            own.record.version = version;
            own.record.state = state;
            own.changed_in_version = changed_in_version;
        }
    }

    /// Sets a member's last-seen time to `now`.
    pub fn mark_seen(&mut self, name: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(name) {
            member.last_seen_at = now;
        }
    }

    /// Merges a record received from the process itself, and marks the process as seen.
    pub fn merge_direct(&mut self, record: MemberRecord, now: Instant) -> Option<Observation> {
        let name = record.name.clone();
        let observation = self.merge_record(record, now);
        self.mark_seen(&name, now);
        observation
    }

    /// Marks a process as silent, unless it already is silent or gone or is this process.
    pub fn mark_silent(&mut self, name: &str) -> Option<Observation> {
        if name == self.own_name {
            return None;
        }
        self.raise_state(name, MemberState::Silent)
    }

    fn raise_state(&mut self, name: &str, state: MemberState) -> Option<Observation> {
        let member = self.members.get_mut(name)?;
        if member.record.state >= state {
            return None;
        }
        self.version += 1;
        member.record.state = state;
        member.changed_in_version = self.version;
        Some(Observation::Changed { name: name.to_owned(), state })
    }

    /// Applies a read of the VM list: the names of all VMs, and of those that are leaving.
    ///
    /// The list lags, so it never makes a process live or silent. A VM once listed as leaving stays
    /// so, since VM names are never reused. A process is gone only if it is silent *and* its VM is
    /// not listed.
    pub fn apply_vm_list(
        &mut self,
        listed: &BTreeSet<&str>,
        leaving: &BTreeSet<&str>,
    ) -> Vec<Observation> {
        for vm in leaving {
            self.mark_vm_leaving((*vm).to_owned());
        }
        // An empty list would mark every silent process as gone, and is more likely an error.
        if listed.is_empty() {
            return Vec::new();
        }
        let gone = |member: &&Member| {
            member.record.state == MemberState::Silent
                && !listed.contains(member.record.vm.as_str())
        };
        let gone = self.members.values().filter(gone).map(|m| m.record.name.clone());
        let gone: Vec<String> = gone.collect();
        gone.iter().filter_map(|name| self.raise_state(name, MemberState::Gone)).collect()
    }

    /// Keeps only VMs of known entries: thousands of VMs leave per day, and a table of all of them
    /// would only grow.
    fn mark_vm_leaving(&mut self, vm: String) {
        let is_of_member = self.members.values().any(|member| member.record.vm == vm);
        if is_of_member && !self.leaving_vms.contains_key(&vm) {
            self.version += 1;
            self.leaving_vms.insert(vm, self.version);
        }
    }

    /// Sets the last-seen time of all members to `now`. After a pause or a partition of this
    /// process the old times are meaningless, and members get the full timeout before they count as
    /// silent.
    pub fn reset_last_seen(&mut self, now: Instant) {
        self.members.values_mut().for_each(|member| member.last_seen_at = now);
    }

    /// Drops records of processes that have been gone for [`GONE_RETENTION`], and their VMs.
    pub fn expire(&mut self, now: Instant) {
        let kept = |member: &Member| {
            member.record.state != MemberState::Gone || now - member.last_seen_at < GONE_RETENTION
        };
        self.members.retain(|_, member| kept(member));
        let vms: BTreeSet<&str> = self.members.values().map(|m| m.record.vm.as_str()).collect();
        self.leaving_vms.retain(|vm, _| vms.contains(vm.as_str()));
        self.directory.expire(now);
    }
}

/// Orders two records of the same name. Incarnations are random and only break ties, identically in
/// every process.
fn precedence(record: &MemberRecord) -> (u64, u64, MemberState) {
    (record.version, record.incarnation.0, record.state)
}
