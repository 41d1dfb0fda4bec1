//! Binds listeners and serves HTTP on them, within limits and with a graceful stop.

use axum::Router;
use flamingowheel_config::settings::Listen as ListenSettings;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept; out of descriptors, most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Why a process did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be listened on.
    #[error("can't listen on {address} for {purpose}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What it is for.
        purpose: &'static str,
        /// What the operating system said.
        source: io::Error,
    },
    /// A thread could not be started.
    #[error("can't start a thread: {0}")]
    Thread(#[from] io::Error),
    /// Metrics could not be registered.
    #[error(transparent)]
    Metrics(#[from] flamingowheel_observe::metrics::MetricsError),
    /// The settings are those of another role.
    #[error("settings are not those of this role")]
    OtherRole,
    /// An entry has no address for callers.
    #[error("settings name no address for callers")]
    NoCallersAddress,
}

/// Binds a listener.
pub async fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Bind { address, purpose, source })
}

/// The listeners of a process, bound before it starts.
pub struct Sockets {
    /// For the fleet's own processes.
    pub inner: TcpListener,
    /// For operators.
    pub operators: TcpListener,
    /// For callers, on an entry.
    pub callers: Option<TcpListener>,
}

impl Sockets {
    /// Binds what the settings name.
    pub async fn bind(listen: &ListenSettings) -> Result<Self, StartError> {
        let inner = bind(listen.inner, "the fleet's own processes").await?;
        Self::bind_others(listen, inner).await
    }

    /// Binds all but the inner listener, which is bound already. It comes first because its port is
    /// fixed: another one on the same IP with port 0 might be given that very port, and the process
    /// would not start, now and then, with "address already in use".
    pub async fn bind_others(
        listen: &ListenSettings,
        inner: TcpListener,
    ) -> Result<Self, StartError> {
        let operators = bind(listen.operators, "operators").await?;
        let callers = match listen.callers {
            Some(address) => Some(bind(address, "callers").await?),
            None => None,
        };
        Ok(Self { inner, operators, callers })
    }
}

/// Bounds on what a client may make a listener hold or wait for.
#[derive(Clone, Debug)]
pub struct ListenLimits {
    /// Connections at one time.
    pub max_connections: usize,
    /// Headers of one request.
    pub max_headers: usize,
    /// Size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Time a client may take to send the head.
    pub head_timeout: Duration,
}

impl Default for ListenLimits {
    fn default() -> Self {
        Self {
            max_connections: 1024,
            max_headers: 64,
            max_head_bytes: 16 * 1024,
            head_timeout: Duration::from_secs(5),
        }
    }
}

/// Serves until `stop` fires, then lets open requests finish.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: ListenLimits,
    stop: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &places) => accepted,
            () = stop.cancelled() => break,
        };
        let Some((stream, place)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        let connection = builder(&limits).serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A client that breaks off is no fault of this side.
            let _ = connection.await;
            drop(place);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    // The kernel's queue holds those beyond the limit; they are not refused, they wait.
    let place = Arc::clone(places).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, place)),
        Err(error) => {
            tracing::warn!(%error, "can't accept");
            None
        }
    }
}

fn builder(limits: &ListenLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.max_headers)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES));
    builder
}

/// Smallest buffer that the HTTP library takes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
