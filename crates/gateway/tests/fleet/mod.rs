//! A fleet of entries on the paused clock: the real feed, publisher and announcement of each, over
//! in-memory connections and an in-memory store.

#![allow(dead_code, reason = "each test and bench uses a part of it")]

pub mod network;
pub mod store;

use bytes::Bytes;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_gateway::budget::RetryBudget;
use flamingowheel_gateway::feed::follower::StoreFollower;
use flamingowheel_gateway::feed::mirror::Mirror;
use flamingowheel_gateway::feed::reader::Reader;
use flamingowheel_gateway::feed::server;
use flamingowheel_gateway::member::Announcement;
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::publish::{Outputs, Publisher};
use flamingowheel_gateway::suspects::Suspects;
use flamingowheel_gateway::view::{EntryRecord, View, Views};
use flamingowheel_platform::CONFIGURATION_KEY;
use flamingowheel_policy::quota::Allowance;
use flamingowheel_policy::topology::{EntryRef, FOLLOWERS, Topology};
use network::{LinkFault, Network, hello};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use store::{Reach, VmStore};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Time of the store for one call.
const STORE_DELAY: Duration = Duration::from_millis(4);

/// Time between two looks at what is in force.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Added to the latency of a slow link, and to the store's answers to a VM that it serves slowly.
const SLOW_DELAY: Duration = Duration::from_millis(700);

/// Port for other entries.
const PEER_PORT: u16 = 7_340;

/// Faults of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Killed,
    Frozen,
    Mute,
    Slow,
    StoreRefuses,
    StoreSilent,
    StoreStale,
    StoreSlow,
}

pub const FAULTS: [Fault; 8] = [
    Fault::Killed,
    Fault::Frozen,
    Fault::Mute,
    Fault::Slow,
    Fault::StoreRefuses,
    Fault::StoreSilent,
    Fault::StoreStale,
    Fault::StoreSlow,
];

struct Entry {
    views: Views,
    mirror: Arc<Mirror>,
    reach: watch::Sender<Reach>,
    /// Aborted when dropped.
    _tasks: JoinSet<()>,
}

/// The fleet; entries are named by their VMs.
pub struct Fleet {
    pub store: FakeKeyValue,
    pub network: Network,
    entries: BTreeMap<String, Entry>,
    data_centres: usize,
    started: usize,
    version: u64,
}

impl Fleet {
    /// Starts a fleet and waits until it has settled.
    pub async fn start(entries: usize, data_centres: usize) -> Self {
        let store = FakeKeyValue::new();
        store.set_delay(STORE_DELAY);
        let network = Network::default();
        let mut fleet =
            Self { store, network, entries: BTreeMap::new(), data_centres, started: 0, version: 0 };
        fleet.change().await;
        for _ in 0..entries {
            fleet.add();
        }
        sleep(Duration::from_secs(8)).await;
        fleet
    }

    /// Starts a new entry and returns its VM.
    pub fn add(&mut self) -> String {
        let number = self.started;
        self.started += 1;
        let vm = format!("entry-{}-{number}", number % self.data_centres);
        self.start_entry(&vm, number);
        vm
    }

    /// Kills an entry; its lease runs out.
    pub fn kill(&mut self, vm: &str) {
        self.entries.remove(vm);
        self.network.close(vm);
    }

    /// Starts a killed entry again, at a new address.
    pub fn restart(&mut self, vm: &str) {
        let number = self.started;
        self.started += 1;
        self.start_entry(vm, number);
    }

    fn start_entry(&mut self, vm: &str, number: usize) {
        let data_centre = vm.split('-').nth(1).unwrap().to_owned();
        let ip = Ipv4Addr::from_bits(Ipv4Addr::new(10, 0, 0, 1).to_bits() + number as u32);
        let address = SocketAddr::from((ip, PEER_PORT));
        let (mirror, views) = (Arc::new(Mirror::default()), Views::default());
        let (reach, reached) = watch::channel(Reach::Normal);
        let store = VmStore::new(self.store.clone(), reached);
        let (members, members_receiver) = watch::channel(Arc::default());
        let (coordinators, coordinators_receiver) = watch::channel(Arc::default());
        let (statuses, statuses_receiver) = watch::channel(Arc::default());
        let (follows, should_follow) = watch::channel(false);
        let metrics = Arc::new(Metrics::new().unwrap());
        let suspects = Arc::new(Suspects::new(Arc::clone(&metrics)));
        let window = Duration::from_secs(10);
        let allowance = Allowance { ratio: 0.2, slack: 0.0, window };
        let budget = Arc::new(RetryBudget::new(allowance, vm));
        let outputs = Outputs {
            members,
            coordinators,
            statuses: statuses_receiver.clone(),
            agent_port: PEER_PORT,
            suspects,
            budget,
            metrics,
        };
        let mut tasks = JoinSet::new();
        let mut accepted = self.network.listen(vm, address);
        let served_mirror = Arc::clone(&mirror);
        tasks.spawn(async move {
            // The publisher ends without a receiver of coordinators.
            let _coordinators = coordinators_receiver;
            let mut serving = JoinSet::new();
            while let Some(link) = accepted.recv().await {
                let statuses = statuses_receiver.clone();
                serving.spawn(server::serve(link, Arc::clone(&served_mirror), statuses));
            }
        });
        tasks.spawn(Publisher::new(Arc::clone(&mirror), Arc::clone(&views), outputs).run());
        let follower = StoreFollower::new(store.clone(), Arc::clone(&mirror), should_follow);
        tasks.spawn(follower.run());
        let hello = hello(vm, &data_centre);
        let connector = self.network.connector(vm);
        let reader =
            Reader::new(hello, connector, Arc::clone(&mirror), members_receiver, follows, statuses);
        tasks.spawn(reader.run());
        let announcement = Announcement {
            store,
            vm: vm.to_owned(),
            record: EntryRecord {
                callers: address,
                data_centre,
                peers: Some(address),
                suspects: None,
                capacity: None,
            },
            min_ttl: Duration::from_secs(1),
            capacity: watch::channel(None).1,
        };
        tasks.spawn(announcement.run(CancellationToken::new()));
        self.entries.insert(vm.to_owned(), Entry { views, mirror, reach, _tasks: tasks });
    }

