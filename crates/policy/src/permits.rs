//! A backend server's limit for all entries together, kept by permits.
//!
//! One entry, the server's meter, grants permits at the rate of the limit. The others ask it for
//! each request that they would send there. Entries that never send to the server use up nothing,
//! and a limit far below one request per entry is kept as well as a high one. A permit expires soon
//! after it was asked for, so that one which is lost with its entry, or held by an entry that
//! stands still, lowers the rate for a moment only.
//!
//! The meter also broadcasts when a server becomes limited and when its limit has ended, so that
//! entries need not learn it from answers of their own.
//!
//! In any window `w` the server gets at most `limit × (w + 1 s)` requests and one bucket more. When
//! another entry becomes the meter, it starts with an empty bucket.

use crate::key::{EntryKey, ServerKey, mix};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time after asking for which a permit can be used.
pub const PERMIT_VALIDITY: Duration = Duration::from_secs(1);

/// Time without an answer after which an entry asks again.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Lowest rate of permits, in permits per second. A server is asked at this rate even if its limit
/// is lower: only its answers tell when the limit has ended.
const MIN_RATE_PER_S: f64 = 0.1;

/// Largest number of unused permits at a meter, as the time in which they accumulate, in seconds.
const BUCKET_S: f64 = 0.25;

/// The least that this number is: entries with few requests come back late for a permit.
const MIN_BUCKET: f64 = 2.0;

/// Longest time for which an entry is told to wait.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Time after which a limit is broadcast again, for entries that have started since.
const REPEAT_INTERVAL: Duration = Duration::from_secs(30);

/// Time without asks after which a meter forgets a server.
const RETENTION: Duration = Duration::from_secs(60);

/// The entry that grants the permits of a server: the same for all entries that know the same
/// `entries`. `None` if there are none.
///
/// ```
/// use flamingowheel_policy::key::ServerKey;
/// use flamingowheel_policy::permits::meter_of;
/// let server = ServerKey::from_name("s");
/// let meter = meter_of(server, ["a", "b", "c"]).unwrap();
/// let others = ["a", "b", "c"].into_iter().filter(|entry| *entry != meter);
/// assert_ne!(meter_of(server, others), Some(meter));
/// assert_eq!(meter_of(server, []), None);
/// ```
pub fn meter_of<'a, Entries>(server: ServerKey, entries: Entries) -> Option<&'a str>
where
    Entries: IntoIterator<Item = &'a str>,
{
    entries.into_iter().max_by_key(|entry| mix(server.0, EntryKey::from_name(entry).0))
}

/// What an entry knows of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Requests per second for all entries together; `None` if the server names no limit any more.
    pub limit_per_s: Option<f64>,
    /// Time since the answer that named it.
    pub age: Duration,
}

/// A meter's answer to an entry that asked for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// One request may be sent.
    Granted,
    /// None is left; the time after which there may be one.
    Wait(Duration),
    /// The server has no limit any more.
    Unlimited,
}

/// Grants the permits of the servers whose meter this entry is.
#[derive(Debug, Default)]
pub struct Meter {
    buckets: HashMap<ServerKey, Bucket>,
    swept_at: Duration,
}

#[derive(Debug)]
struct Bucket {
    limit_per_s: Option<f64>,
    /// When the server named the limit.
    stated_at: Duration,
    permits: f64,
    refilled_at: Duration,
    /// Entries that were told to wait since the last permit.
    waiting: u32,
    /// When the limit was last broadcast.
    broadcast_at: Duration,
}

