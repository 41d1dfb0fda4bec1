//! Idempotency keys forwarded to the entry that writes them, over real connections.

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_control::node::{KeyBinder, Node};
use flamingowheel_control::websocket::{WebSocketPeers, serve};
use flamingowheel_daemon::keys::{KeyPeers, bind_for_peer};
use flamingowheel_entry::claims::{BindReply, Claim, Claims, ForwardedClaim, Peers, writer_of};
use flamingowheel_entry::config::EntryConfig;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::link::LinkOptions;
use flamingowheel_protocol::message::{Hello, Role};
use flamingowheel_protocol::peer::{MemberRecord, MemberState, PeerRequest, StoredValue};
use flamingowheel_protocol::websocket::Identity;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const NAMES: [&str; 6] = ["entry-0", "entry-1", "entry-2", "entry-3", "entry-4", "entry-5"];

fn record(name: &str, inner: SocketAddr) -> MemberRecord {
    MemberRecord {
        name: name.to_owned(),
        vm: name.to_owned(),
        data_centre: "a".to_owned(),
        region: "region".to_owned(),
        inner,
        callers: inner,
        operators: inner,
        incarnation: Incarnation::fresh(),
        version: 1,
        state: MemberState::Live,
    }
}

fn identity(record: &MemberRecord) -> Identity {
    let hello = Hello {
        name: record.name.clone(),
        incarnation: record.incarnation,
        vm: record.vm.clone(),
        data_centre: record.data_centre.clone(),
        operators: None,
        role: Role::Entry,
    };
    Identity { hello, key: FleetKey::new([1; 32]), link_options: LinkOptions::default() }
}

struct Binder(Claims);

impl KeyBinder for Binder {
    fn bind(&self, claim: StoredValue) -> BoxFuture<'_, StoredValue> {
        Box::pin(bind_for_peer(&self.0, claim))
    }
}

// An entry that is not the writer forwards a key to the writer. A writer that is still starting
// can't bind keys; the forwarding entry must not take its answer for a bound key.
#[tokio::test]
async fn forward_binds_key_at_writer() {
    let own = NAMES.into_iter().find(|name| writer_of(name, NAMES) != *name).unwrap();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let records = NAMES.map(|name| record(name, address));
    let node = |name: &str| {
        let own = records.iter().find(|record| record.name == name).unwrap();
        (Node::new(own.clone(), Recorder::for_tests(name)), identity(own))
    };
    let (own_node, own_identity) = node(own);
    for name in NAMES.into_iter().filter(|name| *name != own) {
        let heartbeat = node(name).0.heartbeat(None, Duration::ZERO);
        own_node.answer(PeerRequest::Heartbeat(Box::new(heartbeat))).await;
    }
    let peers = KeyPeers::new(own_node, Arc::new(WebSocketPeers::new(own_identity)));
    let writer = peers.writer().unwrap();
    assert_eq!(writer, writer_of(own, NAMES));

    let (writer_node, writer_identity) = node(&writer);
    tokio::spawn(serve(listener, writer_identity, writer_node.clone(), CancellationToken::new()));
    let claim = Claim::new("ticket".to_owned(), "0".to_owned());
    let forwarded = ForwardedClaim {
        key: "key".to_owned(),
        claim: claim.clone(),
        replaces: None,
        wait_ms: 60_000,
    };
    assert_eq!(peers.forward(&writer, &forwarded).await, None);

    let kv = FakeKeyValue::new();
    let config = EntryConfig::new(&writer, "a", address, FleetKey::new([1; 32]));
    let claims = Claims::start(Arc::new(kv.clone()), &config);
    writer_node.set_key_binder(Arc::new(Binder(claims)));
    assert_eq!(peers.forward(&writer, &forwarded).await, Some(BindReply::Bound(claim)));
    assert_eq!(kv.peek("key").entries.len(), 1);
}
