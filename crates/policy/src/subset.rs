//! Assignment of entries to backend servers, and of entries to workspaces.
//!
//! The backend servers of a scope are partitioned into cells of about 64, each served by about 8
//! entries. The partition is a binary trie over hashed keys: a cell that grows past its limit
//! splits in two, so a server that joins or leaves moves no other server unless a limit is crossed.
//! Entries are assigned to cells by weighted rendezvous hashing with a limit on cells per entry.
//! Everything is a pure function of the membership, so processes agree without communication. Views
//! that differ temporarily only cost efficiency, since every entry serves every workspace.

use std::collections::{BTreeMap, HashMap};

use crate::key::{DataCentreKey, EntryKey, RegionKey, ScopeKey, ServerKey, WorkspaceKey, mix};

/// An entry as input to the assignment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryInfo {
    /// Key of the entry's name.
    pub key: EntryKey,
    /// Data centre that the entry runs in.
    pub data_centre: DataCentreKey,
    /// Region of the data centre.
    pub region: RegionKey,
    /// Share of work relative to other entries; an entry at or below zero gets none.
    pub weight: f64,
    /// The entry is shutting down and must not be assigned.
    pub leaving: bool,
}

impl EntryInfo {
    fn is_usable(&self) -> bool {
        !self.leaving && self.weight > 0.0
    }
}

/// Limits of a cell and of a workspace's subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Most backend servers of a cell; a larger cell is split.
    pub max_servers: usize,
    /// Target number of backend servers per entry in a cell.
    pub servers_per_entry: usize,
    /// Fewest entries of a cell, if the fleet has that many.
    pub min_entries: usize,
    /// Most entries of a cell, except where all entries are assigned.
    pub max_entries: usize,
    /// Request rate of a workspace for which its subset gets one entry.
    pub rate_per_entry_per_s: f64,
    /// Fewest entries of a workspace's subset.
    pub min_subset: usize,
}

impl SubsetConfig {
    /// Whether all entries are assigned to every cell, for a fleet of `fleet` entries of which
    /// `usable` can get work.
    #[must_use]
    pub fn uses_all_entries(&self, usable: usize, fleet: usize) -> bool {
        usable <= self.max_entries && fleet <= 2 * self.max_entries
    }
}

impl Default for SubsetConfig {
    fn default() -> Self {
        Self {
            max_servers: 96,
            servers_per_entry: 8,
            min_entries: 8,
            max_entries: 12,
            rate_per_entry_per_s: 10.0,
            min_subset: 2,
        }
    }
}

/// A group of backend servers and the entries that serve them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Hash of the scope and the cell's path in the trie.
    pub id: u64,
    /// Backend servers of the cell, sorted.
    pub servers: Vec<ServerKey>,
    /// Only entries of this region are assigned, if there are any.
    pub region: Option<RegionKey>,
    /// Assigned entries, in the order of the cell's slots.
    pub entries: Vec<EntryKey>,
}

/// The cells of all scopes, with their entries.
///
/// ```
/// use flamingowheel_policy::key::{
///     DataCentreKey, EntryKey, RegionKey, ScopeKey, ServerKey, WorkspaceKey,
/// };
/// use flamingowheel_policy::subset::{Cells, EntryInfo, SubsetConfig};
/// let data_centre = DataCentreKey::from_name("ga-1");
/// let entries: Vec<EntryInfo> = (0..6)
///     .map(|n| EntryInfo {
///         key: EntryKey(n),
///         data_centre,
///         region: RegionKey::from_name("ga-central"),
///         weight: 1.0,
///         leaving: n == 0,
///     })
///     .collect();
/// let scope = ScopeKey::from_name("notes-model/ga-central");
/// let servers = [(scope, vec![ServerKey(1), ServerKey(2)])];
/// let cells = Cells::build(SubsetConfig::default(), &servers, &entries);
/// let workspace = WorkspaceKey::from_name("crews");
/// let chosen = cells.entries_for(workspace, &[scope], 1.0, data_centre);
/// assert_eq!(chosen.len(), 2);
/// assert!(!chosen.contains(&EntryKey(0)));
/// ```
#[derive(Clone, Debug)]
pub struct Cells {
    config: SubsetConfig,
    entries: BTreeMap<EntryKey, EntryInfo>,
    /// Number of entries in the fleet, including those that get no work.
    fleet: usize,
    scopes: BTreeMap<ScopeKey, Vec<Cell>>,
}

