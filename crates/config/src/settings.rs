//! Settings of one daemon, read from its YAML file.
//!
//! [`Settings::load`] returns complete and validated settings: optional fields have their
//! defaults, secrets are read from their files, and the section of the role is present. Unknown
//! fields are refused, with their line.

mod file;

use crate::problem::{Collector, Reason};
use crate::secret::Secret;
use crate::yaml;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Shortest accepted fleet key or operators' token.
pub const MIN_SECRET_BYTES: usize = 16;

/// All settings of a daemon; read once at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this process in logs, status and addresses; must be unique in the fleet.
    pub name: String,
    /// Name of the VM that the process runs on, as in the VM list.
    pub vm: String,
    /// Name of the data centre of the VM.
    pub data_centre: String,
    /// Name of the region of the data centre.
    pub region: String,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Connection to the key-value service.
    pub key_value: KeyValueSettings,
    /// Polling of the VM list.
    pub vm_list: VmListSettings,
    /// Shared key by which the fleet's processes authenticate each other.
    pub fleet_key: Secret,
    /// Token that requests to the operators' interface must carry.
    pub operators_token: Secret,
    /// Inner addresses of some entries, contacted first after a start.
    pub peers: Vec<SocketAddr>,
    /// Longest time that a planned stop waits for requests in progress; 0 waits for all of them.
    pub drain_deadline_ms: u64,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// The role of the process, with the settings of that role.
    pub role: Role,
}

/// The role of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum Role {
    /// Accepts callers' requests and operators' changes.
    Entry(EntrySettings),
    /// Forwards requests to one backend server.
    Agent(AgentSettings),
}

/// Addresses that a process listens on.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers; set on entries only.
    pub callers: Option<SocketAddr>,
    /// Address for other processes of the fleet.
    pub inner: SocketAddr,
    /// Address of the operators' interface, which also serves `/metrics`.
    pub operators: SocketAddr,
}

/// Connection to the key-value service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyValueSettings {
    /// Addresses of the service, tried in order.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one call.
    #[serde(default = "file::defaults::key_value_timeout_ms")]
    pub timeout_ms: u64,
}

/// Polling of the VM list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListSettings {
    /// Address of the service that provides the list.
    pub address: SocketAddr,
    /// Time between two polls.
    #[serde(default = "file::defaults::vm_list_interval_ms")]
    pub interval_ms: u64,
}

/// Settings of the entry role.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// Time to live of an address answer at callers.
    pub address_ttl_s: u64,
    /// Largest accepted body of a caller's request.
    pub max_body_bytes: u64,
    /// Most headers accepted in a caller's request.
    pub max_header_count: u64,
    /// Largest accepted request line and headers of a caller's request.
    pub max_header_bytes: u64,
    /// Timeout for a caller to send the request line and headers.
    pub header_timeout_ms: u64,
    /// Timeout for a caller to send the body.
    pub body_timeout_ms: u64,
    /// Most concurrent connections of callers.
    pub max_connections: u64,
    /// Rate limit of the weight store; loads are not rate-limited if absent.
    pub weight_store: Option<WeightStoreSettings>,
}

/// Rate of the weight store and the sizes of loads from it. Must be the same at all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStoreSettings {
    /// Total rate of the store, shared by all entries.
    pub rate_bytes_per_s: u64,
    /// Upper bound of the number of entries that coordinate groups at the same time.
    pub max_members: u64,
    /// Size of one expert of one layer, for the largest model.
    pub expert_bytes: u64,
    /// Size of all weights that one rank loads of a version, for the largest model.
    pub rank_bytes: u64,
    /// Size of one adapter on one rank, for the largest adapter.
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

