//! Event streams that outlive the entry that began them.

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

// The VM of the entry that streams an answer disappears. The caller asks another entry with the id
// of the last event it has, and must get exactly the rest: no event missing, none twice.
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

// The caller's connection dies without a word; the entry that streams does not notice yet. The
// caller goes on at another entry, and the first one's late cancel must not cut that off.
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

// The caller comes back long after its stream was given up. It must be told that nobody can know,
// not be given a stream that ends early.
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
