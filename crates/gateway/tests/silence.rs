//! Servers whose VM stands still while their group goes on.

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::connection::Connection;
use flamingowheel_gateway::group::{GroupLoad, Seat};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::silence::Watcher;
use flamingowheel_gateway::view::{View, Views};
use flamingowheel_protocol::ranks::GroupStatus;
use http::Request;
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

/// Callers leave after this long without an event.
const CALLERS_PATIENCE: Duration = Duration::from_secs(2);

struct Scene {
    group: Arc<GroupLoad>,
    silent: Arc<Server>,
    other: SocketAddr,
    watcher: Watcher,
}

/// A group of two ranks, the first of which is watched.
fn scene() -> Scene {
    let addresses = [9_001, 9_002].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let group = Arc::new(GroupLoad::default());
    let mut view = View::default();
    for (rank, address) in addresses.into_iter().enumerate() {
        let seat = Seat { group: Arc::clone(&group), rank, pace: 1.0, is_away: false };
        view.seats.insert(address, seat);
    }
    let silent = Arc::new(Server::new(BackendServer {
        id: "silent".to_owned(),
        service: "s".to_owned(),
        address: addresses[0],
        data_centre: "d".to_owned(),
        slots: 6,
        is_draining: false,
        started_ms: 1,
    }));
    let views = Views::default();
    views.store(Arc::new(view));
    let watcher = Watcher::new(views, Arc::clone(&silent), Some(Arc::clone(&group)));
    Scene { group, silent, other: addresses[1], watcher }
}

fn status(silent: &[u16]) -> GroupStatus {
    GroupStatus { requests: vec![3, 3], silent: silent.to_vec(), ..GroupStatus::default() }
}

/// Sends an event of the other rank with each pass.
async fn pass_on_events(group: Arc<GroupLoad>, server: SocketAddr) {
    loop {
        group.note_life(server, Instant::now());
        sleep(Duration::from_millis(100)).await;
    }
}

/// A VM stops after it has taken a request. Its caller would wait for two seconds, and leave.
#[tokio::test(start_paused = true)]
async fn no_head_reported_silent() {
    let Scene { group, watcher, .. } = scene();
    group.set_reported(&status(&[0]), Instant::now());
    assert!(timeout(CALLERS_PATIENCE / 4, watcher.no_head(Instant::now())).await.is_ok());
}

/// The VM that stops is the coordinator's, so that nobody tells. What this entry sees must do.
#[tokio::test(start_paused = true)]
async fn no_head_unreported() {
    let Scene { group, silent, other, watcher } = scene();
    let _waiting = silent.begin(Some(&group));
    let events = tokio::spawn(pass_on_events(Arc::clone(&group), other));
    assert!(timeout(CALLERS_PATIENCE, watcher.no_head(Instant::now())).await.is_ok());
    events.abort();
}

/// A request waits in the queue of a full rank that lives. Sent to another as well, it would make the
/// group fuller still.
#[tokio::test(start_paused = true)]
async fn no_head_reported_alive() {
    let Scene { group, silent, other, watcher } = scene();
    let _waiting = silent.begin(Some(&group));
    let events = tokio::spawn(pass_on_events(Arc::clone(&group), other));
    let reports = {
        let group = Arc::clone(&group);
        tokio::spawn(async move {
            loop {
                group.set_reported(&status(&[]), Instant::now());
                sleep(Duration::from_millis(200)).await;
            }
        })
    };
    assert!(timeout(CALLERS_PATIENCE, watcher.no_head(Instant::now())).await.is_err());
    events.abort();
    reports.abort();
}

/// A VM stops in the middle of a stream, and the group's passes go on.
#[tokio::test(start_paused = true)]
async fn no_event_group_goes_on() {
    let Scene { group, other, watcher, .. } = scene();
    let events = tokio::spawn(pass_on_events(group, other));
    assert!(timeout(CALLERS_PATIENCE / 2, watcher.no_event(Instant::now())).await.is_ok());
    events.abort();
}

/// A group forms again, and all its streams stand still. Sent elsewhere all at once, they would crowd what
/// goes on.
#[tokio::test(start_paused = true)]
async fn no_event_group_stands_still() {
    let Scene { group, other, watcher, .. } = scene();
    group.note_life(other, Instant::now());
    assert!(timeout(CALLERS_PATIENCE, watcher.no_event(Instant::now())).await.is_err());
}

/// A caller leaves while its request has not reached the server. Closed in the usual way, the connection
/// would still deliver it, seconds later.
#[tokio::test]
async fn drop_connection_resets() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = tokio::spawn(async move { listener.accept().await.unwrap().0 });
    let mut connection = Connection::open(address).await.unwrap();
    let mut server = accepting.await.unwrap();
    {
        let request = Request::new(Full::new(bytes::Bytes::from_static(b"body")));
        let sending = connection.send(request);
        let reading = server.readable();
        tokio::select! {
            answer = sending => panic!("nobody answers: {answer:?}"),
            readable = reading => readable.unwrap(),
        }
    }
    drop(connection);
    let mut taken = Vec::new();
    let ended = server.read_to_end(&mut taken).await;
    assert_eq!(ended.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
}
