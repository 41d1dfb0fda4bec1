//! Tests of the tool against the real operators' interface of the control package, with an in-memory
//! key-value service.

use std::net::SocketAddr;
use std::sync::Arc;

use flamingowheel_backing::BoxFuture;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_config::api::ProcessStatus;
use flamingowheel_config::store::Store;
use flamingowheel_control::node::Node;
use flamingowheel_control::operators::{OperatorsApi, OtherProcesses, router};
use flamingowheel_control::transport::{PeerError, PeerTransport};
use flamingowheel_observe::event::Event;
use flamingowheel_observe::http;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::id::Incarnation;
use flamingowheel_protocol::peer::{MemberRecord, MemberState, PeerAnswer, PeerRequest};
use tokio::net::TcpListener;

use crate::session::run_line;

const FIRST: &str = "tests/documents/first.yaml";
const SECOND: &str = "tests/documents/second.yaml";

/// The other processes of a fleet that has only one entry.
struct NoPeers;

impl PeerTransport for NoPeers {
    fn ask(
        &self,
        _peer: SocketAddr,
        _request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerAnswer, PeerError>> {
        Box::pin(async { Err(PeerError::Unreachable) })
    }
}

impl OtherProcesses for NoPeers {
    fn list(&self) -> Vec<ProcessStatus> {
        Vec::new()
    }
}

/// Serves an entry's operators' port on loopback until the test ends.
async fn entry() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    let recorder = Recorder::for_tests("entry-1");
    recorder.record(Event::LeaseLost { lease: "runners-a".into() });
    let own_record = MemberRecord {
        name: "entry-1".to_owned(),
        vm: "vm-1".to_owned(),
        data_centre: "ga-a".to_owned(),
        region: "ga".to_owned(),
        inner: ([127, 0, 0, 1], 1).into(),
        callers: ([127, 0, 0, 1], 2).into(),
        operators: address,
        incarnation: Incarnation(7),
        version: 1,
        state: MemberState::Live,
    };
    let operators = OperatorsApi {
        node: Node::new(own_record, recorder.clone()),
        store: Store::new(Arc::new(FakeKeyValue::new())),
        peers: Arc::new(NoPeers),
        agents: Arc::new(NoPeers),
    };
    let routes = http::router(recorder).merge(router(operators));
    tokio::spawn(async move { axum::serve(listener, routes).await });
    address
}

fn apply(file: &str, number: u8, options: &str) -> String {
    format!("apply -f {file} --again 67e55044-10b1-426f-9247-bb680e5fe0c{number} {options}")
}

#[tokio::test]
async fn session_two_operators_change_one_template() {
    let entries = [entry().await];
    let lines = [
        apply(FIRST, 1, "--seen 0 --dry-run"),
        apply(FIRST, 1, "--seen 0 --wait 5s --comment first"),
        // The operator sends the change again, as after a lost answer.
        apply(FIRST, 1, "--seen 0"),
        apply(FIRST, 9, "--dry-run"),
        "get templates".to_owned(),
        "get templates callbox".to_owned(),
        "get workspaces".to_owned(),
        "get workspaces bibb-county".to_owned(),
        "get workspaces nobody".to_owned(),
        format!("diff -f {SECOND}"),
        format!("diff -f {FIRST}"),
        // The second operator's revision precedes the first change.
        apply(SECOND, 2, "--seen 0"),
        apply(SECOND, 3, "--seen 1"),
        apply("tests/documents/change.yaml", 4, "--operator nikos"),
        "change 2-67e55044-10b1-426f-9247-bb680e5fe0c3".to_owned(),
        "change 67e55044-10b1-426f-9247-bb680e5fe0c1".to_owned(),
    ];
    let mut shown = Vec::new();
    for line in lines {
        shown.push(run_line(&line, &entries).await);
    }
    insta::assert_snapshot!(mask_durations(&shown.join("\n\n")));
}

/// Replaces durations, which differ between runs.
fn mask_durations(text: &str) -> String {
    let lines = text.lines().map(|line| match line.split_once(" after ") {
        Some((before, after)) if after.ends_with(" ms") => format!("{before} after [time]"),
        _ => line.to_owned(),
    });
    lines.collect::<Vec<_>>().join("\n")
}

#[tokio::test]
async fn session_history_status_and_timeline() {
    let entries = [entry().await];
    run_line(&apply(FIRST, 1, "--comment first"), &entries).await;
    let history = run_line("history", &entries).await;
    assert!(history.contains("put template callbox, put workspace bibb-county"), "{history}");
    assert!(history.contains("maria") && history.contains("first"), "{history}");
    let status = run_line("status", &entries).await;
    assert!(status.contains("configuration: revision 1"), "{status}");
    assert!(status.contains("processes: 1 live, 0 leaving, 0 silent"), "{status}");
    // Both the process list and the operator name the entry, but it must be queried only once.
    let timeline = run_line("timeline --since 1h", &entries).await;
    assert_eq!(timeline.matches("lease runners-a lost").count(), 1, "{timeline}");
    assert!(timeline.contains("accepted as revision 1"), "{timeline}");
    assert!(!timeline.contains("NOT REACHED"), "{timeline}");
}
