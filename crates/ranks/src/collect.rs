//! Aggregation of expert counts on their way to the coordinator of a large group.
//!
//! Each rank publishes ten times a second how often its requests chose each expert. From 95 agents
//! that exceeds the bandwidth of one VM's link. In a large group some agents, the collectors,
//! therefore sum up the choices of agents near them, and the coordinator receives only the sums.
//! Nothing else takes this path: while a collector is away, the counts of a few ranks are missing,
//! which hardly changes the shares of the experts, and no order is delayed.

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

/// Share of the coordinator's link that the counts of its group may use.
const LINK_SHARE: f64 = 0.25;

/// Encoded size of one count, in bytes.
const COUNT_BYTES: f64 = 0.6;

/// Time after the first choices of a window until an incomplete sum is sent. All ranks run each
/// pass together, so their agents publish its choices at nearly the same time.
pub const FLUSH_TIMEOUT: Duration = Duration::from_millis(40);

/// Number of choices buffered for the collector.
const CHOICES_CAPACITY: usize = 64;

/// Returns from how many agents a link of `link_bytes_per_s` can receive `counts` counts each,
/// within the share of the link reserved for them.
///
/// ```
/// use flamingowheel_ranks::collect::max_direct_agents;
/// assert!(max_direct_agents(288, 2_500_000) > 12);
/// assert!(max_direct_agents(3_072, 750_000) < 95);
/// ```
pub fn max_direct_agents(counts: usize, link_bytes_per_s: u64) -> usize {
    let agent_bytes_per_s = counts.max(1) as f64 * COUNT_BYTES / COUNTS_INTERVAL.as_secs_f64();
    (link_bytes_per_s as f64 * LINK_SHARE / agent_bytes_per_s) as usize
}

/// Which agents send choices to the coordinator and which to collectors, by the agents' addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    /// Agents that send their own rank's choices to the coordinator.
    direct: HashSet<SocketAddr>,
    /// Collectors, and the agents whose choices each of them sums up.
    collectors: HashMap<SocketAddr, Arc<Vec<SocketAddr>>>,
}

/// The part of an assignment that concerns one agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentAssignment {
    /// Which updates it sends to the coordinator.
    pub subscription: Subscription,
    /// The agents that it collects choices from; empty if it is no collector.
    pub members: Arc<Vec<SocketAddr>>,
}

impl AgentAssignment {
    /// Returns the requests that change the agent's assignment from `sent`, the one that it was sent
    /// last, to this one.
    pub fn requests(&self, sent: &(Subscription, Arc<Vec<SocketAddr>>)) -> Vec<AgentRequest> {
        let mut requests = Vec::new();
        if self.members != sent.1
            && let Some(packed) = Packed::pack(&*self.members)
        {
            requests.push(AgentRequest::Collect(packed));
        }
        if self.subscription != sent.0 {
            requests.push(AgentRequest::Subscribe(self.subscription));
        }
        requests
    }
}

impl Assignment {
    /// Distributes the agents of a group over collectors in the same data centre, since traffic
    /// between data centres is billed. `agents` are the live ones, each with its data centre, rank
    /// and address.
    ///
    /// Up to `max_direct_agents` agents send their choices to the coordinator directly. If there
    /// are more, they are divided into parts of up to the square root of twice their number, and
    /// the first agent of each part collects from the others. A collector then has about as many
    /// sources as the coordinator.
    ///
    /// ```
    /// use flamingowheel_ranks::collect::Assignment;
    /// use flamingowheel_protocol::ranks::Subscription;
    /// let agents: Vec<_> = (1..96).map(|rank| ("a", rank)).collect();
    /// let address = |rank: usize| std::net::SocketAddr::from(([10, 0, 0, rank as u8], 7_000));
    /// let agents = agents.into_iter().map(|(dc, rank)| (dc.into(), rank, address(rank))).collect();
    /// let assignment = Assignment::distribute(agents, 16);
    /// assert_eq!(assignment.for_agent(address(1)).subscription, Subscription::Sums);
    /// assert_eq!(assignment.for_agent(address(2)).subscription, Subscription::State);
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
        let max_part_size = (2.0 * agents.len() as f64).sqrt().ceil() as usize;
        let mut by_data_centre: BTreeMap<Arc<str>, BTreeMap<usize, SocketAddr>> = BTreeMap::new();
        for (data_centre, rank, agent) in agents {
            by_data_centre.entry(data_centre).or_default().insert(rank, agent);
        }
        for agents in by_data_centre.into_values() {
            let agents: Vec<SocketAddr> = agents.into_values().collect();
            // Equal parts instead of full ones and a small remainder.
            let parts = agents.len().div_ceil(max_part_size);
            for part in agents.chunks(agents.len().div_ceil(parts)) {
                let Some((collector, others)) = part.split_first() else {
                    continue;
                };
                assignment.collectors.insert(*collector, Arc::new(others.to_vec()));
            }
        }
        assignment
    }

    /// Returns the assignment of one agent.
    pub fn for_agent(&self, agent: SocketAddr) -> AgentAssignment {
        if let Some(members) = self.collectors.get(&agent) {
            return AgentAssignment {
                subscription: Subscription::Sums,
                members: Arc::clone(members),
            };
        }
        let subscription =
            if self.direct.contains(&agent) { Subscription::Choices } else { Subscription::State };
        AgentAssignment { subscription, members: Arc::default() }
    }

    /// Returns the largest number of agents that one collector collects from.
    pub fn max_members(&self) -> usize {
        self.collectors.values().map(|members| members.len()).max().unwrap_or(0)
    }

    /// Returns the number of agents that send choices or sums to the coordinator.
    pub fn sources(&self) -> usize {
        self.direct.len() + self.collectors.len()
    }
}

