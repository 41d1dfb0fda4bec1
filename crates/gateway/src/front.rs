//! Accepts callers' connections and serves requests on them.

use crate::connection::enable_dead_peer_detection;
use crate::forward::Gateway;
use flamingowheel_serving::linger;
use flamingowheel_serving::queue::accept_waiting;
use flamingowheel_serving::stream::CallerStream;
use flamingowheel_serving::usage::{TrackedBody, Usage};
use http::Version;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time limit for a request's head. Callers that keep to the operator's limit stay well below; the
/// operator's own limit is applied to idle connections.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a caller may take nothing of an answer: as long as for sending a body. The kernel
/// does not tell a caller that reads nothing from a dead one.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between checks whether a connection has been idle for too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a connection is closed, as a multiple of the configured limit. Callers may
/// use the limit of an earlier configuration for a while, and would lose a request sent while the
/// connection closes.
const IDLE_TIMEOUT_FACTOR: f64 = 1.5;

/// Time between `closing` and the close of idle connections, for requests that are on their way. The
/// callers of new connections could not learn from an answer that the entry is leaving.
const LAST_REQUESTS_TIME: Duration = Duration::from_millis(100);

/// Time after `closing` within which the head of a new connection's first request has to arrive.
const FIRST_HEAD_TIME: Duration = Duration::from_millis(400);

/// Time that callers have to read what is left of their answers before the process exits.
const LAST_WRITES_TIME: Duration = Duration::from_millis(50);

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
    /// Cancelled last: requests in progress are ended, as the process is about to exit.
    pub aborting: CancellationToken,
    /// When requests in progress are ended; empty before `leaving`.
    ends_at: Arc<OnceLock<Instant>>,
    /// The connections of callers to all threads. A request may use a connection to a backend server
    /// that another thread drives, so that threads end together.
    connections: TaskTracker,
}

impl Stop {
    /// Begins the stop: the entry leaves, and requests in progress are ended at `ends_at`.
    pub fn begin(&self, ends_at: Instant) {
        self.ends_at.get_or_init(|| ends_at);
        self.leaving.cancel();
    }

    /// Whether a request that has been read now, and has until `deadline`, might be ended by the stop.
    /// Before `closing`, callers may not know yet that the entry is leaving.
    ///
    /// ```
    /// use flamingowheel_gateway::front::Stop;
    /// use std::time::Duration;
    /// use tokio::time::Instant;
    /// let (stop, ends_at) = (Stop::default(), Instant::now() + Duration::from_secs(6));
    /// stop.begin(ends_at);
    /// let late = ends_at + Duration::from_millis(1);
    /// assert!(!stop.may_cut(late));
    /// stop.closing.cancel();
    /// assert!(stop.may_cut(late) && !stop.may_cut(ends_at));
    /// ```
    pub fn may_cut(&self, deadline: Instant) -> bool {
        let ends_at = self.ends_at.get().filter(|_| self.closing.is_cancelled());
        ends_at.is_some_and(|ends_at| deadline > *ends_at)
    }
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
    for stream in accept_waiting(listener) {
        stop.connections.spawn(serve_connection(stream, Arc::clone(&gateway), stop.clone()));
    }
    drop(accepting);
    stop.connections.close();
    stop.connections.wait().await;
}

async fn serve_connection(stream: TcpStream, gateway: Arc<Gateway>, stop: Stop) {
    let _counted = gateway.held.add_connection();
    enable_dead_peer_detection(&stream, UNREAD_TIMEOUT);
    let caller = CallerStream::new(stream);
    let usage = Usage::default();
    let has_chunks = AtomicBool::new(true);
    let service = service_fn(|request| {
        let gateway = Arc::clone(&gateway);
        let in_progress = usage.begin_request();
        let leaving = stop.leaving.clone();
        has_chunks.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
        async move {
            let mut response = gateway.handle(request).await;
            // The entry may have begun to leave while the request was in progress.
            if leaving.is_cancelled() {
                let close = http::HeaderValue::from_static("close");
                response.headers_mut().insert(http::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, in_progress)))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .auto_date_header(false)
        .max_buf_size(64 * 1024)
        .serve_connection(TokioIo::new(caller.clone()), service);
    let mut checks = interval(IDLE_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let must_close = async {
        stop.closing.cancelled().await;
        sleep(LAST_REQUESTS_TIME).await;
    };
    let must_drop = async {
        stop.closing.cancelled().await;
        sleep(FIRST_HEAD_TIME).await;
    };
    let must_reset = async {
        stop.aborting.cancelled().await;
        sleep(LAST_WRITES_TIME).await;
    };
    let left = usage.left(&caller);
    tokio::pin!(must_close, must_drop, must_reset, left);
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            ended = &mut connection => {
                return close(caller.clone(), ended, is_unframed(&has_chunks), &usage, &stop).await;
            }
            () = &mut left => {
                tracing::debug!("caller has left");
                return;
            }
            () = &mut must_close, if !is_closing => {
                is_closing = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
            () = &mut must_drop, if !usage.has_begun() => return,
            // The body of an answer is not asked for its end while the caller reads nothing.
            () = &mut must_reset, if is_unframed(&has_chunks) && usage.is_in_progress() => {
                return caller.reset_on_drop();
            }
            // A graceful shutdown waits for the request in progress, however long that takes.
            _ = checks.tick(), if !is_closing => {
                is_closing = is_idle_too_long(&gateway, &usage);
                if is_closing {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
    }
}

/// Whether the end of the connection is the end of an answer without length.
fn is_unframed(has_chunks: &AtomicBool) -> bool {
    !has_chunks.load(Ordering::Relaxed)
}

/// Closes a connection on which no more requests are served.
async fn close(
    stream: CallerStream,
    ended: hyper::Result<()>,
    is_unframed: bool,
    usage: &Usage,
    stop: &Stop,
) {
    match ended {
        // Nothing was sent, so that nothing can be lost.
        Ok(()) if !usage.has_begun() => return,
        Ok(()) => {}
        Err(error) => {
            tracing::debug!(%error, "connection to caller ended");
            if error.is_user() && is_unframed {
                // Without chunks, a regular close says that the answer is complete.
                return stream.reset_on_drop();
            }
        }
    }
    linger::close(stream, &stop.closing).await;
}

fn is_idle_too_long(gateway: &Gateway, usage: &Usage) -> bool {
    let view = gateway.view();
    let Some(configuration) = &view.configuration else {
        return false;
    };
    let limit =
        Duration::from_millis(configuration.limits.idle_timeout_ms).mul_f64(IDLE_TIMEOUT_FACTOR);
    usage.idle_time() > limit
}
