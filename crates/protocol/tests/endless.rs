//! Peers whose messages never end.

use flamingowheel_protocol::auth::{Opening, Proof, Reply, Side, Transcript};
use flamingowheel_protocol::codec::{decode, encode};
use flamingowheel_protocol::link::{Link, Timing};
use flamingowheel_protocol::message::Role;
use flamingowheel_protocol::websocket::{HandshakeError, Identity, connect};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::frame::Frame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::{Data, OpCode};

/// Time limit for one case, far above all limits of a connection.
const CASE_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes that may be on their way in socket buffers, besides the largest message.
const IN_FLIGHT_BYTES: usize = 16 * 1024 * 1024;

/// Largest batch that a connection takes.
const MAX_BATCH_BYTES: usize = flamingowheel_protocol::codec::MAX_BATCH_BYTES;

/// When a peer begins a message without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Instead of its part of the handshake.
    InHandshake,
    /// After the handshake.
    Later,
}

fn identity(vm: &str) -> Identity {
    let timing = Timing {
        heartbeat: Duration::from_millis(100),
        silence_limit: Duration::from_millis(300),
        stuck_limit: Duration::from_millis(300),
    };
    Identity::without_secret(vm, "dc", Role::Entry, timing)
}

/// Writes a message in frames of `frame_bytes` without end; returns once the other side closes.
async fn write_endless(
    socket: &mut WebSocketStream<TcpStream>,
    frame_bytes: usize,
    written: &AtomicUsize,
) {
    let mut kind = Data::Binary;
    loop {
        let frame = Frame::message(vec![0; frame_bytes], OpCode::Data(kind), false);
        if socket.send(Message::Frame(frame)).await.is_err() {
            return;
        }
        written.fetch_add(frame_bytes, Ordering::Relaxed);
        kind = Data::Continue;
    }
}

async fn serve(stream: TcpStream, trouble: Trouble, frame_bytes: usize, written: &AtomicUsize) {
    let own = identity("vm-2");
    let mut socket = tokio_tungstenite::accept_async(stream).await.unwrap();
    let Some(Ok(Message::Binary(bytes))) = socket.next().await else { panic!("no opening") };
    let opening = decode::<Opening>(&bytes).unwrap().1.pop().unwrap();
    if trouble == Trouble::Later {
        let challenge = [7; 32];
        let transcript =
            Transcript { opening: &opening, acceptor: &own.hello, challenge: &challenge };
        let tag = transcript.tag(&own.key, Side::Acceptor);
        let reply = Reply { hello: own.hello.clone(), challenge, tag };
        socket.send(Message::Binary(encode(0, &[reply]).unwrap().into())).await.unwrap();
        let Some(Ok(Message::Binary(bytes))) = socket.next().await else { panic!("no proof") };
        decode::<Proof>(&bytes).unwrap();
    }
    write_endless(&mut socket, frame_bytes, written).await;
}

async fn start(trouble: Trouble, frame_bytes: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let written = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&written);
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve(stream, trouble, frame_bytes, &counted).await;
    });
    (address, written)
}

/// Guards against a peer that is not authenticated yet, and makes this side buffer a message without
/// end, or wait for it.
#[tokio::test]
async fn connect_endless_handshake_message() {
    for frame_bytes in [4 * 1024, 0] {
        let (address, written) = start(Trouble::InHandshake, frame_bytes).await;
        let own = identity("vm-1");
        let opening = connect::<u64, u64>(address, &own);
        let opened = timeout(CASE_TIMEOUT, opening).await.expect("given up");
        assert!(
            matches!(opened, Err(HandshakeError::Malformed | HandshakeError::TimedOut)),
            "{opened:?}"
        );
        assert!(written.load(Ordering::Relaxed) < IN_FLIGHT_BYTES);
    }
}

/// Guards against a connection that takes a message without end for life: by its size, or by time as
/// a silent one.
#[tokio::test]
async fn receive_endless_message() {
    for frame_bytes in [64 * 1024, 0] {
        let (address, written) = start(Trouble::Later, frame_bytes).await;
        let mut link: Link<u64, u64> = connect(address, &identity("vm-1")).await.unwrap();
        let received = timeout(CASE_TIMEOUT, link.receiver.recv()).await.expect("ended");
        assert_eq!(received, None);
        assert!(written.load(Ordering::Relaxed) < MAX_BATCH_BYTES + IN_FLIGHT_BYTES);
    }
}
