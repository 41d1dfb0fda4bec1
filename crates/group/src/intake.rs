//! Admission of requests at a rank's agent, as the group's coordinator reads and controls it.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a rank's agent admits requests, and how many it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IntakeState {
    /// Whether new requests are admitted.
    pub is_open: bool,
    /// Number of admitted requests that have not ended, queued ones included.
    pub in_progress: u32,
}

impl Default for IntakeState {
    fn default() -> Self {
        Self { is_open: true, in_progress: 0 }
    }
}

impl IntakeState {
    /// Whether no request is in progress and none can begin.
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

/// Admission of an agent, controlled by its gate.
pub trait Intake: Send + Sync + 'static {
    /// Sets whether new requests are admitted or refused as "not run".
    fn set_open(&self, open: bool);

    /// The present state. It is reported as closed only once no new request can begin.
    fn state(&self) -> IntakeState;

    /// Whether a request runs or may still begin.
    fn may_run_requests(&self) -> bool {
        !self.state().is_drained()
    }
}

/// The intake of an agent that runs no requests.
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
