//! Contract tests of engines and plain services. Each case runs against the fake under a paused
//! clock and against the HTTP client and stand-in over loopback.

use bytes::Bytes;
use flamingowheel_backing::backend::{
    BackendAnswer, BackendCall, BackendError, BackendServer, BodyPiece, Priority,
};
use flamingowheel_backing::client::{BackendKind, HttpBackend, HttpLimits, HttpOrders};
use flamingowheel_backing::fake::text::{whole_json, whole_stream};
use flamingowheel_backing::fake::{EngineSettings, FakeEngine, FakeService};
use flamingowheel_backing::orders::{EngineOrders, Fence, Order, OrderError, OrderTarget};
use flamingowheel_standin::{Connections, engine, fast, service};
use http::uri::Authority;
use std::future::Future;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

const CASE_TIMEOUT: Duration = Duration::from_secs(20);
const LIMITS: HttpLimits = HttpLimits {
    connect_timeout_ms: 400,
    head_timeout_ms: 400,
    read_timeout_ms: 400,
    body_timeout_ms: 10_000,
    idle_timeout_ms: 400,
    max_headers: 64,
    max_head_bytes: 64 * 1024,
    max_body_bytes: 64 * 1024,
};

struct Remote {
    client: HttpBackend,
    orders: HttpOrders,
    fake: FakeEngine,
    connections: Connections,
    _stop: DropGuard,
}

fn settings() -> EngineSettings {
    EngineSettings { token_delay: Duration::from_millis(1), ..EngineSettings::default() }
}

async fn listen() -> (TcpListener, Authority) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let authority = listener.local_addr().unwrap().to_string().parse().unwrap();
    (listener, authority)
}

async fn remote() -> Remote {
    let (listener, authority) = listen().await;
    let (fake, connections) = (FakeEngine::new(1, settings()), Connections::default());
    let stop = CancellationToken::new();
    tokio::spawn(engine::serve(listener, fake.clone(), connections.clone(), stop.clone()));
    let client = HttpBackend::new(authority.clone(), BackendKind::Engine, LIMITS);
    let orders = HttpOrders::new(authority, LIMITS);
    Remote { client, orders, fake, connections, _stop: stop.drop_guard() }
}

async fn bounded<F>(case: F)
where
    F: Future<Output = ()>,
{
    tokio::time::timeout(CASE_TIMEOUT, case).await.expect("case hangs");
}

macro_rules! contract {
    ($($case:ident),+ $(,)?) => {
        mod over_fake {
            $(
                #[tokio::test(start_paused = true)]
                async fn $case() {
                    let fake = super::FakeEngine::new(1, super::settings());
                    super::bounded(super::$case(&fake, &fake, &fake)).await;
                }
            )+
        }
        mod over_http {
            $(
                #[tokio::test]
                async fn $case() {
                    let remote = super::remote().await;
                    let case = super::$case(&remote.client, &remote.orders, &remote.fake);
                    super::bounded(case).await;
                }
            )+
        }
    };
}

contract!(
    call_streams_complete_answer,
    call_complete_json,
    call_resumes,
    call_crash_loses_answer,
    call_dropped_stops_engine,
    call_refused_while_down,
    cancel_breaks_off,
    load_and_cache_events,
    order_and_state,
);

fn call(id: &str, body: &str) -> BackendCall {
    BackendCall {
        id: id.to_owned(),
        method: http::Method::POST,
        path: "/v1/chat/completions".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: Bytes::from(body.to_owned()),
        priority: Priority(4),
        resume_after_events: 0,
    }
}

async fn read(mut answer: BackendAnswer) -> (Vec<Bytes>, Result<(), BackendError>) {
    let mut pieces = Vec::new();
    while let Some(piece) = answer.body.recv().await {
        match piece {
            Ok(BodyPiece::Data(data)) => pieces.push(data),
            Ok(BodyPiece::End) => return (pieces, Ok(())),
            Err(error) => return (pieces, Err(error)),
        }
    }
    (pieces, Err(BackendError::Lost))
}

async fn call_streams_complete_answer<B, O>(backend: &B, _orders: &O, fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    let body = r#"{"stream": true, "max_tokens": 30, "prompt": "lamp out"}"#;
    let answer = backend.call(call("a", body)).await.unwrap();
    assert_eq!((answer.status, answer.content_type.as_str()), (200, "text/event-stream"));
    let (events, end) = read(answer).await;
    assert_eq!((events, end), (whole_stream(body.as_bytes(), 0), Ok(())));
    assert_eq!(fake.runs_of_call("a").started, 1);
}

