//! A backend server that writes chosen bytes and ends its connections in a chosen way.

use super::messages::{ATTEMPT_HEADER, SIGNATURE_HEADER};
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Size of the read buffer.
const BUFFER_BYTES: usize = 16 * 1024;

/// How an answer states the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length.
    Length,
    /// In chunks.
    Chunks,
    /// By the end of the connection, with `Connection: close`.
    Connection,
    /// By the end of the connection, without a word on it.
    ConnectionUnsaid,
    /// By the end of the connection, as HTTP/1.0.
    ConnectionHttp10,
    /// In chunks, with a length too, which does not count.
    LengthAndChunks,
}

impl Framing {
    /// All of them.
    pub const ALL: [Self; 6] = [
        Self::Length,
        Self::Chunks,
        Self::Connection,
        Self::ConnectionUnsaid,
        Self::ConnectionHttp10,
        Self::LengthAndChunks,
    ];

    /// Whether the body ends with its connection.
    pub fn ends_with_connection(self) -> bool {
        matches!(self, Self::Connection | Self::ConnectionUnsaid | Self::ConnectionHttp10)
    }

    fn is_chunked(self) -> bool {
        matches!(self, Self::Chunks | Self::LengthAndChunks)
    }
}

/// What becomes of a connection after the bytes of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It is kept for further requests.
    Kept,
    /// It is closed in order.
    Closed,
    /// The sending direction is closed; the other one stays open.
    HalfClosed,
    /// It is reset.
    Reset,
    /// It stays open, and nothing follows.
    Silent,
    /// Bytes follow that belong to no answer.
    Garbage,
}

/// One answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// How the end of the body is stated.
    pub framing: Framing,
    /// The body, in the pieces in which it is written.
    pub pieces: Vec<Vec<u8>>,
    /// Bytes that are written instead of head and body.
    pub other_bytes: Option<Vec<u8>>,
    /// Number of bytes of head and body that are written; `None` for all.
    pub cut_bytes: Option<usize>,
    /// Time between the last byte and the end of the connection.
    pub end_delay: Duration,
    /// What becomes of the connection.
    pub ending: Ending,
    /// Whether the server ends with the answer.
    pub ends_server: bool,
    /// Time for which its listener outlives the connection.
    pub listener_delay: Duration,
}

impl Answer {
    /// A whole answer of status 200, after which the connection is closed if that is its end.
    ///
    /// ```
    /// use flamingowheel_standin::platform::raw::{Answer, Ending, Framing};
    /// let answer = Answer::whole(Framing::Connection, b"whole".to_vec());
    /// assert_eq!(answer.ending, Ending::Closed);
    /// ```
    pub fn whole(framing: Framing, body: Vec<u8>) -> Self {
        let ending = if framing.ends_with_connection() { Ending::Closed } else { Ending::Kept };
        Self {
            status: 200,
            framing,
            pieces: vec![body],
            other_bytes: None,
            cut_bytes: None,
            end_delay: Duration::ZERO,
            ending,
            ends_server: false,
            listener_delay: Duration::ZERO,
        }
    }

    /// Head and body as written for an attempt.
    pub fn encode(&self, attempt: &str) -> Vec<u8> {
        self.writes(attempt).concat()
    }

    /// Length of head and body as written for an attempt, in bytes.
    pub fn encoded_bytes(&self, attempt: &str) -> usize {
        self.encode(attempt).len()
    }

    fn writes(&self, attempt: &str) -> Vec<Vec<u8>> {
        if let Some(bytes) = &self.other_bytes {
            return vec![bytes.clone()];
        }
        std::iter::once(self.head(attempt)).chain(self.encoded_pieces()).collect()
    }

    /// Length of the head as written for an attempt, in bytes.
    pub fn head_bytes(&self, attempt: &str) -> usize {
        self.head(attempt).len()
    }

