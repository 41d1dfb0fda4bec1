//! Who of a group is heard, who stands in for whom, and what others are told of it.

use crate::collect::{Assignment, max_direct_agents};
use crate::group::{Group, Rank};
use crate::remote::MAX_REMOTE_RANKS;
use flamingowheel_protocol::ranks::{GroupRecord, GroupStatus, RankRecord};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// An agent that tells nothing for this long tells no counts either: twice the time between two words on
/// its rank's progress.
const HEARD: Duration = Duration::from_millis(450);

/// A rank of which neither its agent nor its engine was heard for this long is silent: longer than two words
/// on its progress take.
const SILENT: Duration = Duration::from_millis(500);

/// A rank that is silent for this long gets no requests, whoever hears of it late.
const AWAY: Duration = Duration::from_millis(1_000);

impl Group {
    /// Engines of the group, or of none that is known, whose agents are not heard. None, if those are more
    /// than can be seen to from afar.
    pub fn engines_without_agent(&self, own: SocketAddr) -> Vec<SocketAddr> {
        let now = Instant::now();
        let is_attended = |rank: &Rank| {
            let is_heard = now.duration_since(rank.seen_at) < HEARD && rank.data_centre.is_some();
            is_heard || rank.engine == own
        };
        let silent = self.ranks.values().filter(|rank| !is_attended(rank)).map(|rank| rank.engine);
        let is_unknown = |engine: &&SocketAddr| {
            let is_ranked = self.ranks.values().any(|rank| rank.engine == **engine);
            !is_ranked && **engine != own && !self.foreign.contains(engine)
        };
        let is_complete = self.ranks.len() == self.size;
        let unknown = self.listed.iter().filter(|_| !is_complete).filter(is_unknown).copied();
        let unattended: Vec<SocketAddr> = silent.chain(unknown).collect();
        if unattended.len() > MAX_REMOTE_RANKS { Vec::new() } else { unattended }
    }

    /// The rank whose agent is to hold the group: one that is heard.
    pub fn hold_issuer(&self) -> usize {
        let now = Instant::now();
        let is_heard =
            |rank: &&Rank| rank.data_centre.is_some() && now.duration_since(rank.seen_at) < HEARD;
        let others = self.ranks.values().filter(|rank| rank.state.rank != 0);
        let giver = others.filter(is_heard).map(|rank| rank.state.rank).next();
        giver.unwrap_or(usize::from(self.size > 1))
    }

    /// Who should tell choices to whom, of the agents that are heard but the one beside `own`.
    pub fn assignment(&self, own: SocketAddr, port: u16, link_bytes_per_s: u64) -> Assignment {
        let now = Instant::now();
        let agents = self.ranks.values().filter_map(|rank| {
            let is_heard = rank.engine != own && now.duration_since(rank.seen_at) < HEARD;
            let data_centre = rank.data_centre.as_ref().filter(|_| is_heard)?;
            let agent = SocketAddr::new(rank.engine.ip(), port);
            Some((Arc::clone(data_centre), rank.state.rank, agent))
        });
        let counts = self.shape().map_or(self.window.len(), |shape| shape.sets * shape.experts);
        Assignment::distribute(agents.collect(), max_direct_agents(counts, link_bytes_per_s))
    }

    /// What entries are told of the group.
    pub fn record(&self) -> GroupRecord {
        let ranks = self.ranks.values();
        let away: Vec<usize> = self.unheard(AWAY).collect();
        let ranks = ranks.map(|rank| RankRecord {
            engine: rank.engine,
            pace: rank.state.pace,
            is_away: away.contains(&rank.state.rank),
        });
        GroupRecord { epoch: self.epoch, ranks: ranks.collect() }
    }

    /// Ranks of which nothing was heard for so long; none if those are many, for then it is rather this VM
    /// that is cut off.
    fn unheard(&self, limit: Duration) -> impl Iterator<Item = usize> {
        let now = Instant::now();
        let is_unheard = |rank: &&Rank| now.duration_since(rank.seen_at) > limit;
        let unheard = self.ranks.values().filter(is_unheard).map(|rank| rank.state.rank);
        let unheard: Vec<usize> = unheard.collect();
        let is_told = unheard.len() <= MAX_REMOTE_RANKS && unheard.len() * 2 <= self.size;
        unheard.into_iter().filter(move |_| is_told)
    }

    /// How the group stands.
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
        let silent = self.unheard(SILENT).filter_map(|rank| u16::try_from(rank).ok());
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
