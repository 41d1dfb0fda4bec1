//! A connection to an entry that its caller holds itself. Nothing is sent a second time without the
//! caller's knowledge, and the way in which an answer ends is known.

use super::ahead::AheadStream;
use super::habits::Habit;
use bytes::Bytes;
use flamingowheel_standin::platform::messages::is_signed;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

/// Time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Receive buffer of a slow reader, far below the size of its answers.
const SLOW_BUFFER_BYTES: u32 = 4 * 1024;

/// Time before a slow reader reads on.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(15);

/// What was received of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Received {
    /// HTTP status; `None` if the head was not received.
    pub status: Option<u16>,
    /// Whether the answer bears a backend server's signature.
    pub is_signed: bool,
    /// The body so far.
    pub body: Vec<u8>,
    /// Why the answer is not complete; `None` if it is.
    pub error: Option<String>,
}

/// A connection to an entry.
#[derive(Debug)]
pub struct Connection {
    /// The entry, by its index.
    pub entry: usize,
    sender: SendRequest<Full<Bytes>>,
    is_slow: bool,
    /// Drives the connection, which is closed at once on drop.
    _task: AbortOnDropHandle<hyper::Result<()>>,
}

impl Connection {
    /// Connects to an entry; `None` if it refuses.
    pub async fn open(entry: usize, address: SocketAddr, habit: Habit) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        if habit.is_slow() {
            socket.set_recv_buffer_size(SLOW_BUFFER_BYTES).ok()?;
        }
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let stream = AheadStream::new(stream, habit == Habit::SendsAhead);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        // Its error is the one of the request that it carries.
        let task = AbortOnDropHandle::new(tokio::spawn(connection));
        Some(Self { entry, sender, is_slow: habit.is_slow(), _task: task })
    }

    /// Waits until a request can be sent; `false` if the connection has ended.
    pub async fn is_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and adds what is received to `received`. `false` if the connection had ended
    /// before any of the request was sent.
    pub async fn ask(&mut self, request: Request<Full<Bytes>>, received: &mut Received) -> bool {
        match self.sender.try_send_request(request).await {
            Ok(answer) => self.read(answer, received).await,
            Err(mut error) => {
                received.error = Some(describe(error.error()));
                return error.take_message().is_none();
            }
        }
        true
    }

    async fn read(&self, answer: Response<Incoming>, received: &mut Received) {
        received.status = Some(answer.status().as_u16());
        received.is_signed = is_signed(answer.headers());
        let mut body = answer.into_body();
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => received.body.extend(frame.data_ref().into_iter().flatten()),
                Err(error) => {
                    received.error = Some(describe(&error));
                    return;
                }
            }
            if self.is_slow {
                sleep(SLOW_READ_PAUSE).await;
            }
        }
    }
}

/// An error with its causes, which tell a close from a reset.
fn describe(error: &hyper::Error) -> String {
    let mut text = error.to_string();
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        text += &format!(": {inner}");
        cause = inner.source();
    }
    text
}
