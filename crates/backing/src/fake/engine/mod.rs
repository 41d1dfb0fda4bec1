//! An in-memory model engine: runs a limited number of requests at the same time, streams a text
//! derived from the request, applies orders, reports load and cache events with a lag, and crashes
//! on demand.

mod cache;
mod control;
mod orders;

mod run;

pub use orders::map_digest;

use super::lock;
use crate::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, CacheEvent, LoadReport, Priority,
};
use crate::orders::{EngineOrders, EngineState, Order, OrderError};
use crate::{BoxFuture, orders::ExpertMap};
use bytes::Bytes;
use cache::PrefixCache;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// What the engine does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencePolicy {
    /// Refuses the order as stale.
    Refuses,
    /// Ignores the number and carries the order out.
    Ignores,
}

/// What goes wrong with the next order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFault {
    /// The order is carried out, but its answer is lost.
    AnswerLost,
    /// The order is lost and never carried out.
    RequestLost,
    /// The order is carried out after this delay unless the process dies first; its sender times
    /// out.
    Delayed(Duration),
}

/// How an engine behaves; fixed when it is created.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Time between two tokens.
    pub token_delay: Duration,
    /// Tokens generated for a body that names no `max_tokens`.
    pub default_tokens: u64,
    /// Requests that run at the same time; more wait by priority.
    pub places: usize,
    /// Whether a stream can start after a number of events.
    pub can_resume: bool,
    /// How orders with an old fencing number are handled.
    pub fence_policy: FencePolicy,
    /// Time by which the load report lags behind.
    pub load_report_lag: Duration,
    /// Time until a cache event can be read.
    pub cache_event_lag: Duration,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Time to load a model or to stage a map.
    pub weight_load_time: Duration,
    /// How long a call waits before it fails with [`BackendError::Silent`].
    pub silence_timeout: Duration,
    /// Time from a crash to the restart; `None` if only [`FakeEngine::restart`] restarts it.
    pub restart_after: Option<Duration>,
    /// Tokens sent before a body set by [`FakeEngine::crash_on`] crashes the process.
    pub crash_after_tokens: u64,
    /// Whether a switch to an unstaged map is refused instead of loading it during the switch.
    pub needs_staging: bool,
    /// Whether a new process is held before its first step, as a rank that rejoins its group must
    /// be.
    pub starts_held: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            token_delay: Duration::from_millis(10),
            default_tokens: 8,
            places: 32,
            can_resume: true,
            fence_policy: FencePolicy::Refuses,
            load_report_lag: Duration::ZERO,
            cache_event_lag: Duration::ZERO,
            cache_blocks: 1024,
            weight_load_time: Duration::ZERO,
            silence_timeout: Duration::from_secs(3),
            restart_after: None,
            crash_after_tokens: 0,
            needs_staging: true,
            starts_held: false,
        }
    }
}

/// How often a call or a body ran, for tests to check against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCount {
    /// Times it was started.
    pub started: u32,
    /// Times it ran to its end.
    pub finished: u32,
    /// Times it was cancelled or its caller went away.
    pub cancelled: u32,
    /// Times it was lost in a crash.
    pub lost: u32,
}

/// A running process of the engine.
#[derive(Clone, Debug)]
struct Process {
    id: u64,
    started_at: Instant,
    /// Cancelled when the process dies.
    ended: CancellationToken,
}

/// Position of a request that waits for a place; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: Priority,
    number: u64,
}

#[derive(Debug)]
struct State {
    process: Option<Process>,
    process_starts: u64,
    crashes: u64,
    running: usize,
    waiting: Vec<QueuePosition>,
    next_queue_number: u64,
    calls: HashMap<String, CancellationToken>,
    crash_on: Vec<Bytes>,
    by_call: HashMap<String, RunCount>,
    by_body: HashMap<Bytes, RunCount>,
    reports: VecDeque<(Instant, LoadReport)>,
    cache: PrefixCache,
    reported: EngineState,
    map: ExpertMap,
    order_faults: VecDeque<OrderFault>,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    seed: u64,
    state: Mutex<State>,
    place_freed: Notify,
    frozen: watch::Sender<bool>,
    up: watch::Sender<bool>,
}

