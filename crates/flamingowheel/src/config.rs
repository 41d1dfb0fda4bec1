//! Configuration of a run: the command line's arguments, validated and completed from files and the
//! environment.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flamingowheel_config::change::{ChangeId, MalformedChangeId};
use flamingowheel_config::document::MAX_FILE_BYTES;
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_config::problem::is_name;
use flamingowheel_observe::api::EventQuery;
use http::HeaderValue;
use uuid::Uuid;

use crate::cli::{ApplyArgs, Args, Subcommand, TimelineArgs};

/// Environment variable with the operators' addresses of entries, separated by commas.
pub const ENTRIES_VARIABLE: &str = "FLAMINGOWHEEL_ENTRIES";
/// Environment variable with the operators' token.
pub const TOKEN_VARIABLE: &str = "FLAMINGOWHEEL_TOKEN";
/// Environment variable with the operator's name.
pub const OPERATOR_VARIABLE: &str = "FLAMINGOWHEEL_OPERATOR";
/// Environment variable with the login name, used if no operator is named.
const USER_VARIABLE: &str = "USER";

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_TOKEN_BYTES: usize = 4_096;

/// An option, a file or the environment is wrong.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No address of an entry was given.
    #[error("no entry given: use --entry IP:PORT or set {ENTRIES_VARIABLE}")]
    NoEntries,
    /// An entry's address is malformed.
    #[error("`{text}` is not an address IP:PORT: {source}")]
    Address {
        /// The value as given.
        text: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// No token was given.
    #[error("no operators' token given: use --token-file FILE or set {TOKEN_VARIABLE}")]
    NoToken,
    /// The token is empty, too long or not valid in an HTTP header.
    #[error("the operators' token is empty, too long or holds characters that can't be sent")]
    InvalidToken,
    /// A file can't be read.
    #[error("can't read {}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file of documents is too large.
    #[error("{} has {size_bytes} bytes, more than the {MAX_FILE_BYTES} of one change", path.display())]
    FileTooLarge {
        /// Path of the file.
        path: PathBuf,
        /// Size of the file.
        size_bytes: usize,
    },
    /// A duration is malformed.
    #[error("{option}: `{text}` is not a time such as 5m or 11s: {source}")]
    Time {
        /// Name of the option.
        option: &'static str,
        /// The value as given.
        text: String,
        /// The parser's error.
        source: humantime::DurationError,
    },
    /// A revision is malformed.
    #[error("--seen: `{text}` is not a revision: {source}")]
    Revision {
        /// The value as given.
        text: String,
        /// The parser's error.
        source: ParseIntError,
    },
    /// A UUID is malformed.
    #[error("{option}: `{text}` is not an id: {source}")]
    Id {
        /// Name of the option.
        option: &'static str,
        /// The value as given.
        text: String,
        /// The parser's error.
        source: uuid::Error,
    },
    /// A change's id is malformed.
    #[error("`{text}`: {source}")]
    Change {
        /// The value as given.
        text: String,
        /// The parser's error.
        source: MalformedChangeId,
    },
    /// `get` does not support this kind of document.
    #[error("`{0}` can't be shown; say templates or workspaces")]
    Kind(String),
    /// A document's name is not valid.
    #[error("`{0}` is not a name: 1 to 63 of a-z 0-9 - . _ beginning with a letter or digit")]
    Name(String),
    /// No operator is named; the history of changes requires one.
    #[error("no operator named: use --operator NAME or set {OPERATOR_VARIABLE}")]
    NoOperator,
    /// `timeline` without a filter would return all events of all processes.
    #[error("timeline needs one of --request, --group, --workspace, --since")]
    NoTimelineFilter,
}

/// Environment variables.
#[derive(Clone, Debug, Default)]
pub struct Environment(HashMap<String, String>);

impl Environment {
    /// Reads the process's environment. Variables that are not UTF-8 are ignored.
    pub fn from_process() -> Self {
        let pairs = std::env::vars_os();
        Self(
            pairs
                .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)))
                .collect(),
        )
    }

    /// Adds a variable.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.0.insert(name.to_owned(), value.to_owned());
        self
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str).filter(|value| !value.is_empty())
    }
}

/// The operators' token; never printed.
#[derive(Clone)]
pub struct Token(HeaderValue);

impl Token {
    fn new(text: &str) -> Result<Self, ConfigError> {
        let text = text.trim();
        if text.is_empty() || text.len() > MAX_TOKEN_BYTES {
            return Err(ConfigError::InvalidToken);
        }
        let mut header = HeaderValue::from_str(&format!("Bearer {text}"))
            .map_err(|_| ConfigError::InvalidToken)?;
        header.set_sensitive(true);
        Ok(Self(header))
    }

