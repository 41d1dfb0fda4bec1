//! The operators' command-line tool as a library; `main` only parses arguments, runs the command
//! and prints its output.

pub mod cli;
pub mod client;
pub mod commands;
pub mod config;
pub mod error;
pub mod exit;
pub mod help;
pub mod routes;

use exit::ExitCode;

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// Exit code; a command can print an answer and still fail.
    pub exit: ExitCode,
}

impl Output {
    /// Creates an output with [`ExitCode::Success`].
    pub fn success<T>(text: T) -> Self
    where
        T: Into<String>,
    {
        Self { text: text.into(), exit: ExitCode::Success }
    }
}
