//! An entry process, assembled from its settings.

use crate::agent::authority;
use crate::discovery::Discovery;
use crate::groups::Groups;
use crate::keys::{EntryBinder, KeyPeers};
use crate::listen::{ListenLimits, Sockets, StartError, serve};
use crate::loans::{EntryLender, request_loans};
use crate::membership::{publish_addresses, publish_configuration};
use crate::models;
use crate::operators;
use crate::threads::spawn_control;
use arc_swap::ArcSwap;
use flamingowheel_backing::client::{EtcdClient, Failover, HttpLimits, HttpVmList};
use flamingowheel_backing::kv::KeyValue;
use flamingowheel_backing::vm::VmList;
use flamingowheel_config::api::{ProcessRole, ProcessState, ProcessStatus};
use flamingowheel_config::effective::{ConfigRevision, EffectiveConfig};
use flamingowheel_config::settings::{EntrySettings, Role, Settings};
use flamingowheel_config::store::Store;
use flamingowheel_control::node::Node;
use flamingowheel_control::operators::{OperatorsApi, OtherProcesses, router as operators_router};
use flamingowheel_control::synchronizer::{Synchronizer, Timing as SynchronizerTiming};
use flamingowheel_control::transport::PeerTransport;
use flamingowheel_control::websocket::{WebSocketPeers, serve as serve_peers};
use flamingowheel_entry::addresses::AddressBook;
use flamingowheel_entry::agents::{Agent, Agents};
use flamingowheel_entry::archive::Archive;
use flamingowheel_entry::claims::Claims;
use flamingowheel_entry::config::EntryConfig;
use flamingowheel_entry::connector::WebSocketConnector;
use flamingowheel_entry::dispatch::Dispatcher;
use flamingowheel_entry::limits::Limiter;
use flamingowheel_entry::router::Router;
use flamingowheel_entry::state::EntryState;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::kv::ObservedKeyValue;
use flamingowheel_observe::metrics::OccupancyKind;
use flamingowheel_observe::reason::LeaveCause;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_policy::key::EntryKey;
use flamingowheel_protocol::auth::FleetKey;
use flamingowheel_protocol::link::{LinkOptions, Timing};
use flamingowheel_protocol::message::{Hello, Role as PeerRole};
use flamingowheel_protocol::peer::{MemberRecord, MemberState};
use flamingowheel_protocol::websocket::Identity;
use sha2::{Digest, Sha256};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// How long a leaving entry accepts connections after the last address answer that named it has
/// expired.
const ADDRESS_TTL_MARGIN: Duration = Duration::from_secs(3);

/// How often a leaving entry checks whether its last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry.
pub struct EntryProcess {
    state: Arc<EntryState>,
    agents: Arc<Agents>,
    stop_accepting: CancellationToken,
    callers_task: JoinHandle<()>,
    stop: CancellationToken,
    /// Bound address of the callers' listener.
    pub callers: SocketAddr,
    /// Bound address of the operators' listener.
    pub operators: SocketAddr,
}

impl EntryProcess {
    /// Binds the addresses of the settings and starts an entry.
    pub async fn start(settings: &Settings, recorder: Recorder) -> Result<Self, StartError> {
        let sockets = Sockets::bind(&settings.listen).await?;
        Self::start_on(settings, recorder, sockets).await
    }

