//! An agent process, assembled from its settings.

use crate::listen::{ListenLimits, Sockets, StartError, serve as serve_http};
use crate::operators;
use crate::orders::GateOrders;
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

/// Time for entries to read the last messages before connections close.
const LINGER: Duration = Duration::from_millis(500);

/// The longest that a backend server may take until its answer begins, in milliseconds. Entries
/// cancel at the caller's deadline, which comes first.
const HEAD_LIMIT_MS: u64 = 600_000;

/// The longest time without a byte within a body, in milliseconds. Engines send a token every few
/// hundredths of a second.
const SILENCE_LIMIT_MS: u64 = 3_000;

/// A running agent.
pub struct AgentProcess {
    handle: AgentHandle,
    recorder: Recorder,
    archive: Archive,
    kv: Failover<EtcdClient>,
    stop: CancellationToken,
    /// Where operators reach it.
    pub operators: SocketAddr,
}

impl AgentProcess {
    /// Starts an agent.
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
        let Role::Agent(own) = &settings.role else { return Err(StartError::OtherRole) };
        let Sockets { inner, operators, .. } = sockets;
        let operators_address = operators.local_addr()?;
        let config = config(settings, own, operators_address);
        let archive = Archive {
            incarnation: config.incarnation,
            ticket_retention: config.ticket_retention(),
        };
        let backend = Arc::new(backend(own));
        recorder.record(Event::ProcessStarted {
            version: env!("CARGO_PKG_VERSION").into(),
            incarnation: uuid::Uuid::from_u64_pair(0, config.incarnation.0),
        });
        let keeping =
            LinkOptions { timing: Timing::default(), logical_clock: Arc::new(recorder.clone()) };
        let key = crate::entry::fleet_key(settings);
        let identity = serve::identity(&config, key, keeping);
        let incarnation = config.incarnation;
        let (control, handle, commands) = Control::new(config, backend, recorder.clone());
        let orders = GateOrders::start(settings, own, incarnation, &handle, &recorder);
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
        let routes = operators::guard(routes, &settings.operators_token);
        tokio::spawn(serve_http(operators, routes, ListenLimits::default(), stop.clone()));
        let kv = crate::entry::key_value(settings);
        Ok(Self { handle, recorder, archive, kv, stop, operators: operators_address })
    }

    /// Takes no new work, and ends when what is in progress is done and read. Gives up waiting
    /// at `deadline`, if there is one.
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
        tokio::time::sleep(LINGER).await;
        self.recorder.record(Event::LeaveFinished {
            waited_ms: began.elapsed().as_millis() as u64,
            cut_off: u32::from(!self.handle.status().drained),
        });
        self.stop.cancel();
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.recorder.process().name
    }

    /// Work that it has taken so far and keeps a record of.
    pub fn record_count(&self) -> usize {
        self.handle.status().record_count
    }

    /// Ends at once, as if the process had been killed.
    pub fn kill(&self) {
        self.stop.cancel();
    }
}

/// A recorder for a process with these settings.
pub fn recorder(settings: &Settings) -> Result<Recorder, StartError> {
    let process = flamingowheel_observe::api::ProcessInfo {
        name: settings.name.as_str().into(),
        vm: settings.vm.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
    };
    Ok(Recorder::on_system_clock(process, Metrics::new()?))
}

fn config(settings: &Settings, own: &AgentSettings, operators: SocketAddr) -> AgentConfig {
    let serves = match &own.kind {
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
        places: u32::try_from(own.places).unwrap_or(u32::MAX),
        experts: expert_shape(&own.kind),
    };
    let mut config = AgentConfig::new(&settings.name, &settings.data_centre, profile);
    config.vm = settings.vm.clone();
    config.operators = Some(operators);
    config.queue_places = own.queue_length as usize;
    config.max_ticket_records = own.record_capacity as usize;
    config.max_record_bytes = usize::try_from(own.record_bytes).unwrap_or(usize::MAX);
    config.max_replay_bytes = own.replay_window_bytes as usize;
    let windows = own.record_window_s.div_ceil(config.window.as_secs().max(1));
    config.ticket_windows = u32::try_from(windows).unwrap_or(u32::MAX);
    config
}

fn expert_shape(kind: &BackendServerKind) -> Option<ExpertShape> {
    let BackendServerKind::Engine { ranks, experts, .. } = kind else { return None };
    // Ranks that share no expert map are a group whose map has no layers.
    let experts = experts.unwrap_or(ExpertSettings { layers: 0, experts: 0, slots: 0 });
    // The settings' check keeps all of them far below the type's bound.
    let size = |value: u32| u16::try_from(value).unwrap_or(u16::MAX);
    Some(ExpertShape {
        ranks: size(*ranks),
        layers: size(experts.layers),
        experts: size(experts.experts),
        slots: size(experts.slots),
    })
}

fn backend(own: &AgentSettings) -> HttpBackend {
    let kind = match own.kind {
        BackendServerKind::Engine { .. } => BackendKind::Engine,
        BackendServerKind::Service { .. } => BackendKind::Service,
    };
    let limits = HttpLimits {
        head_ms: HEAD_LIMIT_MS,
        silence_ms: SILENCE_LIMIT_MS,
        idle_ms: SILENCE_LIMIT_MS,
        ..HttpLimits::default()
    };
    HttpBackend::new(authority(own.backend_server), kind, limits)
}

/// An address as the authority of a URI.
pub fn authority(address: SocketAddr) -> http::uri::Authority {
    // Every socket address is a valid authority.
    address.to_string().parse().expect("socket addresses are authorities")
}
