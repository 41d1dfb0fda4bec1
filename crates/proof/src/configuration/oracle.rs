//! What operators were told, compared with what is in force.

use flamingowheel_config::apply::{Applied, ApplyError};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Within this time a change is in force everywhere it can reach.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

/// A promise about the configuration that was broken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigViolation {
    /// A process went back to an older configuration.
    #[error("process {process} went back from revision {from} to {to}")]
    Reverted {
        /// Which.
        process: usize,
        /// The revision it had in force.
        from: u64,
        /// The revision it has in force now.
        to: u64,
    },
    /// A process has something else in force than was accepted under that revision.
    #[error("process {process} has {found} in force at revision {revision}, accepted was {wanted}")]
    OtherThanAccepted {
        /// Which.
        process: usize,
        /// The revision it has in force.
        revision: u64,
        /// The value it has in force.
        found: u64,
        /// The value accepted.
        wanted: u64,
    },
    /// A process lacks for too long what others have.
    #[error("process {process} at revision {revision} lacks {newest} for {behind_ms} ms")]
    Behind {
        /// Which.
        process: usize,
        /// The revision it has in force.
        revision: u64,
        /// The newest revision that it could have had.
        newest: u64,
        /// How long it could have had it, in milliseconds.
        behind_ms: u64,
    },
    /// A change is in force of which the operator was told that it is not accepted.
    #[error("process {process} has {value} in force, which was told not to be accepted")]
    NotAcceptedButInForce {
        /// Which process.
        process: usize,
        /// The value.
        value: u64,
    },
    /// Two changes were accepted under one revision.
    #[error("values {first} and {second} were both accepted as revision {revision}")]
    AcceptedTwice {
        /// The revision.
        revision: u64,
        /// A value.
        first: u64,
        /// The other.
        second: u64,
    },
}

#[derive(Debug, Default)]
struct State {
    accepted: BTreeMap<u64, u64>,
    conflict: Option<ConfigViolation>,
    answers: BTreeMap<u64, ChangeAnswer>,
}

/// What an operator was told of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeAnswer {
    /// It is accepted.
    Accepted,
    /// It is not accepted and won't be.
    NotAccepted,
    /// Nobody can tell yet.
    Unknown,
}

/// The oracle's book; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    state: Arc<Mutex<State>>,
}

impl Oracle {
    /// Notes what an operator was told of a change that sets `value`.
    pub fn record_answer(&self, value: u64, answer: &Result<Applied, ApplyError>) {
        let mut state = self.lock();
        let recorded = match answer {
            Ok(_) => ChangeAnswer::Accepted,
            Err(ApplyError::Unknown { .. }) => ChangeAnswer::Unknown,
            Err(_) => ChangeAnswer::NotAccepted,
        };
        state.answers.insert(value, recorded);
        let Ok(Applied::Accepted(change)) = answer else { return };
        let revision = change.revision().0;
        if let Some(first) = state.accepted.insert(revision, value)
            && first != value
        {
            state.conflict =
                Some(ConfigViolation::AcceptedTwice { revision, first, second: value });
        }
    }

    /// What the operator was told of the change that sets `value`, if anything yet.
    pub fn answer(&self, value: u64) -> Option<ChangeAnswer> {
        self.lock().answers.get(&value).copied()
    }

    /// The newest revision that an operator was told is accepted.
    pub fn newest(&self) -> u64 {
        self.lock().accepted.keys().next_back().copied().unwrap_or(0)
    }

    /// Whether two changes were accepted under one revision.
    pub fn conflict(&self) -> Option<ConfigViolation> {
        self.lock().conflict.clone()
    }

    /// Compares what a process has in force with what was accepted.
    pub fn check(
        &self,
        process: usize,
        revision: u64,
        found: Option<u64>,
    ) -> Result<(), ConfigViolation> {
        let state = self.lock();
        if let Some(value) = found
            && state.answers.get(&value) == Some(&ChangeAnswer::NotAccepted)
        {
            return Err(ConfigViolation::NotAcceptedButInForce { process, value });
        }
        let (Some(wanted), Some(found)) = (state.accepted.get(&revision).copied(), found) else {
            return Ok(());
        };
        if wanted == found {
            return Ok(());
        }
        Err(ConfigViolation::OtherThanAccepted { process, revision, found, wanted })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
