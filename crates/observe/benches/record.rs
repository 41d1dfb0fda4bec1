//! Cost of recording events and reading them back:
//! `cargo bench -p flamingowheel-observe --bench record`.

use std::hint::black_box;
use std::io::{self, Write};
use std::time::Instant;

use flamingowheel_observe::api::{EventQuery, EventsAnswer, ProcessInfo};
use flamingowheel_observe::clock::{HybridClock, SystemClock};
use flamingowheel_observe::event::{Event, Subject};
use flamingowheel_observe::logs;
use flamingowheel_observe::metrics::Metrics;
use flamingowheel_observe::reason::RouteReason;
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_observe::ring::DEFAULT_CAPACITY;
use flamingowheel_observe::timeline::merge;
use uuid::Uuid;

const EVENTS: u64 = 400_000;
const THREADS: u64 = 4;
/// Number of processes whose events are merged into a timeline, and of events per process.
const READ_PROCESSES: u64 = 100;
const READ_EVENTS: u64 = 2_000;
const PAGE_BYTES: u64 = 4_096;

fn process() -> ProcessInfo {
    ProcessInfo { name: "entry-1".into(), vm: "vm-7".into(), data_centre: "ga-a".into() }
}

fn recorder(capacity: usize) -> Recorder {
    let metrics = Metrics::new().expect("metrics register");
    Recorder::new(process(), HybridClock::new(SystemClock), capacity, metrics)
}

fn record(recorder: &Recorder, events: u64) {
    for number in 0..events {
        let subject = Subject::request(Uuid::from_u128(u128::from(number / 6)));
        let event = Event::Routed {
            backend_server: "runner-17".into(),
            attempt: 1,
            reason: RouteReason::LeastWait,
            candidates: 4,
            predicted_wait_ms: 12,
        };
        recorder.record_with_subject(&subject.workspace("bibb-county"), event);
    }
}

fn answer_of_full_ring() -> EventsAnswer {
    let recorder = recorder(READ_EVENTS as usize);
    record(&recorder, READ_EVENTS);
    recorder.answer(&EventQuery::default())
}

fn nanoseconds_each<F>(count: u64, run: F) -> u64
where
    F: FnOnce(),
{
    let start = Instant::now();
    run();
    start.elapsed().as_nanos() as u64 / count
}

fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: Option<u64> = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn main() {
    let mut out = io::stdout().lock();
    let mut print = |name: &str, value: u64| {
        let _ = writeln!(out, "{name}={value}");
    };

    let clock = HybridClock::new(SystemClock);
    let stamp_ns = nanoseconds_each(EVENTS, || {
        for _ in 0..EVENTS {
            black_box(clock.now());
        }
    });
    print("stamp_ns", stamp_ns);

    let before = resident_bytes();
    let large = recorder(EVENTS as usize);
    print("record_ns", nanoseconds_each(EVENTS, || record(&large, EVENTS)));
    print("event_bytes", resident_bytes().saturating_sub(before) / EVENTS);
    drop(large);

    let shared = recorder(DEFAULT_CAPACITY);
    let contended_ns = nanoseconds_each(EVENTS, || {
        std::thread::scope(|scope| {
            for _ in 0..THREADS {
                scope.spawn(|| record(&shared, EVENTS / THREADS));
            }
        });
    });
    print("record_4_threads_ns", contended_ns);

    let by_request = EventQuery { request: Some(Uuid::from_u128(1)), ..EventQuery::default() };
    let select_ns = nanoseconds_each(100, || {
        for _ in 0..100 {
            black_box(shared.answer(&by_request));
        }
    });
    print("select_of_full_ring_us", select_ns / 1_000);

    let answers: Vec<_> = (0..READ_PROCESSES).map(|_| answer_of_full_ring()).collect();
    let start = Instant::now();
    let timeline = merge(EventQuery::default(), answers, Vec::new());
    print("merge_200000_events_ms", start.elapsed().as_millis() as u64);
    let start = Instant::now();
    black_box(timeline.to_text());
    print("text_of_200000_events_ms", start.elapsed().as_millis() as u64);
    drop(timeline);

    let subscriber = logs::subscriber(process(), "info", io::sink).expect("a valid filter");
    let logged_ns = tracing::subscriber::with_default(subscriber, || {
        nanoseconds_each(EVENTS, || record(&shared, EVENTS))
    });
    print("record_with_log_line_ns", logged_ns);
}
