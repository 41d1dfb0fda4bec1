//! Keeps what crashes backend servers from reaching more of them: requests, and parts of prompts that
//! requests share.
//!
//! The entries share what they know: each tells a few others of every change, and compares all with
//! one of them at intervals. The decisions are those of [`flamingowheel_policy::suspicion`].

pub mod archive;
pub mod exchange;
mod trials;

use crate::metrics::Metrics;
use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::suspicion::{
    CrashId, Isolation, Ruling, SuspectRecord, SuspectTracker, SuspicionConfig, Verdict,
};
use flamingowheel_protocol::suspects::{SuspectMessage, pack, pack_notices};
use rand::seq::SliceRandom;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};
use trials::{Trials, is_shared};

/// Most datagrams with which one comparison is answered. The rest follows with the next ones.
const MAX_SYNC_MESSAGES: usize = 2;

/// Longest wait of a request for this entry to learn what the others know.
const MAX_SYNC_WAIT: Duration = Duration::from_millis(300);

/// Time in which all entries learn that one of them runs a suspect.
pub const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(20);

/// Time without an answer of another entry after which this one may not reach any. It then tells them
/// of all crashes by the store.
const MAX_SILENCE: Duration = Duration::from_millis(2_500);

/// Most suspects whose records are kept.
const MAX_SUSPECTS: usize = 4_096;

/// Whether a request may be sent to a backend server.
#[derive(Debug)]
pub enum Permission {
    /// It may.
    Granted,
    /// It may, as a trial, if [`Trial::confirm`] says so. Until the trial is dropped no other request
    /// with one of its suspects may.
    Trial(Trial),
    /// A suspect of it runs elsewhere, or it is not the request's turn.
    Wait,
    /// It may not.
    Refused(Suspicion),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// What is suspected.
    pub suspect: Fingerprint,
    /// Time for which the request is refused at least.
    pub retry_after: Duration,
}

/// Suspects known to this entry.
#[derive(Debug)]
pub struct Suspects {
    tracker: Mutex<SuspectTracker>,
    trials: Mutex<Trials>,
    /// Ids of suspect parts of prompts, for operators.
    part_ids: Mutex<HashMap<Fingerprint, String>>,
    /// Notified when there is something to tell other entries.
    changed: Notify,
    is_synced: AtomicBool,
    synced: Notify,
    /// Since when no other entry has answered a question.
    unanswered_since: Mutex<Option<Duration>>,
    origin: Instant,
    metrics: Arc<Metrics>,
}

