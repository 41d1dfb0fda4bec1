//! Every request that an entry has read ends in its counters, once.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_standin::platform::messages::caller_headers;
use flamingowheel_standin::platform::raw::{Answer, Ending, Framing, RawServer};
use framing::caller::{API_KEY, Ask, call, parse};
use framing::{Bench, events_after};
use http::Request;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time within which something that is expected happens.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// More than what is buffered of a plain answer.
const LARGE_BYTES: usize = 600 * 1024;

/// The answer that a server breaks off after some bytes of its body; `None` for no head either.
fn broken(body: Vec<u8>, body_bytes: Option<usize>, ending: Ending) -> Answer {
    let mut answer = Answer::whole(Framing::Length, body);
    answer.cut_bytes = Some(body_bytes.map_or(0, |bytes| answer.head_bytes("a1") + bytes));
    answer.ending = ending;
    answer
}

fn large(ending: Ending) -> Answer {
    broken(vec![b'x'; LARGE_BYTES], Some(LARGE_BYTES - 1), ending)
}

fn stream(ending: Ending) -> Answer {
    let body = events_after(0).into_bytes();
    let half = body.len() / 2;
    broken(body, Some(half), ending)
}

/// An entry in front of a server that gives one answer to all.
async fn bench(answer: Answer) -> Bench {
    Bench::with_servers(vec![RawServer::start(move |_| answer.clone()).await.unwrap()]).await
}

/// Sends a request of which `missing_bytes` of the body are left out.
async fn send(bench: &Bench, path: &str, missing_bytes: usize) -> TcpStream {
    let request = caller_headers(Request::builder(), "a1", API_KEY, 4_000).body(()).unwrap();
    let mut head = format!("POST {path} HTTP/1.1\r\ncontent-length: {missing_bytes}\r\n");
    for (name, value) in request.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let mut caller = TcpStream::connect(bench.entry.address).await.unwrap();
    caller.write_all(format!("{head}\r\n").as_bytes()).await.unwrap();
    caller
}

