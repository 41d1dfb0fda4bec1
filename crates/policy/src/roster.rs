//! Tells an entry which part of a constant that all entries share is its own.
//!
//! The part is a lease: an entry holds it while it is listed, and until some time after it was last
//! known to be. All others count it for longer than that, so that the parts don't add up to more than
//! the whole, although lists are old or short, and entries drain that have left the list.

use std::collections::HashMap;
use std::time::Duration;

/// Time for which others count an entry that is no longer listed, in windows: one for which it holds
/// its part, one for what it spent, and one for late news.
const RETENTION_WINDOWS: u32 = 3;

/// The entries that this one has seen listed.
#[derive(Debug)]
pub struct Roster {
    own: String,
    window: Duration,
    /// When each entry was last seen listed.
    last_seen: HashMap<String, Duration>,
    /// When the newest list was complete in which this entry stood.
    last_listed: Option<Duration>,
    /// Least number of entries, as a process before this one knew it, and until when it counts.
    known_before: Option<(usize, Duration)>,
    is_leaving: bool,
    count: usize,
}

impl Roster {
    /// Creates the roster of the entry named `own`. `window` is the one in which parts are spent.
    pub fn new(own: &str, window: Duration) -> Self {
        Self {
            own: own.to_owned(),
            window,
            last_seen: HashMap::new(),
            last_listed: None,
            known_before: None,
            is_leaving: false,
            count: 0,
        }
    }

    /// Takes a list of entries that was complete `age` ago; `None` if it never was.
    ///
    /// ```
    /// use flamingowheel_policy::roster::Roster;
    /// use std::time::Duration;
    /// let (mut roster, age) = (Roster::new("a", Duration::from_secs(10)), Some(Duration::ZERO));
    /// roster.observe(["a", "b"], age, Duration::from_secs(1));
    /// assert_eq!(roster.part(Duration::from_secs(1)), 0.5);
    /// roster.observe(["a"], age, Duration::from_secs(2));
    /// assert_eq!(roster.part(Duration::from_secs(2)), 0.5, "b may still be draining");
    /// ```
    pub fn observe<'a, I>(&mut self, names: I, age: Option<Duration>, now: Duration)
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut is_listed = false;
        for name in names {
            is_listed |= name == self.own;
            match self.last_seen.get_mut(name) {
                Some(last_seen) => *last_seen = now,
                None => _ = self.last_seen.insert(name.to_owned(), now),
            }
        }
        if let Some(age) = age.filter(|_| is_listed) {
            self.last_listed = self.last_listed.max(Some(now.saturating_sub(age)));
        }
        let retention = self.retention();
        self.last_seen.retain(|_, last_seen| now.saturating_sub(*last_seen) < retention);
        let known_before = self.known_before.filter(|(_, until)| now < *until);
        self.count = self.last_seen.len().max(known_before.map_or(0, |(count, _)| count));
    }

    /// Takes the number of entries that a process before this one knew. The list may be short after
    /// many have ended at once.
    pub fn inherit(&mut self, count: usize, now: Duration) {
        self.known_before = Some((count, now + self.retention()));
        self.count = self.count.max(count);
    }

    /// Gives up this entry's part, which its successor will hold.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Number of entries that parts are computed for.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Whether this entry has given up its part.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Until when this entry holds its part, as far as is known.
    pub fn held_until(&self) -> Duration {
        match self.last_listed {
            Some(last) if !self.is_leaving => last + self.window,
            _ => Duration::ZERO,
        }
    }

    /// This entry's part, between 0 and 1.
    pub fn part(&self, now: Duration) -> f64 {
        if now < self.held_until() { self.whole_part() } else { 0.0 }
    }

    /// The part of each entry, whether this one holds it or not.
    pub fn whole_part(&self) -> f64 {
        1.0 / self.count.max(1) as f64
    }

    fn retention(&self) -> Duration {
        self.window * RETENTION_WINDOWS
    }
}
