//! Compares what callers asked and were told with what the backend servers carried out.
//!
//! It knows nothing of entries, agents or messages. Every piece of work has a body of its own, by
//! which fakes count what ran.

use crate::caller::CallOutcome;
use bytes::Bytes;
use flamingowheel_backing::fake::FakeService;
use flamingowheel_backing::fake::text::{GenerationRequest, whole_json, whole_stream};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a piece of work is to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A chat completion.
    Chat,
    /// An idempotent service call.
    Status,
    /// The address question.
    Addresses,
    /// A non-idempotent one, by whatever means it is kept from running twice.
    Order,
}

/// One time that a piece of work was asked for, or given up.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Gives the work's ticket up.
    pub void: bool,
    /// What the caller was told.
    pub outcome: CallOutcome,
}

/// A piece of work.
#[derive(Clone, Debug)]
pub struct Work {
    /// What it is.
    pub kind: Kind,
    /// Its own body.
    pub body: Bytes,
    /// Its ticket, if the caller took one.
    pub ticket: Option<String>,
    /// The caller's own key, if it has one.
    pub key: Option<String>,
    /// Every submission so far.
    pub submissions: Vec<Submission>,
}

/// How often work ran, over all backend servers.
pub trait Runs {
    /// Times that this body was started.
    fn started(&self, body: &[u8]) -> u32;
}

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Non-idempotent work ran more than once.
    #[error("non-idempotent work ran {runs} times: {work}")]
    RanTwice {
        /// The work.
        work: String,
        /// How often it ran.
        runs: u32,
    },
    /// A caller was told "not run" of work that ran.
    #[error("told \"not run\" of work that ran {runs} times: {work}")]
    NotRunButRan {
        /// The work.
        work: String,
        /// How often it ran.
        runs: u32,
    },
    /// A caller was told that an answer is whole that is not its own whole answer.
    #[error("told \"complete\" with another answer than the whole one: {work}")]
    NotWhole {
        /// The work.
        work: String,
    },
    /// A caller waited for good.
    #[error("no outcome was told: {work}")]
    NoOutcome {
        /// The work.
        work: String,
    },
    /// An entry that was told to leave still has requests in progress that were all answered.
    #[error("entry {entry} was told to leave and does not come to an end")]
    LeaveNeverEnds {
        /// Which.
        entry: usize,
    },
    /// A backend server got new work after it began to leave.
    #[error("backend server {server} was sent new work {after_ms} ms after it began to leave")]
    NewWorkWhileLeaving {
        /// Which.
        server: usize,
        /// How long after, in milliseconds.
        after_ms: u64,
    },
}

/// The book of all work; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    works: Arc<Mutex<Vec<Work>>>,
}

/// Names one submission in the book.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionId {
    /// Index of the work.
    pub work: usize,
    /// Index of the submission.
    pub submission: usize,
}

impl Ledger {
    /// Enters a new piece of work.
    pub fn add(&self, work: Work) -> usize {
        let mut works = self.lock();
        works.push(work);
        works.len() - 1
    }

    /// A piece of work by its index.
    pub fn get(&self, index: usize) -> Option<Work> {
        self.lock().get(index).cloned()
    }

    /// Number of pieces of work.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether nothing was asked yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All pieces of work.
    pub fn all(&self) -> Vec<Work> {
        self.lock().clone()
    }

    /// Enters a submission that begins now.
    pub fn submit(&self, work: usize, void: bool) -> SubmissionId {
        let mut works = self.lock();
        let submissions = &mut works[work].submissions;
        submissions.push(Submission { void, outcome: CallOutcome::Pending });
        SubmissionId { work, submission: submissions.len() - 1 }
    }

    /// Notes what the caller was told.
    pub fn record_outcome(&self, id: SubmissionId, outcome: CallOutcome) {
        self.lock()[id.work].submissions[id.submission].outcome = outcome;
    }

    /// Checks every promise that can be checked at any time.
    pub fn check<R>(&self, runs: &R) -> Result<(), Violation>
    where
        R: Runs,
    {
        self.lock().iter().try_for_each(|work| work.check(runs))
    }

    /// Checks, once all faults are mended and time has passed, that nobody waits for good.
    pub fn check_settled(&self) -> Result<(), Violation> {
        for work in self.lock().iter() {
            if work.submissions.iter().any(|submission| submission.outcome == CallOutcome::Pending)
            {
                return Err(Violation::NoOutcome { work: work.to_string() });
            }
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Work>> {
        self.works.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Work {
    fn check<R>(&self, runs: &R) -> Result<(), Violation>
    where
        R: Runs,
    {
        let runs = runs.started(&self.body);
        if self.kind == Kind::Order && runs > 1 {
            return Err(Violation::RanTwice { work: self.to_string(), runs });
        }
        if runs > 0 && self.is_said_not_to_have_run() {
            return Err(Violation::NotRunButRan { work: self.to_string(), runs });
        }
        for submission in &self.submissions {
            if let CallOutcome::Complete(answer) = &submission.outcome
                && !self.is_whole(answer, runs)
            {
                return Err(Violation::NotWhole { work: self.to_string() });
            }
        }
        Ok(())
    }

    /// "Not run" speaks of its own submission, so earlier ones may have run; giving a ticket up
    /// speaks of all of them.
    fn is_said_not_to_have_run(&self) -> bool {
        let not_run = |s: &Submission| matches!(s.outcome, CallOutcome::NotRun(_));
        let voided = self.submissions.iter().any(|s| s.void && not_run(s));
        let all = !self.submissions.is_empty() && self.submissions.iter().all(not_run);
        voided || all
    }

    fn is_whole(&self, answer: &Bytes, runs: u32) -> bool {
        match self.kind {
            Kind::Chat => self.is_whole_chat(answer),
            // A service's answer tells which execution it is of.
            Kind::Status => (1..=runs).any(|run| FakeService::answer(&self.body, run) == *answer),
            Kind::Addresses => answer.windows(9).any(|part| part == b"127.0.0.1"),
            Kind::Order => FakeService::answer(&self.body, 1) == *answer,
        }
    }

    fn is_whole_chat(&self, answer: &Bytes) -> bool {
        let generation = GenerationRequest::from_body(&self.body, 0);
        if !generation.stream {
            return whole_json(&self.body, generation.tokens) == *answer;
        }
        let expected = whole_stream(&self.body, 0).concat();
        without_comments(answer) == expected
    }
}

/// Event streams may carry comment lines anywhere between events; readers skip them.
fn without_comments(stream: &[u8]) -> Vec<u8> {
    let mut kept = Vec::with_capacity(stream.len());
    let mut rest = stream;
    while !rest.is_empty() {
        let end = rest.windows(2).position(|pair| pair == b"\n\n").map_or(rest.len(), |at| at + 2);
        let (event, tail) = rest.split_at(end);
        if !event.starts_with(b":") {
            kept.extend_from_slice(event);
        }
        rest = tail;
    }
    kept
}

impl fmt::Display for Work {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}", self.kind, String::from_utf8_lossy(&self.body))?;
        for submission in &self.submissions {
            let void = if submission.void { "void " } else { "" };
            write!(f, "; {void}{:?}", submission.outcome)?;
        }
        Ok(())
    }
}
