//! Requests that are refused before anything is sent.

use axum::body::Body;
use flamingowheel_entry::http::{CHAT_PATH, OUTCOME_HEADER, TICKET_HEADER, TIMEOUT_HEADER};
use flamingowheel_proof::entry::{MODEL, SERVICE, TOKEN};
use flamingowheel_proof::world::World;
use http::request::Builder;
use http::{Request, StatusCode, header};
use http_body_util::BodyExt;
use tower::ServiceExt;

/// Larger than an entry takes.
const TOO_LARGE: usize = 9 << 20;

fn request(method: &str, path: &str, token: &str) -> Builder {
    let token = format!("Bearer {token}");
    Request::builder().method(method).uri(path).header(header::AUTHORIZATION, token)
}

/// Sends a request that must be refused as not run; gives status and code.
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

// A caller uses a token that was withdrawn, asks for what its workspace does not have, or sends
// what nobody can read. It is told at once, with a code for programs, and nothing has run.
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

// Every call of a workspace is refused before it is dispatched, and strangers knock. Operators must
// see both in the metrics, and apart.
#[tokio::test(start_paused = true)]
async fn intake_refusals_are_counted() {
    let world = World::start(None).await;
    for _ in 0..2 {
        let stranger = request("POST", CHAT_PATH, "withdrawn").body(chat(MODEL)).unwrap();
        send_refused(&world, stranger).await;
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

// A body that is larger than an entry holds must not fill its memory.
#[tokio::test(start_paused = true)]
async fn intake_body_too_large() {
    let world = World::start(None).await;
    let body = Body::from(vec![b' '; TOO_LARGE]);
    let request = request("POST", CHAT_PATH, TOKEN).body(body).unwrap();
    let refusal = send_refused(&world, request).await;
    assert_refusal(&refusal, StatusCode::PAYLOAD_TOO_LARGE, "too_large");
}

// A payout's route begins like that of a status check, with dots or an encoding in between. The
// service would resolve it to the payout, which would then pass for a call that may be repeated.
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
