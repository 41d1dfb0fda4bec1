//! Opens and accepts authenticated connections over WebSocket.

use crate::auth::{FleetKey, Opening, Proof, Reply, Side, Transcript, VERSION};
use crate::codec::{MAX_BATCH_BYTES, decode, encode};
use crate::id::Incarnation;
use crate::link::{Link, LinkOptions, NoClock, Timing};
use crate::message::{Hello, Role};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt, future};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::{Role as SocketRole, WebSocketConfig};
use tokio_util::sync::CancellationToken;

/// Handshakes that take longer are aborted.
const HANDSHAKE_LIMIT: Duration = Duration::from_secs(2);

/// Handshake messages are small; this bounds what an unauthenticated peer can make this side
/// buffer.
const MAX_HANDSHAKE_BYTES: usize = 16 * 1024;

/// Read buffer of each connection. Batches are small, and a process has about a hundred
/// connections; the library's default would cost 128 KiB each.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Most concurrent connections of one listener. All entries of a fleet may connect to one; without a
/// bound, an unauthenticated client that opens connections and sends nothing would exhaust this
/// process's file descriptors.
pub const MAX_ACCEPTED: usize = 1_024;

/// Pause after a failed accept, which most likely means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The TCP connection failed.
    #[error("can't connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The WebSocket handshake failed.
    #[error("handshake failed: {0}")]
    Protocol(#[from] Box<tokio_tungstenite::tungstenite::Error>),
    /// The other side closed the connection or sent something other than the expected message.
    #[error("malformed handshake")]
    Malformed,
    /// The handshake exceeded its time limit.
    #[error("handshake took longer than {} ms", HANDSHAKE_LIMIT.as_millis())]
    TimedOut,
    /// The peer uses another protocol version.
    #[error("peer speaks protocol version {theirs}, this side {VERSION}")]
    Version {
        /// The peer's version.
        theirs: u16,
    },
    /// The peer's tag does not match, so the peer uses another fleet key.
    #[error("peer's tag does not match the fleet key")]
    NotAuthentic,
}

/// What a process needs to open and accept authenticated connections.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Identity sent to peers.
    pub hello: Hello,
    /// Key that authenticates both sides.
    pub key: FleetKey,
    /// Options of each connection.
    pub link_options: LinkOptions,
}

impl Identity {
    /// An identity for a deployment whose processes share no secret. The key is a constant, so a
    /// peer is not authenticated: security depends on the platform's isolation of the network.
    ///
    /// ```
    /// use flamingowheel_protocol::{link::Timing, message::Role, websocket::Identity};
    /// let identity = Identity::without_secret("vm-1", "dc-1", Role::Entry, Timing::default());
    /// assert_eq!(identity.hello.name, "vm-1");
    /// ```
    pub fn without_secret(vm: &str, data_centre: &str, role: Role, timing: Timing) -> Self {
        let hello = Hello {
            name: vm.to_owned(),
            incarnation: Incarnation::fresh(),
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            operators: None,
            role,
        };
        let link_options = LinkOptions { timing, logical_clock: Arc::new(NoClock) };
        Self { hello, key: FleetKey::new([0; FleetKey::TAG_BYTES]), link_options }
    }
}

/// Opens a connection.
pub async fn connect<Out, In>(
    address: SocketAddr,
    identity: &Identity,
) -> Result<Link<Out, In>, HandshakeError>
where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let opening = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let uri = format!("ws://{address}/");
        let (mut socket, _) = tokio_tungstenite::client_async_with_config(
            uri,
            stream,
            Some(config(MAX_HANDSHAKE_BYTES)),
        )
        .await
        .map_err(Box::new)?;
        let peer = open_handshake(&mut socket, identity).await?;
        // The acceptor sends nothing before it has the proof, so no bytes are lost with the socket's
        // buffer.
        let stream = socket.into_inner();
        let config = Some(config(MAX_BATCH_BYTES));
        let socket = WebSocketStream::from_raw_socket(stream, SocketRole::Client, config).await;
        Ok(start(peer, socket, identity.link_options.clone()))
    };
    timeout(HANDSHAKE_LIMIT, opening).await.map_err(|_| HandshakeError::TimedOut)?
}

/// Accepts connections and passes each to `serve_link` until `stop` fires; then closes them.
pub async fn accept_links<Out, In, ServeLink, Serving>(
    listener: TcpListener,
    identity: Identity,
    stop: CancellationToken,
    serve_link: ServeLink,
) where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
    ServeLink: Fn(Link<Out, In>) -> Serving + Clone + Send + 'static,
    Serving: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_ACCEPTED));
    loop {
        let (stream, remote) = tokio::select! {
            accepted = accept_stream(&listener) => accepted,
            () = stop.cancelled() => return,
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            tracing::warn!(%remote, "too many connections");
            continue;
        };
        let (identity, serve_link, stop) = (identity.clone(), serve_link.clone(), stop.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let serving = async move {
                match accept(stream, &identity).await {
                    Ok(link) => serve_link(link).await,
                    Err(error) => tracing::warn!(%remote, %error, "connection refused"),
                }
            };
            stop.run_until_cancelled(serving).await;
        });
    }
}

