//! The daemon's exit codes.

use std::process::ExitCode;

/// How the daemon ended; each variant has its own exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Ended as requested.
    Success,
    /// Could not start, failed while running, or was ended by a third signal.
    Failure,
    /// The command line is not valid.
    Usage,
    /// The settings are not valid.
    Settings,
    /// An address could not be bound.
    Address,
    /// At least one of the demo's checks failed.
    DemoFailed,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::Settings => 3,
            Exit::Address => 4,
            Exit::DemoFailed => 5,
        })
    }
}
