//! Whether a rank's agent takes new work, and how much it has.

use serde::{Deserialize, Serialize};
use std::sync::atomic::{AtomicBool, Ordering};

/// Work of one rank's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// New requests are taken.
    pub is_open: bool,
    /// Requests that were taken and have not ended.
    pub in_progress: u32,
}

impl Default for Work {
    fn default() -> Self {
        Self { is_open: true, in_progress: 0 }
    }
}

impl Work {
    /// Nothing runs, and nothing will.
    ///
    /// ```
    /// use flamingowheel_group::intake::Work;
    /// assert!(!Work::default().is_drained());
    /// assert!(Work { is_open: false, in_progress: 0 }.is_drained());
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
    fn work(&self) -> Work;

    /// Whether a request runs or may begin to.
    fn is_in_use(&self) -> bool {
        !self.work().is_drained()
    }
}

/// The intake of an agent that has no work of its own.
#[derive(Debug)]
pub struct Idle(AtomicBool);

impl Default for Idle {
    fn default() -> Self {
        Self(AtomicBool::new(true))
    }
}

impl Intake for Idle {
    fn set_open(&self, open: bool) {
        self.0.store(open, Ordering::SeqCst);
    }

    fn work(&self) -> Work {
        Work { is_open: self.0.load(Ordering::SeqCst), in_progress: 0 }
    }

    fn is_in_use(&self) -> bool {
        false
    }
}
