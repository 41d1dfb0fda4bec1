//! Memory of the policy state, cost of computing cells, and cost of a group's plan.

use std::time::Duration;

use flamingowheel_config::bucket;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::reason::ConfigSource;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_observe::ring::DEFAULT_CAPACITY;
use flamingowheel_policy::key::{
    DataCentreKey, EntryKey, Fingerprint, RegionKey, ScopeKey, ServerKey, WorkspaceKey,
};
use flamingowheel_policy::limits::{Limits, SplitConfig, WorkspaceLimits};
use flamingowheel_policy::load::{Load, LoadTracker};
use flamingowheel_policy::prefix::{BlockHash, CacheChange, CacheEvent, PrefixConfig, PrefixIndex};
use flamingowheel_policy::rebalance::{DecayedLoads, Params, Placement, Request, plan, repack};
use flamingowheel_policy::subset::{Cells, EntryInfo, SubsetConfig};
use flamingowheel_policy::suspicion::{CrashId, SuspectTracker, SuspicionConfig};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{
    ENTRIES, EXPERTS, Failure, LAYERS, RANKS, SERVERS, allocated, bytes_each, cpu_us_each, print,
};

pub fn measure() -> Result<(), Failure> {
    policy_state();
    subsets()?;
    groups()
}

fn policy_state() {
    let load = Load { running: 3, waiting: 0, places: 8, service_ms: 2_000 };
    let tracker = |count: usize| {
        let mut tracker = LoadTracker::default();
        for server in (0..count as u64).map(ServerKey) {
            tracker.insert(server);
            tracker.on_current_load(server, load, Duration::from_secs(1));
            tracker.on_sent(server, Duration::from_secs(2));
        }
        tracker
    };
    print("load_bytes_per_server", bytes_each(4_000, tracker));
    let limits = Limits { requests_per_s: 10.0, tokens_per_s: 2_000.0, in_flight: 32 };
    let members: Vec<EntryKey> = (0..2).map(EntryKey).collect();
    let workspaces = |count: usize| {
        let workspace = |_| {
            let config = SplitConfig::default();
            let mut limits = WorkspaceLimits::new(config, limits, EntryKey(0), Duration::ZERO);
            limits.set_members(&members, Duration::ZERO);
            limits
        };
        (0..count).map(workspace).collect::<Vec<_>>()
    };
    print("limits_bytes_per_workspace", bytes_each(10_000, workspaces));
    let blocks = |count: usize| {
        let config = PrefixConfig { max_blocks: 2 * count, ..PrefixConfig::default() };
        let mut index = PrefixIndex::new(config);
        let stored = CacheChange::Stored((0..count as u64).map(BlockHash).collect());
        index.on_event(ServerKey(1), CacheEvent { number: 1, change: stored }, Duration::ZERO);
        index
    };
    print("prefix_bytes_per_block", bytes_each(16_384, blocks));
    let suspects = |count: usize| {
        let mut tracker = SuspectTracker::new(SuspicionConfig::default());
        let crash = CrashId { server: ServerKey(1), number: 1 };
        let running: Vec<Fingerprint> = (0..count as u128).map(Fingerprint).collect();
        tracker.on_crash(crash, &running, Duration::ZERO);
        tracker
    };
    print("suspicion_bytes_per_fingerprint", bytes_each(8_000, suspects));
    let (_recorder, ring_bytes) = allocated(|| {
        let recorder = Recorder::for_tests("entry-000");
        for revision in 0..2 * DEFAULT_CAPACITY as u64 {
            recorder.record(Event::ConfigurationInForce { revision, source: ConfigSource::Watch });
        }
        recorder
    });
    print("events_ring_bytes", ring_bytes);
}

/// Computes the cells of the whole fleet, as each entry does when the membership changes.
fn subsets() -> Result<(), Failure> {
    // Three data centres in one region, two in the other.
    let region = |number: usize| RegionKey(u64::from(number % 5 >= 3));
    let entry = |number: usize| EntryInfo {
        key: EntryKey::from_name(&format!("entry-{number}")),
        data_centre: DataCentreKey(number as u64 % 5),
        region: region(number),
        weight: 1.0,
        leaving: false,
    };
    let entries: Vec<EntryInfo> = (0..ENTRIES).map(entry).collect();
    const MODELS: usize = 14;
    let servers = |model: usize, within: u64| -> Vec<ServerKey> {
        let of_model = (0..SERVERS).filter(|server| server % MODELS == model);
        let of_model = of_model.filter(|server| region(*server) == RegionKey(within));
        of_model.map(|server| ServerKey::from_name(&format!("server-{server}"))).collect()
    };
    let scope = |model: usize, within: u64| {
        let key = ScopeKey(model as u64).within(RegionKey(within));
        (key, RegionKey(within), servers(model, within))
    };
    let scopes: Vec<(ScopeKey, RegionKey, Vec<ServerKey>)> =
        (0..MODELS).flat_map(|model| [scope(model, 0), scope(model, 1)]).collect();
    let build = || Cells::build_within(SubsetConfig::default(), &scopes, &entries);
    let (cells, bytes) = allocated(build);
    print("subset_cells", cells.iter().count() as f64);
    print("subset_bytes_of_fleet", bytes);
    let links = |entry: &EntryInfo| cells.cells_of(entry.key).map(|c| c.servers.len()).sum();
    let links: Vec<usize> = entries.iter().map(links).collect();
    print("subset_links_per_entry_mean", links.iter().sum::<usize>() as f64 / ENTRIES as f64);
    print("subset_links_per_entry_max", links.iter().copied().max().unwrap_or(0) as f64);
    let most_entries = cells.iter().map(|cell| cell.entries.len()).max().unwrap_or(0);
    print("subset_links_per_agent_max", most_entries as f64);
    let build_us = cpu_us_each(5, |_| drop(std::hint::black_box(build())))?;
    print("subset_build_cpu_us_of_fleet", build_us);
    let data_centre = DataCentreKey(1);
    let answer_us = cpu_us_each(2_000, |round| {
        let workspace = WorkspaceKey(u64::from(round));
        std::hint::black_box(cells.entries_for(
            workspace,
            &[ScopeKey(3).within(RegionKey(0))],
            1.0,
            data_centre,
        ));
    })?;
    print("subset_answer_cpu_us", answer_us);
    Ok(())
}

/// Memory of one group's coordinator and the cost of a plan.
fn groups() -> Result<(), Failure> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let speeds = vec![1.0; RANKS];
    let mut layer = || -> Vec<f64> { (0..EXPERTS).map(|_| rng.random::<f64>()).collect() };
    let observed: Vec<Vec<f64>> = (0..LAYERS).map(|_| layer()).collect();
    let now: Vec<Vec<f64>> = (0..LAYERS).map(|_| layer()).collect();
    let make = || {
        let loads: Vec<DecayedLoads> =
            observed.iter().map(|loads| DecayedLoads::new(0.3, loads)).collect();
        let placements: Vec<Placement> = now.iter().map(|l| repack(l, &speeds, 3)).collect();
        (loads, placements)
    };
    let ((loads, current), bytes) = allocated(make);
    print("group_bytes", bytes);
    print("group_map_stored_bytes", bucket::encode(&current).len() as f64);
    let params = Params::skew_weighted();
    let request = Request { current: &current, loads: &loads, speeds: &speeds, params: &params };
    let plan_us = cpu_us_each(5, |_| drop(std::hint::black_box(plan(&request))))?;
    print("group_plan_cpu_us", plan_us);
    Ok(())
}
