//! The processes, stand-ins and proxies of one run.

use crate::callers::{API_KEY, ROUTE_TIMEOUT_MS};
use crate::changes::{Probe, key_of};
use crate::cli::Options;
use crate::cold::{COLD_RATE_PER_S, COLD_RATIO, COLD_S, COLD_SLACK, ColdSpan};
use crate::evacuations::{EvacuationSpan, data_centre_of, evacuation_key};
use crate::faults::GRACE_S;
use crate::process::{Daemon, Reaper, STARTING};
use crate::proxy::{LinkFault, Proxy};
use crate::report::Violation;
use crate::signals::{Call, LimitSpan, STABILITY_WINDOW};
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_standin::platform::messages::{
    CONFIGURATION_KEY, EntryPorts, cold_server_record, configuration, entry_settings, server_key,
    server_record_in, with_warm_up,
};
use flamingowheel_standin::platform::server::{Conditions, PlatformServer, RequestLog};
use flamingowheel_standin::platform::store;
use rustix::process::Signal;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{Instant, sleep, sleep_until};

/// Processing time of a request, and time before each event of a stream.
const PROCESSING_TIME: Duration = Duration::from_millis(20);

/// Most requests in progress at once on a backend server.
const SLOTS: u32 = 16;

/// Time from the end of a backend server under a request to its next start.
pub const RESTART_TIME: Duration = Duration::from_millis(400);

/// Increment between configuration versions; operators' versions aren't consecutive either.
const VERSION_STEP: u64 = 7;

/// An entry, and the proxy between it and the store.
#[derive(Debug)]
pub struct Entry {
    /// The entry's process.
    pub daemon: Daemon,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Proxy on the entry's connections to the store.
    pub store_proxy: Proxy,
    ports: EntryPorts,
}

/// A backend server, and the proxy before it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name under which it is registered.
    pub id: String,
    /// Its data centre.
    pub data_centre: String,
    /// Proxy on all connections to it.
    pub proxy: Proxy,
    /// The stand-in, to change what it asks for.
    pub standin: PlatformServer,
    /// Number of its starts so far.
    pub starts: Arc<AtomicU64>,
}

/// All processes, stand-ins and proxies of one run.
#[derive(Debug)]
pub struct Fleet {
    /// The fake behind the store.
    pub kv: FakeKeyValue,
    /// Entries, by the index that faults use.
    pub entries: Vec<Entry>,
    /// Backend servers, by the index that faults use.
    pub servers: Vec<Server>,
    /// Records the requests of all backend servers.
    pub request_log: RequestLog,
    /// The limits that backend servers named.
    pub limits: Mutex<Vec<LimitSpan>>,
    /// Evacuations of data centres.
    pub evacuations: Mutex<Vec<EvacuationSpan>>,
    /// The times in which backend servers were cold.
    pub colds: Mutex<Vec<ColdSpan>>,
    /// Requests that showed whether a configuration was in force.
    pub probes: Mutex<Vec<Probe>>,
    /// Sends of requests under which servers end, by path.
    pub crashing: Mutex<HashMap<String, Vec<Call>>>,
    /// Answers to such requests that passed for whole ones.
    pub false_answers: Mutex<Vec<Violation>>,
    version: AtomicU64,
    publishing: tokio::sync::Mutex<()>,
    evacuating: tokio::sync::Mutex<()>,
    /// Sockets that keep the ports of entries that don't run.
    held_ports: Mutex<HashMap<usize, Vec<TcpSocket>>>,
    _reaper: Reaper,
}

impl Fleet {
    /// Starts everything. Settings and logs are written to `folder`.
    pub async fn start_all(options: &Options, folder: &Path) -> eyre::Result<Self> {
        let fleet = Self::prepare(options, options.entries, GRACE_S, folder).await?;
        (0..fleet.entries.len()).for_each(|entry| fleet.start_entry(entry));
        Ok(fleet)
    }