/// In-memory engine; clones share one engine.
///
/// ```
/// use flamingowheel_backing::backend::BackendServer;
/// use flamingowheel_backing::fake::{EngineSettings, FakeEngine};
/// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
/// let engine = FakeEngine::new(1, EngineSettings::default());
/// assert_eq!(engine.load().await.unwrap().running, 0);
/// engine.crash();
/// assert!(engine.load().await.is_err());
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct FakeEngine {
    shared: Arc<Shared>,
}

impl FakeEngine {
    /// Starts an engine; `seed` makes its process ids differ from those of other engines.
    pub fn new(seed: u64, settings: EngineSettings) -> Self {
        let state = State {
            process: None,
            process_starts: 0,
            crashes: 0,
            running: 0,
            waiting: Vec::new(),
            next_queue_number: 0,
            calls: HashMap::new(),
            crash_on: Vec::new(),
            by_call: HashMap::new(),
            by_body: HashMap::new(),
            reports: VecDeque::new(),
            cache: PrefixCache::new(settings.cache_blocks),
            reported: EngineState::default(),
            map: ExpertMap::default(),
            order_faults: VecDeque::new(),
        };
        let shared = Shared {
            settings,
            seed,
            state: Mutex::new(state),
            place_freed: Notify::new(),
            frozen: watch::Sender::new(false),
            up: watch::Sender::new(false),
        };
        let this = Self { shared: Arc::new(shared) };
        this.restart();
        this
    }

    /// The settings that the engine was created with.
    pub fn settings(&self) -> &EngineSettings {
        &self.shared.settings
    }

    /// Waits until the engine is not frozen, at most for the silence timeout.
    async fn wait_until_responsive(&self) -> Result<(), BackendError> {
        self.process()?;
        let timeout = self.shared.settings.silence_timeout;
        let mut frozen = self.shared.frozen.subscribe();
        let unfrozen = tokio::time::timeout(timeout, frozen.wait_for(|frozen| !frozen)).await;
        match unfrozen {
            Ok(Ok(_)) => self.process().map(drop),
            Ok(Err(_)) | Err(_) => Err(silent(timeout)),
        }
    }

    fn process(&self) -> Result<Process, BackendError> {
        lock(&self.shared.state).process.clone().ok_or(BackendError::Refused)
    }
}

fn silent(timeout: Duration) -> BackendError {
    BackendError::Silent { limit_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX) }
}

impl BackendServer for FakeEngine {
    fn call(&self, call: BackendCall) -> BoxFuture<'_, Result<BackendAnswer, BackendError>> {
        Box::pin(async move {
            // The kernel of a frozen engine still accepts the request, which runs once the engine is
            // unfrozen.
            let process = self.process()?;
            let timeout = self.shared.settings.silence_timeout;
            let head = run::start(self, process, call);
            match tokio::time::timeout(timeout, head).await {
                Ok(Ok(answer)) => Ok(answer),
                Ok(Err(_)) => Err(BackendError::Lost),
                Err(_) => Err(silent(timeout)),
            }
        })
    }

    fn cancel<'a>(&'a self, id: &'a str) -> BoxFuture<'a, Result<(), BackendError>> {
        Box::pin(async move {
            self.wait_until_responsive().await?;
            if let Some(call) = lock(&self.shared.state).calls.get(id) {
                call.cancel();
            }
            Ok(())
        })
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, BackendError>> {
        Box::pin(async move {
            self.wait_until_responsive().await?;
            Ok(self.lagging_report())
        })
    }

    fn cache_events(&self, after: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, BackendError>> {
        Box::pin(async move {
            self.wait_until_responsive().await?;
            let lag = self.shared.settings.cache_event_lag;
            Ok(lock(&self.shared.state).cache.events(after, lag))
        })
    }
}

impl EngineOrders for FakeEngine {
    fn send_order<'a>(&'a self, order: &'a Order) -> BoxFuture<'a, Result<(), OrderError>> {
        Box::pin(orders::receive(self, order))
    }

    fn state(&self) -> BoxFuture<'_, Result<EngineState, BackendError>> {
        Box::pin(async move {
            self.wait_until_responsive().await?;
            Ok(lock(&self.shared.state).reported.clone())
        })
    }
}
