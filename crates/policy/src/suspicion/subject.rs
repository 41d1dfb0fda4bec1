//! What a crash of a backend server can be attributed to.

use crate::key::Fingerprint;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Upper bits of the fingerprint of a part of a prompt. A content hash has them by chance with a
/// probability of 2^-32.
const PROMPT_PART_TAG: u128 = 0x7072_6f6d;
const TAG_SHIFT_BITS: u32 = 96;

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SubjectKind {
    /// The content of one request, which only its resends share.
    Content,
    /// A part of the prompts of several requests.
    PromptPart,
}

impl SubjectKind {
    /// The kind's name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Content => "content",
            Self::PromptPart => "prompt_part",
        }
    }

    pub(super) fn rules(self) -> &'static Rules {
        match self {
            Self::Content => &CONTENT_RULES,
            Self::PromptPart => &PROMPT_PART_RULES,
        }
    }
}

/// How crashes and finished runs count for a kind of subject.
#[derive(Debug)]
pub(super) struct Rules {
    /// Crashes after which a subject is refused although they may be a coincidence, or although
    /// runs with it have finished before.
    pub certain_crashes: usize,
    /// Shortest and longest time for which a subject is held back whose crashes may be a coincidence.
    /// Subjects that crashed together are tried again at different times.
    pub recheck_time: (Duration, Duration),
    /// Time after the last crash in which a subject is refused that may yet be sound, as too few
    /// servers crashed.
    pub confirmation_time: Duration,
    /// Time before the end of a refusal in which one run at a time shows whether it still crashes.
    pub retrial_time: Duration,
    /// Whether finished runs that began before a crash say nothing about the time after it.
    pub is_judged_by_start: bool,
}

const CONTENT_RULES: Rules = Rules {
    certain_crashes: 3,
    recheck_time: (Duration::from_secs(2), Duration::from_secs(8)),
    confirmation_time: Duration::MAX,
    retrial_time: Duration::ZERO,
    is_judged_by_start: false,
};

const PROMPT_PART_RULES: Rules = Rules {
    certain_crashes: 3,
    recheck_time: (Duration::from_secs(1), Duration::from_secs(3)),
    confirmation_time: Duration::from_secs(60),
    retrial_time: Duration::from_secs(600),
    is_judged_by_start: true,
};

impl Fingerprint {
    /// The fingerprint of a part of prompts, within the service whose servers run them.
    ///
    /// ```
    /// use flamingowheel_policy::key::Fingerprint;
    /// use flamingowheel_policy::suspicion::SubjectKind;
    /// let part = Fingerprint::of_prompt_part("notes", "5c1e07a2");
    /// assert_eq!(part.kind(), SubjectKind::PromptPart);
    /// assert_ne!(part, Fingerprint::of_prompt_part("photos", "5c1e07a2"));
    /// ```
    #[must_use]
    pub fn of_prompt_part(service: &str, id: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(&(service.len() as u64).to_le_bytes());
        hasher.update(service.as_bytes());
        hasher.update(id.as_bytes());
        let hash = hasher.digest128() & ((1 << TAG_SHIFT_BITS) - 1);
        Self(PROMPT_PART_TAG << TAG_SHIFT_BITS | hash)
    }

    /// What the fingerprint stands for.
    ///
    /// ```
    /// use flamingowheel_policy::key::{Fingerprint, WorkspaceKey};
    /// use flamingowheel_policy::suspicion::SubjectKind;
    /// let content = Fingerprint::of(0, WorkspaceKey(1), "/v1/completions", b"{}");
    /// assert_eq!(content.kind(), SubjectKind::Content);
    /// ```
    #[must_use]
    pub fn kind(self) -> SubjectKind {
        match self.0 >> TAG_SHIFT_BITS {
            PROMPT_PART_TAG => SubjectKind::PromptPart,
            _ => SubjectKind::Content,
        }
    }
}
