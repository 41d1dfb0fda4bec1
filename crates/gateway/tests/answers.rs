//! Answers of backend servers that are whole, and such that break off, over TCP connections.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_standin::platform::raw::{Answer, Ending, Framing};
use framing::caller::{Ask, Version, call};
use framing::cells::{Lane, Truth};
use framing::{Bench, event, events_after};
use std::time::Duration;

/// An answer without length or chunks whose server ends after `body`, closing the connection in
/// order.
fn ended_after(body: &str) -> Answer {
    let mut answer = Answer::whole(Framing::ConnectionUnsaid, body.as_bytes().to_vec());
    answer.ends_server = true;
    answer
}

// A stream without length or chunks whose server ends inside an event: its regular close must not
// pass for the end of the stream.
#[tokio::test]
async fn relay_unframed_stream_ended_inside_event() {
    let first = ended_after(&(event(1) + "id: 2\ndata: pie"));
    let alone = Bench::start(1, &first).await;
    let received = alone.ask("/stream/x").await;
    assert!(!received.is_complete, "{received:?}");
    assert_eq!(received.body, event(1).as_bytes());
    let two = Bench::start(2, &first).await;
    let received = two.ask("/stream/x").await;
    assert!(received.is_complete && received.body == events_after(0).as_bytes(), "{received:?}");
}

// The same between two events, where no byte tells that more was to come.
#[tokio::test]
async fn relay_unframed_stream_ended_between_events() {
    let first = ended_after(&event(1));
    let alone = Bench::start(1, &first).await;
    let received = alone.ask("/stream/x").await;
    assert!(!received.is_complete, "{received:?}");
    let two = Bench::start(2, &first).await;
    let received = two.ask("/stream/x").await;
    assert!(received.is_complete && received.body == events_after(0).as_bytes(), "{received:?}");
}

// A stream without length or chunks that is whole, from a server that lives on: calling it broken
// would be as wrong.
#[tokio::test]
async fn relay_unframed_stream_whole() {
    let first = Answer::whole(Framing::ConnectionUnsaid, events_after(0).into_bytes());
    let bench = Bench::start(2, &first).await;
    for path in ["/stream/x", "/live/x"] {
        let received = bench.ask(path).await;
        assert!(
            received.is_complete && received.body == events_after(0).as_bytes(),
            "{received:?}"
        );
    }
}

// A request that ends its servers under answers without length or chunks: ends that pass for finished
// runs clear it each time, and it is sent on and on.
#[tokio::test]
async fn resend_crashing_request_unframed() {
    let first = ended_after(&(event(1) + "id: 2\ndata: pie"));
    let bench = Bench::start(3, &first).await;
    for turn in 0..6_u64 {
        let attempt = format!("a{turn}");
        let ask = Ask { body: "crashing", ..Ask::new("/live/x", &attempt) };
        call(bench.entry.address, ask).await;
        bench.restart_all(turn + 2).await;
    }
    assert!(bench.calls() <= 2, "{} servers ended", bench.calls());
}

/// A plain answer whose server ends after a part of it, closing the connection in order.
fn ended_plain(status: u16) -> Answer {
    Answer { status, ..ended_after("{\"order\":1,") }
}

// A plain answer without length or chunks that is cut by the end of its server must not pass for a
// success: a read is asked for again, and of work that runs once nobody knows.
#[tokio::test]
async fn forward_unframed_plain_ended() {
    for status in [200, 500] {
        let bench = Bench::start(2, &ended_plain(status)).await;
        let read = bench.ask("/safe/x").await;
        assert!(read.status == 200 && read.body == events_after(0).as_bytes(), "{read:?}");
        bench.restart_all(2).await;
        let once = bench.ask_as("/once/x", "a2").await;
        assert_eq!(once.status, 502, "{once:?}");
        assert_eq!(bench.calls(), 3, "work that may have run must not run again");
    }
}

// Whole plain answers of the same kind, an empty one among them, must stay what they are.
#[tokio::test]
async fn forward_unframed_plain_whole() {
    for framing in [Framing::Connection, Framing::ConnectionUnsaid, Framing::ConnectionHttp10] {
        for (status, body) in [(200, "whole"), (200, ""), (500, "failed"), (204, "")] {
            let answer = Answer { status, ..Answer::whole(framing, body.as_bytes().to_vec()) };
            let bench = Bench::start(1, &answer).await;
            let received = bench.ask("/once/x").await;
            let got = (received.status, received.is_complete, &received.body[..]);
            assert_eq!(got, (status, true, body.as_bytes()), "{framing:?}");
            assert_eq!(bench.calls(), 1);
        }
    }
}

// A server that answers as HTTP/1.0 made the entry answer so too: without chunks, where the close of the
// caller's connection after a broken stream says that it is complete.
#[tokio::test]
async fn relay_http10_server_broken_off() {
    let mut first = ended_after(&event(1));
    first.framing = Framing::ConnectionHttp10;
    let alone = Bench::start(1, &first).await;
    let received = alone.ask("/stream/x").await;
    assert!(!received.is_complete && received.head.starts_with("http/1.1"), "{received:?}");
}

