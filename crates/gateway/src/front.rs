//! Accepts callers' connections and serves requests on them.

use crate::connection::watch_for_silence;
use crate::forward::Gateway;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Longest time for a request's head. Callers that keep to the operator's limit stay well below;
/// the operator's own limit is checked on idle connections.
const HEAD_LIMIT: Duration = Duration::from_secs(60);

/// How often a connection is checked for having been idle too long.
const IDLE_CHECK: Duration = Duration::from_secs(1);

/// Idle time, in limits of the configuration, after which a connection is closed. Callers go by the limit of
/// an earlier version for a while, and a request that crosses the closing would be lost to them.
const IDLE_LIMITS: f64 = 1.5;

/// Pause after a failed accept; without it, a lack of descriptors would make the loop spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The steps of a planned stop.
#[derive(Clone, Debug, Default)]
pub struct Stop {
    /// No longer listed: answers tell callers to close their connections.
    pub leaving: CancellationToken,
    /// No new connections; idle ones are closed.
    pub closing: CancellationToken,
}

/// Serves callers until `stop.closing`, then lets requests in progress end.
pub async fn serve(listener: TcpListener, gateway: Arc<Gateway>, stop: Stop) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(attend(stream, Arc::clone(&gateway), stop.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn attend(stream: TcpStream, gateway: Arc<Gateway>, stop: Stop) {
    watch_for_silence(&stream);
    let last_used = Arc::new(Mutex::new(Instant::now()));
    let service = service_fn(|request| {
        let (gateway, last_used) = (Arc::clone(&gateway), Arc::clone(&last_used));
        let is_leaving = stop.leaving.is_cancelled();
        async move {
            note_use(&last_used);
            let mut response = gateway.handle(request).await;
            if is_leaving {
                let close = http::HeaderValue::from_static("close");
                response.headers_mut().insert(http::header::CONNECTION, close);
            }
            note_use(&last_used);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .auto_date_header(false)
        .max_buf_size(64 * 1024)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut checks = interval(IDLE_CHECK);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_closing = false;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "caller's connection ended");
                }
                return;
            }
            () = stop.closing.cancelled(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            // A request in progress ends before its connection closes, however long it takes.
            _ = checks.tick(), if !is_closing => {
                is_closing = is_idle_too_long(&gateway, &last_used);
                if is_closing {
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn note_use(last_used: &Mutex<Instant>) {
    *last_used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
}

fn is_idle_too_long(gateway: &Gateway, last_used: &Mutex<Instant>) -> bool {
    let view = gateway.view();
    let Some(configuration) = &view.configuration else {
        return false;
    };
    let limit = Duration::from_millis(configuration.limits.idle_timeout_ms).mul_f64(IDLE_LIMITS);
    let since = *last_used.lock().unwrap_or_else(PoisonError::into_inner);
    since.elapsed() > limit
}
