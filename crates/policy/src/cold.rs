//! Limit on the requests that a cold backend server gets in any second, summed over all entries.
//!
//! The load: a data centre comes back whole, or an evacuation ends, while other servers are full.
//! All entries prefer the same empty servers, which tolerate few requests until they are warm.
//!
//! One entry, the server's meter, grants all permits. A permit is short-lived, so that the requests
//! of any second stem from grants of hardly more than a second, which the meter counts one by one. A
//! new meter grants nothing until permits of the one before can no longer be used. A meter whose list
//! of entries is old may have a successor that it can't see: it grants only a part that is reserved
//! for this.
//!
//! Before an entry learns that a server is cold, it sends only a small number of requests a second
//! without a permit to a server that has not answered it lately.

use crate::key::{EntryKey, ServerKey, mix};
use crate::permits::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time after asking for which a permit can be used.
pub const COLD_PERMIT_VALIDITY: Duration = Duration::from_millis(200);

/// Window of the limit.
const SECOND: Duration = Duration::from_secs(1);

/// Time within which the permits are granted whose requests may arrive within one second.
const GRANT_WINDOW: Duration = SECOND.saturating_add(COLD_PERMIT_VALIDITY);

/// Age from which a meter's list of entries may lack its successor.
pub const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);

/// Time after which a new meter grants permits: by then the one before knows the new list or holds
/// its own for old, and its permits have been used or have expired.
const HANDOVER: Duration = MAX_LIST_AGE.saturating_add(GRANT_WINDOW);

/// Share of the limit for a meter with an old list.
const OLD_LIST_SHARE: f64 = 0.2;

/// Share of the limit for entries together that have not learnt that a server is cold.
const UNTOLD_SHARE: f64 = 0.4;

/// Time after an answer during which an entry takes the server to be as it was.
const ANSWER_FRESHNESS: Duration = Duration::from_secs(2);

/// Largest number of unused permits at a meter, as the time in which they accumulate, in seconds.
const BURST_S: f64 = 0.1;

/// Time without an answer after which an entry asks again.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time for which an entry is told to wait.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// A longer cold time than was known is told to all entries if it exceeds that by this.
const NEWS_THRESHOLD: Duration = Duration::from_millis(250);

/// Least share of its usual requests that a cold server gets.
const MIN_SHARE: f64 = 0.25;

/// Time without grants after which a meter forgets a warm server.
const RETENTION: Duration = Duration::from_secs(10);

/// What a cold server may get from all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdAllowance {
    /// Requests per second that it tolerates.
    pub rate_per_s: f64,
    /// Most requests in any second.
    pub most: u32,
}

impl ColdAllowance {
    /// The allowance of a server that tolerates `rate_per_s` requests per second, where a deployment
    /// permits `ratio` times that and `slack` more in any second.
    ///
    /// ```
    /// use flamingowheel_policy::cold::ColdAllowance;
    /// assert_eq!(ColdAllowance::new(26.0, 1.5, 5.0).most, 44);
    /// ```
    pub fn new(rate_per_s: f64, ratio: f64, slack: f64) -> Self {
        Self { rate_per_s, most: (rate_per_s * ratio + slack).max(1.0) as u32 }
    }

    /// Most grants of a meter in [`GRANT_WINDOW`].
    fn most_granted(&self, standing: Standing) -> usize {
        let reserved = (f64::from(self.most) * OLD_LIST_SHARE) as usize;
        match standing {
            Standing::Sole => self.most as usize - reserved,
            Standing::OldList => reserved,
            Standing::New(_) => 0,
        }
    }

    /// Most requests in a second that one of `entries` entries sends to a server of which it knows
    /// nothing new; one at least, since a server would never be found to be back otherwise.
    fn most_untold(&self, entries: usize) -> usize {
        ((f64::from(self.most) * UNTOLD_SHARE) as usize / entries.max(1)).max(1)
    }
}

/// How sure an entry is to be the only meter of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is, and has been for long enough.
    Sole,
    /// Another one was until lately; the time until its permits have expired.
    New(Duration),
    /// Its list of entries is old.
    OldList,
}

impl Standing {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sole => "sole",
            Self::New(_) => "new",
            Self::OldList => "old_list",
        }
    }
}

/// The lists of entries of the last seconds, by which an entry judges whether it is a server's only
/// meter.
#[derive(Debug)]
pub struct Tenure {
    own: EntryKey,
    /// Lists with the times from which they held, the newest at the end.
    lists: VecDeque<(Duration, Vec<EntryKey>)>,
}

impl Tenure {
    /// Creates the tenure of the entry named `own`. Before `now`, others may have been meters.
    pub fn new(own: &str, now: Duration) -> Self {
        Self { own: EntryKey::from_name(own), lists: VecDeque::from([(now, Vec::new())]) }
    }

