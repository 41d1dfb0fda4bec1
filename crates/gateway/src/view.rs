//! The entry's view of the deployment as one immutable value.

use crate::evacuation::Evacuations;
use crate::feed::mirror::Source;
use crate::group::GroupRank;
use crate::homes::Regions;
use crate::priority::LevelsByService;
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
    /// What it can take; `None` if its version does not say.
    #[serde(default)]
    pub capacity: Option<CapacityRecord>,
}

/// What an entry can take, as it announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityRecord {
    /// Usual requests per second that its machine can take.
    pub requests_per_s: u32,
    /// Its speed, in percent of its usual one.
    pub speed_percent: u8,
    /// 100 while it has room for more callers, less the more it is overrun.
    pub room_percent: u8,
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
    /// Ranks of urgency that it knows, by service.
    pub levels: Arc<LevelsByService>,
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
    /// Data centres whose backend servers get no requests.
    pub evacuations: Evacuations,
    /// Region of each data centre.
    pub regions: Arc<Regions>,
    /// Whether the machines of the listed entries differ. Servers are then chosen also by distance,
    /// by speed and by connections that can be reused.
    pub is_uneven: bool,
}

/// The newest view, published by the control thread and read by the traffic threads.
pub type Views = Arc<ArcSwap<View>>;

impl View {
    /// The backend servers of a service that take work.
    pub fn servers_of(&self, service: &str) -> &[Arc<Server>] {
        self.servers.get(service).map_or(&[], Vec::as_slice)
    }

    /// Region of a backend server; `None` if that of its data centre is unknown.
    pub fn region_of(&self, server: &Server) -> Option<&str> {
        self.regions.get(&server.listed.data_centre).map(String::as_str)
    }

    /// Version of the configuration in force; `None` until the first one is known.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }
}
