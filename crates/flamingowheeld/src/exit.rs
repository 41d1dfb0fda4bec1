//! How the daemon ends.

use std::process::ExitCode;

/// Exit codes of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Ended as asked, everything drained.
    Success,
    /// Could not start or go on.
    Failure,
    /// The command line is not understood.
    Usage,
    /// The settings are not accepted.
    Settings,
    /// An address is in use or may not be used.
    Address,
    /// The demo showed something other than what is promised.
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
