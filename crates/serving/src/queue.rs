//! The connections that wait in a listener's queue.

use std::io::ErrorKind;
use tokio::net::{TcpListener, TcpStream};

/// Accepts the connections that wait in the listener's queue, which are reset when it is closed, and
/// closes it.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use flamingowheel_serving::queue::accept_waiting;
/// use tokio::net::{TcpListener, TcpStream};
/// let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let _caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
/// assert_eq!(accept_waiting(listener).len(), 1);
/// # });
/// ```
pub fn accept_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let mut accepted = Vec::new();
    // The runtime may not have seen them yet, so that the socket itself is asked.
    let closed = listener.into_std().and_then(|listener| {
        loop {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(true)?;
                    accepted.push(TcpStream::from_std(stream)?);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                // The caller has left, or a signal has arrived.
                Err(error) if is_transient(error.kind()) => {}
                Err(error) => return Err(error),
            }
        }
    });
    if let Err(error) = closed {
        tracing::warn!(%error, "connections that waited at the close are lost");
    }
    accepted
}

fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::ConnectionAborted | ErrorKind::Interrupted)
}
