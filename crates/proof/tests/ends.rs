//! Every request that an entry has accepted ends once in its log and its counters.

use axum::body::Body;
use bytes::Bytes;
use flamingowheel_entry::http::CHAT_PATH;
use flamingowheel_observe::metrics::Metrics;
use flamingowheel_proof::entry::{MODEL, TOKEN};
use flamingowheel_proof::oracle::Runs;
use flamingowheel_proof::world::World;
use http::{Request, header};
use http_body_util::BodyExt;
use std::time::Duration;
use tokio::time::sleep;
use tower::ServiceExt;

fn body(number: usize) -> Bytes {
    let message = format!(r#"{{"role":"user","content":"{number}"}}"#);
    let body = format!(r#"{{"model":"{MODEL}","stream":true,"messages":[{message}]}}"#);
    body.into()
}

fn request(number: usize) -> Request<Body> {
    let token = format!("Bearer {TOKEN}");
    let request = Request::builder().method("POST").uri(CHAT_PATH);
    request.header(header::AUTHORIZATION, token).body(body(number).into()).unwrap()
}

/// The number of requests that were counted as ended, with any outcome.
fn ended(metrics: &Metrics) -> f64 {
    let text = metrics.encode().unwrap();
    let lines = text.lines().filter(|line| line.starts_with("flamingowheel_requests_total"));
    lines.map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap()).sum()
}

/// Callers close their connections: one before its answer has begun, one within its stream. Without
/// an end in the log, operators could not tell such requests from ones that the entry lost.
#[tokio::test(start_paused = true)]
async fn request_caller_gone_is_counted() {
    let world = World::start(None).await;
    let begun = async {
        while world.servers.started(&body(0)) == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        biased;
        () = begun => {}
        _ = world.router(0).oneshot(request(0)) => panic!("answered before the engine began"),
    }
    assert_eq!(ended(world.entry(0).recorder.metrics()), 1.0);

    let Ok(mut answer) = world.router(0).oneshot(request(1)).await;
    answer.body_mut().frame().await.unwrap().unwrap();
    drop(answer);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(ended(world.entry(0).recorder.metrics()), 2.0);
}
