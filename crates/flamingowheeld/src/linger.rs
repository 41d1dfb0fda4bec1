//! A connection that is closed without a reset.

use std::future::Future;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// How long a closed connection waits for its peer to close it too: several round trips.
const LINGER_DURATION: Duration = Duration::from_millis(500);

/// Bytes that are read and discarded at a time.
const DISCARD_BYTES: usize = 4 * 1024;

/// A connection whose shutdown reads until the peer has closed it as well, for a short time.
/// Dropping a socket with unread bytes resets it, and the peer would lose the end of an answer that
/// it has not read yet.
#[derive(Debug)]
pub(crate) struct Lingering {
    stream: TcpStream,
    /// Set once the own direction is closed.
    linger: Option<Pin<Box<Sleep>>>,
}

impl Lingering {
    /// Wraps an open connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, linger: None }
    }

    /// Resets the connection.
    pub(crate) fn reset(self) {
        if let Err(error) = self.stream.set_zero_linger() {
            tracing::warn!(%error, "broken answer may look complete to its caller");
        }
    }

    /// Reads and discards what has arrived; ready once the peer has closed or reset the connection.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl AsyncRead for Lingering {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Lingering {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            self.linger = Some(Box::pin(sleep(LINGER_DURATION)));
        }
        if self.poll_discard(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let linger = self.linger.as_mut().expect("set above");
        linger.as_mut().poll(context).map(Ok)
    }
}