/// Settings of the agent role.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentSettings {
    /// Address of the backend server that the agent forwards to.
    pub backend_server: SocketAddr,
    /// Whether the backend server is an engine or a plain service.
    pub kind: BackendServerKind,
    /// Most requests running at the same time.
    pub places: u64,
    /// Most requests queued for a free place.
    pub queue_length: u64,
    /// Retention time of the record of a finished request.
    pub record_window_s: u64,
    /// Most records kept; when reached, new non-idempotent requests are refused.
    pub record_capacity: u64,
    /// Most bytes of answers kept in records; when reached, new non-idempotent requests are
    /// refused.
    pub record_bytes: u64,
    /// Last bytes of a stream that are kept so that it can be resumed.
    pub replay_window_bytes: u64,
}

/// Sizes of a group's expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpertSettings {
    /// Number of layers with experts.
    pub layers: u32,
    /// Number of experts per layer.
    pub experts: u32,
    /// Number of experts per layer that each rank holds.
    pub slots: u32,
}

/// The kind of a backend server, with its identity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendServerKind {
    /// A model engine: one rank of a group.
    Engine {
        /// Name of the model that the engine serves at its start.
        model: String,
        /// Name of the group that the rank belongs to.
        group: String,
        /// Number of the rank in the group, from 0.
        rank: u32,
        /// Number of ranks in the group.
        ranks: u32,
        /// Whether the engine itself refuses orders with an old fencing number.
        checks_fencing: bool,
        /// Sizes of the group's expert map; absent if the group has none.
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
    /// Failures.
    Error,
    /// Failures and unusual conditions.
    Warn,
    /// As `Warn`, and normal changes of state.
    #[default]
    Info,
    /// As `Info`, and details such as single connection attempts.
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

/// An error of loading settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The settings file can't be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// Path of the settings file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not YAML, or a field is unknown, missing or of the wrong type.
    #[error("{}:{line}:{column}: {source}", file.display())]
    Syntax {
        /// Path of the settings file.
        file: PathBuf,
        /// Line, from 1; 0 if the parser gives no position.
        line: usize,
        /// Column, from 1; 0 if the parser gives no position.
        column: usize,
        /// The parser's error.
        source: serde_yaml_ng::Error,
    },
    /// Values are out of range or inconsistent.
    #[error("{}: {}", file.display(), join_problems(problems))]
    Invalid {
        /// Path of the settings file.
        file: PathBuf,
        /// All problems found in the file.
        problems: Vec<SettingsProblem>,
    },
}

/// A refused field of the settings file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{field} {reason}")]
pub struct SettingsProblem {
    /// Path of the field, such as `agent.places`.
    pub field: String,
    /// Why the value is refused.
    pub reason: Reason,
}

fn join_problems(problems: &[SettingsProblem]) -> String {
    problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

impl Settings {
    /// Reads and validates a settings file and the secret files that it names.
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Read { file: file.to_owned(), source })?;
        Self::parse(&text, file)
    }

    /// Parses and validates the text of a settings file; `file` is used in errors only.
    ///
    /// ```
    /// use flamingowheel_config::settings::{Settings, SettingsError};
    /// use std::path::Path;
    /// let error = Settings::parse("name: a\nnmae: b\n", Path::new("daemon.yaml")).unwrap_err();
    /// assert!(matches!(error, SettingsError::Syntax { line: 2, .. }));
    /// ```
    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let raw: file::File = yaml::catch_panic(|| serde_yaml_ng::from_str(text))
            .map_err(|source| syntax_error(file, source))?;
        let mut collector = Collector::new(|field, reason| SettingsProblem { field, reason });
        let settings = raw.resolve(&mut collector);
        match settings {
            Some(settings) if collector.problems.is_empty() => Ok(settings),
            _ => {
                Err(SettingsError::Invalid { file: file.to_owned(), problems: collector.problems })
            }
        }
    }
}

fn syntax_error(file: &Path, source: serde_yaml_ng::Error) -> SettingsError {
    let (line, column) = source.location().map_or((0, 0), |at| (at.line(), at.column()));
    SettingsError::Syntax { file: file.to_owned(), line, column, source }
}
