//! Who goes first when a service has less room than its callers ask for.
//!
//! The load it answers: a burst of requests that can wait fills the batch, and those that can't are
//! late with it. All entries of a group observe the same pass times, so a limit that is lower for
//! less urgent requests refuses these first everywhere without a message (DAGOR's level of admission,
//! with the signal that all entries share instead of one that is passed on). The limit of a request
//! is lowered only as far as more urgent ones arrive at the entry; without them it has all the room.
//!
//! A kind that is refused much more often than the others earns credit, and goes first for one
//! request once it has a whole one (deficit round robin), so no rank starves.

use crate::key::WorkspaceKey;
use crate::priority::Rank;
use crate::shares::{Decayed, Shares};
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Time constant of the arrivals by rank: longer than most gaps between the requests of one rank at
/// an entry, shorter than a burst.
const TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Share by which the limit of a request is lowered for each more urgent rank: about the spread of
/// limits, so that one rank is refused before the next. A shorter pass costs room, as a large part of
/// it is the same for few and many requests.
const STEP: f64 = 0.04;

/// Share of the arrivals from which a rank counts fully. The more urgent requests there are, the more
/// room they need at once.
const PRESENT_SHARE: f64 = 0.1;

/// Largest share by which limits are lowered for more urgent requests.
const MAX_RANK_CUT: f64 = 0.08;

/// Share by which the limit is lowered for what is above a workspace's share, more than for any rank:
/// it gives way to all requests of the others.
const SURPLUS_CUT: f64 = 0.2;

/// Share by which the limit is lowered for a caller that came back before the time it was told.
const EARLY_CUT: f64 = 0.1;

/// How often a rank is served at the least, as a share of how often all are; a quarter, and a margin
/// for chance.
const FLOOR: f64 = 0.35;

/// Most requests for which a rank has credit.
const MAX_CREDIT: f64 = 2.0;

/// Number of ranks above which those without arrivals are forgotten.
const MAX_RANKS: usize = 64;

/// Passes from a request's arrival at a server to its first event.
const PASSES_TO_FIRST_EVENT: f64 = 4.0;

/// Passes for which a request stays in the batch.
const PASSES_PER_REQUEST: f64 = 20.0;

/// Share of its latency goal that a request may spend waiting and on the way to its first event.
const WAITING_SHARE: f64 = 0.5;

/// Longest delay that a refused caller is told because others return before it.
const MAX_RETURN_DELAY: Duration = Duration::from_millis(2_000);

/// What is known of a request when it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its rank.
    pub rank: Rank,
    /// Its workspace; `None` if it has none.
    pub workspace: Option<WorkspaceKey>,
    /// Whether its caller came back before the time that it was told.
    pub is_early: bool,
    /// Random number between 0 and 1.
    pub draw: f64,
}

/// To whom a request gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivesWay {
    /// To no other.
    ToNone,
    /// To more urgent requests.
    ToUrgent,
    /// To the other workspaces, as it is above its own one's share.
    ToWorkspaces,
    /// To callers that did not come back early.
    ToPatient,
}

impl GivesWay {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ToNone => "none",
            Self::ToUrgent => "urgent",
            Self::ToWorkspaces => "workspaces",
            Self::ToPatient => "patient",
        }
    }
}

/// The conditions of one request, with the values that they were computed from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Share by which the limits of its service are lowered for the request.
    pub cut: f64,
    /// Share of the room for a rise of the pass time that is kept from the request, from 0 to 1.
    pub caution: f64,
    /// To whom it gives way.
    pub gives_way: GivesWay,
    /// Whether less urgent requests that give way to it have come lately.
    pub precedes: bool,
    /// Whether it has credit for being served less often than others.
    pub is_on_credit: bool,
    /// Share of more urgent requests among those of the last seconds at this entry.
    pub urgent_share: f64,
    /// Share of the workspace's requests that is surplus.
    pub surplus: f64,
    /// Time since the shares of workspaces were computed.
    pub shares_age: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    arrived: Decayed,
    credit: f64,
    /// Time until which the returns of refused callers are promised.
    promised_until: Duration,
}

/// The requests of one service at one entry.
///
/// ```
/// use flamingowheel_policy::{priority::Rank, urgency::{Arrival, Demand}};
/// use std::time::Duration;
/// let mut demand = Demand::default();
/// let arrival = |route| Arrival {
///     rank: Rank::new(None, route), workspace: None, is_early: false, draw: 0.5,
/// };
/// let now = Duration::from_secs(1);
/// assert_eq!(demand.arrive(&arrival(2), now).cut, 0.0);
/// demand.arrive(&arrival(0), now);
/// assert!(demand.arrive(&arrival(2), now).cut > 0.0);
/// assert_eq!(demand.arrive(&arrival(0), now).cut, 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Demand {
    kinds: BTreeMap<Rank, Kind>,
    arrived: Decayed,
    admitted: Decayed,
    shares: Shares,
}

