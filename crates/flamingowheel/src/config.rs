//! What is meant: the typed options checked and completed from files and the environment.

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

/// Variable with the entries' operators' addresses, separated by commas.
pub const ENTRIES_VARIABLE: &str = "FLAMINGOWHEEL_ENTRIES";
/// Variable with the operators' token.
pub const TOKEN_VARIABLE: &str = "FLAMINGOWHEEL_TOKEN";
/// Variable with the operator's name.
pub const OPERATOR_VARIABLE: &str = "FLAMINGOWHEEL_OPERATOR";
/// Variable with the login name, where no operator is named.
const USER_VARIABLE: &str = "USER";

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_TOKEN_BYTES: usize = 4_096;

/// An option, a file or the environment is wrong.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No entry was named.
    #[error("no entry given: use --entry IP:PORT or set {ENTRIES_VARIABLE}")]
    NoEntries,
    /// An entry's address can't be read.
    #[error("`{text}` is not an address IP:PORT: {source}")]
    Address {
        /// What was given.
        text: String,
        /// What is wrong.
        source: AddrParseError,
    },
    /// No token was given.
    #[error("no operators' token given: use --token-file FILE or set {TOKEN_VARIABLE}")]
    NoToken,
    /// The token can't be sent.
    #[error("the operators' token is empty, too long or holds characters that can't be sent")]
    InvalidToken,
    /// A file can't be read.
    #[error("can't read {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        source: io::Error,
    },
    /// A file of documents is too large.
    #[error("{} has {size_bytes} bytes, more than the {MAX_FILE_BYTES} of one change", path.display())]
    FileTooLarge {
        /// The file.
        path: PathBuf,
        /// Its size.
        size_bytes: usize,
    },
    /// A time can't be read.
    #[error("{option}: `{text}` is not a time such as 5m or 11s: {source}")]
    Time {
        /// The option.
        option: &'static str,
        /// What was given.
        text: String,
        /// What is wrong.
        source: humantime::DurationError,
    },
    /// A revision can't be read.
    #[error("--seen: `{text}` is not a revision: {source}")]
    Revision {
        /// What was given.
        text: String,
        /// What is wrong.
        source: ParseIntError,
    },
    /// An id can't be read.
    #[error("{option}: `{text}` is not an id: {source}")]
    Id {
        /// The option.
        option: &'static str,
        /// What was given.
        text: String,
        /// What is wrong.
        source: uuid::Error,
    },
    /// A change's id can't be read.
    #[error("`{text}`: {source}")]
    Change {
        /// What was given.
        text: String,
        /// What is wrong.
        source: MalformedChangeId,
    },
    /// `get` of something else.
    #[error("`{0}` can't be shown; say templates or workspaces")]
    Kind(String),
    /// Not a name.
    #[error("`{0}` is not a name: 1 to 63 of a-z 0-9 - . _ beginning with a letter or digit")]
    Name(String),
    /// Nobody to put into the history.
    #[error("no operator named: use --operator NAME or set {OPERATOR_VARIABLE}")]
    NoOperator,
    /// A time line of everything ever.
    #[error("timeline needs one of --request, --group, --workspace, --since")]
    NoTimelineFilter,
}

/// Variables of the environment.
#[derive(Clone, Debug, Default)]
pub struct Environment(HashMap<String, String>);

impl Environment {
    /// The process's environment; variables that aren't UTF-8 are left out.
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

/// Everything that a run needs.
#[derive(Clone, Debug)]
pub struct Config {
    /// Operators' addresses of entries, asked in turn; never empty.
    pub entries: Vec<SocketAddr>,
    /// The operators' token.
    pub token: Token,
    /// How long one entry may take to answer.
    pub timeout: Duration,
    /// Whether answers are printed as JSON.
    pub json: bool,
    /// The command.
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Change documents.
    Apply(Apply),
    /// Show all documents of a kind.
    GetAll(Kind),
    /// Show one document.
    GetOne(Kind, String),
    /// Show what documents would change.
    Diff {
        /// The documents.
        documents: String,
    },
    /// Show the last changes.
    History,
    /// Ask what became of a change.
    Change(ChangeRef),
    /// Show the fleet.
    Status,
    /// Show what happened.
    Timeline(EventQuery),
    /// Ask the address question.
    Entries {
        /// For this workspace.
        workspace: String,
    },
}

/// Kind of documents to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Templates.
    Templates,
    /// Workspaces.
    Workspaces,
}

/// A change to ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeRef {
    /// By its whole id: whether it was accepted can always be found out.
    ById(ChangeId),
    /// By its random part, as `--again` takes it: only an acceptance can be found out.
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
    /// Whether to check only.
    pub dry_run: bool,
    /// How long to wait until it is in force everywhere; not at all if absent.
    pub wait: Option<Duration>,
    /// The revision the operator looked at; the newest if absent.
    pub seen: Option<ConfigRevision>,
    /// Random part of the change's id.
    pub uuid: Uuid,
    /// Who makes the change.
    pub operator: String,
    /// Why.
    pub comment: String,
}

impl Config {
    /// Checks what was typed and reads the files it names.
    ///
    /// ```
    /// use flamingowheel::cli::{Invocation, parse};
    /// use flamingowheel::config::{Config, Environment};
    ///
    /// let environment = Environment::default().with("FLAMINGOWHEEL_TOKEN", "operators-token");
    /// let typed = parse(vec!["status".into(), "--entry".into(), "10.0.0.7:8082".into()]);
    /// let Ok(Invocation::Run(typed)) = typed else { unreachable!() };
    /// let config = Config::new(*typed, &environment).expect("complete");
    /// assert_eq!(config.entries.len(), 1);
    /// ```
    pub fn new(typed: Args, environment: &Environment) -> Result<Self, ConfigError> {
        Ok(Self {
            command: command(typed.command, environment)?,
            entries: entries(&typed.entries, environment)?,
            token: token(typed.token_file.as_deref(), environment)?,
            timeout: time("--timeout", typed.timeout)?.unwrap_or(DEFAULT_TIMEOUT),
            json: typed.json,
        })
    }
}

