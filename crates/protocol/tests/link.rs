//! Closing of silent, stuck and malformed connections, and the handshake.

use bytes::Bytes;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::codec::encode;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::link::{Link, LinkOptions};
use flamingowheel_protocol::message::{Hello, Role};
use flamingowheel_protocol::websocket::{HandshakeError, Identity, accept, connect};
use futures_channel::mpsc;
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

type TestLink = Link<String, String>;

/// Longest time until a dead connection is closed.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(3);

fn hello(name: &str) -> Hello {
    Hello {
        name: name.to_owned(),
        incarnation: Incarnation::fresh(),
        vm: name.to_owned(),
        data_centre: "a".to_owned(),
        operators: None,
        role: Role::Entry,
    }
}

fn identity(name: &str, key: u8) -> Identity {
    Identity {
        hello: hello(name),
        key: FleetKey::new([key; 32]),
        link_options: LinkOptions::default(),
    }
}

fn start() -> (TestLink, mpsc::Receiver<Bytes>, mpsc::Sender<Bytes>) {
    let (to_peer, peer_reads) = mpsc::channel(0);
    let (peer_writes, from_peer) = mpsc::channel(8);
    let link = Link::start(hello("peer"), to_peer, from_peer, LinkOptions::default());
    (link, peer_reads, peer_writes)
}

// A NAT device or firewall drops its state of the connection: nothing arrives, but neither end
// closes it. Requests on it would wait forever.
#[tokio::test(start_paused = true)]
async fn link_silent_is_closed() {
    let (mut link, peer_reads, peer_writes) = start();
    tokio::spawn(peer_reads.for_each(|_| async {}));
    let began = Instant::now();
    assert_eq!(link.receiver.recv().await, None);
    assert!(began.elapsed() <= MAX_DETECTION_TIME);
    drop(peer_writes);
}

// The peer's process is frozen: the connection accepts no more data.
#[tokio::test(start_paused = true)]
async fn link_stuck_is_closed() {
    let (mut link, _peer_reads, mut peer_writes) = start();
    tokio::spawn(async move {
        while peer_writes.send(encode::<String>(0, &[]).unwrap().into()).await.is_ok() {
            sleep(Duration::from_millis(500)).await;
        }
    });
    let began = Instant::now();
    assert_eq!(link.receiver.recv().await, None);
    assert!(began.elapsed() <= MAX_DETECTION_TIME);
}

// A connection without traffic must stay open for as long as both processes run.
#[tokio::test(start_paused = true)]
async fn link_idle_stays_open() {
    let (to_b, from_a) = mpsc::channel(8);
    let (to_a, from_b) = mpsc::channel(8);
    let mut a: TestLink = Link::start(hello("b"), to_b, from_b, LinkOptions::default());
    let b: TestLink = Link::start(hello("a"), to_a, from_a, LinkOptions::default());
    sleep(Duration::from_secs(3600)).await;
    b.sender.send("still here".to_owned()).await.unwrap();
    assert_eq!(a.receiver.recv().await.as_deref(), Some("still here"));
}

// A peer of another build, or an unknown client, sends bytes that are not a batch.
#[tokio::test(start_paused = true)]
async fn link_malformed_is_closed() {
    let (mut link, peer_reads, mut peer_writes) = start();
    tokio::spawn(peer_reads.for_each(|_| async {}));
    peer_writes.send(Bytes::from_static(&[0xff, 0x00])).await.unwrap();
    assert_eq!(link.receiver.recv().await, None);
}

#[tokio::test]
async fn handshake_same_key() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept::<String, String>(stream, &identity("server", 1)).await.unwrap()
    };
    let client = identity("client", 1);
    let (mut server, opened) = tokio::join!(accepting, connect::<String, String>(address, &client));
    let opened = opened.unwrap();
    assert_eq!((server.peer.name.as_str(), opened.peer.name.as_str()), ("client", "server"));
    opened.sender.send("hello".to_owned()).await.unwrap();
    assert_eq!(server.receiver.recv().await.as_deref(), Some("hello"));
}

// A process without the fleet key connects, or pretends to be an agent. Neither side may accept it.
#[tokio::test]
async fn handshake_other_key_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        accept::<String, String>(stream, &identity("server", 1)).await.err()
    };
    let other_key = identity("client", 2);
    let (server, client) = tokio::join!(accepting, connect::<String, String>(address, &other_key));
    assert!(matches!(client.err(), Some(HandshakeError::NotAuthentic)));
    assert!(server.is_some());
}
