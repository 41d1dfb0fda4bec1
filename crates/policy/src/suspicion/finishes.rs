//! Finished runs, which speak for a subject when a backend server crashes later.

use super::{MAX_CRASHES, SubjectKind};
use crate::key::Fingerprint;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a finished run counts for a request's content.
const CONTENT_WINDOW: Duration = Duration::from_secs(10);

/// Finished runs that outweigh one crash under a content.
const FINISHES_PER_CONTENT_CRASH: u32 = 3;

/// Most contents whose finished runs are counted.
const MAX_CONTENTS: usize = 4_096;

/// Most parts of prompts in a generation; there are two.
const MAX_PARTS: usize = 8_192;

/// Time after a crash in which further ones are outweighed by the same finished runs: servers that
/// lose power together.
const SIMULTANEOUS_TIME: Duration = Duration::from_millis(500);

/// Crashes that one finished run each clears; with further ones the number of runs grows.
const EASILY_CLEARED: u32 = 4;

/// Finished runs of one content.
#[derive(Clone, Copy, Debug)]
struct ContentFinishes {
    /// In the window that began at `since`.
    count: u32,
    /// In the window before.
    previous: u32,
    since: Duration,
}

/// Finished runs with one part in their prompts.
#[derive(Clone, Copy, Debug, Default)]
struct PartFinishes {
    /// Of runs that began after the last crash.
    count: u32,
    crashed_at: Option<Duration>,
    outweighed_at: Option<Duration>,
}

/// Finished runs that this process has seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Finishes {
    contents: HashMap<Fingerprint, ContentFinishes>,
    parts: HashMap<Fingerprint, PartFinishes>,
    /// The generation before, which is dropped when `parts` is full.
    older_parts: HashMap<Fingerprint, PartFinishes>,
}

impl Finishes {
    /// Counts a finished run that began at `began_at`.
    pub(super) fn record(&mut self, fingerprint: Fingerprint, began_at: Duration, now: Duration) {
        match fingerprint.kind() {
            SubjectKind::Content => self.count_content(fingerprint, now),
            SubjectKind::PromptPart => {
                let finishes = self.part(fingerprint);
                if finishes.crashed_at.is_none_or(|at| began_at > at) {
                    finishes.count = finishes.count.saturating_add(1);
                }
            }
        }
    }

    /// Whether the finished runs since the last crash clear a subject that was cleared of
    /// `cleared` crashes lately.
    pub(super) fn is_enough(&self, fingerprint: Fingerprint, cleared: usize) -> bool {
        match fingerprint.kind() {
            SubjectKind::Content => true,
            SubjectKind::PromptPart => {
                let finishes = self.parts.get(&fingerprint);
                let finishes = finishes.or_else(|| self.older_parts.get(&fingerprint));
                finishes.is_some_and(|finishes| finishes.count >= needed_finishes(cleared))
            }
        }
    }

    /// Whether finished runs outweigh a crash; they are used up by it.
    pub(super) fn outweigh(
        &mut self,
        fingerprint: Fingerprint,
        cleared: usize,
        now: Duration,
    ) -> bool {
        match fingerprint.kind() {
            SubjectKind::Content => self.outweigh_content(fingerprint, now),
            SubjectKind::PromptPart => self.outweigh_part(fingerprint, cleared, now),
        }
    }

    fn count_content(&mut self, fingerprint: Fingerprint, now: Duration) {
        let is_new = !self.contents.contains_key(&fingerprint);
        if is_new && self.contents.len() >= MAX_CONTENTS {
            self.contents.retain(|_, finishes| now.saturating_sub(finishes.since) < CONTENT_WINDOW);
            if self.contents.len() >= MAX_CONTENTS {
                return;
            }
        }
        let new = ContentFinishes { count: 0, previous: 0, since: now };
        let finishes = self.contents.entry(fingerprint).or_insert(new);
        let elapsed = now.saturating_sub(finishes.since);
        if elapsed >= CONTENT_WINDOW {
            let previous = if elapsed < 2 * CONTENT_WINDOW { finishes.count } else { 0 };
            *finishes = ContentFinishes { previous, ..new };
        }
        finishes.count = finishes.count.saturating_add(1);
    }

    fn outweigh_content(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let Some(finishes) = self.contents.get_mut(&fingerprint) else { return false };
        let is_recent = now.saturating_sub(finishes.since) < CONTENT_WINDOW;
        let total = finishes.count.saturating_add(finishes.previous);
        let left = total.checked_sub(FINISHES_PER_CONTENT_CRASH).filter(|_| is_recent);
        let Some(left) = left else { return false };
        (finishes.count, finishes.previous) = (left, 0);
        true
    }

    /// Finished runs say that a part was sound, not that it still is: each crash uses up all of them.
    fn outweigh_part(&mut self, fingerprint: Fingerprint, cleared: usize, now: Duration) -> bool {
        let finishes = self.part(fingerprint);
        let is_simultaneous =
            finishes.outweighed_at.is_some_and(|at| now.saturating_sub(at) < SIMULTANEOUS_TIME);
        let is_outweighed = is_simultaneous || finishes.count >= needed_finishes(cleared);
        if is_outweighed && !is_simultaneous {
            finishes.outweighed_at = Some(now);
        }
        finishes.count = 0;
        finishes.crashed_at = Some(now);
        is_outweighed
    }

    fn part(&mut self, fingerprint: Fingerprint) -> &mut PartFinishes {
        if !self.parts.contains_key(&fingerprint) {
            let moved = self.older_parts.remove(&fingerprint).unwrap_or_default();
            if self.parts.len() >= MAX_PARTS {
                self.older_parts = std::mem::take(&mut self.parts);
            }
            self.parts.insert(fingerprint, moved);
        }
        self.parts.entry(fingerprint).or_default()
    }
}

fn needed_finishes(cleared: usize) -> u32 {
    let cleared = u32::try_from(cleared.min(MAX_CRASHES)).unwrap_or(u32::MAX);
    1 + cleared.saturating_sub(EASILY_CLEARED)
}
