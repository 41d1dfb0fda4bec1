//! The processes, stand-ins and proxies of one soak.

use crate::callers::{API_KEY, ROUTE_TIMEOUT_MS};
use crate::cli::Options;
use crate::faults::GRACE_S;
use crate::process::{Daemon, Reaper};
use crate::proxy::Proxy;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_standin::platform::messages::{
    CONFIGURATION_KEY, EntryPorts, configuration, entry_settings, server_key, server_record,
};
use flamingowheel_standin::platform::server::{PlatformServer, RunCounter};
use flamingowheel_standin::platform::store;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Time that a backend server works on a request, and between two events of a stream.
const WORK: Duration = Duration::from_millis(20);

/// Requests that a backend server works on at once.
const SLOTS: u32 = 16;

/// Versions of the configuration rise in steps, as operators' do.
const VERSION_STEP: u64 = 7;

/// An entry, and the proxy between it and the store.
#[derive(Debug)]
pub struct Entry {
    /// Its process.
    pub daemon: Daemon,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// The way to the store.
    pub store_proxy: Proxy,
}

/// A backend server, and the proxy before it.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub id: String,
    /// The way to it.
    pub proxy: Proxy,
}

/// All of them.
#[derive(Debug)]
pub struct Fleet {
    /// The store.
    pub kv: FakeKeyValue,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// What these ran.
    pub run_counter: RunCounter,
    version: AtomicU64,
    _reaper: Reaper,
}

impl Fleet {
    /// Starts everything; settings and logs lie in `folder`.
    pub async fn start_all(options: &Options, folder: &Path) -> eyre::Result<Self> {
        let kv = FakeKeyValue::new();
        let store = TcpListener::bind("127.0.0.1:0").await?;
        let store_address = store.local_addr()?;
        tokio::spawn(store::serve(store, kv.clone()));
        let run_counter = RunCounter::default();
        let mut servers = Vec::new();
        for number in 0..options.servers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let proxy = Proxy::start(listener.local_addr()?).await?;
            let id = format!("s-{number}");
            let server = PlatformServer::new(&id, run_counter.clone(), WORK, SLOTS);
            tokio::spawn(server.serve(listener));
            servers.push(Server { id, proxy });
        }
        let mut entries = Vec::new();
        for number in 0..options.entries {
            let store_proxy = Proxy::start(store_address).await?;
            let ports = free_ports().await?;
            let name = format!("entry-{number}");
            let settings = entry_settings(&name, store_proxy.address, ports, GRACE_S);
            let daemon = Daemon::new(&options.program, folder, &name, &settings)?;
            let callers = SocketAddr::from(([127, 0, 0, 1], ports.callers));
            entries.push(Entry { daemon, callers, store_proxy });
        }
        let reaper = Reaper(entries.iter().map(|entry| entry.daemon.clone()).collect());
        let version = AtomicU64::new(0);
        let fleet = Self { kv, entries, servers, run_counter, version, _reaper: reaper };
        for server in 0..fleet.servers.len() {
            fleet.publish_server(server, false).await;
        }
        fleet.publish_configuration().await;
        (0..fleet.entries.len()).for_each(|entry| fleet.start_entry(entry));
        Ok(fleet)
    }

    /// Starts an entry, unless it runs.
    pub fn start_entry(&self, entry: usize) {
        // One that can't be started serves nobody, which the checks show.
        let _ = self.entries[entry].daemon.start();
    }

    /// Lists a backend server as taking work or as leaving.
    pub async fn publish_server(&self, server: usize, is_draining: bool) {
        let Server { id, proxy } = &self.servers[server];
        self.write(&server_key(id), server_record(proxy.address, SLOTS, is_draining)).await;
    }

    /// Accepts a new version of the configuration; its routes stay as they are.
    pub async fn publish_configuration(&self) {
        let version = self.version.fetch_add(VERSION_STEP, Ordering::SeqCst) + VERSION_STEP;
        self.write(CONFIGURATION_KEY, configuration(version, API_KEY, ROUTE_TIMEOUT_MS)).await;
    }

    /// Writes until the store has taken it, as operators and backend servers do.
    async fn write(&self, key: &str, value: String) {
        let put = Operation::Put { key: key.to_owned(), value: value.into(), lease: None };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        while self.kv.transact(transaction.clone()).await.is_err() {
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Ports that were free a moment ago.
///
/// Fails if loopback has none left.
pub async fn free_ports() -> std::io::Result<EntryPorts> {
    let mut listeners = Vec::new();
    let mut ports = [0; 5];
    for port in &mut ports {
        // Kept open meanwhile, so that no port is given out twice.
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    let [callers, ready, directory, low, high] = ports;
    Ok(EntryPorts { callers, ready, directory, internal: (low, high) })
}
