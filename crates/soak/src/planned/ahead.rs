//! A connection on which the begin of the next request is sent while an answer is read.

use std::io::Result;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Begin of every request, all of which are alike so far.
const BEGIN: &[u8] = b"POST /";

/// A connection of a caller, which may send ahead.
#[derive(Debug)]
pub struct AheadStream {
    stream: TcpStream,
    sends_ahead: bool,
    /// Whether the begin of the next request was sent.
    is_ahead: bool,
}

impl AheadStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, sends_ahead: bool) -> Self {
        Self { stream, sends_ahead, is_ahead: false }
    }
}

impl AsyncRead for AheadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.sends_ahead && !self.is_ahead && buffer.filled().len() > filled {
            // An error shows at the next read; the few bytes are sent all or not at all.
            self.is_ahead = self.stream.try_write(BEGIN).is_ok_and(|sent| sent == BEGIN.len());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AheadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let skipped = if self.is_ahead && bytes.starts_with(BEGIN) { BEGIN.len() } else { 0 };
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, &bytes[skipped..]))?;
        self.is_ahead &= skipped == 0;
        Poll::Ready(Ok(skipped + written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
