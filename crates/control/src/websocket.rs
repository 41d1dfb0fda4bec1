//! Requests between entries over the inner protocol's authenticated WebSocket connections.

use crate::node::Node;
use crate::transport::{PeerError, PeerTransport};
use flamingowheel_backing::BoxFuture;
use flamingowheel_protocol::link::Link;
use flamingowheel_protocol::peer::{PeerAnswer, PeerFrame, PeerRequest};
use flamingowheel_protocol::websocket::{Identity, accept_links, connect};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A connection without a request for this long is closed. Random members are probed all the time;
/// if the connections to them stayed open, their heartbeats would cost more than all requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Upper bound on the concurrent requests of one connection.
const MAX_CONCURRENT_REQUESTS: usize = 32;

type PeerLink = Link<PeerFrame, PeerFrame>;
type PendingAnswers = Arc<Mutex<HashMap<u64, oneshot::Sender<PeerAnswer>>>>;

/// Sends requests to peers over one connection each, opened when needed and again after it closed.
pub struct WebSocketPeers {
    identity: Identity,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    next_number: AtomicU64,
    idle_timeout: Duration,
}

#[derive(Clone)]
struct Connection {
    sender: mpsc::Sender<PeerFrame>,
    pending: PendingAnswers,
    used_at: Instant,
}

impl Connection {
    fn is_needed(&self, idle_timeout: Duration) -> bool {
        let in_use = !lock(&self.pending).is_empty() || self.used_at.elapsed() < idle_timeout;
        !self.sender.is_closed() && in_use
    }
}

impl WebSocketPeers {
    /// Creates a transport whose connections authenticate as `identity`.
    pub fn new(identity: Identity) -> Self {
        Self::with_idle_timeout(identity, IDLE_TIMEOUT)
    }

    /// Like [`WebSocketPeers::new`], but closes connections without a request after `idle_timeout`.
    pub fn with_idle_timeout(identity: Identity, idle_timeout: Duration) -> Self {
        let next_number = AtomicU64::new(1);
        Self { identity, connections: Mutex::default(), next_number, idle_timeout }
    }

    /// Number of connections that are open, or closed but not yet removed.
    pub fn open_connections(&self) -> usize {
        lock(&self.connections).len()
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(open) = self.find_open(peer) {
            return Ok(open);
        }
        let link: PeerLink =
            connect(peer, &self.identity).await.map_err(|_| PeerError::Unreachable)?;
        let connection = spawn_receiver(link);
        lock(&self.connections).insert(peer, connection.clone());
        Ok(connection)
    }

    /// Returns the open connection to a peer. Also closes other connections that are not needed.
    fn find_open(&self, peer: SocketAddr) -> Option<Connection> {
        let mut connections = lock(&self.connections);
        connections
            .retain(|other, connection| *other == peer || connection.is_needed(self.idle_timeout));
        let open = connections.get_mut(&peer).filter(|open| !open.sender.is_closed())?;
        open.used_at = Instant::now();
        Some(open.clone())
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
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let (answer_sender, answer) = oneshot::channel();
            lock(&connection.pending).insert(number, answer_sender);
            // Removes the entry if this future is dropped before the answer arrives.
            let _guard = PendingGuard { number, pending: &connection.pending };
            let frame = PeerFrame::Request { number, request };
            connection.sender.send(frame).await.map_err(|_| PeerError::Unreachable)?;
            answer.await.map_err(|_| PeerError::Timeout)
        })
    }
}

struct PendingGuard<'a> {
    number: u64,
    pending: &'a PendingAnswers,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        lock(self.pending).remove(&self.number);
    }
}

/// Spawns a task that passes answers to the pending requests. When the connection closes, all
/// pending requests fail.
fn spawn_receiver(link: PeerLink) -> Connection {
    let Link { sender, mut receiver, .. } = link;
    let pending = PendingAnswers::default();
    let connection = Connection { sender, pending: Arc::clone(&pending), used_at: Instant::now() };
    tokio::spawn(async move {
        while let Some(frame) = receiver.recv().await {
            if let PeerFrame::Answer { number, answer } = frame
                && let Some(answer_sender) = lock(&pending).remove(&number)
            {
                // Sending fails if the requester has given up.
                let _ = answer_sender.send(answer);
            }
        }
        lock(&pending).clear();
    });
    connection
}

/// Answers requests of other entries until `stop` is cancelled.
pub async fn serve(listener: TcpListener, identity: Identity, node: Node, stop: CancellationToken) {
    let closing = stop.clone();
    let handle = move |link| handle_link(link, node.clone(), closing.clone());
    accept_links(listener, identity, stop, handle).await;
}

async fn handle_link(mut link: PeerLink, node: Node, stop: CancellationToken) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_REQUESTS));
    while let Some(frame) = link.receiver.recv().await {
        let PeerFrame::Request { number, request } = frame else { continue };
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let (node, sender, stop) = (node.clone(), link.sender.clone(), stop.clone());
        tokio::spawn(async move {
            // A held answer would keep the connection open, and the peer would not notice for the
            // duration of the hold that this process has stopped.
            let Some(answer) = stop.run_until_cancelled(node.answer(request)).await else { return };
            // Sending fails if the connection has closed; no answer is needed then.
            let _ = sender.send(PeerFrame::Answer { number, answer }).await;
            drop(permit);
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
