//! Data centres whose backend servers get no requests.
//!
//! An evacuation lasts as long as its key exists in the store. It reaches the entries the way the
//! configuration does, and no lease ends it: a key that is gone was deleted by an operator.

use crate::feed::mirror::Update;
use crate::server::Server;
use flamingowheel_platform::EVACUATIONS_PREFIX;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::Instant;

/// One evacuation, as it came into force at this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// Revision of the key that orders it.
    pub revision: u64,
    /// Since when it is in force.
    pub since: Instant,
}

/// The evacuations in force, by data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuations {
    by_data_centre: BTreeMap<String, Evacuation>,
}

impl Evacuations {
    /// Records that a data centre is evacuated; `update` is what told of it. A key that is written
    /// again continues the evacuation.
    ///
    /// ```
    /// use flamingowheel_gateway::evacuation::Evacuations;
    /// let mut evacuations = Evacuations::default();
    /// evacuations.begin("a", 7, None);
    /// assert!(evacuations.contains("a"));
    /// evacuations.end("a", None);
    /// assert!(!evacuations.contains("a"));
    /// ```
    pub fn begin(&mut self, data_centre: &str, revision: u64, update: Option<&Update>) {
        if let Some(evacuation) = self.by_data_centre.get_mut(data_centre) {
            evacuation.revision = evacuation.revision.max(revision);
            return;
        }
        tracing::info!(
            data_centre,
            revision,
            source = update.map(|update| tracing::field::display(&update.source)),
            max_delay_ms = update.and_then(max_delay_ms),
            "data centre evacuated"
        );
        let evacuation = Evacuation { revision, since: Instant::now() };
        self.by_data_centre.insert(data_centre.to_owned(), evacuation);
    }

    /// Records that an evacuation was taken back; `update` is what told of it.
    pub fn end(&mut self, data_centre: &str, update: Option<&Update>) {
        let Some(evacuation) = self.by_data_centre.remove(data_centre) else {
            return;
        };
        tracing::info!(
            data_centre,
            revision = evacuation.revision,
            source = update.map(|update| tracing::field::display(&update.source)),
            max_delay_ms = update.and_then(max_delay_ms),
            lasted_ms = evacuation.since.elapsed().as_millis() as u64,
            "evacuation taken back"
        );
    }

    /// Whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.by_data_centre.contains_key(data_centre)
    }

    /// The evacuations by data centre.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Evacuation)> {
        self.by_data_centre.iter().map(|(name, evacuation)| (name.as_str(), evacuation))
    }

    /// The store's keys of the evacuations.
    pub fn keys(&self) -> impl Iterator<Item = String> {
        self.by_data_centre.keys().map(|name| format!("{EVACUATIONS_PREFIX}{name}"))
    }

    /// Closes the servers of evacuated data centres to requests and opens the others.
    pub fn apply<'a, I>(&self, servers: I)
    where
        I: Iterator<Item = &'a Arc<Server>>,
    {
        servers.for_each(|server| server.set_evacuated(self.contains(&server.listed.data_centre)));
    }
}

/// The longest time since the operator's write was acknowledged, in milliseconds; `None` if the
/// process has just started.
fn max_delay_ms(update: &Update) -> Option<u64> {
    let max_delay = update.max_delay? + update.at.elapsed();
    Some(max_delay.as_millis() as u64)
}
