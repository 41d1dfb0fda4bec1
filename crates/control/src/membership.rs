//! What one process believes of the others: a table of records, merged by version.
//!
//! Three sources are combined. What a process says of itself carries the highest version. Those
//! that watch it may call it silent under the version it last gave; it answers with a higher one.
//! The VM list marks VMs that are leaving, and confirms that a silent one is gone.

use crate::directory::Directory;
use flamingowheel_protocol::message::Hello;
use flamingowheel_protocol::peer::{AgentRecord, MemberRecord, MemberState, MembershipUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// How long the record of a process that is gone is kept, so that late news of it can't bring it
/// back.
pub const GONE_RETENTION: Duration = Duration::from_secs(600);

/// The table of one process.
#[derive(Clone, Debug)]
pub struct Table {
    own: String,
    version: u64,
    members: BTreeMap<String, Member>,
    leaving_vms: BTreeMap<String, u64>,
    directory: Directory,
}

/// What is believed of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The record that counts.
    pub record: MemberRecord,
    /// When it was last heard directly, or its record last changed.
    pub last_seen_at: Instant,
    /// Table version of the last change to the record.
    changed_in: u64,
}

/// Something the table learnt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A process is in a new state.
    Changed {
        /// Its name.
        name: String,
        /// The state.
        state: MemberState,
    },
    /// Another process claims this one's name: two of the same name run, or this one restarted
    /// and its older record still goes round.
    NameClaimed,
}

impl Table {
    /// A table that knows only this process.
    pub fn new(own: MemberRecord, now: Instant) -> Self {
        let name = own.name.clone();
        let member = Member { record: own, last_seen_at: now, changed_in: 1 };
        Self {
            own: name.clone(),
            version: 1,
            members: BTreeMap::from([(name, member)]),
            leaving_vms: BTreeMap::new(),
            directory: Directory::default(),
        }
    }

    /// What this process says of itself.
    pub fn own_record(&self) -> &MemberRecord {
        &self.members[&self.own].record
    }

    /// Rises with every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// One process.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// All processes, this one included, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The state that counts: what the record says, and `Leaving` too if the VM list says so.
    pub fn state(&self, member: &Member) -> MemberState {
        let listed_leaving = self.leaving_vms.contains_key(&member.record.vm);
        match member.record.state {
            MemberState::Live if listed_leaving => MemberState::Leaving,
            state => state,
        }
    }

    /// Whether the VM list calls the VM of a known entry leaving.
    pub fn is_vm_leaving(&self, vm: &str) -> bool {
        self.leaving_vms.contains_key(vm)
    }

    /// What changed after a version of this table.
    pub fn updates_after(&self, version: u64) -> MembershipUpdate {
        let newer = |member: &&Member| member.changed_in > version;
        let vms = self.leaving_vms.iter().filter(|(_, changed_in)| **changed_in > version);
        MembershipUpdate {
            records: self.members.values().filter(newer).map(|m| m.record.clone()).collect(),
            leaving_vms: vms.map(|(vm, _)| vm.clone()).collect(),
            // Between two that meet for the first time, digests tell what is missing.
            agents: if version == 0 { Vec::new() } else { self.directory.changed_after(version) },
        }
    }

    /// The agents known of.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// An agent process introduced itself at this address.
    pub fn record_agent(&mut self, address: SocketAddr, hello: &Hello, now: Instant) {
        for record in self.directory.records_for_hello(address, hello) {
            self.merge_agent(record, now);
        }
    }

    /// Notes that an agent is leaving or gone.
    pub fn downgrade_agent(&mut self, name: &str, state: MemberState, now: Instant) {
        if let Some(known) = self.directory.get(name) {
            let record = AgentRecord { state: state.max(known.state), ..known.clone() };
            self.merge_agent(record, now);
        }
    }

    fn merge_agent(&mut self, record: AgentRecord, now: Instant) {
        if self.directory.merge(record, self.version + 1, now) {
            self.version += 1;
        }
    }

    /// Equal for equal records, in whatever order they came.
    pub fn digest(&self) -> u64 {
        let records = self.members.values().map(|member| {
            let MemberRecord { name, version, incarnation, state, .. } = &member.record;
            xxh3_64(format!("{name} {version} {} {state:?}", incarnation.0).as_bytes())
        });
        let agents = self.directory.digests().iter().fold(0, |digest, part| digest ^ part);
        records.fold(agents, |digest, record| digest ^ record)
    }

    /// Takes news from a peer.
    pub fn merge(&mut self, news: MembershipUpdate, now: Instant) -> Vec<Observation> {
        let mut observations = Vec::new();
        for record in news.records {
            observations.extend(self.merge_record(record, now));
        }
        for vm in news.leaving_vms {
            self.mark_vm_leaving(vm);
        }
        for agent in news.agents {
            self.merge_agent(agent, now);
        }
        observations
    }

