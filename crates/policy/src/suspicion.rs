//! Detection of requests that crash the backend servers that run them.
//!
//! Every request that was running when a backend server crashed becomes a suspect under its
//! fingerprint, since resends have new ids. After crashes on two different backend servers it is
//! refused for a period. One finished run clears a suspect.
//!
//! Where a process controls a whole backend server, a suspect runs alone, so that only it can have
//! caused a second crash. Where other requests run beside it, two crashes may be a coincidence: if
//! another suspect shares them, or other servers crash as well, the request is held back for some
//! seconds and tried once more. A request that finishes often is not suspected at all.
//!
//! The record of a fingerprint is a pair of grow-only sets, crashes and cleared crashes, each
//! element with an expiry time. A merge takes the unions and the later expiry time, so it is
//! commutative, associative and idempotent, and processes may exchange records in any order.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::{Fingerprint, ServerKey, mix};

/// Settings of a [`SuspectTracker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionConfig {
    /// How long a crash counts against a request. Crashes are shared with other processes only if
    /// this is above two minutes.
    pub period: Duration,
    /// Most fingerprints kept. Beyond this the one that expires first is evicted, refused requests
    /// last.
    pub max_fingerprints: usize,
    /// What runs beside a suspect.
    pub isolation: Isolation,
}

impl Default for SuspicionConfig {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(3_600),
            max_fingerprints: 8_192,
            isolation: Isolation::Exclusive,
        }
    }
}

/// What runs on a backend server beside a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Isolation {
    /// Nothing: a second crash proves that the suspect causes them.
    Exclusive,
    /// Other requests, other suspects among them.
    Shared,
}

/// Crashes kept per fingerprint. Two on different servers already lead to a refusal.
const MAX_CRASHES: usize = 8;
/// Remaining times are rounded down to a multiple of this when sent. Otherwise each exchange would
/// extend them by its delay, and two processes could keep a record alive forever by exchanging it.
const REMAINING_QUANTUM_S: u64 = 60;

/// Crashes after which a request is refused even if they may be a coincidence.
const CERTAIN_CRASHES: usize = 3;

/// Shortest and longest time for which a request is held back whose crashes may be a coincidence.
/// Requests that crashed together are tried again at different times.
const RECHECK_TIME: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(8));

/// Time after a crash in which all processes learn which requests were running.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// Time between the turns of two requests that were running at the same crash, and the longest wait
/// for a turn.
const TURN_INTERVAL: Duration = Duration::from_millis(120);
const MAX_TURN_WAIT: Duration = Duration::from_millis(600);

/// Time around a crash in which crashes without the request point to another cause.
const COINCIDENCE_WINDOW: Duration = Duration::from_secs(10);

/// Such crashes that make its own ones a possible coincidence.
const COINCIDENT_CRASHES: usize = 2;

/// Time for which a finished run counts for the request.
const FINISH_WINDOW: Duration = Duration::from_secs(10);

/// Finished runs that outweigh one crash.
const FINISHES_PER_CRASH: u32 = 3;

/// Most fingerprints whose finished runs are counted.
const MAX_FINISHED: usize = 4_096;

/// Identifies one crash of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The backend server that crashed.
    pub server: ServerKey,
    /// Random number from the agent that distinguishes the crashes of one server.
    pub number: u64,
}

/// How a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Without restrictions.
    Clear,
    /// Only while no other request runs on the backend server, on a server that it has not crashed,
    /// and one copy at a time.
    Alone {
        /// Backend servers that crashed while it ran.
        crashed: Vec<ServerKey>,
    },
    /// Not at all.
    Refused {
        /// Time after which it may be sent again at the earliest.
        retry_after: Duration,
    },
}

/// A crash in a [`SuspectRecord`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Identifies the crash over all processes.
    pub crash: CrashId,
    /// A later finished run of the request showed that it did not cause this crash.
    pub cleared: bool,
    /// Time until the record expires.
    pub remaining_s: u64,
}

/// A fingerprint's record, as processes exchange it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the suspect request.
    pub fingerprint: Fingerprint,
    /// Crashes that happened while the request ran; at most 8 are merged.
    pub crashes: Vec<CrashRecord>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CrashState {
    cleared: bool,
    expires_at: Duration,
    seen_at: Duration,
}

/// Finished runs of one request.
#[derive(Clone, Copy, Debug)]
struct Finishes {
    /// In the window that began at `since`.
    count: u32,
    /// In the window before.
    previous: u32,
    since: Duration,
}

