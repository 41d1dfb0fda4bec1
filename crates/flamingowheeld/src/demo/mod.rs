//! A small fleet in one process on loopback, with stand-ins for every external service.

pub mod caller;
pub mod once;
mod ports;

use crate::agent::{AgentProcess, authority, recorder};
use crate::entry::EntryProcess;
use crate::listen::{Sockets, StartError};
use flamingowheel_backing::client::{EtcdClient, HttpLimits};
use flamingowheel_backing::fake::engine::EngineSettings;
use flamingowheel_backing::fake::{FakeEngine, FakeKeyValue, FakeService, FakeVmList, RankGroup};
use flamingowheel_backing::vm::{Vm, VmState};
use flamingowheel_config::apply::{ApplyError, ApplyRequest};
use flamingowheel_config::change::Origin;
use flamingowheel_config::document::DocumentError;
use flamingowheel_config::effective::ConfigRevision;
use flamingowheel_config::replica::Replica;
use flamingowheel_config::settings::{Settings, SettingsError};
use flamingowheel_config::store::Store;
use flamingowheel_standin::Connections;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio_util::sync::CancellationToken;

/// Name of the demo's workspace.
pub const WORKSPACE: &str = "peachline";
/// Token of callers of [`WORKSPACE`].
pub const TOKEN: &str = "peachline-demo-token";
/// Token of operators.
pub const OPERATORS_TOKEN: &str = "operators-demo-token";
/// Model that the engines serve.
pub const MODEL: &str = "notes";
/// Plain service whose work orders must not run twice.
pub const SERVICE: &str = "orders";

/// Rank group of the engines, which step in lock-step.
pub const GROUP: &str = "notes-a";

const LAYERS: u16 = 2;
const EXPERTS: u16 = 8;
const SLOTS: u16 = 3;
/// Time between two steps of the rank group.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Tokens of the most used expert in a step; each following expert has half as many.
const MAX_EXPERT_TOKENS: u64 = 512;

const ENTRIES: u8 = 2;
const RANKS: u8 = 4;
const SERVERS: u8 = 2;

/// Duration of the work order whose agent is killed; the agent is killed half-way.
const LOST_ORDER_DURATION: Duration = Duration::from_secs(2);

const CONFIGURATION: &str = "\
kind: template
name: callbox
description: Summaries and work orders
parameters:
  models:
    notes: MODEL
  services:
    orders:
      routes:
        - {method: GET, path_prefix: /, idempotent: true}
        - {method: POST, path_prefix: /orders, idempotent: false}
---
kind: workspace
name: peachline
template: callbox
token_sha256: [TOKEN_HASH]
";

