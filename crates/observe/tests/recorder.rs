//! Tests of recording from many threads, the ring's capacity, queries and the HTTP routes.

use std::time::Duration;

use axum::body::Body;
use axum::http::{Request, StatusCode};
use flamingowheel_observe::api::{EventQuery, EventsAnswer, ProcessInfo};
use flamingowheel_observe::clock::{HybridClock, ManualClock, Stamp};
use flamingowheel_observe::event::{Event, Subject};
use flamingowheel_observe::http;
use flamingowheel_observe::metrics::Metrics;
use flamingowheel_observe::reason::{Class, NotRunReason, RefusalReason};
use flamingowheel_observe::recorder::Recorder;
use flamingowheel_observe::timeline::merge;
use http_body_util::BodyExt;
use tokio::time::Instant;
use tower::ServiceExt;
use uuid::Uuid;

fn process() -> ProcessInfo {
    ProcessInfo { name: "entry-1".into(), vm: "vm-7".into(), data_centre: "dc-a".into() }
}

fn recorder(capacity: usize) -> (Recorder, ManualClock) {
    let wall = ManualClock::default();
    wall.set_ms(1_000);
    let metrics = Metrics::new().expect("metrics register");
    (Recorder::new(process(), HybridClock::new(wall.clone()), capacity, metrics), wall)
}

fn lease_lost() -> Event {
    Event::LeaseLost { lease: "runners-a".into() }
}

// A busy process records more events than its ring holds. An answer must show how many were
// overwritten, or an incomplete timeline would look complete.
#[test]
fn ring_overflow_counts_overwritten_events() {
    let (recorder, wall) = recorder(3);
    for at_ms in [1_000, 2_000, 3_000, 4_000, 5_000] {
        wall.set_ms(at_ms);
        recorder.record(lease_lost());
    }
    let answer = recorder.answer(&EventQuery::default());
    assert_eq!(answer.overwritten, 2);
    assert_eq!(answer.oldest, Some(Stamp::new(3_000, 0)));
    assert_eq!(answer.events.iter().map(|event| event.sequence).collect::<Vec<_>>(), [3, 4, 5]);
}

#[test]
fn record_many_threads_loses_and_repeats_nothing() {
    let (recorder, _wall) = recorder(4_000);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..1_000).for_each(|_| recorder.record(lease_lost())));
        }
    });
    let events = recorder.answer(&EventQuery::default()).events;
    let mut stamps: Vec<_> = events.iter().map(|event| event.stamp).collect();
    stamps.sort();
    stamps.dedup();
    assert_eq!(stamps.len(), 4_000);
}

// Events recorded by several threads must be in the ring in the order of their numbers and stamps,
// or a timeline would show an effect before its cause.
#[test]
fn record_many_threads_keeps_ring_in_order() {
    let (recorder, _wall) = recorder(4_000);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| (0..1_000).for_each(|_| recorder.record(lease_lost())));
        }
    });
    let events = recorder.answer(&EventQuery::default()).events;
    let keys: Vec<_> = events.iter().map(|event| (event.sequence, event.stamp)).collect();
    assert!(keys.is_sorted());
}

#[test]
fn answer_query_gives_matching_events_only() {
    let (recorder, wall) = recorder(16);
    let request = Uuid::from_u128(7);
    let subject_recorder = recorder.with_subject(Subject::request(request).workspace("roadside"));
    subject_recorder.record(Event::ConnectionOpened { peer: "entry-2".into() });
    wall.set_ms(9_000);
    recorder.record_with_subject(&Subject::default().group("runners-a"), lease_lost());

    let by_request = EventQuery { request: Some(request), ..EventQuery::default() };
    assert_eq!(recorder.answer(&by_request).events.len(), 1);
    let by_group = EventQuery { group: Some("runners-a".into()), ..EventQuery::default() };
    assert_eq!(recorder.answer(&by_group).events[0].event, lease_lost());
    let by_workspace = EventQuery { workspace: Some("desk".into()), ..EventQuery::default() };
    assert!(recorder.answer(&by_workspace).events.is_empty());
    let recent = EventQuery { since_ms: Some(9_000), ..EventQuery::default() };
    assert_eq!(recorder.answer(&recent).events.len(), 1);
}

// A connection used by many requests goes silent; the event is recorded once and names no request.
// The timeline of one of them must include it, but no events of other backend servers or times.
#[test]
fn answer_request_brings_context_that_explains_it() {
    let (recorder, wall) = recorder(16);
    let closed = |peer: &str| Event::ConnectionClosed { peer: peer.into() };
    recorder.record(closed("runner-7"));
    wall.set_ms(60_000);
    let request = Uuid::from_u128(7);
    let refused = Event::Refused {
        backend_server: "runner-7".into(),
        attempt: 1,
        reason: RefusalReason::Full,
    };
    recorder.record_with_subject(&Subject::request(request), refused);
    recorder.record(closed("runner-7"));
    recorder.record(closed("runner-8"));
    recorder.record(lease_lost());
    let query = EventQuery { request: Some(request), ..EventQuery::default() };
    let sequences: Vec<u64> =
        recorder.answer(&query).events.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, [2, 3]);
}