    /// Starts an entry on sockets that are bound already.
    pub async fn start_on(
        settings: &Settings,
        recorder: Recorder,
        sockets: Sockets,
    ) -> Result<Self, StartError> {
        let Role::Entry(entry_settings) = &settings.role else { return Err(StartError::OtherRole) };
        let Sockets { inner, operators, callers } = sockets;
        let callers = callers.ok_or(StartError::NoCallersAddress)?;
        let inner_address = inner.local_addr()?;
        let (callers_address, operators_address) = (callers.local_addr()?, operators.local_addr()?);
        let config = Arc::new(entry_config(settings, entry_settings, callers_address));
        recorder.record(Event::ProcessStarted {
            version: env!("CARGO_PKG_VERSION").into(),
            incarnation: uuid::Uuid::from_u64_pair(0, config.incarnation.0),
        });
        let client = Arc::new(key_value(settings));
        let kv: Arc<dyn KeyValue> = Arc::new(ObservedKeyValue::new(client, recorder.clone()));
        let identity = identity(settings, &config, &recorder, operators_address);
        let record = member_record(settings, &config, inner_address, operators_address);
        let node = Node::new(record, recorder.clone());
        let (state, agents) = assemble(&config, &kv, &identity, &node);
        let (stop, stop_accepting) = (CancellationToken::new(), CancellationToken::new());
        let store = Store::new(Arc::clone(&kv));
        let member = format!("{}-{}", config.name, config.incarnation.0);
        let weight_store = entry_settings.weight_store.as_ref();
        let load_limiter =
            weight_store.map(|store| models::load_limiter(Arc::clone(&kv), &member, store));
        let groups =
            Groups::new(kv, Arc::clone(&agents), node.clone()).with_load_limiter(load_limiter);
        let group_routes = groups.router();
        let peers: Arc<dyn PeerTransport> = Arc::new(WebSocketPeers::new(identity.clone()));
        let synchronizer = Synchronizer {
            node: node.clone(),
            store: store.clone(),
            peers: Arc::clone(&peers),
            vms: vm_list(settings),
            seeds: settings.peers.clone(),
            timing: SynchronizerTiming::default(),
        };
        register_samplers(&recorder, &state, &agents);
        node.set_lender(Arc::new(EntryLender(Arc::clone(&state))));
        node.set_key_binder(Arc::new(EntryBinder(Arc::clone(&state))));
        state.claims.set_peers(Arc::new(KeyPeers::new(node.clone(), Arc::clone(&peers))));
        let loan_requester = request_loans(node.clone(), Arc::clone(&state), Arc::clone(&peers));
        let discovery = discovery(settings, Arc::clone(&agents), &state);
        let (control_state, stopped, control_node) =
            (Arc::clone(&state), stop.clone(), node.clone());
        spawn_control("control", move || async move {
            tokio::join!(
                synchronizer.run(stopped.clone()),
                serve_peers(inner, identity, control_node.clone(), stopped),
                publish_configuration(control_node.clone(), Arc::clone(&control_state)),
                publish_addresses(control_node, control_state),
                discovery.run(),
                loan_requester,
                groups.run(),
            );
        })?;
        let routes = flamingowheel_entry::http::router(Arc::clone(&state));
        let limits = listen_limits(entry_settings);
        let callers_task = tokio::spawn(serve(callers, routes, limits, stop_accepting.clone()));
        let agent_list = Arc::new(AgentList(Arc::clone(&agents)));
        let routes = operators_router(OperatorsApi { node, store, peers, agents: agent_list })
            .merge(group_routes)
            .merge(flamingowheel_entry::http::entries_router(Arc::clone(&state)))
            .merge(flamingowheel_observe::http::router(recorder));
        let routes = operators::require_token(routes, &settings.operators_token);
        tokio::spawn(serve(operators, routes, ListenLimits::default(), stop.clone()));
        Ok(Self {
            state,
            agents,
            stop_accepting,
            callers_task,
            stop,
            callers: callers_address,
            operators: operators_address,
        })
    }

    /// State shared by the entry's request handlers.
    pub fn state(&self) -> &Arc<EntryState> {
        &self.state
    }

    /// The links to agents.
    pub fn agents(&self) -> &Arc<Agents> {
        &self.agents
    }

