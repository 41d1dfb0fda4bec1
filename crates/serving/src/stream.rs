//! A caller's connection whose end is noticed also while nothing is read from it.

use socket2::SockRef;
use std::io::{IoSlice, Result};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time between checks of a connection on which unread bytes wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection that can be watched while another clone of it is read and written. It is closed with
/// the last clone.
#[derive(Clone, Debug)]
pub struct CallerStream(Arc<TcpStream>);

impl CallerStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Waits until the caller has closed or reset the connection, also while bytes wait to be read.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
    /// use flamingowheel_serving::stream::CallerStream;
    /// use tokio::io::AsyncWriteExt;
    /// use tokio::net::{TcpListener, TcpStream};
    /// let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    /// let mut caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    /// let stream = CallerStream::new(listener.accept().await.unwrap().0);
    /// caller.write_all(b"never read").await.unwrap();
    /// drop(caller);
    /// stream.closed().await;
    /// # });
    /// ```
    pub async fn closed(&self) {
        loop {
            match self.0.ready(Interest::READABLE).await {
                Ok(ready) if ready.is_read_closed() => return,
                Ok(_) => sleep(CHECK_INTERVAL).await,
                Err(error) => {
                    tracing::debug!(%error, "connection to caller can't be watched");
                    return;
                }
            }
        }
    }

    /// Makes the connection send a reset when it is dropped.
    pub fn reset_on_drop(&self) {
        if let Err(error) = self.0.set_zero_linger() {
            tracing::warn!(%error, "broken answer may look complete to its caller");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read_buf(buffer) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|_| ())),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}

impl CallerStream {
    fn poll_try_write<W>(&self, context: &mut Context<'_>, write: W) -> Poll<Result<usize>>
    where
        W: Fn(&TcpStream) -> Result<usize>,
    {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}
