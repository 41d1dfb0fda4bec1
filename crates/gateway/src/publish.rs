//! Builds views from the contents of the key-value store and publishes them.

mod groups;
mod parts;

use crate::budget::RetryBudget;
use crate::directory;
use crate::evacuation::Evacuations;
use crate::feed::groups::Statuses;
use crate::feed::mirror::{Change, Changes, Mirror};
use crate::feed::reader::{Members, Peer};
use crate::group::GroupLoad;
use crate::homes::Regions;
use crate::listings::Listings;
use crate::metrics::Metrics;
use crate::priority::{self, LevelsByService};
use crate::server::Server;
use crate::suspects::Suspects;
use crate::suspects::archive::SUSPECTS_PREFIX;
use crate::view::{EntryRecord, InForce, View, Views};
use crate::warmth::{ColdBounds, EntryTenure};
use flamingowheel_fleet::Configuration;
use flamingowheel_platform::{
    CONFIGURATION_KEY, EVACUATIONS_PREFIX, SERVERS_PREFIX, operator, servers,
};
use flamingowheel_policy::suspicion::SuspectRecord;
use flamingowheel_protocol::ranks::{GROUPS_PREFIX, GroupRecord};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Prefix of the keys under which entries announce themselves; the VM's name follows.
pub const ENTRIES_PREFIX: &str = "flamingowheel/entries/";

/// Time between checks for vanished keys whose grace period has ended.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long a key that vanished during or right after an outage of the store is kept. Leases run
/// out while the store is unavailable, and processes that are alive announce themselves again
/// within about two seconds of its return.
const EXPIRY_GRACE: Duration = Duration::from_millis(1_700);

/// Time after an outage of the store during which vanished keys get the grace period.
const OUTAGE_WINDOW: Duration = Duration::from_millis(2_500);

/// Channels between the publisher and the other tasks of this process.
#[derive(Debug)]
pub struct Outputs {
    /// Published: the live entries.
    pub members: watch::Sender<Arc<Members>>,
    /// Published: the coordinating agents' addresses, by group.
    pub coordinators: watch::Sender<Arc<HashMap<String, SocketAddr>>>,
    /// Received: the statuses of groups.
    pub statuses: watch::Receiver<Arc<Statuses>>,
    /// The agents' port, the same on all VMs of a deployment.
    pub agent_port: u16,
    /// Requests that crash backend servers; records of refused ones come from the store.
    pub suspects: Arc<Suspects>,
    /// The retry budget, which depends on the listed entries.
    pub budget: Arc<RetryBudget>,
    /// This entry's metrics.
    pub metrics: Arc<Metrics>,
}

/// The control thread's state, from which views are built.
#[derive(Debug)]
pub struct Publisher {
    mirror: Arc<Mirror>,
    views: Views,
    outputs: Outputs,
    configuration: Option<Arc<Configuration>>,
    levels: Arc<LevelsByService>,
    in_force: Option<InForce>,
    listings: Listings,
    evacuations: Evacuations,
    regions: Arc<Regions>,
    entries: HashMap<String, EntryRecord>,
    groups: HashMap<String, (GroupRecord, Arc<GroupLoad>)>,
    /// Loads of the engines that belong to no announced group, one for all of a service.
    ungrouped: HashMap<String, Arc<GroupLoad>>,
    /// Keys that vanished around an outage, and when their grace period ends.
    expired: HashMap<String, Instant>,
    /// What cold servers may get, and what is told of the entries that share it.
    cold: Option<(ColdBounds, Arc<EntryTenure>)>,
    data_centre: Option<Arc<str>>,
}

impl Publisher {
    /// Creates a publisher with an empty state.
    pub fn new(mirror: Arc<Mirror>, views: Views, outputs: Outputs) -> Self {
        Self {
            mirror,
            views,
            outputs,
            configuration: None,
            levels: Arc::default(),
            in_force: None,
            listings: Listings::default(),
            evacuations: Evacuations::default(),
            regions: Arc::default(),
            entries: HashMap::new(),
            groups: HashMap::new(),
            ungrouped: HashMap::new(),
            expired: HashMap::new(),
            cold: None,
            data_centre: None,
        }
    }