    fn head(&self, attempt: &str) -> Vec<u8> {
        let version = if self.framing == Framing::ConnectionHttp10 { "1.0" } else { "1.1" };
        let length: usize = self.pieces.iter().map(Vec::len).sum();
        let framing = match self.framing {
            Framing::Length => format!("content-length: {length}\r\n"),
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::LengthAndChunks => {
                format!("content-length: {}\r\ntransfer-encoding: chunked\r\n", length + 1)
            }
            Framing::Connection => "connection: close\r\n".to_owned(),
            Framing::ConnectionUnsaid | Framing::ConnectionHttp10 => String::new(),
        };
        format!(
            "HTTP/{version} {} Status\r\n{ATTEMPT_HEADER}: {attempt}\r\n{SIGNATURE_HEADER}: sig\r\n\
             {framing}\r\n",
            self.status
        )
        .into_bytes()
    }

    fn encoded_pieces(&self) -> Vec<Vec<u8>> {
        if !self.framing.is_chunked() {
            return self.pieces.clone();
        }
        let pieces = self.pieces.iter().filter(|piece| !piece.is_empty());
        let mut chunks: Vec<Vec<u8>> = pieces
            .map(|piece| {
                let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
                chunk.extend_from_slice(piece);
                chunk.extend_from_slice(b"\r\n");
                chunk
            })
            .collect();
        chunks.push(b"0\r\n\r\n".to_vec());
        chunks
    }
}

/// A request that reached the server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Call {
    /// Id of the caller's attempt.
    pub attempt: String,
    /// The event after which a stream resumes.
    pub last_event_id: Option<u64>,
    /// Method and path.
    pub target: String,
}

type Script = Arc<dyn Fn(&Call) -> Answer + Send + Sync>;

/// A backend server; clones control the same one.
#[derive(Clone)]
pub struct RawServer {
    /// Address of the server, the same over all its starts.
    pub address: SocketAddr,
    script: Script,
    /// Number of starts so far; even while the server is down.
    starts: Arc<watch::Sender<u64>>,
    is_listening: Arc<watch::Sender<bool>>,
    calls: Arc<Mutex<Vec<Call>>>,
    accepted: Arc<AtomicU32>,
}

impl fmt::Debug for RawServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RawServer").field("address", &self.address).finish_non_exhaustive()
    }
}

impl RawServer {
    /// Starts a server on a free loopback port that answers as `script` says.
    pub async fn start<F>(script: F) -> std::io::Result<Self>
    where
        F: Fn(&Call) -> Answer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            address: listener.local_addr()?,
            script: Arc::new(script),
            starts: Arc::new(watch::Sender::new(1)),
            is_listening: Arc::new(watch::Sender::new(true)),
            calls: Arc::default(),
            accepted: Arc::default(),
        };
        tokio::spawn(server.clone().accept(listener));
        Ok(server)
    }

    /// Ends the server: connections are reset, and new ones refused.
    pub fn end(&self) {
        self.starts.send_if_modified(|starts| {
            let is_running = *starts % 2 == 1;
            *starts += u64::from(is_running);
            is_running
        });
    }

    /// Whether the server accepts connections.
    pub fn is_running(&self) -> bool {
        *self.is_listening.borrow()
    }

    /// Starts the server again if it has ended, and waits until it accepts connections.
    pub async fn restart(&self) {
        let has_changed = self.starts.send_if_modified(|starts| {
            let has_ended = *starts % 2 == 0;
            *starts += u64::from(has_ended);
            has_ended
        });
        if has_changed {
            let mut is_listening = self.is_listening.subscribe();
            // An error is not possible: this server holds the sender.
            let _ = is_listening.wait_for(|is_listening| *is_listening).await.map(|_| ());
        }
    }

    /// The requests so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u32 {
        self.accepted.load(Ordering::Relaxed)
    }

    async fn accept(self, mut listener: TcpListener) -> std::io::Result<()> {
        let mut starts = self.starts.subscribe();
        loop {
            tokio::select! {
                biased;
                ended = starts.wait_for(|starts| starts % 2 == 0) => {
                    if ended.is_err() {
                        return Ok(());
                    }
                }
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    self.accepted.fetch_add(1, Ordering::Relaxed);
                    tokio::spawn(self.clone().serve(stream));
                    continue;
                }
            }
            drop(listener);
            // Bound without listening: connections are refused, and the port stays this server's.
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(self.address)?;
            self.is_listening.send_replace(false);
            if starts.wait_for(|starts| starts % 2 == 1).await.is_err() {
                return Ok(());
            }
            listener = socket.listen(BACKLOG)?;
            self.is_listening.send_replace(true);
        }
    }

    /// Serves one connection until it, or the server, ends.
    async fn serve(self, mut stream: TcpStream) {
        // The error is ignored: a connection that is already closed needs no options.
        let _ = stream.set_nodelay(true);
        let mut starts = self.starts.subscribe();
        let start = *starts.borrow_and_update();
        let mut buffer = Vec::new();
        loop {
            let call = tokio::select! {
                call = read_call(&mut stream, &mut buffer) => call,
                _ = starts.wait_for(|now| *now != start) => None,
            };
            let Some(call) = call else {
                let _ = stream.set_zero_linger();
                return;
            };
            self.calls.lock().unwrap_or_else(PoisonError::into_inner).push(call.clone());
            let answer = (self.script)(&call);
            if write_answer(&mut stream, &answer, &call.attempt).await.is_err() {
                return;
            }
            if !answer.end_delay.is_zero() {
                sleep(answer.end_delay).await;
            }
            if answer.ends_server && !answer.listener_delay.is_zero() {
                end_connection(&mut stream, answer.ending).await;
                drop(stream);
                sleep(answer.listener_delay).await;
                self.end();
                return;
            }
            if answer.ends_server {
                self.end();
                // The listener is closed before the connection, as by the end of a process.
                let mut is_listening = self.is_listening.subscribe();
                let mut starts = self.starts.subscribe();
                tokio::select! {
                    _ = is_listening.wait_for(|is_listening| !is_listening) => {}
                    _ = starts.wait_for(|now| *now > start + 1) => {}
                }
            }
            if !end_connection(&mut stream, answer.ending).await {
                return;
            }
        }
    }
}

