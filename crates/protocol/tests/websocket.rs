//! Connections over WebSocket.

use flamingowheel_protocol::link::{Link, Timing};
use flamingowheel_protocol::message::Role;
use flamingowheel_protocol::websocket::{Identity, accept_links, connect};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Entries of a fleet of the planned size, without the one that they connect to.
const OTHERS: usize = 379;

/// Guards against a fleet that is larger than the number of connections that an entry accepts: all
/// others read from each of the few entries that follow the store.
#[tokio::test]
async fn accept_links_fleet_of_planned_size() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let identity = |vm: &str| Identity::without_secret(vm, "dc-1", Role::Entry, Timing::default());
    let stop = CancellationToken::new();
    let serve = |mut link: Link<u32, u32>| async move {
        while let Some(number) = link.receiver.recv().await {
            if link.sender.send(number).await.is_err() {
                return;
            }
        }
    };
    tokio::spawn(accept_links(listener, identity("vm-0"), stop.clone(), serve));
    let mut links = Vec::new();
    for number in 0..OTHERS as u32 {
        let mut link: Link<u32, u32> = connect(address, &identity("vm-1")).await.unwrap();
        link.sender.send(number).await.unwrap();
        assert_eq!(link.receiver.recv().await, Some(number), "connection {number}");
        links.push(link);
    }
    stop.cancel();
}
