//! What the entry believes of the deployment, as one immutable value.

use crate::group::Seat;
use crate::server::Server;
use arc_swap::ArcSwap;
use flamingowheel_fleet::Configuration;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// An entry as it announces itself to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Where other entries connect.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// The newest belief. Replaced as a whole, so that a request sees one consistent state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force; `None` until the first one is known.
    pub configuration: Option<Arc<Configuration>>,
    /// Backend servers that take work, by service.
    pub servers: HashMap<String, Vec<Arc<Server>>>,
    /// Ranks by their engines' addresses.
    pub seats: HashMap<SocketAddr, Seat>,
    /// Live entries by VM, this one included once it has announced itself.
    pub entries: HashMap<String, EntryRecord>,
}

/// The place where the control thread publishes views and the traffic threads read them.
pub type Views = Arc<ArcSwap<View>>;

impl View {
    /// The backend servers of a service that take work.
    pub fn servers_of(&self, service: &str) -> &[Arc<Server>] {
        self.servers.get(service).map_or(&[], Vec::as_slice)
    }

    /// Entries that share the backend servers, at least 1.
    pub fn entry_count(&self) -> usize {
        self.entries.len().max(1)
    }
}
