//! A small fleet with stand-ins of everything outside, in one process on loopback.

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

/// The workspace that the demo applies.
pub const WORKSPACE: &str = "peachline";
/// Its token.
pub const TOKEN: &str = "peachline-demo-token";
/// The operators' token of the demo.
pub const OPERATORS_TOKEN: &str = "operators-demo-token";
/// The model.
pub const MODEL: &str = "notes";
/// The service with calls that may not be repeated.
pub const SERVICE: &str = "orders";

/// The group whose ranks step together.
pub const GROUP: &str = "notes-a";

const LAYERS: u16 = 2;
const EXPERTS: u16 = 8;
const SLOTS: u16 = 3;
/// Time between two steps of the stand-in group.
const STEP: Duration = Duration::from_millis(50);
/// Tokens of the most popular expert a step; the next has half as many, and so on.
const MOST_TOKENS: u64 = 512;

const ENTRIES: u8 = 2;
const RANKS: u8 = 4;
const SERVERS: u8 = 2;

/// A work order whose agent is to die takes this long, and the agent dies half-way.
const LOST_ORDER_TIME: Duration = Duration::from_secs(2);

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
    /// A role did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A stand-in did not start.
    #[error("stand-in: {0}")]
    Standin(#[from] io::Error),
    /// The demo's own settings are not accepted.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The demo's own configuration can't be read.
    #[error("the demo's configuration: {0:?}")]
    Document(Vec<DocumentError>),
    /// The demo's configuration was not accepted.
    #[error(transparent)]
    Apply(#[from] ApplyError),
    /// The fleet was not ready in time.
    #[error("the fleet was not ready within {} s", READY_LIMIT.as_secs())]
    NotReady,
    /// A caller's request failed on its way.
    #[error(transparent)]
    Call(#[from] caller::CallError),
}

/// How long the fleet may take to find itself.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// The stand-ins and their faults.
pub struct Standins {
    /// The key-value service.
    pub key_value: FakeKeyValue,
    /// The VM list.
    pub vms: FakeVmList,
    /// The engines, one a rank.
    pub engines: Vec<FakeEngine>,
    /// The engines' group; it notes every step that was run with two maps.
    pub group: RankGroup,
    /// The plain services.
    pub services: Vec<FakeService>,
    key_value_address: SocketAddr,
    vms_address: SocketAddr,
    stop: CancellationToken,
}

/// The whole fleet.
pub struct Fleet {
    /// Everything outside.
    pub standins: Standins,
    /// The entries.
    pub entries: Vec<EntryProcess>,
    /// The agents: those of the engines, then those of the services.
    pub agents: Vec<AgentProcess>,
    /// Each agent's own, so that it can die with all that it does.
    runtimes: Vec<OwnRuntime>,
    inner_port: u16,
    /// The inner listeners of processes that are not started yet.
    held: HashMap<IpAddr, TcpListener>,
}

/// A runtime that ends in the background, as an async context may not wait for one.
struct OwnRuntime(Option<Runtime>);

impl OwnRuntime {
    fn start() -> io::Result<Self> {
        Builder::new_multi_thread().worker_threads(1).enable_all().build().map(Some).map(Self)
    }

    fn end(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for OwnRuntime {
    fn drop(&mut self) {
        self.end();
    }
}

impl Fleet {
    /// Starts everything, has the configuration accepted, and waits until it is in force.
    pub async fn start() -> Result<Self, DemoError> {
        let (inner_port, held) = ports::hold_same_port(&process_ips()).await?;
        let standins = start_standins().await?;
        let (entries, agents, runtimes) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Self { standins, entries, agents, runtimes, inner_port, held };
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
        let runtime = OwnRuntime::start()?;
        let Some(own) = &runtime.0 else { return Ok(()) };
        let start = async move { AgentProcess::start_on(&settings, recorder, sockets).await };
        let agent = own.spawn(start).await.map_err(io::Error::other)??;
        self.agents.push(agent);
        self.runtimes.push(runtime);
        Ok(())
    }

    async fn sockets(&mut self, settings: &Settings) -> Result<Sockets, StartError> {
        match self.held.remove(&settings.listen.inner.ip()) {
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

    /// Has operators say this of the model.
    async fn apply(&self, model: &str) -> Result<(), DemoError> {
        let hash = flamingowheel_config::token::TokenHash::of(TOKEN.as_bytes());
        let documents = CONFIGURATION.replace("TOKEN_HASH", &hash.to_string());
        let documents = documents.replace("MODEL", model);
        let seen = self.entries.first().map(|entry| entry.state().effective.load().revision());
        let seen = seen.unwrap_or_default();
        apply(self.standins.key_value_address, &documents, seen).await
    }

    /// Waits until every entry knows the workspace and every agent.
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
        tokio::time::timeout(READY_LIMIT, waiting).await.map_err(|_| DemoError::NotReady)
    }

    /// Waits for the first work order and has its agent die while the order runs; gives its name.
    pub async fn lose_agent(&mut self) -> String {
        let delay = |time| self.standins.services.iter().for_each(|one| one.set_delay(time));
        delay(LOST_ORDER_TIME);
        let is_busy = |(index, agent): (usize, &AgentProcess)| {
            index >= usize::from(RANKS) && agent.record_count() > 0
        };
        let busy = loop {
            if let Some(index) = self.agents.iter().enumerate().position(is_busy) {
                break index;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        tokio::time::sleep(LOST_ORDER_TIME / 2).await;
        self.runtimes.remove(busy).end();
        delay(Duration::ZERO);
        self.agents.remove(busy).name().to_owned()
    }

    /// What to try, as shell commands.
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

    /// Lets everything in progress end, entries first.
    pub async fn leave(self) {
        for entry in self.entries {
            let hurry = CancellationToken::new();
            hurry.cancel();
            entry.leave(hurry, None).await;
        }
        for mut agent in self.agents {
            agent.leave(None).await;
        }
        self.standins.stop.cancel();
    }
}

/// Lets engines step in lock-step, as ranks of one group, and count their experts' tokens.
pub async fn run_group(group: RankGroup, stop: CancellationToken) {
    while !stop.is_cancelled() {
        tokio::time::sleep(STEP).await;
        if group.try_step() {
            group.count_work(|_, expert| MOST_TOKENS >> expert, &[1.0; RANKS as usize]);
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

/// Has a configuration accepted without the operators' tool.
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
