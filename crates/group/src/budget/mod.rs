//! Use of the weight store kept within its rate over the whole fleet, also while the key-value
//! service is down.
//!
//! One record allots the rate: a part is split evenly over the members it lists, the rest is
//! reserved so that every process, listed or not, may use a small minimum at any time. A share
//! holds only for a while after the record was last read. The rules of [`Share`] and
//! [`Allocation::may_be_replaced`] together keep the sum of what all members use within the rate at
//! every moment: a member takes a smaller share at once and a larger one only when everybody who
//! may still use the former allocation has lost it.

mod keeper;

pub use keeper::{Budget, StoreLimits};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// How long a share holds after the start of the read that confirmed it.
pub const SHARE_TTL: Duration = Duration::from_secs(60);

/// One part in so many of the rate is reserved for the minimum.
const RESERVED_PART: f64 = 0.1;

/// The record that allots the weight store's rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allocation {
    /// The store's rate.
    pub rate_bytes_per_s: f64,
    /// Most processes that may ever use the store at the same time.
    pub max_members: usize,
    /// The members that have a share: one for each process that
    /// coordinates a group and paces the loads of its ranks. Names are unique to the process: two
    /// processes under one name would use a share twice.
    pub members: BTreeSet<String>,
}

impl Allocation {
    /// The rate of a listed member.
    pub fn share_bytes_per_s(&self) -> f64 {
        let listed = self.members.len().max(1) as f64;
        self.rate_bytes_per_s * (1.0 - RESERVED_PART) / listed
    }

    /// The rate that any process may use at any time.
    ///
    /// ```
    /// use flamingowheel_group::budget::Allocation;
    /// let members = ["a".to_owned(), "b".to_owned()].into();
    /// let allocation = Allocation { rate_bytes_per_s: 1000.0, max_members: 10, members };
    /// assert_eq!(allocation.share_bytes_per_s(), 450.0);
    /// assert_eq!(allocation.minimum_bytes_per_s(), 10.0);
    /// ```
    pub fn minimum_bytes_per_s(&self) -> f64 {
        self.rate_bytes_per_s * RESERVED_PART / self.max_members.max(1) as f64
    }

    /// Whether a process that has seen this allocation stand since `first_seen` may replace it.
    ///
    /// If two changes came in quick succession, a member could miss the one between and go on with
    /// a share that others believe lapsed; the store would then be overrun. After twice the time
    /// that a share holds, everybody has either seen this allocation or lost the one before.
    pub fn may_be_replaced(first_seen: Instant, now: Instant) -> bool {
        now.duration_since(first_seen) >= SHARE_TTL * 2
    }
}

/// What one member may use.
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
    /// Used until `larger_from`.
    smaller_bytes_per_s: f64,
    /// Used from `larger_from` on.
    allotted_bytes_per_s: f64,
    larger_from: Instant,
}

impl Confirmed {
    fn rate_bytes_per_s(&self, now: Instant, minimum_bytes_per_s: f64) -> f64 {
        if now.duration_since(self.read_at) >= SHARE_TTL {
            return minimum_bytes_per_s;
        }
        if now < self.larger_from { self.smaller_bytes_per_s } else { self.allotted_bytes_per_s }
    }
}

impl Share {
    /// A member that has read nothing yet and may use the minimum its settings name.
    pub fn new(member: &str, minimum_bytes_per_s: f64) -> Self {
        Self { member: member.to_owned(), minimum_bytes_per_s, confirmed: None }
    }

    /// Takes in an allocation that was found at `revision`, in a read that ran from `read_at` to
    /// `now`.
    ///
    /// Each end serves one bound: a share lapses counted from the read's start, for it may have been
    /// replaced right after; a larger one begins counted from the read's end, for it may have been
    /// written just before.
    pub fn apply(
        &mut self,
        allocation: &Allocation,
        revision: u64,
        read_at: Instant,
        now: Instant,
    ) {
        let minimum_bytes_per_s = self.minimum_bytes_per_s;
        if let Some(known) = &mut self.confirmed {
            if revision < known.revision {
                return;
            }
            let lapsed = read_at.duration_since(known.read_at) >= SHARE_TTL;
            if revision == known.revision && !lapsed {
                known.read_at = read_at;
                return;
            }
        }
        let listed = allocation.members.contains(&self.member);
        let allotted_bytes_per_s =
            if listed { allocation.share_bytes_per_s() } else { minimum_bytes_per_s };
        let smaller_bytes_per_s = allotted_bytes_per_s.min(self.rate_bytes_per_s(now));
        let larger_from = now + SHARE_TTL;
        self.confirmed = Some(Confirmed {
            revision,
            read_at,
            smaller_bytes_per_s,
            allotted_bytes_per_s,
            larger_from,
        });
    }

    /// The rate this member may use now.
    pub fn rate_bytes_per_s(&self, now: Instant) -> f64 {
        let minimum_bytes_per_s = self.minimum_bytes_per_s;
        let confirmed = self.confirmed.as_ref();
        confirmed
            .map_or(minimum_bytes_per_s, |known| known.rate_bytes_per_s(now, minimum_bytes_per_s))
    }
}

/// Waits shorter than this are none.
const ROUNDING: Duration = Duration::from_micros(1);

/// Spaces one member's reads so that they keep to its rate.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// Bytes that were taken and have not had their time yet.
    owed_bytes: f64,
    counted_at: Instant,
    /// The rate at the last call.
    rate_bytes_per_s: f64,
}

impl Pacer {
    /// A pacer with nothing outstanding.
    pub fn new(now: Instant) -> Self {
        Self { owed_bytes: 0.0, counted_at: now, rate_bytes_per_s: 0.0 }
    }

    /// Takes a read if all that was taken before has had its time; else tells how long that lasts
    /// at this rate. Since the last call the lower of both rates counts: when it changed is not known.
    pub fn try_acquire(&mut self, bytes: u64, rate_bytes_per_s: f64, now: Instant) -> Duration {
        let rate_bytes_per_s = rate_bytes_per_s.max(1.0);
        let since = now.duration_since(self.counted_at).as_secs_f64();
        let held_bytes_per_s = rate_bytes_per_s.min(self.rate_bytes_per_s);
        self.owed_bytes = (self.owed_bytes - since * held_bytes_per_s).max(0.0);
        (self.counted_at, self.rate_bytes_per_s) = (now, rate_bytes_per_s);
        // Times are rounded to nanoseconds; what is left of that is no reason to wait.
        let wait = Duration::from_secs_f64(self.owed_bytes / rate_bytes_per_s);
        if wait > ROUNDING {
            return wait;
        }
        self.owed_bytes += bytes as f64;
        Duration::ZERO
    }
}
