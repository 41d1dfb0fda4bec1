//! Callers that pipeline, read slowly, smuggle, leave, or are there when the entry stops.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_standin::platform::raw::{Answer, Call, Ending, Framing, RawServer};
use framing::caller::{head, parse, read_answers};
use framing::{Bench, events_after};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time within which something that is expected happens.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Time within which a server is told that its caller has left, far below the request's deadline.
const LEFT_LIMIT: Duration = Duration::from_secs(2);

/// The end of an answer in chunks.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

// Requests that follow each other on a connection without a wait, to servers whose answers end with their
// connections: each gets its own answer, in order.
#[tokio::test]
async fn call_pipelined_unframed_answers() {
    let script = |call: &Call| Answer::whole(Framing::Connection, call.attempt.clone().into());
    let bench = Bench::with_servers(vec![RawServer::start(script).await.unwrap()]).await;
    let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
    for attempt in ["a1", "a2", "a3"] {
        let request = head("/once/x", attempt, "content-length: 0\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
    }
    assert_eq!(read_answers(&mut stream, 3).await, [b"a1", b"a2", b"a3"]);
}

// A caller that reads later than the server has ended gets what was sent, and no end.
#[tokio::test]
async fn call_slow_reader_of_broken_stream() {
    let mut first = Answer::whole(Framing::Connection, events_after(0).into_bytes());
    first.pieces[0].extend_from_slice(b"id: 4\nda");
    first.ends_server = true;
    let bench = Bench::start(1, &first).await;
    let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
    let request = head("/live/x", "a1", "content-length: 0\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    while bench.servers[0].is_running() {
        sleep(Duration::from_millis(1)).await;
    }
    sleep(Duration::from_millis(100)).await;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    let received = parse(&bytes, true, true);
    assert!(!received.is_complete && received.body == events_after(0).as_bytes(), "{received:?}");
}

// A caller reads so late that the entry waits for it longer than a stalled group would be silent. The
// stream is whole all the same.
#[tokio::test]
async fn call_slow_reader_of_whole_stream() {
    let event = |id: u32| format!("id: {id}\ndata: {}\n\n", "x".repeat(900_000));
    let body: String = (1..=20).map(event).collect();
    let bench = Bench::start(1, &Answer::whole(Framing::Connection, body.clone().into())).await;
    bench.entry.form_group(&[bench.servers[0].address]);
    let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
    let request = head("/live/x", "a1", "content-length: 0\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(1_000)).await;
    let mut bytes = Vec::new();
    let read_answer = async {
        // The entry keeps the connection after a whole answer.
        while !bytes.ends_with(LAST_CHUNK) && stream.read_buf(&mut bytes).await.unwrap() > 0 {}
    };
    timeout(MAX_WAIT, read_answer).await.unwrap();
    let received = parse(&bytes, true, false);
    assert!(received.is_complete && received.body == body.as_bytes(), "{}", received.body.len());
}

// A rank of a group goes silent, lives on, and closes a stream between two events: its group has stalled,
// and what follows is missing.
#[tokio::test]
async fn call_stalled_group_closes_stream() {
    for (delay_ms, is_whole) in [(0, true), (700, false)] {
        let mut first = Answer::whole(Framing::Connection, events_after(1).into_bytes());
        first.end_delay = Duration::from_millis(delay_ms);
        let bench = Bench::start(1, &first).await;
        bench.entry.form_group(&[bench.servers[0].address]);
        assert_eq!(bench.ask("/live/x").await.is_complete, is_whole, "{delay_ms} ms");
    }
}

// A caller leaves a stream that would end with its connection: the server's connection must end too, or
// the server works on for nobody.
#[tokio::test]
async fn call_left_unframed_stream() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bench = Bench::start(1, &Answer::whole(Framing::Length, Vec::new())).await;
    bench.entry.list_again(&[address], 2);
    let mut caller = TcpStream::connect(bench.entry.address).await.unwrap();
    let request = head("/stream/x", "a1", "content-length: 0\r\n");
    caller.write_all(request.as_bytes()).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    server.write_all(b"HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n").await.unwrap();
    let mut byte = [0];
    caller.read_exact(&mut byte).await.unwrap();
    drop(caller);
    let mut rest = Vec::new();
    let ended = timeout(MAX_WAIT, server.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "the server's connection stays open");
}

// A caller leaves after it has sent the begin of its next request. A server that writes nothing must be told
// all the same, or it works on for nobody.
#[tokio::test]
async fn call_left_after_begin_of_next_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bench = Bench::start(1, &Answer::whole(Framing::Length, Vec::new())).await;
    bench.entry.list_again(&[address], 2);
    for (path, answer) in [("/safe/x", ""), ("/stream/x", "HTTP/1.1 200 OK\r\n\r\nid: 1\n")] {
        let mut caller = TcpStream::connect(bench.entry.address).await.unwrap();
        let request = head(path, "a1", "content-length: 0\r\n") + "POST /";
        caller.write_all(request.as_bytes()).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        server.write_all(answer.as_bytes()).await.unwrap();
        drop(caller);
        let mut rest = Vec::new();
        let ended = timeout(LEFT_LIMIT, server.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "{path}: the server's connection stays open");
    }
}

