//! An entry in this process, in front of given backend servers.

use flamingowheel_backing::client::http::{HttpClient, HttpLimits};
use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::budget::{Allowance, RetryBudget};
use flamingowheel_gateway::forward::Gateway;
use flamingowheel_gateway::front::{self, Stop};
use flamingowheel_gateway::group::{GroupLoad, GroupRank};
use flamingowheel_gateway::held::Held;
use flamingowheel_gateway::losses::LossRecorder;
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::permits::{self, PermitExchange};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::suspects::{Suspects, archive};
use flamingowheel_gateway::view::{EntryRecord, View, Views};
use flamingowheel_platform::operator;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

/// Memory of the entry's VM.
const MEMORY_BYTES: u64 = 200_000_000;

/// An entry in front of backend servers of the service `s`, which are tried in the given order.
pub struct Entry {
    pub address: SocketAddr,
    pub client: HttpClient,
    pub stop: Stop,
    pub metrics: Arc<Metrics>,
    pub held: Arc<Held>,
    pub gateway: Arc<Gateway>,
    views: Views,
}

/// The servers as listed, each start of them with a time of its own.
fn list(addresses: &[SocketAddr], started_ms: u64) -> HashMap<String, Vec<Arc<Server>>> {
    let listed = |(index, address): (usize, &SocketAddr)| {
        let server = Arc::new(Server::new(BackendServer {
            id: format!("i-{index}"),
            service: "s".to_owned(),
            address: *address,
            data_centre: "z".to_owned(),
            slots: 4,
            is_draining: false,
            started_ms,
            cold_left_ms: 0,
        }));
        // Each further server has a higher latency, which fixes the order of attempts.
        server.record_answer(Duration::from_millis(1 + 200 * index as u64), false);
        server
    };
    HashMap::from([("s".to_owned(), addresses.iter().enumerate().map(listed).collect())])
}

impl Entry {
    pub async fn start(servers: &[SocketAddr], configuration: Option<&[u8]>) -> Self {
        Self::start_with_retries(servers, configuration, 100.0).await
    }

    /// Starts an entry that may retry `ratio` times for each request.
    pub async fn start_with_retries(
        servers: &[SocketAddr],
        configuration: Option<&[u8]>,
        ratio: f64,
    ) -> Self {
        let configuration = configuration.map(|value| Arc::new(operator::decode(value).unwrap()));
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let peers = Some(socket.local_addr().unwrap());
        let callers = "127.0.0.1:1".parse().unwrap();
        let record = EntryRecord {
            callers,
            data_centre: "z".to_owned(),
            peers,
            suspects: None,
            capacity: None,
        };
        let views = Views::default();
        views.store(Arc::new(View {
            configuration,
            servers: list(servers, 1),
            entries: HashMap::from([("e".to_owned(), record)]),
            ..View::default()
        }));
        let seen = Arc::clone(&views);
        let metrics = Arc::new(Metrics::new().unwrap());
        let (permits, requests) = permits::channel();
        let (vm, served) = ("e".to_owned(), Arc::clone(&metrics));
        let exchange = PermitExchange::new(vm, Arc::clone(&views), socket, requests, served);
        tokio::spawn(exchange.run());
        let window = Duration::from_secs(10);
        let allowance = Allowance { ratio, slack: 0.0, window };
        let budget = Arc::new(RetryBudget::new(allowance, "e"));
        let suspects = Arc::new(Suspects::new(Arc::clone(&metrics)));
        let (archive, _archived) = archive::channel();
        let (of_losses, known) = (Arc::clone(&views), Arc::clone(&suspects));
        let losses = LossRecorder::new(of_losses, known, archive, Arc::clone(&metrics));
        let counted = Arc::clone(&metrics);
        let held = Held::new(MEMORY_BYTES, 4_096);
        let gateway = Gateway::new(views, budget, permits, suspects, losses, metrics);
        let stop = Stop::default();
        let gateway = gateway.with_held(Arc::clone(&held)).with_stop(stop.clone());
        let gateway = Arc::new(gateway);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(front::serve(listener, Arc::clone(&gateway), stop.clone()));
        let client = HttpClient::new(address.to_string().parse().unwrap(), HttpLimits::default());
        Self { address, client, stop, metrics: counted, views: seen, held, gateway }
    }

    /// Makes all servers ranks of one group, and returns it.
    pub fn form_group(&self, servers: &[SocketAddr]) -> Arc<GroupLoad> {
        let view = View::clone(&self.views.load());
        let group = Arc::new(GroupLoad::default());
        let rank = |(rank, address): (usize, &SocketAddr)| {
            let group = Arc::clone(&group);
            (*address, GroupRank { group, rank, pace: 1.0, is_away: false })
        };
        let group_ranks = servers.iter().enumerate().map(rank).collect();
        self.views.store(Arc::new(View { group_ranks, ..view }));
        group
    }

    /// Closes the server with this number to requests, as in an evacuation, or opens it again.
    pub fn set_evacuated(&self, server: usize, is_evacuated: bool) {
        let name = format!("i-{server}");
        let view = self.views.load();
        let named = view.servers_of("s").iter().find(|server| server.listed.id == name);
        named.unwrap().set_evacuated(is_evacuated);
    }

    /// Puts a new configuration in force.
    pub fn configure(&self, configuration: &[u8]) {
        let configuration = Some(Arc::new(operator::decode(configuration).unwrap()));
        let view = View::clone(&self.views.load());
        self.views.store(Arc::new(View { configuration, ..view }));
    }

    /// Lists servers as started at `started_ms`.
    pub fn list_again(&self, servers: &[SocketAddr], started_ms: u64) {
        let view = View::clone(&self.views.load());
        self.views.store(Arc::new(View { servers: list(servers, started_ms), ..view }));
    }
}