/// Why the demo did not start.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// An entry or agent did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A stand-in or a runtime did not start.
    #[error("stand-in: {0}")]
    Standin(#[from] io::Error),
    /// The settings that the demo generates are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The demo's configuration documents can't be parsed.
    #[error("the demo's configuration: {0:?}")]
    Document(Vec<DocumentError>),
    /// The key-value service or the configuration rules refused the demo's configuration.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The processes were not all connected and configured in time.
    #[error("the fleet was not ready within {} s", READY_TIMEOUT.as_secs())]
    NotReady,
    /// A caller's request got no complete answer.
    #[error(transparent)]
    Call(#[from] caller::CallError),
}

/// Longest time until all processes are connected and have the configuration.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The stand-ins; their handles inject faults.
pub struct Standins {
    /// The key-value service that holds the configuration.
    pub key_value: FakeKeyValue,
    /// The list of the fleet's VMs.
    pub vms: FakeVmList,
    /// The engines, one per rank.
    pub engines: Vec<FakeEngine>,
    /// The engines' group; it records every step that ran with two maps.
    pub group: RankGroup,
    /// The backend servers of [`SERVICE`].
    pub services: Vec<FakeService>,
    key_value_address: SocketAddr,
    vms_address: SocketAddr,
    stop: CancellationToken,
}

/// Running entries and agents with their stand-ins.
pub struct Fleet {
    /// The external services.
    pub standins: Standins,
    /// The entries, in the order of their names.
    pub entries: Vec<EntryProcess>,
    /// The agents: first those of the engines, then those of the services.
    pub agents: Vec<AgentProcess>,
    /// One runtime per agent, in the order of `agents`: ending it kills the agent with all its
    /// tasks.
    runtimes: Vec<AgentRuntime>,
    inner_port: u16,
    /// The inner listeners of processes that have not started yet.
    inner_listeners: HashMap<IpAddr, TcpListener>,
}

/// A runtime that shuts down in the background, because an async context must not block on the
/// shutdown.
struct AgentRuntime(Option<Runtime>);

impl AgentRuntime {
    fn start() -> io::Result<Self> {
        Builder::new_multi_thread().worker_threads(1).enable_all().build().map(Some).map(Self)
    }

    fn end(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for AgentRuntime {
    fn drop(&mut self) {
        self.end();
    }
}

impl Fleet {
    /// Starts all stand-ins and processes, applies the configuration, and waits until it is in
    /// force.
    pub async fn start() -> Result<Self, DemoError> {
        let (inner_port, inner_listeners) = ports::bind_same_port(&process_ips()).await?;
        let standins = start_standins().await?;
        let (entries, agents, runtimes) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Self { standins, entries, agents, runtimes, inner_port, inner_listeners };
        let (group, stop) = (fleet.standins.group.clone(), fleet.standins.stop.clone());
        tokio::spawn(run_group(group, stop));
        fleet.start_agents().await?;
        fleet.start_entries().await?;
        fleet.apply("{}").await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_agents(&mut self) -> Result<(), DemoError> {
        for rank in 0..RANKS {
            let engine = self.standins.engines[usize::from(rank)].clone();
            let address = self.standins.start_engine(engine).await?;
            let kind = format!(
                "{{backend_server: \"{address}\", kind: engine, model: {MODEL}, group: {GROUP}, \
                 rank: {rank}, ranks: {RANKS}, layers: {LAYERS}, experts: {EXPERTS}, \
                 expert_slots: {SLOTS}, checks_fencing: true}}"
            );
            self.start_agent(&format!("notes-{rank}"), rank, &kind).await?;
        }
        for number in 0..SERVERS {
            let service = self.standins.services[usize::from(number)].clone();
            let address = self.standins.start_service(service).await?;
            let kind =
                format!("{{backend_server: \"{address}\", kind: service, service: {SERVICE}}}");
            self.start_agent(&format!("orders-{number}"), RANKS + number, &kind).await?;
        }
        Ok(())
    }

    async fn start_agent(&mut self, name: &str, vm: u8, kind: &str) -> Result<(), DemoError> {
        let settings =
            self.settings(name, agent_ip(vm), &format!("role: agent\nagent: {kind}\n"))?;
        let sockets = self.sockets(&settings).await?;
        let recorder = recorder(&settings)?;
        let runtime = AgentRuntime::start()?;
        let Some(running) = &runtime.0 else { return Ok(()) };
        let start = async move { AgentProcess::start_on(&settings, recorder, sockets).await };
        let agent = running.spawn(start).await.map_err(io::Error::other)??;
        self.agents.push(agent);
        self.runtimes.push(runtime);
        Ok(())
    }

    async fn sockets(&mut self, settings: &Settings) -> Result<Sockets, StartError> {
        match self.inner_listeners.remove(&settings.listen.inner.ip()) {
            Some(inner) => Sockets::bind_others(&settings.listen, inner).await,
            None => Sockets::bind(&settings.listen).await,
        }
    }

    async fn start_entries(&mut self) -> Result<(), DemoError> {
        for number in 0..ENTRIES {
            let name = format!("entry-{number}");
            let role = "role: entry\nentry: {address_ttl_s: 5}\n";
            let settings = self.settings(&name, entry_ip(number), role)?;
            let sockets = self.sockets(&settings).await?;
            let entry = EntryProcess::start_on(&settings, recorder(&settings)?, sockets).await?;
            self.entries.push(entry);
        }
        Ok(())
    }

    fn settings(&self, name: &str, ip: IpAddr, role: &str) -> Result<Settings, SettingsError> {
        let callers = match role.starts_with("role: entry") {
            true => format!("  callers: \"{ip}:0\"\n"),
            false => String::new(),
        };
        let text = format!(
            "name: {name}\nvm: vm-{name}\ndata_centre: ga-central-a\nregion: ga-central\n\
             peers: [{peers}]\nlisten:\n{callers}  inner: \"{ip}:{port}\"\n  operators: \"{ip}:0\"\n\
             key_value: {{addresses: [\"{kv}\"]}}\nvm_list: {{address: \"{vms}\"}}\n\
             fleet_key: {{inline: demo-fleet-key-of-32-characters!}}\n\
             operators_token: {{inline: {OPERATORS_TOKEN}}}\n{role}",
            port = self.inner_port,
            peers = self.peers(),
            kv = self.standins.key_value_address,
            vms = self.standins.vms_address,
        );
        Settings::parse(&text, Path::new("demo.yaml"))
    }

    /// The entries' inner addresses, as a YAML list's items.
    fn peers(&self) -> String {
        let peers = (0..ENTRIES).map(|n| format!("\"{}:{}\"", entry_ip(n), self.inner_port));
        peers.collect::<Vec<_>>().join(", ")
    }

    /// Applies the demo's configuration with these YAML parameters of the model.
    async fn apply(&self, model: &str) -> Result<(), DemoError> {
        let hash = flamingowheel_config::token::TokenHash::of(TOKEN.as_bytes());
        let documents = CONFIGURATION.replace("TOKEN_HASH", &hash.to_string());
        let documents = documents.replace("MODEL", model);
        let seen = self.entries.first().map(|entry| entry.state().effective.load().revision());
        let seen = seen.unwrap_or_default();
        apply(self.standins.key_value_address, &documents, seen).await
    }

    /// Waits until every entry has the workspace and is connected to all agents and entries.
    async fn wait_ready(&self) -> Result<(), DemoError> {
        let agents = usize::from(RANKS + SERVERS);
        let ready = || {
            self.entries.iter().all(|entry| {
                let state = entry.state();
                state.effective.load().workspace(WORKSPACE).is_some()
                    && entry.agents().connected().len() == agents
                    && state.node.members().len() == self.entries.len()
            })
        };
        let waiting = async {
            while !ready() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(READY_TIMEOUT, waiting).await.map_err(|_| DemoError::NotReady)
    }

    /// Waits for the first work order, kills its agent while the order runs, and returns the
    /// agent's name.
    pub async fn lose_agent(&mut self) -> String {
        let set_delay =
            |time| self.standins.services.iter().for_each(|service| service.set_delay(time));
        set_delay(LOST_ORDER_DURATION);
        let is_busy = |(index, agent): (usize, &AgentProcess)| {
            index >= usize::from(RANKS) && agent.record_count() > 0
        };
        let busy = loop {
            if let Some(index) = self.agents.iter().enumerate().position(is_busy) {
                break index;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        tokio::time::sleep(LOST_ORDER_DURATION / 2).await;
        self.runtimes.remove(busy).end();
        set_delay(Duration::ZERO);
        self.agents.remove(busy).name().to_owned()
    }

    /// Shell commands to try with the running fleet.
    pub fn guide(&self) -> String {
        let mut text =
            String::from("A small fleet runs on loopback. Ctrl-C drains and ends it.\n\n");
        for entry in &self.entries {
            let name = &entry.state().config.name;
            text += &format!(
                "{name}: callers http://{}, operators http://{}\n",
                entry.callers, entry.operators
            );
        }
        let first = self.entries[0].callers;
        let auth = format!("-H 'authorization: Bearer {TOKEN}'");
        text += &format!(
            "\nWhich addresses should callers of this workspace use?\n  \
             curl 'http://{first}/v1/entries?workspace={WORKSPACE}'\n\
             Stream a completion:\n  \
             curl -N {auth} -d '{{\"model\":\"{MODEL}\",\"stream\":true,\"max_tokens\":20,\"messages\":[]}}' \
             http://{first}/v1/chat/completions\n\
             File a work order; sent again with the same key it runs once:\n  \
             curl -i {auth} -H 'idempotency-key: box-17' -d 'repair box 17' \
             http://{first}/v1/services/{SERVICE}/orders\n\
             What happened to a request (its id is in the header flamingowheel-request):\n  \
             export FLAMINGOWHEEL_ENTRIES={operators} FLAMINGOWHEEL_TOKEN={OPERATORS_TOKEN}\n  \
             cargo run --release --bin flamingowheel -- timeline --request ID\n  \
             cargo run --release --bin flamingowheel -- status\n\
             Which expert map the rank group runs on; after some seconds it is rebalanced:\n  \
             curl -H 'authorization: Bearer {OPERATORS_TOKEN}' http://{operators}/v1/groups\n\n",
            operators = self.entries[0].operators,
        );
        text
    }

    /// Drains and stops all processes, entries first, then the stand-ins.
    pub async fn leave(self) {
        for entry in self.entries {
            let skip_ttl_wait = CancellationToken::new();
            skip_ttl_wait.cancel();
            entry.leave(skip_ttl_wait, None).await;
        }
        for mut agent in self.agents {
            agent.leave(None).await;
        }
        self.standins.stop.cancel();
    }
}

/// Steps the engines in lock-step, as ranks of one group, and counts their experts' tokens, until
/// `stop` is cancelled.
pub async fn run_group(group: RankGroup, stop: CancellationToken) {
    while !stop.is_cancelled() {
        tokio::time::sleep(STEP_INTERVAL).await;
        if group.try_step() {
            group.record_step_work(|_, expert| MAX_EXPERT_TOKENS >> expert, &[1.0; RANKS as usize]);
        }
    }
}

impl Standins {
    async fn start_engine(&self, engine: FakeEngine) -> Result<SocketAddr, DemoError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (connections, stop) = (Connections::default(), self.stop.clone());
        tokio::spawn(flamingowheel_standin::engine::serve(listener, engine, connections, stop));
        Ok(address)
    }

    async fn start_service(&self, service: FakeService) -> Result<SocketAddr, DemoError> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let (connections, stop) = (Connections::default(), self.stop.clone());
        tokio::spawn(flamingowheel_standin::service::serve(listener, service, connections, stop));
        Ok(address)
    }
}

async fn start_standins() -> Result<Standins, DemoError> {
    let stop = CancellationToken::new();
    let key_value = FakeKeyValue::new();
    let vms = FakeVmList::new(vms());
    let kv_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let vms_listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let (key_value_address, vms_address) = (kv_listener.local_addr()?, vms_listener.local_addr()?);
    tokio::spawn(flamingowheel_standin::kv::serve(
        kv_listener,
        key_value.clone(),
        Connections::default(),
        stop.clone(),
    ));
    tokio::spawn(flamingowheel_standin::vms::serve(
        vms_listener,
        vms.clone(),
        Connections::default(),
        stop.clone(),
    ));
    let engine = |seed| FakeEngine::new(u64::from(seed), EngineSettings::default());
    let engines: Vec<FakeEngine> = (0..RANKS).map(engine).collect();
    Ok(Standins {
        key_value,
        vms,
        group: RankGroup::new(engines.clone()),
        engines,
        services: (0..SERVERS).map(|seed| FakeService::new(u64::from(seed))).collect(),
        key_value_address,
        vms_address,
        stop,
    })
}

/// Writes a configuration directly to the key-value service, without the operators' tool. `seen` is
/// the revision that the change is based on.
pub async fn apply(
    key_value: SocketAddr,
    documents: &str,
    seen: ConfigRevision,
) -> Result<(), DemoError> {
    let edits = flamingowheel_config::document::parse(documents).map_err(DemoError::Document)?;
    let kv = EtcdClient::new(authority(key_value), HttpLimits::default());
    let store = Store::new(Arc::new(kv));
    let origin =
        Origin { operator: "demo".to_owned(), at_unix_ms: unix_ms(), comment: String::new() };
    let request = ApplyRequest { uuid: uuid::Uuid::now_v7(), origin, edits, seen };
    store.apply(&mut Replica::default(), &request).await?;
    Ok(())
}

fn vms() -> Vec<Vm> {
    let vm = |name: String, ip| Vm {
        name,
        ip,
        data_centre: "ga-central-a".to_owned(),
        state: VmState::Live,
    };
    let entries = (0..ENTRIES).map(|number| vm(format!("vm-entry-{number}"), entry_ip(number)));
    let agents =
        (0..RANKS + SERVERS).map(|number| vm(format!("vm-agent-{number}"), agent_ip(number)));
    entries.chain(agents).collect()
}

fn entry_ip(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 1, number + 1).into()
}

fn agent_ip(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 2, number + 1).into()
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis() as u64)
}

/// The IPs of all processes, in the order in which they start.
fn process_ips() -> Vec<IpAddr> {
    (0..RANKS + SERVERS).map(agent_ip).chain((0..ENTRIES).map(entry_ip)).collect()
}