    /// Takes the newest list of entries.
    pub fn observe<'a, Names>(&mut self, names: Names, now: Duration)
    where
        Names: IntoIterator<Item = &'a str>,
    {
        let mut list: Vec<EntryKey> = names.into_iter().map(EntryKey::from_name).collect();
        list.sort_unstable_by_key(|key| key.0);
        if self.lists.back().is_none_or(|(_, newest)| *newest != list) {
            self.lists.push_back((now, list));
        }
        let is_over = |lists: &VecDeque<(Duration, Vec<EntryKey>)>| {
            lists.get(1).is_some_and(|(since, _)| *since + HANDOVER <= now)
        };
        while is_over(&self.lists) {
            self.lists.pop_front();
        }
    }

    /// Whether this entry is the only meter of a server, with a list that was complete `list_age`
    /// ago.
    ///
    /// ```
    /// use flamingowheel_policy::cold::{Standing, Tenure};
    /// use flamingowheel_policy::key::ServerKey;
    /// use std::time::Duration;
    /// let (server, mut tenure) = (ServerKey::from_name("s"), Tenure::new("a", Duration::ZERO));
    /// tenure.observe(["a"], Duration::ZERO);
    /// assert!(matches!(tenure.standing(server, Duration::ZERO, Duration::ZERO), Standing::New(_)));
    /// let later = Duration::from_secs(5);
    /// tenure.observe(["a"], later);
    /// assert_eq!(tenure.standing(server, Duration::ZERO, later), Standing::Sole);
    /// assert_eq!(tenure.standing(server, later, later), Standing::OldList);
    /// ```
    pub fn standing(&self, server: ServerKey, list_age: Duration, now: Duration) -> Standing {
        let mut ends = self.lists.iter().skip(1).map(|(since, _)| *since);
        let mut other_until = None;
        for (_, list) in &self.lists {
            let end = ends.next().unwrap_or(now);
            if meter_key(server, list) != Some(self.own) {
                other_until = Some(end);
            }
        }
        let wait = other_until.map_or(Duration::ZERO, |end| (end + HANDOVER).saturating_sub(now));
        if !wait.is_zero() {
            Standing::New(wait)
        } else if list_age >= MAX_LIST_AGE {
            Standing::OldList
        } else {
            Standing::Sole
        }
    }
}

fn meter_key(server: ServerKey, entries: &[EntryKey]) -> Option<EntryKey> {
    entries.iter().copied().max_by_key(|entry| mix(server.0, entry.0))
}

/// Grants the permits of the cold servers whose meter this entry is.
#[derive(Debug, Default)]
pub struct ColdMeter {
    ledgers: HashMap<ServerKey, Ledger>,
}

/// The newest grants for one server.
#[derive(Debug, Default)]
struct Ledger {
    granted_at: VecDeque<Duration>,
    permits: f64,
    refilled_at: Duration,
    /// Entries that were told to wait since the last grant.
    waiting: u32,
    cold_until: Duration,
    /// When the grants were last reported to operators.
    reported_at: Duration,
}

/// The grants for one server, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Permits that count toward the limit now.
    pub granted: usize,
    /// Most of them.
    pub most: usize,
}

impl ColdMeter {
    /// Records that a server remains cold for `left`. Returns whether all entries are to be told.
    pub fn record_cold(&mut self, server: ServerKey, left: Duration, now: Duration) -> bool {
        self.ledgers.retain(|_, ledger| now < ledger.cold_until + RETENTION);
        let ledger = self.ledgers.entry(server).or_insert(Ledger {
            refilled_at: now,
            permits: 1.0,
            ..Ledger::default()
        });
        let is_news = now + left > ledger.cold_until + NEWS_THRESHOLD;
        ledger.cold_until = ledger.cold_until.max(now + left);
        is_news
    }

    /// Grants a permit of a server, or tells when there may be one.
    ///
    /// ```
    /// use flamingowheel_policy::cold::{ColdAllowance, ColdMeter, Standing};
    /// use flamingowheel_policy::key::ServerKey;
    /// use flamingowheel_policy::permits::Verdict;
    /// use std::time::Duration;
    /// let (mut meter, server) = (ColdMeter::default(), ServerKey::from_name("s"));
    /// let (allowance, now) = (ColdAllowance::new(2.0, 1.5, 0.0), Duration::from_secs(9));
    /// assert!(meter.record_cold(server, Duration::from_secs(3), now));
    /// assert_eq!(meter.acquire(server, allowance, Standing::Sole, now), Verdict::Granted);
    /// let wait = Verdict::Wait(Duration::from_millis(500));
    /// assert_eq!(meter.acquire(server, allowance, Standing::Sole, now), wait);
    /// ```
    pub fn acquire(
        &mut self,
        server: ServerKey,
        allowance: ColdAllowance,
        standing: Standing,
        now: Duration,
    ) -> Verdict {
        let ledger = self.ledgers.entry(server).or_default();
        ledger.acquire(allowance, standing, now)
    }

