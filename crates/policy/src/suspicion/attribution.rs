//! Which subjects caused the crashes of backend servers, where several were running at each.

use super::{CrashId, Crashes, SuspectTracker, recheck_time};
use crate::key::{Fingerprint, ServerKey};
use std::collections::HashSet;
use std::time::Duration;

/// Time after a crash in which all processes learn which requests were running.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// Time between the turns of two requests that were running at the same crash, and the longest wait
/// for a turn.
const TURN_INTERVAL: Duration = Duration::from_millis(120);
const MAX_TURN_WAIT: Duration = Duration::from_millis(600);

/// Shortest and longest wait of a request with several suspect subjects. Meanwhile others with one of
/// them run, which tells more.
const AMBIGUOUS_WAIT: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(1_500));

/// Time after which expired crashes are taken into account.
const CONVICTION_TIME: Duration = Duration::from_secs(1);

/// Crashes in common that make another subject an explanation of a subject's crashes.
const SHARED_CRASHES: usize = 2;

/// Time around a crash in which crashes without the subject point to another cause.
const COINCIDENCE_WINDOW: Duration = Duration::from_secs(10);

/// Such crashes that make its own ones a possible coincidence.
const COINCIDENT_CRASHES: usize = 2;

/// How a request may run, by all of its subjects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ruling {
    /// Without restrictions.
    Clear,
    /// One at a time for each of the suspects.
    Trial {
        /// Subjects of the request that may have caused crashes.
        suspects: Vec<Suspect>,
        /// Time until its turn.
        wait: Duration,
    },
    /// Not at all.
    Refused {
        /// The subject that it is refused for.
        suspect: Fingerprint,
        /// Time after which it may be sent again at the earliest.
        retry_after: Duration,
        /// Whether the crashes can't be a coincidence, and nothing else explains them.
        is_certain: bool,
    },
}

/// A subject that may have caused crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The subject.
    pub fingerprint: Fingerprint,
    /// Backend servers that crashed while it ran, unless another subject explains it.
    pub crashed: Vec<ServerKey>,
    /// Since when the last crash has been known.
    last_at: Duration,
}

/// Subjects that caused crashes.
#[derive(Clone, Debug, Default)]
pub(super) struct Convicted {
    subjects: HashSet<Fingerprint>,
    /// `None` once a crash or a finished run has changed what is known.
    pub(super) valid_until: Option<Duration>,
}

/// What the crashes say of one subject.
enum Standing {
    Clear,
    Suspected(Suspect),
    /// It is refused until its crashes have expired.
    Convicted {
        retry_after: Duration,
    },
}

impl SuspectTracker {
    /// How a request with these subjects may run now, where others run beside it.
    ///
    /// ```
    /// use flamingowheel_policy::key::{Fingerprint, ServerKey};
    /// use flamingowheel_policy::suspicion::{
    ///     CrashId, Isolation, Ruling, SuspectTracker, SuspicionConfig,
    /// };
    /// use std::time::Duration;
    /// let config = SuspicionConfig { isolation: Isolation::Shared, ..SuspicionConfig::default() };
    /// let mut suspects = SuspectTracker::new(config);
    /// let part = Fingerprint::of_prompt_part("notes", "5c1e07a2");
    /// for server in [1, 2] {
    ///     let crash = CrashId { server: ServerKey(server), number: 0 };
    ///     suspects.on_crash(crash, &[Fingerprint(server.into()), part], Duration::ZERO);
    /// }
    /// let ruling = suspects.rule(&[Fingerprint(3), part], Duration::ZERO);
    /// assert!(matches!(ruling, Ruling::Refused { suspect, .. } if suspect == part));
    /// let ruling = suspects.rule(&[Fingerprint(2)], Duration::ZERO);
    /// assert!(matches!(ruling, Ruling::Trial { .. }));
    /// ```
    #[must_use]
    pub fn rule(&mut self, subjects: &[Fingerprint], now: Duration) -> Ruling {
        self.convict(now);
        let mut suspects = Vec::new();
        for fingerprint in subjects {
            match self.standing(*fingerprint, now) {
                Standing::Clear => {}
                Standing::Suspected(suspect) => suspects.push(suspect),
                Standing::Convicted { retry_after } => {
                    let suspect = *fingerprint;
                    return Ruling::Refused { suspect, retry_after, is_certain: true };
                }
            }
        }
        if suspects.is_empty() {
            return Ruling::Clear;
        }
        if let Some(suspect) = together_refused(&suspects) {
            let retry_after = self.config.period;
            return Ruling::Refused { suspect, retry_after, is_certain: true };
        }
        if let Some((suspect, retry_at)) = held_until(&suspects)
            && retry_at > now
        {
            let retry_after = retry_at - now;
            return Ruling::Refused { suspect, retry_after, is_certain: false };
        }
        let wait = self.turn_of(&suspects, now);
        Ruling::Trial { suspects, wait }
    }

