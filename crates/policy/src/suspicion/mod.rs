//! Detection of what crashes the backend servers that run it.
//!
//! A crash is attributed to a subject: the content of a request, which its resends share under new
//! ids, or something that different requests share, such as a part of their prompts. Every subject
//! of every request that was running when a backend server crashed becomes a suspect under its
//! fingerprint. After crashes on two different backend servers it is refused for a period. One
//! finished run clears a suspect.
//!
//! Where a process controls a whole backend server, a suspect runs alone, so that only it can have
//! caused a second crash. Where other requests run beside it, [`SuspectTracker::rule`] finds the
//! subject that explains the crashes: one that another explains as well, or that may be a
//! coincidence, is held back for some seconds and tried once more. A subject that finishes often is
//! not suspected at all.
//!
//! The record of a fingerprint is a pair of grow-only sets, crashes and cleared crashes, each
//! element with an expiry time. A merge takes the unions and the later expiry time, so it is
//! commutative, associative and idempotent, and processes may exchange records in any order.

mod attribution;
mod finishes;
mod subject;

pub use attribution::{Ruling, Suspect};
pub use subject::SubjectKind;

use attribution::Convicted;
use finishes::Finishes;
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

/// Time for which a cleared crash makes further ones harder to clear.
const RECENT_TIME: Duration = Duration::from_secs(60);

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

/// A crash and the subjects that were running.
#[derive(Clone, Debug)]
struct Ended {
    subjects: Vec<Fingerprint>,
    /// When this process learned of it.
    seen_at: Duration,
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
    by_crash: HashMap<CrashId, Ended>,
    changed: HashSet<Fingerprint>,
    finishes: Finishes,
    convicted: Convicted,
}

impl SuspectTracker {
    /// Starts without suspects.
    #[must_use]
    pub fn new(config: SuspicionConfig) -> Self {
        Self {
            config,
            suspects: HashMap::new(),
            by_crash: HashMap::new(),
            changed: HashSet::new(),
            finishes: Finishes::default(),
            convicted: Convicted::default(),
        }
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
        self.on_run_finished(fingerprint, now, now)
    }

