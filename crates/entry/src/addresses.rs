//! The address question: which entries a workspace's callers should use.

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

/// Expected of a workspace without a limit, in requests a second.
const DEFAULT_RATE_PER_S: f64 = 10.0;

/// Most links of an entry to the agents of its cells: 3 times what the planned size needs at the
/// most. Agents beyond it are reached on demand.
pub const MAX_LINKS: usize = 1_024;

/// What decides a workspace's subset: the scopes of its models and services, and the rate in
/// requests a second that it is expected to send.
pub fn demand(workspace: &EffectiveWorkspace) -> (Vec<ScopeKey>, f64) {
    let parameters = &workspace.parameters;
    let models = parameters.models.keys().cloned().map(Target::Model);
    let services = parameters.services.keys().cloned().map(Target::Service);
    let scopes = models.chain(services).map(|target| target.scope()).collect();
    (scopes, parameters.limits.requests_per_s.unwrap_or(DEFAULT_RATE_PER_S))
}

/// An entry that callers may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryMember {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: String,
    /// The region of that.
    pub region: String,
    /// It takes no new callers.
    pub leaving: bool,
}

/// The answer to the address question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressAnswer {
    /// Addresses in the order in which to try them.
    pub addresses: Vec<Address>,
    /// How long the answer may be kept, in seconds.
    pub keep_s: u64,
}

/// One address of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// IP address and port.
    pub address: SocketAddr,
    /// The data centre it is in.
    pub data_centre: String,
}

/// Backend servers of one model or service, as the subset choice groups them.
pub type Scope = (ScopeKey, Vec<ServerKey>);

/// The same within one region.
pub type RegionScope = (ScopeKey, RegionKey, Vec<ServerKey>);

/// Everything needed to answer; built whenever the membership changes.
#[derive(Clone, Debug)]
pub struct AddressBook {
    cells: Cells,
    /// The regions that scopes are cut by; none where every entry stands before all.
    regions: BTreeSet<RegionKey>,
    members: HashMap<EntryKey, EntryMember>,
}

impl AddressBook {
    /// Builds the book.
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
        let cells = Cells::build(SubsetConfig::default(), scopes, &infos(&members));
        Self { cells, regions: BTreeSet::new(), members: by_key(members) }
    }

    /// Builds the book of a fleet in several regions: an entry stands before backend servers of
    /// its own one. A small fleet has one set of cells for all.
    pub fn of_regions(scopes: &[RegionScope], members: Vec<EntryMember>) -> Self {
        let config = SubsetConfig::default();
        let usable = members.iter().filter(|member| !member.leaving).count();
        if config.uses_all_entries(usable, members.len()) {
            return Self::new(&anywhere(scopes), members);
        }
        let regions = scopes.iter().map(|(_, region, _)| *region).collect();
        let placed = scopes
            .iter()
            .map(|(scope, region, servers)| (scope.within(*region), *region, servers.clone()));
        let placed: Vec<RegionScope> = placed.collect();
        let cells = Cells::build_within(config, &placed, &infos(&members));
        Self { cells, regions, members: by_key(members) }
    }

    /// The scopes of these models and services in all regions.
    fn placed(&self, scopes: &[ScopeKey]) -> Vec<ScopeKey> {
        if self.regions.is_empty() {
            return scopes.to_vec();
        }
        let regions = self.regions.iter();
        regions.flat_map(|region| scopes.iter().map(|scope| scope.within(*region))).collect()
    }

    /// Whether the fleet is so small that every entry stands before all backend servers.
    pub fn uses_all_entries(&self) -> bool {
        self.cells.uses_all_entries()
    }

    /// The backend servers of the cells that an entry stands before, at most [`MAX_LINKS`];
    /// `None` if it stands before all there are.
    pub fn servers_of(&self, entry: &str) -> Option<BTreeSet<ServerKey>> {
        if self.cells.uses_all_entries() {
            return None;
        }
        let entry = EntryKey::from_name(entry);
        let mut cells: Vec<&Cell> = self.cells.cells_of(entry).collect();
        // An entry that hears nobody stands before all cells, each such entry before other ones.
        cells.sort_by_key(|cell| xxh3_64_with_seed(&cell.id.to_le_bytes(), entry.0));
        let servers = cells.iter().flat_map(|cell| cell.servers.iter().copied());
        Some(servers.take(MAX_LINKS).collect())
    }

    /// The entries that share a workspace's limits.
    pub fn subset(&self, workspace: &str, scopes: &[ScopeKey], rate_per_s: f64) -> Vec<EntryKey> {
        self.cells.subset(WorkspaceKey::from_name(workspace), &self.placed(scopes), rate_per_s)
    }

    /// Answers for a workspace that uses `scopes` and is expected to send `rate_per_s`.
    pub fn answer(
        &self,
        workspace: &str,
        scopes: &[ScopeKey],
        rate_per_s: f64,
        data_centre: &str,
        ttl: Duration,
    ) -> AddressAnswer {
        let own = DataCentreKey::from_name(data_centre);
        let workspace = WorkspaceKey::from_name(workspace);
        let scopes = self.placed(scopes);
        let entries = self.cells.entries_for(workspace, &scopes, rate_per_s, own);
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

fn infos(members: &[EntryMember]) -> Vec<EntryInfo> {
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

/// Scopes whatever their region.
fn anywhere(scopes: &[RegionScope]) -> Vec<Scope> {
    let mut merged: BTreeMap<ScopeKey, Vec<ServerKey>> = BTreeMap::new();
    for (scope, _, servers) in scopes {
        merged.entry(*scope).or_default().extend(servers);
    }
    merged.into_iter().collect()
}
