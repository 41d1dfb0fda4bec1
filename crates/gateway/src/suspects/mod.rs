//! Keeps requests that crash backend servers from reaching more of them.
//!
//! The entries share what they know: each tells a few others of every change, and compares all with
//! one of them at intervals. The decisions are those of [`flamingowheel_policy::suspicion`].

pub mod archive;
pub mod exchange;

use crate::metrics::Metrics;
use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::suspicion::{
    CrashId, Isolation, SuspectRecord, SuspectTracker, SuspicionConfig, Verdict,
};
use flamingowheel_protocol::suspects::{SuspectMessage, pack};
use rand::seq::SliceRandom;
use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Most datagrams with which one comparison is answered. The rest follows with the next ones.
const MAX_SYNC_MESSAGES: usize = 2;

/// Longest wait of a request for this entry to learn what the others know.
const MAX_SYNC_WAIT: Duration = Duration::from_millis(300);

/// Whether a request may be sent to a backend server.
#[derive(Debug)]
pub enum Permission {
    /// It may.
    Granted,
    /// It may, and no copy of it until the guard is dropped.
    Alone(AloneGuard),
    /// Another copy runs alone, or it is not the request's turn.
    Wait,
    /// It may not, for this time at least.
    Refused(Duration),
}

/// Suspect requests known to this entry.
#[derive(Debug)]
pub struct Suspects {
    tracker: Mutex<SuspectTracker>,
    alone: Arc<Mutex<HashSet<Fingerprint>>>,
    /// Notified when there is something to tell other entries.
    changed: Notify,
    is_synced: AtomicBool,
    synced: Notify,
    origin: Instant,
    metrics: Arc<Metrics>,
}