/// Ends a connection after an answer; `true` if it is kept for another request.
async fn end_connection(stream: &mut TcpStream, ending: Ending) -> bool {
    let mut rest = [0; 64];
    match ending {
        Ending::Kept => return true,
        Ending::Closed => {}
        // The error is ignored: the peer may have closed first, which is as good.
        Ending::Reset => drop(stream.set_zero_linger()),
        Ending::HalfClosed => {
            let _ = stream.shutdown().await;
            while matches!(stream.read(&mut rest).await, Ok(1..)) {}
        }
        Ending::Silent => {
            // Whatever the peer sends next, it waits no longer than that.
            let _ = stream.read(&mut rest).await;
            drop(stream.set_zero_linger());
        }
        Ending::Garbage => {
            let _ = stream.write_all(b"no answer in the protocol\r\n\r\n").await;
            while matches!(stream.read(&mut rest).await, Ok(1..)) {}
        }
    }
    false
}

async fn write_answer(
    stream: &mut TcpStream,
    answer: &Answer,
    attempt: &str,
) -> std::io::Result<()> {
    let mut left = answer.cut_bytes.unwrap_or(usize::MAX);
    for piece in answer.writes(attempt) {
        let written = piece.len().min(left);
        stream.write_all(&piece[..written]).await?;
        left -= written;
        if left == 0 {
            return Ok(());
        }
        // Pieces arrive one by one if the peer reads in time.
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Reads one request; `None` at the end of the connection.
async fn read_call(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Call> {
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        read_more(stream, buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).to_ascii_lowercase();
    let value = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(':').map(str::trim))
    };
    let length: usize = value("content-length").map_or(Some(0), |text| text.parse().ok())?;
    let call = Call {
        attempt: value(ATTEMPT_HEADER).unwrap_or_default().to_owned(),
        last_event_id: value("last-event-id").and_then(|text| text.parse().ok()),
        target: head.lines().next().unwrap_or_default().to_owned(),
    };
    while buffer.len() < head_end + length {
        read_more(stream, buffer).await?;
    }
    buffer.drain(..head_end + length);
    Some(call)
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; BUFFER_BYTES];
    let count = stream.read(&mut bytes).await.ok()?;
    buffer.extend_from_slice(&bytes[..count]);
    (count > 0).then_some(())
}