    /// The grants for a cold server, if they have not been reported for a second.
    pub fn room_to_report(
        &mut self,
        server: ServerKey,
        allowance: ColdAllowance,
        standing: Standing,
        now: Duration,
    ) -> Option<Room> {
        let ledger = self.ledgers.get_mut(&server)?;
        if now < ledger.reported_at + SECOND {
            return None;
        }
        ledger.reported_at = now;
        let (granted, most) = (ledger.granted_at.len(), allowance.most_granted(standing));
        Some(Room { granted, most })
    }

    /// Number of servers with a ledger.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Whether no server has a ledger.
    pub fn is_empty(&self) -> bool {
        self.ledgers.is_empty()
    }
}

impl Ledger {
    fn acquire(&mut self, allowance: ColdAllowance, standing: Standing, now: Duration) -> Verdict {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now;
        let rate_per_s = allowance.rate_per_s;
        let most = (rate_per_s * BURST_S).max(1.0);
        self.permits = (self.permits + elapsed.as_secs_f64() * rate_per_s).min(most);
        while self.granted_at.front().is_some_and(|at| *at + GRANT_WINDOW <= now) {
            self.granted_at.pop_front();
        }
        if let Standing::New(wait) = standing {
            return Verdict::Wait(wait);
        }
        let most_granted = allowance.most_granted(standing);
        if self.granted_at.len() >= most_granted {
            let oldest = self.granted_at.front();
            let wait = oldest.map_or(MAX_WAIT, |at| *at + GRANT_WINDOW - now);
            return Verdict::Wait(wait.min(MAX_WAIT));
        }
        // A server that may be cold, but is not known to be, needs the limit only, not the pace.
        let is_paced = now < self.cold_until;
        if self.permits >= 1.0 || !is_paced {
            self.permits = (self.permits - 1.0).max(0.0);
            self.waiting = 0;
            self.granted_at.push_back(now);
            return Verdict::Granted;
        }
        // Each waiting entry is told a later time, so that they don't all ask for the same permit.
        let missing = 1.0 - self.permits + f64::from(self.waiting);
        self.waiting = self.waiting.saturating_add(1);
        let wait_s = (missing / rate_per_s).min(MAX_WAIT.as_secs_f64());
        Verdict::Wait(Duration::from_secs_f64(wait_s))
    }
}

/// What an entry knows of a server's warmth, with the permits that it holds.
#[derive(Debug, Default)]
pub struct Warmth {
    /// `None` for servers that need no time to warm up.
    allowance: Option<ColdAllowance>,
    /// Most requests in a second while nothing new is known of the server.
    most_untold: usize,
    /// Whether it was cold when it was first listed.
    is_new: bool,
    cold_since: Duration,
    cold_until: Duration,
    answered_at: Option<Duration>,
    /// When the newest requests were sent without a permit.
    sent_at: VecDeque<Duration>,
    /// When each unused permit expires.
    expiries: VecDeque<Duration>,
    asked_at: Option<Duration>,
    wait_until: Duration,
}

impl Warmth {
    /// Sets what the server may get while cold, and the number of entries that share it.
    pub fn set_allowance(&mut self, allowance: Option<ColdAllowance>, entries: usize) {
        self.allowance = allowance;
        self.most_untold = allowance.map_or(0, |allowance| allowance.most_untold(entries));
    }

    /// Records that the server has just started, and may be slow while it is cold.
    pub fn record_start(&mut self) {
        self.is_new = true;
    }

    /// Share of its usual requests that the server gets: grows from its start until it is warm.
    ///
    /// ```
    /// use flamingowheel_policy::cold::{ColdAllowance, Warmth};
    /// use std::time::Duration;
    /// let (mut warmth, now) = (Warmth::default(), Duration::ZERO);
    /// warmth.set_allowance(Some(ColdAllowance::new(2.0, 1.5, 0.0)), 1);
    /// warmth.record_cold(Duration::from_secs(4), now);
    /// assert_eq!(warmth.share(now), 1.0, "cold, but as fast as before");
    /// warmth.record_start();
    /// assert_eq!(warmth.share(now), 0.25);
    /// assert_eq!(warmth.share(Duration::from_secs(2)), 0.5);
    /// ```
    pub fn share(&self, now: Duration) -> f64 {
        if !self.is_new || !self.is_cold(now) {
            return 1.0;
        }
        let whole = self.cold_until.saturating_sub(self.cold_since).as_secs_f64();
        let passed = now.saturating_sub(self.cold_since).as_secs_f64();
        (passed / whole).max(MIN_SHARE)
    }

