//! Recorder of events, shared by all code of a process.

use std::fmt;
use std::sync::Arc;

use flamingowheel_protocol::link::LogicalClock;

use crate::api::{EventQuery, EventsAnswer, ProcessInfo};
use crate::clock::{HybridClock, Stamp, SystemClock};
use crate::event::{Event, Name, StampedEvent, Subject};
use crate::metrics::Metrics;
use crate::repeats::RepeatFilter;
use crate::ring::{DEFAULT_CAPACITY, Ring};

/// Target of the log lines that repeat recorded events.
pub const LOG_TARGET: &str = "flamingowheel::event";

/// Counts, stamps, stores and logs events. Clones share their state.
///
/// ```
/// use flamingowheel_observe::api::EventQuery;
/// use flamingowheel_observe::event::{Event, Subject};
/// use flamingowheel_observe::recorder::Recorder;
///
/// let recorder = Recorder::for_tests("entry-1");
/// let request = recorder.with_subject(Subject::default().workspace("roadside"));
/// request.record(Event::ConnectionOpened { peer: "runner-2".into() });
/// assert_eq!(recorder.answer(&EventQuery::default()).events.len(), 1);
/// ```
#[derive(Clone)]
pub struct Recorder {
    shared: Arc<Shared>,
}

struct Shared {
    process: ProcessInfo,
    clock: HybridClock,
    ring: Ring,
    metrics: Metrics,
    repeat_filter: RepeatFilter,
}

impl Recorder {
    /// A recorder for `process` over `clock` that keeps `capacity` events and counts in `metrics`.
    pub fn new(
        process: ProcessInfo,
        clock: HybridClock,
        capacity: usize,
        metrics: Metrics,
    ) -> Self {
        let ring = Ring::new(capacity);
        Self {
            shared: Arc::new(Shared {
                process,
                clock,
                ring,
                metrics,
                repeat_filter: RepeatFilter::default(),
            }),
        }
    }

    /// A recorder on the system's clock with the default capacity.
    pub fn on_system_clock(process: ProcessInfo, metrics: Metrics) -> Self {
        Self::new(process, HybridClock::new(SystemClock), DEFAULT_CAPACITY, metrics)
    }

    /// A recorder for tests that don't depend on times.
    pub fn for_tests(name: &str) -> Self {
        let process =
            ProcessInfo { name: name.into(), vm: "vm-test".into(), data_centre: "dc-test".into() };
        let metrics = Metrics::new().expect("fixed names register in a fresh registry");
        Self::on_system_clock(process, metrics)
    }

    /// Records an event that concerns no single request, workspace or group.
    pub fn record(&self, event: Event) {
        self.record_with_subject(&Subject::default(), event);
    }

    /// Records an event about `subject`. An event that repeats while a condition lasts, such as an
    /// outage of the key-value service, is counted each time but recorded once a minute.
    pub fn record_with_subject(&self, subject: &Subject, event: Event) {
        let shared = &self.shared;
        shared.metrics.count_event(&event);
        if !shared.repeat_filter.should_record(&event, shared.clock.wall_ms()) {
            return;
        }
        let stamped = shared.ring.push_with(|sequence| StampedEvent {
            stamp: shared.clock.now(),
            sequence,
            process: shared.process.name.clone(),
            subject: subject.clone(),
            event,
        });
        log(&stamped);
    }

    /// Returns a recorder whose events are all about `subject`.
    pub fn with_subject(&self, subject: Subject) -> SubjectRecorder {
        SubjectRecorder { recorder: self.clone(), subject: Arc::new(subject) }
    }

    /// Stamp to send with a message.
    pub fn stamp(&self) -> Stamp {
        self.shared.clock.now()
    }

    /// Advances the clock by the stamp of a message from `peer`; later events sort after it.
    ///
    /// ```
    /// use flamingowheel_observe::recorder::Recorder;
    ///
    /// let (sender, receiver) = (Recorder::for_tests("a"), Recorder::for_tests("b"));
    /// let sent = sender.stamp();
    /// receiver.observe("a", sent);
    /// assert!(receiver.stamp() > sent);
    /// ```
    pub fn observe(&self, peer: &str, remote: Stamp) {
        if let Err(drift) = self.shared.clock.observe(remote) {
            let event =
                Event::ClockDriftIgnored { peer: Name::from(peer), ahead_ms: drift.ahead_ms };
            self.record(event);
        }
    }

    /// Name and location of this process.
    pub fn process(&self) -> &ProcessInfo {
        &self.shared.process
    }

    /// The metrics in which events are counted.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// How many events the ring has overwritten.
    pub fn overwritten(&self) -> u64 {
        self.shared.ring.overwritten()
    }

    /// The answer to a query for this process's events.
    ///
    /// ```
    /// use flamingowheel_observe::api::EventQuery;
    /// use flamingowheel_observe::recorder::Recorder;
    ///
    /// let answer = Recorder::for_tests("entry-1").answer(&EventQuery::default());
    /// assert_eq!(&*answer.process.name, "entry-1");
    /// ```
    pub fn answer(&self, query: &EventQuery) -> EventsAnswer {
        let shared = &self.shared;
        let (events, left_out) = shared.ring.select(query);
        EventsAnswer {
            process: shared.process.clone(),
            now: shared.clock.now(),
            oldest: shared.ring.oldest(),
            overwritten: shared.ring.overwritten(),
            left_out,
            events,
        }
    }
}

impl LogicalClock for Recorder {
    fn stamp(&self) -> u64 {
        Recorder::stamp(self).packed()
    }

    fn observe(&self, peer: &str, stamp: u64) {
        Recorder::observe(self, peer, Stamp::from_packed(stamp));
    }
}

impl fmt::Debug for Recorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Recorder").field("process", &self.shared.process.name).finish()
    }
}

/// A recorder bound to one subject.
#[derive(Clone, Debug)]
pub struct SubjectRecorder {
    recorder: Recorder,
    subject: Arc<Subject>,
}

impl SubjectRecorder {
    /// Records an event about the subject.
    pub fn record(&self, event: Event) {
        self.recorder.record_with_subject(&self.subject, event);
    }

    /// Subject of all events that it records.
    pub fn subject(&self) -> &Subject {
        &self.subject
    }
}

fn log(stamped: &StampedEvent) {
    // Serialising costs more than recording, so it is done only if the log line is enabled.
    if stamped.event.is_warning() {
        if tracing::enabled!(target: LOG_TARGET, tracing::Level::WARN) {
            tracing::warn!(target: LOG_TARGET, record = json(stamped));
        }
    } else if tracing::enabled!(target: LOG_TARGET, tracing::Level::INFO) {
        tracing::info!(target: LOG_TARGET, record = json(stamped));
    }
}

fn json(stamped: &StampedEvent) -> String {
    // Serialising these types to memory cannot fail; an empty line is better than a panic.
    serde_json::to_string(stamped).unwrap_or_default()
}
