//! Requests that may crash the backend server that runs them.
//!
//! Every request that ran when a backend server crashed is suspect under its fingerprint, since
//! resends come under new ids. A suspect runs alone, so a second crash convicts only the culprit:
//! two crashes on different backend servers, and it is refused for a period. One finished run
//! clears an innocent.
//!
//! The record of a fingerprint is a pair of grow-only sets, crashes and cleared crashes, each with
//! a time after which it is forgotten. Merging takes unions and the later time, so it is
//! commutative, associative and idempotent, and processes may exchange records in any order.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::{Fingerprint, ServerKey};

/// Settings of suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionConfig {
    /// How long a crash counts against a request; others are told only if above two minutes.
    pub period: Duration,
    /// Fingerprints kept; beyond it the one that is forgotten soonest goes, convicts last.
    pub max_fingerprints: usize,
}

impl Default for SuspicionConfig {
    fn default() -> Self {
        Self { period: Duration::from_secs(3_600), max_fingerprints: 8_192 }
    }
}

/// Crashes kept per fingerprint. Any two on different servers convict, so more teach nothing.
const MAX_CRASHES: usize = 8;
/// Remaining times travel rounded down to it. Otherwise each exchange would add its delay, and two
/// processes could keep a record alive for ever by telling it to each other.
const REMAINING_QUANTUM_S: u64 = 60;

/// One crash of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The backend server that crashed.
    pub server: ServerKey,
    /// Tells apart the crashes of one server; the agent draws it at random.
    pub number: u64,
}

/// What may be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It may run only while nothing else runs on the backend server, on one that it has not
    /// crashed, and one copy at a time.
    Alone {
        /// Backend servers that crashed with it.
        crashed: Vec<ServerKey>,
    },
    /// It must not run.
    Refused {
        /// When it may be tried again at the earliest.
        retry_after: Duration,
    },
}

/// A crash as it travels between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The crash.
    pub crash: CrashId,
    /// A finished run has shown that this request did not cause it.
    pub cleared: bool,
    /// How long it is to be remembered.
    pub remaining_s: u64,
}

/// A fingerprint's record as it travels between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its crashes.
    pub crashes: Vec<CrashRecord>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    cleared: bool,
    until: Duration,
}

type Crashes = BTreeMap<CrashId, Known>;

/// What one process knows of suspects.
///
/// ```
/// use flamingowheel_policy::key::{Fingerprint, ServerKey};
/// use flamingowheel_policy::suspicion::{CrashId, SuspectTracker, SuspicionConfig, Verdict};
/// use std::time::Duration;
/// let mut book = SuspectTracker::new(SuspicionConfig::default());
/// let request = Fingerprint(1);
/// let crash = CrashId { server: ServerKey(1), number: 9 };
/// book.on_crash(crash, &[request], Duration::ZERO);
/// assert!(matches!(book.verdict(request, Duration::ZERO), Verdict::Alone { .. }));
/// book.on_finished(request, Duration::ZERO);
/// assert_eq!(book.verdict(request, Duration::ZERO), Verdict::Clear);
/// ```
#[derive(Clone, Debug)]
pub struct SuspectTracker {
    config: SuspicionConfig,
    suspects: HashMap<Fingerprint, Crashes>,
    changed: HashSet<Fingerprint>,
}

impl SuspectTracker {
    /// Nothing known.
    #[must_use]
    pub fn new(config: SuspicionConfig) -> Self {
        Self { config, suspects: HashMap::new(), changed: HashSet::new() }
    }

    /// Takes in that a backend server crashed while these requests ran.
    pub fn on_crash(&mut self, crash: CrashId, running: &[Fingerprint], now: Duration) {
        let until = now + self.config.period;
        for fingerprint in running {
            let known = Known { cleared: false, until };
            self.learn(*fingerprint, crash, known, now);
        }
    }