fn entries(typed: &[String], environment: &Environment) -> Result<Vec<SocketAddr>, ConfigError> {
    let from_environment = environment.get(ENTRIES_VARIABLE).unwrap_or_default();
    let texts: Vec<&str> = match typed {
        [] => from_environment.split(',').map(str::trim).filter(|text| !text.is_empty()).collect(),
        typed => typed.iter().map(String::as_str).collect(),
    };
    if texts.is_empty() {
        return Err(ConfigError::NoEntries);
    }
    texts.into_iter().map(address).collect()
}

fn address(text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::Address { text: text.to_owned(), source })
}

fn token(file: Option<&Path>, environment: &Environment) -> Result<Token, ConfigError> {
    match (file, environment.get(TOKEN_VARIABLE)) {
        (Some(path), _) => Token::new(&read(path)?),
        (None, Some(text)) => Token::new(text),
        (None, None) => Err(ConfigError::NoToken),
    }
}

fn command(typed: Subcommand, environment: &Environment) -> Result<Command, ConfigError> {
    Ok(match typed {
        Subcommand::Apply(typed) => Command::Apply(apply(typed, environment)?),
        Subcommand::Get { kind, name } => get(&kind, name)?,
        Subcommand::Diff { file } => Command::Diff { documents: documents(&file)? },
        Subcommand::History => Command::History,
        Subcommand::Change { id } => Command::Change(change(id)?),
        Subcommand::Status => Command::Status,
        Subcommand::Timeline(typed) => Command::Timeline(timeline(typed)?),
        Subcommand::Entries { workspace } => Command::Entries { workspace: name(workspace)? },
    })
}

fn apply(typed: ApplyArgs, environment: &Environment) -> Result<Apply, ConfigError> {
    let operator = typed
        .operator
        .as_deref()
        .or_else(|| environment.get(OPERATOR_VARIABLE))
        .or_else(|| environment.get(USER_VARIABLE))
        .ok_or(ConfigError::NoOperator)?
        .to_owned();
    Ok(Apply {
        documents: documents(&typed.file)?,
        dry_run: typed.dry_run,
        wait: time("--wait", typed.wait)?,
        seen: typed.seen.map(revision).transpose()?,
        uuid: id("--again", typed.again)?.unwrap_or_else(Uuid::new_v4),
        operator,
        comment: typed.comment.unwrap_or_default(),
    })
}

fn get(kind: &str, wanted: Option<String>) -> Result<Command, ConfigError> {
    let kind = match kind {
        "templates" | "template" => Kind::Templates,
        "workspaces" | "workspace" => Kind::Workspaces,
        _ => return Err(ConfigError::Kind(kind.to_owned())),
    };
    Ok(match wanted {
        Some(wanted) => Command::GetOne(kind, name(wanted)?),
        None => Command::GetAll(kind),
    })
}

fn timeline(typed: TimelineArgs) -> Result<EventQuery, ConfigError> {
    let query = EventQuery {
        request: id("--request", typed.request)?,
        group: typed.group.map(Into::into),
        workspace: typed.workspace.map(Into::into),
        since_ms: time("--since", typed.since)?.map(ago_ms),
        limit: None,
    };
    if query == EventQuery::default() {
        return Err(ConfigError::NoTimelineFilter);
    }
    Ok(query)
}

fn ago_ms(span: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(span).as_millis() as u64
}

fn name(text: String) -> Result<String, ConfigError> {
    if is_name(&text) { Ok(text) } else { Err(ConfigError::Name(text)) }
}

fn revision(text: String) -> Result<ConfigRevision, ConfigError> {
    match text.parse() {
        Ok(revision) => Ok(ConfigRevision(revision)),
        Err(source) => Err(ConfigError::Revision { text, source }),
    }
}

fn id(option: &'static str, text: Option<String>) -> Result<Option<Uuid>, ConfigError> {
    let Some(text) = text else { return Ok(None) };
    match text.parse() {
        Ok(id) => Ok(Some(id)),
        Err(source) => Err(ConfigError::Id { option, text, source }),
    }
}

fn change(text: String) -> Result<ChangeRef, ConfigError> {
    if let Ok(uuid) = text.parse() {
        return Ok(ChangeRef::ByUuid(uuid));
    }
    match text.parse() {
        Ok(id) => Ok(ChangeRef::ById(id)),
        Err(source) => Err(ConfigError::Change { text, source }),
    }
}

fn time(option: &'static str, text: Option<String>) -> Result<Option<Duration>, ConfigError> {
    let Some(text) = text else { return Ok(None) };
    // A bare number means seconds.
    if let Ok(seconds) = text.parse() {
        return Ok(Some(Duration::from_secs(seconds)));
    }
    match humantime::parse_duration(&text) {
        Ok(time) => Ok(Some(time)),
        Err(source) => Err(ConfigError::Time { option, text, source }),
    }
}

fn documents(path: &Path) -> Result<String, ConfigError> {
    let text = read(path)?;
    if text.len() > MAX_FILE_BYTES {
        return Err(ConfigError::FileTooLarge { path: path.to_owned(), size_bytes: text.len() });
    }
    Ok(text)
}

fn read(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path)
        .map_err(|source| ConfigError::File { path: path.to_owned(), source })
}
