//! Settings of one daemon, read from its YAML file.
//!
//! [`Settings::load`] gives settings that are complete and checked: optional fields have their
//! defaults, secrets are read from their files, and the role's own section is there. Unknown
//! fields are refused with their line.

mod file;

use crate::problem::{Collector, Reason};
use crate::secret::Secret;
use crate::yaml;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The shortest fleet key or operators' token that is accepted.
pub const MIN_SECRET_BYTES: usize = 16;

/// Everything a daemon is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this process in logs, status and addresses; unique in the fleet.
    pub name: String,
    /// Name of the VM it runs on, as the VM list spells it.
    pub vm: String,
    /// Data centre it stands in.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Key-value service.
    pub key_value: KeyValueSettings,
    /// VM list.
    pub vm_list: VmListSettings,
    /// Key with which the fleet's processes prove to each other who they are.
    pub fleet_key: Secret,
    /// Token that operators present.
    pub operators_token: Secret,
    /// Inner addresses of some entries, asked first after a start.
    pub peers: Vec<SocketAddr>,
    /// How long a planned stop waits for requests in progress, in milliseconds. 0 waits for all.
    pub drain_deadline_ms: u64,
    /// Lowest level that is logged.
    pub log_level: LogLevel,
    /// The role and its own settings.
    pub role: Role,
}

/// What this process does.
#[derive(Clone, Debug)]
pub enum Role {
    /// Takes callers' requests and operators' changes.
    Entry(EntrySettings),
    /// Guards one backend server.
    Agent(AgentSettings),
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers; entries only.
    pub callers: Option<SocketAddr>,
    /// For the fleet's own processes.
    pub inner: SocketAddr,
    /// For operators, with `/metrics`.
    pub operators: SocketAddr,
}

/// How the key-value service is reached.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyValueSettings {
    /// Its addresses, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// How long one call may take, in milliseconds.
    #[serde(default = "file::defaults::key_value_timeout_ms")]
    pub timeout_ms: u64,
}

/// How the VM list is read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Time between two reads, in milliseconds.
    #[serde(default = "file::defaults::vm_list_interval_ms")]
    pub interval_ms: u64,
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// How long callers keep an address answer, in seconds.
    pub address_ttl_s: u64,
    /// Largest request body taken from a caller, in bytes.
    pub max_body_bytes: u64,
    /// Most headers of a caller's request.
    pub max_header_count: u64,
    /// Largest head of a caller's request, in bytes.
    pub max_header_bytes: u64,
    /// How long a caller may take to send the head, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a caller may take to send the body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Most connections of callers at one time.
    pub max_connections: u64,
    /// The weight store; loads are not paced if absent.
    pub weight_store: Option<WeightStoreSettings>,
}

/// The weight store's rate and what loads take of it; the same at all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Rate of the whole store, in bytes a second.
    pub rate_bytes_per_s: u64,
    /// Most entries that may ever coordinate groups at the same time.
    pub max_members: u64,
    /// Weights of one expert of one layer, of the largest model.
    pub expert_bytes: u64,
    /// All that one rank loads of a version, of the largest model.
    pub rank_bytes: u64,
    /// Weights of one adapter on one rank, of the largest.
    pub adapter_bytes: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            address_ttl_s: 20,
            max_body_bytes: 8 << 20,
            max_header_count: 64,
            max_header_bytes: 16 << 10,
            header_timeout_ms: 5_000,
            body_timeout_ms: 30_000,
            max_connections: 8_192,
            weight_store: None,
        }
    }
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Address of the backend server.
    pub backend_server: SocketAddr,
    /// What the backend server is.
    pub kind: BackendServerKind,
    /// Most requests running at one time.
    pub places: u64,
    /// Most requests waiting for a place.
    pub queue_length: u64,
    /// How long the record of a finished request is kept, in seconds.
    pub record_window_s: u64,
    /// Most records kept; beyond it new non-idempotent work is refused.
    pub record_capacity: u64,
    /// Most bytes of answers in records; beyond it new non-idempotent work is refused.
    pub record_bytes: u64,
    /// Bytes of a stream kept for resuming it.
    pub replay_window_bytes: u64,
}

/// Sizes of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpertSettings {
    /// Layers with experts.
    pub layers: u32,
    /// Experts a layer.
    pub experts: u32,
    /// Expert weights that a rank holds a layer.
    pub slots: u32,
}

/// What a backend server is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendServerKind {
    /// A model engine: one rank of a group.
    Engine {
        /// Model it serves at the start.
        model: String,
        /// Rank group.
        group: String,
        /// Its rank in the group.
        rank: u32,
        /// Ranks in the group.
        ranks: u32,
        /// Whether the engine itself refuses orders with an old fencing number.
        checks_fencing: bool,
        /// Sizes of the expert map, if the group's ranks share one.
        experts: Option<ExpertSettings>,
    },
    /// A plain service.
    Service {
        /// Name under which templates route to it.
        service: String,
    },
}

/// Levels of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// And what deserves a look.
    Warn,
    /// And decisions.
    #[default]
    Info,
    /// And steps.
    Debug,
}

impl LogLevel {
    /// The level as a filter directive of `tracing`.
    ///
    /// ```
    /// use flamingowheel_config::settings::LogLevel;
    /// assert_eq!(LogLevel::Warn.as_str(), "warn");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
        }
    }
}

/// Why settings are refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file could not be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// The settings file.
        file: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The file is not YAML, or a field is unknown, missing or of the wrong type.
    #[error("{}:{line}:{column}: {source}", file.display())]
    Syntax {
        /// The settings file.
        file: PathBuf,
        /// Line, from 1; 0 where the parser names none.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What the parser said.
        source: serde_yaml_ng::Error,
    },
    /// Values are out of bounds or do not go together: all of them at once.
    #[error("{}: {}", file.display(), join(problems))]
    Invalid {
        /// The settings file.
        file: PathBuf,
        /// Every problem found.
        problems: Vec<SettingsProblem>,
    },
}

/// One refused field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field} {reason}")]
pub struct SettingsProblem {
    /// Path of the field, such as `agent.places`.
    pub field: String,
    /// What is wrong with it.
    pub reason: Reason,
}

fn join(problems: &[SettingsProblem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

impl Settings {
    /// Reads and checks a settings file and the secrets it names.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
        Self::parse(&text, file)
    }

    /// Checks the text of a settings file; `file` is only named in errors.
    ///
    /// ```
    /// use flamingowheel_config::settings::{Settings, SettingsError};
    /// use std::path::Path;
    /// let error = Settings::parse("name: a\nnmae: b\n", Path::new("daemon.yaml")).unwrap_err();
    /// assert!(matches!(error, SettingsError::Syntax { line: 2, .. }));
    /// ```
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let raw: file::File =
            yaml::guard(|| serde_yaml_ng::from_str(text)).map_err(|source| syntax(file, source))?;
        let mut problems = Collector::new(|field, reason| SettingsProblem { field, reason });
        let settings = raw.resolve(&mut problems);
        match settings {
            Some(settings) if problems.found.is_empty() => Ok(settings),
            _ => Err(SettingsError::Invalid { file: file.to_owned(), problems: problems.found }),
        }
    }
}

fn syntax(file: &Path, source: serde_yaml_ng::Error) -> SettingsError {
    let (line, column) = source.location().map_or((0, 0), |at| (at.line(), at.column()));
    SettingsError::Syntax { file: file.to_owned(), line, column, source }
}
