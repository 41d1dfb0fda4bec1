//! New configurations while requests are in progress.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_standin::platform::messages::{configuration, routes_configuration};
use flamingowheel_standin::platform::server::{
    PlatformServer, RequestLog, STREAM_EVENTS, stream_event,
};
use framing::caller::{API_KEY, Ask, call};
use framing::entry::Entry;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::yield_now;

/// Time limit of all routes before the change, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 20_000;

/// Time before each event. A stream takes longer than the time between two checks for connections
/// that have been idle.
const EVENT_DELAY: Duration = Duration::from_millis(300);

/// Configurations that end everything that a request in progress was admitted by: its routes, its
/// key, the time that its route grants and the time that its connection may be idle.
fn changes() -> [String; 3] {
    [
        configuration(2, &["other"], ROUTE_TIMEOUT_MS),
        configuration(2, &[API_KEY], 1),
        routes_configuration(2, &["other"], &["other"], 1),
    ]
}

/// Changes the configuration while a stream and a plain call are in progress.
async fn change_during_requests(change: String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let log = RequestLog::default();
    tokio::spawn(PlatformServer::new("i-0", log.clone(), EVENT_DELAY, 4).serve(listener));
    let first = configuration(1, &[API_KEY], ROUTE_TIMEOUT_MS);
    let entry = Entry::start(&[address], Some(first.as_bytes())).await;
    let ask = |path, attempt| {
        let ask = Ask { deadline_ms: ROUTE_TIMEOUT_MS, ..Ask::new(path, attempt) };
        tokio::spawn(call(entry.address, ask))
    };
    let (stream, plain) = (ask("/stream/x", "s"), ask("/safe/x", "p"));
    while log.runs("s") == 0 || log.runs("p") == 0 {
        yield_now().await;
    }
    entry.configure(change.as_bytes());
    let (stream, plain) = (stream.await.unwrap(), plain.await.unwrap());
    let events: String = (1..=STREAM_EVENTS).map(|id| stream_event("s", id)).collect();
    assert!(plain.is_complete && plain.status == 200, "{change}: {plain:?}");
    assert_eq!(String::from_utf8(stream.body).unwrap(), events, "{change}");
    assert!(stream.is_complete, "{change}");
}

/// A request was admitted under the configuration of its time. It keeps its deadline and gets its
/// whole answer, whatever is in force when the answer ends.
#[tokio::test]
async fn configuration_changed_request_in_progress_keeps_its_own() {
    let cases = changes().map(|change| tokio::spawn(change_during_requests(change)));
    for case in cases {
        case.await.unwrap();
    }
}