    /// Takes in that a run of the request finished: no crash known so far was its fault.
    pub fn on_finished(&mut self, fingerprint: Fingerprint, now: Duration) {
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return };
        let until = now + self.config.period;
        for known in crashes.values_mut() {
            *known = Known { cleared: true, until };
        }
        self.changed.insert(fingerprint);
    }

    /// What may be done with a request now. A refused one that is sent again is remembered for
    /// another period: otherwise a caller who keeps sending it would cost two backend servers a
    /// period.
    pub fn verdict(&mut self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        let Some(crashes) = self.suspects.get_mut(&fingerprint) else { return Verdict::Clear };
        crashes.retain(|_, known| known.until > now);
        let crashed = crashed_servers(crashes);
        match crashed.len() {
            0 => Verdict::Clear,
            1 => Verdict::Alone { crashed },
            _ => {
                let until = now + self.config.period;
                crashes.values_mut().for_each(|known| known.until = until);
                self.changed.insert(fingerprint);
                Verdict::Refused { retry_after: self.config.period }
            }
        }
    }

    /// The records that changed since the last call, to be sent to the other processes.
    pub fn drain_changes(&mut self, now: Duration) -> Vec<SuspectRecord> {
        let changed = std::mem::take(&mut self.changed);
        changed.into_iter().filter_map(|fingerprint| self.record(fingerprint, now)).collect()
    }

    /// All records, for a process that has just started.
    #[must_use]
    pub fn records(&self, now: Duration) -> Vec<SuspectRecord> {
        self.suspects.keys().filter_map(|fingerprint| self.record(*fingerprint, now)).collect()
    }

    /// Takes in another process's records.
    pub fn merge(&mut self, records: &[SuspectRecord], now: Duration) {
        for record in records {
            for crash in record.crashes.iter().take(MAX_CRASHES) {
                let remaining = Duration::from_secs(crash.remaining_s).min(self.config.period);
                let known = Known { cleared: crash.cleared, until: now + remaining };
                self.learn(record.fingerprint, crash.crash, known, now);
            }
        }
    }

    /// Fingerprints kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn record(&self, fingerprint: Fingerprint, now: Duration) -> Option<SuspectRecord> {
        let crashes = self.suspects.get(&fingerprint)?.iter();
        let crashes = crashes.map(|(crash, known)| CrashRecord {
            crash: *crash,
            cleared: known.cleared,
            remaining_s: whole_quanta_s(known.until.saturating_sub(now)),
        });
        Some(SuspectRecord { fingerprint, crashes: crashes.collect() })
    }

    fn learn(&mut self, fingerprint: Fingerprint, crash: CrashId, known: Known, now: Duration) {
        if known.until <= now {
            return;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let crashes = self.suspects.entry(fingerprint).or_default();
        let merged = crashes.get(&crash).map_or(known, |old| Known {
            cleared: old.cleared || known.cleared,
            until: old.until.max(known.until),
        });
        // Only news is passed on, else two processes would answer each other without end.
        let is_news = crashes.get(&crash).is_none_or(|old| old.cleared != merged.cleared);
        crashes.insert(crash, merged);
        if crashes.len() > MAX_CRASHES {
            crashes.pop_first();
        }
        if is_news {
            self.changed.insert(fingerprint);
        }
    }

    fn make_room(&mut self, now: Duration) {
        if self.suspects.len() < self.config.max_fingerprints {
            return;
        }
        self.suspects.retain(|_, crashes| crashes.values().any(|known| known.until > now));
        if self.suspects.len() < self.config.max_fingerprints {
            return;
        }
        let first = self.suspects.iter().min_by_key(|(fingerprint, crashes)| {
            let until = crashes.values().map(|known| known.until).max();
            (crashed_servers(crashes).len(), until, **fingerprint)
        });
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
            self.changed.remove(&fingerprint);
        }
    }
}

/// The different backend servers whose crashes still count.
fn crashed_servers(crashes: &Crashes) -> Vec<ServerKey> {
    let mut servers: Vec<ServerKey> =
        crashes.iter().filter(|(_, known)| !known.cleared).map(|(crash, _)| crash.server).collect();
    servers.dedup();
    servers
}

/// The largest multiple of the quantum that is less than the remaining time: an exact multiple must
/// lose one too, or a record that is passed on at once would never lose anything.
fn whole_quanta_s(remaining: Duration) -> u64 {
    let whole_s = remaining.as_secs() + u64::from(remaining.subsec_nanos() > 0);
    whole_s.saturating_sub(1) / REMAINING_QUANTUM_S * REMAINING_QUANTUM_S
}
