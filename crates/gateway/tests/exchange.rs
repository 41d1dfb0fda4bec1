//! What callers are told during an outage of a service.

use flamingowheel_fleet::configuration::Route;
use flamingowheel_gateway::exchange::Exchange;
use flamingowheel_gateway::front::Stop;
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::open::OpenRequests;
use flamingowheel_platform::headers::RequestHead;
use flamingowheel_policy::key::Fingerprint;
use flamingowheel_policy::priority::Rank;
use http::{HeaderMap, Method, Uri};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const TIMEOUT_MS: u64 = 8_000;

fn exchange(left_ms: u64, pause_goal_ms: u64) -> Exchange {
    let arrived = Instant::now();
    let metrics = Arc::new(Metrics::new().unwrap());
    Exchange {
        arrived,
        version: 1,
        deadline: arrived + Duration::from_millis(left_ms),
        head: RequestHead { deadline_ms: Some(left_ms), ..RequestHead::default() },
        route: Arc::new(Route { timeout_ms: TIMEOUT_MS, pause_goal_ms, ..Route::default() }),
        service: "s".to_owned(),
        workspace: None,
        rank: Rank::default(),
        level: None,
        method: Method::POST,
        uri: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        fingerprint: Fingerprint(1),
        subjects: Vec::new(),
        open: OpenRequests::new(metrics, Stop::default()).read("", arrived),
    }
}

/// All engines restart. Streams that wait for them are late anyway, and all of them would start in
/// the moment in which the groups open with uneven maps.
#[tokio::test(start_paused = true)]
async fn is_refused_in_outage_stream() {
    let first_attempt = exchange(TIMEOUT_MS, 120);
    assert!(first_attempt.is_refused_in_outage());
    let refusal = first_attempt.outage_refusal(0.5);
    assert_eq!(refusal.status(), http::StatusCode::SERVICE_UNAVAILABLE);
    assert!(refusal.retry_after_ms().is_some_and(|wait_ms| wait_ms >= 1_000));
}

/// Most callers retry once. A caller that comes back during the outage would be lost.
#[tokio::test(start_paused = true)]
async fn is_refused_in_outage_caller_retry() {
    assert!(!exchange(TIMEOUT_MS / 2, 120).is_refused_in_outage());
}

/// Work orders wait for a server: their deadlines leave no time for a useful delay.
#[tokio::test(start_paused = true)]
async fn is_refused_in_outage_plain_call() {
    assert!(!exchange(TIMEOUT_MS, 0).is_refused_in_outage());
}
