//! Idle connections to one backend server.

use crate::connection::Connection;
use flamingowheel_policy::reuse;
use std::time::Duration;
use tokio::time::Instant;

/// Most idle connections to a server before its service's limit is known.
const UNKNOWN_PART: usize = 8;

/// Whether a connection can carry another request.
pub trait Reusable {
    /// Whether another request can be sent now.
    fn is_usable(&self) -> bool;
}

impl Reusable for Connection {
    fn is_usable(&self) -> bool {
        Self::is_usable(self)
    }
}

/// The idle connections of this entry to one server.
#[derive(Debug)]
pub struct IdleConnections<C> {
    connections: Vec<(Instant, C)>,
    /// Time for which the server keeps an idle connection open, as it states.
    stated: Option<Duration>,
    max: usize,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        Self { connections: Vec::new(), stated: None, max: UNKNOWN_PART }
    }
}

impl<C> IdleConnections<C>
where
    C: Reusable,
{
    /// Takes the connection that was used last, if it is still usable.
    pub fn take(&mut self, now: Instant) -> Option<C> {
        let max_idle = reuse::idle_time(self.stated);
        while let Some((since, connection)) = self.connections.pop() {
            if now - since < max_idle && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection after the end of its answer. The oldest ones go beyond this entry's part.
    pub fn put(&mut self, connection: C, now: Instant) {
        let max_idle = reuse::idle_time(self.stated);
        self.connections.retain(|(since, kept)| now - *since < max_idle && kept.is_usable());
        self.connections.push((now, connection));
        let excess = self.connections.len().saturating_sub(self.max);
        self.connections.drain(..excess);
    }

    /// Whether a connection can be taken to a server that states how long it keeps them.
    pub fn is_ready(&self, now: Instant) -> bool {
        let max_idle = reuse::idle_time(self.stated);
        let is_reusable =
            |(since, connection): &(Instant, C)| now - *since < max_idle && connection.is_usable();
        self.stated.is_some() && self.connections.iter().any(is_reusable)
    }

    /// Sets the time for which the server keeps an idle connection open.
    pub fn set_stated(&mut self, stated: Duration) {
        self.stated = Some(stated);
    }

    /// Sets the most connections that this entry keeps.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.connections.clear();
    }
}
