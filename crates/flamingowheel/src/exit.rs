//! Exit codes. Scripts rely on them, so their meanings must not change.

/// Exit code of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Success = 0,
    /// A failure that has no code of its own, such as a malformed answer.
    Failed = 1,
    /// The command line, a file or the environment is wrong; nothing was sent.
    Usage = 2,
    /// No entry could be reached; nothing was changed.
    Unreachable = 3,
    /// The request was refused; nothing was changed.
    Refused = 4,
    /// Another change to the same documents was accepted first; nothing was changed.
    Conflict = 5,
    /// It is not yet known whether the change was accepted.
    UnknownOutcome = 6,
    /// The change was accepted, but was not in force in all processes in time.
    NotInForce = 7,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
