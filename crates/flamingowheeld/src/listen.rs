//! Binds listeners and serves HTTP on them, within limits and with a graceful stop.

use axum::Router;
use axum::extract::State;
use axum::middleware::map_response_with_state;
use axum::response::Response;
use flamingowheel_config::settings::Listen as ListenSettings;
use flamingowheel_serving::linger;
use flamingowheel_serving::queue::accept_waiting;
use flamingowheel_serving::stream::CallerStream;
use flamingowheel_serving::usage::{TrackedBody, Usage};
use http::header::CONNECTION;
use http::{HeaderValue, Request, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Delay after a failed accept, whose most likely cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a connection is read from once the listener stops: bytes that have arrived are seen only
/// at the next turn of the event loop.
const LAST_READ_DURATION: Duration = Duration::from_millis(100);

/// Why a process did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Binding a listener failed.
    #[error("can't listen on {address} for {purpose}: {source}")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// Who connects to it, for the error message.
        purpose: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The control thread could not be started, or a socket's address could not be read.
    #[error("can't start a thread: {0}")]
    Thread(#[from] io::Error),
    /// The metrics could not be registered.
    #[error(transparent)]
    Metrics(#[from] flamingowheel_observe::metrics::MetricsError),
    /// An entry was started with an agent's settings, or the reverse.
    #[error("settings are not those of this role")]
    OtherRole,
    /// The settings of an entry lack the address for callers.
    #[error("settings name no address for callers")]
    NoCallersAddress,
}

/// Binds a listener; `purpose` names its users in the error.
pub async fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Bind { address, purpose, source })
}

/// The listeners of a process, bound before anything else of it starts.
pub struct Sockets {
    /// For other processes of the fleet.
    pub inner: TcpListener,
    /// For operators' HTTP requests.
    pub operators: TcpListener,
    /// For callers' HTTP requests; entries only.
    pub callers: Option<TcpListener>,
}

impl Sockets {
    /// Binds every address of the settings.
    pub async fn bind(listen: &ListenSettings) -> Result<Self, StartError> {
        let inner = bind(listen.inner, "the fleet's own processes").await?;
        Self::bind_others(listen, inner).await
    }

    /// Binds all but the inner listener, which is bound already. The inner listener comes first
    /// because its port is fixed: another listener on the same IP with port 0 could be assigned
    /// that port, and the start would occasionally fail with "address already in use".
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

/// Limits on the connections and request heads of a listener.
#[derive(Clone, Debug)]
pub struct ListenLimits {
    /// Open connections; further ones wait in the kernel's accept queue.
    pub max_connections: usize,
    /// Number of headers in one request.
    pub max_headers: usize,
    /// Size of a request's head in bytes; at least 8 KiB are allowed.
    pub max_head_bytes: usize,
    /// Time that a client may take to send a request's head.
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

/// Serves until `stop` is cancelled, then waits until all requests that have arrived have finished,
/// also those on connections that wait in the kernel's accept queue.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: ListenLimits,
    stop: CancellationToken,
) {
    let connections = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let router = router.layer(map_response_with_state(stop.clone(), announce_close));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&listener, &permits) => accepted,
            () = stop.cancelled() => break,
        };
        let Some((stream, permit)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let serving = serve_connection(stream, router.clone(), limits.clone(), stop.clone());
        connections.spawn(async move {
            serving.await;
            drop(permit);
        });
    }
    for stream in accept_waiting(listener) {
        let serving = serve_connection(stream, router.clone(), limits.clone(), stop.clone());
        let permits = Arc::clone(&permits);
        connections.spawn(async move {
            let _permit = permits.acquire_owned().await;
            serving.await;
        });
    }
    connections.close();
    connections.wait().await;
}

/// Asks the caller to open a new connection for its next request once `stop` is cancelled.
async fn announce_close(State(stop): State<CancellationToken>, mut response: Response) -> Response {
    if stop.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    limits: ListenLimits,
    stop: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let has_chunks = AtomicBool::new(true);
    let routes = TowerToHyperService::new(router);
    let (caller, usage) = (CallerStream::new(stream), Usage::default());
    let service = service_fn(|request: Request<Incoming>| {
        let in_progress = usage.begin_request();
        has_chunks.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
        let answering = routes.call(request);
        async move {
            Ok::<_, Infallible>(answering.await?.map(|body| TrackedBody::new(body, in_progress)))
        }
    });
    let mut connection = builder(&limits).serve_connection(TokioIo::new(caller.clone()), service);
    let closing = async {
        stop.cancelled().await;
        tokio::time::sleep(LAST_READ_DURATION).await;
    };
    let left = usage.left(&caller);
    tokio::pin!(closing, left);
    let mut is_closing = false;
    let ended = loop {
        tokio::select! {
            // Polled first, so that bytes that have arrived are read before the connection is closed.
            biased;
            ended = &mut connection => break ended,
            () = &mut left => return,
            () = &mut closing, if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    // Other errors are ignored: usually the client closed the connection.
    if ended.is_err_and(|error| error.is_user()) && !has_chunks.load(Ordering::Relaxed) {
        // Without chunks, a regular close says that the answer is complete.
        return caller.reset_on_drop();
    }
    drop(connection);
    linger::close(caller.clone(), &stop).await;
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    // Connections beyond the limit are not refused; they wait in the kernel's accept queue.
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
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

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
