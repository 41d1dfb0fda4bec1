//! Keeps the whole fleet's reads from the weight store within its rate, even while the key-value
//! service is down.
//!
//! One record allocates the rate: most of it is split evenly between the listed members, and the
//! rest is reserved so that every process, listed or not, may use a small minimum at any time. A
//! share expires unless the record is read again in time. [`Share`] and
//! [`Allocation::may_be_replaced`] together keep the sum of all members' rates within the store's
//! rate at every moment: a member applies a smaller share at once, and a larger one only when the
//! shares of the former allocation have expired everywhere.

mod keeper;

pub use keeper::{Budget, StoreLimits};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Time to live of a share, counted from the start of the read that confirmed it.
pub const SHARE_TTL: Duration = Duration::from_secs(60);

/// Fraction of the rate that is reserved so that every process, listed or not, may use the minimum
/// rate at any time.
const RESERVED_FRACTION: f64 = 0.1;

/// The record that allocates the weight store's rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    /// Rate of the weight store.
    pub rate_bytes_per_s: f64,
    /// Upper bound on the number of processes that use the store at the same time.
    pub max_members: usize,
    /// Processes that have a share: those that coordinate a group and limit the loads of its ranks.
    /// Names must be unique to a process, or two processes would both use one share.
    pub members: BTreeSet<String>,
}

impl Allocation {
    /// The rate allocated to each listed member.
    pub fn share_bytes_per_s(&self) -> f64 {
        let listed = self.members.len().max(1) as f64;
        self.rate_bytes_per_s * (1.0 - RESERVED_FRACTION) / listed
    }

    /// The rate that any process may use at any time, listed or not.
    ///
    /// ```
    /// use flamingowheel_group::budget::Allocation;
    /// let members = ["a".to_owned(), "b".to_owned()].into();
    /// let allocation = Allocation { rate_bytes_per_s: 1000.0, max_members: 10, members };
    /// assert_eq!(allocation.share_bytes_per_s(), 450.0);
    /// assert_eq!(allocation.minimum_bytes_per_s(), 10.0);
    /// ```
    pub fn minimum_bytes_per_s(&self) -> f64 {
        self.rate_bytes_per_s * RESERVED_FRACTION / self.max_members.max(1) as f64
    }

    /// Whether a process that first saw this allocation at `first_seen` may replace it.
    ///
    /// If two changes followed each other quickly, a member could miss the first and continue to
    /// use a share that others consider expired, which would exceed the store's rate. After twice
    /// the time to live of a share, every member has either read this allocation or lost its
    /// earlier share.
    pub fn may_be_replaced(first_seen: Instant, now: Instant) -> bool {
        now.duration_since(first_seen) >= SHARE_TTL * 2
    }
}

/// The rate that one member may use.
#[derive(Clone, Debug)]
pub struct Share {
    member: String,
    minimum_bytes_per_s: f64,
    confirmed: Option<Confirmed>,
}

#[derive(Clone, Debug)]
struct Confirmed {
    revision: u64,
    /// Start of the last read that found this revision.
    read_at: Instant,
    /// Rate until `larger_from`.
    smaller_bytes_per_s: f64,
    /// Rate from `larger_from` on.
    allocated_bytes_per_s: f64,
    larger_from: Instant,
}

impl Confirmed {
    fn rate_bytes_per_s(&self, now: Instant, minimum_bytes_per_s: f64) -> f64 {
        if now.duration_since(self.read_at) >= SHARE_TTL {
            return minimum_bytes_per_s;
        }
        if now < self.larger_from { self.smaller_bytes_per_s } else { self.allocated_bytes_per_s }
    }
}

impl Share {
    /// The share of a member that has read no allocation yet and may use the given minimum.
    pub fn new(member: &str, minimum_bytes_per_s: f64) -> Self {
        Self { member: member.to_owned(), minimum_bytes_per_s, confirmed: None }
    }

    /// Applies an allocation that was found at `revision`, in a read that ran from `read_at` to
    /// `now`.
    ///
    /// A share's expiry is counted from the start of the read, since the allocation may have been
    /// replaced right after it. A larger share is delayed from the end of the read, since the
    /// allocation may have been written right before it.
    pub fn apply(
        &mut self,
        allocation: &Allocation,
        revision: u64,
        read_at: Instant,
        now: Instant,
    ) {
        let minimum_bytes_per_s = self.minimum_bytes_per_s;
        if let Some(confirmed) = &mut self.confirmed {
            if revision < confirmed.revision {
                return;
            }
            let has_expired = read_at.duration_since(confirmed.read_at) >= SHARE_TTL;
            if revision == confirmed.revision && !has_expired {
                confirmed.read_at = read_at;
                return;
            }
        }
        let listed = allocation.members.contains(&self.member);
        let allocated_bytes_per_s =
            if listed { allocation.share_bytes_per_s() } else { minimum_bytes_per_s };
        let smaller_bytes_per_s = allocated_bytes_per_s.min(self.rate_bytes_per_s(now));
        let larger_from = now + SHARE_TTL;
        self.confirmed = Some(Confirmed {
            revision,
            read_at,
            smaller_bytes_per_s,
            allocated_bytes_per_s,
            larger_from,
        });
    }

    /// The rate that this member may use at `now`.
    pub fn rate_bytes_per_s(&self, now: Instant) -> f64 {
        let minimum_bytes_per_s = self.minimum_bytes_per_s;
        let confirmed = self.confirmed.as_ref();
        confirmed.map_or(minimum_bytes_per_s, |confirmed| {
            confirmed.rate_bytes_per_s(now, minimum_bytes_per_s)
        })
    }
}

/// Shorter waits are rounding errors and count as none.
const MIN_WAIT: Duration = Duration::from_micros(1);

/// Rate limiter of one member's reads.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// Bytes of admitted reads, less what the rate has covered since.
    backlog_bytes: f64,
    updated_at: Instant,
    /// The rate at the last call.
    rate_bytes_per_s: f64,
}

impl Pacer {
    /// A rate limiter with no reads outstanding.
    pub fn new(now: Instant) -> Self {
        Self { backlog_bytes: 0.0, updated_at: now, rate_bytes_per_s: 0.0 }
    }

    /// Admits a read and returns zero if the backlog of earlier reads has drained; else returns how
    /// long that takes at this rate. For the time since the last call the lower of the old and the
    /// new rate counts, as it is not known when the rate changed.
    pub fn try_acquire(&mut self, bytes: u64, rate_bytes_per_s: f64, now: Instant) -> Duration {
        let rate_bytes_per_s = rate_bytes_per_s.max(1.0);
        let elapsed_s = now.duration_since(self.updated_at).as_secs_f64();
        let lower_bytes_per_s = rate_bytes_per_s.min(self.rate_bytes_per_s);
        self.backlog_bytes = (self.backlog_bytes - elapsed_s * lower_bytes_per_s).max(0.0);
        (self.updated_at, self.rate_bytes_per_s) = (now, rate_bytes_per_s);
        // Durations are rounded to nanoseconds, so a tiny rest may remain.
        let wait = Duration::from_secs_f64(self.backlog_bytes / rate_bytes_per_s);
        if wait > MIN_WAIT {
            return wait;
        }
        self.backlog_bytes += bytes as f64;
        Duration::ZERO
    }
}