impl Suspects {
    /// Starts without suspects.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        let config = SuspicionConfig { isolation: Isolation::Shared, ..SuspicionConfig::default() };
        Self {
            tracker: Mutex::new(SuspectTracker::new(config)),
            alone: Arc::default(),
            changed: Notify::new(),
            is_synced: AtomicBool::new(true),
            synced: Notify::new(),
            origin: Instant::now(),
            metrics,
        }
    }

    /// Waits until this entry knows what the others know, for a short time at most.
    pub async fn wait_until_synced(&self) {
        if self.is_synced.load(Ordering::Relaxed) {
            return;
        }
        let synced = self.synced.notified();
        // An entry that reaches no other serves on its own.
        if !self.is_synced.load(Ordering::Relaxed) && timeout(MAX_SYNC_WAIT, synced).await.is_err()
        {
            tracing::warn!("no other entry has told of suspect requests");
            self.set_synced(true);
        }
    }

    fn set_synced(&self, is_synced: bool) {
        self.is_synced.store(is_synced, Ordering::Relaxed);
        if is_synced {
            self.synced.notify_waiters();
        }
    }

    /// Whether a request may be sent now. Every request to a backend server is asked for here.
    pub fn admit(&self, fingerprint: Fingerprint) -> Permission {
        let mut tracker = self.tracker();
        match tracker.verdict(fingerprint, self.now()) {
            Verdict::Clear => Permission::Granted,
            Verdict::Refused { retry_after } => {
                self.metrics.record_suspicion("refused");
                Permission::Refused(retry_after)
            }
            Verdict::Alone { .. } if !tracker.turn(fingerprint, self.now()).is_zero() => {
                Permission::Wait
            }
            Verdict::Alone { .. } if lock(&self.alone).insert(fingerprint) => {
                Permission::Alone(AloneGuard { alone: Arc::clone(&self.alone), fingerprint })
            }
            Verdict::Alone { .. } => Permission::Wait,
        }
    }

    /// How long a request is refused from now on; `None` if it is not.
    pub fn refusal(&self, fingerprint: Fingerprint) -> Option<Duration> {
        match self.tracker().verdict(fingerprint, self.now()) {
            Verdict::Refused { retry_after } => {
                self.metrics.record_suspicion("refused");
                Some(retry_after)
            }
            Verdict::Clear | Verdict::Alone { .. } => None,
        }
    }

    /// Records that a backend server ended under a request. Returns the request's record if it is
    /// refused from now on.
    pub fn record_end(&self, server: ServerKey, fingerprint: Fingerprint) -> Option<SuspectRecord> {
        // The key names one start of a server, which ends once.
        let crash = CrashId { server, number: 0 };
        let now = self.now();
        let mut tracker = self.tracker();
        tracker.on_crash(crash, &[fingerprint], now);
        self.metrics.record_suspicion("crash");
        self.changed.notify_one();
        let is_refused = matches!(tracker.verdict(fingerprint, now), Verdict::Refused { .. });
        is_refused.then(|| tracker.record(fingerprint, now)).flatten()
    }

    /// Records that a run of a request finished.
    pub fn record_finished(&self, fingerprint: Fingerprint) {
        if self.tracker().on_finished(fingerprint, self.now()) {
            tracing::info!(%fingerprint, "suspect request finished and is cleared");
            self.metrics.record_suspicion("cleared");
            self.changed.notify_one();
        }
    }

    /// Takes the messages that tell of all changes since the last call.
    pub fn take_changes(&self) -> Vec<SuspectMessage> {
        pack(self.tracker().drain_changes(self.now()))
    }

    /// The message that asks another entry to compare its records.
    pub fn question(&self) -> SuspectMessage {
        self.digest(true)
    }

    fn digest(&self, wants_answer: bool) -> SuspectMessage {
        SuspectMessage::Digest { digest: self.tracker().digest(self.now()), wants_answer }
    }

    /// Handles a message of another entry and returns the answers.
    pub fn receive(&self, message: &SuspectMessage) -> Vec<SuspectMessage> {
        match message {
            SuspectMessage::Records(records) => {
                self.merge(records);
                Vec::new()
            }
            SuspectMessage::Digest { digest, wants_answer } => {
                let own = self.digest(false);
                let is_same =
                    matches!(own, SuspectMessage::Digest { digest: own, .. } if own == *digest);
                let mut answers = if is_same { Vec::new() } else { self.sample() };
                if *wants_answer {
                    answers.push(own);
                } else {
                    // Records that the answer came with were sent before it.
                    self.set_synced(true);
                }
                answers
            }
        }
    }

    /// Adds what another entry knows.
    pub fn merge(&self, records: &[SuspectRecord]) {
        let now = self.now();
        let mut tracker = self.tracker();
        for record in records {
            let fingerprint = record.fingerprint;
            let is_refused = |verdict| matches!(verdict, Verdict::Refused { .. });
            let was_refused = is_refused(tracker.verdict(fingerprint, now));
            tracker.merge(std::slice::from_ref(record), now);
            if is_refused(tracker.verdict(fingerprint, now)) != was_refused {
                let crashes = record.crashes.iter().filter(|crash| !crash.cleared).count();
                tracing::info!(
                    %fingerprint,
                    crashes,
                    is_refused = !was_refused,
                    "another entry tells of a suspect request"
                );
            }
        }
        self.changed.notify_one();
    }

    /// As many records as one comparison sends, those with the most crashes first.
    fn sample(&self) -> Vec<SuspectMessage> {
        let mut records = self.tracker().records(self.now());
        records.shuffle(&mut rand::rng());
        let crashes = |record: &SuspectRecord| record.crashes.iter().filter(|c| !c.cleared).count();
        records.sort_by_key(|record| std::cmp::Reverse(crashes(record)));
        let mut messages = pack(records);
        messages.truncate(MAX_SYNC_MESSAGES);
        messages
    }

    /// All records, for operators.
    pub fn records(&self) -> Vec<(SuspectRecord, Verdict)> {
        let now = self.now();
        let mut tracker = self.tracker();
        let records = tracker.records(now);
        records
            .into_iter()
            .map(|record| {
                let verdict = tracker.verdict(record.fingerprint, now);
                (record, verdict)
            })
            .collect()
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn tracker(&self) -> MutexGuard<'_, SuspectTracker> {
        lock(&self.tracker)
    }
}

/// Keeps other copies of a request from being sent until it is dropped.
#[derive(Debug)]
pub struct AloneGuard {
    alone: Arc<Mutex<HashSet<Fingerprint>>>,
    fingerprint: Fingerprint,
}

impl Drop for AloneGuard {
    fn drop(&mut self) {
        lock(&self.alone).remove(&self.fingerprint);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
