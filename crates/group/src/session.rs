//! A coordinator's dealings with its ranks, bounded in time and within its lease.

use crate::budget::Budget;
use crate::lease::Lease;
use crate::message::{RankError, RankRequest, RankState};
use crate::ranks::Ranks;
use crate::record::{RecordError, RecordStore};
use flamingowheel_backing::orders::{ExpertMap, Fence, OrderTarget};
use futures_util::future::join_all;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long things may take.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time to live of the lease to coordinate.
    pub lease_ttl: Duration,
    /// Pause between two looks at the group.
    pub poll_interval: Duration,
    /// How long one call to a rank may take.
    pub call_timeout: Duration,
    /// How long loading the weights of a map may take.
    pub stage_timeout: Duration,
    /// How long a rank may fail to answer before it is named as out of service.
    pub rank_timeout: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(3),
            poll_interval: Duration::from_millis(500),
            call_timeout: Duration::from_secs(1),
            stage_timeout: Duration::from_secs(60),
            rank_timeout: Duration::from_secs(3),
        }
    }
}

/// Why a coordinator's work on its group stopped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GroupError {
    /// The lease to coordinate ran out, perhaps while this process was paused.
    #[error("lease to coordinate ran out")]
    LeaseExpired,
    /// A rank has seen a newer coordinator.
    #[error("a newer coordinator is in charge")]
    Superseded,
    /// A rank did not do its part in time.
    #[error("rank {rank}: {error}")]
    Rank {
        /// The rank.
        rank: usize,
        /// What it said.
        error: RankError,
    },
    /// Ranks stopped at different steps.
    #[error("ranks stopped at different steps")]
    UnevenSteps,
    /// The record could not be read or written.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// What the work on a group needs.
pub struct Session<'a, Members> {
    /// The group's ranks.
    pub ranks: &'a Members,
    /// The group's record.
    pub records: &'a RecordStore,
    /// The lease under which this process coordinates.
    pub lease: &'a Lease,
    /// How long things may take.
    pub timing: &'a Timing,
    /// Paces loads from the weight store.
    pub load_limiter: Option<&'a LoadLimiter>,
    /// Versions and adapters may be loaded; not right after an engine could not.
    pub may_load: bool,
}

/// How loads of expert weights are kept within the weight store's rate.
#[derive(Clone)]
pub struct LoadLimiter {
    /// This process's share; the coordinator keeps it confirmed while it acts.
    pub budget: Arc<Budget>,
    /// Sizes of what is loaded.
    pub sizes: WeightSizes,
}

/// Sizes of weights, of the largest model: a load that is counted for too little would overrun the
/// store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WeightSizes {
    /// One expert's weights in one layer.
    pub expert_bytes: u64,
    /// All that one rank loads of a version.
    pub rank_bytes: u64,
    /// One adapter on one rank.
    pub adapter_bytes: u64,
}

impl LoadLimiter {
    /// Waits until a rank may load what `next` gives it beyond what it holds.
    pub async fn acquire_for_map(&self, rank: usize, held: Option<&ExpertMap>, next: &ExpertMap) {
        let count = experts_to_load(rank, held, next);
        self.budget.acquire(self.sizes.expert_bytes * count).await;
    }

    /// Waits until a rank may load a version, if it is another one, and so many adapters.
    pub async fn acquire_for_model(&self, is_other_version: bool, adapters: usize) {
        let version_bytes = if is_other_version { self.sizes.rank_bytes } else { 0 };
        let adapter_bytes = self.sizes.adapter_bytes * adapters as u64;
        self.budget.acquire(version_bytes + adapter_bytes).await;
    }
}

fn experts_to_load(rank: usize, held: Option<&ExpertMap>, next: &ExpertMap) -> u64 {
    let mut count = 0;
    for (layer, ranks) in next.layers.iter().enumerate() {
        let old = held.and_then(|map| map.layers.get(layer)?.get(rank));
        let is_new = |expert: &&u16| old.is_none_or(|old| !old.contains(expert));
        count += ranks.get(rank).map_or(0, |experts| experts.iter().filter(is_new).count());
    }
    count as u64
}

