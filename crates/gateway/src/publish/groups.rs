//! The loads of rank groups, as far as they follow from what is listed.

use super::Publisher;
use crate::group::{GroupLoad, GroupRank};
use flamingowheel_fleet::{BackendServer, EngineParameters};
use flamingowheel_policy::batch::PassModel;
use flamingowheel_protocol::ranks::RankRecord;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

impl Publisher {
    /// Updates the groups' loads with the published model of how pass time grows with this entry's
    /// requests.
    pub(super) fn set_models(&self) {
        let service_by_engine: HashMap<SocketAddr, &str> = self
            .listings
            .current()
            .map(|server| (server.listed.address, server.listed.service.as_str()))
            .collect();
        for (record, load) in self.groups.values() {
            let first = record.ranks.first();
            let service = first.and_then(|rank| service_by_engine.get(&rank.engine));
            if let Some(engine) = service.and_then(|service| self.engine_of_service(service)) {
                let open_ranks = record.ranks.len() as f64 * load.open_share();
                load.set_model(pass_model(engine, open_ranks, self.counted_entries()));
                load.set_slots(engine.slots);
            }
        }
    }

    /// Updates the groups' loads with the number of ranks that may take requests.
    pub(super) fn set_open_ranks(&self) {
        let evacuated = self.listings.current().filter(|server| server.is_evacuated());
        let evacuated: HashSet<SocketAddr> =
            evacuated.map(|server| server.listed.address).collect();
        for (record, load) in self.groups.values() {
            let is_open = |rank: &&RankRecord| !evacuated.contains(&rank.engine);
            load.set_open_ranks(record.ranks.iter().filter(is_open).count(), record.ranks.len());
        }
    }

    /// Number of entries that may send requests: those that have left the list are counted until
    /// their requests have ended, lest the parts of the others grow meanwhile.
    pub(super) fn counted_entries(&self) -> usize {
        self.outputs.budget.entries().max(1)
    }

    fn engine_of_service(&self, service: &str) -> Option<&EngineParameters> {
        self.configuration.as_ref()?.services.get(service)?.engine.as_ref()
    }

    pub(super) fn group_ranks(&mut self) -> HashMap<SocketAddr, GroupRank> {
        let ranks = self.groups.values().flat_map(|(record, load)| {
            record.ranks.iter().enumerate().map(move |(rank, record)| (rank, record, load))
        });
        let group_rank = |(rank, record, load): (usize, &RankRecord, &Arc<GroupLoad>)| {
            let RankRecord { engine, pace, is_away } = *record;
            (engine, GroupRank { group: Arc::clone(load), rank, pace, is_away })
        };
        let mut group_ranks: HashMap<SocketAddr, GroupRank> = ranks.map(group_rank).collect();
        self.add_ungrouped(&mut group_ranks);
        group_ranks
    }

    /// Adds the engines that belong to no announced group. No agent reaches enough of their ranks
    /// to announce a group, but the engines run passes all the same: without a limit on their
    /// requests all streams would be late, or be refused by full engines.
    fn add_ungrouped(&mut self, group_ranks: &mut HashMap<SocketAddr, GroupRank>) {
        let mut engines: HashMap<String, Vec<(SocketAddr, bool)>> = HashMap::new();
        for server in self.listings.current().filter(|server| !server.listed.is_draining) {
            let BackendServer { service, address, .. } = &server.listed;
            let has_engine = self.engine_of_service(service).is_some();
            if has_engine && !group_ranks.contains_key(address) {
                let is_open = !server.is_evacuated();
                engines.entry(service.clone()).or_default().push((*address, is_open));
            }
        }
        self.ungrouped.retain(|service, _| engines.contains_key(service));
        for (service, addresses) in engines {
            let load = Arc::clone(self.ungrouped.entry(service.clone()).or_default());
            if let Some(engine) = self.engine_of_service(&service) {
                let open_ranks = addresses.iter().filter(|(_, is_open)| *is_open).count();
                load.set_open_ranks(open_ranks, addresses.len());
                load.set_model(pass_model(engine, open_ranks as f64, self.counted_entries()));
                load.set_slots(engine.slots);
            }
            for (rank, (address, _)) in addresses.into_iter().enumerate() {
                let group_rank =
                    GroupRank { group: Arc::clone(&load), rank, pace: 1.0, is_away: false };
                group_ranks.insert(address, group_rank);
            }
        }
    }
}

/// How a group's pass time grows with the requests of one of `entries` entries, if all have the
/// same number and send it to `open_ranks` ranks.
fn pass_model(engine: &EngineParameters, open_ranks: f64, entries: usize) -> PassModel {
    let steps = f64::from(engine.steps_per_pass);
    let requests_per_rank = entries as f64 / open_ranks.max(1.0);
    PassModel {
        fixed_ms: steps * engine.step_ms,
        per_request_ms: steps * engine.per_sequence_ms * requests_per_rank,
        expert_share: engine.expert_share,
    }
}