impl Cells {
    /// Partitions every scope's backend servers into cells and assigns entries to each.
    #[must_use]
    pub fn build(
        config: SubsetConfig,
        scopes: &[(ScopeKey, Vec<ServerKey>)],
        entries: &[EntryInfo],
    ) -> Self {
        let anywhere = scopes.iter().map(|(scope, servers)| (*scope, None, servers.as_slice()));
        Self::build_cells(config, anywhere, entries)
    }

    /// Like [`Cells::build`] for scopes that each lie in one region, so that links between regions
    /// are rare.
    #[must_use]
    pub fn build_within(
        config: SubsetConfig,
        scopes: &[(ScopeKey, RegionKey, Vec<ServerKey>)],
        entries: &[EntryInfo],
    ) -> Self {
        let within = scopes
            .iter()
            .map(|(scope, region, servers)| (*scope, Some(*region), servers.as_slice()));
        Self::build_cells(config, within, entries)
    }

    fn build_cells<'a, I>(config: SubsetConfig, scopes: I, entries: &[EntryInfo]) -> Self
    where
        I: Iterator<Item = (ScopeKey, Option<RegionKey>, &'a [ServerKey])>,
    {
        let fleet = entries.len();
        let usable = entries.iter().filter(|entry| entry.is_usable());
        let entries: BTreeMap<EntryKey, EntryInfo> =
            usable.map(|entry| (entry.key, *entry)).collect();
        let mut cells_by_scope: BTreeMap<ScopeKey, Vec<Cell>> = BTreeMap::new();
        for (scope, region, servers) in scopes {
            let mut cells = split_scope(&config, scope, servers);
            cells.iter_mut().for_each(|cell| cell.region = region);
            cells_by_scope.insert(scope, cells);
        }
        let mut cells = Self { config, entries, fleet, scopes: cells_by_scope };
        cells.assign_entries();
        cells
    }

    /// All cells, in the order of their scopes.
    pub fn iter(&self) -> impl Iterator<Item = &Cell> {
        self.scopes.values().flatten()
    }

    /// The cells that an entry serves; empty for one that is leaving.
    pub fn cells_of(&self, entry: EntryKey) -> impl Iterator<Item = &Cell> {
        self.iter().filter(move |cell| cell.entries.contains(&entry))
    }

    /// The cell of a backend server within a scope.
    #[must_use]
    pub fn cell_of(&self, scope: ScopeKey, server: ServerKey) -> Option<&Cell> {
        self.scopes.get(&scope)?.iter().find(|cell| cell.servers.binary_search(&server).is_ok())
    }

    /// The cells that serve a workspace's requests to a scope, the preferred one first.
    #[must_use]
    pub fn cells_for(
        &self,
        workspace: WorkspaceKey,
        scope: ScopeKey,
        rate_per_s: f64,
    ) -> Vec<&Cell> {
        let Some(cells) = self.scopes.get(&scope) else { return Vec::new() };
        let mut ranked: Vec<&Cell> = cells.iter().collect();
        ranked.sort_by_key(|cell| std::cmp::Reverse(mix(workspace.0, cell.id)));
        ranked.truncate(self.subset_size(rate_per_s).div_ceil(self.config.min_entries.max(1)));
        ranked
    }

    /// The entries of a workspace's subset, independent of the caller's data centre.
    #[must_use]
    pub fn subset(
        &self,
        workspace: WorkspaceKey,
        scopes: &[ScopeKey],
        rate_per_s: f64,
    ) -> Vec<EntryKey> {
        let size = self.subset_size(rate_per_s);
        let mut subset = Vec::new();
        for scope in scopes {
            for entry in self.members(workspace, *scope, rate_per_s).into_iter().take(size) {
                if !subset.contains(&entry) {
                    subset.push(entry);
                }
            }
        }
        if subset.is_empty() {
            subset = self.entries.keys().copied().collect();
            self.rank(workspace.0, &mut subset);
            subset.truncate(size);
        }
        subset
    }

    /// The entries whose addresses a caller in `data_centre` gets: the subset, entries of that
    /// data centre first, and an entry of another data centre last, if there is one, in case the
    /// whole data centre fails.
    #[must_use]
    pub fn entries_for(
        &self,
        workspace: WorkspaceKey,
        scopes: &[ScopeKey],
        rate_per_s: f64,
        data_centre: DataCentreKey,
    ) -> Vec<EntryKey> {
        let mut entries = self.subset(workspace, scopes, rate_per_s);
        let local = self.entries.values().find(|entry| entry.data_centre == data_centre);
        let region = local.map(|entry| entry.region);
        entries.sort_by_key(|entry| {
            let entry = &self.entries[entry];
            (entry.data_centre != data_centre, Some(entry.region) != region)
        });
        let is_elsewhere = |entry: &EntryKey| self.entries[entry].data_centre != data_centre;
        if entries.iter().any(is_elsewhere) {
            return entries;
        }
        let mut elsewhere: Vec<EntryKey> =
            self.entries.keys().copied().filter(is_elsewhere).collect();
        self.rank(workspace.0, &mut elsewhere);
        entries.extend(elsewhere.first());
        entries
    }

    /// The entries of a workspace's cells, ranked by their slots, so that an entry that replaces
    /// another one in a slot gets exactly its workspaces. Where all entries are assigned, none
    /// replaces another, and the entries themselves are ranked.
    fn members(&self, workspace: WorkspaceKey, scope: ScopeKey, rate_per_s: f64) -> Vec<EntryKey> {
        let cells = self.cells_for(workspace, scope, rate_per_s);
        let slots = cells.iter().flat_map(|cell| {
            let seed = mix(workspace.0, cell.id);
            cell.entries.iter().enumerate().map(move |(slot, entry)| {
                let key = if self.uses_all_entries() { entry.0 } else { slot as u64 };
                (score(seed, key, self.entries[entry].weight), *entry)
            })
        });
        let mut ranked: Vec<(f64, EntryKey)> = slots.collect();
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut members: Vec<EntryKey> = Vec::with_capacity(ranked.len());
        for (_, entry) in ranked {
            if !members.contains(&entry) {
                members.push(entry);
            }
        }
        members
    }

    fn subset_size(&self, rate_per_s: f64) -> usize {
        let size = (rate_per_s / self.config.rate_per_entry_per_s).ceil();
        (size as usize).max(self.config.min_subset)
    }

    /// Sorts entries by weighted rendezvous hashing, the highest score first.
    fn rank(&self, seed: u64, entries: &mut [EntryKey]) {
        let score = |entry: &EntryKey| score(seed, entry.0, self.entries[entry].weight);
        entries.sort_by(|a, b| score(b).total_cmp(&score(a)));
    }

    fn assign_entries(&mut self) {
        let mut scopes = std::mem::take(&mut self.scopes);
        let target_count: usize =
            scopes.values().flatten().map(|cell| self.target_entries(cell)).sum();
        let mean = target_count.div_ceil(self.entries.len().max(1));
        let mut capacity: HashMap<EntryKey, usize> =
            self.entries.keys().map(|entry| (*entry, mean + MAX_CELLS_ABOVE_MEAN)).collect();
        for cell in scopes.values_mut().flatten() {
            cell.entries = self.choose_entries(cell, &mut capacity);
        }
        self.scopes = scopes;
    }

    /// Whether the fleet is so small that every entry serves every cell. The limit on the fleet's
    /// size is twice that on usable entries, since a small fleet that is being replaced counts
    /// twice. An entry that is partitioned from a large fleet must not serve all backend servers.
    #[must_use]
    pub fn uses_all_entries(&self) -> bool {
        self.config.uses_all_entries(self.entries.len(), self.fleet)
    }

    fn target_entries(&self, cell: &Cell) -> usize {
        let by_size = cell.servers.len().div_ceil(self.config.servers_per_entry.max(1));
        if self.uses_all_entries() {
            return self.entries.len();
        }
        by_size.clamp(self.config.min_entries, self.config.max_entries)
    }

    /// Fills the cell's slots one by one, each by its own ranking, evenly over data centres and
    /// within each entry's capacity. With one ranking for all slots, an entry that leaves would
    /// shift all later slots, and with them the workspaces that use those.
    fn choose_entries(
        &self,
        cell: &Cell,
        capacity: &mut HashMap<EntryKey, usize>,
    ) -> Vec<EntryKey> {
        let target_count = self.target_entries(cell);
        let is_local = |entry: &EntryInfo| cell.region.is_none_or(|region| entry.region == region);
        let has_local = self.entries.values().any(is_local);
        let is_near = |entry: &EntryInfo| !has_local || is_local(entry);
        let mut quota = self.data_centre_quota(target_count, is_near);
        let mut chosen: Vec<EntryKey> = Vec::with_capacity(target_count);
        for slot in 0..target_count as u64 {
            let seed = mix(cell.id, slot);
            let is_eligible = |entry: &EntryInfo| {
                is_near(entry)
                    && !chosen.contains(&entry.key)
                    && quota[&entry.data_centre] > 0
                    && capacity[&entry.key] > 0
            };
            // If a small data centre can't fill its share, others do. Redundancy takes precedence
            // over the entries' capacity, and over staying within the region.
            let is_unchosen = |entry: &EntryInfo| !chosen.contains(&entry.key);
            let best = self.best(seed, is_eligible);
            let best =
                best.or_else(|| self.best(seed, |entry| is_near(entry) && is_unchosen(entry)));
            let Some(best) = best.or_else(|| self.best(seed, is_unchosen)) else { break };
            quota.entry(best.data_centre).and_modify(|left| *left = left.saturating_sub(1));
            capacity.entry(best.key).and_modify(|left| *left = left.saturating_sub(1));
            chosen.push(best.key);
        }
        chosen
    }

    fn best<F>(&self, seed: u64, is_eligible: F) -> Option<&EntryInfo>
    where
        F: Fn(&EntryInfo) -> bool,
    {
        let eligible = self.entries.values().filter(|entry| is_eligible(entry));
        eligible.max_by(|a, b| {
            score(seed, a.key.0, a.weight).total_cmp(&score(seed, b.key.0, b.weight))
        })
    }

    fn data_centre_quota<F>(&self, target_count: usize, is_near: F) -> HashMap<DataCentreKey, usize>
    where
        F: Fn(&EntryInfo) -> bool,
    {
        let mut quota: HashMap<DataCentreKey, usize> = HashMap::new();
        for entry in self.entries.values().filter(|entry| is_near(entry)) {
            quota.insert(entry.data_centre, 0);
        }
        let share = target_count.div_ceil(quota.len().max(1));
        quota.values_mut().for_each(|left| *left = share);
        quota
    }
}

/// The score of weighted rendezvous hashing: the key with the highest score is chosen.
fn score(seed: u64, key: u64, weight: f64) -> f64 {
    -weight / unit(mix(seed, key)).ln()
}

/// How many more cells than the mean an entry may serve.
const MAX_CELLS_ABOVE_MEAN: usize = 2;

/// Maps a hash to the open interval from 0 to 1.
fn unit(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

fn split_scope(config: &SubsetConfig, scope: ScopeKey, servers: &[ServerKey]) -> Vec<Cell> {
    let mut hashed: Vec<(u64, ServerKey)> =
        servers.iter().map(|server| (mix(scope.0, server.0), *server)).collect();
    hashed.sort_unstable();
    hashed.dedup();
    let mut cells = Vec::new();
    split(config.max_servers.max(1), scope, &hashed, 0, 1, &mut cells);
    cells
}

/// Splits the sorted hashes that share their first `depth` bits into cells. `path` consists of
/// these bits after a leading one.
fn split(
    max_servers: usize,
    scope: ScopeKey,
    hashed: &[(u64, ServerKey)],
    depth: u32,
    path: u64,
    cells: &mut Vec<Cell>,
) {
    if hashed.is_empty() {
        return;
    }
    if hashed.len() <= max_servers || depth == u64::BITS - 1 {
        let mut servers: Vec<ServerKey> = hashed.iter().map(|(_, server)| *server).collect();
        servers.sort_unstable();
        cells.push(Cell { id: cell_id(scope, path), servers, region: None, entries: Vec::new() });
        return;
    }
    let bit = 1u64 << (u64::BITS - 1 - depth);
    let middle = hashed.partition_point(|(hash, _)| hash & bit == 0);
    split(max_servers, scope, &hashed[..middle], depth + 1, path << 1, cells);
    split(max_servers, scope, &hashed[middle..], depth + 1, path << 1 | 1, cells);
}

/// The lower half of a split keeps the id of the split cell, so that only the upper half moves.
fn cell_id(scope: ScopeKey, path: u64) -> u64 {
    mix(scope.0, path >> path.trailing_zeros())
}
