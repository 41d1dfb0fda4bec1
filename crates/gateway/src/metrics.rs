//! Counters and latency histograms of an entry.

use crate::budget::RetryCause;
use crate::view::InForce;
use flamingowheel_policy::answers::{Ending, Framing};
use flamingowheel_policy::suspicion::SubjectKind;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};
use std::time::Duration;

/// Buckets of the time to an answer, in seconds; they cover the routes' goals (0.1 to 0.5 s) and
/// time limits (0.6 to 8 s).
const ANSWER_BUCKETS_S: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0];

/// Buckets of pauses between events, in seconds, around the goals of 0.12 and 0.15 s.
const PAUSE_BUCKETS_S: [f64; 9] = [0.02, 0.04, 0.06, 0.09, 0.12, 0.15, 0.25, 0.5, 1.5];

/// Buckets of the time until a configuration is in force, in seconds; the limit is 2 s.
const CONFIGURATION_BUCKETS_S: [f64; 10] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 1.6, 2.0, 4.0];

/// Metrics of an entry. Labels come from small fixed sets, so that the number of series is bounded.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    sends: IntCounterVec,
    signals: IntCounterVec,
    permits: IntCounterVec,
    cold_servers: IntGaugeVec,
    retries: IntCounterVec,
    retry_room: GaugeVec,
    losses: IntCounterVec,
    answers: IntCounterVec,
    suspicions: IntCounterVec,
    answer_times: HistogramVec,
    pauses: Histogram,
    configuration: ConfigurationMetrics,
}

/// How recent the configuration is.
#[derive(Debug)]
struct ConfigurationMetrics {
    version: IntGauge,
    in_force_seconds: Gauge,
    source: IntGaugeVec,
    store_age_seconds: Gauge,
    delay: Histogram,
}

