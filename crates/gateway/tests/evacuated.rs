//! Requests of all kinds while backend servers are evacuated, over TCP connections.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with other tests")]
mod framing;

use flamingowheel_standin::platform::messages::configuration;
use flamingowheel_standin::platform::raw::{Answer, Framing, RawServer};
use framing::caller::{API_KEY, Ask, call};
use framing::entry::Entry;
use framing::{Bench, event, events_after};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest time to a refusal at once; requests wait up to 1.5 s in an outage.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);

const PATHS: [&str; 4] = ["/once/x", "/safe/x", "/stream/x", "/live/x"];

fn whole() -> Answer {
    Answer::whole(Framing::Length, events_after(0).into_bytes())
}

/// Guards against requests that are held while no server may take them, or are sent all the same.
#[tokio::test]
async fn call_all_evacuated_refused_at_once() {
    let bench = Bench::start(2, &whole()).await;
    (0..2).for_each(|server| bench.entry.set_evacuated(server, true));
    for (attempt, path) in PATHS.iter().enumerate() {
        let asked_at = Instant::now();
        let received = bench.ask_as(path, &format!("a{attempt}")).await;
        assert!(asked_at.elapsed() < REFUSAL_LIMIT, "{path}: held");
        assert_eq!(received.status, 503, "{path}");
        assert!(received.head.contains("retry-after"), "{path}: {}", received.head);
    }
    assert_eq!(bench.calls(), 0);
    let metrics = bench.entry.metrics.text().unwrap();
    assert!(metrics.contains(r#"outcome="evacuated""#), "{metrics}");
    bench.entry.set_evacuated(1, false);
    assert_eq!(bench.ask_as("/safe/x", "b").await.status, 200);
}

/// Guards against retries and resumed streams that go to a server which first sends avoid.
#[tokio::test]
async fn call_further_sends_avoid_evacuated() {
    let mut broken = Answer::whole(Framing::Chunks, event(1).into_bytes());
    broken.cut_bytes = Some(broken.encode("a1").len() - 5);
    broken.ends_server = true;
    for path in ["/safe/x", "/stream/x"] {
        let bench = Bench::start(3, &broken).await;
        bench.entry.set_evacuated(1, true);
        let received = bench.ask(path).await;
        assert!(received.is_complete, "{path}: {received:?}");
        let calls: Vec<usize> = bench.servers.iter().map(|server| server.calls().len()).collect();
        assert_eq!(calls, [1, 0, 1], "{path}");
    }
}

/// Guards against streams that are cut because their data centre is evacuated.
#[tokio::test]
async fn call_stream_under_way_ends_where_it_is() {
    let mut slow = Answer::whole(Framing::Connection, events_after(0).into_bytes());
    slow.end_delay = Duration::from_millis(300);
    let bench = Bench::start(2, &slow).await;
    let evacuate = async {
        sleep(Duration::from_millis(100)).await;
        bench.entry.set_evacuated(0, true);
    };
    let (received, ()) = tokio::join!(bench.ask("/stream/x"), evacuate);
    assert!(received.is_complete && received.body == events_after(0).as_bytes(), "{received:?}");
    assert_eq!(bench.servers[1].calls().len(), 0);
}

/// Guards against requests that leave their home region because no server there is known.
#[tokio::test]
async fn call_without_home_refused_at_once() {
    let server = RawServer::start(|_| whole()).await.unwrap();
    let value = configuration(1, &[API_KEY], 4_000);
    let at_home = value.replace(r#""goalMs":100"#, r#""goalMs":100,"homeRegions":["west"]"#);
    assert_ne!(at_home, value);
    let entry = Entry::start(&[server.address], Some(at_home.as_bytes())).await;
    for (attempt, path) in PATHS.iter().enumerate() {
        let asked_at = Instant::now();
        let received = call(entry.address, Ask::new(path, &format!("a{attempt}"))).await;
        assert!(asked_at.elapsed() < REFUSAL_LIMIT, "{path}: held");
        assert_eq!(received.status, 503, "{path}");
        assert!(received.head.contains("retry-after"), "{path}: {}", received.head);
    }
    assert!(server.calls().is_empty());
    assert!(entry.metrics.text().unwrap().contains(r#"outcome="no_home""#));
}
