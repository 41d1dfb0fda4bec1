//! The agents of a group: pollers beside all engines, and the coordinator beside rank 0.

use super::engines::{FakeEngines, Fleet, SHAPE, address};
use flamingowheel_backing::fake::kv::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_platform::CONFIGURATION_KEY;
use flamingowheel_protocol::link::Timing;
use flamingowheel_protocol::message::{BackendProfile, Role, Serves};
use flamingowheel_protocol::ranks::{RankTarget, RankUpdate};
use flamingowheel_protocol::targets::EncodingCache;
use flamingowheel_protocol::websocket::Identity;
use flamingowheel_ranks::collect::Assignment;
use flamingowheel_ranks::coordinator::Coordinator;
use flamingowheel_ranks::engine::{EnginePoller, Polling, RankSnapshot, UPDATE_CAPACITY};
use flamingowheel_ranks::engines::Engines;
use flamingowheel_ranks::lookup::{GroupPublisher, Lookup};
use flamingowheel_ranks::peers::{PeerConnector, PeerUpdate};
use flamingowheel_ranks::remote::RemotePollers;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

const LINK_LATENCY: Duration = Duration::from_millis(2);

/// Timeout of calls to the engine on the same VM, in milliseconds.
const LOCAL_TIMEOUT_MS: u64 = 40;

/// The link of one agent to the coordinator.
#[derive(Clone, Debug)]
struct Port {
    targets: watch::Sender<RankTarget>,
    updates: broadcast::Sender<RankUpdate>,
    snapshot: watch::Receiver<RankSnapshot>,
}

/// The agents of all ranks.
#[derive(Debug)]
pub struct Agents {
    fleet: Fleet,
    store: FakeKeyValue,
    ports: Vec<Option<Port>>,
    tasks: Vec<JoinSet<()>>,
}

impl Agents {
    /// Starts the agents of all ranks.
    pub async fn start(fleet: &Fleet) -> Self {
        let store = FakeKeyValue::new();
        let value = configuration().into_bytes().into();
        let put = Operation::Put { key: CONFIGURATION_KEY.to_owned(), value, lease: None };
        let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
        store.transact(transaction).await.unwrap();
        let (ports, tasks) = (vec![None; SHAPE.ranks], Vec::new());
        let mut agents = Self { fleet: fleet.clone(), store, ports, tasks };
        agents.tasks.resize_with(SHAPE.ranks, JoinSet::new);
        for rank in (0..SHAPE.ranks).rev() {
            agents.start_agent(rank);
        }
        agents
    }

    /// Kills an agent and starts it again.
    pub async fn restart(&mut self, rank: usize, pause: Duration) {
        self.tasks[rank].shutdown().await;
        self.ports[rank] = None;
        sleep(pause).await;
        self.start_agent(rank);
        if rank != 0 {
            self.tasks[0].shutdown().await;
            self.start_agent(0);
        }
    }

    fn start_agent(&mut self, rank: usize) {
        let engines = self.fleet.engines_from(rank);
        let (targets, watched) = watch::channel(RankTarget::Idle);
        let (updates, local_updates) = broadcast::channel(UPDATE_CAPACITY);
        let client = engines.engine(address(rank), LOCAL_TIMEOUT_MS).unwrap();
        let poller =
            EnginePoller::new(engines.clone(), client, Polling::LOCAL, watched, updates.clone());
        let snapshot = poller.snapshot();
        self.tasks[rank].spawn(poller.run());
        let port = Port { targets, updates, snapshot };
        if rank == 0 {
            self.start_coordinator(engines, &port, local_updates);
        }
        self.ports[rank] = Some(port);
    }

