//! Backend servers in trouble, whose answers never end.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_standin::endless::{Bytes, EndlessServer};
use flamingowheel_standin::platform::messages::{answer_head, caller_headers, configuration};
use flamingowheel_standin::platform::raw::{Answer, Framing, RawServer};
use framing::caller::{API_KEY, Ask, Received, call};
use framing::entry::Entry;
use framing::events_after;
use http::Request;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit of all routes, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 1_500;

/// Time limit of routes whose answers end by their size.
const LONG_ROUTE_TIMEOUT_MS: u64 = 20_000;

/// Largest answer that is relayed, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Time for which a caller waits: more than any limit of the entry.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two writes of a slow server, far below all limits of the entry.
const PAUSE: Duration = Duration::from_millis(5);

/// Bytes that may be on their way in socket buffers.
const IN_FLIGHT_BYTES: u64 = 16 * 1024 * 1024;

const CHUNK_BYTES: usize = 64 * 1024;

const ATTEMPT: &str = "a1";

const INFORMATIONAL: &str = "HTTP/1.1 100 Continue\r\n\r\n";

fn endless_heads() -> [Bytes; 4] {
    [
        Bytes::fast(&answer_head(ATTEMPT), "x: y\r\n"),
        Bytes::slow(&answer_head(ATTEMPT), "x", PAUSE),
        Bytes::fast("", INFORMATIONAL),
        Bytes::slow("", INFORMATIONAL, PAUSE),
    ]
}

fn body(repeat: &str) -> Bytes {
    let chunk = repeat.repeat(CHUNK_BYTES / repeat.len());
    let chunk = format!("{:x}\r\n{chunk}\r\n", chunk.len());
    Bytes::fast(&format!("{}\r\n", answer_head(ATTEMPT)), &chunk)
}

/// An entry before a server whose answers never end and, if `has_second`, a sound one.
async fn start(bytes: &Bytes, has_second: bool, timeout_ms: u64) -> (EndlessServer, Entry) {
    let endless = EndlessServer::start(bytes.clone()).await.unwrap();
    let whole = Answer::whole(Framing::Length, events_after(0).into_bytes());
    let sound = RawServer::start(move |_| whole.clone()).await.unwrap();
    let addresses = [endless.address, sound.address];
    let listed = if has_second { &addresses[..] } else { &addresses[..1] };
    let configuration = configuration(1, &[API_KEY], timeout_ms);
    let entry = Entry::start_with_retries(listed, Some(configuration.as_bytes()), 1e6).await;
    (endless, entry)
}

async fn ask(entry: &Entry, path: &str) -> Received {
    let asking = call(entry.address, Ask::new(path, ATTEMPT));
    timeout(CALLER_TIMEOUT, asking).await.expect("the entry answers or closes")
}

fn is_whole(received: &Received) -> bool {
    received.is_complete && received.body == events_after(0).as_bytes()
}

/// Waits until the entry has closed its connections to the server.
async fn wait_until_closed(server: &EndlessServer) {
    let closed = async {
        while server.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(CALLER_TIMEOUT, closed).await.expect("the entry closes the connection");
}

fn check_written(server: &EndlessServer, max_bytes: u64) {
    assert!(server.written_bytes() < max_bytes, "{} bytes", server.written_bytes());
}

/// Reads an answer to its end without keeping it; returns its size, and whether it was broken off.
async fn read_all(entry: &Entry, path: &str) -> (u64, bool) {
    let request = caller_headers(Request::builder(), ATTEMPT, API_KEY, 20_000).body(()).unwrap();
    let mut head = format!("POST {path} HTTP/1.1\r\n");
    for (name, value) in request.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let mut stream = TcpStream::connect(entry.address).await.unwrap();
    stream.write_all(format!("{head}content-length: 0\r\n\r\n").as_bytes()).await.unwrap();
    let mut buffer = vec![0; 256 * 1024];
    let (mut read_bytes, mut end) = (0, Vec::new());
    let reading = async {
        while let Ok(bytes @ 1..) = stream.read(&mut buffer).await {
            read_bytes += bytes as u64;
            end = buffer[bytes.saturating_sub(5)..bytes].to_vec();
        }
    };
    timeout(CALLER_TIMEOUT, reading).await.expect("the entry ends or closes");
    (read_bytes, end != b"0\r\n\r\n")
}

/// Guards against a request that is kept by a head without end: one that may be repeated goes on
/// elsewhere, and one that may not ends as unknown, never as "not run".
#[tokio::test]
async fn send_endless_head() {
    for bytes in endless_heads() {
        let (server, entry) = start(&bytes, true, ROUTE_TIMEOUT_MS).await;
        let read = ask(&entry, "/safe/x").await;
        // Nothing but time tells a slow head from an endless one.
        let is_slow_head = !bytes.begin.is_empty() && !bytes.pause.is_zero();
        assert!(is_whole(&read) || is_slow_head && matches!(read.status, 502 | 504), "{read:?}");
        wait_until_closed(&server).await;
        check_written(&server, IN_FLIGHT_BYTES);
        let (server, entry) = start(&bytes, false, ROUTE_TIMEOUT_MS).await;
        let once = ask(&entry, "/once/x").await;
        assert!(matches!(once.status, 502 | 504), "{once:?}");
        wait_until_closed(&server).await;
        check_written(&server, IN_FLIGHT_BYTES);
    }
}

/// Guards against a plain answer without end that is relayed for as long as the caller waits, or looks
/// complete.
#[tokio::test]
async fn forward_endless_plain_body() {
    let (server, entry) = start(&body("x"), false, LONG_ROUTE_TIMEOUT_MS).await;
    let (read_bytes, is_broken) = read_all(&entry, "/safe/x").await;
    assert!(is_broken);
    assert!(read_bytes < MAX_ANSWER_BYTES + IN_FLIGHT_BYTES, "{read_bytes} bytes");
    wait_until_closed(&server).await;
    check_written(&server, MAX_ANSWER_BYTES + IN_FLIGHT_BYTES);
    assert_eq!(entry.held.bytes(), 0);
}

/// The same for one that comes slowly: it ends with the route's time limit.
#[tokio::test]
async fn forward_endless_slow_plain_body() {
    let bytes = Bytes::slow(&format!("{}\r\n", answer_head(ATTEMPT)), "1\r\nx\r\n", PAUSE);
    let (server, entry) = start(&bytes, false, ROUTE_TIMEOUT_MS).await;
    let received = ask(&entry, "/safe/x").await;
    assert!(matches!(received.status, 502 | 504), "{received:?}");
    wait_until_closed(&server).await;
}

/// Guards against a stream whose event never ends, or whose events never do: it goes on elsewhere, or
/// breaks off.
#[tokio::test]
async fn relay_endless_stream() {
    let (server, entry) = start(&body("data: x\n"), true, ROUTE_TIMEOUT_MS).await;
    let received = ask(&entry, "/stream/x").await;
    assert!(is_whole(&received), "{received:?}");
    wait_until_closed(&server).await;
    check_written(&server, IN_FLIGHT_BYTES);
    for repeat in ["data: x\n", ": x\n\n"] {
        let (server, entry) = start(&body(repeat), false, ROUTE_TIMEOUT_MS).await;
        let (read_bytes, is_broken) = read_all(&entry, "/live/x").await;
        assert!(is_broken, "{repeat:?}");
        assert!(read_bytes < MAX_ANSWER_BYTES + IN_FLIGHT_BYTES, "{read_bytes} bytes");
        wait_until_closed(&server).await;
    }
}
