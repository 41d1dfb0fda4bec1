//! What a soak has seen.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// Work that must not be repeated ran more than once.
    #[error("attempt {attempt} ran {runs} times")]
    RanTwice {
        /// The attempt.
        attempt: String,
        /// How often it ran.
        runs: u32,
    },
    /// A status that promises "not run" for an attempt that ran.
    #[error("attempt {attempt} was answered {status} and ran")]
    FalseRefusal {
        /// The attempt.
        attempt: String,
        /// The status.
        status: u16,
    },
    /// A success that is not the backend server's whole answer to this very attempt.
    #[error("attempt {attempt} got a wrong or partial answer as a success: {body:?}")]
    WrongAnswer {
        /// The attempt.
        attempt: String,
        /// What it got.
        body: String,
    },
    /// A proper request was answered with a status that says it was not.
    #[error("attempt {attempt} was denied with {status}")]
    Denied {
        /// The attempt.
        attempt: String,
        /// The status.
        status: u16,
    },
    /// With all faults over, too few requests are served.
    #[error("{served} of {asked} requests were served after the last fault")]
    NotRecovered {
        /// Requests that were served.
        served: u32,
        /// Requests that were sent.
        asked: u32,
    },
}

/// Counts and violations.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Requests sent.
    pub asked: u32,
    /// Whole answers.
    pub served: u32,
    /// Statuses that promise "not run".
    pub refused: u32,
    /// Everything else: failures, broken answers, no answer.
    pub unknown: u32,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

/// A tally that all callers share.
#[derive(Clone, Debug, Default)]
pub struct SharedTally(Arc<Mutex<Tally>>);

impl SharedTally {
    /// Changes the tally.
    pub fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Tally),
    {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// The tally so far.
    pub fn read(&self) -> Tally {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { asked, served, refused, unknown, violations } = self;
        write!(f, "{asked} asked, {served} served, {refused} refused, {unknown} unknown, ")?;
        write!(f, "{} violations", violations.len())?;
        violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}
