//! Chooses which entries a workspace's callers should use.

use crate::agents::Target;
use flamingowheel_config::effective::EffectiveWorkspace;
use flamingowheel_policy::key::{
    DataCentreKey, EntryKey, RegionKey, ScopeKey, ServerKey, WorkspaceKey,
};
use flamingowheel_policy::subset::{Cell, Cells, EntryInfo, SubsetConfig};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Expected request rate of a workspace without a rate limit.
const DEFAULT_RATE_PER_S: f64 = 10.0;

/// Most links of an entry to the agents of its cells: 3 times the most that the planned fleet size
/// needs. Links to further agents are opened on demand.
pub const MAX_LINKS: usize = 1_024;

/// What a workspace's subset depends on: the scopes of its models and services, and its expected
/// rate in requests per second.
pub fn demand(workspace: &EffectiveWorkspace) -> (Vec<ScopeKey>, f64) {
    let parameters = &workspace.parameters;
    let models = parameters.models.keys().cloned().map(Target::Model);
    let services = parameters.services.keys().cloned().map(Target::Service);
    let scopes = models.chain(services).map(|target| target.scope()).collect();
    (scopes, parameters.limits.requests_per_s.unwrap_or(DEFAULT_RATE_PER_S))
}

/// An entry that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryMember {
    /// Name of the entry.
    pub name: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: String,
    /// The region of that data centre.
    pub region: String,
    /// Whether the entry is leaving, so that callers are no longer sent to it.
    pub leaving: bool,
}

/// Response body of the list of entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses in order of preference.
    pub addresses: Vec<Address>,
    /// How long callers may cache the answer, in seconds.
    pub keep_s: u64,
}

/// One entry of an [`AddressAnswer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP address and port for callers.
    pub address: SocketAddr,
    /// The entry's data centre.
    pub data_centre: String,
}

/// The backend servers of one model or service.
pub type Scope = (ScopeKey, Vec<ServerKey>);

/// The backend servers of one model or service within one region.
pub type RegionScope = (ScopeKey, RegionKey, Vec<ServerKey>);

/// Assigns entries to workspaces and cells; rebuilt whenever the membership changes.
#[derive(Clone, Debug)]
pub struct AddressBook {
    cells: Cells,
    /// The regions into which scopes are divided; empty if every entry is linked to all servers.
    regions: BTreeSet<RegionKey>,
    members: HashMap<EntryKey, EntryMember>,
}

impl AddressBook {
    /// Builds the book of a fleet that is not divided into regions.
    ///
    /// ```
    /// use flamingowheel_entry::addresses::{AddressBook, EntryMember};
    /// use std::time::Duration;
    /// let member = EntryMember {
    ///     name: "entry-1".into(),
    ///     address: "127.0.0.1:8080".parse().unwrap(),
    ///     data_centre: "ga-a".into(),
    ///     region: "ga".into(),
    ///     leaving: false,
    /// };
    /// let book = AddressBook::new(&[], vec![member]);
    /// let answer = book.answer("peachline", &[], 1.0, "ga-a", Duration::from_secs(20));
    /// assert_eq!(answer.addresses.len(), 1);
    /// ```
    pub fn new(scopes: &[Scope], members: Vec<EntryMember>) -> Self {
        let cells = Cells::build(SubsetConfig::default(), scopes, &entry_infos(&members));
        Self { cells, regions: BTreeSet::new(), members: by_key(members) }
    }

    /// Builds the book of a fleet in several regions: an entry is linked to backend servers of its
    /// own region. A small fleet has one set of cells for all regions.
    pub fn of_regions(scopes: &[RegionScope], members: Vec<EntryMember>) -> Self {
        let config = SubsetConfig::default();
        let usable = members.iter().filter(|member| !member.leaving).count();
        if config.uses_all_entries(usable, members.len()) {
            return Self::new(&merge_regions(scopes), members);
        }
        let regions = scopes.iter().map(|(_, region, _)| *region).collect();
        let regional = scopes
            .iter()
            .map(|(scope, region, servers)| (scope.within(*region), *region, servers.clone()));
        let regional: Vec<RegionScope> = regional.collect();
        let cells = Cells::build_within(config, &regional, &entry_infos(&members));
        Self { cells, regions, members: by_key(members) }
    }