async fn wait_until<F>(mut is_so: F)
where
    F: FnMut() -> bool,
{
    let waiting = async {
        while !is_so() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(MAX_WAIT, waiting).await.expect("it happens in time");
}

/// The outcomes that the entry has counted, each with its number.
fn outcomes(bench: &Bench) -> Vec<(String, u64)> {
    let text = bench.entry.metrics.text().unwrap();
    let lines = text.lines().filter(|line| line.starts_with("flamingowheel_requests_total{"));
    let counted = lines.map(|line| {
        let (labels, count) = line.rsplit_once(' ').unwrap();
        let outcome = labels.split("outcome=\"").nth(1).unwrap().trim_end_matches("\"}");
        (outcome.to_owned(), count.parse().unwrap())
    });
    counted.collect()
}

fn once(outcome: &str) -> Vec<(String, u64)> {
    vec![(outcome.to_owned(), 1)]
}

// A caller leaves before the head, inside a stream, and inside a plain answer that is relayed as it
// arrives: the entry drops what works on the request, which must not drop its end too.
#[tokio::test]
async fn handle_caller_left_counted() {
    let silent = Ending::Silent;
    for (path, answer, has_head) in [
        ("/once/x", broken(Vec::new(), None, silent), false),
        ("/live/x", stream(silent), true),
        ("/safe/x", large(silent), true),
    ] {
        let bench = bench(answer).await;
        let mut caller = send(&bench, path, 0).await;
        if has_head {
            caller.read_u8().await.unwrap();
        }
        wait_until(|| bench.calls() > 0).await;
        drop(caller);
        wait_until(|| !outcomes(&bench).is_empty()).await;
        assert_eq!(outcomes(&bench), once("abandoned"), "{path}");
    }
}

// A caller leaves while the entry reads its body.
#[tokio::test]
async fn handle_caller_left_in_body_counted() {
    let bench = bench(Answer::whole(Framing::Length, Vec::new())).await;
    drop(send(&bench, "/once/x", 4).await);
    wait_until(|| !outcomes(&bench).is_empty()).await;
    let counted: u64 = outcomes(&bench).iter().map(|(_, count)| count).sum();
    assert_eq!(counted, 1);
}

// A server breaks off a plain answer that is relayed as it arrives.
#[tokio::test]
async fn handle_large_answer_broken_off_counted() {
    let bench = bench(large(Ending::Closed)).await;
    let mut caller = send(&bench, "/once/x", 0).await;
    let mut received = Vec::new();
    // The error is ignored: the entry may reset the connection, or close it before the stated length.
    let _ = caller.read_to_end(&mut received).await;
    wait_until(|| !outcomes(&bench).is_empty()).await;
    assert_eq!(outcomes(&bench), once("broken_off"));
}

// A server's failure is replaced by another server's answer: one request, one end.
#[tokio::test]
async fn handle_failure_retried_counted_once() {
    let mut failure = Answer::whole(Framing::Length, b"failed".to_vec());
    failure.status = 500;
    let bench = Bench::start(2, &failure).await;
    assert_eq!(bench.ask("/safe/x").await.status, 200);
    assert_eq!(outcomes(&bench), once("answered"));
}

// The process is about to exit: what may have run ends as unknown, what was never sent as not run, and an
// answer that has begun is broken off.
#[tokio::test]
async fn handle_aborting_ended() {
    let silent = Ending::Silent;
    let cases = [
        ("/once/x", 0, broken(Vec::new(), None, silent), 502, "answer_lost"),
        ("/once/x", 4, broken(Vec::new(), None, silent), 503, "cut_by_stop"),
        ("/live/x", 0, stream(silent), 200, "cut_by_stop"),
        ("/safe/x", 0, large(silent), 200, "cut_by_stop"),
    ];
    for (path, missing_bytes, answer, status, outcome) in cases {
        let bench = bench(answer).await;
        let mut caller = send(&bench, path, missing_bytes).await;
        let mut received = Vec::new();
        if status == 200 {
            caller.read_buf(&mut received).await.unwrap();
        }
        let is_sent = missing_bytes == 0;
        wait_until(|| bench.entry.metrics.requests_read() == 1).await;
        wait_until(|| !is_sent || bench.calls() > 0).await;
        bench.entry.stop.aborting.cancel();
        let reading = async {
            // An error is as good as the end here: a reset breaks off an answer too.
            while !parse(&received, true, false).is_complete
                && matches!(caller.read_buf(&mut received).await, Ok(1..))
            {}
        };
        timeout(MAX_WAIT, reading).await.expect("the answer ends or is broken off");
        let received = parse(&received, true, false);
        assert_eq!((received.status, received.is_complete), (status, status != 200), "{path}");
        wait_until(|| !outcomes(&bench).is_empty()).await;
        assert_eq!(outcomes(&bench), once(outcome), "{path}");
    }
}

// A caller reads no more, so that its answer can't be broken off before the process exits: the request
// must be counted all the same.
#[tokio::test]
async fn end_all_caller_reads_nothing_counted() {
    let bench = bench(large(Ending::Silent)).await;
    let _caller = send(&bench, "/safe/x", 0).await;
    wait_until(|| bench.entry.metrics.requests_read() == 1).await;
    bench.entry.gateway.open.end_all();
    assert_eq!(outcomes(&bench), once("cut_by_stop"));
    bench.entry.gateway.open.end_all();
    assert_eq!(outcomes(&bench), once("cut_by_stop"), "counted once");
}

// A caller gets the whole of a plain answer that is relayed as it arrives: that is no request that was
// abandoned.
#[tokio::test]
async fn handle_large_answer_whole_counted_as_answered() {
    for framing in [Framing::Chunks, Framing::Length] {
        let bench = bench(Answer::whole(framing, vec![b'x'; LARGE_BYTES])).await;
        let received = bench.ask("/safe/x").await;
        assert_eq!((received.is_complete, received.body.len()), (true, LARGE_BYTES), "{framing:?}");
        wait_until(|| !outcomes(&bench).is_empty()).await;
        assert_eq!(outcomes(&bench), once("answered"), "{framing:?}");
    }
}

// The answer to a HEAD request on a route of streams has no body that would be read to its end.
#[tokio::test]
async fn handle_head_of_stream_counted_as_ended() {
    let bench = bench(Answer::whole(Framing::Length, Vec::new())).await;
    let ask = Ask { method: "HEAD", ..Ask::new("/live/x", "a1") };
    assert!(call(bench.entry.address, ask).await.is_complete);
    wait_until(|| !outcomes(&bench).is_empty()).await;
    assert_eq!(outcomes(&bench), once("answered"));
}
