//! Event streams that are resumed at another entry.

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use flamingowheel_backing::fake::text::whole_stream;
use flamingowheel_entry::http::{
    CHAT_PATH, LAST_EVENT_HEADER, OUTCOME_HEADER, RESUMABLE_HEADER, STREAM_HEADER,
};
use flamingowheel_proof::entry::{MODEL, TOKEN};
use flamingowheel_proof::world::World;
use http::{Request, StatusCode, header};
use http_body_util::BodyExt;
use std::time::Duration;
use tower::ServiceExt;

const TOKENS: u64 = 60;

fn request(method: &str, path: &str) -> http::request::Builder {
    let token = format!("Bearer {TOKEN}");
    Request::builder().method(method).uri(path).header(header::AUTHORIZATION, token)
}

async fn begin(world: &World, body: &str) -> (Response, String) {
    let request = request("POST", CHAT_PATH).header(RESUMABLE_HEADER, "yes");
    let request = request.body(Body::from(body.to_owned())).unwrap();
    let Ok(response) = world.router(0).oneshot(request).await;
    let token = response.headers()[STREAM_HEADER].to_str().unwrap().to_owned();
    (response, token)
}

async fn resume(world: &World, token: &str, last_event: usize) -> Response {
    let request = request("GET", &format!("/v1/streams/{token}"))
        .header(LAST_EVENT_HEADER, last_event.to_string());
    let request = request.body(Body::empty()).unwrap();
    let Ok(response) = world.router(1).oneshot(request).await;
    response
}

/// Reads events, without comments, until there are `count` or the body ends.
async fn read_events(response: &mut Response, count: usize) -> Vec<String> {
    let mut events = Vec::new();
    while events.len() < count {
        let Some(frame) = response.body_mut().frame().await else { break };
        let data = frame.unwrap().into_data().unwrap();
        let text = String::from_utf8(data.to_vec()).unwrap();
        if !text.starts_with(':') {
            events.push(text);
        }
    }
    events
}

fn expected(body: &str) -> Vec<String> {
    let number = |(number, event): (usize, Bytes)| {
        format!("id: {number}\n{}", String::from_utf8(event.to_vec()).unwrap())
    };
    whole_stream(body.as_bytes(), 0).into_iter().enumerate().map(number).collect()
}

// Guards against missing or repeated events when the entry that streams an answer is killed and the
// caller resumes at another entry with the id of its last event.
#[tokio::test(start_paused = true)]
async fn resume_entry_killed() {
    let mut world = World::start(None).await;
    let body = format!(r#"{{"model":"{MODEL}","stream":true,"max_tokens":{TOKENS}}}"#);
    let (mut response, token) = begin(&world, &body).await;
    let mut events = read_events(&mut response, 20).await;
    world.replace_entry(0);
    drop(response);
    let mut rest = resume(&world, &token, events.len() - 1).await;
    events.extend(read_events(&mut rest, usize::MAX).await);
    assert_eq!(events, expected(&body));
}

// Guards against a resumed stream that the first entry cancels: it notices the caller's dead
// connection only after the caller has resumed at another entry.
#[tokio::test(start_paused = true)]
async fn resume_while_first_entry_still_streams() {
    let world = World::start(None).await;
    let body = format!(r#"{{"model":"{MODEL}","stream":true,"max_tokens":{TOKENS}}}"#);
    let (mut response, token) = begin(&world, &body).await;
    let mut events = read_events(&mut response, 20).await;
    let mut rest = resume(&world, &token, events.len() - 1).await;
    events.extend(read_events(&mut rest, 5).await);
    drop(response);
    events.extend(read_events(&mut rest, usize::MAX).await);
    assert_eq!(events, expected(&body));
}

// Guards against a truncated stream when the caller resumes long after its stream was dropped. It
// must get "unknown".
#[tokio::test(start_paused = true)]
async fn resume_too_late() {
    let mut world = World::start(None).await;
    let body = format!(r#"{{"model":"{MODEL}","stream":true,"max_tokens":{TOKENS}}}"#);
    let (mut response, token) = begin(&world, &body).await;
    read_events(&mut response, 5).await;
    world.replace_entry(0);
    drop(response);
    tokio::time::sleep(Duration::from_secs(300)).await;
    let late = resume(&world, &token, 4).await;
    assert_eq!(late.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(late.headers()[OUTCOME_HEADER], "unknown");
}
