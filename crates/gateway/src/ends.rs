//! Finds out whether a backend server has ended when a connection to it breaks under a request.

use crate::connection::{ConnectError, Connection};
use crate::server::Server;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time limit for one connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between two connection attempts. A process that ends may close its connections a moment
/// before its listener.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Connection attempts, the last of which decides.
const MAX_CHECKS: u32 = 3;

/// Why a connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// The server's process has ended.
    ServerEnded,
    /// The server lives; only the connection broke.
    Connection,
    /// The server can't be reached, or closes connections at once.
    Unknown,
}

impl BreakCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServerEnded => "server_ended",
            Self::Connection => "connection",
            Self::Unknown => "unknown",
        }
    }
}

/// Finds out why a connection to a server broke. Only a connection refused more than once in a row
/// counts as the end of the server: whatever cuts links or resets connections does not refuse them.
pub async fn find_cause(server: &Arc<Server>) -> BreakCause {
    let mut refusals = 0;
    for check in 0..MAX_CHECKS {
        if check > 0 {
            sleep(CHECK_INTERVAL).await;
        }
        match timeout(CONNECT_TIMEOUT, Connection::open(server.listed.address)).await {
            Ok(Ok(connection)) => {
                sleep(CHECK_INTERVAL).await;
                if connection.is_usable() {
                    server.put_idle(connection, Instant::now());
                    return BreakCause::Connection;
                }
                refusals = 0;
            }
            Ok(Err(ConnectError::Refused(error)))
                if error.kind() == ErrorKind::ConnectionRefused =>
            {
                refusals += 1;
                if refusals > 1 {
                    return BreakCause::ServerEnded;
                }
            }
            Ok(Err(_)) | Err(_) => return BreakCause::Unknown,
        }
    }
    BreakCause::Unknown
}
