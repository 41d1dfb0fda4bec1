//! What callers get whose connections an entry closes, over real sockets.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with other tests")]
mod framing;

use flamingowheel_standin::platform::messages::configuration;
use flamingowheel_standin::platform::raw::{Answer, Call, Ending, Framing, RawServer};
use framing::caller::{API_KEY, Received, head, head_of, parse, read_answer, read_answers};
use framing::entry::Entry;
use framing::{Bench, event, events_after};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};
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

/// What the kernel holds on the socket from `local` to the port `remote`: unread bytes, or connections of a
/// listener that wait to be accepted.
fn waiting(local: SocketAddr, remote: u16) -> usize {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote_ip = if remote == 0 { "00000000" } else { "0100007F" };
    let ports = format!(":{:04X} {remote_ip}:{remote:04X} ", local.port());
    let counts = sockets.match_indices(&ports).map(|(at, _)| {
        // State, bytes to send and count follow, as in `01 00000000:00000000`.
        let count = &sockets[at + ports.len() + 12..][..8];
        usize::from_str_radix(count, 16).unwrap()
    });
    counts.max().unwrap_or(0)
}

/// Blocks this thread, and so the entry, until so much has arrived.
fn block_until_waiting(local: SocketAddr, remote: u16, count: usize) {
    let end = std::time::Instant::now() + MAX_WAIT;
    while waiting(local, remote) < count {
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
    let received = read_all(&mut stream).await;
    assert!(received.is_complete && received.body == b"whole", "{received:?}");
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

/// A caller takes nothing for a while, although its machine acknowledges: it is slow, and not dead.
#[tokio::test]
async fn call_paused_reader_gets_whole_answer() {
    const PAUSE: Duration = Duration::from_secs(3);
    let bench = Bench::start(1, &Answer::whole(Framing::Length, vec![b'x'; LARGE_BYTES])).await;
    let mut stream = connect_with_small_buffer(bench.entry.address).await;
    let request = head("/once/x", "a1", "connection: close\r\ncontent-length: 0\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_until(|| bench.calls() == 1).await;
    sleep(PAUSE).await;
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

/// How far a request has come when the event happens.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    InAcceptQueue,
    Unread,
    HeadHalfRead,
    BodyHalfRead,
    WaitingForServer,
    HeadSent,
    BetweenEvents,
    AnswerWritten,
    NextRequestSent,
}

const STAGES: [Stage; 9] = [
    Stage::InAcceptQueue,
    Stage::Unread,
    Stage::HeadHalfRead,
    Stage::BodyHalfRead,
    Stage::WaitingForServer,
    Stage::HeadSent,
    Stage::BetweenEvents,
    Stage::AnswerWritten,
    Stage::NextRequestSent,
];

/// `leaving` and `closing`, alone and together.
const EVENTS: [(bool, bool); 3] = [(true, false), (false, true), (true, true)];

/// One combination, with the server's answer.
#[derive(Clone, Debug)]
struct Case {
    stage: Stage,
    method: &'static str,
    path: &'static str,
    answer: Answer,
}

impl Case {
    /// Bytes of the answer that the server writes before the event. An event may follow the size of its chunk.
    fn early_bytes(&self) -> usize {
        match self.stage {
            Stage::HeadSent => self.answer.head_bytes("a1"),
            Stage::BetweenEvents => self.answer.head_bytes("a1") + event(1).len() + 4,
            Stage::AnswerWritten => usize::MAX,
            _ => 0,
        }
    }

    /// Bytes of the first request that the caller writes before the event.
    fn sent_bytes(&self, request: &str) -> usize {
        match self.stage {
            Stage::HeadHalfRead => request.len() / 2,
            Stage::BodyHalfRead => request.len() - 1,
            _ => request.len(),
        }
    }

    fn request(&self, attempt: &str) -> String {
        head_of(self.method, self.path, attempt, "content-length: 4\r\n") + "body"
    }
}

/// A server that holds the rest of each answer back until `go`, and counts its calls.
async fn serve_held(
    listener: TcpListener,
    case: Case,
    calls: Arc<AtomicUsize>,
    go: CancellationToken,
) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let (case, calls, go) = (case.clone(), Arc::clone(&calls), go.clone());
        tokio::spawn(async move {
            loop {
                let mut bytes = Vec::new();
                while !bytes.ends_with(b"\r\n\r\nbody") {
                    if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
                        return;
                    }
                }
                calls.fetch_add(1, Ordering::Relaxed);
                let is_next = bytes.windows(6).any(|line| line == b": a2\r\n");
                let answer = case.answer.encode(if is_next { "a2" } else { "a1" });
                let (early, rest) = answer.split_at(answer.len().min(case.early_bytes()));
                stream.write_all(early).await.unwrap();
                go.cancelled().await;
                // The entry may have given the request up.
                if stream.write_all(rest).await.is_err() || case.answer.ending == Ending::Closed {
                    return;
                }
            }
        });
    }
}

