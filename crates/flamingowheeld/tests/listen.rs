//! A stop of a listener with requests in progress, over loopback connections.

use axum::Router;
use axum::body::Body;
use axum::routing::{get, post};
use flamingowheel_daemon::listen::{ListenLimits, serve};
use futures_util::{StreamExt, stream};
use std::io::{Error, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";

/// Time within which something that is expected happens.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Larger than the receive buffer of a slow caller.
const ANSWER_BYTES: usize = 200_000;

/// Larger than the listener's read buffer.
const NEXT_REQUEST_BYTES: usize = 100_000;

/// A listener whose answers wait for `answer`; `begun` is notified of each request.
struct Served {
    address: SocketAddr,
    begun: Arc<Notify>,
    answer: CancellationToken,
    stop: CancellationToken,
}

impl Served {
    async fn start(max_connections: usize) -> Self {
        let (begun, answer) = (Arc::new(Notify::new()), CancellationToken::new());
        let (in_handler, answered) = (Arc::clone(&begun), answer.clone());
        let handler = post(async move || {
            in_handler.notify_one();
            answered.cancelled().await;
            vec![b'a'; ANSWER_BYTES]
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, stop) = (listener.local_addr().unwrap(), CancellationToken::new());
        let limits = ListenLimits { max_connections, ..ListenLimits::default() };
        tokio::spawn(serve(listener, Router::new().route("/", handler), limits, stop.clone()));
        Self { address, begun, answer, stop }
    }
}

/// Reads an answer to the end of its connection, and checks that it is whole.
async fn read_whole(connection: &mut TcpStream) {
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).await.expect("an answer without a reset");
    let head_bytes = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").expect("a head") + 4;
    assert_eq!(answer.len() - head_bytes, ANSWER_BYTES);
}

/// A stop comes while a caller's connection waits in the kernel's accept queue with a request on it.
/// Closing the listener would reset the connection, and the caller could not tell whether its
/// request ran.
#[tokio::test]
async fn serve_stop_answers_accept_queue() {
    let served = Served::start(1).await;
    let mut first = TcpStream::connect(served.address).await.unwrap();
    first.write_all(REQUEST).await.unwrap();
    served.begun.notified().await;
    let mut queued = TcpStream::connect(served.address).await.unwrap();
    queued.write_all(REQUEST).await.unwrap();
    served.stop.cancel();
    served.answer.cancel();
    read_whole(&mut first).await;
    read_whole(&mut queued).await;
}

/// A caller has sent its next request when the connection is closed behind an answer. Closing a
/// socket with unread bytes resets the connection, and a slow caller would lose the answer's end.
#[tokio::test]
async fn serve_stop_next_request_unread_keeps_answer() {
    let served = Served::start(1).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(served.address).await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    caller.write_all(&vec![b'x'; NEXT_REQUEST_BYTES]).await.unwrap();
    served.begun.notified().await;
    served.stop.cancel();
    served.answer.cancel();
    read_whole(&mut caller).await;
}

/// An answer breaks off whose caller knows no chunks: closing its connection in order would say that it is
/// complete.
#[tokio::test]
async fn serve_broken_answer_without_chunks_reset() {
    let has_arrived = Arc::new(Notify::new());
    let breaking = Arc::clone(&has_arrived);
    let broken = async move || {
        let end = async move {
            breaking.notified().await;
            Err(Error::from(ErrorKind::ConnectionReset))
        };
        Body::from_stream(stream::iter([Ok("part")]).chain(stream::once(end)))
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().route("/", get(broken));
    tokio::spawn(serve(listener, router, ListenLimits::default(), CancellationToken::new()));
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(b"GET / HTTP/1.0\r\nhost: x\r\n\r\n").await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"part") {
        assert!(caller.read_buf(&mut answer).await.unwrap() > 0);
    }
    has_arrived.notify_one();
    let ended = caller.read_to_end(&mut answer).await.map_err(|error| error.kind());
    assert_eq!(ended, Err(ErrorKind::ConnectionReset), "{}", String::from_utf8_lossy(&answer));
}

/// A caller leaves after it has sent the begin of its next request: what works for it must end, also if
/// nothing is written to it for long.
#[tokio::test]
async fn serve_caller_left_after_begin_of_next_request_cancelled() {
    let (begun, cancelled) = (Arc::new(Notify::new()), CancellationToken::new());
    let (in_handler, on_drop) = (Arc::clone(&begun), cancelled.clone());
    let handler = post(async move || {
        let _cancelled = on_drop.drop_guard_ref();
        in_handler.notify_one();
        std::future::pending::<()>().await;
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let router = Router::new().route("/", handler);
    tokio::spawn(serve(listener, router, ListenLimits::default(), CancellationToken::new()));
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(&[REQUEST, b"POST /"].concat()).await.unwrap();
    begun.notified().await;
    drop(caller);
    assert!(timeout(MAX_WAIT, cancelled.cancelled()).await.is_ok(), "works on for nobody");
}
