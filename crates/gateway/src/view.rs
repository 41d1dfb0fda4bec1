//! The entry's view of the deployment as one immutable value.

use crate::feed::mirror::Source;
use crate::group::GroupRank;
use crate::server::Server;
use arc_swap::ArcSwap;
use flamingowheel_fleet::Configuration;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// An entry as it announces itself in the key-value store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Name of its data centre.
    pub data_centre: String,
    /// Address for other entries.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Address at which it learns of suspect requests from other entries.
    #[serde(default)]
    pub suspects: Option<SocketAddr>,
}

/// How the configuration in force came into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Since when it is in force.
    pub since: Instant,
    /// Where it came from.
    pub source: Source,
}

/// The deployment as of the newest data from the store. It is replaced as a whole, so that a
/// request sees one consistent state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The configuration in force; `None` until the first one is known.
    pub configuration: Option<Arc<Configuration>>,
    /// How that configuration came into force.
    pub in_force: Option<InForce>,
    /// Backend servers that take work, by service.
    pub servers: HashMap<String, Vec<Arc<Server>>>,
    /// Ranks of groups by their engines' addresses.
    pub group_ranks: HashMap<SocketAddr, GroupRank>,
    /// The data centre of this entry; `None` if not known.
    pub data_centre: Option<Arc<str>>,
    /// Live entries by VM, including this one once it has announced itself.
    pub entries: HashMap<String, EntryRecord>,
}

/// The newest view, published by the control thread and read by the traffic threads.
pub type Views = Arc<ArcSwap<View>>;

impl View {
    /// The backend servers of a service that take work.
    pub fn servers_of(&self, service: &str) -> &[Arc<Server>] {
        self.servers.get(service).map_or(&[], Vec::as_slice)
    }

    /// Version of the configuration in force; `None` until the first one is known.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }
}
