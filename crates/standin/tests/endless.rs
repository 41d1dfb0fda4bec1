//! Clients of servers whose answers never end.

use flamingowheel_backing::backend::{BackendCall, BackendError, BackendServer, BodyPiece};
use flamingowheel_backing::client::http::{HttpClient, HttpError, HttpLimits, Reuse};
use flamingowheel_backing::client::liveness::{Trust, find_state};
use flamingowheel_backing::client::{BackendKind, EtcdClient, HttpBackend, HttpVmList};
use flamingowheel_backing::kv::{KeyValue, KeyValueError};
use flamingowheel_backing::vm::VmList;
use flamingowheel_policy::answers::ServerState;
use flamingowheel_protocol::link::{Link, Timing};
use flamingowheel_protocol::message::Role;
use flamingowheel_protocol::websocket::{HandshakeError, Identity, connect};
use flamingowheel_standin::endless::{Bytes, EndlessServer};
use http::Method;
use http_body_util::Full;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for one exchange in these tests, far above all limits of the clients.
const CASE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between two writes of a slow server, far below all limits of the clients.
const PAUSE: Duration = Duration::from_millis(5);

/// Bytes that may be on their way in socket buffers, besides those that a client reads.
const IN_FLIGHT_BYTES: u64 = 16 * 1024 * 1024;

const MAX_BODY_BYTES: usize = 256 * 1024;
/// Time limit for bodies that come slowly; those that come fast reach their size first.
const BODY_TIMEOUT_MS: u64 = 300;
const HEAD_TIMEOUT_MS: u64 = 300;

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNK_BYTES: usize = 0x1000;

fn chunk() -> String {
    format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES))
}

fn limits(bytes: &Bytes) -> HttpLimits {
    HttpLimits {
        head_timeout_ms: if bytes.pause.is_zero() { 10_000 } else { HEAD_TIMEOUT_MS },
        read_timeout_ms: 5_000,
        body_timeout_ms: if bytes.pause.is_zero() { 10_000 } else { BODY_TIMEOUT_MS },
        max_body_bytes: MAX_BODY_BYTES,
        ..HttpLimits::default()
    }
}

async fn start(bytes: &Bytes) -> EndlessServer {
    EndlessServer::start(bytes.clone()).await.unwrap()
}

fn authority(server: &EndlessServer) -> http::uri::Authority {
    server.address.to_string().parse().unwrap()
}

/// What a client makes of the answer, which it has to give up and close.
async fn fetch(bytes: &Bytes) -> HttpError {
    let server = &start(bytes).await;
    let client = HttpClient::new(authority(server), limits(bytes));
    let request = client.request(Method::GET, "/").body(Full::default()).unwrap();
    let fetching = timeout(CASE_TIMEOUT, client.fetch(request, Reuse::Allowed));
    let error = fetching.await.expect("the answer is given up").unwrap_err();
    // The connection is closed, so the server ends too.
    let closed = async {
        while server.open_connections() > 0 {
            tokio::task::yield_now().await;
        }
    };
    timeout(CASE_TIMEOUT, closed).await.expect("the connection is closed");
    check_written(server);
    error
}

fn check_written(server: &EndlessServer) {
    assert!(server.written_bytes() < IN_FLIGHT_BYTES, "{} bytes", server.written_bytes());
}

/// Guards against a client that buffers, or waits for, a head without end.
#[tokio::test]
async fn fetch_endless_head() {
    let cases = [
        (Bytes::fast("HTTP/1.1 200 OK\r\n", "x: y\r\n"), HttpError::Malformed),
        (Bytes::fast("HTTP/1.1 200 OK\r\nx: ", "y"), HttpError::Malformed),
        (Bytes::fast("", "no answer "), HttpError::Malformed),
        (
            Bytes::slow("HTTP/1.1 200 OK\r\nx: ", "y", PAUSE),
            HttpError::Silent { limit_ms: HEAD_TIMEOUT_MS },
        ),
    ];
    for (bytes, expected) in cases {
        assert_eq!(fetch(&bytes).await, expected, "{:?}", String::from_utf8_lossy(&bytes.begin));
    }
}

/// Guards against a client that is kept busy by heads that announce an answer and never bring it.
#[tokio::test]
async fn fetch_endless_informational_heads() {
    let heads = "HTTP/1.1 100 Continue\r\n\r\n";
    for bytes in [Bytes::fast("", heads), Bytes::slow("", heads, PAUSE)] {
        assert_eq!(fetch(&bytes).await, HttpError::Malformed);
    }
}

