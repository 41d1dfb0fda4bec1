//! Parsing of the command line. Values are validated by
//! [`Config::new`](crate::config::Config::new).

use std::ffi::OsString;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::help::Topic;

/// Why the command line can't be parsed.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// No subcommand was given.
    #[error("no command given; see --help")]
    NoCommand,
    /// The subcommand does not exist.
    #[error("no command `{0}`; see --help")]
    UnknownCommand(String),
    /// A required argument is missing.
    #[error("{command} needs {needed}; see {command} --help")]
    Missing {
        /// Name of the subcommand.
        command: &'static str,
        /// The missing argument, as shown to the operator.
        needed: &'static str,
    },
    /// An option's value is missing or malformed.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// The subcommand does not take this argument.
    #[error("`{0}` is not understood here; see --help")]
    UnexpectedArgument(String),
}

/// What the program is to do.
#[derive(Debug)]
pub enum Invocation {
    /// Print help, for one command if named.
    Help(Option<Topic>),
    /// Print the version.
    Version,
    /// Run a command.
    Run(Box<Args>),
}

/// A subcommand and the options that all subcommands share, not yet validated.
#[derive(Debug)]
pub struct Args {
    /// Values of `--entry`, which can be repeated.
    pub entries: Vec<String>,
    /// `--token-file`: path of the file with the operators' token.
    pub token_file: Option<PathBuf>,
    /// `--timeout`: how long one entry may take to answer.
    pub timeout: Option<String>,
    /// `--json`: whether answers are printed as JSON.
    pub json: bool,
    /// The subcommand.
    pub command: Subcommand,
}

/// A subcommand with its arguments, not yet validated.
#[derive(Debug)]
pub enum Subcommand {
    /// `apply`: changes documents.
    Apply(ApplyArgs),
    /// `get`: shows templates or workspaces.
    Get {
        /// `templates` or `workspaces`.
        kind: String,
        /// Name of one document; all are shown if absent.
        name: Option<String>,
    },
    /// `diff`: shows what documents would change.
    Diff {
        /// `-f`: path of the file of documents.
        file: PathBuf,
    },
    /// `history`: shows the last changes.
    History,
    /// `change`: shows the outcome of a change.
    Change {
        /// Id of the change, complete or its random part.
        id: String,
    },
    /// `status`: shows the fleet's processes and rank groups.
    Status,
    /// `timeline`: shows the merged events of all processes.
    Timeline(TimelineArgs),
    /// `entries`: shows the entry addresses for callers of a workspace.
    Entries {
        /// `--workspace`: name of the workspace.
        workspace: String,
    },
}

/// Arguments of `apply`.
#[derive(Debug)]
pub struct ApplyArgs {
    /// `-f`: path of the file of documents.
    pub file: PathBuf,
    /// `--dry-run`: whether to validate the change without writing it.
    pub dry_run: bool,
    /// `--wait`: how long to wait until the change is in force everywhere.
    pub wait: Option<String>,
    /// `--seen`: revision that the change is based on.
    pub seen: Option<String>,
    /// `--again`: random part of the id of a change to resend.
    pub again: Option<String>,
    /// `--operator`: name of the operator, for the history.
    pub operator: Option<String>,
    /// `--comment`: reason for the change, for the history.
    pub comment: Option<String>,
}

/// Arguments of `timeline`.
#[derive(Debug)]
pub struct TimelineArgs {
    /// `--request`: id of a caller's request.
    pub request: Option<String>,
    /// `--group`: name of a rank group.
    pub group: Option<String>,
    /// `--workspace`: name of a workspace.
    pub workspace: Option<String>,
    /// `--since`: how far back the events reach.
    pub since: Option<String>,
}

/// Parses the arguments after the program's name.
///
/// ```
/// use flamingowheel::cli::{Invocation, parse};
///
/// let invocation = parse(vec!["--version".into()]).expect("valid arguments");
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
    if let Some(argument) = arguments.finish().first() {
        return Err(UsageError::UnexpectedArgument(argument.to_string_lossy().into_owned()));
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
            let kind = required("get", "templates or workspaces", arguments.opt_free_from_str()?)?;
            Subcommand::Get { kind, name: arguments.opt_free_from_str()? }
        }
        Topic::Diff => Subcommand::Diff { file: file("diff", arguments)? },
        Topic::History => Subcommand::History,
        Topic::Change => {
            let id = required("change", "the id of a change", arguments.opt_free_from_str()?)?;
            Subcommand::Change { id }
        }
        Topic::Status => Subcommand::Status,
        Topic::Timeline => Subcommand::Timeline(timeline(arguments)?),
        Topic::Entries => {
            let workspace = arguments.opt_value_from_str("--workspace")?;
            Subcommand::Entries { workspace: required("entries", "--workspace NAME", workspace)? }
        }
    })
}

fn required<T>(
    command: &'static str,
    needed: &'static str,
    value: Option<T>,
) -> Result<T, UsageError> {
    value.ok_or(UsageError::Missing { command, needed })
}

fn file(command: &'static str, arguments: &mut Arguments) -> Result<PathBuf, UsageError> {
    required(command, "-f FILE with documents", arguments.opt_value_from_str("-f")?)
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
