//! What an entry knows of a backend server's warmth, with the permits that it holds while the server is
//! cold.
//!
//! Before an entry learns that a server is cold, it sends only a small number of requests a second
//! without a permit to a server that has not answered it lately.

use crate::cold::{COLD_PERMIT_VALIDITY, ColdAllowance, MAX_WAIT, SECOND};
use crate::permits::Verdict;
use std::collections::VecDeque;
use std::time::Duration;

/// Time after an answer during which an entry takes the server to be as it was.
const ANSWER_FRESHNESS: Duration = Duration::from_secs(2);

/// Time without an answer after which an entry asks again.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Least share of its usual requests that a cold server gets.
const MIN_SHARE: f64 = 0.25;

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
    /// use flamingowheel_policy::{cold::ColdAllowance, warmth::Warmth};
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
    /// use flamingowheel_policy::{cold::ColdAllowance, warmth::Warmth};
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
