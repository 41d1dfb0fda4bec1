//! What callers get whose connections an entry closes, over real sockets.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with other tests")]
mod framing;

use flamingowheel_standin::platform::messages::configuration;
use flamingowheel_standin::platform::raw::{Answer, Call, Framing, RawServer};
use framing::caller::{API_KEY, Received, head, parse, read_answer, read_answers};
use framing::entry::Entry;
use framing::{Bench, events_after};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Time within which something that is expected happens.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Receive buffer of a caller that takes an answer only as it reads.
const SMALL_BUFFER_BYTES: u32 = 4 * 1024;

/// Size of an answer that no receive buffer holds.
const LARGE_BYTES: usize = 3 * 1024 * 1024;

/// Size of a request of which an entry reads only a part while another one is in progress.
const LATE_BYTES: usize = 512 * 1024;

fn request(path: &str, attempt: &str) -> String {
    head(path, attempt, "content-length: 0\r\n")
}

async fn wait_until(mut is_met: impl FnMut() -> bool) {
    let met = async {
        while !is_met() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(MAX_WAIT, met).await.unwrap();
}

/// Blocks this thread, and so the entry, until the kernel holds `count` bytes, or connections of a listener, on
/// the socket from `local` to the port `remote`.
fn block_until_waiting(local: SocketAddr, remote: u16, count: usize) {
    let end = std::time::Instant::now() + MAX_WAIT;
    let is_waiting = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let has_port = |field: usize, port: u16| {
            fields[field].split(':').nth(1) == Some(format!("{port:04X}").as_str())
        };
        let waiting = fields[4].split(':').nth(1).unwrap_or_default();
        has_port(1, local.port())
            && has_port(2, remote)
            && usize::from_str_radix(waiting, 16).is_ok_and(|waiting| waiting >= count)
    };
    while !std::fs::read_to_string("/proc/net/tcp").unwrap().lines().skip(1).any(is_waiting) {
        assert!(std::time::Instant::now() < end, "nothing has arrived");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Everything that arrives until the entry closes the connection.
async fn read_all(stream: &mut TcpStream) -> Received {
    let mut bytes = Vec::new();
    let ended = timeout(MAX_WAIT, stream.read_to_end(&mut bytes)).await.unwrap();
    parse(&bytes, true, ended.is_ok())
}

async fn connect_with_small_buffer(entry: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    socket.connect(entry).await.unwrap()
}

/// A caller connects right before the listener closes and sends its request at once: it must get its answer,
/// and not a reset, although the entry has not accepted it yet.
#[tokio::test]
async fn close_accept_queue_served() {
    const CALLERS: usize = 16;
    let bench = Bench::start(1, &Answer::whole(Framing::Length, b"whole".to_vec())).await;
    let connect = |number| {
        let mut stream = std::net::TcpStream::connect(bench.entry.address).unwrap();
        stream.write_all(request("/once/x", &format!("a{number}")).as_bytes()).unwrap();
        stream.set_nonblocking(true).unwrap();
        stream
    };
    let streams: Vec<_> = (0..CALLERS).map(connect).collect();
    block_until_waiting(bench.entry.address, 0, CALLERS);
    bench.entry.stop.closing.cancel();
    let mut bodies = Vec::new();
    for stream in streams {
        bodies.push(read_all(&mut TcpStream::from_std(stream).unwrap()).await.body);
    }
    assert_eq!(bodies, vec![b"whole"; CALLERS]);
}

/// A connection is accepted, and its first request comes as the entry closes idle connections: a new
/// connection is not idle, and its caller can't know that the entry is leaving.
#[tokio::test]
async fn close_new_connection_served() {
    let bench = Bench::start(1, &Answer::whole(Framing::Length, b"whole".to_vec())).await;
    let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
    wait_until(|| bench.entry.held.connections() == 1).await;
    bench.entry.stop.closing.cancel();
    let request = request("/once/x", "a1");
    assert_eq!(stream.try_write(request.as_bytes()).unwrap(), request.len());
    assert_eq!(read_all(&mut stream).await.body, b"whole");
}

/// The next request on a kept connection has arrived, unread, as the entry closes idle connections.
#[tokio::test]
async fn close_kept_connection_waiting_request_served() {
    let bench = Bench::start(1, &Answer::whole(Framing::Length, b"whole".to_vec())).await;
    let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
    stream.write_all(request("/once/x", "a1").as_bytes()).await.unwrap();
    assert_eq!(read_answers(&mut stream, 1).await, [b"whole"]);
    let request = request("/once/x", "a2");
    assert_eq!(stream.try_write(request.as_bytes()).unwrap(), request.len());
    let remote = stream.local_addr().unwrap().port();
    block_until_waiting(bench.entry.address, remote, request.len());
    bench.entry.stop.closing.cancel();
    assert_eq!(read_all(&mut stream).await.body, b"whole");
}

/// The caller of a leaving entry sends its next request before it has read the answer in progress. Bytes that
/// are unread at a close make the kernel reset the connection and drop what it has not delivered.
#[tokio::test]
async fn close_next_request_unread_answer_whole() {
    for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
        let bench = Bench::start(1, &Answer::whole(framing, vec![b'x'; LARGE_BYTES])).await;
        bench.entry.stop.leaving.cancel();
        let mut stream = connect_with_small_buffer(bench.entry.address).await;
        let late = head("/once/x", "a2", &format!("content-length: {LATE_BYTES}\r\n"));
        let requests = [request("/once/x", "a1"), late, "y".repeat(LATE_BYTES)].concat();
        let (mut reader, mut writer) = stream.split();
        let mut bytes = Vec::new();
        // Writing fails if the entry closes before it has taken all.
        let write = async { drop(writer.write_all(requests.as_bytes()).await) };
        let (read, ()) = tokio::join!(timeout(MAX_WAIT, reader.read_to_end(&mut bytes)), write);
        let received = parse(&bytes, true, read.unwrap().is_ok());
        assert!(received.is_complete, "{framing:?}: {} bytes", received.body.len());
        assert_eq!(received.body.len(), LARGE_BYTES, "{framing:?}");
    }
}

/// A caller that reads late sends its next request after the entry has written the whole answer and closed its
/// sending direction: the bytes that are still on their way must not be lost.
#[tokio::test]
async fn leave_next_request_late_answer_whole() {
    const BYTES: usize = 200 * 1024;
    let bench = Bench::start(1, &Answer::whole(Framing::Length, vec![b'x'; BYTES])).await;
    bench.entry.stop.leaving.cancel();
    let mut stream = connect_with_small_buffer(bench.entry.address).await;
    stream.write_all(request("/once/x", "a1").as_bytes()).await.unwrap();
    wait_until(|| bench.calls() == 1).await;
    sleep(Duration::from_millis(500)).await;
    stream.write_all(request("/once/x", "a2").as_bytes()).await.unwrap();
    let received = read_all(&mut stream).await;
    assert!(received.is_complete, "{} bytes", received.body.len());
}

/// An entry begins to leave while a request waits for its server: the answer says so, or the caller sends
/// its next request as the connection closes.
#[tokio::test]
async fn leave_before_answer_asks_to_close() {
    for path in ["/once/x", "/safe/x", "/live/x"] {
        let leaving = Arc::new(OnceLock::<CancellationToken>::new());
        let at_call = Arc::clone(&leaving);
        let script = move |_: &Call| {
            at_call.get().unwrap().cancel();
            Answer::whole(Framing::Length, events_after(0).into_bytes())
        };
        let bench = Bench::with_servers(vec![RawServer::start(script).await.unwrap()]).await;
        leaving.set(bench.entry.stop.leaving.clone()).unwrap();
        let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
        stream.write_all(request(path, "a1").as_bytes()).await.unwrap();
        let received = timeout(MAX_WAIT, read_answer(&mut stream, true)).await.unwrap();
        assert!(received.is_complete, "{path}: {received:?}");
        assert!(received.head.contains("\r\nconnection: close"), "{path}: {received:?}");
    }
}

/// A stream lasts longer than connections may be idle. Its caller may use the connection right after it.
#[tokio::test]
async fn idle_after_long_stream_served() {
    const IDLE_TIMEOUT_MS: u64 = 1_000;
    let mut stream_answer = Answer::whole(Framing::Connection, events_after(0).into_bytes());
    stream_answer.end_delay = Duration::from_millis(3 * IDLE_TIMEOUT_MS);
    let server = RawServer::start(move |_: &Call| stream_answer.clone()).await.unwrap();
    let mut configuration: serde_json::Value =
        serde_json::from_str(&configuration(1, &[API_KEY], 8 * IDLE_TIMEOUT_MS)).unwrap();
    configuration["limits"] = serde_json::json!({
        "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536, "headerTimeoutMs": 1_000,
        "idleTimeoutMs": IDLE_TIMEOUT_MS,
    });
    let configuration = configuration.to_string();
    let entry = Entry::start(&[server.address], Some(configuration.as_bytes())).await;
    let mut stream = TcpStream::connect(entry.address).await.unwrap();
    for attempt in ["a1", "a2"] {
        stream.write_all(request("/live/x", attempt).as_bytes()).await.unwrap();
        let answers = read_answers(&mut stream, 1).await;
        assert_eq!(answers, [events_after(0).as_bytes()], "{attempt}");
    }
}
