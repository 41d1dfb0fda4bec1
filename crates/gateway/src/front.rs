//! Accepts callers' connections and serves requests on them.

use crate::connection::enable_dead_peer_detection;
use crate::forward::Gateway;
use http::Version;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time limit for a request's head. Callers that keep to the operator's limit stay well below; the
/// operator's own limit is applied to idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between checks whether a connection has been idle for too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a connection is closed, as a multiple of the configured limit. Callers may
/// use the limit of an earlier configuration for a while, and would lose a request sent while the
/// connection closes.
const IDLE_TIMEOUT_FACTOR: f64 = 1.5;

/// Pause after a failed accept; without it, the loop would spin when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The steps of a graceful shutdown.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// Cancelled first: the entry is no longer listed, and answers ask callers to close their
    /// connections.
    pub leaving: CancellationToken,
    /// Cancelled later: no new connections are accepted, and idle ones are closed.
    pub closing: CancellationToken,
    /// The connections of callers to all threads. A request may use a connection to a backend server
    /// that another thread drives, so that threads end together.
    connections: TaskTracker,
}

/// Serves callers until `stop.closing`, then waits until no thread has a connection left.
pub async fn serve(listener: TcpListener, gateway: Arc<Gateway>, stop: Stop) {
    let accepting = stop.connections.token();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve_connection(stream, Arc::clone(&gateway), stop.clone());
                stop.connections.spawn(serving);
            }
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    drop(accepting);
    stop.connections.close();
    stop.connections.wait().await;
}

async fn serve_connection(stream: TcpStream, gateway: Arc<Gateway>, stop: Stop) {
    let _counted = gateway.held.add_connection();
    enable_dead_peer_detection(&stream);
    let last_used = Arc::new(Mutex::new(Instant::now()));
    let has_chunks = AtomicBool::new(true);
    let service = service_fn(|request| {
        let (gateway, last_used) = (Arc::clone(&gateway), Arc::clone(&last_used));
        let is_leaving = stop.leaving.is_cancelled();
        has_chunks.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
        async move {
            record_use(&last_used);
            let mut response = gateway.handle(request).await;
            if is_leaving {
                let close = http::HeaderValue::from_static("close");
                response.headers_mut().insert(http::header::CONNECTION, close);
            }
            record_use(&last_used);
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .auto_date_header(false)
        .max_buf_size(64 * 1024)
        .serve_connection(TokioIo::new(stream), service);
    let mut checks = interval(IDLE_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = &mut connection => {
                let Err(error) = ended else {
                    return;
                };
                tracing::debug!(%error, "connection to caller ended");
                if error.is_user() && !has_chunks.load(Ordering::Relaxed) {
                    // Without chunks, a regular close says that the answer is complete.
                    reset(&connection.into_parts().io.into_inner());
                }
                return;
            }
            () = stop.closing.cancelled(), if !is_closing => {
                is_closing = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
            // A graceful shutdown waits for the request in progress, however long that takes.
            _ = checks.tick(), if !is_closing => {
                is_closing = is_idle_too_long(&gateway, &last_used);
                if is_closing {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
    }
}

/// Makes the connection send a reset when it is dropped.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        tracing::warn!(%error, "broken answer may look complete to its caller");
    }
}

fn record_use(last_used: &Mutex<Instant>) {
    *last_used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
}

fn is_idle_too_long(gateway: &Gateway, last_used: &Mutex<Instant>) -> bool {
    let view = gateway.view();
    let Some(configuration) = &view.configuration else {
        return false;
    };
    let limit =
        Duration::from_millis(configuration.limits.idle_timeout_ms).mul_f64(IDLE_TIMEOUT_FACTOR);
    let since = *last_used.lock().unwrap_or_else(PoisonError::into_inner);
    since.elapsed() > limit
}