async fn call_complete_json<B, O>(backend: &B, _orders: &O, _fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    let body = r#"{"max_tokens": 3, "prompt": "lamp out"}"#;
    let answer = backend.call(call("a", body)).await.unwrap();
    assert_eq!(answer.content_type, "application/json");
    let (pieces, end) = read(answer).await;
    assert_eq!((pieces.concat().into(), end), (whole_json(body.as_bytes(), 3), Ok(())));
}

async fn call_resumes<B, O>(backend: &B, _orders: &O, _fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    let resumed = BackendCall { resume_after_events: 6, ..call("a", "x") };
    let (events, end) = read(backend.call(resumed).await.unwrap()).await;
    assert_eq!((&events[..], end), (&whole_stream(b"x", 8)[6..], Ok(())));
}

// The engine's process dies in the middle of a stream. The part received must not count as
// complete.
async fn call_crash_loses_answer<B, O>(backend: &B, _orders: &O, fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    let body = r#"{"stream": true, "max_tokens": 100000}"#;
    let mut answer = backend.call(call("a", body)).await.unwrap();
    assert!(matches!(answer.body.recv().await, Some(Ok(BodyPiece::Data(_)))));
    fake.crash();
    assert_eq!(read(answer).await.1, Err(BackendError::Lost));
    assert_eq!(fake.runs_of_call("a").lost, 1);
}

async fn call_dropped_stops_engine<B, O>(backend: &B, _orders: &O, fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    let body = r#"{"stream": true, "max_tokens": 100000}"#;
    let mut answer = backend.call(call("a", body)).await.unwrap();
    assert!(answer.body.recv().await.is_some());
    drop(answer);
    // The engine detects the closed connection at its next token. The other calls give it time.
    while fake.runs_of_call("a").cancelled == 0 {
        let (_, end) = read(backend.call(call("b", "x")).await.unwrap()).await;
        assert_eq!(end, Ok(()));
    }
}

async fn call_refused_while_down<B, O>(backend: &B, _orders: &O, fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    fake.crash();
    // The stand-in's listener closes shortly after; until then connections break instead.
    let mut calls = 0;
    let error = loop {
        calls += 1;
        match backend.call(call(&calls.to_string(), "x")).await {
            Err(error) if error.proves_not_started() => break error,
            _ => tokio::task::yield_now().await,
        }
    };
    assert_eq!(error, BackendError::Refused);
    assert_eq!(fake.runs_of_body(b"x").started, 0);
    fake.restart();
    while backend.load().await.is_err() {
        tokio::task::yield_now().await;
    }
}

async fn cancel_breaks_off<B, O>(backend: &B, _orders: &O, fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    let body = r#"{"stream": true, "max_tokens": 100000}"#;
    let mut answer = backend.call(call("a/b c", body)).await.unwrap();
    assert!(answer.body.recv().await.is_some());
    backend.cancel("a/b c").await.unwrap();
    assert_eq!(read(answer).await.1, Err(BackendError::Lost));
    assert_eq!(fake.runs_of_call("a/b c").cancelled, 1);
}

async fn load_and_cache_events<B, O>(backend: &B, _orders: &O, fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    let before = backend.load().await.unwrap();
    let (_, end) = read(backend.call(call("a", &"x".repeat(800))).await.unwrap()).await;
    assert_eq!(end, Ok(()));
    let numbers: Vec<u64> =
        backend.cache_events(1).await.unwrap().iter().map(|event| event.number).collect();
    assert_eq!(numbers, [2, 3]);
    fake.restart();
    let after = loop {
        match backend.load().await {
            Ok(report) if report.process_id != before.process_id => break report,
            _ => tokio::task::yield_now().await,
        }
    };
    assert!(after.uptime_ms <= CASE_TIMEOUT.as_millis() as u64);
}

async fn order_and_state<B, O>(_backend: &B, orders: &O, _fake: &FakeEngine)
where
    B: BackendServer,
    O: EngineOrders,
{
    let order = |fence, target| Order { fence: Fence(fence), target };
    let serve = OrderTarget::Serve {
        model: "caption".to_owned(),
        version: "3".to_owned(),
        adapters: vec!["desk".to_owned()],
        role: "both".to_owned(),
    };
    orders.send_order(&order(7, serve)).await.unwrap();
    orders.send_order(&order(7, OrderTarget::Hold { after_step: 4 })).await.unwrap();
    let stale = orders.send_order(&order(6, OrderTarget::Resume)).await;
    assert_eq!(stale, Err(OrderError::Stale { given: Fence(6), highest: Fence(7) }));
    let switch = OrderTarget::SwitchMap { map_version: 1, map: Default::default() };
    let early = orders.send_order(&order(8, switch)).await;
    assert!(matches!(early, Err(OrderError::NotPossible { .. })));
    let state = orders.state().await.unwrap();
    assert_eq!((state.model.as_str(), state.held_after_step), ("caption", Some(4)));
    assert_eq!(state.highest_fence, Some(Fence(8)));
}