impl Meter {
    /// Records an entry's report of a server's limit; the newest of all entries counts. Returns
    /// whether it is to be broadcast to all entries.
    ///
    /// ```
    /// use flamingowheel_policy::key::ServerKey;
    /// use flamingowheel_policy::permits::{LimitReport, Meter};
    /// use std::time::Duration;
    /// let (mut meter, server) = (Meter::default(), ServerKey::from_name("s"));
    /// let report = LimitReport { limit_per_s: Some(2.0), age: Duration::ZERO };
    /// assert!(meter.record_report(server, report, Duration::ZERO));
    /// assert!(!meter.record_report(server, report, Duration::from_secs(1)));
    /// ```
    pub fn record_report(&mut self, server: ServerKey, report: LimitReport, now: Duration) -> bool {
        self.forget_unused(now);
        let stated_at = now.saturating_sub(report.age);
        let bucket = self.buckets.entry(server).or_insert(Bucket {
            limit_per_s: None,
            stated_at,
            permits: 0.0,
            refilled_at: now,
            waiting: 0,
            broadcast_at: now,
        });
        if stated_at < bucket.stated_at {
            return false;
        }
        let is_changed = bucket.limit_per_s.is_some() != report.limit_per_s.is_some();
        let is_overdue =
            report.limit_per_s.is_some() && now >= bucket.broadcast_at + REPEAT_INTERVAL;
        (bucket.limit_per_s, bucket.stated_at) = (report.limit_per_s, stated_at);
        if is_changed || is_overdue {
            bucket.broadcast_at = now;
        }
        is_changed || is_overdue
    }

    /// Grants a permit of a server, or tells when there may be one.
    ///
    /// ```
    /// use flamingowheel_policy::key::ServerKey;
    /// use flamingowheel_policy::permits::{LimitReport, Meter, Verdict};
    /// use std::time::Duration;
    /// let (mut meter, server) = (Meter::default(), ServerKey::from_name("s"));
    /// assert_eq!(meter.acquire(server, Duration::ZERO), Verdict::Unlimited);
    /// meter.record_report(server, LimitReport { limit_per_s: Some(2.0), age: Duration::ZERO }, Duration::ZERO);
    /// let wait = Duration::from_millis(500);
    /// assert_eq!(meter.acquire(server, Duration::ZERO), Verdict::Wait(wait));
    /// assert_eq!(meter.acquire(server, wait), Verdict::Granted);
    /// ```
    pub fn acquire(&mut self, server: ServerKey, now: Duration) -> Verdict {
        self.buckets.get_mut(&server).map_or(Verdict::Unlimited, |bucket| bucket.take(now))
    }

    /// Number of servers with a bucket.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no server has a bucket.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn forget_unused(&mut self, now: Duration) {
        if now < self.swept_at + RETENTION {
            return;
        }
        self.swept_at = now;
        self.buckets.retain(|_, bucket| now < bucket.refilled_at + RETENTION);
    }
}

impl Bucket {
    fn take(&mut self, now: Duration) -> Verdict {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let Some(limit_per_s) = self.limit_per_s else {
            self.permits = 0.0;
            return Verdict::Unlimited;
        };
        let rate_per_s = limit_per_s.max(MIN_RATE_PER_S);
        let most = (rate_per_s * BUCKET_S).max(MIN_BUCKET);
        self.permits = (self.permits + elapsed.as_secs_f64() * rate_per_s).min(most);
        if self.permits >= 1.0 {
            self.permits -= 1.0;
            self.waiting = 0;
            return Verdict::Granted;
        }
        // Each waiting entry is told a later time, so that they don't all ask for the same permit.
        let missing = 1.0 - self.permits + f64::from(self.waiting);
        self.waiting = self.waiting.saturating_add(1);
        Verdict::Wait(Duration::from_secs_f64((missing / rate_per_s).min(MAX_WAIT.as_secs_f64())))
    }
}

/// A server's limit as one entry knows it, with the permits that it holds.
#[derive(Debug, Default)]
pub struct Permits {
    /// Requests per second for all entries together; `None` while the server has no limit.
    limit_per_s: Option<f64>,
    /// When the server named the limit, or named none any more.
    stated_at: Option<Duration>,
    /// When each unused permit expires.
    expiries: VecDeque<Duration>,
    /// When the ask without an answer was sent.
    asked_at: Option<Duration>,
    /// Before this time, the meter has no permit.
    wait_until: Duration,
}

impl Permits {
    /// Records what an answer of the server says, to a request that was sent at `sent_at`. An answer
    /// without a limit ends it only if the request was sent after the limit was known: answers may
    /// overtake each other. Returns whether the server has become limited or unlimited.
    pub fn record_stated(
        &mut self,
        limit_per_s: Option<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let is_old = self.stated_at.is_some_and(|stated_at| sent_at < stated_at);
        if limit_per_s.is_none() && (is_old || self.limit_per_s.is_none()) {
            return false;
        }
        self.set(limit_per_s, now)
    }

