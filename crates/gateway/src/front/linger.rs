//! Closes a caller's connection without losing what was sent on it.
//!
//! If bytes of the caller are unread when a socket is closed, or arrive after that, the kernel resets
//! the connection, and drops what it has not delivered yet.

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Time without a byte after which the caller is taken to send nothing more. An entry that stops
/// waits for it.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// Longest time for which a caller's bytes are discarded.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// Size of the buffer for discarded bytes.
const BUFFER_BYTES: usize = 4 * 1024;

/// Closes the sending direction, and discards what the caller still sends until it closes or falls
/// silent.
pub(super) async fn close(mut stream: TcpStream) {
    if let Err(error) = stream.shutdown().await {
        tracing::debug!(%error, "connection to caller had closed already");
        return;
    }
    let mut buffer = [0; BUFFER_BYTES];
    let end = Instant::now() + MAX_LINGER;
    loop {
        let quiet_at = end.min(Instant::now() + QUIET_TIME);
        match timeout_at(quiet_at, stream.read(&mut buffer)).await {
            Ok(Ok(1..)) if Instant::now() < end => {}
            Ok(Err(error)) => {
                tracing::debug!(%error, "connection to caller ended");
                return;
            }
            Ok(Ok(_)) | Err(_) => return,
        }
    }
}
