//! Settings of one daemon, read from its YAML file.
//!
//! [`Settings::load`] gives settings that are complete and checked: optional fields have their
//! defaults, secrets are read from their files, and the role's own section is there. Unknown
//! fields are refused with their line.

use crate::problem::{Collector, Reason};
use crate::secret::{Secret, SecretSource};
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
    #[serde(default = "defaults::key_value_timeout_ms")]
    pub timeout_ms: u64,
}

/// How the VM list is read.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Time between two reads, in milliseconds.
    #[serde(default = "defaults::vm_list_interval_ms")]
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
    /// Bytes of a stream kept for resuming it.
    pub replay_window_bytes: u64,
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
        let raw: File = serde_yaml_ng::from_str(text).map_err(|source| syntax(file, source))?;
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

type Problems = Collector<SettingsProblem>;

/// The file as it is written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    vm: String,
    data_centre: String,
    region: String,
    role: RoleName,
    listen: Listen,
    key_value: KeyValueSettings,
    vm_list: VmListSettings,
    fleet_key: SecretSource,
    operators_token: SecretSource,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    #[serde(default)]
    drain_deadline_ms: u64,
    #[serde(default)]
    log_level: LogLevel,
    entry: Option<EntrySettings>,
    agent: Option<AgentFile>,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RoleName {
    Entry,
    Agent,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AgentFile {
    backend_server: SocketAddr,
    kind: KindName,
    model: Option<String>,
    group: Option<String>,
    rank: Option<u32>,
    ranks: Option<u32>,
    #[serde(default)]
    checks_fencing: bool,
    service: Option<String>,
    #[serde(default = "defaults::places")]
    places: u64,
    #[serde(default = "defaults::queue_length")]
    queue_length: u64,
    #[serde(default = "defaults::record_window_s")]
    record_window_s: u64,
    #[serde(default = "defaults::record_capacity")]
    record_capacity: u64,
    #[serde(default = "defaults::replay_window_bytes")]
    replay_window_bytes: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindName {
    Engine,
    Service,
}

mod defaults {
    pub fn key_value_timeout_ms() -> u64 {
        1_000
    }
    pub fn vm_list_interval_ms() -> u64 {
        1_000
    }
    pub fn places() -> u64 {
        8
    }
    pub fn queue_length() -> u64 {
        1
    }
    pub fn record_window_s() -> u64 {
        3_600
    }
    pub fn record_capacity() -> u64 {
        50_000
    }
    pub fn replay_window_bytes() -> u64 {
        1 << 20
    }
}

impl File {
    fn resolve(self, problems: &mut Problems) -> Option<Settings> {
        self.check_common(problems);
        let fleet_key = resolve_secret(&self.fleet_key, "fleet_key", problems);
        let operators_token = resolve_secret(&self.operators_token, "operators_token", problems);
        let role = resolve_role(self.role, &self.listen, self.entry, self.agent, problems);
        Some(Settings {
            name: self.name,
            vm: self.vm,
            data_centre: self.data_centre,
            region: self.region,
            listen: self.listen,
            key_value: self.key_value,
            vm_list: self.vm_list,
            fleet_key: fleet_key?,
            operators_token: operators_token?,
            peers: self.peers,
            drain_deadline_ms: self.drain_deadline_ms,
            log_level: self.log_level,
            role: role?,
        })
    }

    fn check_common(&self, problems: &mut Problems) {
        problems.name("name", &self.name);
        problems.name("vm", &self.vm);
        problems.name("data_centre", &self.data_centre);
        problems.name("region", &self.region);
        if self.key_value.addresses.is_empty() {
            problems.push("key_value.addresses", Reason::Empty);
        }
        problems.range("key_value.timeout_ms", self.key_value.timeout_ms as f64, 10.0, 60_000.0);
        problems.range("vm_list.interval_ms", self.vm_list.interval_ms as f64, 100.0, 60_000.0);
        let listen = &self.listen;
        if listen.inner == listen.operators {
            problems.push("listen.operators", duplicate(listen.operators));
        }
        if let Some(callers) = listen.callers
            && (callers == listen.inner || callers == listen.operators)
        {
            problems.push("listen.callers", duplicate(callers));
        }
    }
}

fn duplicate(address: SocketAddr) -> Reason {
    Reason::Duplicate { value: address.to_string() }
}

fn resolve_secret(source: &SecretSource, field: &str, problems: &mut Problems) -> Option<Secret> {
    let secret = match (&source.file, &source.inline) {
        (Some(file), None) => read_secret(file, field, problems)?,
        (None, Some(inline)) => inline.clone(),
        (None, None) => {
            problems.push(field, Reason::Missing);
            return None;
        }
        (Some(_), Some(_)) => {
            problems.push(format!("{field}.inline"), Reason::Unexpected);
            return None;
        }
    };
    let (length, min) = (secret.expose().len(), MIN_SECRET_BYTES);
    problems.range(format!("{field} (length)"), length as f64, min as f64, 4_096.0);
    Some(secret)
}

fn read_secret(file: &Path, field: &str, problems: &mut Problems) -> Option<Secret> {
    match std::fs::read_to_string(file) {
        Ok(text) => Some(Secret::new(text.trim())),
        Err(error) => {
            let (file, kind) = (file.display().to_string(), error.kind().to_string());
            problems.push(format!("{field}.file"), Reason::Unreadable { file, kind });
            None
        }
    }
}

fn resolve_role(
    role: RoleName,
    listen: &Listen,
    entry: Option<EntrySettings>,
    agent: Option<AgentFile>,
    problems: &mut Problems,
) -> Option<Role> {
    match role {
        RoleName::Entry => {
            if agent.is_some() {
                problems.push("agent", Reason::Unexpected);
            }
            if listen.callers.is_none() {
                problems.push("listen.callers", Reason::Missing);
            }
            let entry = entry.unwrap_or_default();
            entry.check(problems);
            Some(Role::Entry(entry))
        }
        RoleName::Agent => {
            if entry.is_some() {
                problems.push("entry", Reason::Unexpected);
            }
            if listen.callers.is_some() {
                problems.push("listen.callers", Reason::Unexpected);
            }
            let Some(agent) = agent else {
                problems.push("agent", Reason::Missing);
                return None;
            };
            agent.resolve(problems).map(Role::Agent)
        }
    }
}

impl EntrySettings {
    fn check(&self, problems: &mut Problems) {
        problems.range("entry.address_ttl_s", self.address_ttl_s as f64, 1.0, 3_600.0);
        problems.range("entry.max_body_bytes", self.max_body_bytes as f64, 1_024.0, 1e9);
        problems.range("entry.max_header_count", self.max_header_count as f64, 8.0, 1_000.0);
        problems.range("entry.max_header_bytes", self.max_header_bytes as f64, 8_192.0, 1e6);
        problems.range("entry.header_timeout_ms", self.header_timeout_ms as f64, 100.0, 60_000.0);
        problems.range("entry.body_timeout_ms", self.body_timeout_ms as f64, 100.0, 600_000.0);
        problems.range("entry.max_connections", self.max_connections as f64, 1.0, 1e6);
    }
}

impl AgentFile {
    fn resolve(self, problems: &mut Problems) -> Option<AgentSettings> {
        problems.range("agent.places", self.places as f64, 1.0, 10_000.0);
        problems.range("agent.queue_length", self.queue_length as f64, 0.0, 10_000.0);
        problems.range("agent.record_window_s", self.record_window_s as f64, 60.0, 604_800.0);
        problems.range("agent.record_capacity", self.record_capacity as f64, 100.0, 1e7);
        let replay = self.replay_window_bytes as f64;
        problems.range("agent.replay_window_bytes", replay, 4_096.0, 1e9);
        let kind = match self.kind {
            KindName::Engine => self.engine(problems),
            KindName::Service => self.service(problems),
        };
        Some(AgentSettings {
            backend_server: self.backend_server,
            kind: kind?,
            places: self.places,
            queue_length: self.queue_length,
            record_window_s: self.record_window_s,
            record_capacity: self.record_capacity,
            replay_window_bytes: self.replay_window_bytes,
        })
    }

    fn engine(&self, problems: &mut Problems) -> Option<BackendServerKind> {
        if self.service.is_some() {
            problems.push("agent.service", Reason::Unexpected);
        }
        let model = required(&self.model, "agent.model", problems);
        let group = required(&self.group, "agent.group", problems);
        let rank = required(&self.rank, "agent.rank", problems);
        let ranks = required(&self.ranks, "agent.ranks", problems);
        let (model, group, rank, ranks) = (model?, group?, rank?, ranks?);
        problems.name("agent.model", &model);
        problems.name("agent.group", &group);
        problems.range("agent.ranks", f64::from(ranks), 1.0, 4_096.0);
        problems.range("agent.rank", f64::from(rank), 0.0, f64::from(ranks.max(1) - 1));
        let checks_fencing = self.checks_fencing;
        Some(BackendServerKind::Engine { model, group, rank, ranks, checks_fencing })
    }

    fn service(&self, problems: &mut Problems) -> Option<BackendServerKind> {
        let engine_only = [
            ("agent.model", self.model.is_some()),
            ("agent.group", self.group.is_some()),
            ("agent.rank", self.rank.is_some()),
            ("agent.ranks", self.ranks.is_some()),
            ("agent.checks_fencing", self.checks_fencing),
        ];
        for (field, _) in engine_only.into_iter().filter(|(_, given)| *given) {
            problems.push(field, Reason::Unexpected);
        }
        let service = required(&self.service, "agent.service", problems)?;
        problems.name("agent.service", &service);
        Some(BackendServerKind::Service { service })
    }
}

fn required<T>(value: &Option<T>, field: &str, problems: &mut Problems) -> Option<T>
where
    T: Clone,
{
    if value.is_none() {
        problems.push(field, Reason::Missing);
    }
    value.clone()
}