    /// Withdraws the entry from address answers, accepts connections until callers' answers have
    /// expired, then waits until every request and stream has ended. `skip_ttl_wait` ends the wait
    /// for callers' answers to expire. `deadline` limits the wait for requests; `None` waits
    /// without limit.
    pub async fn leave(self, skip_ttl_wait: CancellationToken, deadline: Option<Duration>) {
        let began = Instant::now();
        let requests = u32::try_from(self.state.in_progress.get()).unwrap_or(u32::MAX);
        let cause = LeaveCause::Signal;
        self.state.recorder.record(Event::LeaveBegan { cause, requests });
        self.state.node.leave();
        tokio::select! {
            () = tokio::time::sleep(self.state.config.address_ttl + ADDRESS_TTL_MARGIN) => {}
            () = skip_ttl_wait.cancelled() => {}
        }
        self.stop_accepting.cancel();
        let state = Arc::clone(&self.state);
        let drained = async move {
            let _ = self.callers_task.await;
            while state.in_progress.get() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        match deadline {
            Some(deadline) => {
                let _ = tokio::time::timeout(deadline, drained).await;
            }
            None => drained.await,
        }
        self.state.dispatcher.cut_off();
        self.state.recorder.record(Event::LeaveFinished {
            waited_ms: began.elapsed().as_millis() as u64,
            cut_off: u32::try_from(self.state.in_progress.get()).unwrap_or(u32::MAX),
        });
        self.stop.cancel();
    }
}

/// Registers samplers of the entry's occupancy. They hold weak references, as the metrics outlive
/// the entry.
fn register_samplers(recorder: &Recorder, state: &Arc<EntryState>, agents: &Arc<Agents>) {
    let metrics = recorder.metrics();
    let weak = Arc::downgrade(state);
    metrics.register_sampler(OccupancyKind::InFlight, move || {
        weak.upgrade().map_or(0, |state| state.in_progress.get())
    });
    let weak = Arc::downgrade(state);
    metrics.register_sampler(OccupancyKind::Suspects, move || {
        weak.upgrade().map_or(0, |state| state.dispatcher.router().suspicions().len())
    });
    let weak = Arc::downgrade(agents);
    metrics.register_sampler(OccupancyKind::Links, move || {
        weak.upgrade().map_or(0, |agents| agents.connected().len())
    });
}

/// The agents that this entry is or was connected to, for the operators' status.
struct AgentList(Arc<Agents>);

impl OtherProcesses for AgentList {
    fn list(&self) -> Vec<ProcessStatus> {
        let connected = self.0.connected();
        let connected = connected.iter().map(|(agent, connected)| {
            let state = match agent.is_leaving() {
                true => ProcessState::Leaving,
                false => ProcessState::Live,
            };
            agent_status(agent, &connected.hello, state)
        });
        // Without these a dead agent whose VM is still listed would be missing from the status.
        let lost = self.0.disconnected();
        let lost =
            lost.iter().map(|(agent, hello)| agent_status(agent, hello, ProcessState::Silent));
        connected.chain(lost).collect()
    }
}

fn agent_status(agent: &Agent, hello: &Hello, state: ProcessState) -> ProcessStatus {
    ProcessStatus {
        name: hello.name.clone(),
        role: ProcessRole::Agent,
        vm: hello.vm.clone(),
        data_centre: hello.data_centre.clone(),
        state,
        // Agents don't hold a configuration.
        revision: ConfigRevision::default(),
        operators_address: hello.operators,
        heard_ms_ago: agent.since_heartbeat().as_millis() as u64,
    }
}

fn identity(
    settings: &Settings,
    config: &EntryConfig,
    recorder: &Recorder,
    operators: SocketAddr,
) -> Identity {
    let link_options =
        LinkOptions { timing: Timing::default(), logical_clock: Arc::new(recorder.clone()) };
    let hello = Hello {
        name: config.name.clone(),
        incarnation: config.incarnation,
        vm: settings.vm.clone(),
        data_centre: config.data_centre.clone(),
        operators: Some(operators),
        role: PeerRole::Entry,
    };
    Identity { hello, key: config.fleet_key.clone(), link_options }
}

fn member_record(
    settings: &Settings,
    config: &EntryConfig,
    inner: SocketAddr,
    operators: SocketAddr,
) -> MemberRecord {
    MemberRecord {
        name: config.name.clone(),
        vm: settings.vm.clone(),
        data_centre: config.data_centre.clone(),
        region: settings.region.clone(),
        inner,
        callers: config.caller_address,
        operators,
        incarnation: config.incarnation,
        version: 1,
        state: MemberState::Live,
    }
}

fn assemble(
    config: &Arc<EntryConfig>,
    kv: &Arc<dyn KeyValue>,
    identity: &Identity,
    node: &Node,
) -> (Arc<EntryState>, Arc<Agents>) {
    let router = Arc::new(Router::default());
    let connector = Arc::new(WebSocketConnector { identity: identity.clone() });
    let agents = Arc::new(Agents::new(connector, Arc::clone(&router), node.recorder().clone()));
    let recorder = node.recorder().clone();
    let state = Arc::new(EntryState {
        config: Arc::clone(config),
        effective: ArcSwap::from_pointee(EffectiveConfig::default()),
        addresses: ArcSwap::from_pointee(AddressBook::new(&[], Vec::new())),
        dispatcher: Dispatcher::new(Arc::clone(config), router, recorder.clone()),
        archive: Archive::new(Arc::clone(kv)),
        claims: Claims::start(Arc::clone(kv), config),
        recorder,
        in_progress: Arc::default(),
        node: node.clone(),
        limiter: Arc::new(Limiter::new(EntryKey::from_name(&config.name))),
    });
    (state, agents)
}

fn entry_config(
    settings: &Settings,
    entry_settings: &EntrySettings,
    callers: SocketAddr,
) -> EntryConfig {
    let key = fleet_key(settings);
    let mut config = EntryConfig::new(&settings.name, &settings.data_centre, callers, key);
    config.address_ttl = Duration::from_secs(entry_settings.address_ttl_s);
    config.max_body_bytes = entry_settings.max_body_bytes as usize;
    config.body_timeout = Duration::from_millis(entry_settings.body_timeout_ms);
    config
}

/// Derives the fleet key from the settings' secret by SHA-256.
pub fn fleet_key(settings: &Settings) -> FleetKey {
    FleetKey::new(Sha256::digest(settings.fleet_key.expose()).into())
}

/// Creates a client of the key-value service that fails over between its addresses.
pub fn key_value(settings: &Settings) -> Failover<EtcdClient> {
    let limits = HttpLimits {
        head_timeout_ms: settings.key_value.timeout_ms,
        ..flamingowheel_backing::client::etcd::default_limits()
    };
    let client = |address: &SocketAddr| EtcdClient::new(authority(*address), limits.clone());
    Failover::new(settings.key_value.addresses.iter().map(client).collect())
}

fn vm_list(settings: &Settings) -> Arc<dyn VmList> {
    Arc::new(HttpVmList::new(authority(settings.vm_list.address), HttpLimits::default()))
}

fn discovery(settings: &Settings, agents: Arc<Agents>, state: &Arc<EntryState>) -> Discovery {
    let (entry_state, recorder) = (Arc::clone(state), state.recorder.clone());
    Discovery {
        vm_list: vm_list(settings),
        agents,
        node: state.node.clone(),
        address_book: Arc::new(move || entry_state.addresses.load_full()),
        fleet_clock_ms: Arc::new(move || recorder.stamp().wall_ms()),
        inner_port: settings.listen.inner.port(),
        own_ip: settings.listen.inner.ip(),
        read_interval: Duration::from_millis(settings.vm_list.interval_ms),
    }
}

fn listen_limits(entry_settings: &EntrySettings) -> ListenLimits {
    ListenLimits {
        max_connections: entry_settings.max_connections as usize,
        max_headers: entry_settings.max_header_count as usize,
        max_head_bytes: entry_settings.max_header_bytes as usize,
        head_timeout: Duration::from_millis(entry_settings.header_timeout_ms),
    }
}
