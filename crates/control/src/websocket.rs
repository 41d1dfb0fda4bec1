//! Reaching other entries over the inner protocol's authenticated connections.

use crate::node::Node;
use crate::transport::{PeerError, PeerTransport};
use flamingowheel_platform::BoxFuture;
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::peer::{PeerAnswer, PeerFrame, PeerRequest};
use flamingowheel_protocol::websocket::{Identity, accept, connect};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Most connections to other entries; the topology needs far fewer.
const MAX_CONNECTIONS: usize = 64;
/// Most connections of other entries.
const MAX_ACCEPTED: usize = 256;
/// Most requests of one connection that are worked on at one time.
const MAX_REQUESTS: usize = 32;

type PeerLink = Link<PeerFrame, PeerFrame>;
type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<PeerAnswer>>>>;

/// Asks peers, over one connection to each, opened when needed and again after it ended.
pub struct WebSocketPeers {
    identity: Identity,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    number: AtomicU64,
}

#[derive(Clone)]
struct Connection {
    sender: mpsc::Sender<PeerFrame>,
    waiting: Waiting,
}

impl WebSocketPeers {
    /// A transport that introduces itself in this way.
    pub fn new(identity: Identity) -> Self {
        Self { identity, connections: Mutex::default(), number: AtomicU64::new(1) }
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(open) = self.open(peer) {
            return Ok(open);
        }
        let link: PeerLink =
            connect(peer, &self.identity).await.map_err(|_| PeerError::Unreachable)?;
        let connection = start(link);
        let mut connections = lock(&self.connections);
        connections.retain(|_, other| !other.sender.is_closed());
        if connections.len() >= MAX_CONNECTIONS {
            // Any one may go: it is opened again if it is still needed.
            let first = connections.keys().next().copied();
            first.and_then(|first| connections.remove(&first));
        }
        connections.insert(peer, connection.clone());
        Ok(connection)
    }

    fn open(&self, peer: SocketAddr) -> Option<Connection> {
        let connections = lock(&self.connections);
        connections.get(&peer).filter(|open| !open.sender.is_closed()).cloned()
    }
}

impl PeerTransport for WebSocketPeers {
    fn ask(
        &self,
        peer: SocketAddr,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerAnswer, PeerError>> {
        Box::pin(async move {
            let connection = self.connection(peer).await?;
            let number = self.number.fetch_add(1, Ordering::Relaxed);
            let (answered, answer) = oneshot::channel();
            lock(&connection.waiting).insert(number, answered);
            // Whoever asks may give up before the answer comes.
            let _guard = Forget { number, waiting: &connection.waiting };
            let frame = PeerFrame::Request { number, request };
            connection.sender.send(frame).await.map_err(|_| PeerError::Unreachable)?;
            answer.await.map_err(|_| PeerError::Silent)
        })
    }
}

struct Forget<'a> {
    number: u64,
    waiting: &'a Waiting,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        lock(self.waiting).remove(&self.number);
    }
}

/// Hands answers to those that wait; when the connection ends they all hear of it.
fn start(link: PeerLink) -> Connection {
    let Link { sender, mut receiver, .. } = link;
    let waiting = Waiting::default();
    let connection = Connection { sender, waiting: Arc::clone(&waiting) };
    tokio::spawn(async move {
        while let Some(frame) = receiver.recv().await {
            if let PeerFrame::Answer { number, answer } = frame
                && let Some(waiting) = lock(&waiting).remove(&number)
            {
                // The one that asked may have given up.
                let _ = waiting.send(answer);
            }
        }
        lock(&waiting).clear();
    });
    connection
}

/// Answers other entries until `stop` fires.
pub async fn serve(listener: TcpListener, identity: Identity, node: Node, stop: CancellationToken) {
    let permits = Arc::new(Semaphore::new(MAX_ACCEPTED));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let (stream, remote) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                // Out of descriptors, most likely; trying again at once would only spin.
                tracing::warn!(%error, "can't accept");
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            tracing::warn!(%remote, "too many connections of entries");
            continue;
        };
        let (identity, node, stop) = (identity.clone(), node.clone(), stop.clone());
        tokio::spawn(async move {
            let _permit = permit;
            stop.run_until_cancelled(attend(stream, &identity, node, stop.clone())).await;
        });
    }
}

async fn attend(
    stream: tokio::net::TcpStream,
    identity: &Identity,
    node: Node,
    stop: CancellationToken,
) {
    let mut link: PeerLink = match accept(stream, identity).await {
        Ok(link) => link,
        Err(error) => return tracing::warn!(%error, "connection refused"),
    };
    let permits = Arc::new(Semaphore::new(MAX_REQUESTS));
    while let Some(frame) = link.receiver.recv().await {
        let PeerFrame::Request { number, request } = frame else { continue };
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let (node, sender, stop) = (node.clone(), link.sender.clone(), stop.clone());
        tokio::spawn(async move {
            // A held answer keeps the connection open; the peer would take a process that
            // stopped for one that is there, for as long as the hold.
            let Some(answer) = stop.run_until_cancelled(node.answer(request)).await else { return };
            // A connection that ended has nobody waiting.
            let _ = sender.send(PeerFrame::Answer { number, answer }).await;
            drop(permit);
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