// A query for the last hour goes to all processes of a large fleet. Each must return only its
// newest events and the number of those omitted.
#[test]
fn answer_limit_gives_newest_and_counts_the_rest() {
    let (recorder, _wall) = recorder(16);
    (0..5).for_each(|_| recorder.record(lease_lost()));
    let query = EventQuery { limit: Some(2), ..EventQuery::default() };
    let answer = recorder.answer(&query);
    assert_eq!(answer.events.iter().map(|event| event.sequence).collect::<Vec<_>>(), [4, 5]);
    assert_eq!(answer.left_out, 3);
    let text = merge(query, vec![answer], Vec::new()).to_text();
    assert!(text.contains("INCOMPLETE entry-1: 3 older events left out"), "{text}");
}

// An agent's engine crashes during a request. The agent records the crash without the request's id;
// the request's timeline must still include it.
#[test]
fn answer_request_at_agent_brings_engine_crash() {
    let (recorder, _wall) = recorder(16);
    let request = Uuid::from_u128(7);
    let started = Event::Started { attempt: 1, running: 1 };
    recorder.record_with_subject(&Subject::request(request), started);
    recorder.record(Event::EngineCrashed { backend_server: "runner-7".into(), running: 1 });
    let query = EventQuery { request: Some(request), ..EventQuery::default() };
    assert_eq!(recorder.answer(&query).events.len(), 2);
}

// One process's wall clock is an hour fast. Its messages must not advance the clocks of others, and
// an event must name it.
#[test]
fn observe_wrong_clock_is_named_and_not_followed() {
    let (recorder, _wall) = recorder(16);
    recorder.observe("agent-9", Stamp::new(3_601_000, 0));
    let answer = recorder.answer(&EventQuery::default());
    let ignored = Event::ClockDriftIgnored { peer: "agent-9".into(), ahead_ms: 3_600_000 };
    assert_eq!(answer.events[0].event, ignored);
    assert_eq!(answer.now.wall_ms(), 1_000);
}

// Stamps come with every heartbeat. A wrong clock must not fill the ring with events about it.
#[test]
fn observe_wrong_clock_is_reported_once_a_minute() {
    let (recorder, wall) = recorder(16);
    for at_ms in [1_000, 1_500, 60_999, 61_000, 500] {
        wall.set_ms(at_ms);
        recorder.observe("agent-9", Stamp::new(3_601_000, 0));
    }
    recorder.observe("agent-8", Stamp::new(3_601_000, 0));
    let events = recorder.answer(&EventQuery::default()).events;
    let peers: Vec<_> = events.iter().filter_map(|event| event.event.peer()).collect();
    assert_eq!(peers, ["agent-9", "agent-9", "agent-9", "agent-8"]);
}

// The key-value service is down for an hour and called four times a second. The ring must still
// hold other events, and the start of the next outage must be recorded at once.
#[test]
fn record_outage_does_not_fill_the_ring() {
    let (recorder, wall) = recorder(100);
    let down = || Event::KeyValueDown { error: "unreachable".into() };
    recorder.record(lease_lost());
    for quarter in 0..4 * 3_600 {
        wall.set_ms(1_000 + 250 * quarter);
        recorder.record(down());
    }
    let answer = recorder.answer(&EventQuery::default());
    assert_eq!(answer.events[0].event, lease_lost());
    assert_eq!(answer.events.len(), 61);
    recorder.record(Event::KeyValueUp { down_ms: 3_600_000 });
    recorder.record(down());
    let last = recorder.answer(&EventQuery::default()).events;
    assert_eq!(last.last().map(|event| &event.event), Some(&down()));
}

#[tokio::test(start_paused = true)]
async fn stream_timer_separates_first_from_later_chunks() {
    let metrics = Metrics::new().expect("metrics register");
    let mut timer = metrics.stream_timer(Instant::now());
    for wait_ms in [250, 40, 60] {
        tokio::time::advance(Duration::from_millis(wait_ms)).await;
        timer.record_chunk();
    }
    let text = metrics.encode().expect("metrics encode");
    for line in [
        "flamingowheel_first_token_ms_sum 250",
        "flamingowheel_first_token_ms_count 1",
        "flamingowheel_between_tokens_ms_sum 100",
        "flamingowheel_between_tokens_ms_count 2",
        "flamingowheel_chunks_total 3",
    ] {
        assert!(text.contains(line), "{line}\n{text}");
    }
}

async fn get(path: &str) -> (StatusCode, String) {
    let (recorder, _wall) = recorder(1);
    let not_run =
        Event::NotRun { class: Class::High, attempts: 0, reason: NotRunReason::LimitExceeded };
    recorder.record(not_run);
    recorder.record(lease_lost());
    let request = Request::get(path).body(Body::empty()).expect("a request");
    let response = http::router(recorder).oneshot(request).await.expect("infallible");
    let status = response.status();
    let body = response.into_body().collect().await.expect("a body").to_bytes();
    (status, String::from_utf8(body.to_vec()).expect("UTF-8"))
}

#[tokio::test]
async fn router_events_answers_query() {
    let (status, body) = get("/v1/events?since_ms=1000").await;
    assert_eq!(status, StatusCode::OK);
    let answer: EventsAnswer = serde_json::from_str(&body).expect("an answer");
    assert_eq!(answer.process, process());
    assert_eq!(answer.events.len(), 1);
}

#[tokio::test]
async fn router_events_unknown_filter_refused() {
    let (status, _) = get("/v1/events?requests=7").await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn router_metrics_are_text() {
    let (status, body) = get("/metrics").await;
    assert_eq!(status, StatusCode::OK);
    assert!(
        body.contains("flamingowheel_requests_total{class=\"high\",outcome=\"not_run\"} 1"),
        "{body}"
    );
    assert!(body.contains("flamingowheel_events_overwritten 1"), "{body}");
}
