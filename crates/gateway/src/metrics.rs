//! Counters and latency histograms of an entry.

use crate::budget::RetryCause;
use crate::evacuation::Evacuations;
use crate::view::{CapacityRecord, InForce};
use flamingowheel_policy::answers::{Ending, Framing};
use flamingowheel_policy::suspicion::SubjectKind;
use flamingowheel_policy::urgency::GivesWay;
use prometheus::core::Collector;
use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::collections::HashSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Most workspaces with a label of their own; the others are counted together.
const MAX_WORKSPACE_LABELS: usize = 32;

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
    requests_read: IntCounter,
    requests: IntCounterVec,
    sends: IntCounterVec,
    connections: IntCounterVec,
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
    turns: TurnMetrics,
    configuration: ConfigurationMetrics,
    evacuations: EvacuationMetrics,
    capacity: CapacityMetrics,
}

/// What the entry can take, and what it holds for callers.
#[derive(Debug)]
struct CapacityMetrics {
    capacity: IntGaugeVec,
    held: IntGaugeVec,
}

impl CapacityMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            capacity: IntGaugeVec::new(
                Opts::new(
                    "flamingowheel_capacity",
                    "What this entry's share of new callers follows: requests_per_s of its \
                     machine, its speed and its room in percent",
                ),
                &["part"],
            )?,
            held: IntGaugeVec::new(
                Opts::new("flamingowheel_held", "Connections and bytes held for callers"),
                &["what"],
            )?,
        };
        registry.register(Box::new(metrics.capacity.clone()))?;
        registry.register(Box::new(metrics.held.clone()))?;
        Ok(metrics)
    }
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

/// Which data centres are evacuated.
#[derive(Debug)]
struct EvacuationMetrics {
    in_force_seconds: GaugeVec,
    malformed: IntCounter,
}

impl EvacuationMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            in_force_seconds: GaugeVec::new(
                Opts::new(
                    "flamingowheel_evacuation_in_force_seconds",
                    "Time since the evacuation of a data centre came into force",
                ),
                &["data_centre"],
            )?,
            malformed: IntCounter::new(
                "flamingowheel_evacuations_malformed_total",
                "Evacuations whose value is no JSON object; they are in force all the same",
            )?,
        };
        registry.register(Box::new(metrics.in_force_seconds.clone()))?;
        registry.register(Box::new(metrics.malformed.clone()))?;
        Ok(metrics)
    }
}

/// Whose turn it was while services were short of room.
#[derive(Debug)]
struct TurnMetrics {
    by_level: IntCounterVec,
    gave_way: IntCounterVec,
    workspaces: Mutex<HashSet<String>>,
}