impl<Members> Session<'_, Members>
where
    Members: Ranks,
{
    /// Reads every rank, and with that makes every agent refuse lower numbers from here on.
    pub async fn read_all(&self, fence: Fence) -> Result<Vec<RankResult>, GroupError> {
        let reads = (0..self.ranks.count()).map(|rank| self.read(rank, fence));
        let states = join_all(reads).await;
        let stale = |result: &RankResult| matches!(result, Err(RankError::Stale { .. }));
        if states.iter().any(stale) {
            return Err(GroupError::Superseded);
        }
        Ok(states)
    }

    /// Reads every rank and fails if one can't be read.
    pub async fn read_all_or_fail(&self, fence: Fence) -> Result<Vec<RankState>, GroupError> {
        let states = self.read_all(fence).await?.into_iter().enumerate();
        states
            .map(|(rank, state)| state.map_err(|error| GroupError::Rank { rank, error }))
            .collect()
    }

    async fn read(&self, rank: usize, fence: Fence) -> RankResult {
        self.call(rank, RankRequest::read(fence)).await
    }

    /// Has these ranks' agents take new work or not. Whether they do shows at the next read.
    pub async fn set_open(&self, fence: Fence, ranks: &[usize], open: bool) {
        let request = RankRequest { open: Some(open), ..RankRequest::read(fence) };
        join_all(ranks.iter().map(|rank| self.call(*rank, request.clone()))).await;
    }

    async fn call(&self, rank: usize, request: RankRequest) -> RankResult {
        let answer = timeout(self.timing.call_timeout, self.ranks.call(rank, request)).await;
        answer.unwrap_or(Err(RankError::NoAnswer))
    }

    /// Sends each order until its rank has carried it out or `limit` has passed. Orders name
    /// targets, so sending one again is harmless; a load that takes longer than a call is asked
    /// after until it is done.
    pub async fn send_orders(
        &self,
        fence: Fence,
        orders: Vec<RankOrder>,
        limit: Duration,
    ) -> Result<(), GroupError> {
        let deadline = Instant::now() + limit;
        let sent = orders.iter().map(|order| self.insist(fence, order, deadline));
        let results = join_all(sent).await;
        results.into_iter().collect()
    }

    async fn insist(
        &self,
        fence: Fence,
        order: &RankOrder,
        deadline: Instant,
    ) -> Result<(), GroupError> {
        let rank = order.rank;
        loop {
            let error = match self.try_order(fence, order).await? {
                Ok(_) => return Ok(()),
                Err(RankError::Stale { .. }) => return Err(GroupError::Superseded),
                Err(error) => error,
            };
            let hopeless =
                matches!(error, RankError::NotPossible { .. } | RankError::WrongVersion { .. });
            if hopeless || Instant::now() >= deadline {
                return Err(GroupError::Rank { rank, error });
            }
            sleep(ORDER_PAUSE).await;
        }
    }

    /// Addresses the agent process that answers now: an order that was on its way to an earlier one
    /// is then refused however late it comes.
    async fn try_order(&self, fence: Fence, order: &RankOrder) -> Result<RankResult, GroupError> {
        let state = match self.read(order.rank, fence).await {
            Ok(state) => state,
            Err(error) => return Ok(Err(error)),
        };
        // Reading took time, in which this process may have been paused.
        if !self.lease.may_align() {
            return Err(GroupError::LeaseExpired);
        }
        let request = RankRequest {
            incarnation: Some(state.incarnation),
            fence,
            target: Some(order.target.clone()),
            requires_version: order.requires_version,
            open: None,
        };
        Ok(self.call(order.rank, request).await)
    }
}

/// Pause before an order is sent again.
const ORDER_PAUSE: Duration = Duration::from_millis(50);

/// A rank's answer.
pub type RankResult = Result<RankState, RankError>;

/// An order for one rank.
#[derive(Clone, Debug)]
pub struct RankOrder {
    /// The rank.
    pub rank: usize,
    /// The state asked for.
    pub target: OrderTarget,
    /// See [`RankRequest::requires_version`].
    pub requires_version: Option<u64>,
}

impl RankOrder {
    /// An order whatever map the rank uses.
    pub fn new(rank: usize, target: OrderTarget) -> Self {
        Self { rank, target, requires_version: None }
    }
}
