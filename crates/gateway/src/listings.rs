//! The backend servers that are listed in the key-value store.

use crate::server::Server;
use flamingowheel_fleet::BackendServer;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of removed servers whose observations are kept. A listing may be absent for a moment, as
/// after an outage of the store, while its server runs and keeps what it has asked for.
const MAX_REMOVED: usize = 1_024;

/// The listed backend servers.
///
/// A server that has crashed stays listed until its lease ends, and meanwhile another one may be
/// started at its address under a new id. At one address only the server whose listing was written
/// last exists: servers renew their listings while they run.
#[derive(Debug, Default)]
pub struct Listings {
    by_id: HashMap<String, Listing>,
    /// Ids of the servers that are listed with each address.
    by_address: HashMap<SocketAddr, Vec<String>>,
    /// The servers that were removed last, the newest at the end.
    removed: VecDeque<Arc<Server>>,
}

#[derive(Debug)]
struct Listing {
    server: Arc<Server>,
    /// The revision of the last write.
    revision: u64,
}

impl Listings {
    /// Records a write of a listing. Returns whether the listing is known and unchanged; otherwise
    /// it has to be inserted.
    pub fn renew(&mut self, listed: &BackendServer, revision: u64) -> bool {
        let current = self.by_id.get_mut(&listed.id);
        let Some(current) = current.filter(|current| current.server.listed == *listed) else {
            return false;
        };
        current.revision = current.revision.max(revision);
        true
    }

    /// Inserts a new or changed listing. The observations of a server that has not been started
    /// again are kept.
    ///
    /// ```
    /// use flamingowheel_fleet::BackendServer;
    /// use flamingowheel_gateway::listings::Listings;
    /// let old = BackendServer {
    ///     id: "a".to_owned(), service: "s".to_owned(), address: "10.0.0.9:80".parse().unwrap(),
    ///     data_centre: "d".to_owned(), slots: 6, is_draining: false, started_ms: 1,
    ///     cold_left_ms: 0 };
    /// let new = BackendServer { id: "b".to_owned(), started_ms: 2, ..old.clone() };
    /// let mut listings = Listings::default();
    /// listings.insert(old, 5);
    /// listings.insert(new, 8);
    /// assert_eq!(listings.current().map(|s| s.listed.id.as_str()).collect::<Vec<_>>(), ["b"]);
    /// ```
    pub fn insert(&mut self, listed: BackendServer, revision: u64) {
        let (id, address) = (listed.id.clone(), listed.address);
        let previous = self.take(&id).map(|listing| listing.server);
        let previous = previous.or_else(|| self.take_removed(&listed));
        let server = match previous {
            Some(previous) if previous.is_same_start(&listed) => previous.with_listing(listed),
            Some(previous) => {
                self.keep_removed(previous);
                Server::new(listed)
            }
            None => Server::new(listed),
        };
        self.by_address.entry(address).or_default().push(id.clone());
        self.by_id.insert(id, Listing { server: Arc::new(server), revision });
    }

    /// Removes a listing. Returns whether there was one.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(listing) = self.take(id) else {
            return false;
        };
        listing.server.close_idle();
        self.keep_removed(listing.server);
        true
    }

    /// The ids of all listed servers.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.by_id.keys().map(String::as_str)
    }

    /// The servers that can exist: of those at one address, the one whose listing was written last.
    pub fn current(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_address.values().filter_map(|ids| {
            let listings = ids.iter().filter_map(|id| self.by_id.get(id));
            listings.max_by_key(|listing| listing.revision).map(|listing| &listing.server)
        })
    }

    /// All servers, also those whose listings are outdated or were removed: requests that have chosen
    /// one may still be on their way to it.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Server>> {
        let listed = self.by_id.values().map(|listing| &listing.server);
        listed.chain(&self.removed)
    }

    fn keep_removed(&mut self, server: Arc<Server>) {
        self.removed.push_back(server);
        if self.removed.len() > MAX_REMOVED {
            self.removed.pop_front();
        }
    }

    /// Takes the same start of a server out of those that were removed.
    fn take_removed(&mut self, listed: &BackendServer) -> Option<Arc<Server>> {
        let is_same =
            |server: &Arc<Server>| server.listed.id == listed.id && server.is_same_start(listed);
        let index = self.removed.iter().rposition(is_same)?;
        self.removed.remove(index)
    }

    fn take(&mut self, id: &str) -> Option<Listing> {
        let listing = self.by_id.remove(id)?;
        let address = listing.server.listed.address;
        if let Some(ids) = self.by_address.get_mut(&address) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.by_address.remove(&address);
            }
        }
        Some(listing)
    }
}