impl TurnMetrics {
    fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let by_level = IntCounterVec::new(
            Opts::new(
                "flamingowheel_turns_total",
                "Requests by level of urgency, and whether they were sent on or refused, at once or \
                 after a wait",
            ),
            &["level", "outcome"],
        )?;
        let gave_way = IntCounterVec::new(
            Opts::new(
                "flamingowheel_gave_way_total",
                "Requests refused for want of room, by workspace and what they gave way to",
            ),
            &["workspace", "to"],
        )?;
        registry.register(Box::new(by_level.clone()))?;
        registry.register(Box::new(gave_way.clone()))?;
        Ok(Self { by_level, gave_way, workspaces: Mutex::default() })
    }

    /// The value of the label for a workspace, of which there are not too many.
    fn label<'a>(&self, workspace: Option<&'a str>) -> &'a str {
        let Some(name) = workspace else {
            return "none";
        };
        let mut known = self.workspaces.lock().unwrap_or_else(PoisonError::into_inner);
        if known.contains(name) {
            return name;
        }
        if known.len() >= MAX_WORKSPACE_LABELS {
            return "other";
        }
        known.insert(name.to_owned());
        name
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests_read = IntCounter::new(
            "flamingowheel_requests_read_total",
            "Requests whose head has been read",
        )?;
        let requests = IntCounterVec::new(
            Opts::new("flamingowheel_requests_total", "Requests by kind and how they ended"),
            &["kind", "outcome"],
        )?;
        let sends = IntCounterVec::new(
            Opts::new("flamingowheel_tries_total", "Sends to backend servers and how they ended"),
            &["kind", "result"],
        )?;
        let connections = IntCounterVec::new(
            Opts::new(
                "flamingowheel_server_connections_total",
                "Sends to backend servers by the connection that they used",
            ),
            &["kind", "connection"],
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
        let turns = TurnMetrics::register(&registry)?;
        registry.register(Box::new(requests_read.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(sends.clone()))?;
        registry.register(Box::new(connections.clone()))?;
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
        let evacuations = EvacuationMetrics::register(&registry)?;
        let capacity = CapacityMetrics::register(&registry)?;
        Ok(Self {
            registry,
            requests_read,
            requests,
            sends,
            connections,
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
            turns,
            configuration,
            evacuations,
            capacity,
        })
    }

    /// Counts a request whose head has been read.
    pub fn record_read(&self) {
        self.requests_read.inc();
    }

    /// Number of requests whose head has been read.
    pub fn requests_read(&self) -> u64 {
        self.requests_read.get()
    }

    /// Number of requests that ended, in whichever way.
    pub fn requests_ended(&self) -> u64 {
        let families = self.requests.collect();
        let counts = families.iter().flat_map(|family| family.get_metric());
        counts.map(|count| count.get_counter().get_value() as u64).sum()
    }

    /// Counts a request that ended.
    pub fn record_request(&self, kind: &'static str, outcome: &'static str) {
        self.requests.with_label_values(&[kind, outcome]).inc();
    }

    /// Counts a send to a backend server that ended.
    pub fn record_send(&self, kind: &'static str, result: &'static str) {
        self.sends.with_label_values(&[kind, result]).inc();
    }

    /// Counts a send by the connection that it used.
    pub fn record_connection(&self, kind: &'static str, connection: &'static str) {
        self.connections.with_label_values(&[kind, connection]).inc();
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

    /// Counts a request whose turn was decided.
    pub fn record_turn(&self, level: Option<u8>, has_waited: bool, is_sent: bool) {
        let outcome = match (is_sent, has_waited) {
            (true, false) => "sent",
            (true, true) => "sent_after_wait",
            (false, false) => "refused",
            (false, true) => "refused_after_wait",
        };
        let level = level.map_or("none".to_owned(), |level| level.to_string());
        self.turns.by_level.with_label_values(&[level.as_str(), outcome]).inc();
    }

    /// Counts a request that was refused for want of room, by what it gave way to.
    pub fn record_gave_way(&self, workspace: Option<&str>, to: GivesWay) {
        let workspace = self.turns.label(workspace);
        self.turns.gave_way.with_label_values(&[workspace, to.name()]).inc();
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

    /// Sets which data centres are evacuated, and since when.
    pub fn set_evacuations(&self, evacuations: &Evacuations) {
        self.evacuations.in_force_seconds.reset();
        for (data_centre, evacuation) in evacuations.iter() {
            let in_force = evacuation.since.elapsed().as_secs_f64();
            self.evacuations.in_force_seconds.with_label_values(&[data_centre]).set(in_force);
        }
    }

    /// Counts an evacuation whose value can't be read.
    pub fn record_malformed_evacuation(&self) {
        self.evacuations.malformed.inc();
    }

    /// Sets what this entry can take and what it holds for callers.
    pub fn set_capacity(&self, capacity: CapacityRecord, held_bytes: usize, connections: usize) {
        let parts = [
            ("requests_per_s", i64::from(capacity.requests_per_s)),
            ("speed_percent", i64::from(capacity.speed_percent)),
            ("room_percent", i64::from(capacity.room_percent)),
        ];
        for (part, value) in parts {
            self.capacity.capacity.with_label_values(&[part]).set(value);
        }
        for (what, value) in [("bytes", held_bytes), ("connections", connections)] {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.capacity.held.with_label_values(&[what]).set(value);
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
