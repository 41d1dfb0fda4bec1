//! One connection to a backend server, on which one request is sent at a time.

use bytes::Bytes;
use flamingowheel_backing::client::informational::InformationalHeads;
use flamingowheel_backing::client::liveness::Probe;
use flamingowheel_backing::client::status::is_final;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time limit for opening a connection. A server on the same network answers within 2 ms; one that
/// lost power never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time after which the kernel probes a connection, and the time between probes. A connection
/// that has failed silently is detected within 3 s, although nothing is sent while an answer is
/// awaited.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Time for which bytes sent to a server may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Why no connection could be opened. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The server refused or reset the connection.
    #[error("can't connect: {0}")]
    Refused(#[from] std::io::Error),
    /// The connection was not established in time.
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    TimedOut,
    /// The connection closed during the HTTP handshake.
    #[error("connection closed at once: {0}")]
    Closed(#[from] hyper::Error),
}

impl From<ConnectError> for std::io::Error {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Refused(error) => error,
            ConnectError::TimedOut => ErrorKind::TimedOut.into(),
            ConnectError::Closed(error) => Self::new(ErrorKind::ConnectionReset, error),
        }
    }
}

/// Why a request on an open connection got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The connection had closed before a byte of the request was written.
    #[error("connection closed before the request was sent")]
    NeverSent,
    /// No answer arrived; the request may have run.
    #[error("no answer: {0}")]
    Lost(hyper::Error),
    /// Informational heads arrived without end; the request may have run.
    #[error("too many informational heads before the answer")]
    NoFinalHead,
    /// What arrived has the form of an answer, but no valid status; the request may have run.
    #[error("no valid status: {0}")]
    InvalidStatus(StatusCode),
}

/// An open connection. Dropping it resets it at once, so that the server stops work on the request
/// in progress, or never receives it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    sends: u32,
}

impl Connection {
    /// Opens a connection.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connecting.await.map_err(|_| ConnectError::TimedOut)??;
        enable_dead_peer_detection(&stream, UNACKNOWLEDGED_TIMEOUT);
        enable_reset_on_close(&stream);
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await?;
        let task = tokio::spawn(async move {
            // The sender reports the end of the connection.
            if let Err(error) = connection.await {
                tracing::debug!(%error, "connection to backend server ended");
            }
        });
        Ok(Self { sender, task, sends: 0 })
    }

    /// Whether more than one request has been sent. Bytes may follow the answer to an earlier one.
    pub fn is_reused(&self) -> bool {
        self.sends > 1
    }

    /// Whether another request can be sent now.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NeverSent);
        }
        self.sends += 1;
        let informational = InformationalHeads::of(&mut request);
        let answer = tokio::select! {
            answer = self.sender.try_send_request(request) => answer,
            () = informational.exceeded() => return Err(SendError::NoFinalHead),
        };
        match answer {
            Ok(response) if is_final(response.status().as_u16()) => Ok(response),
            Ok(response) => Err(SendError::InvalidStatus(response.status())),
            Err(mut error) => Err(match error.take_message() {
                Some(_) => SendError::NeverSent,
                None => SendError::Lost(error.into_error()),
            }),
        }
    }

    /// Waits until the connection has finished the last exchange; `false` if it has closed.
    pub async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}

impl Probe for Connection {
    fn is_open(&self) -> bool {
        // A new connection is not ready before its task has run.
        !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes closing reset the connection, so that an abandoned request is not delivered any more.
/// After a regular close, the kernel would continue to send data that a stalled VM has not accepted
/// yet, and the server would receive a request seconds after its caller gave up.
fn enable_reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::debug!(%error, "can't make the connection reset on close");
    }
}

/// Sets the socket options that detect a dead peer. A device between the two ends can lose track of
/// a connection, which then stays open but delivers nothing; only keepalive probes and a limit on
/// unacknowledged data reveal it. A live peer that takes no more data counts as dead after that limit.
pub fn enable_dead_peer_detection(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&probes))
        .and_then(|()| socket.set_tcp_user_timeout(Some(unacknowledged_timeout)));
    if let Err(error) = set {
        tracing::debug!(%error, "socket options can't be set; the peer may have closed already");
    }
}
