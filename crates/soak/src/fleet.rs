//! The processes, stand-ins and proxies of one soak.

use crate::callers::API_KEY;
use crate::cli::Options;
use crate::process::{Daemon, Reaper};
use crate::proxy::Proxy;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_standin::platform::server::{Ledger, PlatformServer};
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

/// An entry, and the proxy between it and the store.
#[derive(Debug)]
pub struct Entry {
    /// Its process.
    pub daemon: Daemon,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// The way to the store.
    pub store_link: Proxy,
}

/// A backend server, and the proxy before it.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub id: String,
    /// The way to it.
    pub link: Proxy,
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
    pub ledger: Ledger,
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
        let ledger = Ledger::default();
        let mut servers = Vec::new();
        for number in 0..options.servers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let link = Proxy::start(listener.local_addr()?).await?;
            let id = format!("s-{number}");
            let server = PlatformServer::new(&id, ledger.clone(), WORK, SLOTS);
            tokio::spawn(server.serve(listener));
            servers.push(Server { id, link });
        }
        let mut entries = Vec::new();
        for number in 0..options.entries {
            let store_link = Proxy::start(store_address).await?;
            let ports = free_ports().await?;
            let settings = settings(number, store_link.address, ports);
            let name = format!("entry-{number}");
            let daemon = Daemon::new(&options.program, folder, &name, &settings)?;
            let callers = SocketAddr::from(([127, 0, 0, 1], ports[0]));
            entries.push(Entry { daemon, callers, store_link });
        }
        let reaper = Reaper(entries.iter().map(|entry| entry.daemon.clone()).collect());
        let version = AtomicU64::new(0);
        let fleet = Self { kv, entries, servers, ledger, version, _reaper: reaper };
        for server in 0..fleet.servers.len() {
            fleet.list(server, "ready").await;
        }
        fleet.configure().await;
        (0..fleet.entries.len()).for_each(|entry| fleet.start(entry));
        Ok(fleet)
    }

    /// Starts an entry, unless it runs.
    pub fn start(&self, entry: usize) {
        // One that can't be started serves nobody, which the checks show.
        let _ = self.entries[entry].daemon.start();
    }

    /// Lists a backend server in a state.
    pub async fn list(&self, server: usize, state: &str) {
        let Server { id, link } = &self.servers[server];
        let value = serde_json::json!({
            "service": "s", "addr": link.address.to_string(), "zone": "z", "version": "1",
            "slots": SLOTS, "state": state, "coldLeftMs": 0, "seq": 1, "born": 1,
        });
        self.write(&format!("servers/{id}"), &value).await;
    }

    /// Accepts a new version of the configuration; its routes stay as they are.
    pub async fn configure(&self) {
        let version = self.version.fetch_add(7, Ordering::SeqCst) + 7;
        let route = |kind: &str, path: &str, attempts: u32| {
            serde_json::json!({
                "name": path, "host": "soak.example", "prefix": format!("/{path}/"),
                "routeKind": kind, "service": "s", "maxAttempts": attempts, "timeoutMs": 2_000,
                "goalMs": 100, "resumable": kind == "streaming", "gapGoalMs": 150,
            })
        };
        let value = serde_json::json!({
            "version": version,
            "routes": [
                route("unsafe", "once", 1), route("safe", "safe", 2), route("streaming", "stream", 2),
            ],
            "services": [{"name": "s", "maxConns": 400}],
            "tenants": [{"name": "w", "apiKeys": [API_KEY]}],
        });
        self.write("op/config", &value).await;
    }

    /// Writes until the store has taken it, as operators and backend servers do.
    async fn write(&self, key: &str, value: &serde_json::Value) {
        let value = value.to_string().into();
        let put = Operation::Put { key: key.to_owned(), value, lease: None };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        while self.kv.transact(transaction.clone()).await.is_err() {
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Ports that were free a moment ago: for callers, readiness, the directory and two inner ones.
async fn free_ports() -> std::io::Result<[u16; 5]> {
    let mut listeners = Vec::new();
    for _ in 0..5 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await?);
    }
    let mut ports = [0; 5];
    for (port, listener) in ports.iter_mut().zip(&listeners) {
        *port = listener.local_addr()?.port();
    }
    Ok(ports)
}

fn settings(number: usize, store: SocketAddr, ports: [u16; 5]) -> String {
    let [callers, ready, directory, low, high] = ports;
    format!(
        "node=entry-{number}\nip=127.0.0.1\nzone=z\nregion=r\nlisten.front=127.0.0.1:{callers}\n\
         listen.ready=127.0.0.1:{ready}\nlisten.directory=127.0.0.1:{directory}\n\
         internalPortRange={low},{high}\nplatform.addr={store}\nbounds.graceS=8\n\
         bounds.retryBudgetSlack=80\n"
    )
}
