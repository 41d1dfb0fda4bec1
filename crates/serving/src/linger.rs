//! Closes a caller's connection without losing what was sent on it.
//!
//! If bytes of the caller are unread when a socket is closed, or arrive after that, the kernel resets
//! the connection, and drops what it has not delivered yet.

use crate::stream::CallerStream;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Longest time for which a caller's bytes are discarded. Most callers close as soon as they see the
/// end.
const MAX_LINGER: Duration = Duration::from_secs(5);

/// Time without a byte after which the caller is taken to send nothing more, once the entry waits for
/// its last connections.
const QUIET_TIME: Duration = Duration::from_millis(200);

/// Longest time for which bytes are discarded then.
const MAX_LINGER_AT_STOP: Duration = Duration::from_secs(1);

/// Size of the buffer for discarded bytes.
const BUFFER_BYTES: usize = 4 * 1024;

/// Closes the sending direction, and discards what the caller still sends until it closes, or is
/// silent after `closing`.
pub async fn close(mut stream: CallerStream, closing: &CancellationToken) {
    if let Err(error) = stream.shutdown().await {
        tracing::debug!(%error, "connection to caller had closed already");
        return;
    }
    tokio::select! {
        ended = discard(&mut stream, closing) => {
            if let Err(error) = ended {
                tracing::debug!(%error, "connection to caller ended");
            }
        }
        () = linger_limit(closing) => tracing::debug!("caller keeps a closed connection"),
    }
}

async fn linger_limit(closing: &CancellationToken) {
    let at_stop = async {
        closing.cancelled().await;
        sleep(MAX_LINGER_AT_STOP).await;
    };
    tokio::select! {
        () = at_stop => {}
        () = sleep(MAX_LINGER) => {}
    }
}

async fn discard(stream: &mut CallerStream, closing: &CancellationToken) -> std::io::Result<()> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let quiet = async {
            closing.cancelled().await;
            sleep(QUIET_TIME).await;
        };
        tokio::select! {
            biased;
            read = stream.read(&mut buffer) => {
                if read? == 0 {
                    return Ok(());
                }
            }
            () = quiet => return Ok(()),
        }
    }
}
