//! Tests of counted calls to the key-value service and of its outages.

use std::sync::Arc;
use std::time::Duration;

use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Revision, Transaction};
use flamingowheel_observe::api::EventQuery;
use flamingowheel_observe::event::Event;
use flamingowheel_observe::kv::ObservedKeyValue;
use flamingowheel_observe::recorder::Recorder;

fn observed() -> (FakeKeyValue, ObservedKeyValue, Recorder) {
    let fake = FakeKeyValue::new();
    let recorder = Recorder::for_tests("entry-1");
    let observed = ObservedKeyValue::new(Arc::new(fake.clone()), recorder.clone());
    (fake, observed, recorder)
}

fn metric(recorder: &Recorder, series: &str) -> String {
    let text = recorder.metrics().encode().expect("metrics encode");
    let value = text.lines().find_map(|line| line.strip_prefix(series)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("{series}")).to_owned()
}

fn events(recorder: &Recorder) -> Vec<Event> {
    let events = recorder.answer(&EventQuery::default()).events;
    events.iter().map(|event| event.event.clone()).collect()
}

#[tokio::test(start_paused = true)]
async fn calls_are_counted_by_kind() {
    let (_fake, kv, recorder) = observed();
    let key = "a".to_owned();
    let read = Transaction {
        on_success: vec![Operation::Get { key: key.clone() }],
        ..Transaction::default()
    };
    let write = Transaction {
        on_success: vec![Operation::Put { key, value: "1".into(), lease: None }],
        ..Transaction::default()
    };
    kv.range("a").await.expect("an answer");
    kv.transact(read).await.expect("an answer");
    kv.transact(write).await.expect("an answer");
    let lease = kv.grant_lease(Duration::from_secs(5)).await.expect("a lease");
    kv.keep_alive(lease).await.expect("an answer");
    kv.revoke_lease(lease).await.expect("an answer");
    let _watch = kv.watch("a", Revision(0)).await.expect("a watch");
    for (call, count) in [("read", "2"), ("write", "1"), ("lease", "3"), ("watch", "1")] {
        let series = format!("flamingowheel_kv_calls_total{{call=\"{call}\"}}");
        assert_eq!(metric(&recorder, &series), count, "{call}");
    }
}

// While the service is down every call fails. The outage must be recorded as one event at its
// start and one with its duration at its end, and show in a gauge for alarms.
#[tokio::test(start_paused = true)]
async fn outage_is_one_event_at_each_end() {
    let (fake, kv, recorder) = observed();
    kv.range("a").await.expect("an answer");
    fake.set_down(true);
    for _ in 0..3 {
        kv.range("a").await.expect_err("down");
        tokio::time::advance(Duration::from_secs(1)).await;
    }
    assert_eq!(metric(&recorder, "flamingowheel_kv_up"), "0");
    assert_eq!(metric(&recorder, "flamingowheel_kv_errors_total"), "3");
    fake.set_down(false);
    kv.range("a").await.expect("an answer");
    kv.range("a").await.expect("an answer");
    assert_eq!(metric(&recorder, "flamingowheel_kv_up"), "1");
    let events = events(&recorder);
    assert!(
        matches!(&events[..], [Event::KeyValueDown { .. }, Event::KeyValueUp { down_ms }] if *down_ms >= 3_000),
        "{events:?}"
    );
}

// The service answers a call that it refuses, so it must not be recorded as down.
#[tokio::test(start_paused = true)]
async fn refused_call_is_an_error_and_no_outage() {
    let (fake, kv, recorder) = observed();
    fake.set_rate_exceeded(true);
    kv.range("a").await.expect_err("refused");
    assert_eq!(metric(&recorder, "flamingowheel_kv_errors_total"), "1");
    assert_eq!(metric(&recorder, "flamingowheel_kv_up"), "1");
    assert!(events(&recorder).is_empty());
}
