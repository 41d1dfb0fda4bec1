//! An agent process, assembled from its settings.

use crate::listen::{ListenLimits, Sockets, StartError, serve as serve_http};
use crate::operators;
use crate::orders::GateOrderHandler;
use crate::threads::spawn_control;
use flamingowheel_agent::archive::Archive;
use flamingowheel_agent::config::AgentConfig;
use flamingowheel_agent::control::{AgentHandle, Control};
use flamingowheel_agent::serve;
use flamingowheel_backing::client::{BackendKind, EtcdClient, Failover, HttpBackend, HttpLimits};
use flamingowheel_config::settings::{
    AgentSettings, BackendServerKind, ExpertSettings, Role, Settings,
};
use flamingowheel_observe::event::Event;
use flamingowheel_observe::metrics::{Metrics, OccupancyKind};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_protocol::link::{LinkOptions, Timing};
use flamingowheel_protocol::message::{BackendProfile, ExpertShape, Serves};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Delay before connections close, so that entries can read the last messages.
const CLOSE_DELAY: Duration = Duration::from_millis(500);

/// Longest time from a request to the head of the backend server's answer. The caller's deadline
/// comes first: entries cancel the request then.
const HEAD_TIMEOUT_MS: u64 = 600_000;

/// Longest time without a byte within a body. Engines send a token every few hundredths of a
/// second.
const SILENCE_TIMEOUT_MS: u64 = 3_000;

/// A running agent.
pub struct AgentProcess {
    handle: AgentHandle,
    recorder: Recorder,
    archive: Archive,
    kv: Failover<EtcdClient>,
    stop: CancellationToken,
    /// Bound address of the operators' listener.
    pub operators: SocketAddr,
}

impl AgentProcess {
    /// Binds the addresses of the settings and starts an agent.
    pub async fn start(settings: &Settings, recorder: Recorder) -> Result<Self, StartError> {
        let sockets = Sockets::bind(&settings.listen).await?;
        Self::start_on(settings, recorder, sockets).await
    }

    /// Starts an agent on sockets that are bound already.
    pub async fn start_on(
        settings: &Settings,
        recorder: Recorder,
        sockets: Sockets,
    ) -> Result<Self, StartError> {
        let Role::Agent(agent_settings) = &settings.role else { return Err(StartError::OtherRole) };
        let Sockets { inner, operators, .. } = sockets;
        let operators_address = operators.local_addr()?;
        let config = agent_config(settings, agent_settings, operators_address);
        let archive = Archive {
            incarnation: config.incarnation,
            ticket_retention: config.ticket_retention(),
        };
        let backend = Arc::new(backend(agent_settings));
        recorder.record(Event::ProcessStarted {
            version: env!("CARGO_PKG_VERSION").into(),
            incarnation: uuid::Uuid::from_u64_pair(0, config.incarnation.0),
        });
        let link_options =
            LinkOptions { timing: Timing::default(), logical_clock: Arc::new(recorder.clone()) };
        let key = crate::entry::fleet_key(settings);
        let identity = serve::identity(&config, key, link_options);
        let incarnation = config.incarnation;
        let (control, handle, commands) = Control::new(config, backend, recorder.clone());
        let orders =
            GateOrderHandler::start(settings, agent_settings, incarnation, &handle, &recorder);
        let control = match orders {
            Some(orders) => control.with_order_handler(orders),
            None => control,
        };
        spawn_control("control", move || control.run(commands))?;
        let status = handle.clone();
        recorder
            .metrics()
            .register_sampler(OccupancyKind::Queue, move || status.status().waiting_count);
        let status = handle.clone();
        recorder
            .metrics()
            .register_sampler(OccupancyKind::Records, move || status.status().record_count);
        let stop = CancellationToken::new();
        tokio::spawn(serve::serve(inner, identity, handle.clone(), stop.clone()));
        let routes = flamingowheel_observe::http::router(recorder.clone());
        let routes = operators::require_token(routes, &settings.operators_token);
        tokio::spawn(serve_http(operators, routes, ListenLimits::default(), stop.clone()));
        let kv = crate::entry::key_value(settings);
        Ok(Self { handle, recorder, archive, kv, stop, operators: operators_address })
    }