type Crashes = BTreeMap<CrashId, CrashState>;

/// Suspect requests known to one process.
///
/// ```
/// use flamingowheel_policy::key::{Fingerprint, ServerKey};
/// use flamingowheel_policy::suspicion::{CrashId, SuspectTracker, SuspicionConfig, Verdict};
/// use std::time::Duration;
/// let mut suspects = SuspectTracker::new(SuspicionConfig::default());
/// let request = Fingerprint(1);
/// let crash = CrashId { server: ServerKey(1), number: 9 };
/// suspects.on_crash(crash, &[request], Duration::ZERO);
/// assert!(matches!(suspects.verdict(request, Duration::ZERO), Verdict::Alone { .. }));
/// suspects.on_finished(request, Duration::ZERO);
/// assert_eq!(suspects.verdict(request, Duration::ZERO), Verdict::Clear);
/// ```
#[derive(Clone, Debug)]
pub struct SuspectTracker {
    config: SuspicionConfig,
    suspects: HashMap<Fingerprint, Crashes>,
    changed: HashSet<Fingerprint>,
    finished: HashMap<Fingerprint, Finishes>,
}

impl SuspectTracker {
    /// Starts without suspects.
    #[must_use]
    pub fn new(config: SuspicionConfig) -> Self {
        Self { config, suspects: HashMap::new(), changed: HashSet::new(), finished: HashMap::new() }
    }

    /// Records that a backend server crashed while these requests were running.
    pub fn on_crash(&mut self, crash: CrashId, running: &[Fingerprint], now: Duration) {
        let expires_at = now + self.config.period;
        for fingerprint in running {
            let state = CrashState { cleared: false, expires_at, seen_at: now };
            self.merge_crash(*fingerprint, crash, state, now);
        }
    }

