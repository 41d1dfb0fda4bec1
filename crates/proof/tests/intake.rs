//! Requests that an entry refuses before it dispatches them.

use axum::body::Body;
use flamingowheel_entry::http::{CHAT_PATH, OUTCOME_HEADER, TICKET_HEADER, TIMEOUT_HEADER};
use flamingowheel_proof::entry::{MODEL, SERVICE, TOKEN};
use flamingowheel_proof::world::World;
use http::request::Builder;
use http::{Request, StatusCode, header};
use http_body_util::BodyExt;
use tower::ServiceExt;

/// Larger than the maximum body of an entry.
const TOO_LARGE: usize = 9 << 20;

fn request(method: &str, path: &str, token: &str) -> Builder {
    let token = format!("Bearer {token}");
    Request::builder().method(method).uri(path).header(header::AUTHORIZATION, token)
}

/// Sends a request that must be refused as not run; returns status and error code.
async fn send_refused(world: &World, request: Request<Body>) -> (StatusCode, String) {
    let Ok(response) = world.router(0).oneshot(request).await;
    let status = response.status();
    assert_eq!(response.headers()[OUTCOME_HEADER], "not-run", "{status}");
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    (status, body["error"]["code"].as_str().unwrap().to_owned())
}

fn chat(model: &str) -> Body {
    Body::from(format!(r#"{{"model":"{model}","stream":true,"messages":[]}}"#))
}

fn assert_refusal(refusal: &(StatusCode, String), status: StatusCode, code: &str) {
    assert_eq!((refusal.0, refusal.1.as_str()), (status, code));
}

// Guards against wrong status or error codes for withdrawn tokens, models and routes that the
// workspace lacks, and malformed requests. Each must be refused at once, as not run.
#[tokio::test(start_paused = true)]
async fn intake_refuses_with_typed_errors() {
    let world = World::start(None).await;
    let unknown = request("POST", CHAT_PATH, "withdrawn").body(chat(MODEL)).unwrap();
    assert_refusal(&send_refused(&world, unknown).await, StatusCode::UNAUTHORIZED, "unauthorised");
    let model = request("POST", CHAT_PATH, TOKEN).body(chat("other")).unwrap();
    assert_refusal(&send_refused(&world, model).await, StatusCode::NOT_FOUND, "unknown_model");
    let text = request("POST", CHAT_PATH, TOKEN).body(Body::from("no JSON")).unwrap();
    assert_refusal(&send_refused(&world, text).await, StatusCode::BAD_REQUEST, "malformed");
    let timeout = request("POST", CHAT_PATH, TOKEN).header(TIMEOUT_HEADER, "soon");
    let timeout = timeout.body(chat(MODEL)).unwrap();
    assert_refusal(&send_refused(&world, timeout).await, StatusCode::BAD_REQUEST, "malformed");
    let route = format!("/v1/services/{SERVICE}/unknown");
    let route = request("POST", &route, TOKEN).body(Body::empty()).unwrap();
    assert_refusal(&send_refused(&world, route).await, StatusCode::NOT_FOUND, "unknown_service");
    let ticket = format!("/v1/services/{SERVICE}/orders");
    let ticket = request("POST", &ticket, TOKEN).header(TICKET_HEADER, "forged");
    let ticket = ticket.body(Body::empty()).unwrap();
    assert_refusal(&send_refused(&world, ticket).await, StatusCode::BAD_REQUEST, "ticket");
}

// Guards against refusals that are missing from the metrics. Those of a workspace's calls and those
// of unauthenticated calls must be counted separately.
#[tokio::test(start_paused = true)]
async fn intake_refusals_are_counted() {
    let world = World::start(None).await;
    for _ in 0..2 {
        let unauthenticated = request("POST", CHAT_PATH, "withdrawn").body(chat(MODEL)).unwrap();
        send_refused(&world, unauthenticated).await;
    }
    let model = request("POST", CHAT_PATH, TOKEN).body(chat("other")).unwrap();
    send_refused(&world, model).await;
    let orders = format!("/v1/services/{SERVICE}/orders");
    let large = request("POST", &orders, TOKEN).body(Body::from(vec![b' '; TOO_LARGE])).unwrap();
    send_refused(&world, large).await;
    let metrics = world.entry(0).recorder.metrics().encode().unwrap();
    let count = |class: &str| {
        let name = format!(r#"requests_total{{class="{class}",outcome="not_run"}} "#);
        metrics.split(&name).nth(1).and_then(|rest| rest.lines().next()).map(str::to_owned)
    };
    assert_eq!(count("none").as_deref(), Some("2"));
    assert_eq!(count("normal").as_deref(), Some("2"));
}

// Guards against memory exhaustion by a body larger than an entry accepts.
#[tokio::test(start_paused = true)]
async fn intake_body_too_large() {
    let world = World::start(None).await;
    let body = Body::from(vec![b' '; TOO_LARGE]);
    let request = request("POST", CHAT_PATH, TOKEN).body(body).unwrap();
    let refusal = send_refused(&world, request).await;
    assert_refusal(&refusal, StatusCode::PAYLOAD_TOO_LARGE, "too_large");
}

// Guards against path traversal into another route: a path starts like the idempotent status route
// but, with dots or an encoding, resolves to the order route at the service. The order would then
// be retried as idempotent.
#[tokio::test(start_paused = true)]
async fn intake_path_outside_route() {
    let world = World::start(None).await;
    for path in ["status/../orders", "status/%2e%2e/orders", "status//orders", "status/./x"] {
        let path = format!("/v1/services/{SERVICE}/{path}");
        let request = request("POST", &path, TOKEN).body(Body::empty()).unwrap();
        let refusal = send_refused(&world, request).await;
        assert_refusal(&refusal, StatusCode::BAD_REQUEST, "malformed");
    }
}
