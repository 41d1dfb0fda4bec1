//! Exit codes; scripts rely on them, so they never change their meaning.

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Done.
    Success = 0,
    /// A failure without a code of its own, such as an answer that can't be read.
    Failed = 1,
    /// The command line, a file or the environment is wrong; nothing was sent.
    Usage = 2,
    /// No entry could be reached; nothing was changed.
    Unreachable = 3,
    /// The fleet refused; nothing was changed.
    Refused = 4,
    /// Somebody else changed the same documents first; nothing was changed.
    Conflict = 5,
    /// Nobody can tell yet whether the change was accepted.
    UnknownOutcome = 6,
    /// The change is accepted, but was not in force everywhere in time.
    NotInForce = 7,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code as u8)
    }
}