    /// Records that a run of the request finished, which clears it of all crashes known so far.
    /// Returns whether it was a suspect.
    pub fn on_finished(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        if self.config.isolation == Isolation::Shared {
            self.count_finish(fingerprint, now);
        }
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return false };
        let expires_at = now + self.config.period;
        let mut is_suspect = false;
        for state in crashes.values_mut().filter(|state| !state.cleared) {
            *state = CrashState { cleared: true, expires_at, ..*state };
            is_suspect = true;
        }
        if is_suspect {
            self.changed.insert(fingerprint);
        }
        is_suspect
    }

    /// How a request may run now. Where suspects run alone, refusing a request renews its record for
    /// another period: otherwise a caller that keeps sending it would crash two backend servers per
    /// period.
    pub fn verdict(&mut self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return Verdict::Clear };
        crashes.retain(|_, state| state.expires_at > now);
        let crashed = crashed_servers(crashes);
        match (crashed.len(), self.config.isolation) {
            (0, _) => Verdict::Clear,
            (1, _) => Verdict::Alone { crashed },
            (_, Isolation::Exclusive) => {
                let expires_at = now + self.config.period;
                crashes.values_mut().for_each(|state| state.expires_at = expires_at);
                self.changed.insert(fingerprint);
                Verdict::Refused { retry_after: self.config.period }
            }
            (_, Isolation::Shared) => self.shared_verdict(fingerprint, crashed, now),
        }
    }

    /// Time until the turn of a suspect beside which others run. Requests that were running at the same
    /// crash are sent again one after the other, so that few of them meet the one that caused it.
    #[must_use]
    pub fn turn(&self, fingerprint: Fingerprint, now: Duration) -> Duration {
        let Some(crashes) = self.suspects.get(&fingerprint) else { return Duration::ZERO };
        let suspicious = crashes.iter().filter(|(_, state)| !state.cleared);
        let Some((crash, last)) = suspicious.max_by_key(|(_, state)| state.seen_at) else {
            return Duration::ZERO;
        };
        if now >= last.seen_at + MAX_TURN_WAIT {
            return Duration::ZERO;
        }
        let is_earlier = |(other, crashes): &(&Fingerprint, &Crashes)| {
            **other < fingerprint && crashes.get(crash).is_some_and(|state| !state.cleared)
        };
        let earlier = self.suspects.iter().filter(is_earlier).count();
        let wait =
            SETTLE_TIME + TURN_INTERVAL.saturating_mul(u32::try_from(earlier).unwrap_or(u32::MAX));
        (last.seen_at + wait.min(MAX_TURN_WAIT)).saturating_sub(now)
    }

    /// The verdict on a request with two crashes or more, beside which others were running.
    fn shared_verdict(
        &self,
        fingerprint: Fingerprint,
        crashed: Vec<ServerKey>,
        now: Duration,
    ) -> Verdict {
        let Some(crashes) = self.suspects.get(&fingerprint) else { return Verdict::Clear };
        let suspicious = || crashes.values().filter(|state| !state.cleared);
        if crashed.len() < CERTAIN_CRASHES && self.may_be_coincidence(fingerprint, crashes) {
            let last = suspicious().map(|state| state.seen_at).max().unwrap_or(now);
            let retry_at = last + recheck_time(fingerprint);
            return match retry_at.checked_sub(now).filter(|left| !left.is_zero()) {
                Some(retry_after) => Verdict::Refused { retry_after },
                None => Verdict::Alone { crashed },
            };
        }
        let mut expiry: Vec<Duration> = suspicious().map(|state| state.expires_at).collect();
        expiry.sort_unstable();
        let second_last = expiry.iter().rev().nth(1).copied().unwrap_or(now);
        Verdict::Refused { retry_after: second_last.saturating_sub(now) }
    }

    /// Whether another suspect shares all crashes of a request, or several servers crashed without
    /// it at about the same time.
    fn may_be_coincidence(&self, fingerprint: Fingerprint, crashes: &Crashes) -> bool {
        let own: Vec<CrashId> =
            crashes.iter().filter(|(_, state)| !state.cleared).map(|(crash, _)| *crash).collect();
        let Some(last) = own.iter().filter_map(|crash| crashes.get(crash)).map(|s| s.seen_at).max()
        else {
            return false;
        };
        let mut others: HashSet<CrashId> = HashSet::new();
        for (_, theirs) in self.suspects.iter().filter(|(other, _)| **other != fingerprint) {
            let shares = |crash| theirs.get(crash).is_some_and(|state| !state.cleared);
            if own.iter().all(shares) {
                return true;
            }
            let near = theirs.iter().filter(|(crash, state)| {
                !crashes.contains_key(crash) && state.seen_at.abs_diff(last) <= COINCIDENCE_WINDOW
            });
            others.extend(near.map(|(crash, _)| *crash));
        }
        others.len() >= COINCIDENT_CRASHES
    }

    fn count_finish(&mut self, fingerprint: Fingerprint, now: Duration) {
        let is_new = !self.finished.contains_key(&fingerprint);
        if is_new && self.finished.len() >= MAX_FINISHED {
            self.finished.retain(|_, finishes| now.saturating_sub(finishes.since) < FINISH_WINDOW);
            if self.finished.len() >= MAX_FINISHED {
                return;
            }
        }
        let new = Finishes { count: 0, previous: 0, since: now };
        let finishes = self.finished.entry(fingerprint).or_insert(new);
        let elapsed = now.saturating_sub(finishes.since);
        if elapsed >= FINISH_WINDOW {
            let previous = if elapsed < 2 * FINISH_WINDOW { finishes.count } else { 0 };
            *finishes = Finishes { previous, ..new };
        }
        finishes.count = finishes.count.saturating_add(1);
    }

    /// Whether finished runs outweigh a crash; they are used up by it.
    fn outweigh_crash(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let Some(finishes) = self.finished.get_mut(&fingerprint) else { return false };
        let is_recent = now.saturating_sub(finishes.since) < FINISH_WINDOW;
        let total = finishes.count.saturating_add(finishes.previous);
        let Some(left) = total.checked_sub(FINISHES_PER_CRASH).filter(|_| is_recent) else {
            return false;
        };
        (finishes.count, finishes.previous) = (left, 0);
        true
    }

    /// Returns the records that changed since the last call, to be sent to the other processes.
    pub fn drain_changes(&mut self, now: Duration) -> Vec<SuspectRecord> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|fingerprint| self.record(fingerprint, now)).collect()
    }

    /// All records, for a process that has just started.
    #[must_use]
    pub fn records(&self, now: Duration) -> Vec<SuspectRecord> {
        self.suspects.keys().filter_map(|fingerprint| self.record(*fingerprint, now)).collect()
    }

    /// Merges the records of another process.
    pub fn merge(&mut self, records: &[SuspectRecord], now: Duration) {
        for record in records {
            for crash in record.crashes.iter().take(MAX_CRASHES) {
                let remaining = Duration::from_secs(crash.remaining_s).min(self.config.period);
                let expires_at = now + remaining;
                let state = CrashState { cleared: crash.cleared, expires_at, seen_at: now };
                self.merge_crash(record.fingerprint, crash.crash, state, now);
            }
        }
    }

    /// Hash of all records, the same for two processes that know the same.
    #[must_use]
    pub fn digest(&self, now: Duration) -> u64 {
        let mut digest = 0;
        for (fingerprint, crashes) in &self.suspects {
            for (crash, state) in crashes.iter().filter(|(_, state)| state.expires_at > now) {
                let key = mix(crash.server.0, crash.number);
                digest ^= mix(fingerprint.seed(), mix(key, u64::from(state.cleared)));
            }
        }
        digest
    }

    /// Number of fingerprints kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// The record of a request; `None` if it is no suspect.
    #[must_use]
    pub fn record(&self, fingerprint: Fingerprint, now: Duration) -> Option<SuspectRecord> {
        let crashes = self.suspects.get(&fingerprint)?.iter();
        let crashes = crashes.map(|(crash, state)| CrashRecord {
            crash: *crash,
            cleared: state.cleared,
            remaining_s: floor_to_quantum_s(state.expires_at.saturating_sub(now)),
        });
        Some(SuspectRecord { fingerprint, crashes: crashes.collect() })
    }

    fn merge_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        state: CrashState,
        now: Duration,
    ) {
        if state.expires_at <= now {
            return;
        }
        let is_known = self.suspects.get(&fingerprint).is_some_and(|c| c.contains_key(&crash));
        let is_outweighed = !is_known && !state.cleared && self.outweigh_crash(fingerprint, now);
        let state = CrashState { cleared: state.cleared || is_outweighed, ..state };
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full(now);
        }
        let crashes = self.suspects.entry(fingerprint).or_default();
        // All processes keep the same ones, otherwise two would answer each other endlessly.
        let is_beyond_limit = crashes.len() >= MAX_CRASHES
            && crashes.first_key_value().is_some_and(|(first, _)| crash < *first);
        if is_beyond_limit {
            return;
        }
        let merged = crashes.get(&crash).map_or(state, |old| CrashState {
            cleared: old.cleared || state.cleared,
            expires_at: old.expires_at.max(state.expires_at),
            seen_at: old.seen_at,
        });
        // Only changes are sent on, otherwise two processes would answer each other endlessly.
        let has_changed = crashes.get(&crash).is_none_or(|old| old.cleared != merged.cleared);
        crashes.insert(crash, merged);
        if crashes.len() > MAX_CRASHES {
            crashes.pop_first();
        }
        if has_changed {
            self.changed.insert(fingerprint);
        }
    }

    fn evict_if_full(&mut self, now: Duration) {
        if self.suspects.len() < self.config.max_fingerprints {
            return;
        }
        self.suspects.retain(|_, crashes| crashes.values().any(|state| state.expires_at > now));
        if self.suspects.len() < self.config.max_fingerprints {
            return;
        }
        let first = self.suspects.iter().min_by_key(|(fingerprint, crashes)| {
            let expires_at = crashes.values().map(|state| state.expires_at).max();
            (crashed_servers(crashes).len(), expires_at, **fingerprint)
        });
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
            self.changed.remove(&fingerprint);
        }
    }
}

/// The distinct backend servers whose crashes have not been cleared.
fn crashed_servers(crashes: &Crashes) -> Vec<ServerKey> {
    let mut servers: Vec<ServerKey> =
        crashes.iter().filter(|(_, state)| !state.cleared).map(|(crash, _)| crash.server).collect();
    servers.dedup();
    servers
}

/// Time for which a request is held back whose crashes may be a coincidence.
fn recheck_time(fingerprint: Fingerprint) -> Duration {
    let (least, most) = RECHECK_TIME;
    let share = fingerprint.seed() as f64 / u64::MAX as f64;
    least + (most - least).mul_f64(share)
}

/// The largest multiple of the quantum that is less than the remaining time. An exact multiple is
/// reduced by one quantum too, or a record that is sent on immediately would never expire.
fn floor_to_quantum_s(remaining: Duration) -> u64 {
    let whole_s = remaining.as_secs() + u64::from(remaining.subsec_nanos() > 0);
    whole_s.saturating_sub(1) / REMAINING_QUANTUM_S * REMAINING_QUANTUM_S
}
