//! Reaching other entries over the inner protocol's authenticated connections.

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

/// A connection that nobody asked over for this long is closed. Random members are probed all the
/// time; kept open, those connections would cost more in heartbeats than all that is said.
const IDLE_LIMIT: Duration = Duration::from_secs(8);
/// Most requests of one connection that are worked on at one time.
const MAX_REQUESTS: usize = 32;

type PeerLink = Link<PeerFrame, PeerFrame>;
type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<PeerAnswer>>>>;

/// Asks peers, over one connection to each, opened when needed and again after it ended.
pub struct WebSocketPeers {
    identity: Identity,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    number: AtomicU64,
    idle_limit: Duration,
}

#[derive(Clone)]
struct Connection {
    sender: mpsc::Sender<PeerFrame>,
    waiting: Waiting,
    used_at: Instant,
}

impl Connection {
    fn is_needed(&self, idle_limit: Duration) -> bool {
        let in_use = !lock(&self.waiting).is_empty() || self.used_at.elapsed() < idle_limit;
        !self.sender.is_closed() && in_use
    }
}

impl WebSocketPeers {
    /// A transport that introduces itself in this way.
    pub fn new(identity: Identity) -> Self {
        Self::with_idle_limit(identity, IDLE_LIMIT)
    }

    /// The same, with another time after which connections without a question are closed.
    pub fn with_idle_limit(identity: Identity, idle_limit: Duration) -> Self {
        let number = AtomicU64::new(1);
        Self { identity, connections: Mutex::default(), number, idle_limit }
    }

    /// How many connections are open or were not yet found closed.
    pub fn open_connections(&self) -> usize {
        lock(&self.connections).len()
    }

    async fn connection(&self, peer: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(open) = self.open(peer) {
            return Ok(open);
        }
        let link: PeerLink =
            connect(peer, &self.identity).await.map_err(|_| PeerError::Unreachable)?;
        let connection = start(link);
        lock(&self.connections).insert(peer, connection.clone());
        Ok(connection)
    }

    /// The open connection to a peer; others that are no longer needed are closed on the way.
    fn open(&self, peer: SocketAddr) -> Option<Connection> {
        let mut connections = lock(&self.connections);
        connections.retain(|other, own| *other == peer || own.is_needed(self.idle_limit));
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
            let number = self.number.fetch_add(1, Ordering::Relaxed);
            let (answered, answer) = oneshot::channel();
            lock(&connection.waiting).insert(number, answered);
            // Whoever asks may give up before the answer comes.
            let _guard = Forget { number, waiting: &connection.waiting };
            let frame = PeerFrame::Request { number, request };
            connection.sender.send(frame).await.map_err(|_| PeerError::Unreachable)?;
            answer.await.map_err(|_| PeerError::Timeout)
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
    let connection = Connection { sender, waiting: Arc::clone(&waiting), used_at: Instant::now() };
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
    let closing = stop.clone();
    let attend = move |link| attend(link, node.clone(), closing.clone());
    accept_links(listener, identity, stop, attend).await;
}

async fn attend(mut link: PeerLink, node: Node, stop: CancellationToken) {
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
