//! Serves a router on a listener, with faults of the connections themselves.

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

/// Pause before a port is tried again that another socket still holds.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug, Default)]
struct Tokens {
    silenced: CancellationToken,
    broken: CancellationToken,
}

/// Faults of a server's connections; clones share one server.
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
    /// Makes all open connections silent for good; new ones work. The kernel goes on accepting
    /// their bytes, so that only a missing answer tells.
    pub fn silence_open(&self) {
        self.replace(|tokens| &mut tokens.silenced);
    }

    /// Accepts connections but never answers on them, or answers on new ones again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    /// Breaks all open connections.
    pub fn break_open(&self) {
        self.replace(|tokens| &mut tokens.broken);
    }

    /// Refuses connections, or accepts them again on the same port.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.send_replace(accepting);
    }

    /// Follows the server's own being up and down: down breaks and refuses connections.
    pub(crate) async fn follow(self, mut up: watch::Receiver<bool>) {
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

    fn replace(&self, pick: fn(&mut Tokens) -> &mut CancellationToken) {
        let mut tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(pick(&mut tokens)).cancel();
    }

    fn current(&self) -> (CancellationToken, CancellationToken) {
        let tokens = self.tokens.lock().unwrap_or_else(PoisonError::into_inner);
        (tokens.silenced.clone(), tokens.broken.clone())
    }
}

/// Serves until `shutdown`, then breaks what is open.
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
        let wanted = *accepting.borrow_and_update();
        listener = match (wanted, listener) {
            (true, None) => Some(bind_again(address).await),
            (true, bound) => bound,
            // Closing the listener makes the kernel refuse, as it does for a dead process.
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
                    tokio::spawn(run(stream, router, connections.clone(), shutdown.clone()));
                }
            }
        }
    }
}

async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn run(
    stream: TcpStream,
    router: Router,
    connections: Connections,
    shutdown: CancellationToken,
) {
    let (silenced, broken) = connections.current();
    if *connections.silent.borrow() {
        hold(stream, &shutdown, &broken).await;
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
        () = silenced.cancelled() => hold(served, &shutdown, &broken).await,
        _ = served.as_mut() => {}
    }
}

/// Keeps a connection open without ever reading or writing again.
async fn hold<C>(connection: C, shutdown: &CancellationToken, broken: &CancellationToken) {
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = broken.cancelled() => {}
    }
    drop(connection);
}