    /// Applies a report that the meter broadcasts, unless this entry knows something newer.
    pub fn apply_report(&mut self, report: LimitReport, now: Duration) {
        let stated_at = now.saturating_sub(report.age);
        if self.stated_at.is_none_or(|newest| newest < stated_at) {
            self.set(report.limit_per_s, stated_at);
        }
    }

    fn set(&mut self, limit_per_s: Option<f64>, stated_at: Duration) -> bool {
        let is_changed = self.limit_per_s.is_some() != limit_per_s.is_some();
        if limit_per_s.is_none() {
            *self = Self::default();
        }
        (self.limit_per_s, self.stated_at) = (limit_per_s, Some(stated_at));
        is_changed
    }

    /// What is known of the limit; `None` if nothing ever was.
    pub fn report(&self, now: Duration) -> Option<LimitReport> {
        let age = now.saturating_sub(self.stated_at?);
        Some(LimitReport { limit_per_s: self.limit_per_s, age })
    }

    /// Whether the server has a limit.
    pub fn is_limited(&self) -> bool {
        self.limit_per_s.is_some()
    }

    /// Whether a request may be sent: the server has no limit, or there is a permit.
    pub fn admits(&self, now: Duration) -> bool {
        self.limit_per_s.is_none() || self.expiries.iter().any(|expiry| now < *expiry)
    }

    /// Uses a permit, if the server has a limit. Returns whether a request may be sent.
    ///
    /// ```
    /// use flamingowheel_policy::permits::{Permits, Verdict};
    /// use std::time::Duration;
    /// let (mut permits, now) = (Permits::default(), Duration::ZERO);
    /// assert!(permits.take(now), "no limit");
    /// permits.record_stated(Some(1.0), now, now);
    /// assert!(!permits.take(now));
    /// assert!(permits.begin_ask(now));
    /// permits.answer(now, Verdict::Granted, now);
    /// assert!(permits.take(now));
    /// assert!(!permits.take(now));
    /// ```
    pub fn take(&mut self, now: Duration) -> bool {
        if self.limit_per_s.is_none() {
            return true;
        }
        while let Some(expiry) = self.expiries.pop_front() {
            if now < expiry {
                return true;
            }
        }
        false
    }

    /// Whether the meter can be asked: it has answered the last ask, and had no permit until now.
    pub fn can_ask(&self, now: Duration) -> bool {
        self.limit_per_s.is_some() && !self.is_asking(now) && now >= self.wait_until
    }

    /// Whether an ask may still be answered.
    pub fn is_asking(&self, now: Duration) -> bool {
        self.asked_at.is_some_and(|asked_at| now < asked_at + ASK_TIMEOUT)
    }

    /// Records that the meter is asked now, if it can be.
    pub fn begin_ask(&mut self, now: Duration) -> bool {
        let can_ask = self.can_ask(now);
        if can_ask {
            self.asked_at = Some(now);
        }
        can_ask
    }

    /// Records the meter's answer to the ask of `asked_at`. A permit counts from then on, since the
    /// meter counted it before its answer arrived.
    pub fn answer(&mut self, asked_at: Duration, verdict: Verdict, now: Duration) {
        if self.asked_at == Some(asked_at) {
            self.asked_at = None;
        }
        match verdict {
            Verdict::Granted => self.expiries.push_back(asked_at + PERMIT_VALIDITY),
            Verdict::Wait(wait) => self.wait_until = now + wait.min(MAX_WAIT),
            // A limit that was stated after the ask is newer than what the meter knew.
            Verdict::Unlimited if self.stated_at.is_some_and(|stated_at| stated_at > asked_at) => {}
            Verdict::Unlimited => _ = self.set(None, asked_at),
        }
    }

    /// Time until a request may be sent; zero if one may be sent now, and at least the time after
    /// which the meter can be asked again otherwise.
    pub fn wait(&self, now: Duration) -> Duration {
        if self.admits(now) {
            return Duration::ZERO;
        }
        self.wait_until.saturating_sub(now)
    }
}