    /// Starts everything but the entries, of which there are `entry_count`.
    pub async fn prepare(
        options: &Options,
        entry_count: usize,
        grace_s: u64,
        folder: &Path,
    ) -> eyre::Result<Self> {
        let kv = FakeKeyValue::new();
        let store = TcpListener::bind("127.0.0.1:0").await?;
        let store_address = store.local_addr()?;
        tokio::spawn(store::serve(store, kv.clone()));
        let request_log = RequestLog::default();
        let mut servers = Vec::new();
        for number in 0..options.servers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let proxy = Proxy::start(listener.local_addr()?).await?;
            let id = format!("s-{number}");
            let server = PlatformServer::new(&id, request_log.clone(), PROCESSING_TIME, SLOTS);
            tokio::spawn(server.clone().serve(listener));
            servers.push(Server {
                id,
                data_centre: data_centre_of(number),
                proxy,
                standin: server,
                starts: Arc::new(AtomicU64::new(1)),
            });
        }
        let mut entries = Vec::new();
        for (number, ports) in free_ports(entry_count)?.into_iter().enumerate() {
            let store_proxy = Proxy::start(store_address).await?;
            let name = format!("entry-{number}");
            let settings = entry_settings(&name, store_proxy.address, ports, grace_s);
            let settings = format!(
                "{settings}bounds.coldOverage={COLD_RATIO}\nbounds.coldSlack={COLD_SLACK}\n"
            );
            let daemon = Daemon::new(&options.program, folder, &name, &settings)?;
            let callers = SocketAddr::from(([127, 0, 0, 1], ports.callers));
            entries.push(Entry { daemon, callers, store_proxy, ports });
        }
        let reaper = Reaper(entries.iter().map(|entry| entry.daemon.clone()).collect());
        let version = AtomicU64::new(0);
        let (limits, probes) = (Mutex::default(), Mutex::default());
        let publishing = tokio::sync::Mutex::default();
        let fleet = Self {
            kv,
            entries,
            servers,
            request_log,
            limits,
            colds: Mutex::default(),
            probes,
            evacuations: Mutex::default(),
            evacuating: tokio::sync::Mutex::default(),
            crashing: Mutex::default(),
            false_answers: Mutex::default(),
            version,
            publishing,
            held_ports: Mutex::default(),
            _reaper: reaper,
        };
        for server in 0..fleet.servers.len() {
            fleet.publish_server(server, false).await;
            tokio::spawn(restart_when_ended(fleet.kv.clone(), fleet.servers[server].clone()));
        }
        fleet.publish_configuration().await;
        Ok(fleet)
    }

    /// Kills an entry and keeps its ports, which another process could take until it is started
    /// again.
    pub async fn kill_entry(&self, entry: usize) {
        let Entry { daemon, .. } = &self.entries[entry];
        daemon.signal(Signal::KILL);
        daemon.ended().await;
        self.hold_ports(entry);
    }

    /// Keeps the ports of an entry that doesn't run until it is started.
    pub fn hold_ports(&self, entry: usize) {
        let ports = self.entries[entry].ports.all();
        let held = ports.into_iter().filter_map(hold_port).collect();
        self.held_ports().insert(entry, held);
    }

    fn held_ports(&self) -> MutexGuard<'_, HashMap<usize, Vec<TcpSocket>>> {
        self.held_ports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts an entry unless it is running.
    pub fn start_entry(&self, entry: usize) {
        self.held_ports().remove(&entry);
        // The error is ignored: an entry that fails to start serves no requests, which the checks
        // report.
        let _ = self.entries[entry].daemon.start();
    }

    /// Publishes the record of a backend server, as ready or as draining.
    pub async fn publish_server(&self, server: usize, is_draining: bool) {
        publish(&self.kv, &self.servers[server], is_draining).await;
    }

    /// Makes a backend server name a limit, unless it asks for something already.
    pub async fn limit_server(&self, server: usize, limit_per_s: f64, duration: Duration) {
        let from = Instant::now();
        let limit = Conditions { limit_per_s: Some(limit_per_s), ..Conditions::default() };
        // A limit binds some seconds after it was named first.
        if self.set_conditions(server, limit, duration + STABILITY_WINDOW).await {
            let server = self.servers[server].id.clone();
            let span = LimitSpan { server, limit_per_s, from, until: Instant::now() };
            self.limits.lock().unwrap_or_else(PoisonError::into_inner).push(span);
        }
    }

    /// Makes a backend server cold, unless it asks for something already.
    pub async fn cool_server(&self, server: usize, duration: Duration) {
        let Server { id, standin, .. } = &self.servers[server];
        if standin.conditions() != Conditions::default() {
            return;
        }
        let from = Instant::now();
        let until = from + duration;
        standin.set_conditions(Conditions { cold_until: Some(until), ..Conditions::default() });
        publish_cold(&self.kv, &self.servers[server], until).await;
        sleep_until(until).await;
        standin.set_conditions(Conditions::default());
        self.publish_server(server, false).await;
        let span = ColdSpan { server: id.clone(), from, until };
        self.colds.lock().unwrap_or_else(PoisonError::into_inner).push(span);
    }

    /// Makes a backend server refuse all requests and ask for rest.
    pub async fn rest_server(&self, server: usize, rest: Duration, duration: Duration) {
        let conditions = Conditions { rest: Some(rest), ..Conditions::default() };
        self.set_conditions(server, conditions, duration).await;
    }

    /// Makes a backend server answer without length or chunks.
    pub async fn unframe_server(&self, server: usize, duration: Duration) {
        let conditions = Conditions { is_unframed: true, ..Conditions::default() };
        self.set_conditions(server, conditions, duration).await;
    }

    /// Makes a backend server say that it leaves, and start again under the same name; once in a run,
    /// as callers don't see which start answers.
    pub async fn replace_server(&self, server: usize, duration: Duration) {
        if self.servers[server].starts.load(Ordering::SeqCst) > 1 {
            return;
        }
        let leaving = Conditions { is_leaving: true, ..Conditions::default() };
        if self.set_conditions(server, leaving, duration).await {
            self.servers[server].starts.fetch_add(1, Ordering::SeqCst);
            self.publish_server(server, false).await;
        }
    }

    /// Evacuates the data centre of a backend server, unless another one is evacuated: requests need
    /// some servers.
    pub async fn evacuate(&self, server: usize, duration: Duration) {
        let Ok(_evacuating) = self.evacuating.try_lock() else { return };
        let data_centre = &self.servers[server].data_centre;
        let key = evacuation_key(data_centre);
        write(&self.kv, &key, "{}".to_owned()).await;
        let from = Instant::now();
        sleep(duration).await;
        let until = Instant::now();
        apply(&self.kv, Operation::Delete { key }).await;
        let of_data_centre = |server: &&Server| server.data_centre == *data_centre;
        let servers = self.servers.iter().filter(of_data_centre).map(|server| server.id.clone());
        let span = EvacuationSpan { servers: servers.collect(), from, until };
        self.evacuations.lock().unwrap_or_else(PoisonError::into_inner).push(span);
    }

    /// Sets what a server asks for, for a time. `false` if it asks for something already.
    async fn set_conditions(&self, server: usize, need: Conditions, duration: Duration) -> bool {
        let standin = &self.servers[server].standin;
        if standin.conditions() != Conditions::default() {
            return false;
        }
        standin.set_conditions(need);
        sleep(duration).await;
        standin.set_conditions(Conditions::default());
        true
    }

    /// Publishes a new version of the configuration with unchanged routes and a key of its own, and
    /// returns it once it is acknowledged.
    pub async fn publish_configuration(&self) -> u64 {
        self.publish_with_timeout(ROUTE_TIMEOUT_MS).await
    }

    /// The same with another timeout of all routes.
    pub async fn publish_with_timeout(&self, timeout_ms: u64) -> u64 {
        // One version at a time: an older one must not replace a newer one.
        let _publishing = self.publishing.lock().await;
        let version = self.version.fetch_add(VERSION_STEP, Ordering::SeqCst) + VERSION_STEP;
        let keys = [API_KEY, &key_of(version)];
        let configuration = configuration(version, &keys, timeout_ms);
        let configuration =
            with_warm_up(&configuration, COLD_S, COLD_RATE_PER_S).unwrap_or(configuration);
        write(&self.kv, CONFIGURATION_KEY, configuration).await;
        version
    }

    /// The newest version that was sent.
    pub fn newest_version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Keeps sends of a request under which servers end for the checks at the end.
    pub fn record_crashing(&self, path: &str, calls: Vec<Call>) {
        let mut crashing = self.crashing.lock().unwrap_or_else(PoisonError::into_inner);
        crashing.entry(path.to_owned()).or_default().extend(calls);
    }

    /// Keeps probes for the checks at the end.
    pub fn record_probes(&self, probes: Vec<Probe>) {
        self.probes.lock().unwrap_or_else(PoisonError::into_inner).extend(probes);
    }
}