    fn start_coordinator(
        &mut self,
        engines: FakeEngines,
        own: &Port,
        local_updates: broadcast::Receiver<RankUpdate>,
    ) {
        let (peer_sender, peer_updates) = mpsc::channel(256);
        for (rank, port) in self.ports.iter().enumerate().skip(1) {
            let Some(port) = port.clone() else { continue };
            let targets = own.targets.subscribe();
            self.tasks[0].spawn(send_targets(targets, port.targets.clone()));
            let (status, sender) = (own.updates.subscribe(), peer_sender.clone());
            self.tasks[0].spawn(async move {
                wait_for_group(status).await;
                send_updates(rank, port, sender).await;
            });
        }
        let targets = own.targets.subscribe();
        let (assignment, watched_assignment) = watch::channel(Arc::new(Assignment::default()));
        let remote_pollers =
            RemotePollers::new(engines.clone(), targets.clone(), peer_sender.clone());
        let coordinator = Coordinator {
            lookup: Lookup::new(self.store.clone(), "llm".to_owned()),
            publisher: GroupPublisher::new(self.store.clone()),
            local_engine: engines.engine(address(0), LOCAL_TIMEOUT_MS).unwrap(),
            engines,
            local_address: address(0),
            targets: own.targets.clone(),
            local_updates,
            status: own.updates.clone(),
            peers: PeerConnector {
                identity: identity(),
                port: 1,
                group: String::new(),
                targets,
                assignment: watched_assignment,
                updates: peer_sender,
                encodings: Arc::new(EncodingCache::default()),
            },
            assignment,
            link_bytes_per_s: 1_000_000,
            remote_pollers,
            peer_updates,
            last_version: 0,
            planned: None,
            leaving: CancellationToken::new(),
        };
        self.tasks[0].spawn(coordinator.run());
    }
}

/// Waits until the coordinator knows its group; only then it connects to agents.
async fn wait_for_group(mut status: broadcast::Receiver<RankUpdate>) {
    while !matches!(status.recv().await, Ok(RankUpdate::Group(_))) {}
}

/// Sends the coordinator's targets to an agent, beginning with the current one.
async fn send_targets(mut targets: watch::Receiver<RankTarget>, agent: watch::Sender<RankTarget>) {
    loop {
        let target = targets.borrow_and_update().clone();
        sleep(LINK_LATENCY).await;
        agent.send_replace(target);
        if targets.changed().await.is_err() {
            return;
        }
    }
}

/// Sends an agent's updates to the coordinator, beginning with its latest state.
async fn send_updates(rank: usize, port: Port, coordinator: mpsc::Sender<PeerUpdate>) {
    let mut updates = port.updates.subscribe();
    let RankSnapshot { state, experts } = port.snapshot.borrow().clone();
    let experts =
        experts.map(|(map_version, experts)| RankUpdate::Experts { map_version, experts });
    let first = state.map(RankUpdate::State).into_iter().chain(experts);
    let update =
        |update| PeerUpdate { engine: address(rank), data_centre: Some("z".into()), update };
    for first in first {
        if coordinator.send(update(first)).await.is_err() {
            return;
        }
    }
    while let Ok(next) = updates.recv().await {
        sleep(LINK_LATENCY).await;
        if coordinator.send(update(next)).await.is_err() {
            return;
        }
    }
}

fn identity() -> Identity {
    let role = Role::Agent(BackendProfile {
        serves: Serves::Service { service: "llm".to_owned() },
        places: 0,
        can_resume: true,
        experts: None,
    });
    Identity::without_secret("a-0", "z", role, Timing::default())
}

fn configuration() -> String {
    let (sets, experts, placements) = (SHAPE.sets, SHAPE.experts, SHAPE.replicas_per_rank);
    format!(
        r#"{{"version":3,"routes":[{{"name":"r","host":"h","prefix":"/m/","routeKind":"streaming",
        "timeoutMs":8000,"goalMs":500,"priority":1,"service":"llm","maxAttempts":2,"public":false,
        "sticky":true,"resumable":true,"gapGoalMs":120}}],"services":[{{"name":"llm",
        "healthPath":"/healthz","maxConns":400,"protocol":"h1","tls":false,"engine":{{"slots":12,
        "kvCapacity":280000,"kvTokenBytes":35136,"linkMbps":44000.0,"stride":4,
        "models":[{{"name":"m"}}],"step_ms":4.55,"per_seq_ms":0.905,"context_per_k":0.0183,
        "read_per_s":61400.0,"pairs_per_m":0.525,"chunk":512,"report_lag_ms":200.0,
        "usual":{{"prompt":400,"answer":16}},"sets":{sets},"experts":{experts},
        "placements":{placements},"spare":2,"expertMb":440.0,"expertShare":0.85,
        "form_ms":600.0}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
        "headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}
