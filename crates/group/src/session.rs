//! Requests of a coordinator to its ranks, bounded by timeouts and by its lease.

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

/// Intervals and timeouts of coordination.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time to live of the lease to coordinate.
    pub lease_ttl: Duration,
    /// Pause between two polls of the group, and between two attempts to acquire the lease.
    pub poll_interval: Duration,
    /// Timeout of one call to a rank's agent, and of orders to hold ranks.
    pub call_timeout: Duration,
    /// Timeout for a rank to load the weights of a map or a model version.
    pub stage_timeout: Duration,
    /// How long a rank may stay unverified before it is reported as out of service. Also the
    /// timeout for holding, switching and resuming all ranks.
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

/// Why a coordinator's operation on its group failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GroupError {
    /// The lease to coordinate expired, for example while this process was paused.
    #[error("lease to coordinate expired")]
    LeaseExpired,
    /// A rank has seen the higher fencing number of a newer coordinator.
    #[error("superseded by a newer coordinator")]
    Superseded,
    /// A rank could not be read or did not carry out an order in time.
    #[error("rank {rank}: {error}")]
    Rank {
        /// Index of the rank in the group.
        rank: usize,
        /// Error of the last attempt.
        error: RankError,
    },
    /// Ranks stopped at different steps, or not all of them stopped in time.
    #[error("ranks stopped at different steps")]
    UnevenSteps,
    /// The record could not be read or written.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// Context of one coordinator's operations on its group.
pub struct Session<'a, Transport> {
    /// Transport to the group's ranks.
    pub ranks: &'a Transport,
    /// Store of the group's record.
    pub records: &'a RecordStore,
    /// The lease under which this process coordinates the group.
    pub lease: &'a Lease,
    /// Intervals and timeouts.
    pub timing: &'a Timing,
    /// Limits loads from the weight store; `None` if they are not limited.
    pub load_limiter: Option<&'a LoadLimiter>,
    /// Whether versions and adapters may be loaded now; `false` during the backoff after an engine
    /// could not load them.
    pub may_load: bool,
}

/// Keeps loads of weights within this process's share of the weight store's rate.
#[derive(Clone)]
pub struct LoadLimiter {
    /// This process's share; the coordinator keeps it confirmed while it holds the lease.
    pub budget: Arc<Budget>,
    /// Sizes that loads are counted with.
    pub sizes: WeightSizes,
}

/// Sizes of the largest model's weights. Loads that are counted too small would exceed the store's
/// rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WeightSizes {
    /// Weights of one expert in one layer.
    pub expert_bytes: u64,
    /// All weights of a model version on one rank.
    pub rank_bytes: u64,
    /// Weights of one adapter on one rank.
    pub adapter_bytes: u64,
}

impl LoadLimiter {
    /// Waits until a rank may load the experts of `next` that `loaded` does not give it.
    pub async fn acquire_for_map(&self, rank: usize, loaded: Option<&ExpertMap>, next: &ExpertMap) {
        let count = experts_to_load(rank, loaded, next);
        self.budget.acquire(self.sizes.expert_bytes * count).await;
    }

    /// Waits until a rank may load this many adapters, and the model version if it is another one.
    pub async fn acquire_for_model(&self, is_other_version: bool, adapters: usize) {
        let version_bytes = if is_other_version { self.sizes.rank_bytes } else { 0 };
        let adapter_bytes = self.sizes.adapter_bytes * adapters as u64;
        self.budget.acquire(version_bytes + adapter_bytes).await;
    }
}

fn experts_to_load(rank: usize, loaded: Option<&ExpertMap>, next: &ExpertMap) -> u64 {
    let mut count = 0;
    for (layer, ranks) in next.layers.iter().enumerate() {
        let old = loaded.and_then(|map| map.layers.get(layer)?.get(rank));
        let is_new = |expert: &&u16| old.is_none_or(|old| !old.contains(expert));
        count += ranks.get(rank).map_or(0, |experts| experts.iter().filter(is_new).count());
    }
    count as u64
}

