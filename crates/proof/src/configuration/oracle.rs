//! Compares the answers that operators got with the configuration in force.

use flamingowheel_config::apply::{Applied, ApplyError};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time limit for a change to be in force in every process that it can reach.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(11);

/// A violated invariant of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigViolation {
    /// A process went back to an older configuration.
    #[error("process {process} reverted from revision {from} to {to}")]
    Reverted {
        /// Index of the process.
        process: usize,
        /// The revision it had in force.
        from: u64,
        /// The revision it has in force now.
        to: u64,
    },
    /// A process has a value in force that is not the one accepted under its revision.
    #[error(
        "process {process} has {found} in force at revision {revision}, not the accepted {accepted}"
    )]
    OtherThanAccepted {
        /// Index of the process.
        process: usize,
        /// The revision it has in force.
        revision: u64,
        /// The value it has in force.
        found: u64,
        /// The value accepted under the revision.
        accepted: u64,
    },
    /// A process has lacked a newer revision for [`IN_FORCE_LIMIT`] or longer.
    #[error(
        "process {process} at revision {revision} has lacked revision {newest} for {behind_ms} ms"
    )]
    Behind {
        /// Index of the process.
        process: usize,
        /// The revision it has in force.
        revision: u64,
        /// The newest revision that it could have had.
        newest: u64,
        /// How long a newer revision has been reachable, in milliseconds.
        behind_ms: u64,
    },
    /// A change is in force although its operator got the answer that it is not accepted.
    #[error("process {process} has {value} in force, which was reported as not accepted")]
    NotAcceptedButInForce {
        /// Index of the process.
        process: usize,
        /// The value that the change sets.
        value: u64,
    },
    /// Two changes were accepted under one revision.
    #[error("values {first} and {second} were both accepted as revision {revision}")]
    AcceptedTwice {
        /// The revision of both changes.
        revision: u64,
        /// The value accepted first.
        first: u64,
        /// The value accepted later.
        second: u64,
    },
}

#[derive(Debug, Default)]
struct State {
    accepted: BTreeMap<u64, u64>,
    conflict: Option<ConfigViolation>,
    answers: BTreeMap<u64, ChangeAnswer>,
}

/// The answer that an operator got to a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeAnswer {
    /// The change is accepted.
    Accepted,
    /// The change is not accepted and will not be.
    NotAccepted,
    /// Whether the change is accepted is unknown.
    Unknown,
}

/// Records answers and checks them; clones share their records.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    state: Arc<Mutex<State>>,
}

impl Oracle {
    /// Records the answer to the change that sets `value`.
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

    /// The answer to the change that sets `value`; `None` while there is none.
    pub fn answer(&self, value: u64) -> Option<ChangeAnswer> {
        self.lock().answers.get(&value).copied()
    }

    /// The newest revision that an operator's answer reported as accepted; 0 if none.
    pub fn newest(&self) -> u64 {
        self.lock().accepted.keys().next_back().copied().unwrap_or(0)
    }

    /// The violation if two changes were accepted under one revision.
    pub fn conflict(&self) -> Option<ConfigViolation> {
        self.lock().conflict.clone()
    }

    /// Checks that the value that a process has in force was accepted under its revision, and that
    /// no operator got the answer that it is not accepted.
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
        let (Some(accepted), Some(found)) = (state.accepted.get(&revision).copied(), found) else {
            return Ok(());
        };
        if accepted == found {
            return Ok(());
        }
        Err(ConfigViolation::OtherThanAccepted { process, revision, found, accepted })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