impl ConfigurationMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            version: IntGauge::new(
                "flamingowheel_configuration_version",
                "Version of the configuration in force",
            )?,
            in_force_seconds: Gauge::new(
                "flamingowheel_configuration_in_force_seconds",
                "Time since the configuration came into force",
            )?,
            source: IntGaugeVec::new(
                Opts::new(
                    "flamingowheel_configuration_source",
                    "1 for what the configuration in force came from",
                ),
                &["source"],
            )?,
            store_age_seconds: Gauge::new(
                "flamingowheel_store_age_seconds",
                "Time since the store confirmed this entry's copy of it",
            )?,
            delay: Histogram::with_opts(
                HistogramOpts::new(
                    "flamingowheel_configuration_delay_seconds",
                    "Longest possible time from the acknowledgement of a configuration to its \
                     coming into force",
                )
                .buckets(CONFIGURATION_BUCKETS_S.to_vec()),
            )?,
        };
        registry.register(Box::new(metrics.version.clone()))?;
        registry.register(Box::new(metrics.in_force_seconds.clone()))?;
        registry.register(Box::new(metrics.source.clone()))?;
        registry.register(Box::new(metrics.store_age_seconds.clone()))?;
        registry.register(Box::new(metrics.delay.clone()))?;
        Ok(metrics)
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("flamingowheel_requests_total", "Requests by kind and how they ended"),
            &["kind", "outcome"],
        )?;
        let sends = IntCounterVec::new(
            Opts::new("flamingowheel_tries_total", "Sends to backend servers and how they ended"),
            &["kind", "result"],
        )?;
        let signals = IntCounterVec::new(
            Opts::new(
                "flamingowheel_server_signals_total",
                "Changes of what backend servers ask for in their answers",
            ),
            &["signal"],
        )?;
        let permits = IntCounterVec::new(
            Opts::new(
                "flamingowheel_permits_total",
                "Asks for permits of limited backend servers and how they were answered",
            ),
            &["answer"],
        )?;
        let cold_servers = IntGaugeVec::new(
            Opts::new("flamingowheel_cold_servers", "Backend servers taken for cold, by service"),
            &["service"],
        )?;
        let retries = IntCounterVec::new(
            Opts::new(
                "flamingowheel_retries_total",
                "Retries by service and cause, sent or not sent for want of budget",
            ),
            &["service", "cause", "outcome"],
        )?;
        let retry_room = GaugeVec::new(
            Opts::new(
                "flamingowheel_retry_room",
                "Retries left to this entry in the window when it last decided on one",
            ),
            &["service"],
        )?;
        let losses = IntCounterVec::new(
            Opts::new(
                "flamingowheel_lost_requests_total",
                "Requests under which the connection to the backend server broke, by cause",
            ),
            &["cause"],
        )?;
        let answers = IntCounterVec::new(
            Opts::new(
                "flamingowheel_answers_total",
                "Answers of backend servers by how they state their end and how reading them ended",
            ),
            &["framing", "ending"],
        )?;
        let suspicions = IntCounterVec::new(
            Opts::new(
                "flamingowheel_suspicions_total",
                "Crashes of backend servers by what they may be due to, and what followed for it",
            ),
            &["kind", "event"],
        )?;
        let answer_times = HistogramVec::new(
            HistogramOpts::new(
                "flamingowheel_answer_seconds",
                "Time to the answer, of streams to the first event",
            )
            .buckets(ANSWER_BUCKETS_S.to_vec()),
            &["kind"],
        )?;
        let pauses = Histogram::with_opts(
            HistogramOpts::new("flamingowheel_pause_seconds", "Pauses between events")
                .buckets(PAUSE_BUCKETS_S.to_vec()),
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(sends.clone()))?;
        registry.register(Box::new(signals.clone()))?;
        registry.register(Box::new(permits.clone()))?;
        registry.register(Box::new(cold_servers.clone()))?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(retry_room.clone()))?;
        registry.register(Box::new(losses.clone()))?;
        registry.register(Box::new(answers.clone()))?;
        registry.register(Box::new(suspicions.clone()))?;
        registry.register(Box::new(answer_times.clone()))?;
        registry.register(Box::new(pauses.clone()))?;
        let configuration = ConfigurationMetrics::register(&registry)?;
        Ok(Self {
            registry,
            requests,
            sends,
            signals,
            permits,
            cold_servers,
            retries,
            retry_room,
            losses,
            answers,
            suspicions,
            answer_times,
            pauses,
            configuration,
        })
    }

    /// Counts a request that ended.
    pub fn record_request(&self, kind: &'static str, outcome: &'static str) {
        self.requests.with_label_values(&[kind, outcome]).inc();
    }

    /// Counts a send to a backend server that ended.
    pub fn record_send(&self, kind: &'static str, result: &'static str) {
        self.sends.with_label_values(&[kind, result]).inc();
    }

    /// Counts a change of what a backend server asks for.
    pub fn record_signal(&self, signal: &'static str) {
        self.signals.with_label_values(&[signal]).inc();
    }

    /// Counts an ask for a permit.
    pub fn record_permit(&self, answer: &'static str) {
        self.permits.with_label_values(&[answer]).inc();
    }

    /// Sets how many servers of a service are taken for cold.
    pub fn set_cold_servers(&self, service: &str, count: usize) {
        self.cold_servers.with_label_values(&[service]).set(count as i64);
    }

    /// Counts a decision on a retry, and sets the room that it left.
    pub fn record_retry(&self, service: &str, cause: RetryCause, outcome: &'static str, room: f64) {
        self.retries.with_label_values(&[service, cause.name(), outcome]).inc();
        self.retry_room.with_label_values(&[service]).set(room);
    }

    /// Counts a request that was lost with its connection.
    pub fn record_loss(&self, cause: &'static str) {
        self.losses.with_label_values(&[cause]).inc();
    }

    /// Counts an answer whose body was read to its end, or as far as it came.
    pub fn record_answer(&self, framing: Framing, ending: Ending) {
        self.answers.with_label_values(&[framing.name(), ending.name()]).inc();
    }

    /// Counts a crash under a suspect, or what followed for it.
    pub fn record_suspicion(&self, kind: SubjectKind, event: &'static str) {
        self.suspicions.with_label_values(&[kind.name(), event]).inc();
    }

    /// Records the time to an answer, or to the first event of a stream.
    pub fn observe_answer_time(&self, kind: &'static str, after: Duration) {
        self.answer_times.with_label_values(&[kind]).observe(after.as_secs_f64());
    }

    /// Records a pause between two events of a stream.
    pub fn observe_pause(&self, pause: Duration) {
        self.pauses.observe(pause.as_secs_f64());
    }

    /// Sets which configuration is in force, since when and where it came from.
    pub fn set_configuration(&self, version: u64, in_force: Option<&InForce>) {
        self.configuration.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.configuration.source.reset();
        if let Some(in_force) = in_force {
            self.configuration.in_force_seconds.set(in_force.since.elapsed().as_secs_f64());
            self.configuration.source.with_label_values(&[in_force.source.kind()]).set(1);
        }
    }

    /// Sets the time since the store confirmed this entry's copy of it; `None` if it never did.
    pub fn set_store_age(&self, age: Option<Duration>) {
        self.configuration
            .store_age_seconds
            .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    }

    /// Records the longest possible time from the acknowledgement of a configuration to its coming
    /// into force.
    pub fn observe_configuration_delay(&self, delay: Duration) {
        self.configuration.delay.observe(delay.as_secs_f64());
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> Result<String, prometheus::Error> {
        TextEncoder::new().encode_to_string(&self.registry.gather())
    }
}
