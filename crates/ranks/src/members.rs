//! Liveness of a group's ranks and agents, and what is derived from it: remote polling, the hold
//! issuer, the assignment, the published record and the status.

use crate::collect::{Assignment, max_direct_agents};
use crate::group::{Group, Rank};
use crate::remote::MAX_REMOTE_RANKS;
use flamingowheel_protocol::ranks::{GroupRecord, GroupStatus, RankRecord};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An agent without an update for this long is considered gone, so it sends no counts either: twice
/// the interval of progress updates.
const AGENT_TIMEOUT: Duration = Duration::from_millis(450);

/// A rank without an update from its agent or its engine for this long is reported as silent:
/// longer than two progress updates take.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// A rank that is silent for this long is published as away and gets no requests, even from entries
/// that missed the status.
const AWAY_AFTER: Duration = Duration::from_millis(1_000);

impl Group {
    /// Returns the engines of the group, and while ranks are missing those of unknown groups, whose
    /// agents are silent. Empty if there are more than can be polled remotely.
    pub fn engines_without_agent(&self, local_address: SocketAddr) -> Vec<SocketAddr> {
        let now = Instant::now();
        let has_agent = |rank: &Rank| {
            let is_live =
                now.duration_since(rank.seen_at) < AGENT_TIMEOUT && rank.data_centre.is_some();
            is_live || rank.engine == local_address
        };
        let silent = self.ranks.values().filter(|rank| !has_agent(rank)).map(|rank| rank.engine);
        let is_unknown = |engine: &&SocketAddr| {
            let is_ranked = self.ranks.values().any(|rank| rank.engine == **engine);
            !is_ranked && **engine != local_address && !self.foreign.contains(engine)
        };
        let is_complete = self.ranks.len() == self.size;
        let unknown = self.listed.iter().filter(|_| !is_complete).filter(is_unknown).copied();
        let engines: Vec<SocketAddr> = silent.chain(unknown).collect();
        if engines.len() > MAX_REMOTE_RANKS { Vec::new() } else { engines }
    }

    /// Returns the rank whose agent is to hold the group: one with a live agent.
    pub fn hold_issuer(&self) -> usize {
        let now = Instant::now();
        let is_live = |rank: &&Rank| {
            rank.data_centre.is_some() && now.duration_since(rank.seen_at) < AGENT_TIMEOUT
        };
        let others = self.ranks.values().filter(|rank| rank.state.rank != 0);
        let issuer = others.filter(is_live).map(|rank| rank.state.rank).next();
        issuer.unwrap_or(usize::from(self.size > 1))
    }

    /// Returns which live agents send choices to which others; the agent beside `local_address` is
    /// left out.
    pub fn assignment(
        &self,
        local_address: SocketAddr,
        port: u16,
        link_bytes_per_s: u64,
    ) -> Assignment {
        let now = Instant::now();
        let agents = self.ranks.values().filter_map(|rank| {
            let is_live =
                rank.engine != local_address && now.duration_since(rank.seen_at) < AGENT_TIMEOUT;
            let data_centre = rank.data_centre.as_ref().filter(|_| is_live)?;
            let agent = SocketAddr::new(rank.engine.ip(), port);
            Some((Arc::clone(data_centre), rank.state.rank, agent))
        });
        let counts = self.shape().map_or(self.window.len(), |shape| shape.sets * shape.experts);
        Assignment::distribute(agents.collect(), max_direct_agents(counts, link_bytes_per_s))
    }

    /// Returns the record that is published to entries.
    pub fn record(&self) -> GroupRecord {
        let ranks = self.ranks.values();
        let away: Vec<usize> = self.silent_ranks(AWAY_AFTER).collect();
        let ranks = ranks.map(|rank| RankRecord {
            engine: rank.engine,
            pace: rank.state.pace,
            is_away: away.contains(&rank.state.rank),
        });
        GroupRecord { epoch: self.epoch, ranks: ranks.collect() }
    }

    /// Returns the ranks without an update for longer than `limit`. Empty if there are many, since
    /// then this VM is more likely to be the one that is cut off.
    fn silent_ranks(&self, limit: Duration) -> impl Iterator<Item = usize> {
        let now = Instant::now();
        let is_silent = |rank: &&Rank| now.duration_since(rank.seen_at) > limit;
        let silent = self.ranks.values().filter(is_silent).map(|rank| rank.state.rank);
        let silent: Vec<usize> = silent.collect();
        let is_plausible = silent.len() <= MAX_REMOTE_RANKS && silent.len() * 2 <= self.size;
        silent.into_iter().filter(move |_| is_plausible)
    }

    /// Returns the group's current status, which is sent to connected entries.
    pub fn status(&self) -> GroupStatus {
        let now = Instant::now();
        let mut requests = vec![0; self.size];
        for rank in self.ranks.values() {
            let count = rank.state.running + rank.state.waiting;
            if let Some(requests) = requests.get_mut(rank.state.rank) {
                *requests = u8::try_from(count).unwrap_or(u8::MAX);
            }
        }
        let ages = self.ranks.values().map(|rank| now.duration_since(rank.seen_at).as_millis());
        let (sum, count) = ages.fold((0, 0), |(sum, count), age| (sum + age, count + 1));
        let silent = self.silent_ranks(SILENT_AFTER).filter_map(|rank| u16::try_from(rank).ok());
        GroupStatus {
            group: self.name.clone(),
            epoch: self.epoch,
            pass_ms: self.pass_times.mean_ms(),
            requests,
            silent: silent.collect(),
            age_ms: (sum / u128::from(count.max(1_u32))) as u64,
        }
    }
}
