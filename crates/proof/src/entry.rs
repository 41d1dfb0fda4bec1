//! An entry process: its real router and dispatcher over the in-memory network.

use crate::backend::Lifecycle;
use crate::fuzz::seed_from_environment;
use crate::network::{Network, NetworkConnector};
use arc_swap::ArcSwap;
use axum::Router;
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_config::effective::{ConfigRevision, Documents, Stored};
use flamingowheel_config::replica::Replica;
use flamingowheel_config::template::{Model, Parameters, Service, ServiceRoute, Template};
use flamingowheel_config::token::TokenHash;
use flamingowheel_config::workspace::{Overrides, Workspace};
use flamingowheel_control::node::Node;
use flamingowheel_entry::addresses::{AddressBook, EntryMember};
use flamingowheel_entry::agents::{AgentVm, Agents};
use flamingowheel_entry::archive::Archive;
use flamingowheel_entry::claims::Claims;
use flamingowheel_entry::config::EntryConfig;
use flamingowheel_entry::dispatch::Dispatcher;
use flamingowheel_entry::limits::Limiter;
use flamingowheel_entry::router::Router as Routes;
use flamingowheel_entry::state::EntryState;
use flamingowheel_observe::reason::ConfigSource;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::key::EntryKey;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::message::{Hello, Role};
use flamingowheel_protocol::peer::{MemberRecord, MemberState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The only workspace of the world.
pub const WORKSPACE: &str = "bibb-county";
/// Bearer token of the callers in [`WORKSPACE`].
pub const TOKEN: &str = "token-of-bibb-county";
/// The model that engines serve.
pub const MODEL: &str = "callbox-7b";
/// The service that all plain services serve.
pub const SERVICE: &str = "desk";
/// Longest time that a request may wait for its answer to begin.
pub const DEADLINE_MS: u64 = 10_000;

/// The key that all processes of the world share. It depends on the seed in the environment:
/// another key gives other hashes, so that requests go to other backend servers.
pub fn fleet_key() -> FleetKey {
    let Some(seed) = seed_from_environment() else { return FleetKey::new([7; 32]) };
    let mut key = [7; 32];
    key[..8].copy_from_slice(&seed.to_le_bytes());
    FleetKey::new(key)
}

/// One entry process.
pub struct Entry {
    /// Whether the process runs, is paused or was killed.
    pub lifecycle: Lifecycle,
    /// HTTP interface for callers.
    pub router: Router,
    /// Links to the agents.
    pub agents: Agents,
    /// Routing state of the backend servers.
    pub routes: Arc<Routes>,
    /// Events and metrics of the process.
    pub recorder: Recorder,
    /// Whether the process is leaving; it then accepts no new requests.
    pub leaving: bool,
    state: Arc<EntryState>,
}

impl Entry {
    /// Starts a process that connects to the agents at these addresses.
    pub fn start(
        name: &str,
        network: &Network,
        kv: &FakeKeyValue,
        addresses: &[SocketAddr],
    ) -> Self {
        let key = fleet_key();
        let caller_address = SocketAddr::from(([127, 0, 0, 1], 8080));
        let config = Arc::new(EntryConfig::new(name, "a", caller_address, key));
        let hello = Hello {
            name: name.to_owned(),
            incarnation: config.incarnation,
            vm: name.to_owned(),
            data_centre: "a".to_owned(),
            operators: None,
            role: Role::Entry,
        };
        let lifecycle = Lifecycle::default();
        let connector = NetworkConnector::new(network.clone(), hello, lifecycle.clone());
        let routes = Arc::new(Routes::default());
        let recorder = Recorder::for_tests(name);
        let agents = Agents::new(Arc::new(connector), Arc::clone(&routes), recorder.clone());
        let vm = |address: &SocketAddr| AgentVm { address: *address, leaving: false };
        agents.set_vms(&addresses.iter().map(vm).collect::<Vec<_>>());
        let node = Node::new(record(&config), recorder.clone());
        node.replace_if_newer(Replica::new(documents()), ConfigSource::Watch);
        node.confirm_by_service();
        let effective = node.effective().borrow().clone();
        let state = EntryState {
            effective: ArcSwap::new(effective),
            addresses: ArcSwap::from_pointee(AddressBook::new(&[], members())),
            dispatcher: Dispatcher::new(Arc::clone(&config), Arc::clone(&routes), recorder.clone()),
            archive: Archive::new(Arc::new(kv.clone())),
            claims: Claims::start(Arc::new(kv.clone()), &config),
            recorder: recorder.clone(),
            in_progress: Arc::default(),
            node,
            limiter: Arc::new(Limiter::new(EntryKey::from_name(name))),
            config,
        };
        let state = Arc::new(state);
        let router = flamingowheel_entry::http::router(Arc::clone(&state));
        Self { lifecycle, router, agents, routes, recorder, leaving: false, state }
    }

    /// Makes the process leave.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.state.node.leave();
    }

    /// Whether no request is in progress.
    pub fn is_drained(&self) -> bool {
        self.state.in_progress.get() == 0
    }

    /// Ends the process: it sends nothing more.
    pub fn end(&self) {
        self.lifecycle.kill();
        self.agents.set_vms(&[]);
    }
}

/// The entries in the answers to address requests.
fn members() -> Vec<EntryMember> {
    let member = |entry: u16| EntryMember {
        name: format!("entry-{entry}"),
        address: SocketAddr::from(([127, 0, 0, 1], 8080 + entry)),
        data_centre: "a".to_owned(),
        region: "r".to_owned(),
        leaving: false,
    };
    (0..2).map(member).collect()
}

fn record(config: &EntryConfig) -> MemberRecord {
    let address = config.caller_address;
    MemberRecord {
        name: config.name.clone(),
        vm: config.name.clone(),
        data_centre: config.data_centre.clone(),
        region: "region".to_owned(),
        inner: address,
        callers: address,
        operators: address,
        incarnation: config.incarnation,
        version: 1,
        state: MemberState::Live,
    }
}

fn documents() -> Documents {
    let route = |path_prefix: &str, idempotent| ServiceRoute {
        method: Some("POST".to_owned()),
        path_prefix: path_prefix.to_owned(),
        idempotent,
    };
    let routes = vec![route("/status", true), route("/orders", false)];
    let parameters = Parameters {
        models: BTreeMap::from([(MODEL.to_owned(), Model::default())]),
        services: BTreeMap::from([(SERVICE.to_owned(), Service { routes })]),
        deadline_ms: DEADLINE_MS,
        ..Parameters::default()
    };
    let template = Template {
        name: "callbox".to_owned(),
        description: String::new(),
        parameters,
        rebalancing: Default::default(),
    };
    let workspace = Workspace {
        name: WORKSPACE.to_owned(),
        template: template.name.clone(),
        token_sha256: vec![TokenHash::of(TOKEN.as_bytes())],
        overrides: Overrides::default(),
    };
    let revision = ConfigRevision(1);
    let mut documents = Documents { revision, ..Documents::default() };
    documents.put_template(Stored { revision, document: Arc::new(template) });
    documents.put_workspace(Stored { revision, document: Arc::new(workspace) });
    documents
}
