//! The format of the settings file, and its conversion to [`Settings`].

use super::{
    AgentSettings, BackendServerKind, EntrySettings, ExpertSettings, KeyValueSettings, Listen,
    LogLevel, MIN_SECRET_BYTES, Role, Settings, SettingsProblem, VmListSettings,
    WeightStoreSettings,
};
use crate::problem::{Collector, Reason};
use crate::secret::{Secret, SecretSource};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

type Problems = Collector<SettingsProblem>;

/// The deserialised file, before validation and resolution of secrets.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct File {
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
    layers: Option<u32>,
    experts: Option<u32>,
    expert_slots: Option<u32>,
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
    #[serde(default = "defaults::record_bytes")]
    record_bytes: u64,
    #[serde(default = "defaults::replay_window_bytes")]
    replay_window_bytes: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindName {
    Engine,
    Service,
}

pub(super) mod defaults {
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
    pub fn record_bytes() -> u64 {
        64 << 20
    }
    pub fn replay_window_bytes() -> u64 {
        1 << 20
    }
}

impl File {
    pub(super) fn resolve(self, problems: &mut Problems) -> Option<Settings> {
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
        problems.check_name("name", &self.name);
        problems.check_name("vm", &self.vm);
        problems.check_name("data_centre", &self.data_centre);
        problems.check_name("region", &self.region);
        if self.key_value.addresses.is_empty() {
            problems.push("key_value.addresses", Reason::Empty);
        }
        problems.check_range(
            "key_value.timeout_ms",
            self.key_value.timeout_ms as f64,
            10.0,
            60_000.0,
        );
        problems.check_range(
            "vm_list.interval_ms",
            self.vm_list.interval_ms as f64,
            100.0,
            60_000.0,
        );
        let listen = &self.listen;
        if is_same_address(listen.inner, listen.operators) {
            problems.push("listen.operators", duplicate_address(listen.operators));
        }
        if let Some(callers) = listen.callers
            && (is_same_address(callers, listen.inner)
                || is_same_address(callers, listen.operators))
        {
            problems.push("listen.callers", duplicate_address(callers));
        }
    }
}

/// Port 0 means any free port, so two addresses with port 0 don't collide.
fn is_same_address(one: SocketAddr, other: SocketAddr) -> bool {
    one == other && one.port() != 0
}

fn duplicate_address(address: SocketAddr) -> Reason {
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
    problems.check_range(format!("{field} (length)"), length as f64, min as f64, 4_096.0);
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
        problems.check_range("entry.address_ttl_s", self.address_ttl_s as f64, 1.0, 3_600.0);
        problems.check_range("entry.max_body_bytes", self.max_body_bytes as f64, 1_024.0, 1e9);
        problems.check_range("entry.max_header_count", self.max_header_count as f64, 8.0, 1_000.0);
        problems.check_range("entry.max_header_bytes", self.max_header_bytes as f64, 8_192.0, 1e6);
        problems.check_range(
            "entry.header_timeout_ms",
            self.header_timeout_ms as f64,
            100.0,
            60_000.0,
        );
        problems.check_range(
            "entry.body_timeout_ms",
            self.body_timeout_ms as f64,
            100.0,
            600_000.0,
        );
        problems.check_range("entry.max_connections", self.max_connections as f64, 1.0, 1e6);
        if let Some(store) = &self.weight_store {
            store.check(problems);
        }
    }
}

impl WeightStoreSettings {
    fn check(&self, problems: &mut Problems) {
        let mut range = |field: &str, value: u64, min: f64, max: f64| {
            problems.check_range(format!("entry.weight_store.{field}"), value as f64, min, max);
        };
        range("rate_bytes_per_s", self.rate_bytes_per_s, 1e3, 1e15);
        range("max_members", self.max_members, 1.0, 1e5);
        range("expert_bytes", self.expert_bytes, 1.0, 1e15);
        range("rank_bytes", self.rank_bytes, 1.0, 1e15);
        range("adapter_bytes", self.adapter_bytes, 1.0, 1e15);
    }
}

