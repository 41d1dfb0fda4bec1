//! What was typed, before any of it is judged.

use std::ffi::OsString;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::help::Topic;

/// A command line that can't be understood.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// No subcommand was given.
    #[error("no command given; see --help")]
    NoCommand,
    /// No such subcommand.
    #[error("no command `{0}`; see --help")]
    UnknownCommand(String),
    /// A command lacks what it is about.
    #[error("{command} needs {needed}; see {command} --help")]
    Missing {
        /// The command.
        command: &'static str,
        /// What it needs.
        needed: &'static str,
    },
    /// An option is missing or malformed.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// Something was left over.
    #[error("`{0}` is not understood here; see --help")]
    UnexpectedArgument(String),
}

/// What the program is asked to do.
#[derive(Debug)]
pub enum Invocation {
    /// Print help, for one command if named.
    Help(Option<Topic>),
    /// Print the version.
    Version,
    /// Run a command.
    Run(Box<Args>),
}

/// A command with the options that all commands have.
#[derive(Debug)]
pub struct Args {
    /// `--entry`, each time it was given.
    pub entries: Vec<String>,
    /// `--token-file`.
    pub token_file: Option<PathBuf>,
    /// `--timeout`.
    pub timeout: Option<String>,
    /// `--json`.
    pub json: bool,
    /// The subcommand.
    pub command: Subcommand,
}

/// A subcommand as typed.
#[derive(Debug)]
pub enum Subcommand {
    /// `apply`.
    Apply(ApplyArgs),
    /// `get`.
    Get {
        /// `templates` or `workspaces`.
        kind: String,
        /// One of them.
        name: Option<String>,
    },
    /// `diff`.
    Diff {
        /// `-f`.
        file: PathBuf,
    },
    /// `history`.
    History,
    /// `change`.
    Change {
        /// The change's id.
        id: String,
    },
    /// `status`.
    Status,
    /// `timeline`.
    Timeline(TimelineArgs),
    /// `entries`.
    Entries {
        /// `--workspace`.
        workspace: String,
    },
}

/// Options of `apply`.
#[derive(Debug)]
pub struct ApplyArgs {
    /// `-f`.
    pub file: PathBuf,
    /// `--dry-run`.
    pub dry_run: bool,
    /// `--wait`.
    pub wait: Option<String>,
    /// `--seen`.
    pub seen: Option<String>,
    /// `--again`.
    pub again: Option<String>,
    /// `--operator`.
    pub operator: Option<String>,
    /// `--comment`.
    pub comment: Option<String>,
}

/// Options of `timeline`.
#[derive(Debug)]
pub struct TimelineArgs {
    /// `--request`.
    pub request: Option<String>,
    /// `--group`.
    pub group: Option<String>,
    /// `--workspace`.
    pub workspace: Option<String>,
    /// `--since`.
    pub since: Option<String>,
}

/// Reads the arguments after the program's name.
///
/// ```
/// use flamingowheel::cli::{Invocation, parse};
///
/// let invocation = parse(vec!["--version".into()]).expect("understood");
/// assert!(matches!(invocation, Invocation::Version));
/// ```
pub fn parse(arguments: Vec<OsString>) -> Result<Invocation, UsageError> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains(["-V", "--version"]) {
        return Ok(Invocation::Version);
    }
    let help = arguments.contains(["-h", "--help"]);
    let entries = arguments.values_from_str("--entry")?;
    let token_file = arguments.opt_value_from_str("--token-file")?;
    let timeout = arguments.opt_value_from_str("--timeout")?;
    let json = arguments.contains("--json");
    let topic = topic(&mut arguments)?;
    if help {
        return Ok(Invocation::Help(topic));
    }
    let command = command(topic.ok_or(UsageError::NoCommand)?, &mut arguments)?;
    if let Some(leftover) = arguments.finish().first() {
        return Err(UsageError::UnexpectedArgument(leftover.to_string_lossy().into_owned()));
    }
    Ok(Invocation::Run(Box::new(Args { entries, token_file, timeout, json, command })))
}

fn topic(arguments: &mut Arguments) -> Result<Option<Topic>, UsageError> {
    let Some(name) = arguments.subcommand()? else { return Ok(None) };
    Topic::from_name(&name).map(Some).ok_or(UsageError::UnknownCommand(name))
}

fn command(topic: Topic, arguments: &mut Arguments) -> Result<Subcommand, UsageError> {
    Ok(match topic {
        Topic::Apply => Subcommand::Apply(apply(arguments)?),
        Topic::Get => {
            let kind = needed("get", "templates or workspaces", arguments.opt_free_from_str()?)?;
            Subcommand::Get { kind, name: arguments.opt_free_from_str()? }
        }
        Topic::Diff => Subcommand::Diff { file: file("diff", arguments)? },
        Topic::History => Subcommand::History,
        Topic::Change => {
            let id = needed("change", "the id of a change", arguments.opt_free_from_str()?)?;
            Subcommand::Change { id }
        }
        Topic::Status => Subcommand::Status,
        Topic::Timeline => Subcommand::Timeline(timeline(arguments)?),
        Topic::Entries => {
            let workspace = arguments.opt_value_from_str("--workspace")?;
            Subcommand::Entries { workspace: needed("entries", "--workspace NAME", workspace)? }
        }
    })
}

fn needed<T>(
    command: &'static str,
    needed: &'static str,
    given: Option<T>,
) -> Result<T, UsageError> {
    given.ok_or(UsageError::Missing { command, needed })
}

fn file(command: &'static str, arguments: &mut Arguments) -> Result<PathBuf, UsageError> {
    needed(command, "-f FILE with documents", arguments.opt_value_from_str("-f")?)
}

fn apply(arguments: &mut Arguments) -> Result<ApplyArgs, UsageError> {
    Ok(ApplyArgs {
        file: file("apply", arguments)?,
        dry_run: arguments.contains("--dry-run"),
        wait: arguments.opt_value_from_str("--wait")?,
        seen: arguments.opt_value_from_str("--seen")?,
        again: arguments.opt_value_from_str("--again")?,
        operator: arguments.opt_value_from_str("--operator")?,
        comment: arguments.opt_value_from_str("--comment")?,
    })
}

fn timeline(arguments: &mut Arguments) -> Result<TimelineArgs, UsageError> {
    Ok(TimelineArgs {
        request: arguments.opt_value_from_str("--request")?,
        group: arguments.opt_value_from_str("--group")?,
        workspace: arguments.opt_value_from_str("--workspace")?,
        since: arguments.opt_value_from_str("--since")?,
    })
}
