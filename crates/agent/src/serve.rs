//! Accepts connections from entries and passes their messages to the control task.

use crate::config::AgentConfig;
use crate::control::{AgentHandle, Command};
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::link::{Link, LinkOptions};
use flamingowheel_protocol::message::{AgentMessage, EntryMessage, Hello, Role};
use flamingowheel_protocol::websocket::{Identity, accept_links};
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// The identity that the agent presents to entries.
pub fn identity(config: &AgentConfig, key: FleetKey, link_options: LinkOptions) -> Identity {
    let hello = Hello {
        name: config.name.clone(),
        incarnation: config.incarnation,
        vm: config.vm.clone(),
        data_centre: config.data_centre.clone(),
        operators: config.operators,
        role: Role::Agent(config.profile.clone()),
    };
    Identity { hello, key, link_options }
}

/// Accepts and handles connections until `stop` fires, which also closes them.
pub async fn serve(
    listener: TcpListener,
    identity: Identity,
    agent: AgentHandle,
    stop: CancellationToken,
) {
    accept_links(listener, identity, stop, move |link| handle_link(link, agent.clone())).await;
}

/// Passes the messages of one connection to the control task until the connection ends.
pub async fn handle_link(mut link: Link<AgentMessage, EntryMessage>, agent: AgentHandle) {
    let number = NEXT_LINK.fetch_add(1, Ordering::Relaxed);
    let commands = agent.commands();
    let linked = Command::Linked { link: number, sender: link.sender.clone() };
    if commands.send(linked).await.is_err() {
        return;
    }
    while let Some(message) = link.receiver.recv().await {
        let received = Command::Received { sender: link.sender.clone(), message };
        if commands.send(received).await.is_err() {
            return;
        }
    }
    let _ = commands.send(Command::Unlinked { link: number }).await;
}
