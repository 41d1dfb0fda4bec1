//! Runs of suspects, of which there is one at a time in the whole fleet.

use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::suspicion::SubjectKind;
use flamingowheel_protocol::suspects::TrialNotice;
use std::collections::HashMap;
use std::time::Duration;

/// Longest time for which other entries leave a suspect to the one that runs it.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(3);

/// Time for which a trial is known after it has ended. A late datagram must not begin it again.
const RETENTION_TIME: Duration = Duration::from_secs(6);

/// Most suspects with trials that are known at a time; further ones of other entries are ignored.
const MAX_SUSPECTS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Run {
    holder: u64,
    server: ServerKey,
    until: Duration,
    has_ended: bool,
}

impl Run {
    fn is_active(&self, now: Duration) -> bool {
        !self.has_ended && self.until > now
    }
}

/// Trials of this entry and of others. What is known of one only grows, and is passed on once: that
/// it has begun, and that it has ended.
#[derive(Debug, Default)]
pub(super) struct Trials {
    runs: HashMap<Fingerprint, Vec<Run>>,
    /// What other entries are to be told.
    notices: Vec<TrialNotice>,
}

/// Whether other entries are told of a suspect's trials. Copies of one request are few, so that an
/// entry need not know of those at others.
pub(super) fn is_shared(suspect: Fingerprint) -> bool {
    suspect.kind() != SubjectKind::Content
}

impl Trials {
    /// Begins a trial of all suspects of a request, unless one of them or the server has one.
    pub(super) fn claim(
        &mut self,
        suspects: &[Fingerprint],
        server: ServerKey,
        holder: u64,
        now: Duration,
    ) -> bool {
        self.forget_ended(now);
        if self.rivals(suspects, server, now).next().is_some() {
            return false;
        }
        let run = Run { holder, server, until: now + MAX_TRIAL_TIME, has_ended: false };
        for suspect in suspects {
            self.runs.entry(*suspect).or_default().push(run);
            self.tell(*suspect, run, now);
        }
        true
    }

    /// Whether a trial that began a moment ago goes on: no other one with a lower number did.
    pub(super) fn is_held(
        &self,
        suspects: &[Fingerprint],
        server: ServerKey,
        holder: u64,
        now: Duration,
    ) -> bool {
        self.rivals(suspects, server, now).all(|run| run.holder >= holder)
    }

    /// Ends a trial.
    pub(super) fn release(&mut self, suspects: &[Fingerprint], holder: u64, now: Duration) {
        for suspect in suspects {
            let runs = self.runs.get_mut(suspect).into_iter().flatten();
            let own = runs.filter(|run| run.holder == holder && !run.has_ended).map(|run| {
                run.has_ended = true;
                *run
            });
            let ended: Vec<Run> = own.collect();
            ended.into_iter().for_each(|run| self.tell(*suspect, run, now));
        }
    }

    /// Takes the word of another entry, and passes on what is new.
    pub(super) fn receive(&mut self, notice: &TrialNotice, now: Duration) {
        let TrialNotice { suspect, server, holder, remaining_ms } = *notice;
        let remaining = Duration::from_millis(remaining_ms.into()).min(MAX_TRIAL_TIME);
        let has_ended = remaining.is_zero();
        self.forget_ended(now);
        if !self.runs.contains_key(&suspect) && self.runs.len() >= MAX_SUSPECTS {
            return;
        }
        let runs = self.runs.entry(suspect).or_default();
        let run = match runs.iter_mut().find(|run| run.holder == holder) {
            Some(known) if has_ended && !known.has_ended => {
                known.has_ended = true;
                *known
            }
            Some(_) => return,
            None => {
                let run = Run { holder, server, until: now + remaining, has_ended };
                runs.push(run);
                run
            }
        };
        self.tell(suspect, run, now);
    }

    /// Takes what other entries are to be told.
    pub(super) fn take_notices(&mut self) -> Vec<TrialNotice> {
        std::mem::take(&mut self.notices)
    }

    fn tell(&mut self, suspect: Fingerprint, run: Run, now: Duration) {
        if is_shared(suspect) {
            let Run { holder, server, until, has_ended } = run;
            let remaining = if has_ended { Duration::ZERO } else { until.saturating_sub(now) };
            let remaining_ms = remaining.as_millis() as u32;
            self.notices.push(TrialNotice { suspect, server, holder, remaining_ms });
        }
    }

    /// Trials of one of these suspects, and of others that are shared on the same server.
    fn rivals<'a>(
        &'a self,
        suspects: &'a [Fingerprint],
        server: ServerKey,
        now: Duration,
    ) -> impl Iterator<Item = &'a Run> {
        let has_shared = suspects.iter().copied().any(is_shared);
        self.runs.iter().flat_map(move |(suspect, runs)| {
            let is_same = suspects.contains(suspect);
            let is_beside = has_shared && is_shared(*suspect);
            runs.iter().filter(move |run| {
                run.is_active(now) && (is_same || (is_beside && run.server == server))
            })
        })
    }

    fn forget_ended(&mut self, now: Duration) {
        self.runs.retain(|_, runs| {
            runs.retain(|run| now < run.until + RETENTION_TIME);
            !runs.is_empty()
        });
    }
}
