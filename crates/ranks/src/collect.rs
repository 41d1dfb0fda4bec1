//! Counts of a large group on their way to its coordinator.
//!
//! All ranks tell how often experts were chosen ten times a second. From 95 agents that is more than
//! the link of one VM carries. So in a large group some agents sum up what those near them tell, and the
//! coordinator gets the sums only. Nothing else goes that way: while such an agent is away, the counts of a
//! few ranks are missing, which changes the shares of experts little, and no order is late.

use crate::engine::COUNTS_INTERVAL;
use crate::peers::{AgentLink, Reconnect, keep_connected};
use flamingowheel_protocol::packed::Packed;
use flamingowheel_protocol::ranks::{AgentRequest, ExpertCounts, RankUpdate, Subscription};
use flamingowheel_protocol::websocket::Identity;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Part of a link that the counts of a group may take at its coordinator.
const LINK_SHARE: f64 = 0.25;

/// Size of a count on its way, in bytes.
const COUNT_BYTES: f64 = 0.6;

/// Longest wait for the rest of a window's choices after the first of them. Ranks do each pass together, so
/// that their agents tell of it at nearly the same time.
pub const FLUSH_TIMEOUT: Duration = Duration::from_millis(40);

/// Sums that may wait for the collector.
const CHOICES_CAPACITY: usize = 64;

/// How many agents' counts, of `counts` numbers each, a link of `link_bytes_per_s` carries beside the rest.
///
/// ```
/// use flamingowheel_ranks::collect::max_direct_agents;
/// assert!(max_direct_agents(288, 2_500_000) > 12);
/// assert!(max_direct_agents(3_072, 750_000) < 95);
/// ```
pub fn max_direct_agents(counts: usize, link_bytes_per_s: u64) -> usize {
    let each_bytes_per_s = counts.max(1) as f64 * COUNT_BYTES / COUNTS_INTERVAL.as_secs_f64();
    (link_bytes_per_s as f64 * LINK_SHARE / each_bytes_per_s) as usize
}

/// Who sums up the choices of whom, by the agents' addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Agents that tell the coordinator their own rank's choices.
    direct: HashSet<SocketAddr>,
    /// The agents whose choices an agent sums up, by that agent.
    collectors: HashMap<SocketAddr, Arc<Vec<SocketAddr>>>,
}

/// One agent's part in an assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentAssignment {
    /// What it tells the coordinator.
    pub telling: Subscription,
    /// The agents that it collects from.
    pub members: Arc<Vec<SocketAddr>>,
}

impl AgentAssignment {
    /// What has to be asked of the agent, after it was asked for `told`.
    pub fn requests(&self, told: &(Subscription, Arc<Vec<SocketAddr>>)) -> Vec<AgentRequest> {
        let mut requests = Vec::new();
        if self.members != told.1
            && let Some(packed) = Packed::pack(&*self.members)
        {
            requests.push(AgentRequest::Collect(packed));
        }
        if self.telling != told.0 {
            requests.push(AgentRequest::Tell(self.telling));
        }
        requests
    }
}

impl Assignment {
    /// Deals the agents of a group out, those of each data centre among themselves: bytes between
    /// data centres are paid for. `agents` are those that are heard, by data centre and rank.
    ///
    /// Up to `max_direct_agents` agents tell the coordinator themselves. Of more, some sum up the choices of up to
    /// the root of twice their number, so that these hear about as many as the coordinator.
    ///
    /// ```
    /// use flamingowheel_ranks::collect::Assignment;
    /// use flamingowheel_protocol::ranks::Subscription;
    /// let agents: Vec<_> = (1..96).map(|rank| ("a", rank)).collect();
    /// let address = |rank: usize| std::net::SocketAddr::from(([10, 0, 0, rank as u8], 7_000));
    /// let agents = agents.into_iter().map(|(dc, rank)| (dc.into(), rank, address(rank))).collect();
    /// let assignment = Assignment::distribute(agents, 16);
    /// assert_eq!(assignment.for_agent(address(1)).telling, Subscription::Sums);
    /// assert_eq!(assignment.for_agent(address(2)).telling, Subscription::State);
    /// ```
    pub fn distribute(
        agents: Vec<(Arc<str>, usize, SocketAddr)>,
        max_direct_agents: usize,
    ) -> Self {
        let mut assignment = Self::default();
        if agents.len() <= max_direct_agents {
            assignment.direct = agents.into_iter().map(|(_, _, agent)| agent).collect();
            return assignment;
        }
        let members = (2.0 * agents.len() as f64).sqrt().ceil() as usize;
        let mut by_data_centre: BTreeMap<Arc<str>, BTreeMap<usize, SocketAddr>> = BTreeMap::new();
        for (data_centre, rank, agent) in agents {
            by_data_centre.entry(data_centre).or_default().insert(rank, agent);
        }
        for agents in by_data_centre.into_values() {
            let agents: Vec<SocketAddr> = agents.into_values().collect();
            // Parts of one size, where full ones and a rest would be uneven.
            let parts = agents.len().div_ceil(members);
            for part in agents.chunks(agents.len().div_ceil(parts)) {
                let Some((collector, others)) = part.split_first() else {
                    continue;
                };
                assignment.collectors.insert(*collector, Arc::new(others.to_vec()));
            }
        }
        assignment
    }

