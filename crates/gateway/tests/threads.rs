//! Traffic threads of an entry that end at different moments.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with other tests")]
mod framing;

use flamingowheel_backing::client::http::{HttpClient, HttpLimits, Reuse};
use flamingowheel_gateway::forward::Gateway;
use flamingowheel_gateway::front::{self, Stop};
use flamingowheel_standin::platform::messages::{caller_headers, configuration};
use flamingowheel_standin::platform::server::{
    PlatformServer, RequestLog, STREAM_EVENTS, stream_event,
};
use framing::caller::API_KEY;
use framing::entry::Entry;
use http::Method;
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;

const TIMEOUT_MS: u64 = 4_000;

/// Time between events, and before a plain answer.
const DELAY: Duration = Duration::from_millis(40);

/// Starts a thread with a runtime and a listener of its own.
fn start_thread(gateway: &Arc<Gateway>, stop: &Stop) -> (SocketAddr, JoinHandle<()>) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let (gateway, stop) = (Arc::clone(gateway), stop.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let thread = std::thread::spawn(move || {
        runtime.block_on(async {
            front::serve(TcpListener::from_std(listener).unwrap(), gateway, stop).await;
        });
    });
    (address, thread)
}

fn client(address: SocketAddr) -> HttpClient {
    let limits = HttpLimits { head_timeout_ms: TIMEOUT_MS, ..HttpLimits::default() };
    HttpClient::new(address.to_string().parse().unwrap(), limits)
}

/// A thread that has no callers left at a planned stop ends before the others. The connections to
/// backend servers that it opened must outlive it: requests of other threads use them.
#[tokio::test(flavor = "multi_thread")]
async fn stop_idle_thread_streams_of_others_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = listener.local_addr().unwrap();
    tokio::spawn(PlatformServer::new("i-0", RequestLog::default(), DELAY, 4).serve(listener));
    let configuration = configuration(1, &[API_KEY], TIMEOUT_MS);
    let entry = Entry::start(&[server], Some(configuration.as_bytes())).await;
    let stop = Stop::default();
    let (idle, idle_thread) = start_thread(&entry.gateway, &stop);
    let (busy, busy_thread) = start_thread(&entry.gateway, &stop);

    let request = client(idle).request(Method::POST, "/safe/x");
    let request = caller_headers(request, "a1", API_KEY, TIMEOUT_MS).body(Default::default());
    let answer = client(idle).fetch(request.unwrap(), Reuse::Never).await.unwrap();
    assert_eq!(answer.status, 200);

    let request = client(busy).request(Method::POST, "/stream/x");
    let request = caller_headers(request, "a2", API_KEY, TIMEOUT_MS).body(Default::default());
    let mut answer = client(busy).send(request.unwrap(), Reuse::Never).await.unwrap();
    let first = answer.body_mut().frame().await.unwrap().unwrap();
    stop.leaving.cancel();
    stop.closing.cancel();
    let rest = answer.into_body().collect().await.unwrap().to_bytes();
    let received = [first.into_data().unwrap(), rest].concat();
    let expected: String = (1..=STREAM_EVENTS).map(|id| stream_event("a2", id)).collect();
    assert_eq!(String::from_utf8(received).unwrap(), expected);
    let joined = tokio::task::spawn_blocking(|| (idle_thread.join(), busy_thread.join()));
    assert!(matches!(joined.await.unwrap(), (Ok(()), Ok(()))));
}