impl<Transport> Session<'_, Transport>
where
    Transport: Ranks,
{
    /// Reads every rank. Agents that are reached refuse lower fencing numbers from then on.
    pub async fn read_all(&self, fence: Fence) -> Result<Vec<RankResult>, GroupError> {
        let reads = (0..self.ranks.count()).map(|rank| self.read(rank, fence));
        let states = join_all(reads).await;
        let stale = |result: &RankResult| matches!(result, Err(RankError::Stale { .. }));
        if states.iter().any(stale) {
            return Err(GroupError::Superseded);
        }
        Ok(states)
    }

    /// Reads every rank; fails if one can't be read.
    pub async fn read_all_or_fail(&self, fence: Fence) -> Result<Vec<RankState>, GroupError> {
        let states = self.read_all(fence).await?.into_iter().enumerate();
        states
            .map(|(rank, state)| state.map_err(|error| GroupError::Rank { rank, error }))
            .collect()
    }

    async fn read(&self, rank: usize, fence: Fence) -> RankResult {
        self.call(rank, RankRequest::read(fence)).await
    }

    /// Opens or closes the intakes of these ranks. Errors are ignored: the next read shows whether
    /// it took effect.
    pub async fn set_open(&self, fence: Fence, ranks: &[usize], open: bool) {
        let request = RankRequest { open: Some(open), ..RankRequest::read(fence) };
        join_all(ranks.iter().map(|rank| self.call(*rank, request.clone()))).await;
    }

    async fn call(&self, rank: usize, request: RankRequest) -> RankResult {
        let answer = timeout(self.timing.call_timeout, self.ranks.call(rank, request)).await;
        answer.unwrap_or(Err(RankError::NoAnswer))
    }

    /// Sends each order, with retries, until its rank has carried it out or `limit` has passed.
    /// Orders name target states, so repeating one is harmless; a load that takes longer than one
    /// call is repeated until it is done.
    pub async fn send_orders(
        &self,
        fence: Fence,
        orders: Vec<RankOrder>,
        limit: Duration,
    ) -> Result<(), GroupError> {
        let deadline = Instant::now() + limit;
        let sent = orders.iter().map(|order| self.send_until_done(fence, order, deadline));
        let results = join_all(sent).await;
        results.into_iter().collect()
    }

    async fn send_until_done(
        &self,
        fence: Fence,
        order: &RankOrder,
        deadline: Instant,
    ) -> Result<(), GroupError> {
        let rank = order.rank;
        loop {
            let error = match self.send_once(fence, order).await? {
                Ok(_) => return Ok(()),
                Err(RankError::Stale { .. }) => return Err(GroupError::Superseded),
                Err(error) => error,
            };
            let is_permanent =
                matches!(error, RankError::NotPossible { .. } | RankError::WrongVersion { .. });
            if is_permanent || Instant::now() >= deadline {
                return Err(GroupError::Rank { rank, error });
            }
            sleep(ORDER_RETRY_DELAY).await;
        }
    }

    /// Reads the rank's incarnation first and addresses the order to it, so that a later agent
    /// process refuses the order however late it arrives.
    async fn send_once(&self, fence: Fence, order: &RankOrder) -> Result<RankResult, GroupError> {
        let state = match self.read(order.rank, fence).await {
            Ok(state) => state,
            Err(error) => return Ok(Err(error)),
        };
        // This process may have been paused during the read.
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
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A rank's answer to one request.
pub type RankResult = Result<RankState, RankError>;

/// An order for one rank.
#[derive(Clone, Debug)]
pub struct RankOrder {
    /// Index of the rank in the group.
    pub rank: usize,
    /// The state that the engine is to reach.
    pub target: OrderTarget,
    /// See [`RankRequest::requires_version`].
    pub requires_version: Option<u64>,
}

impl RankOrder {
    /// An order that applies whatever map the rank uses.
    pub fn new(rank: usize, target: OrderTarget) -> Self {
        Self { rank, target, requires_version: None }
    }
}