// To a caller on HTTP/1.0 a regular close says that an answer of unknown length is complete, also of a
// stream that was broken off.
#[tokio::test]
async fn relay_broken_off_http10_caller() {
    let cases = [(ended_after(&event(1)), false), (whole_stream(), true)];
    for (first, is_whole) in cases {
        let bench = Bench::start(1, &first).await;
        let ask = Ask { version: Version::Http10, ..Ask::new("/live/x", "a1") };
        let received = call(bench.entry.address, ask).await;
        assert_eq!((received.status, received.is_complete), (200, is_whole), "{received:?}");
    }
}

fn whole_stream() -> Answer {
    Answer::whole(Framing::ConnectionUnsaid, events_after(0).into_bytes())
}

// Chunks decide where an answer has a length too; passed on, the length would make the caller wait for
// bytes that don't come, or take the next answer for the rest of this one.
#[tokio::test]
async fn forward_length_and_chunks() {
    let answer = Answer::whole(Framing::LengthAndChunks, events_after(0).into_bytes());
    for path in ["/once/x", "/stream/x"] {
        let received = Bench::start(1, &answer).await.ask(path).await;
        assert!(
            received.is_complete && received.body == events_after(0).as_bytes(),
            "{received:?}"
        );
    }
}

// The length in the answer to a HEAD request, or in a 304, is not that of its body, which is empty.
#[tokio::test]
async fn forward_length_without_body() {
    let mut answer = Answer::whole(Framing::Length, b"whole".to_vec());
    answer.cut_bytes = Some(answer.head_bytes("a1"));
    let bench = Bench::start(1, &answer).await;
    let ask = Ask { method: "HEAD", ..Ask::new("/safe/x", "a1") };
    let received = call(bench.entry.address, ask).await;
    assert_eq!((received.status, received.is_complete), (200, true), "{received:?}");
    assert!(received.head.contains("content-length: 5"), "{received:?}");
    let bench = Bench::start(1, &Answer { status: 304, ..answer }).await;
    let received = bench.ask("/safe/x").await;
    assert_eq!((received.status, received.is_complete), (304, true), "{received:?}");
}

/// Size of a body that entries don't buffer, in bytes.
const LARGE_BYTES: usize = 700 * 1024;

// An answer that is too large to be buffered was thrown away once it was, and reported as lost.
#[tokio::test]
async fn forward_large_plain() {
    let body: Vec<u8> = (0..LARGE_BYTES).map(|index| index as u8).collect();
    for framing in Framing::ALL {
        let bench = Bench::start(1, &Answer::whole(framing, body.clone())).await;
        let received = bench.ask("/once/x").await;
        assert!(received.status == 200 && received.is_complete, "{framing:?}: {}", received.head);
        assert!(received.body == body, "{framing:?}");
    }
}

// A large answer that breaks off after its head was sent on must not look complete.
#[tokio::test]
async fn forward_large_plain_broken_off() {
    for framing in Framing::ALL {
        for ending in [Ending::Closed, Ending::Reset] {
            let whole = Answer::whole(framing, vec![7; LARGE_BYTES]);
            let cut_bytes = Some(whole.encoded_bytes("a1") - 100);
            let mut first = Answer { cut_bytes, ending, ends_server: true, ..whole };
            // A reset discards what has not arrived.
            first.end_delay = Duration::from_millis(100);
            let received = Bench::start(1, &first).await.ask("/once/x").await;
            let got = (received.status, received.is_complete);
            assert_eq!(got, (200, false), "{framing:?}, {ending:?}");
        }
    }
}

// Events without ids can't be told apart, so that a stream of them can't go on after the last one: the
// next server would send them all again.
#[tokio::test]
async fn relay_unnumbered_events_not_resumed() {
    let bench = Bench::start(2, &ended_after("data: a\n\ndata: b\n\ndat")).await;
    let received = bench.ask("/stream/x").await;
    assert!(!received.is_complete, "{received:?}");
    assert_eq!(received.body, b"data: a\n\ndata: b\n\n");
}

/// Lanes and cells of the seeded run.
const LANES: u64 = 8;
const CELLS: u64 = 60;

// Answers drawn over all framings, endings and cuts: what is broken must not look complete, what is whole
// must arrive as such and be asked for once.
#[tokio::test(flavor = "multi_thread")]
async fn answer_any_cell() {
    let lanes = (0..LANES).map(|name| {
        tokio::spawn(async move {
            let mut lane = Lane::start(1, name).await;
            let mut outcomes = Vec::new();
            for _ in 0..CELLS {
                outcomes.push(lane.next().await);
            }
            outcomes
        })
    });
    let mut broken = 0;
    for lane in lanes.collect::<Vec<_>>() {
        for outcome in lane.await.unwrap() {
            assert!(!outcome.is_false_whole(), "looks complete: {outcome:?}");
            assert!(!outcome.is_false_alarm(), "is whole: {outcome:?}");
            broken += u32::from(outcome.truth == Truth::Broken);
        }
    }
    assert!(broken > 100, "{broken}");
}