    /// Value of the `authorization` header.
    pub fn header(&self) -> HeaderValue {
        self.0.clone()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Validated configuration of a run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Operators' addresses of entries, tried in order; never empty.
    pub entries: Vec<SocketAddr>,
    /// The operators' token.
    pub token: Token,
    /// How long one entry may take to answer.
    pub timeout: Duration,
    /// Whether answers are printed as JSON.
    pub json: bool,
    /// The subcommand to run.
    pub command: Command,
}

/// A validated subcommand.
#[derive(Clone, Debug)]
pub enum Command {
    /// Change documents.
    Apply(Apply),
    /// Show all documents of a kind.
    GetAll(DocumentKind),
    /// Show one document.
    GetOne(DocumentKind, String),
    /// Show what documents would change.
    Diff {
        /// The documents, as read from the file.
        documents: String,
    },
    /// Show the last changes.
    History,
    /// Show the outcome of a change.
    Change(ChangeRef),
    /// Show the fleet's processes and rank groups.
    Status,
    /// Show the matching events of all processes.
    Timeline(EventQuery),
    /// Show the entry addresses for callers of a workspace.
    Entries {
        /// Name of the workspace.
        workspace: String,
    },
}

/// Kind of documents to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentKind {
    /// Templates.
    Templates,
    /// Workspaces.
    Workspaces,
}

/// Identifies a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeRef {
    /// The complete id, for which acceptance and non-acceptance can both be determined.
    ById(ChangeId),
    /// The random part of the id, as `--again` takes it, for which only acceptance can be determined.
    ByUuid(Uuid),
}

impl fmt::Display for ChangeRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ById(id) => id.fmt(f),
            Self::ByUuid(uuid) => uuid.fmt(f),
        }
    }
}

/// A change to send.
#[derive(Clone, Debug)]
pub struct Apply {
    /// The documents, as read from the file.
    pub documents: String,
    /// Whether to validate the change without writing it.
    pub dry_run: bool,
    /// How long to wait until the change is in force everywhere; absent for no wait.
    pub wait: Option<Duration>,
    /// Revision that the change is based on; the newest if absent.
    pub seen: Option<ConfigRevision>,
    /// Random part of the change's id.
    pub uuid: Uuid,
    /// Name of the operator, for the history.
    pub operator: String,
    /// Reason for the change, for the history; may be empty.
    pub comment: String,
}

impl Config {
    /// Validates the arguments and reads the files that they name.
    ///
    /// ```
    /// use flamingowheel::cli::{Invocation, parse};
    /// use flamingowheel::config::{Config, Environment};
    ///
    /// let environment = Environment::default().with("FLAMINGOWHEEL_TOKEN", "operators-token");
    /// let args = parse(vec!["status".into(), "--entry".into(), "10.0.0.7:8082".into()]);
    /// let Ok(Invocation::Run(args)) = args else { unreachable!() };
    /// let config = Config::new(*args, &environment).expect("valid arguments");
    /// assert_eq!(config.entries.len(), 1);
    /// ```
    pub fn new(args: Args, environment: &Environment) -> Result<Self, ConfigError> {
        Ok(Self {
            command: command(args.command, environment)?,
            entries: entries(&args.entries, environment)?,
            token: token(args.token_file.as_deref(), environment)?,
            timeout: parse_duration("--timeout", args.timeout)?.unwrap_or(DEFAULT_TIMEOUT),
            json: args.json,
        })
    }
}

fn entries(given: &[String], environment: &Environment) -> Result<Vec<SocketAddr>, ConfigError> {
    let from_environment = environment.get(ENTRIES_VARIABLE).unwrap_or_default();
    let texts: Vec<&str> = match given {
        [] => from_environment.split(',').map(str::trim).filter(|text| !text.is_empty()).collect(),
        given => given.iter().map(String::as_str).collect(),
    };
    if texts.is_empty() {
        return Err(ConfigError::NoEntries);
    }
    texts.into_iter().map(parse_address).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::Address { text: text.to_owned(), source })
}

fn token(file: Option<&Path>, environment: &Environment) -> Result<Token, ConfigError> {
    match (file, environment.get(TOKEN_VARIABLE)) {
        (Some(path), _) => Token::new(&read_file(path)?),
        (None, Some(text)) => Token::new(text),
        (None, None) => Err(ConfigError::NoToken),
    }
}

