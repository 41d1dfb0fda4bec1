//! Idle connections to backend servers, and ranks to which one is open.

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::balance::{self, Choice};
use flamingowheel_gateway::connection::Connection;
use flamingowheel_gateway::group::{GroupLoad, GroupRank};
use flamingowheel_gateway::idle::{IdleConnections, Reusable};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::view::View;
use flamingowheel_platform::Stated;
use flamingowheel_protocol::ranks::GroupStatus;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, advance};

#[derive(Debug, PartialEq)]
struct FakeConnection {
    number: u32,
    is_usable: bool,
}

impl Reusable for FakeConnection {
    fn is_usable(&self) -> bool {
        self.is_usable
    }
}

fn open(number: u32) -> FakeConnection {
    FakeConnection { number, is_usable: true }
}

/// Guards against a request that crosses the server's close of the connection.
#[tokio::test(start_paused = true)]
async fn take_stated_time_kept() {
    let mut idle = IdleConnections::default();
    idle.set_stated(Duration::from_secs(4));
    idle.put(open(1), Instant::now());
    advance(Duration::from_millis(2_900)).await;
    assert!(idle.is_ready(Instant::now()));
    assert_eq!(idle.take(Instant::now()), Some(open(1)));
    idle.put(open(2), Instant::now());
    advance(Duration::from_millis(3_100)).await;
    assert!(!idle.is_ready(Instant::now()));
    assert_eq!(idle.take(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn take_unstated_short() {
    let mut idle = IdleConnections::default();
    idle.put(open(1), Instant::now());
    assert!(!idle.is_ready(Instant::now()));
    advance(Duration::from_millis(1_400)).await;
    assert_eq!(idle.take(Instant::now()), Some(open(1)));
    idle.put(open(2), Instant::now());
    advance(Duration::from_millis(1_600)).await;
    assert_eq!(idle.take(Instant::now()), None);
}

/// Guards against entries that together hold more connections than the server accepts.
#[tokio::test(start_paused = true)]
async fn put_beyond_part_oldest_closed() {
    let mut idle = IdleConnections::default();
    idle.set_max(2);
    (1..=3).for_each(|number| idle.put(open(number), Instant::now()));
    let left = [(); 3].map(|()| idle.take(Instant::now()));
    assert_eq!(left, [Some(open(3)), Some(open(2)), None]);
}

#[tokio::test(start_paused = true)]
async fn take_closed_skipped() {
    let mut idle = IdleConnections::default();
    idle.put(open(1), Instant::now());
    idle.put(FakeConnection { number: 2, is_usable: false }, Instant::now());
    assert_eq!(idle.take(Instant::now()), Some(open(1)));
}

fn server(address: SocketAddr) -> Arc<Server> {
    Arc::new(Server::new(BackendServer {
        id: address.to_string(),
        service: "s".to_owned(),
        address,
        data_centre: "d".to_owned(),
        slots: 6,
        is_draining: false,
        started_ms: 1,
        cold_left_ms: 0,
    }))
}

/// Which of two ranks is chosen in 40 choices, for reported requests at them.
fn chosen(view: &View, group: &GroupLoad, requests: [u8; 2]) -> Vec<SocketAddr> {
    let status = GroupStatus { requests: requests.to_vec(), ..GroupStatus::default() };
    group.set_status(&status, Instant::now());
    let choose = |_| match balance::choose(view, "s", &[], None, Instant::now()).choice {
        Choice::Send(server, _) => server.listed.address,
        other => panic!("{other:?}"),
    };
    (0..40).map(choose).collect()
}

/// Guards against ranks that are crowded because connections to them are open.
#[tokio::test]
async fn choose_idle_connection_uncrowded_rank() {
    let listeners = [
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
        TcpListener::bind("127.0.0.1:0").await.unwrap(),
    ];
    let addresses = listeners.each_ref().map(|listener| listener.local_addr().unwrap());
    let servers = addresses.map(server);
    let group = Arc::new(GroupLoad::default());
    let mut view = View { is_uneven: true, ..View::default() };
    for (rank, address) in addresses.into_iter().enumerate() {
        let group_rank = GroupRank { group: Arc::clone(&group), rank, pace: 1.0, is_away: false };
        view.group_ranks.insert(address, group_rank);
    }
    view.servers.insert("s".to_owned(), servers.to_vec());
    let mut connection = Connection::open(addresses[1]).await.unwrap();
    assert!(connection.wait_until_ready().await);
    servers[1].put_idle(connection, Instant::now());
    assert!(chosen(&view, &group, [2, 2]).contains(&addresses[0]));
    servers[1].record_idle_limit(&Stated::Value(Duration::from_secs(60)));
    assert!(chosen(&view, &group, [2, 2]).iter().all(|address| *address == addresses[1]));
    assert!(chosen(&view, &group, [2, 5]).contains(&addresses[0]));
}
