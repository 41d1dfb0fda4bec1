//! What the directory and the readiness check of an entry say while it leaves.

use flamingowheel_backing::client::http::{HttpClient, HttpLimits, Reuse};
use flamingowheel_gateway::feed::mirror::Mirror;
use flamingowheel_gateway::info::{Info, directory, readiness};
use flamingowheel_gateway::metrics::Metrics;
use flamingowheel_gateway::suspects::Suspects;
use flamingowheel_gateway::view::{EntryRecord, View};
use flamingowheel_platform::{READY_PATH, RESOLVE_PATH, operator};
use flamingowheel_standin::platform::messages::configuration;
use http::{Method, StatusCode};
use http_body_util::Full;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const OWN: &str = "127.0.0.1:8001";
const OTHER: &str = "127.0.0.1:8002";

fn record(callers: &str) -> EntryRecord {
    let callers = callers.parse().unwrap();
    EntryRecord {
        callers,
        data_centre: "z".to_owned(),
        peers: None,
        suspects: None,
        capacity: None,
    }
}

/// What an entry tells whose view lists these entries.
fn info(listed: &[&str], leaving: &CancellationToken) -> Info {
    let configuration = operator::decode(configuration(1, &["k"], 1_000).as_bytes()).unwrap();
    let entries = listed.iter().map(|callers| ((*callers).to_owned(), record(callers)));
    let view = View {
        configuration: Some(Arc::new(configuration)),
        entries: entries.collect(),
        ..View::default()
    };
    let metrics = Arc::new(Metrics::new().unwrap());
    Info {
        views: Arc::new(Arc::new(view).into()),
        callers: OWN.parse().unwrap(),
        leaving: leaving.clone(),
        mirror: Arc::new(Mirror::default()),
        suspects: Arc::new(Suspects::new(Arc::clone(&metrics))),
        metrics,
    }
}

/// Status and body of the answer to a GET request.
async fn get(router: axum::Router, path: &str) -> (StatusCode, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string().parse().unwrap();
    let router = router.into_make_service_with_connect_info::<SocketAddr>();
    tokio::spawn(axum::serve(listener, router).into_future());
    let client = HttpClient::new(address, HttpLimits::default());
    let request = client.request(Method::GET, path).body(Full::default()).unwrap();
    let answer = client.fetch(request, Reuse::Never).await.unwrap();
    (answer.status, String::from_utf8(answer.body.to_vec()).unwrap())
}

/// An entry leaves while all records still list it. Callers that it sent to itself would connect
/// until the cached answer expires, when it closes its connections.
#[tokio::test]
async fn directory_leaving_names_others_only() {
    let leaving = CancellationToken::new();
    let both = info(&[OWN, OTHER], &leaving);
    let (_, before) = get(directory(both.clone()), RESOLVE_PATH).await;
    assert!(before.contains(OWN) && before.contains(OTHER), "{before}");
    assert_eq!(get(readiness(both.clone()), READY_PATH).await.0, StatusCode::OK);
    leaving.cancel();
    let (_, after) = get(directory(both.clone()), RESOLVE_PATH).await;
    assert!(!after.contains(OWN) && after.contains(OTHER), "{after}");
    assert_eq!(get(readiness(both), READY_PATH).await.0, StatusCode::SERVICE_UNAVAILABLE);
    for listed in [&[OWN][..], &[]] {
        let (status, _) = get(directory(info(listed, &leaving)), RESOLVE_PATH).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{listed:?}");
    }
}