async fn play(case: &Case, is_leaving: bool, is_closing: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = listener.local_addr().unwrap();
    let (calls, go) = (Arc::<AtomicUsize>::default(), CancellationToken::new());
    tokio::spawn(serve_held(listener, case.clone(), Arc::clone(&calls), go.clone()));
    let configuration = configuration(1, &[API_KEY], 4_000);
    let entry = Entry::start(&[server], Some(configuration.as_bytes())).await;
    let first = case.request("a1");
    let (sent, unsent) = first.as_bytes().split_at(case.sent_bytes(&first));

    let mut caller = std::net::TcpStream::connect(entry.address).unwrap();
    let port = caller.local_addr().unwrap().port();
    if case.stage != Stage::InAcceptQueue {
        wait_until(|| entry.held.connections() == 1).await;
    }
    caller.write_all(sent).unwrap();
    match case.stage {
        Stage::InAcceptQueue => block_until_waiting(entry.address, 0, 1),
        Stage::Unread => block_until_waiting(entry.address, port, sent.len()),
        Stage::HeadHalfRead | Stage::BodyHalfRead => {
            block_until_waiting(entry.address, port, sent.len());
            wait_until(|| waiting(entry.address, port) == 0).await;
        }
        _ => wait_until(|| calls.load(Ordering::Relaxed) == 1).await,
    }
    caller.set_nonblocking(true).unwrap();
    let mut caller = TcpStream::from_std(caller).unwrap();
    if case.stage == Stage::BetweenEvents && case.path == "/live/x" {
        caller.readable().await.unwrap();
    }
    if case.stage == Stage::NextRequestSent {
        caller.write_all(case.request("a2").as_bytes()).await.unwrap();
    }
    if is_leaving {
        entry.stop.leaving.cancel();
    }
    if is_closing {
        entry.stop.closing.cancel();
    }
    caller.write_all(unsent).await.unwrap();
    go.cancel();
    let count = 1 + usize::from(case.stage == Stage::NextRequestSent);
    let answers = read_answers(&mut caller, count).await;
    let passed_on = calls.load(Ordering::Relaxed);
    let expected = vec![case.answer.pieces.concat(); passed_on];
    assert!(passed_on > 0, "{case:?} {is_leaving} {is_closing}");
    assert_eq!(answers, expected, "{case:?} {is_leaving} {is_closing}");
}

/// A request has come so far when its entry begins to leave, or closes connections. If it was passed on, it
/// gets its whole answer, and no request is left out but one that follows another on its connection.
#[tokio::test]
async fn close_request_at_each_stage_whole_answer() {
    for stage in STAGES {
        for (method, path) in [("GET", "/safe/x"), ("POST", "/once/x"), ("POST", "/live/x")] {
            for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
                let answer = Answer::whole(framing, events_after(0).into_bytes());
                let case = Case { stage, method, path, answer };
                for (is_leaving, is_closing) in EVENTS {
                    play(&case, is_leaving, is_closing).await;
                }
            }
        }
    }
}

/// The body of a request arrives late in the grace period, after connections are closed. Its server
/// would still be at work at the end, when the request is cut: nobody could know whether it ran.
#[tokio::test]
async fn stop_late_request_beyond_end_refused() {
    for path in ["/once/x", "/safe/x", "/live/x", "/stream/x"] {
        let bench = Bench::start(1, &Answer::whole(Framing::Length, b"whole".to_vec())).await;
        let request = head(path, "a1", "content-length: 1\r\n") + "x";
        let (begin, rest) = request.as_bytes().split_at(request.len() - 1);
        let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
        stream.write_all(begin).await.unwrap();
        wait_until(|| bench.entry.metrics.requests_read() == 1).await;
        // Requests have 4 s.
        bench.entry.stop.begin(Instant::now() + Duration::from_secs(1));
        bench.entry.stop.closing.cancel();
        stream.write_all(rest).await.unwrap();
        let received = read_all(&mut stream).await;
        assert_eq!((received.status, bench.calls()), (503, 0), "{path}: {received:?}");
        assert!(received.head.contains("retry-after"), "{path}: {received:?}");
        assert!(received.head.contains("connection: close"), "{path}: {received:?}");
    }
}

/// The same request is served if its deadline passes before the end: nothing would cut it.
#[tokio::test]
async fn stop_late_request_before_end_served() {
    let bench = Bench::start(1, &Answer::whole(Framing::Length, b"whole".to_vec())).await;
    let request = head("/once/x", "a1", "content-length: 1\r\n") + "x";
    let (begin, rest) = request.as_bytes().split_at(request.len() - 1);
    let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
    stream.write_all(begin).await.unwrap();
    wait_until(|| bench.entry.metrics.requests_read() == 1).await;
    bench.entry.stop.begin(Instant::now() + Duration::from_secs(60));
    bench.entry.stop.closing.cancel();
    stream.write_all(rest).await.unwrap();
    let received = read_all(&mut stream).await;
    assert_eq!((received.status, received.body.as_slice()), (200, b"whole".as_slice()));
}