/// Guards against a client that buffers a body without end, or reads one for as long as bytes come.
#[tokio::test]
async fn fetch_endless_body() {
    let too_large = HttpError::TooLarge { limit_bytes: MAX_BODY_BYTES };
    let unfinished = HttpError::Unfinished { limit_ms: BODY_TIMEOUT_MS };
    let chunk = chunk();
    let cases = [
        (Bytes::fast(HEAD, &chunk), too_large),
        (Bytes::fast(UNFRAMED_HEAD, "x"), too_large),
        (Bytes::slow(HEAD, "1\r\nx\r\n", PAUSE), unfinished),
        (Bytes::slow(UNFRAMED_HEAD, "x", PAUSE), unfinished),
        (Bytes::slow(&format!("{HEAD}1;x="), "x", PAUSE), unfinished),
    ];
    for (bytes, expected) in cases {
        assert_eq!(fetch(&bytes).await, expected, "{:?}", String::from_utf8_lossy(&bytes.begin));
    }
    for begin in [format!("{HEAD}0\r\n"), format!("{HEAD}1;x=")] {
        let error = fetch(&Bytes::fast(&begin, "x: y\r\n")).await;
        assert!(matches!(error, HttpError::Lost | HttpError::Malformed), "{error}");
    }
}

/// Guards against a check of a server's state that reads what the server sends unasked.
#[tokio::test]
async fn find_state_endless_bytes_unasked() {
    let bytes = Bytes { waits_for_request: false, ..Bytes::fast("", "unasked ") };
    let server = start(&bytes).await;
    let open = || TcpStream::connect(server.address);
    let finding = timeout(CASE_TIMEOUT, find_state(open, Trust::Thorough));
    let (state, _) = finding.await.expect("the check ends");
    assert_eq!(state, ServerState::Lives);
    check_written(&server);
}

/// Guards against a key-value service or a VM list whose answer is read without end.
#[tokio::test]
async fn range_and_list_endless_body() {
    let unfinished = KeyValueError::NoAnswer { limit_ms: BODY_TIMEOUT_MS };
    let cases = [
        (Bytes::fast(HEAD, &chunk()), KeyValueError::Malformed { what: "size" }),
        (Bytes::slow(HEAD, "1\r\nx\r\n", PAUSE), unfinished),
    ];
    for (bytes, expected) in cases {
        let server = start(&bytes).await;
        let kv = EtcdClient::new(authority(&server), limits(&bytes));
        let error = timeout(CASE_TIMEOUT, kv.range("k")).await.expect("given up").unwrap_err();
        assert_eq!(error, expected);
        let vms = HttpVmList::new(authority(&server), limits(&bytes));
        assert!(timeout(CASE_TIMEOUT, vms.list()).await.expect("given up").is_err());
    }
}

/// Guards against an agent that relays an answer without end.
#[tokio::test]
async fn call_endless_body() {
    let bytes = Bytes::fast(HEAD, &chunk());
    let server = start(&bytes).await;
    let backend = HttpBackend::new(authority(&server), BackendKind::Service, limits(&bytes));
    let call = BackendCall {
        id: "c".to_owned(),
        method: Method::GET,
        path: "/".to_owned(),
        content_type: None,
        body: bytes::Bytes::new(),
        priority: flamingowheel_backing::backend::Priority(4),
        resume_after_events: 0,
    };
    let mut answer = backend.call(call).await.unwrap();
    let reading = async {
        while let Some(piece) = answer.body.recv().await {
            match piece {
                Ok(BodyPiece::Data(_)) => {}
                Ok(BodyPiece::End) => panic!("whole"),
                Err(error) => return error,
            }
        }
        panic!("no outcome")
    };
    let error = timeout(CASE_TIMEOUT, reading).await.expect("the answer is given up");
    assert_eq!(error, BackendError::Malformed);
}

async fn open(server: &EndlessServer) -> HandshakeError {
    let identity = Identity::without_secret("vm-1", "dc-1", Role::Entry, Timing::default());
    let opening = connect::<u64, u64>(server.address, &identity);
    let opened: Result<Link<u64, u64>, _> =
        timeout(CASE_TIMEOUT, opening).await.expect("the connection is given up");
    opened.unwrap_err()
}

/// Guards against a peer whose answer to the opening of a connection never ends.
#[tokio::test]
async fn connect_endless_head() {
    let begin = "HTTP/1.1 101 Switching Protocols\r\n";
    for bytes in [
        Bytes::fast(begin, "x: y\r\n"),
        Bytes::fast(begin, "y"),
        Bytes::slow(begin, "y", PAUSE),
        Bytes::fast(HEAD, &chunk()),
    ] {
        let server = start(&bytes).await;
        open(&server).await;
        check_written(&server);
    }
}
