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

use crate::key::{EntryKey, ServerKey, mix};
use crate::permits::Verdict;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time after asking for which a permit can be used.
pub const COLD_PERMIT_VALIDITY: Duration = Duration::from_millis(200);

/// Window of the limit.
pub(crate) const SECOND: Duration = Duration::from_secs(1);

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

/// Largest number of unused permits at a meter, as the time in which they accumulate, in seconds.
const BURST_S: f64 = 0.1;

/// Longest time for which an entry is told to wait.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(2);

/// A longer cold time than was known is told to all entries if it exceeds that by this.
const NEWS_THRESHOLD: Duration = Duration::from_millis(250);

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
    pub(crate) fn most_untold(&self, entries: usize) -> usize {
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
