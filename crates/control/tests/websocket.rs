//! Requests between entries over WebSocket connections on the loopback interface.

mod common;

use common::record;
use flamingowheel_control::node::Node;
use flamingowheel_control::transport::{PeerError, PeerTransport};
use flamingowheel_control::websocket::{WebSocketPeers, serve};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::link::LinkOptions;
use flamingowheel_protocol::message::{Hello, Role};
use flamingowheel_protocol::peer::{PeerAnswer, PeerRequest};
use flamingowheel_protocol::websocket::Identity;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

fn identity(number: usize, key: u8) -> Identity {
    let record = record(number, 1);
    let hello = Hello {
        name: record.name,
        incarnation: record.incarnation,
        vm: "vm".to_owned(),
        operators: None,
        data_centre: record.data_centre,
        role: Role::Entry,
    };
    Identity { hello, key: FleetKey::new([key; 32]), link_options: LinkOptions::default() }
}

async fn start(number: usize) -> (SocketAddr, Node, CancellationToken) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let node = Node::new(record(number, 1), Recorder::for_tests("entry"));
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, identity(number, 1), node.clone(), stop.clone()));
    (address, node, stop)
}

#[tokio::test]
async fn ask_is_answered_and_survives_a_restart() {
    let (address, node, stop) = start(1).await;
    let peers = WebSocketPeers::new(identity(0, 1));
    for _ in 0..3 {
        let answer = peers.ask(address, PeerRequest::Status).await.unwrap();
        assert!(matches!(answer, PeerAnswer::Status { record, .. } if record.name == "entry-1"));
    }
    // The peer stops while it holds a heartbeat; the pending request must fail.
    let heartbeat = Node::new(record(0, 1), Recorder::for_tests("entry"))
        .heartbeat(None, Duration::from_secs(10));
    let heartbeat = flamingowheel_protocol::peer::Heartbeat { after: u64::MAX, ..heartbeat };
    let held = peers.ask(address, PeerRequest::Heartbeat(Box::new(heartbeat)));
    let (held, ()) = tokio::join!(held, async {
        // The peer has received the heartbeat once the sender is in its member table.
        while node.members().len() < 2 {
            tokio::task::yield_now().await;
        }
        stop.cancel();
    });
    assert!(held.is_err(), "{held:?}");
    assert_eq!(peers.ask(address, PeerRequest::Status).await, Err(PeerError::Unreachable));
}

#[tokio::test]
async fn ask_without_the_fleet_key() {
    let (address, _node, _stop) = start(1).await;
    let unauthorized = WebSocketPeers::new(identity(0, 2));
    assert_eq!(unauthorized.ask(address, PeerRequest::Status).await, Err(PeerError::Unreachable));
}

#[tokio::test]
async fn ask_many_keeps_few_connections() {
    // Each process probes a random member every few seconds. If all those connections stayed open,
    // their heartbeats would exceed the control plane's traffic budget.
    let peers = WebSocketPeers::with_idle_timeout(identity(0, 1), Duration::ZERO);
    let mut stops = Vec::new();
    for number in 1..8 {
        let (address, _, stop) = start(number).await;
        stops.push(stop);
        peers.ask(address, PeerRequest::Status).await.unwrap();
        assert_eq!(peers.open_connections(), 1);
    }
    // A connection with a pending request stays open.
    let (held, node, _stop) = start(8).await;
    let (other, _, _stop) = start(9).await;
    let heartbeat = Node::new(record(0, 1), Recorder::for_tests("entry"))
        .heartbeat(None, Duration::from_millis(50));
    let heartbeat = flamingowheel_protocol::peer::Heartbeat { after: u64::MAX, ..heartbeat };
    let request = peers.ask(held, PeerRequest::Heartbeat(Box::new(heartbeat)));
    let (answer, ()) = tokio::join!(request, async {
        while node.members().len() < 2 {
            tokio::task::yield_now().await;
        }
        peers.ask(other, PeerRequest::Status).await.unwrap();
        assert_eq!(peers.open_connections(), 2);
    });
    assert!(answer.is_ok(), "{answer:?}");
}
