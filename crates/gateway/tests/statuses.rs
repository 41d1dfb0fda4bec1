//! Answers of backend servers whose status is none.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_standin::platform::messages::{ATTEMPT_HEADER, SIGNATURE_HEADER};
use flamingowheel_standin::platform::raw::{Answer, Call, Ending, Framing, RawServer};
use framing::caller::Received;
use framing::{Bench, event, events_after};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What stands in the place of a status: none of three digits, below 100, interim where the final one
/// is due, and above 599.
const STATUSES: [&str; 17] = [
    "000", "001", "099", "42", "7", "2000", "20000", "", "abc", "2OO", "-20", "+20", "101", "600",
    "700", "999", "0x1",
];

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";

/// Bytes in the form of an answer to `attempt`, with this status.
fn bytes(status: &str, attempt: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} Status\r\n{ATTEMPT_HEADER}: {attempt}\r\n{SIGNATURE_HEADER}: sig\r\n\
         {EVENT_STREAM}content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn no_answer(status: &str, ending: Ending) -> Answer {
    let other_bytes = Some(bytes(status, "a1", &event(1)));
    Answer { other_bytes, ending, ..Answer::whole(Framing::Length, Vec::new()) }
}

fn is_from_sound_server(received: &Received) -> bool {
    received.status == 200 && received.is_complete && received.body == events_after(0).as_bytes()
}

/// An answer of the entry's own, which says that the request may have run and holds no byte of the
/// server's.
fn is_unknown(received: &Received) -> bool {
    received.status == 502 && received.body.is_empty() && !received.head.contains(SIGNATURE_HEADER)
}

/// A server in trouble answers with the status 000, or another that is none. The caller must not get
/// these bytes: what may be repeated is sent elsewhere, and of the rest nobody knows whether it ran.
#[tokio::test]
async fn send_answer_without_status() {
    for status in STATUSES {
        for ending in [Ending::Kept, Ending::Closed, Ending::Reset] {
            let first = no_answer(status, ending);
            for path in ["/safe/x", "/stream/x"] {
                let received = Bench::start(2, &first).await.ask(path).await;
                assert!(is_from_sound_server(&received), "{status:?} {path}: {received:?}");
            }
            for path in ["/once/x", "/live/x"] {
                let bench = Bench::start(2, &first).await;
                let received = bench.ask(path).await;
                assert!(is_unknown(&received), "{status:?} {path}: {received:?}");
                assert_eq!(bench.calls(), 1, "{status:?} {path}: may have run, and ran again");
            }
        }
    }
}

/// The only answer to a request is an interim one, after which the server closes.
#[tokio::test]
async fn send_interim_status_at_the_end() {
    for status in ["100", "102", "103", "199"] {
        let other_bytes = Some(format!("HTTP/1.1 {status} Status\r\n\r\n").into_bytes());
        let ending = Ending::Closed;
        let first = Answer { other_bytes, ending, ..Answer::whole(Framing::Length, Vec::new()) };
        let received = Bench::start(2, &first).await.ask("/safe/x").await;
        assert!(is_from_sound_server(&received), "{status}: {received:?}");
        let received = Bench::start(2, &first).await.ask("/once/x").await;
        assert!(is_unknown(&received), "{status}: {received:?}");
    }
}

/// Such bytes follow a whole answer on a connection that is used again.
#[tokio::test]
async fn send_late_answer_without_status() {
    for status in STATUSES {
        let late = Arc::new(bytes(status, "a1", "late"));
        let script = move |call: &Call| {
            let whole = Answer::whole(Framing::Length, events_after(0).into_bytes());
            if call.attempt != "a1" {
                return whole;
            }
            let other_bytes = Some([whole.encode("a1"), late.to_vec()].concat());
            Answer { other_bytes, ..whole }
        };
        let server = RawServer::start(script).await.unwrap();
        let bench = Bench::with_servers(vec![server]).await;
        for attempt in ["a1", "a2", "a3"] {
            let received = bench.ask_as("/safe/x", attempt).await;
            assert!(is_from_sound_server(&received), "{status:?} {attempt}: {received:?}");
        }
    }
}

/// A stream breaks off, and the server at which it goes on answers so.
#[tokio::test]
async fn resume_answer_without_status() {
    for status in STATUSES {
        let sends = Arc::new(AtomicUsize::new(0));
        let script = move |status: &'static str, sends: Arc<AtomicUsize>| {
            move |call: &Call| match sends.fetch_add(1, Ordering::Relaxed) {
                0 => {
                    let mut broken = Answer::whole(Framing::Chunks, event(1).into_bytes());
                    broken.pieces.push(b"id: 2\ndata: pie".to_vec());
                    broken.cut_bytes = Some(broken.encoded_bytes("a1") - 8);
                    Answer { ending: Ending::Reset, ..broken }
                }
                1 => no_answer(status, Ending::Kept),
                _ => {
                    let rest = events_after(call.last_event_id.unwrap_or(0));
                    Answer::whole(Framing::Length, rest.into_bytes())
                }
            }
        };
        let mut servers = Vec::new();
        for _ in 0..3 {
            servers.push(RawServer::start(script(status, Arc::clone(&sends))).await.unwrap());
        }
        let bench = Bench::with_servers(servers).await;
        let received = bench.ask("/stream/x").await;
        let body = String::from_utf8_lossy(&received.body);
        let is_whole = received.is_complete && body == events_after(0);
        // With two attempts the stream ends after those that it had.
        let is_cut = !received.is_complete && body == event(1);
        assert!(received.status == 200 && (is_whole || is_cut), "{status:?}: {received:?}");
    }
}

/// Bytes of a server in trouble have the form of an answer, but bear no id or no signature. They
/// belong to no request, whether they follow a whole answer or come alone.
#[tokio::test]
async fn send_answer_without_proof() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n";
    let unsigned = format!("{head}{ATTEMPT_HEADER}: a2\r\n\r\nother");
    let unnamed = format!("{head}{SIGNATURE_HEADER}: sig\r\n\r\nother");
    let neither = format!("{head}\r\nother");
    let refusal = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".to_owned();
    for other in [unsigned, unnamed, neither, refusal] {
        let is_success = other.contains("200 OK");
        let late = other.clone();
        let follows = move |call: &Call| {
            let whole = Answer::whole(Framing::Length, events_after(0).into_bytes());
            if call.attempt != "a1" {
                return whole;
            }
            let other_bytes = Some([whole.encode("a1"), late.clone().into_bytes()].concat());
            Answer { other_bytes, ..whole }
        };
        let sound = |_: &Call| Answer::whole(Framing::Length, events_after(0).into_bytes());
        let servers =
            vec![RawServer::start(follows).await.unwrap(), RawServer::start(sound).await.unwrap()];
        let bench = Bench::with_servers(servers).await;
        for attempt in ["a1", "a2", "a3"] {
            let received = bench.ask_as("/safe/x", attempt).await;
            assert!(is_from_sound_server(&received), "{other:?} {attempt}: {received:?}");
        }
        if is_success {
            let other_bytes = Some(other.clone().into_bytes());
            let first = Answer { other_bytes, ..Answer::whole(Framing::Length, Vec::new()) };
            let received = Bench::start(2, &first).await.ask_as("/safe/x", "a2").await;
            assert!(is_from_sound_server(&received), "{other:?}: {received:?}");
            let received = Bench::start(2, &first).await.ask_as("/once/x", "a2").await;
            assert!(is_unknown(&received), "{other:?}: {received:?}");
        }
    }
}