    fn standing(&self, fingerprint: Fingerprint, now: Duration) -> Standing {
        let Some(crashes) = self.suspects.get(&fingerprint) else { return Standing::Clear };
        let own = Open::of(crashes, now);
        if own.crashes.is_empty() {
            return Standing::Clear;
        }
        if self.convicted.subjects.contains(&fingerprint) {
            let rules = fingerprint.kind().rules();
            let mut retry_at = own.expires_at.saturating_sub(rules.retrial_time);
            if own.servers < rules.certain_crashes {
                retry_at = retry_at.min(own.last_at.saturating_add(rules.confirmation_time));
            }
            if retry_at > now {
                return Standing::Convicted { retry_after: retry_at - now };
            }
        }
        let seen_at = |crash: &CrashId| crashes.get(crash).map(|state| state.seen_at);
        let (mut explained, mut unexplained) = (Vec::new(), Vec::new());
        for crash in &own.crashes {
            let is_explained = self.is_explained(*crash, fingerprint);
            if is_explained { &mut explained } else { &mut unexplained }.push(*crash);
        }
        // Running one copy at a time costs a content nothing, and two may have crashed together.
        if unexplained.is_empty() && !fingerprint.kind().rules().is_judged_by_start {
            unexplained.extend(explained.into_iter().max_by_key(seen_at));
        }
        let Some(last_at) = unexplained.iter().filter_map(seen_at).max() else {
            return Standing::Clear;
        };
        let crashed = servers(&unexplained);
        Standing::Suspected(Suspect { fingerprint, crashed, last_at })
    }

    /// Finds the subjects that caused crashes, if anything has changed.
    fn convict(&mut self, now: Duration) {
        if self.convicted.valid_until.is_some_and(|until| now < until) {
            return;
        }
        let several = self.suspects.iter().filter(|(_, crashes)| crashes.len() > 1);
        let convicted = several.filter(|(fingerprint, crashes)| {
            self.is_convicted(**fingerprint, &Open::of(crashes, now), now)
        });
        let subjects = convicted.map(|(fingerprint, _)| *fingerprint).collect();
        self.convicted = Convicted { subjects, valid_until: Some(now + CONVICTION_TIME) };
    }

    /// Whether a subject is refused until its crashes expire.
    fn is_convicted(&self, fingerprint: Fingerprint, own: &Open, now: Duration) -> bool {
        let count = own.servers;
        if count < 2 {
            return false;
        }
        let rules = fingerprint.kind().rules();
        let is_certain = count >= rules.certain_crashes;
        let is_judged_early = !own.has_finished || !rules.is_judged_by_start;
        if !is_certain && (!is_judged_early || self.is_coincident(fingerprint, own)) {
            return false;
        }
        (is_certain && !rules.is_judged_by_start) || !self.has_alternative(fingerprint, own, now)
    }

    /// Whether another subject explains the crashes too, unless runs with that one have finished and
    /// none with this one. A part may have been in one more crash, of which only a killed process
    /// knew.
    fn has_alternative(&self, fingerprint: Fingerprint, own: &Open, now: Duration) -> bool {
        let mut others: Vec<Fingerprint> = own
            .crashes
            .iter()
            .filter_map(|crash| self.by_crash.get(crash))
            .flat_map(|ended| ended.subjects.iter().copied())
            .filter(|other| *other != fingerprint)
            .collect();
        others.sort_unstable();
        others.dedup();
        others.into_iter().any(|other| {
            let Some(crashes) = self.suspects.get(&other) else { return false };
            let theirs = Open::of(crashes, now);
            let shared = own.crashes.iter().filter(|crash| theirs.crashes.contains(crash)).count();
            let unseen = usize::from(other.kind().rules().is_judged_by_start);
            shared >= SHARED_CRASHES
                && own.crashes.len() - shared <= unseen
                && (own.has_finished || !theirs.has_finished)
        })
    }

    /// Whether several servers crashed without the subject at about the same time.
    fn is_coincident(&self, fingerprint: Fingerprint, own: &Open) -> bool {
        let others = self.by_crash.values().filter(|ended| {
            !ended.subjects.contains(&fingerprint)
                && ended.seen_at.abs_diff(own.last_at) <= COINCIDENCE_WINDOW
        });
        others.take(COINCIDENT_CRASHES).count() >= COINCIDENT_CRASHES
    }

