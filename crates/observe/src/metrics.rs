//! Typed metrics of a process.
//!
//! Labels come from closed enums only. A label per workspace, request or peer would grow with the
//! fleet: 27,000 workspaces on 380 entries would outgrow the processes' memory budget.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use tokio::time::Instant;

use crate::event::Event;
use crate::reason::{Class, Limit, Outcome, RefusalReason, RetryDenial, RetryReason, named_enum};

/// Buckets of the time to the first token, whose target is a 95th percentile of 900 ms.
const FIRST_TOKEN_BUCKETS_MS: [f64; 12] =
    [25.0, 50.0, 100.0, 200.0, 300.0, 450.0, 600.0, 900.0, 1_350.0, 2_000.0, 5_000.0, 15_000.0];

/// Buckets of the time between tokens, whose target is a 95th percentile of 52 ms.
const BETWEEN_TOKENS_BUCKETS_MS: [f64; 10] =
    [5.0, 10.0, 20.0, 30.0, 40.0, 52.0, 75.0, 100.0, 250.0, 1_000.0];

/// Metrics could not be registered or encoded.
#[derive(Debug, thiserror::Error)]
#[error("metrics: {0}")]
pub struct MetricsError(#[from] prometheus::Error);

named_enum! {
    /// Operation on the key-value service.
    KvCall {
        /// A read.
        Read = "read",
        /// A write or compare-and-swap.
        Write = "write",
        /// A watch, counted each time it is opened.
        Watch = "watch",
        /// A lease granted, renewed or revoked.
        Lease = "lease",
    }
}

named_enum! {
    /// What the occupancy gauge counts; the value of its label `kind`.
    OccupancyKind {
        /// Requests in flight in this process.
        InFlight = "in_flight",
        /// Attempts queued at the agent.
        Queue = "queue",
        /// Execution records in use at the agent.
        Records = "records",
        /// Open connections between this system's processes.
        Links = "links",
        /// Fingerprints under suspicion of causing crashes.
        Suspects = "suspects",
    }
}

/// The metrics of one process; clones share them.
///
/// ```
/// use flamingowheel_observe::event::Event;
/// use flamingowheel_observe::metrics::Metrics;
///
/// let metrics = Metrics::new()?;
/// metrics.count_event(&Event::EngineCrashed { backend_server: "runner-3".into(), running: 2 });
/// assert!(metrics.encode()?.contains("flamingowheel_engine_crashes_total 1"));
/// # Ok::<(), flamingowheel_observe::metrics::MetricsError>(())
/// ```
#[derive(Clone)]
pub struct Metrics {
    shared: Arc<Shared>,
}

struct Shared {
    registry: Registry,
    requests: IntCounterVec,
    attempts: IntCounter,
    retries: IntCounterVec,
    retries_denied: IntCounterVec,
    refusals: IntCounterVec,
    limited: IntCounterVec,
    first_token: Histogram,
    between_tokens: Histogram,
    chunks: IntCounter,
    resumes: IntCounter,
    silent_connections: IntCounter,
    engine_crashes: IntCounter,
    stale_orders: IntCounter,
    ranks_unverified: IntCounter,
    cut_off: IntCounter,
    occupancy: IntGaugeVec,
    config_revision: IntGauge,
    kv_calls: IntCounterVec,
    kv_errors: IntCounter,
    kv_up: IntGauge,
    events_overwritten: IntGauge,
    clock_drift_ignored: IntCounter,
    samplers: Mutex<Vec<Sampler>>,
}

/// Returns the current number of items of one kind.
type Sampler = (OccupancyKind, Box<dyn Fn() -> usize + Send + Sync>);

impl Metrics {
    /// Registers the metrics in a new registry.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new_custom(Some("flamingowheel".into()), None)?;
        let builder = Builder { registry: &registry };
        let shared = Shared {
            requests: builder.counters(
                "requests_total",
                "Requests ended, by workspace class and outcome",
                &["class", "outcome"],
            )?,
            attempts: builder
                .counter("attempts_total", "Attempts dispatched to backend servers")?,
            retries: builder.counters(
                "retries_total",
                "Further attempts, by reason",
                &["reason"],
            )?,
            retries_denied: builder.counters(
                "retries_denied_total",
                "Requests that could not be tried again, by reason",
                &["reason"],
            )?,
            refusals: builder.counters(
                "refusals_total",
                "Attempts refused, by reason",
                &["reason"],
            )?,
            limited: builder.counters(
                "limited_total",
                "Requests over a limit of their workspace",
                &["limit"],
            )?,
            first_token: builder.histogram(
                "first_token_ms",
                "Time from the request to its first token",
                &FIRST_TOKEN_BUCKETS_MS,
            )?,
            between_tokens: builder.histogram(
                "between_tokens_ms",
                "Time between two chunks of a stream",
                &BETWEEN_TOKENS_BUCKETS_MS,
            )?,
            chunks: builder.counter("chunks_total", "Chunks of streams passed on")?,
            resumes: builder.counter("resumes_total", "Streams resumed over another connection")?,
            silent_connections: builder
                .counter("silent_connections_total", "Connections given up as silent")?,
            engine_crashes: builder.counter("engine_crashes_total", "Engine crashes seen")?,
            stale_orders: builder
                .counter("stale_orders_total", "Orders refused for an old fencing number")?,
            ranks_unverified: builder
                .counter("ranks_unverified_total", "Ranks taken out of service as unverified")?,
            cut_off: builder.counter("cut_off_total", "Requests cut off at the end of a leave")?,
            occupancy: builder.gauges("occupancy", "Places in use, by kind", &["kind"])?,
            config_revision: builder.gauge("config_revision", "Configuration revision in force")?,
            kv_calls: builder.counters(
                "kv_calls_total",
                "Calls on the key-value service",
                &["call"],
            )?,
            kv_errors: builder
                .counter("kv_errors_total", "Failed calls on the key-value service")?,
            kv_up: builder.gauge(
                "kv_up",
                "0 from the event that the key-value service is down until it is up",
            )?,
            events_overwritten: builder
                .gauge("events_overwritten", "Events lost from the ring since the start")?,
            clock_drift_ignored: builder
                .counter("clock_drift_ignored_total", "Stamps too far ahead to be followed")?,
            samplers: Mutex::default(),
            registry: registry.clone(),
        };
        shared.initialise();
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Updates the metrics that an event affects; the recorder calls this for each event.
    pub fn count_event(&self, event: &Event) {
        let shared = &self.shared;
        match event {
            Event::Completed { class, .. } => self.request_ended(*class, Outcome::Complete),
            Event::NotRun { class, .. } => self.request_ended(*class, Outcome::NotRun),
            Event::OutcomeUnknown { class, .. } => self.request_ended(*class, Outcome::Unknown),
            Event::Dispatched { .. } => shared.attempts.inc(),
            Event::Retried { reason, .. } => count_by(&shared.retries, reason.as_str()),
            Event::RetryDenied { reason, .. } => count_by(&shared.retries_denied, reason.as_str()),
            Event::Refused { reason, .. } => count_by(&shared.refusals, reason.as_str()),
            Event::LimitExceeded { limit, .. } => count_by(&shared.limited, limit.as_str()),
            Event::Resumed { .. } => shared.resumes.inc(),
            Event::ConnectionSilent { .. } => shared.silent_connections.inc(),
            Event::EngineCrashed { .. } => shared.engine_crashes.inc(),
            Event::OrderRefused { .. } => shared.stale_orders.inc(),
            Event::RankUnverified { .. } => shared.ranks_unverified.inc(),
            Event::ConfigurationInForce { revision, .. } => {
                shared.config_revision.set(gauge_value(*revision));
            }
            Event::KeyValueDown { .. } => shared.kv_up.set(0),
            Event::KeyValueUp { .. } => shared.kv_up.set(1),
            Event::LeaveFinished { cut_off, .. } => shared.cut_off.inc_by(u64::from(*cut_off)),
            Event::ClockDriftIgnored { .. } => shared.clock_drift_ignored.inc(),
            _ => {}
        }
    }

    /// Counts a request that was refused before it got an id. `class` is `None` if the workspace is
    /// unknown, and with it the class.
    ///
    /// ```
    /// use flamingowheel_observe::metrics::Metrics;
    ///
    /// let metrics = Metrics::new()?;
    /// metrics.count_refused_request(None);
    /// let line = r#"flamingowheel_requests_total{class="none",outcome="not_run"} 1"#;
    /// assert!(metrics.encode()?.contains(line));
    /// # Ok::<(), flamingowheel_observe::metrics::MetricsError>(())
    /// ```
    pub fn count_refused_request(&self, class: Option<Class>) {
        let class = class.map_or("none", Class::as_str);
        self.shared.requests.with_label_values(&[class, Outcome::NotRun.as_str()]).inc();
    }

    fn request_ended(&self, class: Class, outcome: Outcome) {
        self.shared.requests.with_label_values(&[class.as_str(), outcome.as_str()]).inc();
    }

    /// Starts timing the chunks of an answer whose request arrived at `received_at`.
    ///
    /// ```
    /// use flamingowheel_observe::metrics::Metrics;
    /// use tokio::time::Instant;
    ///
    /// let metrics = Metrics::new()?;
    /// let mut timer = metrics.stream_timer(Instant::now());
    /// timer.record_chunk();
    /// timer.record_chunk();
    /// assert!(metrics.encode()?.contains("flamingowheel_chunks_total 2"));
    /// # Ok::<(), flamingowheel_observe::metrics::MetricsError>(())
    /// ```
    pub fn stream_timer(&self, received_at: Instant) -> StreamTimer {
        StreamTimer { metrics: self.clone(), previous_at: received_at, has_begun: false }
    }

    /// Registers `read`, which returns the current number of items of a kind. It is called whenever
    /// the metrics are encoded.
    ///
    /// ```
    /// use flamingowheel_observe::metrics::{Metrics, OccupancyKind};
    ///
    /// let metrics = Metrics::new()?;
    /// metrics.register_sampler(OccupancyKind::Queue, || 3);
    /// assert!(metrics.encode()?.contains("flamingowheel_occupancy{kind=\"queue\"} 3"));
    /// # Ok::<(), flamingowheel_observe::metrics::MetricsError>(())
    /// ```
    pub fn register_sampler<F>(&self, kind: OccupancyKind, read: F)
    where
        F: Fn() -> usize + Send + Sync + 'static,
    {
        self.shared.samplers().push((kind, Box::new(read)));
    }

    /// Counts a call to the key-value service.
    pub fn count_kv_call(&self, call: KvCall) {
        self.shared.kv_calls.with_label_values(&[call.as_str()]).inc();
    }

    /// Counts a failed call to the key-value service.
    pub fn count_kv_error(&self) {
        self.shared.kv_errors.inc();
    }

    /// Sets the number of events that the ring has overwritten.
    pub fn set_events_overwritten(&self, overwritten: u64) {
        self.shared.events_overwritten.set(gauge_value(overwritten));
    }

    /// Calls the samplers and returns all metrics in Prometheus's text format.
    pub fn encode(&self) -> Result<String, MetricsError> {
        for (kind, read) in self.shared.samplers().iter() {
            let gauge = self.shared.occupancy.with_label_values(&[kind.as_str()]);
            gauge.set(gauge_value(read() as u64));
        }
        Ok(TextEncoder::new().encode_to_string(&self.shared.registry.gather())?)
    }
}

/// Times the chunks of one answer.
#[derive(Clone)]
pub struct StreamTimer {
    metrics: Metrics,
    previous_at: Instant,
    has_begun: bool,
}

impl StreamTimer {
    /// Records the time since the previous chunk, or since the request for the first chunk.
    pub fn record_chunk(&mut self) {
        let shared = &self.metrics.shared;
        let now = Instant::now();
        let wait_ms = milliseconds(now.duration_since(self.previous_at));
        shared.chunks.inc();
        match self.has_begun {
            true => shared.between_tokens.observe(wait_ms),
            false => shared.first_token.observe(wait_ms),
        }
        (self.previous_at, self.has_begun) = (now, true);
    }
}

impl Shared {
    fn samplers(&self) -> MutexGuard<'_, Vec<Sampler>> {
        self.samplers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the series of every label value, and sets `kv_up` to 1 until an outage is seen.
    ///
    /// A counter that first appears with its first event shows no increase to a rate query, so the
    /// first crash or unknown outcome after a start would raise no alarm.
    fn initialise(&self) {
        for class in Class::ALL {
            let outcomes = Outcome::ALL.iter().map(|outcome| outcome.as_str());
            outcomes.for_each(|outcome| {
                self.requests.with_label_values(&[class.as_str(), outcome]);
            });
        }
        create_series(&self.retries, RetryReason::ALL.iter().map(|reason| reason.as_str()));
        create_series(&self.retries_denied, RetryDenial::ALL.iter().map(|reason| reason.as_str()));
        create_series(&self.refusals, RefusalReason::ALL.iter().map(|reason| reason.as_str()));
        create_series(&self.limited, Limit::ALL.iter().map(|limit| limit.as_str()));
        create_series(&self.kv_calls, KvCall::ALL.iter().map(|call| call.as_str()));
        for kind in OccupancyKind::ALL {
            self.occupancy.with_label_values(&[kind.as_str()]);
        }
        self.kv_up.set(1);
    }
}

fn create_series<I>(counters: &IntCounterVec, labels: I)
where
    I: Iterator<Item = &'static str>,
{
    labels.for_each(|label| {
        counters.with_label_values(&[label]);
    });
}

fn count_by(counters: &IntCounterVec, label: &str) {
    counters.with_label_values(&[label]).inc();
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

struct Builder<'a> {
    registry: &'a Registry,
}

impl Builder<'_> {
    fn counter(&self, name: &str, help: &str) -> Result<IntCounter, MetricsError> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, MetricsError> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, MetricsError> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec, MetricsError> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    fn histogram(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
    ) -> Result<Histogram, MetricsError> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }
}
