//! In-memory connections with latency and faults.

use bytes::Bytes;
use flamingowheel_gateway::feed::transport::{Connect, FeedLink};
use flamingowheel_gateway::feed::{FeedMessage, FeedRequest, TIMING};
use flamingowheel_protocol::link::{Link, LinkOptions};
use flamingowheel_protocol::message::{Hello, Role};
use flamingowheel_protocol::websocket::{HandshakeError, Identity, MAX_ACCEPTED};
use futures_util::{sink, stream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// One-way latency between two entries.
const LATENCY: Duration = Duration::from_micros(500);

/// The server's side of a connection.
pub type ServedLink = Link<FeedMessage, FeedRequest>;

/// What is wrong with an entry's connections to other entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkFault {
    /// Nothing reaches others.
    pub mute: bool,
    /// Nothing of others arrives.
    pub deaf: bool,
    /// Added to the latency in both directions.
    pub delay: Duration,
}

#[derive(Clone, Debug)]
struct Listener {
    vm: String,
    accepted: mpsc::UnboundedSender<ServedLink>,
    permits: Arc<Semaphore>,
}

#[derive(Debug, Default)]
struct State {
    listeners: HashMap<SocketAddr, Listener>,
    faults: HashMap<String, watch::Sender<LinkFault>>,
    links: HashMap<String, Vec<mpsc::Sender<()>>>,
}

/// The network between entries; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Network {
    state: Arc<Mutex<State>>,
    bytes: Arc<AtomicU64>,
    messages: Arc<AtomicU64>,
}

impl Network {
    pub fn listen(&self, vm: &str, address: SocketAddr) -> mpsc::UnboundedReceiver<ServedLink> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut state = self.state.lock().unwrap();
        let permits = Arc::new(Semaphore::new(MAX_ACCEPTED));
        state.listeners.insert(address, Listener { vm: vm.to_owned(), accepted: sender, permits });
        receiver
    }

    pub fn set_fault(&self, vm: &str, fault: LinkFault) {
        let mut state = self.state.lock().unwrap();
        state.faults.entry(vm.to_owned()).or_default().send_replace(fault);
    }

    /// Closes all connections of an entry and refuses new ones to it.
    pub fn close(&self, vm: &str) {
        let mut state = self.state.lock().unwrap();
        state.listeners.retain(|_, listener| listener.vm != vm);
        state.links.remove(vm);
    }

    /// Bytes and batches carried so far.
    pub fn carried(&self) -> (u64, u64) {
        (self.bytes.load(Ordering::Relaxed), self.messages.load(Ordering::Relaxed))
    }

    /// A connector of the entry on `vm`.
    pub fn connector(&self, vm: &str) -> Connector {
        Connector { network: self.clone(), vm: vm.to_owned() }
    }

    fn fault(&self, vm: &str) -> watch::Receiver<LinkFault> {
        let mut state = self.state.lock().unwrap();
        state.faults.entry(vm.to_owned()).or_default().subscribe()
    }

    /// One direction of a connection. It ends when either entry's connections are closed.
    fn direction(
        &self,
        from: &str,
        to: &str,
        permit: Option<OwnedSemaphorePermit>,
    ) -> (mpsc::UnboundedSender<Bytes>, Incoming) {
        let (sender, mut queued) = mpsc::unbounded_channel::<Bytes>();
        let (delivered, receiver) = mpsc::unbounded_channel();
        let (mut from_fault, mut to_fault) = (self.fault(from), self.fault(to));
        let (from_closed, to_closed) = (self.closing(from), self.closing(to));
        let network = self.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let deliver = async {
                while let Some(bytes) = queued.recv().await {
                    let fault = *from_fault.borrow();
                    let delay = fault.delay + to_fault.borrow().delay;
                    let due = Instant::now() + LATENCY + delay;
                    network.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                    network.messages.fetch_add(1, Ordering::Relaxed);
                    sleep_until(due).await;
                    // A cut holds bytes back, as a retransmission would.
                    let _ = from_fault.wait_for(|fault| !fault.mute).await;
                    let _ = to_fault.wait_for(|fault| !fault.deaf).await;
                    if delivered.send(bytes).is_err() {
                        return;
                    }
                }
            };
            tokio::select! {
                () = deliver => {}
                () = from_closed => {}
                () = to_closed => {}
            }
        });
        (sender, receiver)
    }

    /// Resolves when the entry's connections are closed.
    fn closing(&self, vm: &str) -> impl Future<Output = ()> + use<> {
        let (open, mut closed) = mpsc::channel::<()>(1);
        let mut state = self.state.lock().unwrap();
        state.links.entry(vm.to_owned()).or_default().push(open);
        async move {
            closed.recv().await;
        }
    }

    fn open(&self, from: &str, address: SocketAddr) -> Option<FeedLink> {
        let Listener { vm: to, accepted, permits } =
            self.state.lock().unwrap().listeners.get(&address)?.clone();
        let permit = permits.try_acquire_owned().ok()?;
        let (request_sender, requests) = self.direction(from, &to, Some(permit));
        let (answer_sender, answers) = self.direction(&to, from, None);
        let served = start(from, answer_sender, requests);
        accepted.send(served).ok()?;
        Some(start(&to, request_sender, answers))
    }
}

type Incoming = mpsc::UnboundedReceiver<Bytes>;

fn start<Out, In>(
    peer: &str,
    sender: mpsc::UnboundedSender<Bytes>,
    receiver: Incoming,
) -> Link<Out, In>
where
    Out: serde::Serialize + Send + Sync + 'static,
    In: serde::de::DeserializeOwned + Send + 'static,
{
    let sink = sink::unfold(sender, |sender, bytes: Bytes| async move {
        sender.send(bytes).map(|()| sender).map_err(|_| ())
    });
    let stream = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|bytes| (bytes, receiver))
    });
    let options = LinkOptions { timing: TIMING, ..LinkOptions::default() };
    Link::start(hello(peer, ""), Box::pin(sink), Box::pin(stream), options)
}

/// The identity of the entry on `vm`.
pub fn hello(vm: &str, data_centre: &str) -> Hello {
    Identity::without_secret(vm, data_centre, Role::Entry, TIMING).hello
}

/// Opens connections of one entry.
#[derive(Clone, Debug)]
pub struct Connector {
    network: Network,
    vm: String,
}

impl Connect for Connector {
    async fn connect(&self, address: SocketAddr) -> Result<FeedLink, HandshakeError> {
        // TCP and WebSocket handshakes.
        sleep(LATENCY * 6).await;
        self.network.open(&self.vm, address).ok_or(HandshakeError::Malformed)
    }
}
