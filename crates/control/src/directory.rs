//! Every agent of the fleet, as entries tell each other of it.
//!
//! Whoever meets an agent process writes its record: an entry with a link to it, or the one that
//! looks at a VM nobody knows yet. Records are merged by version, so any order gives the same. A
//! record that lags costs a try to connect; what an agent may run is decided by its own
//! incarnation, never by a record.

use crate::membership::GONE_RETENTION;
use flamingowheel_protocol::message::{Hello, Role};
use flamingowheel_protocol::peer::{AgentRecord, MemberState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Parts that are compared by digest. At 7,300 agents one holds about 29 records, 5 KB.
pub const PARTS: usize = 256;

/// Most records kept; further agents are reached only by entries that connect to all.
pub const MAX_AGENTS: usize = 16_384;

/// The agents that one entry knows of.
#[derive(Clone, Debug)]
pub struct Directory {
    agents: BTreeMap<String, Known>,
    digests: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Known {
    record: Arc<AgentRecord>,
    changed_in: u64,
    since: Instant,
}

impl Default for Directory {
    fn default() -> Self {
        Self { agents: BTreeMap::new(), digests: vec![0; PARTS] }
    }
}

impl Directory {
    /// All agents that are not gone.
    pub fn agents(&self) -> impl Iterator<Item = &Arc<AgentRecord>> {
        let records = self.agents.values().map(|known| &known.record);
        records.filter(|record| record.state != MemberState::Gone)
    }

    /// One agent, gone ones included.
    pub fn get(&self, name: &str) -> Option<&AgentRecord> {
        self.agents.get(name).map(|known| &*known.record)
    }

    /// Digests of all parts; equal directories have equal ones. Agents that are gone don't count,
    /// since entries forget them at different times.
    pub fn digests(&self) -> &[u64] {
        &self.digests
    }

    /// The records that changed after a version of the table.
    pub fn changed_after(&self, version: u64) -> Vec<AgentRecord> {
        let newer = self.agents.values().filter(|known| known.changed_in > version);
        newer.map(|known| (*known.record).clone()).collect()
    }

    /// The parts in which a directory with these digests differs.
    pub fn differing_parts(&self, digests: &[u64]) -> Vec<u8> {
        let pairs = self.digests.iter().zip(digests).enumerate();
        pairs.filter(|(_, (own, other))| own != other).map(|(part, _)| part as u8).collect()
    }

    /// The records of some parts.
    pub fn records_in_parts(&self, parts: &[u8]) -> Vec<AgentRecord> {
        let within = |name: &str| parts.contains(&(part(name) as u8));
        let found = self.agents.iter().filter(|(name, _)| within(name));
        found.map(|(_, known)| (*known.record).clone()).collect()
    }

    /// Whether a record says more than what is known.
    pub fn is_newer(&self, record: &AgentRecord) -> bool {
        match self.get(&record.name) {
            Some(known) => precedence(record) > precedence(known),
            // A tombstone that was dropped here must not go round again.
            None => record.state != MemberState::Gone && self.agents.len() < MAX_AGENTS,
        }
    }

    /// Takes a record, if it is news. `version` is the table's next version.
    pub fn merge(&mut self, record: AgentRecord, version: u64, now: Instant) -> bool {
        if !self.is_newer(&record) {
            return false;
        }
        let name = record.name.clone();
        let known = Known { record: Arc::new(record), changed_in: version, since: now };
        let digest = &mut self.digests[part(&name)];
        *digest ^= hash(&known.record);
        if let Some(before) = self.agents.insert(name, known) {
            *digest ^= hash(&before.record);
        }
        true
    }

    /// The records that a process's own word makes necessary: its own, if it differs from what is
    /// known, and the end of another that had its address before.
    pub fn records_for_hello(&self, address: SocketAddr, hello: &Hello) -> Vec<AgentRecord> {
        let Role::Agent(profile) = &hello.role else { return Vec::new() };
        let known = self.get(&hello.name);
        let record = AgentRecord {
            name: hello.name.clone(),
            address,
            data_centre: hello.data_centre.clone(),
            serves: profile.serves.clone(),
            experts: profile.experts,
            incarnation: hello.incarnation,
            version: known.map_or(0, |known| known.version) + 1,
            state: MemberState::Live,
        };
        if known.is_some_and(|known| is_same(known, &record)) {
            return Vec::new();
        }
        let others = self.agents().filter(|o| o.address == address && o.name != hello.name);
        let gone = |other: &Arc<AgentRecord>| AgentRecord {
            state: MemberState::Gone,
            ..AgentRecord::clone(other)
        };
        others.map(gone).chain([record]).collect()
    }

    /// Drops what has been gone for long.
    pub fn expire(&mut self, now: Instant) {
        self.agents.retain(|_, known| {
            known.record.state != MemberState::Gone || now - known.since < GONE_RETENTION
        });
    }
}

/// Decides between two records of one name. Incarnations are random: they only break ties, the
/// same way everywhere.
pub(crate) fn precedence(record: &AgentRecord) -> (u64, u64, MemberState) {
    (record.version, record.incarnation.0, record.state)
}

/// A process that the VM list calls leaving stays so until another takes its name.
fn is_same(known: &AgentRecord, met: &AgentRecord) -> bool {
    known.state != MemberState::Gone
        && known.incarnation == met.incarnation
        && known.address == met.address
        && known.serves == met.serves
}

fn part(name: &str) -> usize {
    xxh3_64(name.as_bytes()) as usize % PARTS
}

fn hash(record: &AgentRecord) -> u64 {
    let AgentRecord { name, version, incarnation, state, .. } = record;
    match state {
        MemberState::Gone => 0,
        state => xxh3_64(format!("{name} {version} {} {state:?}", incarnation.0).as_bytes()),
    }
}
