//! The memory of an entry before servers whose answers never end, over all its connections.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with other tests")]
mod framing;

use flamingowheel_standin::endless::{Bytes, EndlessServer};
use flamingowheel_standin::platform::messages::{answer_head, caller_headers, configuration};
use framing::caller::API_KEY;
use framing::entry::Entry;
use http::Request;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Requests in progress at the same time.
const CALLERS: usize = 300;

/// Time limit of all routes, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 5_000;

/// Time for which callers wait: more than any limit of the entry.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// Memory of the entry's VM, in bytes, as the entry is told.
const MEMORY_BYTES: u64 = 200_000_000;

/// Size that an event without an end has reached when its server goes on slowly: less than the
/// largest event.
const EVENT_BYTES: usize = 1_000_000;

const PAUSE: Duration = Duration::from_millis(100);

const ATTEMPT: &str = "a1";

/// Answers without end, each with the path of a request.
fn cases() -> [(&'static str, Bytes); 4] {
    let head = format!("{}\r\n", answer_head(ATTEMPT));
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let begun = format!("{head}{}", chunk(&"x".repeat(EVENT_BYTES)));
    [
        ("/live/x", Bytes::slow(&begun, &chunk("x"), PAUSE)),
        ("/stream/x", Bytes::slow(&begun, &chunk("x"), PAUSE)),
        ("/safe/x", Bytes::fast(&head, &chunk(&"x".repeat(64 * 1024)))),
        ("/safe/x", Bytes::fast(&answer_head(ATTEMPT), "x: y\r\n")),
    ]
}

/// Highest memory in use by this process so far, in bytes.
fn peak_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
    kilobytes * 1_024
}

/// Sends a request and reads the answer to its end.
async fn call(entry: SocketAddr, path: &str) {
    let attempt = caller_headers(Request::builder(), ATTEMPT, API_KEY, ROUTE_TIMEOUT_MS);
    let request = attempt.body(()).unwrap();
    let mut head = format!("POST {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in request.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(format!("{head}content-length: 0\r\n\r\n").as_bytes()).await.unwrap();
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {}
}

/// A server in trouble sends bytes without end on all connections at once, in heads, bodies or single
/// events. Together they must not fill the memory of the machine, as it would take the requests of all
/// other callers with it.
#[tokio::test]
async fn serve_endless_answers_memory_bounded() {
    let before = peak_bytes();
    for (path, bytes) in cases() {
        let server = EndlessServer::start(bytes).await.unwrap();
        let configuration = configuration(1, &[API_KEY], ROUTE_TIMEOUT_MS);
        let entry = Entry::start(&[server.address], Some(configuration.as_bytes())).await;
        let mut callers = JoinSet::new();
        for _ in 0..CALLERS {
            callers.spawn(call(entry.address, path));
        }
        timeout(CALLER_TIMEOUT, callers.join_all()).await.expect("the entry gives up");
        let used = peak_bytes() - before;
        assert!(used < MEMORY_BYTES, "{path}: {} MB", used / 1_000_000);
        assert_eq!(entry.held.bytes(), 0, "{path}");
    }
}
