//! Finds out whether a backend server has ended when a connection to it ends under a request.

use crate::connection::Connection;
use crate::server::Server;
use flamingowheel_backing::client::liveness::{self, Trust};
use flamingowheel_policy::answers::ServerState;
use tokio::time::Instant;

/// Finds out whether a server lives. The connection that shows it is kept for the next request.
pub async fn find_state(server: &Server, trust: Trust) -> ServerState {
    let open = async || Ok(Connection::open(server.listed.address).await?);
    let (state, connection) = liveness::find_state(open, trust).await;
    if let Some(connection) = connection {
        server.put_idle(connection, Instant::now());
    }
    state
}
