//! What callers get whose connections an entry closes, over real sockets.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with other tests")]
mod framing;

use flamingowheel_standin::platform::raw::{Answer, Call, Framing, RawServer};
use framing::caller::{head, read_answer};
use framing::{Bench, events_after};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Time within which something that is expected happens.
const MAX_WAIT: Duration = Duration::from_secs(10);

fn request(path: &str, attempt: &str) -> String {
    head(path, attempt, "content-length: 0\r\n")
}

/// An entry begins to leave while a request waits for its server: the answer says so, or the caller sends
/// its next request as the connection closes.
#[tokio::test]
async fn leave_before_answer_asks_to_close() {
    for path in ["/once/x", "/safe/x", "/live/x"] {
        let leaving = Arc::new(OnceLock::<CancellationToken>::new());
        let at_call = Arc::clone(&leaving);
        let script = move |_: &Call| {
            at_call.get().unwrap().cancel();
            Answer::whole(Framing::Length, events_after(0).into_bytes())
        };
        let bench = Bench::with_servers(vec![RawServer::start(script).await.unwrap()]).await;
        leaving.set(bench.entry.stop.leaving.clone()).unwrap();
        let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
        stream.write_all(request(path, "a1").as_bytes()).await.unwrap();
        let received = timeout(MAX_WAIT, read_answer(&mut stream, true)).await.unwrap();
        assert!(received.is_complete, "{path}: {received:?}");
        assert!(received.head.contains("\r\nconnection: close"), "{path}: {received:?}");
    }
}