    /// Sets the region of each data centre.
    pub fn with_regions(self, regions: Regions) -> Self {
        Self { regions: Arc::new(regions), ..self }
    }

    /// Limits requests to cold servers by `bounds`, and tells `tenure` which entries are listed.
    pub fn with_cold(self, bounds: ColdBounds, tenure: Arc<EntryTenure>) -> Self {
        Self { cold: Some((bounds, tenure)), ..self }
    }

    /// Sets the data centre of this entry.
    pub fn in_data_centre(mut self, data_centre: &str) -> Self {
        self.data_centre = Some(data_centre.into());
        self
    }

    /// Publishes until dropped.
    pub async fn run(mut self) {
        let mut revisions = self.mirror.revisions();
        let mut checks = interval(EXPIRY_CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut position = 0;
        loop {
            tokio::select! {
                changed = revisions.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    revisions.mark_unchanged();
                    let changes = self.mirror.changes(position);
                    position = changes.position;
                    self.apply(changes);
                    self.publish();
                }
                changed = self.outputs.statuses.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.apply_statuses();
                }
                _ = checks.tick() => {
                    if self.remove_expired() {
                        self.publish();
                    }
                    self.observe_entries();
                }
            }
        }
    }

    /// Tells the retry budget which entries are listed, and how old the list is.
    fn observe_entries(&self) {
        let now = Instant::now();
        let vms = || self.entries.keys().map(String::as_str);
        self.outputs.budget.observe_entries(vms(), self.mirror.age(now), now);
        let mut services = self.configuration.iter().flat_map(|c| c.services.values());
        let has_warm_up = services.any(|service| service.warm_up.is_some());
        if let Some((_, tenure)) = self.cold.as_ref().filter(|_| has_warm_up) {
            tenure.observe(vms(), self.mirror.age(now), now);
        }
    }

    /// Updates the groups' loads with the newest statuses.
    fn apply_statuses(&mut self) {
        let statuses = Arc::clone(&self.outputs.statuses.borrow_and_update());
        for (name, (record, load)) in &self.groups {
            let timed = statuses.get(name);
            if let Some(timed) = timed.filter(|timed| timed.status.epoch == record.epoch) {
                load.set_status(&timed.status, timed.taken_at);
            }
        }
    }

    fn apply(&mut self, changes: Changes) {
        if changes.is_whole {
            self.delete_unlisted(&changes.changes);
        }
        for change in changes.changes {
            match change {
                Change::Put { key, value, revision } => self.put(&key, &value, revision),
                Change::Delete(key) => self.delete(key),
            }
        }
    }

    fn delete_unlisted(&mut self, changes: &[Change]) {
        let listed: HashSet<&str> = changes
            .iter()
            .filter_map(|change| match change {
                Change::Put { key, .. } => Some(key.as_str()),
                Change::Delete(_) => None,
            })
            .collect();
        let servers = self.listings.ids().map(|id| format!("{SERVERS_PREFIX}{id}"));
        let entries = self.entries.keys().map(|vm| format!("{ENTRIES_PREFIX}{vm}"));
        let keys = servers.chain(entries).chain(self.evacuations.keys());
        let vanished: Vec<String> = keys.filter(|key| !listed.contains(key.as_str())).collect();
        for key in vanished {
            self.delete(key);
        }
    }

    fn put(&mut self, key: &str, value: &[u8], revision: u64) {
        self.expired.remove(key);
        if key == CONFIGURATION_KEY {
            self.put_configuration(value);
        } else if key.starts_with(SERVERS_PREFIX) {
            self.put_server(key, value, revision);
        } else if let Some(name) = key.strip_prefix(GROUPS_PREFIX) {
            self.put_group(name, value);
        } else if let Some(data_centre) = key.strip_prefix(EVACUATIONS_PREFIX) {
            self.put_evacuation(data_centre, value, revision);
        } else if key.starts_with(SUSPECTS_PREFIX) {
            match serde_json::from_slice::<SuspectRecord>(value) {
                Ok(record) => self.outputs.suspects.merge(&[record]),
                Err(error) => tracing::warn!(key, %error, "suspect's record can't be read"),
            }
        } else if let Some(vm) = key.strip_prefix(ENTRIES_PREFIX) {
            match serde_json::from_slice(value) {
                Ok(record) => {
                    self.entries.insert(vm.to_owned(), record);
                }
                Err(error) => tracing::warn!(vm, %error, "entry's record can't be read"),
            }
        }
    }

    /// Applies a configuration only if its version is newer: an old one can arrive late from a
    /// stale read.
    fn put_configuration(&mut self, value: &[u8]) {
        let configuration = match operator::decode(value) {
            Ok(configuration) => configuration,
            Err(error) => {
                tracing::error!(%error, "configuration can't be read; keeping the last one");
                return;
            }
        };
        let current = self.configuration.as_ref().map(|current| current.version);
        if current.is_some_and(|current| configuration.version <= current) {
            return;
        }
        self.record_in_force(&configuration);
        self.levels = Arc::new(priority::levels(&configuration));
        self.configuration = Some(Arc::new(configuration));
    }

    fn record_in_force(&mut self, configuration: &Configuration) {
        let now = Instant::now();
        let (version, hosts) = (configuration.version, configuration.routes.len());
        let Some(update) = self.mirror.last_update() else {
            tracing::info!(version, hosts, "configuration in force");
            return;
        };
        let max_delay = update.max_delay.map(|delay| delay + (now - update.at));
        if let Some(delay) = max_delay {
            self.outputs.metrics.observe_configuration_delay(delay);
        }
        let max_delay_ms = max_delay.map(|delay| delay.as_millis() as u64);
        tracing::info!(
            version,
            hosts,
            source = %update.source,
            copy = self.mirror.revision(),
            max_delay_ms,
            "configuration in force"
        );
        self.in_force = Some(InForce { since: now, source: update.source });
    }

    /// The key alone orders the evacuation, so that all entries obey alike whatever its value holds.
    fn put_evacuation(&mut self, data_centre: &str, value: &[u8], revision: u64) {
        if let Err(error) = operator::check_evacuation(value) {
            tracing::warn!(data_centre, %error, "value of an evacuation can't be read");
            self.outputs.metrics.record_malformed_evacuation();
        }
        self.evacuations.begin(data_centre, revision, self.mirror.last_update().as_ref());
    }

    fn put_group(&mut self, name: &str, value: &[u8]) {
        let record: GroupRecord = match serde_json::from_slice(value) {
            Ok(record) => record,
            Err(error) => {
                tracing::warn!(group = name, %error, "group's record can't be read");
                return;
            }
        };
        let paces: Vec<f64> = record.ranks.iter().map(|rank| rank.pace).collect();
        tracing::info!(group = name, epoch = record.epoch, ?paces, "group announced");
        let previous = self.groups.remove(name);
        let is_new = previous.as_ref().is_none_or(|(previous, _)| previous.epoch != record.epoch);
        let load = previous.map(|(_, load)| load).unwrap_or_default();
        if is_new {
            load.reset();
        }
        self.groups.insert(name.to_owned(), (record, load));
    }

    fn put_server(&mut self, key: &str, value: &[u8], revision: u64) {
        let listed = match servers::decode(key, value) {
            Ok(listed) => listed,
            Err(error) => {
                tracing::warn!(key, %error, "backend server's listing can't be read; ignored");
                if let Some(id) = key.strip_prefix(SERVERS_PREFIX) {
                    self.listings.remove(id);
                }
                return;
            }
        };
        if self.listings.renew(&listed, revision) {
            return;
        }
        tracing::info!(
            server = listed.id,
            service = listed.service,
            address = %listed.address,
            draining = listed.is_draining,
            started_ms = listed.started_ms,
            cold_left_ms = listed.cold_left_ms,
            "backend server listed"
        );
        self.listings.insert(listed, revision);
    }

    fn delete(&mut self, key: String) {
        if let Some(data_centre) = key.strip_prefix(EVACUATIONS_PREFIX) {
            self.evacuations.end(data_centre, self.mirror.last_update().as_ref());
            return;
        }
        let now = Instant::now();
        let outage = self.mirror.last_outage();
        let had_outage = outage.is_some_and(|outage_at| now - outage_at < OUTAGE_WINDOW);
        if had_outage {
            self.expired.entry(key).or_insert(now + EXPIRY_GRACE);
            return;
        }
        self.remove(&key);
    }

    fn remove(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(SERVERS_PREFIX)
            && self.listings.remove(id)
        {
            tracing::info!(server = id, "backend server gone");
        }
        if let Some(vm) = key.strip_prefix(ENTRIES_PREFIX)
            && self.entries.remove(vm).is_some()
        {
            tracing::info!(vm, "entry gone");
        }
    }

    fn publish_members(&self) {
        let peer = |(vm, record): (&String, &EntryRecord)| {
            let address = record.peers?;
            Some((vm.clone(), Peer { data_centre: record.data_centre.clone(), address }))
        };
        let members: Members = self.entries.iter().filter_map(peer).collect();
        send_if_changed(&self.outputs.members, members);
    }

    fn publish_coordinators(&self) {
        let port = self.outputs.agent_port;
        let coordinator = |(name, (record, _)): (&String, &(GroupRecord, _))| {
            let first = record.ranks.first()?;
            Some((name.clone(), SocketAddr::new(first.engine.ip(), port)))
        };
        let coordinators = self.groups.iter().filter_map(coordinator).collect();
        send_if_changed(&self.outputs.coordinators, coordinators);
    }

    /// Removes keys whose grace period has ended. Returns whether there were any.
    fn remove_expired(&mut self) -> bool {
        let now = Instant::now();
        let has_ended = |(_, until): &(&String, &Instant)| now >= **until;
        let ended: Vec<String> =
            self.expired.iter().filter(has_ended).map(|(key, _)| key.clone()).collect();
        for key in &ended {
            self.expired.remove(key);
            self.remove(key);
        }
        !ended.is_empty()
    }

    fn publish(&mut self) {
        self.remove_expired();
        self.observe_entries();
        self.publish_members();
        self.publish_coordinators();
        let mut servers: HashMap<String, Vec<Arc<Server>>> = HashMap::new();
        for server in self.listings.current().filter(|server| !server.listed.is_draining) {
            servers.entry(server.listed.service.clone()).or_default().push(Arc::clone(server));
        }
        self.evacuations.apply(self.listings.all());
        self.set_open_ranks();
        self.set_models();
        self.set_cold_allowances();
        self.set_idle_parts();
        let group_ranks = self.group_ranks();
        self.views.store(Arc::new(View {
            configuration: self.configuration.clone(),
            levels: Arc::clone(&self.levels),
            in_force: self.in_force.clone(),
            servers,
            group_ranks,
            data_centre: self.data_centre.clone(),
            is_uneven: directory::is_uneven(self.entries.values()),
            entries: self.entries.clone(),
            evacuations: self.evacuations.clone(),
            regions: Arc::clone(&self.regions),
        }));
    }
}

fn send_if_changed<T>(sender: &watch::Sender<Arc<T>>, value: T)
where
    T: PartialEq,
{
    sender.send_if_modified(|current| {
        let is_changed = **current != value;
        if is_changed {
            *current = Arc::new(value);
        }
        is_changed
    });
}
