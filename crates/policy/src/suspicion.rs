//! Detection of requests that crash the backend servers that run them.
//!
//! Every request that was running when a backend server crashed becomes a suspect under its
//! fingerprint, since resends have new ids. A suspect runs alone, so that only it can have caused
//! a second crash: after crashes on two different backend servers it is refused for a period. One
//! finished run clears a suspect.
//!
//! The record of a fingerprint is a pair of grow-only sets, crashes and cleared crashes, each
//! element with an expiry time. A merge takes the unions and the later expiry time, so it is
//! commutative, associative and idempotent, and processes may exchange records in any order.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::{Fingerprint, ServerKey};

/// Settings of a [`SuspectTracker`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionConfig {
    /// How long a crash counts against a request. Crashes are shared with other processes only if
    /// this is above two minutes.
    pub period: Duration,
    /// Most fingerprints kept. Beyond this the one that expires first is evicted, refused requests
    /// last.
    pub max_fingerprints: usize,
}

impl Default for SuspicionConfig {
    fn default() -> Self {
        Self { period: Duration::from_secs(3_600), max_fingerprints: 8_192 }
    }
}

/// Crashes kept per fingerprint. Two on different servers already lead to a refusal.
const MAX_CRASHES: usize = 8;
/// Remaining times are rounded down to a multiple of this when sent. Otherwise each exchange would
/// extend them by its delay, and two processes could keep a record alive forever by exchanging it.
const REMAINING_QUANTUM_S: u64 = 60;

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
}

impl SuspectTracker {
    /// Starts without suspects.
    #[must_use]
    pub fn new(config: SuspicionConfig) -> Self {
        Self { config, suspects: HashMap::new(), changed: HashSet::new() }
    }

    /// Records that a backend server crashed while these requests were running.
    pub fn on_crash(&mut self, crash: CrashId, running: &[Fingerprint], now: Duration) {
        let expires_at = now + self.config.period;
        for fingerprint in running {
            let state = CrashState { cleared: false, expires_at };
            self.merge_crash(*fingerprint, crash, state, now);
        }
    }

    /// Records that a run of the request finished, which clears it of all crashes known so far.
    pub fn on_finished(&mut self, fingerprint: Fingerprint, now: Duration) {
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return };
        let expires_at = now + self.config.period;
        for state in crashes.values_mut() {
            *state = CrashState { cleared: true, expires_at };
        }
        self.changed.insert(fingerprint);
    }

    /// How a request may run now. Refusing a request renews its record for another period:
    /// otherwise a caller that keeps sending it would crash two backend servers per period.
    pub fn verdict(&mut self, fingerprint: Fingerprint, now: Duration) -> Verdict {
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
                let state = CrashState { cleared: crash.cleared, expires_at: now + remaining };
                self.merge_crash(record.fingerprint, crash.crash, state, now);
            }
        }
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

    fn record(&self, fingerprint: Fingerprint, now: Duration) -> Option<SuspectRecord> {
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
        if !self.suspects.contains_key(&fingerprint) {
            self.evict_if_full(now);
        }
        let crashes = self.suspects.entry(fingerprint).or_default();
        let merged = crashes.get(&crash).map_or(state, |old| CrashState {
            cleared: old.cleared || state.cleared,
            expires_at: old.expires_at.max(state.expires_at),
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

/// The largest multiple of the quantum that is less than the remaining time. An exact multiple is
/// reduced by one quantum too, or a record that is sent on immediately would never expire.
fn floor_to_quantum_s(remaining: Duration) -> u64 {
    let whole_s = remaining.as_secs() + u64::from(remaining.subsec_nanos() > 0);
    whole_s.saturating_sub(1) / REMAINING_QUANTUM_S * REMAINING_QUANTUM_S
}