    /// The scopes of these models and services in all regions.
    fn regional_scopes(&self, scopes: &[ScopeKey]) -> Vec<ScopeKey> {
        if self.regions.is_empty() {
            return scopes.to_vec();
        }
        let regions = self.regions.iter();
        regions.flat_map(|region| scopes.iter().map(|scope| scope.within(*region))).collect()
    }

    /// Whether the fleet is so small that every entry is linked to all backend servers.
    pub fn uses_all_entries(&self) -> bool {
        self.cells.uses_all_entries()
    }

    /// The backend servers of the cells that an entry serves, at most [`MAX_LINKS`]; `None` if it is
    /// linked to all backend servers.
    pub fn servers_of(&self, entry: &str) -> Option<BTreeSet<ServerKey>> {
        if self.cells.uses_all_entries() {
            return None;
        }
        let entry = EntryKey::from_name(entry);
        let mut cells: Vec<&Cell> = self.cells.cells_of(entry).collect();
        // An entry whose member table has no other entries serves all cells, more than it can link
        // to. The seed makes such entries take different ones.
        cells.sort_by_key(|cell| xxh3_64_with_seed(&cell.id.to_le_bytes(), entry.0));
        let servers = cells.iter().flat_map(|cell| cell.servers.iter().copied());
        Some(servers.take(MAX_LINKS).collect())
    }

    /// The entries that share a workspace's limits.
    pub fn subset(&self, workspace: &str, scopes: &[ScopeKey], rate_per_s: f64) -> Vec<EntryKey> {
        self.cells.subset(
            WorkspaceKey::from_name(workspace),
            &self.regional_scopes(scopes),
            rate_per_s,
        )
    }

    /// The addresses for a workspace that uses `scopes` and is expected to send `rate_per_s` requests
    /// per second, for callers in `data_centre`.
    pub fn answer(
        &self,
        workspace: &str,
        scopes: &[ScopeKey],
        rate_per_s: f64,
        data_centre: &str,
        ttl: Duration,
    ) -> AddressAnswer {
        let data_centre = DataCentreKey::from_name(data_centre);
        let workspace = WorkspaceKey::from_name(workspace);
        let scopes = self.regional_scopes(scopes);
        let entries = self.cells.entries_for(workspace, &scopes, rate_per_s, data_centre);
        let members = entries.iter().filter_map(|entry| self.members.get(entry));
        let addresses = members
            .map(|member| Address {
                address: member.address,
                data_centre: member.data_centre.clone(),
            })
            .collect();
        AddressAnswer { addresses, keep_s: ttl.as_secs() }
    }
}

fn entry_infos(members: &[EntryMember]) -> Vec<EntryInfo> {
    let info = |member: &EntryMember| EntryInfo {
        key: EntryKey::from_name(&member.name),
        data_centre: DataCentreKey::from_name(&member.data_centre),
        region: RegionKey::from_name(&member.region),
        weight: 1.0,
        leaving: member.leaving,
    };
    members.iter().map(info).collect()
}

fn by_key(members: Vec<EntryMember>) -> HashMap<EntryKey, EntryMember> {
    members.into_iter().map(|member| (EntryKey::from_name(&member.name), member)).collect()
}

/// Merges the scopes of all regions.
fn merge_regions(scopes: &[RegionScope]) -> Vec<Scope> {
    let mut merged: BTreeMap<ScopeKey, Vec<ServerKey>> = BTreeMap::new();
    for (scope, _, servers) in scopes {
        merged.entry(*scope).or_default().extend(servers);
    }
    merged.into_iter().collect()
}
