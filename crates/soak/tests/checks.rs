//! Tests of the soak test's checks, each with an entry that violates one guarantee.

use axum::Router;
use axum::extract::{Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use flamingowheel_backing::client::http::{BufferedResponse, HttpClient, HttpLimits, Reuse};
use flamingowheel_soak::callers::{Caller, ROUTE_TIMEOUT_MS};
use flamingowheel_soak::proxy::{LinkFault, Proxy};
use flamingowheel_soak::report::{SharedTally, Tally, Violation};
use flamingowheel_standin::platform::messages::{attempt_id, caller_headers};
use flamingowheel_standin::platform::server::{PlatformServer, RequestLog};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    DuplicatesRequest,
    RefusesAfterRun,
    TruncatesAnswer,
    RejectsRequest,
}

#[derive(Clone)]
struct Entry {
    server: HttpClient,
    fault: Fault,
}

impl Entry {
    async fn forward(&self, path: &str, headers: &HeaderMap) -> BufferedResponse {
        let request = self.server.request(http::Method::POST, path);
        let request = caller_headers(request, attempt_id(headers), "k", ROUTE_TIMEOUT_MS);
        let request = request.body(Default::default()).unwrap();
        self.server.fetch(request, Reuse::Allowed).await.unwrap()
    }
}

async fn handle(State(entry): State<Entry>, request: Request) -> Response {
    let (path, headers) = (request.uri().path().to_owned(), request.headers().clone());
    if entry.fault == Fault::RejectsRequest {
        return StatusCode::NOT_FOUND.into_response();
    }
    let mut answer = entry.forward(&path, &headers).await;
    match entry.fault {
        Fault::DuplicatesRequest => answer = entry.forward(&path, &headers).await,
        Fault::RefusesAfterRun => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Fault::TruncatesAnswer => answer.body.truncate(5),
        Fault::None | Fault::RejectsRequest => {}
    }
    answer.headers.remove(http::header::TRANSFER_ENCODING);
    answer.headers.remove(http::header::CONTENT_LENGTH);
    (answer.status, answer.headers, answer.body).into_response()
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Runs one caller against one entry with this fault until it has at least 8 answers.
async fn run_caller(fault: Fault) -> Tally {
    let request_log = RequestLog::default();
    let (listener, address) = listen().await;
    let server = PlatformServer::new("s", request_log.clone(), Duration::ZERO, 8);
    tokio::spawn(server.serve(listener));
    let server = HttpClient::new(address.to_string().parse().unwrap(), HttpLimits::default());
    let (listener, address) = listen().await;
    let router = Router::new().fallback(handle).with_state(Entry { server, fault });
    tokio::spawn(async move { axum::serve(listener, router).await });
    let (tally, stop) = (SharedTally::default(), CancellationToken::new());
    let caller = Caller { entries: vec![address], request_log, tally: tally.clone() };
    let running = tokio::spawn(caller.run(7, stop.clone()));
    while tally.read().asked < 8 {
        tokio::task::yield_now().await;
    }
    stop.cancel();
    running.await.unwrap();
    tally.read()
}

#[tokio::test]
async fn run_correct_entry() {
    let tally = run_caller(Fault::None).await;
    assert!(tally.violations.is_empty(), "{tally}");
    assert_eq!(tally.served, tally.asked);
}

#[tokio::test]
async fn run_work_sent_twice() {
    let tally = run_caller(Fault::DuplicatesRequest).await;
    assert!(tally.violations.iter().any(|v| matches!(v, Violation::RanTwice { runs: 2, .. })));
}

#[tokio::test]
async fn run_refused_though_it_ran() {
    let tally = run_caller(Fault::RefusesAfterRun).await;
    assert!(tally.violations.iter().any(|v| matches!(v, Violation::FalseRefusal { .. })));
}

#[tokio::test]
async fn run_partial_answer_as_success() {
    let tally = run_caller(Fault::TruncatesAnswer).await;
    assert!(tally.violations.iter().any(|v| matches!(v, Violation::WrongAnswer { .. })));
}

#[tokio::test]
async fn run_valid_request_denied() {
    let tally = run_caller(Fault::RejectsRequest).await;
    assert!(tally.violations.iter().any(|v| matches!(v, Violation::Denied { status: 404, .. })));
}

/// A reset must close the connection at the caller's side, and silence must leave it open until the
/// timeout.
#[tokio::test]
async fn set_fault_reaches_caller() {
    let (listener, address) = listen().await;
    let server = PlatformServer::new("s", RequestLog::default(), Duration::ZERO, 8);
    tokio::spawn(server.serve(listener));
    let proxy = Proxy::start(address).await.unwrap();
    let limits = HttpLimits { head_timeout_ms: 200, ..HttpLimits::default() };
    let client = HttpClient::new(proxy.address.to_string().parse().unwrap(), limits);
    let send_request = || async {
        let request = client.request(http::Method::POST, "/x");
        client.fetch(request.body(Default::default()).unwrap(), Reuse::Never).await
    };
    assert!(send_request().await.is_ok());
    proxy.set_fault(LinkFault::Silence);
    let silent = send_request().await.unwrap_err();
    assert!(matches!(silent, flamingowheel_backing::client::http::HttpError::Silent { .. }));
    proxy.set_fault(LinkFault::Reset);
    let reset = send_request().await.unwrap_err();
    assert!(matches!(reset, flamingowheel_backing::client::http::HttpError::Lost));
}