    fn merge_record(&mut self, record: MemberRecord, now: Instant) -> Option<Observation> {
        if record.name == self.own {
            return self.merge_own(&record);
        }
        if let Some(known) = self.members.get(&record.name)
            && precedence(&known.record) >= precedence(&record)
        {
            return None;
        }
        let (name, state) = (record.name.clone(), record.state);
        let before = self.members.get(&name).map(|member| member.record.state);
        self.version += 1;
        let member = Member { record, last_seen_at: now, changed_in: self.version };
        self.members.insert(name.clone(), member);
        (before != Some(state)).then_some(Observation::Changed { name, state })
    }

    /// Others' word about this process itself.
    ///
    /// A false suspicion takes this process out of address answers although it works. Raising
    /// the version past the suspicion's brings it back. The same way a restarted process
    /// overrides the record of its last start.
    fn merge_own(&mut self, record: &MemberRecord) -> Option<Observation> {
        let own = self.own_record();
        if precedence(own) >= precedence(record) {
            return None;
        }
        let claimed = record.incarnation != own.incarnation;
        let state = own.state;
        self.say(record.version + 1, state);
        claimed.then_some(Observation::NameClaimed)
    }

    /// Says of this process that it is leaving, for good.
    pub fn leave(&mut self) {
        let version = self.own_record().version + 1;
        self.say(version, MemberState::Leaving);
    }

    fn say(&mut self, version: u64, state: MemberState) {
        self.version += 1;
        let changed_in = self.version;
        if let Some(own) = self.members.get_mut(&self.own) {
            own.record.version = version;
            own.record.state = state;
            own.changed_in = changed_in;
        }
    }

    /// A process was heard directly.
    pub fn mark_seen(&mut self, name: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(name) {
            member.last_seen_at = now;
        }
    }

    /// A process was heard directly, and this is what it says of itself.
    pub fn merge_direct(&mut self, record: MemberRecord, now: Instant) -> Option<Observation> {
        let name = record.name.clone();
        let observation = self.merge_record(record, now);
        self.mark_seen(&name, now);
        observation
    }

    /// Calls a process silent that this one watches and has not heard.
    pub fn mark_silent(&mut self, name: &str) -> Option<Observation> {
        if name == self.own {
            return None;
        }
        self.worsen(name, MemberState::Silent)
    }

    fn worsen(&mut self, name: &str, state: MemberState) -> Option<Observation> {
        let member = self.members.get_mut(name)?;
        if member.record.state >= state {
            return None;
        }
        self.version += 1;
        member.record.state = state;
        member.changed_in = self.version;
        Some(Observation::Changed { name: name.to_owned(), state })
    }

    /// Takes a read of the VM list: which VMs are listed at all, and which are leaving.
    ///
    /// The list lags, so it never makes a process live or silent. A VM that it once called
    /// leaving stays so, since a VM's name is never used again. Only a process that is silent *and* on
    /// no listed VM is gone.
    pub fn apply_vm_list(
        &mut self,
        listed: &BTreeSet<&str>,
        leaving: &BTreeSet<&str>,
    ) -> Vec<Observation> {
        for vm in leaving {
            self.mark_vm_leaving((*vm).to_owned());
        }
        // An empty answer would make everything gone that is silent; more likely it is wrong.
        if listed.is_empty() {
            return Vec::new();
        }
        let gone = |member: &&Member| {
            member.record.state == MemberState::Silent
                && !listed.contains(member.record.vm.as_str())
        };
        let gone = self.members.values().filter(gone).map(|m| m.record.name.clone());
        let gone: Vec<String> = gone.collect();
        gone.iter().filter_map(|name| self.worsen(name, MemberState::Gone)).collect()
    }

    /// Only VMs of known entries are kept: the list names thousands a day, and a table that took
    /// them all would only grow.
    fn mark_vm_leaving(&mut self, vm: String) {
        let is_of_member = self.members.values().any(|member| member.record.vm == vm);
        if is_of_member && !self.leaving_vms.contains_key(&vm) {
            self.version += 1;
            self.leaving_vms.insert(vm, self.version);
        }
    }

    /// After this process stood still: what it knew of when others were heard says nothing now.
    /// They get the full time again before they may be called silent.
    pub fn reset_last_seen(&mut self, now: Instant) {
        self.members.values_mut().for_each(|member| member.last_seen_at = now);
    }

    /// Drops records of processes that have been gone for long, and what is known of their VMs.
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

/// Decides between two records of one name. Incarnations are random: they only break ties, the
/// same way everywhere.
fn precedence(record: &MemberRecord) -> (u64, u64, MemberState) {
    (record.version, record.incarnation.0, record.state)
}
