//! A server whose answers never end, until the caller closes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Bytes after which a connection is closed after all: far more than a caller may take.
const MAX_BYTES: u64 = 512 * 1024 * 1024;

/// Bytes of one write.
const WRITE_BYTES: usize = 64 * 1024;

/// Bytes that are written on each connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bytes {
    /// Written once.
    pub begin: Vec<u8>,
    /// Written again and again.
    pub repeat: Vec<u8>,
    /// Time between two writes. Without one, `repeat` fills large writes.
    pub pause: Duration,
    /// Whether a request is read first.
    pub waits_for_request: bool,
}

impl Bytes {
    /// `begin`, then `repeat` without end, as fast as they are taken.
    ///
    /// ```
    /// use flamingowheel_standin::endless::Bytes;
    /// assert!(Bytes::fast("HTTP/1.1 200 OK\r\n", "x: y\r\n").pause.is_zero());
    /// ```
    pub fn fast(begin: &str, repeat: &str) -> Self {
        let repeat = repeat.repeat(WRITE_BYTES.div_ceil(repeat.len()));
        Self::slow(begin, &repeat, Duration::ZERO)
    }

    /// The same with a pause after each `repeat`.
    pub fn slow(begin: &str, repeat: &str, pause: Duration) -> Self {
        let (begin, repeat) = (begin.as_bytes().to_vec(), repeat.as_bytes().to_vec());
        Self { begin, repeat, pause, waits_for_request: true }
    }
}

/// The server; it ends with the runtime.
#[derive(Clone, Debug)]
pub struct EndlessServer {
    /// Its address.
    pub address: SocketAddr,
    written: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
}

impl EndlessServer {
    /// Starts a server on a free loopback port.
    pub async fn start(bytes: Bytes) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let server = Self { address, written: Arc::default(), open: Arc::default() };
        let (serving, bytes) = (server.clone(), Arc::new(bytes));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, bytes) = (serving.clone(), Arc::clone(&bytes));
                tokio::spawn(async move {
                    server.open.fetch_add(1, Ordering::Relaxed);
                    // The caller's close ends the writes.
                    if let Err(error) = server.serve(stream, &bytes).await {
                        tracing::debug!(%error, "caller closed");
                    }
                    server.open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(server)
    }

    /// Bytes written so far, on all connections.
    pub fn written_bytes(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Number of connections that are open.
    pub fn open_connections(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    async fn serve(&self, mut stream: TcpStream, bytes: &Bytes) -> std::io::Result<()> {
        if bytes.waits_for_request {
            let mut request = Vec::new();
            while !request.windows(4).any(|four| four == b"\r\n\r\n") {
                if stream.read_buf(&mut request).await? == 0 {
                    return Ok(());
                }
            }
        }
        stream.write_all(&bytes.begin).await?;
        let mut written = 0;
        while written < MAX_BYTES {
            stream.write_all(&bytes.repeat).await?;
            written += bytes.repeat.len() as u64;
            self.written.fetch_add(bytes.repeat.len() as u64, Ordering::Relaxed);
            if !bytes.pause.is_zero() {
                sleep(bytes.pause).await;
            }
        }
        Ok(())
    }
}