    /// Refuses new work, waits until work in progress is done and its answers are read, archives
    /// the answers of tickets, and stops. `deadline` limits the wait; `None` waits without limit.
    pub async fn leave(&mut self, deadline: Option<Duration>) {
        let began = Instant::now();
        let drained = self.handle.drain();
        match deadline {
            Some(deadline) => {
                let _ = tokio::time::timeout(deadline, drained).await;
            }
            None => drained.await,
        }
        let archived = self.archive.store(&self.handle, &self.kv).await;
        tracing::info!(
            archived.finished,
            archived.written,
            archived.sealed,
            "answers of tickets archived"
        );
        tokio::time::sleep(CLOSE_DELAY).await;
        self.recorder.record(Event::LeaveFinished {
            waited_ms: began.elapsed().as_millis() as u64,
            cut_off: u32::from(!self.handle.status().drained),
        });
        self.stop.cancel();
    }

    /// The process name from the settings.
    pub fn name(&self) -> &str {
        &self.recorder.process().name
    }

    /// Number of work items that the agent holds a record of.
    pub fn record_count(&self) -> usize {
        self.handle.status().record_count
    }

    /// Stops at once without draining, as if the process had been killed.
    pub fn kill(&self) {
        self.stop.cancel();
    }
}

/// Creates the event recorder of a process, on the system clock and with new metrics.
pub fn recorder(settings: &Settings) -> Result<Recorder, StartError> {
    let process = flamingowheel_observe::api::ProcessInfo {
        name: settings.name.as_str().into(),
        vm: settings.vm.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
    };
    Ok(Recorder::on_system_clock(process, Metrics::new()?))
}

fn agent_config(
    settings: &Settings,
    agent_settings: &AgentSettings,
    operators: SocketAddr,
) -> AgentConfig {
    let serves = match &agent_settings.kind {
        BackendServerKind::Engine { model, group, rank, .. } => Serves::Model {
            model: model.clone(),
            group: group.clone(),
            rank: u16::try_from(*rank).unwrap_or(u16::MAX),
        },
        BackendServerKind::Service { service } => Serves::Service { service: service.clone() },
    };
    let profile = BackendProfile {
        can_resume: matches!(serves, Serves::Model { .. }),
        serves,
        places: u32::try_from(agent_settings.places).unwrap_or(u32::MAX),
        experts: expert_shape(&agent_settings.kind),
    };
    let mut config = AgentConfig::new(&settings.name, &settings.data_centre, profile);
    config.vm = settings.vm.clone();
    config.operators = Some(operators);
    config.queue_places = agent_settings.queue_length as usize;
    config.max_ticket_records = agent_settings.record_capacity as usize;
    config.max_record_bytes = usize::try_from(agent_settings.record_bytes).unwrap_or(usize::MAX);
    config.max_replay_bytes = agent_settings.replay_window_bytes as usize;
    let windows = agent_settings.record_window_s.div_ceil(config.window.as_secs().max(1));
    config.ticket_windows = u32::try_from(windows).unwrap_or(u32::MAX);
    config
}

fn expert_shape(kind: &BackendServerKind) -> Option<ExpertShape> {
    let BackendServerKind::Engine { ranks, experts, .. } = kind else { return None };
    // Without an expert map the shape has 0 layers.
    let experts = experts.unwrap_or(ExpertSettings { layers: 0, experts: 0, slots: 0 });
    // Validation of the settings keeps all of them far below `u16::MAX`.
    let size = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
    Some(ExpertShape {
        ranks: size(*ranks),
        layers: size(experts.layers),
        experts: size(experts.experts),
        slots: size(experts.slots),
    })
}

fn backend(agent_settings: &AgentSettings) -> HttpBackend {
    let kind = match agent_settings.kind {
        BackendServerKind::Engine { .. } => BackendKind::Engine,
        BackendServerKind::Service { .. } => BackendKind::Service,
    };
    let limits = HttpLimits {
        head_timeout_ms: HEAD_TIMEOUT_MS,
        read_timeout_ms: SILENCE_TIMEOUT_MS,
        idle_timeout_ms: SILENCE_TIMEOUT_MS,
        ..HttpLimits::default()
    };
    HttpBackend::new(authority(agent_settings.backend_server), kind, limits)
}

/// Converts a socket address to the authority of a URI.
pub fn authority(address: SocketAddr) -> http::uri::Authority {
    address.to_string().parse().expect("socket addresses are authorities")
}