impl Suspects {
    /// Starts without suspects.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        let config = SuspicionConfig {
            isolation: Isolation::Shared,
            max_fingerprints: MAX_SUSPECTS,
            ..SuspicionConfig::default()
        };
        Self {
            tracker: Mutex::new(SuspectTracker::new(config)),
            trials: Mutex::default(),
            part_ids: Mutex::default(),
            changed: Notify::new(),
            is_synced: AtomicBool::new(true),
            synced: Notify::new(),
            unanswered_since: Mutex::default(),
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

    /// Whether a request with these subjects may be sent to a server now. Every request to a backend
    /// server is asked for here.
    pub fn admit(self: &Arc<Self>, subjects: &[Fingerprint], server: ServerKey) -> Permission {
        let now = self.now();
        let ruling = self.tracker().rule(subjects, now);
        match ruling {
            Ruling::Clear => Permission::Granted,
            Ruling::Refused { suspect, retry_after, .. } => {
                self.metrics.record_suspicion(suspect.kind(), "refused");
                Permission::Refused(Suspicion { suspect, retry_after })
            }
            Ruling::Trial { wait, .. } if !wait.is_zero() => Permission::Wait,
            Ruling::Trial { suspects, .. } => {
                let suspects: Vec<Fingerprint> =
                    suspects.into_iter().map(|suspect| suspect.fingerprint).collect();
                let holder = rand::random();
                if !lock(&self.trials).claim(&suspects, server, holder, now) {
                    return Permission::Wait;
                }
                self.changed.notify_one();
                Permission::Trial(Trial { owner: Arc::clone(self), suspects, server, holder })
            }
        }
    }

    /// Why a request with these subjects is refused from now on; `None` if it is not.
    pub fn refusal(&self, subjects: &[Fingerprint]) -> Option<Suspicion> {
        let ruling = self.tracker().rule(subjects, self.now());
        let Ruling::Refused { suspect, retry_after, .. } = ruling else { return None };
        self.metrics.record_suspicion(suspect.kind(), "refused");
        Some(Suspicion { suspect, retry_after })
    }

    /// Records that a backend server ended under a request. Returns the records of its subjects that
    /// are to be kept in the store: those that are refused from now on, or all if no other entry hears of
    /// them.
    pub fn record_end(&self, server: ServerKey, subjects: &[Fingerprint]) -> Vec<SuspectRecord> {
        // The key names one start of a server, which ends once.
        let crash = CrashId { server, number: 0 };
        let now = self.now();
        let mut tracker = self.tracker();
        tracker.on_crash(crash, subjects, now);
        self.changed.notify_one();
        let is_unheard = self.is_unheard(now);
        let mut kept = Vec::new();
        for subject in subjects {
            self.metrics.record_suspicion(subject.kind(), "crash");
            let ruling = tracker.rule(&[*subject], now);
            let is_suspect = ruling != Ruling::Clear;
            let (is_refused, is_certain) = match ruling {
                Ruling::Refused { is_certain, .. } => (true, is_certain),
                Ruling::Clear | Ruling::Trial { .. } => (false, false),
            };
            let is_kept = if is_shared(*subject) {
                is_certain || (is_suspect && is_unheard)
            } else {
                is_refused
            };
            if is_kept {
                kept.extend(tracker.record(*subject, now));
            }
            if is_refused {
                tracing::info!(
                    fingerprint = %subject,
                    kind = subject.kind().name(),
                    part = self.part_id(*subject),
                    is_certain,
                    "refused from now on, backend servers end under it"
                );
            }
        }
        kept
    }

    /// Records that a run of a request, sent at `sent_at`, finished.
    pub fn record_finished(&self, subjects: &[Fingerprint], sent_at: Instant) {
        let now = self.now();
        let began_at = sent_at.saturating_duration_since(self.origin);
        for subject in subjects {
            if self.tracker().on_run_finished(*subject, began_at, now) {
                tracing::info!(
                    fingerprint = %subject,
                    kind = subject.kind().name(),
                    part = self.part_id(*subject),
                    "suspect finished and is cleared"
                );
                self.metrics.record_suspicion(subject.kind(), "cleared");
                self.changed.notify_one();
            }
        }
    }

    /// Remembers the id of a suspect part of prompts, for operators.
    pub fn name_part(&self, fingerprint: Fingerprint, id: &str) {
        let mut ids = lock(&self.part_ids);
        if ids.len() >= MAX_SUSPECTS && !ids.contains_key(&fingerprint) {
            ids.clear();
        }
        ids.entry(fingerprint).or_insert_with(|| id.to_owned());
    }

    /// The id of a suspect part of prompts; `None` unless this entry has had a request with it.
    pub fn part_id(&self, fingerprint: Fingerprint) -> Option<String> {
        lock(&self.part_ids).get(&fingerprint).cloned()
    }

    /// Takes the messages that tell of all changes since the last call.
    pub fn take_changes(&self) -> Vec<SuspectMessage> {
        let mut messages = pack(self.tracker().drain_changes(self.now()));
        messages.extend(pack_notices(&lock(&self.trials).take_notices()));
        messages
    }

    /// Whether no other entry has answered for so long that none may hear this one.
    fn is_unheard(&self, now: Duration) -> bool {
        let since = *lock(&self.unanswered_since);
        since.is_some_and(|at| now.saturating_sub(at) > MAX_SILENCE)
    }

    /// The message that asks another entry to compare its records.
    pub fn question(&self) -> SuspectMessage {
        lock(&self.unanswered_since).get_or_insert(self.now());
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
            SuspectMessage::Trials(notices) => {
                let mut trials = lock(&self.trials);
                notices.iter().for_each(|notice| trials.receive(notice, self.now()));
                self.changed.notify_one();
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
                    *lock(&self.unanswered_since) = None;
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
                    kind = fingerprint.kind().name(),
                    crashes,
                    is_refused = !was_refused,
                    "another entry tells of a suspect"
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

/// The run of a request with suspects. Keeps others with one of them from being sent until it is
/// dropped.
#[derive(Debug)]
pub struct Trial {
    owner: Arc<Suspects>,
    suspects: Vec<Fingerprint>,
    server: ServerKey,
    holder: u64,
}

impl Trial {
    /// Waits until other entries know of the trial. Returns whether it may go on: no other entry
    /// began one at the same moment.
    pub async fn confirm(&self) -> bool {
        if !self.suspects.iter().copied().any(is_shared) {
            return true;
        }
        sleep(ANNOUNCEMENT_TIME).await;
        self.is_held()
    }

    /// Whether no other entry has begun one that goes before.
    pub fn is_held(&self) -> bool {
        let now = self.owner.now();
        lock(&self.owner.trials).is_held(&self.suspects, self.server, self.holder, now)
    }

    /// What is on trial.
    pub fn suspects(&self) -> &[Fingerprint] {
        &self.suspects
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let now = self.owner.now();
        lock(&self.owner.trials).release(&self.suspects, self.holder, now);
        self.owner.changed.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
