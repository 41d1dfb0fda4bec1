//! Whether a rank's agent takes new work, and how much it has.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, Ordering};

/// Work of one rank's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntakeState {
    /// New requests are taken.
    pub is_open: bool,
    /// Requests that were taken and have not ended.
    pub in_progress: u32,
}

impl Default for IntakeState {
    fn default() -> Self {
        Self { is_open: true, in_progress: 0 }
    }
}

impl IntakeState {
    /// Nothing runs, and nothing will.
    ///
    /// ```
    /// use flamingowheel_group::intake::IntakeState;
    /// assert!(!IntakeState::default().is_drained());
    /// assert!(IntakeState { is_open: false, in_progress: 0 }.is_drained());
    /// ```
    pub fn is_drained(&self) -> bool {
        !self.is_open && self.in_progress == 0
    }
}

/// An agent's admission as its gate sees it.
pub trait Intake: Send + Sync + 'static {
    /// Takes new work, or refuses it as "not run".
    fn set_open(&self, open: bool);

    /// The work as of now. It is told to be closed only when nothing new can begin any more.
    fn state(&self) -> IntakeState;

    /// Whether a request runs or may begin to.
    fn may_run_requests(&self) -> bool {
        !self.state().is_drained()
    }
}

/// The intake of an agent that has no work of its own.
#[derive(Debug)]
pub struct IdleIntake(AtomicBool);

impl Default for IdleIntake {
    fn default() -> Self {
        Self(AtomicBool::new(true))
    }
}

impl Intake for IdleIntake {
    fn set_open(&self, open: bool) {
        self.0.store(open, Ordering::SeqCst);
    }

    fn state(&self) -> IntakeState {
        IntakeState { is_open: self.0.load(Ordering::SeqCst), in_progress: 0 }
    }

    fn may_run_requests(&self) -> bool {
        false
    }
}