async fn publish(kv: &FakeKeyValue, server: &Server, is_draining: bool) {
    let start = server.starts.load(Ordering::SeqCst);
    let (data_centre, address) = (&server.data_centre, server.proxy.address);
    let record = server_record_in(data_centre, address, SLOTS, start, is_draining);
    write(kv, &server_key(&server.id), record).await;
}

async fn publish_cold(kv: &FakeKeyValue, server: &Server, until: Instant) {
    let start = server.starts.load(Ordering::SeqCst);
    let (data_centre, address) = (&server.data_centre, server.proxy.address);
    let record = server_record_in(data_centre, address, SLOTS, start, false);
    let left = until.saturating_duration_since(Instant::now());
    let cold = cold_server_record(&record, left.as_millis() as u64).unwrap_or(record);
    write(kv, &server_key(&server.id), cold).await;
}

async fn write(kv: &FakeKeyValue, key: &str, value: String) {
    apply(kv, Operation::Put { key: key.to_owned(), value: value.into(), lease: None }).await;
}

/// Retries the write until it succeeds, as operators and backend servers do.
async fn apply(kv: &FakeKeyValue, operation: Operation) {
    let transaction = Transaction { on_success: vec![operation], ..Transaction::default() };
    while kv.transact(transaction.clone()).await.is_err() {
        sleep(Duration::from_millis(100)).await;
    }
}