// A body that holds another request, in a request with a length and chunks: servers must get the one
// request, and never what it holds as one of its own.
#[tokio::test]
async fn call_smuggled_request() {
    let whole = Answer::whole(Framing::Length, b"whole".to_vec());
    let bench = Bench::start(1, &whole).await;
    let smuggled = head("/once/smuggled", "a2", "content-length: 0\r\n");
    let chunk = format!("{:x}\r\n{smuggled}\r\n0\r\n\r\n", smuggled.len());
    for lines in [
        "content-length: 4\r\ntransfer-encoding: chunked\r\n".to_owned(),
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n".to_owned(),
        "transfer-encoding: chunked\r\n".to_owned(),
        format!("content-length: {}\r\n", chunk.len()),
    ] {
        let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
        let request = head("/once/x", "a1", &lines) + &chunk;
        stream.write_all(request.as_bytes()).await.unwrap();
        read_answers(&mut stream, 1).await;
    }
    let calls = bench.servers[0].calls();
    assert!(!calls.is_empty());
    assert!(calls.iter().all(|call| call.target.starts_with("post /once/x")), "{calls:?}");
}

// A server answers before it has read a long body, and reads on: it must get the rest of that body, and
// nothing else in its place.
#[tokio::test]
async fn call_answered_before_body_read() {
    const BODY_BYTES: usize = 3 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
    let connections = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let connections = Arc::clone(&connections);
            tokio::spawn(async move {
                let mut bytes = Vec::new();
                while !bytes.windows(4).any(|four| four == b"\r\n\r\n") {
                    if !matches!(stream.read_buf(&mut bytes).await, Ok(1..)) {
                        return;
                    }
                }
                let early = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly";
                stream.write_all(early).await.unwrap();
                sleep(Duration::from_millis(50)).await;
                // An error ends the connection, which is as good as its end.
                let _ = stream.read_to_end(&mut bytes).await;
                connections.lock().unwrap().push(bytes);
            });
        }
    });
    let bench = Bench::start(1, &Answer::whole(Framing::Length, Vec::new())).await;
    bench.entry.list_again(&[address], 2);
    for (attempt, byte) in [("a1", b'a'), ("a2", b'b'), ("a3", b'c')] {
        let mut stream = TcpStream::connect(bench.entry.address).await.unwrap();
        let request = head("/safe/x", attempt, &format!("content-length: {BODY_BYTES}\r\n"));
        stream.write_all(request.as_bytes()).await.unwrap();
        stream.write_all(&vec![byte; BODY_BYTES]).await.unwrap();
        read_answers(&mut stream, 1).await;
    }
    bench.entry.list_again(&[], 3);
    sleep(Duration::from_millis(200)).await;
    let received = received.lock().unwrap();
    assert!(!received.is_empty());
    for bytes in received.iter() {
        let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n").unwrap() + 4;
        let rest = &bytes[head_end..];
        let body = &rest[..rest.len().min(BODY_BYTES)];
        assert!(body.iter().all(|byte| *byte == body[0]), "bytes of another request in a body");
        let next = &rest[body.len()..];
        assert!(next.is_empty() || next.starts_with(b"POST "), "bytes that belong to no request");
    }
}

// An entry that stops as planned relays answers in progress to their end, also such as end with their
// connections.
#[tokio::test]
async fn stop_relays_unframed_answers_to_their_end() {
    for path in ["/once/x", "/live/x"] {
        let mut whole = Answer::whole(Framing::Connection, events_after(0).into_bytes());
        whole.end_delay = Duration::from_millis(200);
        let bench = Bench::start(1, &whole).await;
        let (entry, stop) = (bench.entry.address, bench.entry.stop.clone());
        let mut stream = TcpStream::connect(entry).await.unwrap();
        let request = head(path, "a1", "content-length: 0\r\n");
        stream.write_all(request.as_bytes()).await.unwrap();
        while bench.calls() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        stop.leaving.cancel();
        stop.closing.cancel();
        let answers = read_answers(&mut stream, 1).await;
        assert_eq!(answers, [events_after(0).as_bytes()], "{path}");
    }
}

// Connections that a server resets are no end of an answer, with or without any of its bytes.
#[tokio::test]
async fn call_unframed_answer_reset() {
    for (path, ends_server) in [("/once/x", true), ("/once/x", false), ("/live/x", false)] {
        let mut first = Answer::whole(Framing::Connection, events_after(0).into_bytes());
        first.ending = Ending::Reset;
        first.end_delay = Duration::from_millis(20);
        first.ends_server = ends_server;
        let received = Bench::start(1, &first).await.ask(path).await;
        let looks_whole = received.status == 200 && received.is_complete;
        assert!(!looks_whole, "{path}, {ends_server}: {received:?}");
    }
}
