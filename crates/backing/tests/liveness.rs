//! Whether a server lives, by what becomes of new connections to it.

use flamingowheel_backing::client::liveness::{Trust, find_state};
use flamingowheel_policy::answers::ServerState;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::{TcpListener, TcpStream};

async fn state(address: SocketAddr, trust: Trust) -> (ServerState, Option<TcpStream>) {
    find_state(|| TcpStream::connect(address), trust).await
}

#[tokio::test]
async fn find_state_accepting_server_lives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    for trust in [Trust::Prompt, Trust::Thorough] {
        let (state, connection) = state(address, trust).await;
        assert_eq!(state, ServerState::Lives);
        assert!(connection.is_some(), "it is kept for the next request");
    }
}

#[tokio::test]
async fn find_state_refusing_server_has_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    for trust in [Trust::Prompt, Trust::Thorough] {
        assert_eq!(state(address, trust).await.0, ServerState::Ended);
    }
}

// A server at its limit resets each new connection. It lives, and its answers are as whole as any.
#[tokio::test]
async fn find_state_resetting_server_lives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_zero_linger().unwrap();
        }
    });
    assert_eq!(state(address, Trust::Thorough).await.0, ServerState::Lives);
}

// A server that refuses and then accepts is another start of it: what the one before said last is not
// known to be all of it.
#[tokio::test]
async fn find_state_other_start_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = AtomicU32::new(0);
    let open = async || {
        if calls.fetch_add(1, Ordering::Relaxed) == 0 {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        TcpStream::connect(address).await
    };
    let (state, _) = find_state(open, Trust::Prompt).await;
    assert_eq!(state, ServerState::Unknown);
}