    /// Whether a subject other than this one is known to have caused a crash.
    fn is_explained(&self, crash: CrashId, fingerprint: Fingerprint) -> bool {
        let Some(ended) = self.by_crash.get(&crash) else { return false };
        let is_open = |other: &Fingerprint| {
            let state = self.suspects.get(other).and_then(|crashes| crashes.get(&crash));
            state.is_some_and(|state| !state.cleared)
        };
        let mut others = ended.subjects.iter().filter(|other| **other != fingerprint);
        others.any(|other| self.convicted.subjects.contains(other) && is_open(other))
    }

    /// Time until the turn of a request. Requests that were running at the same crash are sent again
    /// one after the other, so that few of them meet the one that caused it.
    fn turn_of(&self, suspects: &[Suspect], now: Duration) -> Duration {
        let Some(last) = suspects.iter().max_by_key(|suspect| suspect.last_at) else {
            return Duration::ZERO;
        };
        let wait = match suspects {
            [alone] if alone.fingerprint.kind().rules().is_judged_by_start => SETTLE_TIME,
            [alone] => self.wait_in_order(alone),
            [first, ..] => {
                let (least, most) = AMBIGUOUS_WAIT;
                least + (most - least).mul_f64(share(first.fingerprint))
            }
            [] => Duration::ZERO,
        };
        (last.last_at + wait).saturating_sub(now)
    }

    fn wait_in_order(&self, suspect: &Suspect) -> Duration {
        let last_crash = self.suspects.get(&suspect.fingerprint).and_then(|crashes| {
            let open = crashes.iter().filter(|(_, state)| !state.cleared);
            open.max_by_key(|(_, state)| state.seen_at).map(|(crash, _)| *crash)
        });
        let ended = last_crash.and_then(|crash| self.by_crash.get(&crash));
        let earlier = ended.map_or(0, |ended| {
            let kind = suspect.fingerprint.kind();
            let subjects = ended.subjects.iter();
            subjects.filter(|other| other.kind() == kind && **other < suspect.fingerprint).count()
        });
        let turns = u32::try_from(earlier).unwrap_or(u32::MAX);
        (SETTLE_TIME + TURN_INTERVAL.saturating_mul(turns)).min(MAX_TURN_WAIT)
    }
}

/// One of several subjects of a request that together crashed so many servers that one of them is
/// sure to be the cause. Only requests with a single one of them tell which.
fn together_refused(suspects: &[Suspect]) -> Option<Fingerprint> {
    let several = || suspects.iter().filter(|suspect| suspect.crashed.len() > 1);
    let worst = several().max_by_key(|suspect| suspect.crashed.len())?;
    let rules = worst.fingerprint.kind().rules();
    let is_sure = several().count() > 1 && worst.crashed.len() >= rules.certain_crashes;
    is_sure.then_some(worst.fingerprint)
}

/// Until when a request is held back because subjects of it may or may not have caused several
/// crashes. With more than one of them, a run tells least, so it waits longest.
fn held_until(suspects: &[Suspect]) -> Option<(Fingerprint, Duration)> {
    let several = || suspects.iter().filter(|suspect| suspect.crashed.len() > 1);
    let is_ambiguous = several().count() > 1;
    let until = |suspect: &Suspect| {
        let longest = suspect.fingerprint.kind().rules().recheck_time.1;
        let wait = if is_ambiguous { longest } else { recheck_time(suspect.fingerprint) };
        (suspect.fingerprint, suspect.last_at + wait)
    };
    several().map(until).max_by_key(|(_, at)| *at)
}

/// Crashes of one subject that are not cleared. They expire together, with the last.
struct Open {
    crashes: Vec<CrashId>,
    /// Number of servers that crashed.
    servers: usize,
    /// Whether finished runs have cleared it of another crash.
    has_finished: bool,
    last_at: Duration,
    expires_at: Duration,
}

impl Open {
    fn of(crashes: &Crashes, now: Duration) -> Self {
        let mut open = Self {
            crashes: Vec::new(),
            servers: 0,
            has_finished: false,
            last_at: Duration::ZERO,
            expires_at: Duration::ZERO,
        };
        for (crash, state) in crashes {
            if state.cleared {
                open.has_finished |= state.expires_at > now;
            } else {
                open.crashes.push(*crash);
                open.last_at = open.last_at.max(state.seen_at);
                open.expires_at = open.expires_at.max(state.expires_at);
            }
        }
        if open.expires_at <= now {
            open.crashes.clear();
        }
        open.servers = servers(&open.crashes).len();
        open
    }
}

/// The distinct backend servers of crashes, which are in order.
fn servers(crashes: &[CrashId]) -> Vec<ServerKey> {
    let mut servers: Vec<ServerKey> = crashes.iter().map(|crash| crash.server).collect();
    servers.dedup();
    servers
}

/// A number between 0 and 1 that differs between subjects.
pub(super) fn share(fingerprint: Fingerprint) -> f64 {
    fingerprint.seed() as f64 / u64::MAX as f64
}
