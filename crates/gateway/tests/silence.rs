//! Detection of servers whose VM has stalled while their group continues to run passes.

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::connection::Connection;
use flamingowheel_gateway::group::{GroupLoad, GroupRank};
use flamingowheel_gateway::server::Server;
use flamingowheel_gateway::silence::{EVENT_LIMIT, SilenceDetector};
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

/// Callers give up after this long without an event.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between the events of a stream.
const ONE_PASS: Duration = Duration::from_millis(100);

struct Setup {
    group: Arc<GroupLoad>,
    silent: Arc<Server>,
    other: SocketAddr,
    detector: SilenceDetector,
}

/// A group of two ranks with a detector for the first.
fn setup() -> Setup {
    let addresses = [9_001, 9_002].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let group = Arc::new(GroupLoad::default());
    let mut view = View::default();
    for (rank, address) in addresses.into_iter().enumerate() {
        let group_rank = GroupRank { group: Arc::clone(&group), rank, pace: 1.0, is_away: false };
        view.group_ranks.insert(address, group_rank);
    }
    let silent = Arc::new(Server::new(BackendServer {
        id: "silent".to_owned(),
        service: "s".to_owned(),
        address: addresses[0],
        data_centre: "d".to_owned(),
        slots: 6,
        is_draining: false,
        started_ms: 1,
        cold_left_ms: 0,
    }));
    let views = Views::default();
    views.store(Arc::new(view));
    let detector = SilenceDetector::new(views, Arc::clone(&silent), Some(Arc::clone(&group)));
    Setup { group, silent, other: addresses[1], detector }
}

fn status(silent: &[u16]) -> GroupStatus {
    GroupStatus { requests: vec![3, 3], silent: silent.to_vec(), ..GroupStatus::default() }
}

/// Records an event of a server with each pass.
async fn record_events(group: Arc<GroupLoad>, server: SocketAddr) {
    loop {
        group.record_event(server, Instant::now());
        sleep(ONE_PASS).await;
    }
}

/// A VM stalls after it has accepted a request. Without detection, its caller would wait for two
/// seconds and give up.
#[tokio::test(start_paused = true)]
async fn head_overdue_reported_silent() {
    let Setup { group, detector, .. } = setup();
    group.set_status(&status(&[0]), Instant::now());
    assert!(timeout(CALLER_TIMEOUT / 4, detector.head_overdue(Instant::now())).await.is_ok());
}

/// The stalled VM is the coordinator's, so there are no reports. The entry's own observations must
/// suffice.
#[tokio::test(start_paused = true)]
async fn head_overdue_unreported() {
    let Setup { group, silent, other, detector } = setup();
    let _waiting = silent.begin(Some(&group));
    let events = tokio::spawn(record_events(Arc::clone(&group), other));
    assert!(timeout(CALLER_TIMEOUT, detector.head_overdue(Instant::now())).await.is_ok());
    events.abort();
}

/// A request is queued at a full rank that is alive. If it were also sent to another rank, it would
/// add to the group's load.
#[tokio::test(start_paused = true)]
async fn head_overdue_reported_alive() {
    let Setup { group, silent, other, detector } = setup();
    let _waiting = silent.begin(Some(&group));
    let events = tokio::spawn(record_events(Arc::clone(&group), other));
    let reports = {
        let group = Arc::clone(&group);
        tokio::spawn(async move {
            loop {
                group.set_status(&status(&[]), Instant::now());
                sleep(Duration::from_millis(200)).await;
            }
        })
    };
    assert!(timeout(CALLER_TIMEOUT, detector.head_overdue(Instant::now())).await.is_err());
    events.abort();
    reports.abort();
}

/// A VM stalls in the middle of a stream, and the group continues to run passes.
#[tokio::test(start_paused = true)]
async fn event_overdue_group_active() {
    let Setup { group, other, detector, .. } = setup();
    let events = tokio::spawn(record_events(group, other));
    assert!(timeout(CALLER_TIMEOUT / 2, detector.event_overdue(Instant::now())).await.is_ok());
    events.abort();
}

/// A group forms again, and all its streams pause. If all were resumed elsewhere at once, they
/// would overload the remaining groups.
#[tokio::test(start_paused = true)]
async fn event_overdue_group_stalled() {
    let Setup { group, other, detector, .. } = setup();
    group.record_event(other, Instant::now());
    assert!(timeout(CALLER_TIMEOUT, detector.event_overdue(Instant::now())).await.is_err());
}

/// A whole group pauses and goes on. The first event of a server must not convict the others, whose
/// events come a moment later.
#[tokio::test(start_paused = true)]
async fn event_overdue_group_goes_on_after_pause() {
    let Setup { group, silent, other, detector } = setup();
    let begun_at = Instant::now();
    for server in [silent.listed.address, other] {
        group.record_event(server, begun_at);
    }
    let waiting = tokio::spawn(async move { detector.event_overdue(begun_at).await });
    sleep(EVENT_LIMIT * 2).await;
    group.record_event(other, Instant::now());
    sleep(EVENT_LIMIT).await;
    let events = tokio::spawn(record_events(Arc::clone(&group), other));
    sleep(ONE_PASS * 2).await;
    assert!(!waiting.is_finished(), "called silent before the group went on");
    // Passes that go on without the server show that it is silent.
    assert!(timeout(CALLER_TIMEOUT / 4, waiting).await.is_ok());
    events.abort();
}

/// Many servers of a group have short streams, none of which shows alone that the group goes on.
#[tokio::test(start_paused = true)]
async fn event_overdue_others_take_turns() {
    let Setup { group, detector, .. } = setup();
    let waiting = tokio::spawn(async move { detector.event_overdue(Instant::now()).await });
    for port in 9_100..9_112 {
        group.record_event(SocketAddr::from(([127, 0, 0, 1], port)), Instant::now());
        sleep(ONE_PASS).await;
    }
    assert!(waiting.is_finished());
}

/// A caller leaves before its request has reached the server. After a regular close, the connection
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