impl Demand {
    /// Records a request and says under which conditions it is admitted.
    pub fn arrive(&mut self, arrival: &Arrival, now: Duration) -> Standing {
        let Arrival { rank, workspace, is_early, draw } = *arrival;
        let served = self.served_share(now);
        self.arrived.add(1.0, TIME_CONSTANT, now);
        let kind = self.kinds.entry(rank).or_default();
        kind.arrived.add(1.0, TIME_CONSTANT, now);
        kind.credit = (kind.credit + FLOOR * served).min(MAX_CREDIT);
        let has_credit = kind.credit >= 1.0;
        self.forget(now);
        let surplus = workspace.map_or(0.0, |key| self.shares.record(key, served, now));
        let (rank_cut, urgent_share) = self.rank_cut(rank, now);
        let precedes = self.precedes(rank, now);
        let is_on_credit = has_credit && rank_cut > 0.0;
        let (cut, gives_way) = if draw < surplus {
            (SURPLUS_CUT, GivesWay::ToWorkspaces)
        } else if is_early {
            (rank_cut + EARLY_CUT, GivesWay::ToPatient)
        } else if is_on_credit || rank_cut == 0.0 {
            (0.0, GivesWay::ToNone)
        } else {
            (rank_cut, GivesWay::ToUrgent)
        };
        let shares_age = self.shares.age(now).unwrap_or_default();
        let caution = if gives_way == GivesWay::ToNone { 0.0 } else { (cut / STEP).min(1.0) };
        Standing {
            cut,
            caution,
            gives_way,
            precedes,
            is_on_credit,
            urgent_share,
            surplus,
            shares_age,
        }
    }

    /// Records whether a request was admitted.
    pub fn settle(&mut self, rank: Rank, is_admitted: bool, now: Duration) {
        if !is_admitted {
            return;
        }
        self.admitted.add(1.0, TIME_CONSTANT, now);
        if let Some(kind) = self.kinds.get_mut(&rank) {
            kind.credit = (kind.credit - 1.0).max(0.0);
        }
    }

    /// Delay after which a refused caller should return, which could without others after `delay`.
    /// Callers of the same rank return one after the other, as every `interval` a place gets free,
    /// and after the more urgent ones. With one rank, the delay is as given.
    pub fn return_after(
        &mut self,
        rank: Rank,
        delay: Duration,
        interval: Duration,
        now: Duration,
    ) -> Duration {
        if self.kinds.len() < 2 {
            return delay;
        }
        let urgent = self.kinds.range(..=rank).map(|(_, kind)| kind.promised_until).max();
        let at = urgent.unwrap_or_default().max(now + delay);
        if at > now + MAX_RETURN_DELAY {
            return delay.max(MAX_RETURN_DELAY);
        }
        if let Some(kind) = self.kinds.get_mut(&rank) {
            kind.promised_until = at + interval;
        }
        at - now
    }

    /// Share of the requests of the last seconds that were admitted.
    fn served_share(&self, now: Duration) -> f64 {
        let arrived = self.arrived.value(TIME_CONSTANT, now);
        let admitted = self.admitted.value(TIME_CONSTANT, now);
        ((admitted + 1.0) / (arrived + 1.0)).min(1.0)
    }

    fn rank_cut(&self, rank: Rank, now: Duration) -> (f64, f64) {
        let all = self.arrived.value(TIME_CONSTANT, now).max(1.0);
        let more_urgent = self.kinds.range(..rank);
        let shares = more_urgent.map(|(_, kind)| kind.arrived.value(TIME_CONSTANT, now) / all);
        let (mut cut, mut urgent_share) = (0.0, 0.0);
        for share in shares {
            cut += STEP * (share / PRESENT_SHARE).min(1.0);
            urgent_share += share;
        }
        // A few requests that came long ago need no room.
        let cut = if cut < STEP / 10.0 { 0.0 } else { cut.min(MAX_RANK_CUT) };
        (cut, urgent_share)
    }

    /// Whether some of the recent requests are less urgent.
    fn precedes(&self, rank: Rank, now: Duration) -> bool {
        let all = self.arrived.value(TIME_CONSTANT, now).max(1.0);
        let mut less_urgent = self.kinds.range((Bound::Excluded(rank), Bound::Unbounded));
        less_urgent.any(|(_, kind)| kind.arrived.value(TIME_CONSTANT, now) / all > PRESENT_SHARE)
    }

    fn forget(&mut self, now: Duration) {
        if self.kinds.len() > MAX_RANKS {
            self.kinds.retain(|_, kind| kind.arrived.value(TIME_CONSTANT, now) > 0.05);
        }
    }
}

/// The time in which places get free, as of an entry's own requests in a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turnover {
    /// Ratio by which the group is too full; at most 1 if it has room.
    pub crowding: f64,
    /// Mean pass time, in milliseconds.
    pub pass_ms: f64,
    /// The entry's requests in the group.
    pub own_requests: u32,
}

impl Turnover {
    /// Time in which one of the entry's requests ends.
    pub fn interval(&self) -> Duration {
        let own_requests = f64::from(self.own_requests.max(1));
        Duration::from_secs_f64(PASSES_PER_REQUEST * self.pass_ms / own_requests / 1_000.0)
    }

    /// How long a refused request with this goal for its first event may wait at the entry behind
    /// `waiting` others; `None` if it could not be in time.
    ///
    /// ```
    /// use flamingowheel_policy::urgency::Turnover;
    /// let turnover = Turnover { crowding: 1.02, pass_ms: 60.0, own_requests: 20 };
    /// assert!(turnover.max_wait(1_000.0, 0).is_some());
    /// assert_eq!(turnover.max_wait(400.0, 0), None);
    /// assert_eq!(turnover.max_wait(1_000.0, 9), None);
    /// ```
    pub fn max_wait(&self, goal_ms: f64, waiting: u32) -> Option<Duration> {
        let most_ms = WAITING_SHARE * goal_ms - PASSES_TO_FIRST_EVENT * self.pass_ms;
        let until_room_ms = self.crowding.max(1.0).ln() * PASSES_PER_REQUEST * self.pass_ms;
        let behind_ms = f64::from(waiting) * self.interval().as_secs_f64() * 1_000.0;
        let is_in_time = most_ms > 0.0 && until_room_ms + behind_ms <= most_ms;
        is_in_time.then(|| Duration::from_secs_f64(most_ms / 1_000.0))
    }
}