    /// Records that a run that began at `began_at` finished. It clears a part of prompts only of
    /// crashes that were known before it began. Returns whether the subject was cleared of any.
    ///
    /// ```
    /// use flamingowheel_policy::key::{Fingerprint, ServerKey};
    /// use flamingowheel_policy::suspicion::{CrashId, SuspectTracker, SuspicionConfig};
    /// use std::time::Duration;
    /// let mut suspects = SuspectTracker::new(SuspicionConfig::default());
    /// let part = Fingerprint::of_prompt_part("notes", "5c1e07a2");
    /// let [first, second] = [1, 2].map(Duration::from_secs);
    /// let crash = CrashId { server: ServerKey(1), number: 0 };
    /// suspects.on_crash(crash, &[part], second);
    /// assert!(!suspects.on_run_finished(part, first, second));
    /// let third = Duration::from_secs(3);
    /// assert!(suspects.on_run_finished(part, third, third));
    /// ```
    pub fn on_run_finished(
        &mut self,
        fingerprint: Fingerprint,
        began_at: Duration,
        now: Duration,
    ) -> bool {
        let is_judged_by_start = fingerprint.kind().rules().is_judged_by_start;
        if self.config.isolation == Isolation::Shared || is_judged_by_start {
            self.finishes.record(fingerprint, began_at, now);
        }
        let cleared_lately = self.cleared_lately(fingerprint, now);
        if is_judged_by_start && !self.finishes.is_enough(fingerprint, cleared_lately) {
            return false;
        }
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return false };
        let expires_at = now + self.config.period;
        let mut is_suspect = false;
        let says_something = |state: &CrashState| !is_judged_by_start || state.seen_at < began_at;
        for state in crashes.values_mut().filter(|s| !s.cleared && says_something(s)) {
            *state = CrashState { cleared: true, expires_at, ..*state };
            is_suspect = true;
        }
        if is_suspect {
            self.changed.insert(fingerprint);
            self.convicted.valid_until = None;
        }
        is_suspect
    }

    /// Number of crashes of the last minute of which a subject has been cleared.
    fn cleared_lately(&self, fingerprint: Fingerprint, now: Duration) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |crashes| {
            let is_recent = |state: &&CrashState| {
                state.cleared && now.saturating_sub(state.seen_at) < RECENT_TIME
            };
            crashes.values().filter(is_recent).count()
        })
    }

    /// How a request may run now. Where suspects run alone, refusing a request renews its record for
    /// another period: otherwise a caller that keeps sending it would crash two backend servers per
    /// period.
    pub fn verdict(&mut self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        if self.config.isolation == Isolation::Shared {
            return match self.rule(&[fingerprint], now) {
                Ruling::Clear => Verdict::Clear,
                Ruling::Trial { suspects, .. } => Verdict::Alone {
                    crashed: suspects.into_iter().flat_map(|suspect| suspect.crashed).collect(),
                },
                Ruling::Refused { retry_after, .. } => Verdict::Refused { retry_after },
            };
        }
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return Verdict::Clear };
        crashes.retain(|_, state| state.expires_at > now);
        let crashed = crashed_servers(crashes);
        match crashed.len() {
            0 => Verdict::Clear,
            1 => Verdict::Alone { crashed },
            _ => {
                let expires_at = now + self.config.period;
                crashes.values_mut().for_each(|state| state.expires_at = expires_at);
                self.changed.insert(fingerprint);
                Verdict::Refused { retry_after: self.config.period }
            }
        }
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
        let uses_up_finishes = !state.cleared || fingerprint.kind().rules().is_judged_by_start;
        let is_outweighed = !is_known && uses_up_finishes && {
            let cleared_lately = self.cleared_lately(fingerprint, now);
            self.finishes.outweigh(fingerprint, cleared_lately, now)
        };
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
        if crashes.len() > MAX_CRASHES
            && let Some((dropped, _)) = crashes.pop_first()
        {
            self.unlink(dropped, fingerprint);
        }
        self.link(crash, fingerprint, now);
        if has_changed {
            self.changed.insert(fingerprint);
            self.convicted.valid_until = None;
        }
    }

    fn link(&mut self, crash: CrashId, fingerprint: Fingerprint, now: Duration) {
        let new = || Ended { subjects: Vec::new(), seen_at: now };
        let ended = self.by_crash.entry(crash).or_insert_with(new);
        if !ended.subjects.contains(&fingerprint) {
            ended.subjects.push(fingerprint);
        }
    }

    fn unlink(&mut self, crash: CrashId, fingerprint: Fingerprint) {
        if let Some(ended) = self.by_crash.get_mut(&crash) {
            ended.subjects.retain(|subject| *subject != fingerprint);
            if ended.subjects.is_empty() {
                self.by_crash.remove(&crash);
            }
        }
    }

    fn evict_if_full(&mut self, now: Duration) {
        if self.suspects.len() < self.config.max_fingerprints {
            return;
        }
        let is_expired = |crashes: &Crashes| crashes.values().all(|state| state.expires_at <= now);
        let expired = self.suspects.iter().filter(|(_, crashes)| is_expired(crashes));
        let mut evicted: Vec<Fingerprint> = expired.map(|(fingerprint, _)| *fingerprint).collect();
        if evicted.is_empty() {
            let first = self.suspects.iter().min_by_key(|(fingerprint, crashes)| {
                let expires_at = crashes.values().map(|state| state.expires_at).max();
                (crashed_servers(crashes).len(), expires_at, **fingerprint)
            });
            evicted.extend(first.map(|(fingerprint, _)| *fingerprint));
        }
        for fingerprint in evicted {
            let crashes = self.suspects.remove(&fingerprint).unwrap_or_default();
            crashes.keys().for_each(|crash| self.unlink(*crash, fingerprint));
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

/// Time for which a subject is held back whose crashes may be a coincidence.
fn recheck_time(fingerprint: Fingerprint) -> Duration {
    let (least, most) = fingerprint.kind().rules().recheck_time;
    least + (most - least).mul_f64(attribution::share(fingerprint))
}

/// The largest multiple of the quantum that is less than the remaining time. An exact multiple is
/// reduced by one quantum too, or a record that is sent on immediately would never expire.
fn floor_to_quantum_s(remaining: Duration) -> u64 {
    let whole_s = remaining.as_secs() + u64::from(remaining.subsec_nanos() > 0);
    whole_s.saturating_sub(1) / REMAINING_QUANTUM_S * REMAINING_QUANTUM_S
}