fn command(args: Subcommand, environment: &Environment) -> Result<Command, ConfigError> {
    Ok(match args {
        Subcommand::Apply(args) => Command::Apply(apply(args, environment)?),
        Subcommand::Get { kind, name } => get(&kind, name)?,
        Subcommand::Diff { file } => Command::Diff { documents: read_documents(&file)? },
        Subcommand::History => Command::History,
        Subcommand::Change { id } => Command::Change(parse_change_ref(id)?),
        Subcommand::Status => Command::Status,
        Subcommand::Timeline(args) => Command::Timeline(timeline(args)?),
        Subcommand::Entries { workspace } => {
            Command::Entries { workspace: validate_name(workspace)? }
        }
    })
}

fn apply(args: ApplyArgs, environment: &Environment) -> Result<Apply, ConfigError> {
    let operator = args
        .operator
        .as_deref()
        .or_else(|| environment.get(OPERATOR_VARIABLE))
        .or_else(|| environment.get(USER_VARIABLE))
        .ok_or(ConfigError::NoOperator)?
        .to_owned();
    Ok(Apply {
        documents: read_documents(&args.file)?,
        dry_run: args.dry_run,
        wait: parse_duration("--wait", args.wait)?,
        seen: args.seen.map(parse_revision).transpose()?,
        uuid: parse_uuid("--again", args.again)?.unwrap_or_else(Uuid::new_v4),
        operator,
        comment: args.comment.unwrap_or_default(),
    })
}

fn get(kind: &str, name: Option<String>) -> Result<Command, ConfigError> {
    let kind = match kind {
        "templates" | "template" => DocumentKind::Templates,
        "workspaces" | "workspace" => DocumentKind::Workspaces,
        _ => return Err(ConfigError::Kind(kind.to_owned())),
    };
    Ok(match name {
        Some(name) => Command::GetOne(kind, validate_name(name)?),
        None => Command::GetAll(kind),
    })
}

fn timeline(args: TimelineArgs) -> Result<EventQuery, ConfigError> {
    let query = EventQuery {
        request: parse_uuid("--request", args.request)?,
        group: args.group.map(Into::into),
        workspace: args.workspace.map(Into::into),
        since_ms: parse_duration("--since", args.since)?.map(unix_ms_before_now),
        limit: None,
    };
    if query == EventQuery::default() {
        return Err(ConfigError::NoTimelineFilter);
    }
    Ok(query)
}

fn unix_ms_before_now(span: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(span).as_millis() as u64
}

fn validate_name(text: String) -> Result<String, ConfigError> {
    if is_name(&text) { Ok(text) } else { Err(ConfigError::Name(text)) }
}

fn parse_revision(text: String) -> Result<ConfigRevision, ConfigError> {
    match text.parse() {
        Ok(revision) => Ok(ConfigRevision(revision)),
        Err(source) => Err(ConfigError::Revision { text, source }),
    }
}

fn parse_uuid(option: &'static str, text: Option<String>) -> Result<Option<Uuid>, ConfigError> {
    let Some(text) = text else { return Ok(None) };
    match text.parse() {
        Ok(id) => Ok(Some(id)),
        Err(source) => Err(ConfigError::Id { option, text, source }),
    }
}

fn parse_change_ref(text: String) -> Result<ChangeRef, ConfigError> {
    if let Ok(uuid) = text.parse() {
        return Ok(ChangeRef::ByUuid(uuid));
    }
    match text.parse() {
        Ok(id) => Ok(ChangeRef::ById(id)),
        Err(source) => Err(ConfigError::Change { text, source }),
    }
}

fn parse_duration(
    option: &'static str,
    text: Option<String>,
) -> Result<Option<Duration>, ConfigError> {
    let Some(text) = text else { return Ok(None) };
    // A bare number means seconds.
    if let Ok(seconds) = text.parse() {
        return Ok(Some(Duration::from_secs(seconds)));
    }
    match humantime::parse_duration(&text) {
        Ok(duration) => Ok(Some(duration)),
        Err(source) => Err(ConfigError::Time { option, text, source }),
    }
}

fn read_documents(path: &Path) -> Result<String, ConfigError> {
    let text = read_file(path)?;
    if text.len() > MAX_FILE_BYTES {
        return Err(ConfigError::FileTooLarge { path: path.to_owned(), size_bytes: text.len() });
    }
    Ok(text)
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|source| ConfigError::File { path: path.to_owned(), source })
}