async fn accept_stream(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            // Most likely out of file descriptors; retrying at once would spin.
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts a connection.
pub async fn accept<Out, In>(
    stream: TcpStream,
    identity: &Identity,
) -> Result<Link<Out, In>, HandshakeError>
where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let accepting = async {
        stream.set_nodelay(true)?;
        let mut socket =
            tokio_tungstenite::accept_async_with_config(stream, Some(config(MAX_BATCH_BYTES)))
                .await
                .map_err(Box::new)?;
        let peer = accept_handshake(&mut socket, identity).await?;
        Ok(start(peer, socket, identity.link_options.clone()))
    };
    timeout(HANDSHAKE_LIMIT, accepting).await.map_err(|_| HandshakeError::TimedOut)?
}

fn config(max_message_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(max_message_bytes))
        .max_frame_size(Some(max_message_bytes))
}

async fn open_handshake(
    socket: &mut WebSocketStream<TcpStream>,
    identity: &Identity,
) -> Result<Hello, HandshakeError> {
    let challenge = rand::random();
    let opening = Opening { version: VERSION, hello: identity.hello.clone(), challenge };
    send(socket, &opening).await?;
    let reply: Reply = receive(socket).await?;
    let transcript =
        Transcript { opening: &opening, acceptor: &reply.hello, challenge: &reply.challenge };
    if !transcript.verify(&identity.key, Side::Acceptor, &reply.tag) {
        return Err(HandshakeError::NotAuthentic);
    }
    let tag = transcript.tag(&identity.key, Side::Opener);
    send(socket, &Proof { tag }).await?;
    Ok(reply.hello)
}

async fn accept_handshake(
    socket: &mut WebSocketStream<TcpStream>,
    identity: &Identity,
) -> Result<Hello, HandshakeError> {
    let opening: Opening = receive(socket).await?;
    if opening.version != VERSION {
        return Err(HandshakeError::Version { theirs: opening.version });
    }
    let challenge = rand::random();
    let transcript =
        Transcript { opening: &opening, acceptor: &identity.hello, challenge: &challenge };
    let tag = transcript.tag(&identity.key, Side::Acceptor);
    send(socket, &Reply { hello: identity.hello.clone(), challenge, tag }).await?;
    let proof: Proof = receive(socket).await?;
    if !transcript.verify(&identity.key, Side::Opener, &proof.tag) {
        return Err(HandshakeError::NotAuthentic);
    }
    Ok(opening.hello)
}

async fn send<M>(socket: &mut WebSocketStream<TcpStream>, message: &M) -> Result<(), HandshakeError>
where
    M: Serialize,
{
    let bytes = encode(0, std::slice::from_ref(message)).map_err(|_| HandshakeError::Malformed)?;
    socket.send(Message::Binary(bytes.into())).await.map_err(|error| Box::new(error).into())
}

async fn receive<M>(socket: &mut WebSocketStream<TcpStream>) -> Result<M, HandshakeError>
where
    M: DeserializeOwned,
{
    let Some(Ok(Message::Binary(bytes))) = socket.next().await else {
        return Err(HandshakeError::Malformed);
    };
    if bytes.len() > MAX_HANDSHAKE_BYTES {
        return Err(HandshakeError::Malformed);
    }
    let (_, mut batch): (u64, Vec<M>) = decode(&bytes).map_err(|_| HandshakeError::Malformed)?;
    match (batch.pop(), batch.is_empty()) {
        (Some(message), true) => Ok(message),
        _ => Err(HandshakeError::Malformed),
    }
}

fn start<Out, In>(
    peer: Hello,
    socket: WebSocketStream<TcpStream>,
    options: LinkOptions,
) -> Link<Out, In>
where
    Out: Serialize + Send + Sync + 'static,
    In: DeserializeOwned + Send + 'static,
{
    let (sink, stream) = socket.split();
    let sink = sink.with(|bytes: Bytes| {
        future::ready(Ok::<_, tokio_tungstenite::tungstenite::Error>(Message::Binary(bytes)))
    });
    let stream = stream
        .take_while(|item| future::ready(item.is_ok()))
        .filter_map(|item| future::ready(item.ok().and_then(batch_bytes)));
    Link::start(peer, sink, stream, options)
}

fn batch_bytes(message: Message) -> Option<Bytes> {
    match message {
        Message::Binary(bytes) => Some(bytes),
        _ => None,
    }
}
