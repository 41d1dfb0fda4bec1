//! One connection to a backend server, on which one request is sent at a time.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Longest time to open a connection. A server on the same network answers within 2 ms; one that
/// lost its power never does.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);

/// Silence after which the kernel probes a connection, and the time between probes: one that has
/// gone silent for good is noticed within 3 s, though nothing is sent while an answer is awaited.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBES: u32 = 2;

/// How long sent bytes may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Why no connection could be opened. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The server refused or reset it.
    #[error("can't connect: {0}")]
    Refused(#[from] std::io::Error),
    /// No answer in time.
    #[error("no connection within {} ms", CONNECT_LIMIT.as_millis())]
    TimedOut,
    /// The connection closed before it could be used.
    #[error("connection closed at once: {0}")]
    Closed(#[from] hyper::Error),
}

/// Why a request that was handed to a connection got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection had closed before a byte of the request was written.
    #[error("connection closed before the request was sent")]
    NeverSent,
    /// The request may have run.
    #[error("no answer: {0}")]
    Lost(hyper::Error),
}

/// An open connection. Dropping it resets it at once: the server stops work on the request under way, or
/// never gets it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| ConnectError::TimedOut)??;
        watch_for_silence(&stream);
        reset_on_close(&stream);
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        let task = tokio::spawn(async move {
            // Its end is seen by whoever holds the sender.
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to backend server ended");
            }
        });
        Ok(Self { sender, task })
    }

    /// Whether another request can be sent now.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NeverSent);
        }
        self.sender.try_send_request(request).await.map_err(|mut error| {
            if error.take_message().is_some() {
                return SendError::NeverSent;
            }
            SendError::Lost(error.into_error())
        })
    }

    /// Waits until the connection has finished with the last exchange; `false` if it has closed.
    pub async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A request that is given up must not be delivered any more. Closed in the usual way, the connection would
/// go on sending what a VM that stands still has not taken yet, and its server would get a request whose
/// caller has long left.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!(%error, "connection can't be reset on closing");
    }
}

/// Something between the two ends can lose track of a connection: it stays open and nothing
/// arrives any more. Only probes of our own and a bound on unacknowledged bytes show it.
pub fn watch_for_silence(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT)));
    if let Err(error) = set {
        tracing::debug!(%error, "socket options can't be set; the peer may have closed already");
    }
}