/// Closes the connections of a server that ended under a request, and starts it again. Its listing
/// stays meanwhile.
async fn restart_when_ended(kv: FakeKeyValue, server: Server) {
    let mut ends = server.standin.ends();
    // An error means that the server was dropped, at the end of the run.
    while ends.changed().await.is_ok() {
        let last = server.standin.request_log.ends().pop();
        let is_orderly = last.is_some_and(|end| end.is_orderly);
        let fault = if is_orderly { LinkFault::EndedOrderly } else { LinkFault::Ended };
        server.proxy.set_fault(fault);
        sleep(RESTART_TIME).await;
        server.starts.fetch_add(1, Ordering::SeqCst);
        publish(&kv, &server, false).await;
        server.proxy.set_fault(LinkFault::None);
    }
}

/// Binds a port without listening on it, so that connections are refused; `None` if it is taken.
fn hold_port(port: u16) -> Option<TcpSocket> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], port))).ok()?;
    Some(socket)
}

/// Ports of entries: below those that the system gives to outgoing connections, which other
/// processes could take between the search and an entry's start.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Ports that were given to entries of this process. Fleets that start at the same time must not get
/// the same ones, as entries bind them later.
static GIVEN_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Finds ports for entries that are free at the time of the call.
///
/// Fails if loopback has too few left.
pub fn free_ports(entries: usize) -> std::io::Result<Vec<EntryPorts>> {
    let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
    // All listeners stay open until the end, so that no port is returned twice.
    let (mut listeners, mut found) = (Vec::new(), Vec::new());
    for _ in 0..entries {
        let mut ports = [0; 5];
        for port in &mut ports {
            let listener = bind_random()?;
            *port = listener.local_addr()?.port();
            listeners.push(listener);
        }
        let [callers, ready, directory, low, high] = ports;
        found.push(EntryPorts { callers, ready, directory, internal: (low, high) });
    }
    Ok(found)
}

/// Tries as many random ports as there are, so that it ends if all are taken.
fn bind_random() -> std::io::Result<std::net::TcpListener> {
    let mut result = Err(std::io::ErrorKind::AddrInUse.into());
    for _ in PORTS {
        let port = rand::random_range(PORTS);
        // Entries use some of their ports for datagrams.
        let is_free = std::net::UdpSocket::bind(("127.0.0.1", port)).is_ok();
        let is_new = || GIVEN_PORTS.lock().unwrap_or_else(PoisonError::into_inner).insert(port);
        if !is_free || !is_new() {
            continue;
        }
        result = std::net::TcpListener::bind(("127.0.0.1", port));
        if result.is_ok() {
            break;
        }
    }
    result
}
