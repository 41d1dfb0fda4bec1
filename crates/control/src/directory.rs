//! The directory: records of all agents of the fleet, replicated between entries.
//!
//! The record of an agent is written by an entry that has a link to the agent, or by the entry that
//! probes a VM which is not known yet. Records are merged by version, so their order of arrival
//! does not matter. An outdated record only costs a failed attempt to connect: what an agent may
//! run is decided by its own incarnation, never by a record.

use crate::membership::GONE_RETENTION;
use flamingowheel_protocol::message::{Hello, Role};
use flamingowheel_protocol::peer::{AgentRecord, MemberState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Number of parts that are compared by digest. At 7,300 agents a part has about 29 records, 5 KB.
pub const PARTS: usize = 256;

/// Upper bound on the records kept. Further agents are reached only by entries that connect to all
/// agents.
pub const MAX_AGENTS: usize = 16_384;

/// The agents known to one entry.
#[derive(Clone, Debug)]
pub struct Directory {
    agents: BTreeMap<String, StoredAgent>,
    digests: Vec<u64>,
}

#[derive(Clone, Debug)]
struct StoredAgent {
    record: Arc<AgentRecord>,
    changed_in_version: u64,
    changed_at: Instant,
}

impl Default for Directory {
    fn default() -> Self {
        Self { agents: BTreeMap::new(), digests: vec![0; PARTS] }
    }
}

impl Directory {
    /// All agents that are not gone.
    pub fn agents(&self) -> impl Iterator<Item = &Arc<AgentRecord>> {
        let records = self.agents.values().map(|stored| &stored.record);
        records.filter(|record| record.state != MemberState::Gone)
    }

    /// Looks up an agent by name, including agents that are gone.
    pub fn get(&self, name: &str) -> Option<&AgentRecord> {
        self.agents.get(name).map(|stored| &*stored.record)
    }

    /// Digests of all parts; equal for equal directories. Agents that are gone are left out, since
    /// entries drop them at different times.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// The records that changed after a version of the member table.
    pub fn changed_after(&self, version: u64) -> Vec<AgentRecord> {
        let newer = self.agents.values().filter(|stored| stored.changed_in_version > version);
        newer.map(|stored| (*stored.record).clone()).collect()
    }

    /// The numbers of the parts whose digests differ from these.
    pub fn differing_parts(&self, digests: &[u64]) -> Vec<u8> {
        let pairs = self.digests.iter().zip(digests).enumerate();
        pairs.filter(|(_, (own, other))| own != other).map(|(part, _)| part as u8).collect()
    }

    /// All records in the given parts.
    pub fn records_in_parts(&self, parts: &[u8]) -> Vec<AgentRecord> {
        let within = |name: &str| parts.contains(&(part_of(name) as u8));
        let found = self.agents.iter().filter(|(name, _)| within(name));
        found.map(|(_, stored)| (*stored.record).clone()).collect()
    }

    /// Whether a record takes precedence over the stored one.
    pub fn is_newer(&self, record: &AgentRecord) -> bool {
        match self.get(&record.name) {
            Some(stored) => precedence(record) > precedence(stored),
            // The record of an agent that is gone, once dropped here, must not be replicated again.
            None => record.state != MemberState::Gone && self.agents.len() < MAX_AGENTS,
        }
    }

    /// Stores a record if it is newer, and returns whether it was. `version` is the member table's
    /// next version.
    pub fn merge(&mut self, record: AgentRecord, version: u64, now: Instant) -> bool {
        if !self.is_newer(&record) {
            return false;
        }
        let name = record.name.clone();
        let stored =
            StoredAgent { record: Arc::new(record), changed_in_version: version, changed_at: now };
        let digest = &mut self.digests[part_of(&name)];
        *digest ^= hash(&stored.record);
        if let Some(before) = self.agents.insert(name, stored) {
            *digest ^= hash(&before.record);
        }
        true
    }

    /// The records to merge after an agent's `hello`: its own record, if it differs from the stored
    /// one, and records that mark other agents at the same address as gone.
    pub fn records_for_hello(&self, address: SocketAddr, hello: &Hello) -> Vec<AgentRecord> {
        let Role::Agent(profile) = &hello.role else { return Vec::new() };
        let stored = self.get(&hello.name);
        let record = AgentRecord {
            name: hello.name.clone(),
            address,
            data_centre: hello.data_centre.clone(),
            serves: profile.serves.clone(),
            experts: profile.experts,
            incarnation: hello.incarnation,
            version: stored.map_or(0, |stored| stored.version) + 1,
            state: MemberState::Live,
        };
        if stored.is_some_and(|stored| is_unchanged(stored, &record)) {
            return Vec::new();
        }
        let others = self.agents().filter(|o| o.address == address && o.name != hello.name);
        let gone = |other: &Arc<AgentRecord>| AgentRecord {
            state: MemberState::Gone,
            ..AgentRecord::clone(other)
        };
        others.map(gone).chain([record]).collect()
    }

    /// Drops agents that have been gone for [`GONE_RETENTION`].
    pub fn expire(&mut self, now: Instant) {
        self.agents.retain(|_, stored| {
            stored.record.state != MemberState::Gone || now - stored.changed_at < GONE_RETENTION
        });
    }
}

/// Orders two records of the same name. Incarnations are random and only break ties, identically in
/// every process.
pub(crate) fn precedence(record: &AgentRecord) -> (u64, u64, MemberState) {
    (record.version, record.incarnation.0, record.state)
}

/// Whether a hello changes nothing in the record. The state `Leaving` is not compared: an agent
/// that the VM list marked as leaving stays so until another process has its name.
fn is_unchanged(stored: &AgentRecord, new: &AgentRecord) -> bool {
    stored.state != MemberState::Gone
        && stored.incarnation == new.incarnation
        && stored.address == new.address
        && stored.serves == new.serves
}

fn part_of(name: &str) -> usize {
    xxh3_64(name.as_bytes()) as usize % PARTS
}

fn hash(record: &AgentRecord) -> u64 {
    let AgentRecord { name, version, incarnation, state, .. } = record;
    match state {
        MemberState::Gone => 0,
        state => xxh3_64(format!("{name} {version} {} {state:?}", incarnation.0).as_bytes()),
    }
}