    /// The part of one agent.
    pub fn for_agent(&self, agent: SocketAddr) -> AgentAssignment {
        if let Some(members) = self.collectors.get(&agent) {
            return AgentAssignment { telling: Subscription::Sums, members: Arc::clone(members) };
        }
        let telling =
            if self.direct.contains(&agent) { Subscription::Choices } else { Subscription::State };
        AgentAssignment { telling, members: Arc::default() }
    }

    /// Most agents that one agent collects from.
    pub fn max_members(&self) -> usize {
        self.collectors.values().map(|members| members.len()).max().unwrap_or(0)
    }

    /// Agents that tell the coordinator choices or sums.
    pub fn sources(&self) -> usize {
        self.direct.len() + self.collectors.len()
    }
}

/// Sums up what agents tell, this one included.
#[derive(Debug)]
pub struct Collector {
    /// Who this agent is.
    pub identity: Identity,
    /// The agents to collect from.
    pub members: watch::Receiver<Arc<Vec<SocketAddr>>>,
    /// What this agent tells; sums go there as well.
    pub updates: broadcast::Sender<RankUpdate>,
}

impl Collector {
    /// Collects until dropped.
    pub async fn run(mut self) {
        let (sender, mut told) = mpsc::channel(CHOICES_CAPACITY);
        let mut own = self.updates.subscribe();
        let mut connected: HashMap<SocketAddr, CancellationToken> = HashMap::new();
        let mut sum = ExpertCountSum::default();
        let mut flush_at = None;
        loop {
            let flush = async {
                match flush_at {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                changed = self.members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let members = Arc::clone(&self.members.borrow_and_update());
                    self.connect(&members, &mut connected, &sender);
                }
                Some(choices) = told.recv() => sum.add(&choices),
                update = own.recv() => match update {
                    Ok(RankUpdate::Choices(choices)) if !connected.is_empty() => sum.add(&choices),
                    Ok(_) => {}
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        tracing::debug!(missed, "own choices missed");
                    }
                    Err(broadcast::error::RecvError::Closed) => return,
                },
                () = flush => flush_at = Some(Instant::now()),
            }
            let is_due = flush_at.is_some_and(|at| at <= Instant::now());
            let is_whole = usize::from(sum.ranks) > connected.len();
            if is_due || is_whole {
                flush_at = None;
                if let Some(choices) = sum.take() {
                    // Nobody listens while no coordinator is connected.
                    let _ = self.updates.send(RankUpdate::Sum(choices));
                }
            } else if sum.ranks > 0 && flush_at.is_none() {
                flush_at = Some(Instant::now() + FLUSH_TIMEOUT);
            }
        }
    }

    /// Connects to new members and leaves those that are none any more.
    fn connect(
        &self,
        members: &[SocketAddr],
        connected: &mut HashMap<SocketAddr, CancellationToken>,
        choices: &mpsc::Sender<ExpertCounts>,
    ) {
        connected.retain(|agent, stop| {
            let is_member = members.contains(agent);
            if !is_member {
                stop.cancel();
            }
            is_member
        });
        for &agent in members {
            if connected.contains_key(&agent) {
                continue;
            }
            let stop = CancellationToken::new();
            connected.insert(agent, stop.clone());
            let (identity, choices) = (self.identity.clone(), choices.clone());
            tokio::spawn(async move {
                let attend = |link| take_choices(link, choices.clone());
                let keeping = keep_connected(agent, &identity, attend);
                stop.run_until_cancelled(keeping).await;
            });
        }
    }
}

async fn take_choices(mut link: AgentLink, choices: mpsc::Sender<ExpertCounts>) -> Reconnect {
    if link.sender.send(AgentRequest::Tell(Subscription::Choices)).await.is_err() {
        return Reconnect::Yes;
    }
    while let Some(update) = link.receiver.recv().await {
        if let RankUpdate::Choices(told) = update
            && choices.send(told).await.is_err()
        {
            return Reconnect::No;
        }
    }
    Reconnect::Yes
}

/// Choices of several ranks, summed up.
#[derive(Clone, Debug, Default)]
pub struct ExpertCountSum {
    ranks: u16,
    counts: Vec<u32>,
}

impl ExpertCountSum {
    /// Adds what was told. Choices of another shape begin a new sum: the group has formed anew.
    ///
    /// ```
    /// use flamingowheel_protocol::ranks::ExpertCounts;
    /// use flamingowheel_ranks::collect::ExpertCountSum;
    /// let mut sum = ExpertCountSum::default();
    /// sum.add(&ExpertCounts::pack(&[1, 5]));
    /// sum.add(&ExpertCounts::pack(&[2, 0]));
    /// let taken = sum.take().unwrap();
    /// assert_eq!((taken.ranks, taken.unpack()), (2, Some(vec![3, 5])));
    /// assert!(sum.take().is_none());
    /// ```
    pub fn add(&mut self, choices: &ExpertCounts) {
        let Some(counts) = choices.unpack() else {
            tracing::warn!("choices can't be read");
            return;
        };
        if self.counts.len() != counts.len() {
            *self = Self { ranks: choices.ranks, counts };
            return;
        }
        self.ranks = self.ranks.saturating_add(choices.ranks);
        for (sum, count) in self.counts.iter_mut().zip(counts) {
            *sum = sum.saturating_add(count);
        }
    }

    /// The sum since the last call, if anything was added.
    pub fn take(&mut self) -> Option<ExpertCounts> {
        let sum = std::mem::take(self);
        (sum.ranks > 0).then(|| ExpertCounts::pack_sum(&sum.counts, sum.ranks))
    }
}