impl AgentFile {
    fn resolve(self, problems: &mut Problems) -> Option<AgentSettings> {
        problems.check_range("agent.places", self.places as f64, 1.0, 10_000.0);
        problems.check_range("agent.queue_length", self.queue_length as f64, 0.0, 10_000.0);
        problems.check_range("agent.record_window_s", self.record_window_s as f64, 60.0, 604_800.0);
        problems.check_range("agent.record_capacity", self.record_capacity as f64, 100.0, 1e7);
        problems.check_range("agent.record_bytes", self.record_bytes as f64, 65_536.0, 1e12);
        let replay = self.replay_window_bytes as f64;
        problems.check_range("agent.replay_window_bytes", replay, 4_096.0, 1e9);
        let kind = match self.kind {
            KindName::Engine => self.resolve_engine(problems),
            KindName::Service => self.resolve_service(problems),
        };
        Some(AgentSettings {
            backend_server: self.backend_server,
            kind: kind?,
            places: self.places,
            queue_length: self.queue_length,
            record_window_s: self.record_window_s,
            record_capacity: self.record_capacity,
            record_bytes: self.record_bytes,
            replay_window_bytes: self.replay_window_bytes,
        })
    }

    fn resolve_engine(&self, problems: &mut Problems) -> Option<BackendServerKind> {
        if self.service.is_some() {
            problems.push("agent.service", Reason::Unexpected);
        }
        let model = required(&self.model, "agent.model", problems);
        let group = required(&self.group, "agent.group", problems);
        let rank = required(&self.rank, "agent.rank", problems);
        let ranks = required(&self.ranks, "agent.ranks", problems);
        let (model, group, rank, ranks) = (model?, group?, rank?, ranks?);
        problems.check_name("agent.model", &model);
        problems.check_name("agent.group", &group);
        problems.check_range("agent.ranks", f64::from(ranks), 1.0, 4_096.0);
        problems.check_range("agent.rank", f64::from(rank), 0.0, f64::from(ranks.max(1) - 1));
        let checks_fencing = self.checks_fencing;
        let experts = self.resolve_experts(ranks, problems);
        Some(BackendServerKind::Engine { model, group, rank, ranks, checks_fencing, experts })
    }

    /// Requires all three sizes or none, and enough slots on all ranks together for every expert.
    fn resolve_experts(&self, ranks: u32, problems: &mut Problems) -> Option<ExpertSettings> {
        let sizes = [self.layers, self.experts, self.expert_slots];
        if sizes.iter().all(Option::is_none) {
            return None;
        }
        let layers = required(&self.layers, "agent.layers", problems);
        let experts = required(&self.experts, "agent.experts", problems);
        let slots = required(&self.expert_slots, "agent.expert_slots", problems);
        let (layers, experts, slots) = (layers?, experts?, slots?);
        problems.check_range("agent.layers", f64::from(layers), 1.0, 1_024.0);
        problems.check_range("agent.experts", f64::from(experts), 1.0, 4_096.0);
        let min_slots = f64::from(experts.div_ceil(ranks.max(1)));
        problems.check_range("agent.expert_slots", f64::from(slots), min_slots, f64::from(experts));
        Some(ExpertSettings { layers, experts, slots })
    }

    fn resolve_service(&self, problems: &mut Problems) -> Option<BackendServerKind> {
        let engine_only = [
            ("agent.model", self.model.is_some()),
            ("agent.group", self.group.is_some()),
            ("agent.rank", self.rank.is_some()),
            ("agent.ranks", self.ranks.is_some()),
            ("agent.layers", self.layers.is_some()),
            ("agent.experts", self.experts.is_some()),
            ("agent.expert_slots", self.expert_slots.is_some()),
            ("agent.checks_fencing", self.checks_fencing),
        ];
        for (field, _) in engine_only.into_iter().filter(|(_, present)| *present) {
            problems.push(field, Reason::Unexpected);
        }
        let service = required(&self.service, "agent.service", problems)?;
        problems.check_name("agent.service", &service);
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