// The connection to the engine goes silent in the middle of a stream. The call must fail within its
// timeout, and a health check on another connection must work.
#[tokio::test]
async fn call_connection_silent() {
    let remote = remote().await;
    bounded(async {
        let body = r#"{"stream": true, "max_tokens": 100000}"#;
        let mut answer = remote.client.call(call("a", body)).await.unwrap();
        assert!(answer.body.recv().await.is_some());
        remote.connections.silence_open();
        assert_eq!(read(answer).await.1, Err(BackendError::Silent { limit_ms: 400 }));
        assert!(remote.client.load().await.is_ok());
    })
    .await;
}

// The engine's process hangs: the kernel accepts connections but nothing is answered. A health
// check must fail within its timeout.
#[tokio::test]
async fn load_engine_frozen() {
    let remote = remote().await;
    bounded(async {
        remote.fake.set_frozen(true);
        let error = remote.client.load().await.unwrap_err();
        assert_eq!(error, BackendError::Silent { limit_ms: 400 });
        remote.fake.set_frozen(false);
        assert!(remote.client.load().await.is_ok());
    })
    .await;
}

// A stopped engine closes its stream cleanly but without the end marker. The answer must not count
// as complete.
#[tokio::test]
async fn call_stream_without_end_marker() {
    let (listener, authority) = listen().await;
    let router = axum::Router::new().fallback(|| async {
        ([(http::header::CONTENT_TYPE, "text/event-stream")], "data: a\n\ndata: b\n\n")
    });
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    let connections = Connections::default();
    tokio::spawn(flamingowheel_standin::host::serve(listener, router, connections, stop));
    bounded(async {
        let client = HttpBackend::new(authority, BackendKind::Engine, LIMITS);
        let (events, end) = read(client.call(call("a", "x")).await.unwrap()).await;
        assert_eq!((events.len(), end), (2, Err(BackendError::Lost)));
    })
    .await;
}

// A service dies in the middle of a body without a length. Its closed connection looks like the end
// of the body, so the answer must not count as complete.
#[tokio::test]
async fn call_body_without_proven_end() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (listener, authority) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"paid\":").await;
    });
    bounded(async {
        let client = HttpBackend::new(authority, BackendKind::Service, LIMITS);
        let answer = client.call(call("a", "x")).await.unwrap();
        assert_eq!(read(answer).await.1, Err(BackendError::Lost));
    })
    .await;
}

// An engine answers with a redirect. The client must not follow it: the request could run twice.
#[tokio::test]
async fn call_redirect_not_followed() {
    let (listener, authority) = listen().await;
    let router = axum::Router::new().fallback(|| async {
        (http::StatusCode::TEMPORARY_REDIRECT, [(http::header::LOCATION, "/again")])
    });
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    let connections = Connections::default();
    tokio::spawn(flamingowheel_standin::host::serve(listener, router, connections, stop));
    bounded(async {
        let client = HttpBackend::new(authority, BackendKind::Service, LIMITS);
        assert_eq!(client.call(call("a", "x")).await.unwrap().status, 307);
    })
    .await;
}

#[tokio::test]
async fn service_answers_and_crashes_after_effect() {
    let (listener, authority) = listen().await;
    let fake = FakeService::new(1);
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    tokio::spawn(service::serve(listener, fake.clone(), Connections::default(), stop));
    bounded(async {
        let client = HttpBackend::new(authority, BackendKind::Service, LIMITS);
        let (pieces, end) = read(client.call(call("a", "pay 5")).await.unwrap()).await;
        assert_eq!((pieces.concat().into(), end), (FakeService::answer(b"pay 5", 1), Ok(())));
        fake.crash_after_effect(1);
        let lost = match client.call(call("a", "pay 5")).await {
            Ok(answer) => read(answer).await.1,
            Err(error) => Err(error),
        };
        assert_eq!(lost, Err(BackendError::Lost));
        assert_eq!(fake.executions(b"pay 5"), 2);
    })
    .await;
}

#[tokio::test]
async fn fast_engine_sends_all_chunks() {
    let (listener, authority) = listen().await;
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    tokio::spawn(fast::serve(listener, 5000, Connections::default(), stop));
    bounded(async {
        let client = HttpBackend::new(authority, BackendKind::Engine, LIMITS);
        let (events, end) = read(client.call(call("a", "x")).await.unwrap()).await;
        assert_eq!((events.len(), end), (5001, Ok(())));
        assert!(client.load().await.is_ok());
    })
    .await;
}
