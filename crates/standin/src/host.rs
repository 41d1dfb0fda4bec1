//! Serves a router on a listener, with injectable connection faults.

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Delay between attempts to bind the port again while another socket still holds it.
const REBIND_DELAY: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct Tokens {
    silenced: CancellationToken,
    broken: CancellationToken,
}

/// Injects faults into the connections of one server; clones control the same server.
///
/// ```
/// let connections = flamingowheel_standin::Connections::default();
/// connections.silence_open();
/// ```
#[derive(Clone, Debug)]
pub struct Connections {
    tokens: Arc<Mutex<Tokens>>,
    silent: watch::Sender<bool>,
    accepting: watch::Sender<bool>,
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            tokens: Arc::default(),
            silent: watch::Sender::new(false),
            accepting: watch::Sender::new(true),
        }
    }
}

impl Connections {
    /// Makes all open connections silent permanently; new ones work. The kernel keeps accepting
    /// their bytes, so the client can only detect the fault by the missing answer.
    pub fn silence_open(&self) {
        self.cancel_and_replace(|tokens| &mut tokens.silenced);
    }

    /// While `true`, new connections are accepted but never answered.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Closes all open connections without finishing their requests.
    pub fn break_open(&self) {
        self.cancel_and_replace(|tokens| &mut tokens.broken);
    }

    /// Closes the listener, so that connections are refused, or binds the same port again.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Breaks and refuses connections while the fake is down, and accepts them while it is up.
    pub(crate) async fn follow_availability(self, mut up: watch::Receiver<bool>) {
        loop {
            let is_up = *up.borrow_and_update();
            self.set_accepting(is_up);
            if !is_up {
                self.break_open();
            }
            if up.changed().await.is_err() {
                return;
            }
        }
    }

    fn cancel_and_replace(&self, pick: fn(&mut Tokens) -> &mut CancellationToken) {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(pick(&mut tokens)).cancel();
    }

    fn current_tokens(&self) -> (CancellationToken, CancellationToken) {
        let tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        (tokens.silenced.clone(), tokens.broken.clone())
    }
}

/// Serves until `shutdown`, then closes all open connections without finishing their requests.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    connections: Connections,
    shutdown: CancellationToken,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let mut listener = Some(listener);
    let mut accepting = connections.accepting.subscribe();
    loop {
        let should_accept = *accepting.borrow_and_update();
        listener = match (should_accept, listener) {
            (true, None) => Some(rebind(address).await),
            (true, bound) => bound,
            // With the listener closed, the kernel refuses connections as for a dead process.
            (false, _) => None,
        };
        tokio::select! {
            biased;
            () = shutdown.cancelled() => return Ok(()),
            changed = accepting.changed() => {
                if changed.is_err() {
                    return Ok(());
                }
            }
            accepted = accept(listener.as_ref()) => {
                if let Ok(stream) = accepted {
                    let router = router.clone();
                    tokio::spawn(handle_connection(
                        stream,
                        router,
                        connections.clone(),
                        shutdown.clone(),
                    ));
                }
            }
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_DELAY).await,
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn handle_connection(
    stream: TcpStream,
    router: Router,
    connections: Connections,
    shutdown: CancellationToken,
) {
    let (silenced, broken) = connections.current_tokens();
    if *connections.silent.borrow() {
        hold_open(stream, &shutdown, &broken).await;
        return;
    }
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(router);
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    let mut served = std::pin::pin!(served);
    tokio::select! {
        biased;
        () = shutdown.cancelled() => {}
        () = broken.cancelled() => {}
        () = silenced.cancelled() => hold_open(served, &shutdown, &broken).await,
        _ = served.as_mut() => {}
    }
}

/// Keeps a connection open, without reading or writing, until it is broken or the server stops.
async fn hold_open<C>(connection: C, shutdown: &CancellationToken, broken: &CancellationToken) {
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = broken.cancelled() => {}
    }
    drop(connection);
}
