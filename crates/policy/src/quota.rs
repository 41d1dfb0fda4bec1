//! Decides how often one entry may retry requests of a service, so that all entries together stay
//! within what the deployment allows in any window: a share of the service's requests, and a constant.
//!
//! Each entry decides alone. Its part of the share follows its own requests: in every window, a
//! weighted mean of those in the window and in the one before it. Weights that are the same
//! everywhere make the parts add up, wherever the requests go. Its part of the constant comes from
//! [`crate::roster`] and [`crate::claim`].

use std::collections::VecDeque;
use std::time::Duration;

/// Buckets of a window. Retries and requests of one bucket count as made at the same time, the
/// former as late, the latter as early as the bucket allows.
const WINDOW_BUCKETS: usize = 20;

/// Buckets that are kept: of a window and the one before it, and the present one.
const AGES: usize = 2 * WINDOW_BUCKETS + 1;

/// Part of the allowance that is used. The rest is for entries that learn of a change of the fleet
/// later than others.
const USED_PART: f64 = 0.9;

/// Weight of the requests in a window, against those in the window before it.
const PRESENT_WEIGHT: f64 = 0.8;

/// The retries that the deployment allows for each service, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Retries per request of the service.
    pub ratio: f64,
    /// Additional retries in each window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// How urgently a retry is needed. Later ones leave room for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// The caller has received a part of the answer.
    Begun,
    /// The request has been sent once.
    Second,
    /// The request has been sent more often.
    Further,
}

impl Urgency {
    /// Part of the allowance up to which such a retry may use it.
    fn usable_part(self) -> f64 {
        match self {
            Self::Begun => 1.0,
            Self::Second => 0.97,
            Self::Further => 0.8,
        }
    }
}

/// What a retry was allowed or denied by: the span that leaves the least room.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Account {
    /// Length of the span, up to a window.
    pub span: Duration,
    /// Weighted number of requests that count for the span.
    pub requests: f64,
    /// Retries in the span, with the present one if it is allowed.
    pub retries: u32,
    /// Retries that may arrive at any time, as their outcome is not known yet.
    pub pending: u32,
    /// The most retries in the span.
    pub allowed: f64,
}

impl Account {
    /// Retries that are left.
    pub fn room(&self) -> f64 {
        (self.allowed - f64::from(self.retries + self.pending)).max(0.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service at one entry.
#[derive(Clone, Debug)]
pub struct Quota {
    allowance: Allowance,
    /// The newest buckets, oldest first, without those in which nothing was recorded.
    buckets: VecDeque<Bucket>,
    bucket_length: Duration,
    pending: u32,
}

impl Quota {
    /// Creates a quota without requests.
    pub fn new(allowance: Allowance) -> Self {
        let bucket_length = allowance.window / WINDOW_BUCKETS as u32;
        Self { allowance, buckets: VecDeque::new(), bucket_length, pending: 0 }
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes a retry, if there is room. `share` is this entry's share of the constant. [`Quota::finish`] must follow when it has arrived or never
    /// will: until then it counts for all windows.
    ///
    /// ```
    /// use flamingowheel_policy::quota::{Allowance, Quota, Urgency};
    /// use std::time::Duration;
    /// let allowance = Allowance { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
    /// let (mut quota, now) = (Quota::new(allowance), Duration::ZERO);
    /// let granted = (0..10).filter(|_| quota.try_take(Urgency::Begun, 0.5, now).is_ok()).count();
    /// assert_eq!(granted, 4);
    /// ```
    ///
    /// # Errors
    ///
    /// What left no room.
    pub fn try_take(
        &mut self,
        urgency: Urgency,
        share: f64,
        now: Duration,
    ) -> Result<Account, Account> {
        let account = self.account(share, now);
        let needed = f64::from(account.retries + account.pending + 1);
        if needed > account.allowed * urgency.usable_part() {
            return Err(account);
        }
        self.pending += 1;
        Ok(Account { pending: self.pending, ..account })
    }

    /// Records that a retry that was taken has arrived, or never will.
    pub fn finish(&mut self, now: Duration) {
        self.pending = self.pending.saturating_sub(1);
        self.current_bucket(now).retries += 1;
    }

    /// The span that leaves the least room, among those that end now and are no longer than a window.
    fn account(&mut self, share: f64, now: Duration) -> Account {
        let newest = self.current_bucket(now).index;
        let mut requests_until = [0; AGES + 1];
        let mut retries = [0; AGES];
        for bucket in &self.buckets {
            let age = (newest - bucket.index) as usize;
            requests_until[age + 1] = bucket.requests;
            retries[age] = bucket.retries;
        }
        for age in 0..AGES {
            requests_until[age + 1] += requests_until[age];
        }
        let constant = self.allowance.slack * share;
        let (mut least, mut least_room, mut least_age) = (Account::default(), f64::INFINITY, 0);
        let mut retries_in_span = 0;
        for age in 0..=WINDOW_BUCKETS {
            retries_in_span += retries[age];
            // A window that begins late in its first bucket has none of that bucket's requests, and
            // the window before it none of the bucket a window earlier.
            let present = requests_until[age];
            let before = requests_until[age + WINDOW_BUCKETS] - present;
            let requests =
                PRESENT_WEIGHT * f64::from(present) + (1.0 - PRESENT_WEIGHT) * f64::from(before);
            let allowed = USED_PART * (self.allowance.ratio * requests + constant);
            let room = allowed - f64::from(retries_in_span);
            if room < least_room {
                (least_room, least_age) = (room, age);
                least = Account { requests, retries: retries_in_span, allowed, ..least };
            }
        }
        let span = self.bucket_length * least_age as u32;
        Account { span, pending: self.pending, ..least }
    }

    /// Retries that may arrive in a window that ends now or later.
    pub fn spent(&self, now: Duration) -> u32 {
        let oldest = self.bucket_index(now).saturating_sub(WINDOW_BUCKETS as u64 + 1);
        let newer = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        self.pending + newer.map(|bucket| bucket.retries).sum::<u32>()
    }

    /// The most retries for which a share of the constant alone leaves room.
    pub fn allowed_by_constant(&self, share: f64) -> f64 {
        USED_PART * self.allowance.slack * share
    }

    fn bucket_index(&self, at: Duration) -> u64 {
        // 64 bits of microseconds are enough, and divide faster than the 128 of nanoseconds.
        at.as_micros() as u64 / (self.bucket_length.as_micros() as u64).max(1)
    }

    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        let index = self.bucket_index(now);
        while self.buckets.front().is_some_and(|bucket| bucket.index + AGES as u64 <= index) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.index < index) {
            self.buckets.push_back(Bucket { index, requests: 0, retries: 0 });
        }
        let newest = self.buckets.len() - 1;
        &mut self.buckets[newest]
    }
}