    pub fn vms(&self) -> Vec<String> {
        self.entries.keys().cloned().collect()
    }

    /// The entries that follow the store for all.
    pub fn followers(&self) -> Vec<String> {
        let mut succession = self.succession();
        succession.truncate(FOLLOWERS);
        succession
    }

    /// All entries in the order in which they are to follow the store.
    pub fn succession(&self) -> Vec<String> {
        let entries = self.entries.keys();
        let entry = |vm| EntryRef { data_centre: data_centre(vm), name: vm };
        let topology = Topology::new(entries.map(|vm| entry(vm)));
        topology.succession().into_iter().map(str::to_owned).collect()
    }

    pub fn set_reach(&self, vm: &str, reach: Reach) {
        self.entries[vm].reach.send_replace(reach);
    }

    pub fn strike(&mut self, vm: &str, fault: Fault) {
        let slow = LinkFault { delay: SLOW_DELAY, ..LinkFault::default() };
        let mute = LinkFault { mute: true, ..LinkFault::default() };
        match fault {
            Fault::Killed => self.kill(vm),
            Fault::Frozen => self.freeze(vm, true),
            Fault::Mute => self.network.set_fault(vm, mute),
            Fault::Slow => self.network.set_fault(vm, slow),
            Fault::StoreRefuses => self.set_reach(vm, Reach::Refused),
            Fault::StoreSilent => self.set_reach(vm, Reach::Silent),
            Fault::StoreStale => self.set_reach(vm, Reach::Stale),
            Fault::StoreSlow => self.set_reach(vm, Reach::Slow(SLOW_DELAY)),
        }
    }

    /// Ends the fault of an entry.
    pub fn heal(&mut self, vm: &str, fault: Fault) {
        if fault == Fault::Killed {
            self.restart(vm);
            return;
        }
        self.network.set_fault(vm, LinkFault::default());
        self.set_reach(vm, Reach::Normal);
    }

    /// Stops everything that an entry sends and receives, with its connections open.
    pub fn freeze(&self, vm: &str, frozen: bool) {
        self.set_reach(vm, if frozen { Reach::Silent } else { Reach::Normal });
        let fault = LinkFault { mute: frozen, deaf: frozen, ..LinkFault::default() };
        self.network.set_fault(vm, fault);
    }

    /// Writes the next configuration and returns its version once it is acknowledged.
    pub async fn change(&mut self) -> u64 {
        self.version += 1;
        let value = format!(r#"{{"version":{},"routes":[]}}"#, self.version);
        self.write(CONFIGURATION_KEY, value).await;
        self.version
    }

    /// Writes a key.
    pub async fn write(&self, key: &str, value: String) {
        let put = Operation::Put { key: key.to_owned(), value: Bytes::from(value), lease: None };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        self.store.transact(transaction).await.unwrap();
    }

    /// Lists a backend server of service `s` in the store, or removes it.
    pub async fn list_server(&self, id: &str, is_listed: bool) {
        let key = format!("servers/{id}");
        if is_listed {
            let value = r#"{"service":"s","addr":"10.1.0.1:80","zone":"z","slots":1,"state":"ready",
                "seq":1}"#;
            self.write(&key, value.to_owned()).await;
            return;
        }
        self.delete(&key).await;
    }

    /// Deletes a key.
    pub async fn delete(&self, key: &str) {
        let delete = Operation::Delete { key: key.to_owned() };
        let transaction = Transaction { on_success: vec![delete], ..Transaction::default() };
        self.store.transact(transaction).await.unwrap();
    }

    /// What is in force at an entry.
    pub fn view(&self, vm: &str) -> Arc<View> {
        self.entries[vm].views.load_full()
    }

    /// Whether an entry sends requests to backend servers of service `s`.
    pub fn has_server(&self, vm: &str) -> bool {
        !self.entries[vm].views.load().servers_of("s").is_empty()
    }

    pub fn version_at(&self, vm: &str) -> u64 {
        self.entries[vm].views.load().version().unwrap_or(0)
    }

    pub fn mirror(&self, vm: &str) -> &Mirror {
        &self.entries[vm].mirror
    }

    /// Waits until `version` is in force at all of `vms` and returns the time this takes, or the
    /// VMs that lack it after `limit`.
    pub async fn in_force(
        &self,
        version: u64,
        vms: &[String],
        limit: Duration,
    ) -> Result<Duration, Vec<String>> {
        let since = Instant::now();
        loop {
            let late = vms.iter().filter(|vm| self.version_at(vm) < version);
            let late: Vec<String> = late.cloned().collect();
            let after = since.elapsed();
            if late.is_empty() {
                return Ok(after);
            }
            if after >= limit {
                return Err(late);
            }
            sleep(LOOK_INTERVAL).await;
        }
    }
}

fn data_centre(vm: &str) -> &str {
    vm.split('-').nth(1).unwrap()
}
