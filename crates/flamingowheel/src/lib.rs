//! The operators' tool as a library; the program only parses, runs and prints.

pub mod cli;
pub mod client;
pub mod commands;
pub mod config;
pub mod error;
pub mod exit;
pub mod help;
pub mod routes;

use exit::ExitCode;

/// What a command prints, and how the program ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// The exit code; a command can print an answer and still end with a failure.
    pub exit: ExitCode,
}

impl Output {
    /// A success that prints `text`.
    pub fn success<T>(text: T) -> Self
    where
        T: Into<String>,
    {
        Self { text: text.into(), exit: ExitCode::Success }
    }
}
