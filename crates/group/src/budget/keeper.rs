//! A member's share, kept confirmed through the key-value service.

use super::{Allocation, Pacer, SHARE_TTL, Share};
use bytes::Bytes;
use flamingowheel_backing::kv::{
    Compare, KeyValue, KeyValueEntry, KeyValueError, LeaseId, Operation, Transaction,
};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

const PREFIX: &str = "budget/";
const ALLOCATION_KEY: &str = "budget/allocation";
const MEMBERS_PREFIX: &str = "budget/members/";

/// Time between two reads of the allocation; two may fail before the share expires.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// Longest time that a waiting load sleeps before it checks the rate again.
const RATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of the weight store from the operator's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Rate of the weight store, for the whole fleet.
    pub rate_bytes_per_s: f64,
    /// Upper bound on the number of processes that use the store at the same time.
    pub max_members: usize,
}

struct State {
    share: Share,
    pacer: Pacer,
    lease: Option<LeaseId>,
    /// Latest revision of the allocation, and when this process first read it.
    first_seen: Option<(u64, Instant)>,
}

/// Limits one member's reads from the weight store to its share of the rate.
pub struct Budget {
    kv: Arc<dyn KeyValue>,
    member: String,
    limits: StoreLimits,
    state: Mutex<State>,
    /// Held by the one task that keeps the share confirmed.
    refreshing: AsyncMutex<()>,
    /// Held by the load that is admitted next; further loads wait for it in order.
    load_queue: AsyncMutex<()>,
}

impl Budget {
    /// A member that uses the reserved minimum until [`Budget::run`] has confirmed a share.
    /// `member` must be unique to the process.
    pub fn new(kv: Arc<dyn KeyValue>, member: &str, limits: StoreLimits) -> Self {
        let minimum_bytes_per_s = allocation(limits, BTreeSet::new()).minimum_bytes_per_s();
        let share = Share::new(member, minimum_bytes_per_s);
        let pacer = Pacer::new(Instant::now());
        let state = State { share, pacer, lease: None, first_seen: None };
        let (refreshing, load_queue) = (AsyncMutex::default(), AsyncMutex::default());
        Self {
            kv,
            member: member.to_owned(),
            limits,
            state: Mutex::new(state),
            refreshing,
            load_queue,
        }
    }

    /// Waits until the backlog of earlier reads has drained at this member's rate, then admits a
    /// read of this size.
    ///
    /// A group of 32 ranks requests all its loads at once. If each were scheduled at the rate of
    /// that moment, the last ones would wait for hours at the minimum although the share has grown
    /// since, or read too fast although it has expired. So the rate is checked again while loads
    /// wait.
    pub async fn acquire(&self, size_bytes: u64) {
        let _guard = self.load_queue.lock().await;
        loop {
            let wait = self.try_acquire(size_bytes);
            if wait.is_zero() {
                return;
            }
            sleep(wait.min(RATE_CHECK_INTERVAL)).await;
        }
    }

    fn try_acquire(&self, size_bytes: u64) -> Duration {
        let now = Instant::now();
        let mut state = self.state();
        let rate_bytes_per_s = state.share.rate_bytes_per_s(now);
        state.pacer.try_acquire(size_bytes, rate_bytes_per_s, now)
    }

    /// The rate that this member may use now.
    pub fn rate_bytes_per_s(&self) -> f64 {
        self.state().share.rate_bytes_per_s(Instant::now())
    }

    /// Keeps the share confirmed until `stop`.
    ///
    /// A process that coordinates several groups has one share for all of them, so only one of
    /// several concurrent calls does the work.
    pub async fn run(&self, stop: CancellationToken) {
        let _guard = tokio::select! {
            () = stop.cancelled() => return,
            guard = self.refreshing.lock() => guard,
        };
        while !stop.is_cancelled() {
            if let Err(error) = self.refresh().await {
                tracing::warn!(member = self.member, %error, "share of the weight store not confirmed");
            }
            tokio::select! {
                () = stop.cancelled() => {}
                () = sleep(REFRESH_INTERVAL) => {}
            }
        }
    }

    async fn refresh(&self) -> Result<(), KeyValueError> {
        self.keep_listed().await?;
        let read_at = Instant::now();
        let snapshot = self.kv.range(PREFIX).await?;
        let now = Instant::now();
        let stored = snapshot.entries.iter().find(|entry| entry.key == ALLOCATION_KEY);
        let current = stored.and_then(|entry| decode(entry).map(|found| (found, entry)));
        let names = snapshot.entries.iter().filter_map(|e| e.key.strip_prefix(MEMBERS_PREFIX));
        let desired = allocation(self.limits, names.map(str::to_owned).collect());
        let Some((found, entry)) = current else {
            let compare = Compare::Absent { key: ALLOCATION_KEY.to_owned() };
            return self.write(compare, &desired).await;
        };
        let revision = entry.mod_revision;
        let first_seen = self.apply(&found, revision.0, read_at, now);
        if found == desired || !Allocation::may_be_replaced(first_seen, now) {
            return Ok(());
        }
        let compare = Compare::ModRevision { key: ALLOCATION_KEY.to_owned(), revision };
        self.write(compare, &desired).await
    }

    fn apply(&self, found: &Allocation, revision: u64, read_at: Instant, now: Instant) -> Instant {
        let mut state = self.state();
        state.share.apply(found, revision, read_at, now);
        let first_seen = state.first_seen.filter(|(current, _)| *current == revision);
        let first_seen = first_seen.unwrap_or((revision, now));
        state.first_seen = Some(first_seen);
        first_seen.1
    }

    /// Keeps this member's key alive through a lease, so that a member that ends is left out of the
    /// next allocation.
    async fn keep_listed(&self) -> Result<(), KeyValueError> {
        let current = self.state().lease;
        if let Some(lease) = current {
            match self.kv.keep_alive(lease).await {
                Err(KeyValueError::LeaseNotFound) => {}
                result => return result,
            }
        }
        let lease = self.kv.grant_lease(SHARE_TTL * 2).await?;
        let key = format!("{MEMBERS_PREFIX}{}", self.member);
        let put = Operation::Put { key, value: Bytes::new(), lease: Some(lease) };
        self.kv.transact(Transaction { on_success: vec![put], ..Transaction::default() }).await?;
        self.state().lease = Some(lease);
        Ok(())
    }

    /// A lost answer needs no handling: the next read shows whether the write took effect.
    async fn write(&self, compare: Compare, desired: &Allocation) -> Result<(), KeyValueError> {
        let encoded = serde_json::to_vec(desired);
        let value = encoded.map_err(|_| KeyValueError::Malformed { what: "allocation" })?;
        let key = ALLOCATION_KEY.to_owned();
        let put = Operation::Put { key, value: Bytes::from(value), lease: None };
        let transaction = Transaction {
            compares: vec![compare],
            on_success: vec![put],
            ..Transaction::default()
        };
        self.kv.transact(transaction).await.map(drop)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn allocation(limits: StoreLimits, members: BTreeSet<String>) -> Allocation {
    let StoreLimits { rate_bytes_per_s, max_members } = limits;
    Allocation { rate_bytes_per_s, max_members, members }
}

fn decode(entry: &KeyValueEntry) -> Option<Allocation> {
    serde_json::from_slice(&entry.value).ok()
}
