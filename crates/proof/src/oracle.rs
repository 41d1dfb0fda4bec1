//! Compares the callers' requests and outcomes with what the backend servers executed.
//!
//! It is independent of entries, agents and messages. Every piece of work has a unique body, by
//! which the fakes count executions.

use crate::caller::CallOutcome;
use bytes::Bytes;
use flamingowheel_backing::fake::FakeService;
use flamingowheel_backing::fake::text::{GenerationRequest, whole_json, whole_stream};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Kind of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A chat completion.
    Chat,
    /// An idempotent service call.
    Status,
    /// A request for entry addresses.
    Addresses,
    /// A non-idempotent service call, with or without a ticket or key.
    Order,
}

/// One request for a piece of work, or one request that voids its ticket.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Whether the request voids the work's ticket.
    pub void: bool,
    /// Outcome that the caller got; pending until then.
    pub outcome: CallOutcome,
}

/// A piece of work.
#[derive(Clone, Debug)]
pub struct Work {
    /// Determines the checks.
    pub kind: Kind,
    /// Body that no other work has.
    pub body: Bytes,
    /// Ticket, if the caller requested one.
    pub ticket: Option<String>,
    /// The caller's idempotency key, if any.
    pub key: Option<String>,
    /// All submissions so far, in order.
    pub submissions: Vec<Submission>,
}

/// Execution counts over all backend servers.
pub trait Runs {
    /// Number of executions that were started with this body.
    fn started(&self, body: &[u8]) -> u32;
}

/// A violated invariant of requests.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Non-idempotent work ran more than once.
    #[error("non-idempotent work ran {runs} times: {work}")]
    RanTwice {
        /// The work with its submissions.
        work: String,
        /// Number of executions.
        runs: u32,
    },
    /// A caller got "not run" for work that ran.
    #[error("outcome \"not run\" for work that ran {runs} times: {work}")]
    NotRunButRan {
        /// The work with its submissions.
        work: String,
        /// Number of executions.
        runs: u32,
    },
    /// A caller got "complete" with an answer that is not the complete answer to its work.
    #[error("outcome \"complete\" without the complete answer: {work}")]
    IncompleteAnswer {
        /// The work with its submissions.
        work: String,
    },
    /// A caller got no outcome.
    #[error("no outcome: {work}")]
    NoOutcome {
        /// The work with its submissions.
        work: String,
    },
    /// A leaving entry still counts requests in progress although all were answered.
    #[error("entry {entry} is leaving and does not drain")]
    LeaveNeverEnds {
        /// Index of the entry.
        entry: usize,
    },
    /// A backend server received new work too long after it began to leave.
    #[error("backend server {server} was sent new work {after_ms} ms after it began to leave")]
    NewWorkWhileLeaving {
        /// Index of the backend server.
        server: usize,
        /// Time since it began to leave, in milliseconds.
        after_ms: u64,
    },
}

/// Records all work; clones share the records.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    works: Arc<Mutex<Vec<Work>>>,
}

/// Identifies one submission in the ledger.
#[derive(Clone, Copy, Debug)]
pub struct SubmissionId {
    /// Index of the work.
    pub work: usize,
    /// Index of the submission.
    pub submission: usize,
}

impl Ledger {
    /// Adds a piece of work and returns its index.
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

    /// Whether there is no work yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All pieces of work.
    pub fn all(&self) -> Vec<Work> {
        self.lock().clone()
    }

    /// Adds a pending submission.
    pub fn submit(&self, work: usize, void: bool) -> SubmissionId {
        let mut works = self.lock();
        let submissions = &mut works[work].submissions;
        submissions.push(Submission { void, outcome: CallOutcome::Pending });
        SubmissionId { work, submission: submissions.len() - 1 }
    }

    /// Records the outcome of a submission.
    pub fn record_outcome(&self, id: SubmissionId, outcome: CallOutcome) {
        self.lock()[id.work].submissions[id.submission].outcome = outcome;
    }

    /// Checks the invariants that hold at any time.
    pub fn check<R>(&self, runs: &R) -> Result<(), Violation>
    where
        R: Runs,
    {
        self.lock().iter().try_for_each(|work| work.check(runs))
    }

    /// Checks that every submission has an outcome, once all faults are removed and time has
    /// passed.
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
        if runs > 0 && self.is_reported_not_run() {
            return Err(Violation::NotRunButRan { work: self.to_string(), runs });
        }
        for submission in &self.submissions {
            if let CallOutcome::Complete(answer) = &submission.outcome
                && !self.is_complete(answer, runs)
            {
                return Err(Violation::IncompleteAnswer { work: self.to_string() });
            }
        }
        Ok(())
    }

    /// "Not run" applies only to its own submission, so earlier ones may have run; for a voided
    /// ticket it applies to all submissions.
    fn is_reported_not_run(&self) -> bool {
        let not_run = |s: &Submission| matches!(s.outcome, CallOutcome::NotRun(_));
        let voided = self.submissions.iter().any(|s| s.void && not_run(s));
        let all = !self.submissions.is_empty() && self.submissions.iter().all(not_run);
        voided || all
    }

    fn is_complete(&self, answer: &Bytes, runs: u32) -> bool {
        match self.kind {
            Kind::Chat => self.is_complete_chat(answer),
            // A service's answer has the number of its execution.
            Kind::Status => (1..=runs).any(|run| FakeService::answer(&self.body, run) == *answer),
            Kind::Addresses => answer.windows(9).any(|part| part == b"127.0.0.1"),
            Kind::Order => FakeService::answer(&self.body, 1) == *answer,
        }
    }

    fn is_complete_chat(&self, answer: &Bytes) -> bool {
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
    let mut events = Vec::with_capacity(stream.len());
    let mut rest = stream;
    while !rest.is_empty() {
        let end = rest.windows(2).position(|pair| pair == b"\n\n").map_or(rest.len(), |at| at + 2);
        let (event, tail) = rest.split_at(end);
        if !event.starts_with(b":") {
            events.extend_from_slice(event);
        }
        rest = tail;
    }
    events
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