/// Sums up the choices of other agents and of this one.
#[derive(Debug)]
pub struct Collector {
    /// Identity with which this agent connects to others.
    pub identity: Identity,
    /// Agents to collect from; the local choices are not published as sums while it is empty.
    pub members: watch::Receiver<Arc<Vec<SocketAddr>>>,
    /// Updates of this agent: the source of its own choices and the destination of the sums.
    pub updates: broadcast::Sender<RankUpdate>,
}

impl Collector {
    /// Collects until dropped.
    pub async fn run(mut self) {
        let (sender, mut received) = mpsc::channel(CHOICES_CAPACITY);
        let mut local = self.updates.subscribe();
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
                Some(choices) = received.recv() => sum.add(&choices),
                update = local.recv() => match update {
                    Ok(RankUpdate::Choices(choices)) if !connected.is_empty() => sum.add(&choices),
                    Ok(_) => {}
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        tracing::debug!(missed, "local choices missed");
                    }
                    Err(broadcast::error::RecvError::Closed) => return,
                },
                () = flush => flush_at = Some(Instant::now()),
            }
            let is_due = flush_at.is_some_and(|at| at <= Instant::now());
            let is_complete = usize::from(sum.ranks) > connected.len();
            if is_due || is_complete {
                flush_at = None;
                if let Some(choices) = sum.take() {
                    // Fails only while no coordinator is connected.
                    let _ = self.updates.send(RankUpdate::Sum(choices));
                }
            } else if sum.ranks > 0 && flush_at.is_none() {
                flush_at = Some(Instant::now() + FLUSH_TIMEOUT);
            }
        }
    }

    /// Connects to new members and disconnects from those that are no longer members.
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
                let serve = |link| forward_choices(link, choices.clone());
                let connection = keep_connected(agent, &identity, serve);
                stop.run_until_cancelled(connection).await;
            });
        }
    }
}

async fn forward_choices(mut link: AgentLink, choices: mpsc::Sender<ExpertCounts>) -> Reconnect {
    if link.sender.send(AgentRequest::Subscribe(Subscription::Choices)).await.is_err() {
        return Reconnect::Yes;
    }
    while let Some(update) = link.receiver.recv().await {
        if let RankUpdate::Choices(counts) = update
            && choices.send(counts).await.is_err()
        {
            return Reconnect::No;
        }
    }
    Reconnect::Yes
}

/// Running sum of the choices of several ranks.
#[derive(Clone, Debug, Default)]
pub struct ExpertCountSum {
    ranks: u16,
    counts: Vec<u32>,
}

impl ExpertCountSum {
    /// Adds choices. Choices with another number of counts start a new sum, since the group has
    /// formed again.
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
            tracing::warn!("can't decode choices");
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

    /// Returns and resets the sum; `None` if nothing was added since the last call.
    pub fn take(&mut self) -> Option<ExpertCounts> {
        let sum = std::mem::take(self);
        (sum.ranks > 0).then(|| ExpertCounts::pack_sum(&sum.counts, sum.ranks))
    }
}
