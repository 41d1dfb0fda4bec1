//! Permits for a limited server, exchanged between two entries by datagrams.

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::permits::{self, PermitExchange, PermitSender};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::view::{EntryRecord, View, Views};
use flamingowheel_gateway::warmth::EntryTenure;
use flamingowheel_platform::Stated;
use flamingowheel_policy::cold::ColdAllowance;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::yield_now;
use tokio::time::{Instant, advance, timeout};

/// Limit on the wait for datagrams on loopback.
const TIMEOUT: Duration = Duration::from_secs(10);

fn server() -> Arc<Server> {
    Arc::new(Server::new(BackendServer {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: 4,
        is_draining: false,
        started_ms: 1,
        cold_left_ms: 0,
    }))
}

/// Two entries that know each other, with their views of the same server.
struct Pair {
    senders: Vec<PermitSender>,
    servers: Vec<Arc<Server>>,
    tenures: Vec<Arc<EntryTenure>>,
    addresses: Vec<SocketAddr>,
}

impl Pair {
    async fn start() -> Self {
        let (mut sockets, mut addresses) = (Vec::new(), Vec::new());
        for _ in 0..2 {
            let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            addresses.push(socket.local_addr().unwrap());
            sockets.push(socket);
        }
        let record = |peers: &SocketAddr| EntryRecord {
            callers: *peers,
            data_centre: "z".to_owned(),
            peers: Some(*peers),
            suspects: None,
            capacity: None,
        };
        let records = addresses.iter().enumerate();
        let entries: HashMap<String, EntryRecord> =
            records.map(|(number, peers)| (format!("e-{number}"), record(peers))).collect();
        let (mut senders, mut servers, mut tenures) = (Vec::new(), Vec::new(), Vec::new());
        for (number, socket) in sockets.into_iter().enumerate() {
            let (server, views) = (server(), Views::default());
            let listed = HashMap::from([("s".to_owned(), vec![Arc::clone(&server)])]);
            let view = View { entries: entries.clone(), servers: listed, ..View::default() };
            views.store(Arc::new(view));
            let (sender, requests) = permits::channel();
            let (vm, metrics) = (format!("e-{number}"), Arc::new(Metrics::new().unwrap()));
            let tenure = Arc::new(EntryTenure::new(&vm));
            tenures.push(Arc::clone(&tenure));
            let exchange = PermitExchange::new(vm, views, socket, requests, metrics);
            tokio::spawn(exchange.with_tenure(tenure).run());
            senders.push(sender);
            servers.push(server);
        }
        Self { senders, servers, tenures, addresses }
    }

    fn record_stated(&self, stated: Stated<f64>) {
        for server in &self.servers {
            server.record_limit(&stated, Instant::now(), Instant::now());
        }
    }

    /// Lets both entries know the same list for some time.
    async fn settle(&self) {
        for _ in 0..2 {
            for tenure in &self.tenures {
                tenure.observe(["e-0", "e-1"], Some(Duration::ZERO), Instant::now());
            }
            advance(Duration::from_secs(4)).await;
        }
        for tenure in &self.tenures {
            tenure.observe(["e-0", "e-1"], Some(Duration::ZERO), Instant::now());
        }
    }

    /// Asks through an entry until it holds a permit, and uses it.
    async fn acquire(&self, entry: usize) {
        let asking = async {
            while self.servers[entry].begin(None).is_none() {
                self.senders[entry].ask(&self.servers[entry], Instant::now());
                yield_now().await;
            }
        };
        timeout(TIMEOUT, asking).await.unwrap();
    }
}

/// One of the entries is the meter; both get permits from it.
#[tokio::test]
async fn ask_meter_and_other_entry() {
    let pair = Pair::start().await;
    pair.record_stated(Stated::Value(50.0));
    for _ in 0..3 {
        pair.acquire(0).await;
        pair.acquire(1).await;
    }
}

/// An entry learns from its own answers that a server has become limited, and that its limit has
/// ended. The other one sends nothing there and must be told of both.
#[tokio::test]
async fn report_other_entry_knows() {
    for (first, other) in [(0, 1), (1, 0)] {
        let pair = Pair::start().await;
        for (stated, is_limited) in [(Stated::Value(0.1), true), (Stated::Absent, false)] {
            // The end has to be newer than the limit by more than a datagram's way.
            let started_at = Instant::now();
            while started_at.elapsed() < Duration::from_millis(50) {
                yield_now().await;
            }
            let now = Instant::now();
            assert!(pair.servers[first].record_limit(&stated, now, now).has_toggled);
            pair.senders[first].report(&pair.servers[first], now);
            let told = async {
                while pair.servers[other].is_limited() != is_limited {
                    yield_now().await;
                }
            };
            timeout(TIMEOUT, told).await.unwrap();
        }
    }
}

/// Bytes that are no message, and answers that nobody asked for, must leave the exchange running.
#[tokio::test]
async fn receive_malformed_ignored() {
    let pair = Pair::start().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for bytes in [&b""[..], b"\xff\xff\xff", &[1, 7, 0], &[0; 64]] {
        for address in &pair.addresses {
            socket.send_to(bytes, address).await.unwrap();
        }
    }
    pair.record_stated(Stated::Value(50.0));
    pair.acquire(0).await;
    pair.acquire(1).await;
}

/// An entry learns from its own answer that a server is cold. The other one is told, and both get permits
/// of the meter once it is settled, but not before.
#[tokio::test(start_paused = true)]
async fn report_cold_both_entries_keep_to_permits() {
    for (first, other) in [(0, 1), (1, 0)] {
        let pair = Pair::start().await;
        let allowance = ColdAllowance::new(26.0, 1.5, 5.0);
        pair.servers.iter().for_each(|server| server.set_cold_allowance(Some(allowance), 2));
        assert!(pair.servers[first].record_cold(Duration::from_secs(60), Instant::now()));
        pair.senders[first].report_cold(&pair.servers[first], Instant::now());
        let told = async {
            while pair.servers[other].cold_left(Instant::now()).is_zero() {
                yield_now().await;
            }
        };
        timeout(TIMEOUT, told).await.unwrap();
        for entry in [first, other] {
            pair.senders[entry].ask(&pair.servers[entry], Instant::now());
            while pair.servers[entry].is_asking_cold(Instant::now()) {
                yield_now().await;
            }
            assert!(pair.servers[entry].begin(None).is_none(), "its meter has just started");
        }
        pair.settle().await;
        pair.acquire(first).await;
        pair.acquire(other).await;
    }
}