    /// What the server may get; `None` if it needs no time to warm up.
    pub fn allowance(&self) -> Option<ColdAllowance> {
        self.allowance
    }

    /// Records that the server remains cold for `left`. One that was said to be cold for longer
    /// remains so. Returns whether it was taken for warm.
    pub fn record_cold(&mut self, left: Duration, now: Duration) -> bool {
        let was_cold = self.is_cold(now);
        if now >= self.cold_until {
            self.cold_since = now;
        }
        self.cold_until = self.cold_until.max(now + left);
        !was_cold && self.is_cold(now)
    }

    /// Whether the server is cold, as far as is known.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.allowance.is_some() && now < self.cold_until
    }

    /// Time for which the server remains cold.
    pub fn left(&self, now: Duration) -> Duration {
        if self.is_cold(now) { self.cold_until - now } else { Duration::ZERO }
    }

    /// Records that a request was answered.
    pub fn record_answered(&mut self, now: Duration) {
        self.answered_at = Some(now);
    }

    /// Records that the server could not be reached: it may come back cold.
    pub fn record_unreachable(&mut self) {
        self.answered_at = None;
    }

    /// Whether a request may be sent.
    pub fn admits(&self, now: Duration) -> bool {
        !self.needs_permit(now) || self.expiries.iter().any(|expiry| now < *expiry)
    }

    /// Whether the server is cold, or may be and has got what this entry sends it unasked.
    fn needs_permit(&self, now: Duration) -> bool {
        let is_unasked = self.is_usual(now) || self.untold(now) < self.most_untold;
        self.is_cold(now) || !is_unasked
    }

    /// Uses a permit if one is needed. Returns whether a request may be sent.
    ///
    /// ```
    /// use flamingowheel_policy::cold::{ColdAllowance, Warmth};
    /// use flamingowheel_policy::permits::Verdict;
    /// use std::time::Duration;
    /// let (mut warmth, now) = (Warmth::default(), Duration::ZERO);
    /// assert!(warmth.take(now), "needs no time to warm up");
    /// warmth.set_allowance(Some(ColdAllowance::new(2.0, 1.5, 0.0)), 1);
    /// warmth.record_cold(Duration::from_secs(3), now);
    /// assert!(!warmth.take(now));
    /// assert!(warmth.begin_ask(now));
    /// warmth.answer(now, Verdict::Granted, now);
    /// assert!(warmth.take(now));
    /// assert!(!warmth.take(now));
    /// ```
    pub fn take(&mut self, now: Duration) -> bool {
        if self.allowance.is_none() {
            return true;
        }
        if !self.needs_permit(now) {
            self.sent_at.push_back(now);
            while self.sent_at.len() > self.most_untold {
                self.sent_at.pop_front();
            }
            return true;
        }
        while let Some(expiry) = self.expiries.pop_front() {
            if now < expiry {
                return true;
            }
        }
        false
    }

    /// Whether nothing speaks for a change: the server needs no time to warm up, or has answered
    /// lately.
    fn is_usual(&self, now: Duration) -> bool {
        self.allowance.is_none() || self.answered_at.is_some_and(|at| now < at + ANSWER_FRESHNESS)
    }

    /// Number of the newest requests without a permit that were sent less than a second ago.
    fn untold(&self, now: Duration) -> usize {
        self.sent_at.iter().filter(|at| now < **at + SECOND).count()
    }

    /// Whether the meter can be asked.
    pub fn can_ask(&self, now: Duration) -> bool {
        self.needs_permit(now) && !self.is_asking(now) && now >= self.wait_until
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

    /// Records the meter's answer to the ask of `asked_at`.
    pub fn answer(&mut self, asked_at: Duration, verdict: Verdict, now: Duration) {
        if self.asked_at == Some(asked_at) {
            self.asked_at = None;
        }
        match verdict {
            Verdict::Granted => self.expiries.push_back(asked_at + COLD_PERMIT_VALIDITY),
            Verdict::Wait(wait) => self.wait_until = now + wait.min(MAX_WAIT),
            Verdict::Unlimited => {}
        }
    }

    /// Time until a request may be sent or the meter be asked.
    pub fn wait(&self, now: Duration) -> Duration {
        if self.admits(now) {
            return Duration::ZERO;
        }
        self.wait_until.saturating_sub(now)
    }
}
