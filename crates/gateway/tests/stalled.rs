//! Streams whose backend server is silent while its group goes on, over TCP connections.

#[allow(dead_code, missing_docs, unreachable_pub, reason = "shared with the bench")]
mod framing;

use flamingowheel_gateway::exchange::fingerprint;
use flamingowheel_gateway::group::GroupLoad;
use flamingowheel_policy::key::ServerKey;
use flamingowheel_protocol::ranks::GroupStatus;
use flamingowheel_standin::platform::messages::{
    NOT_EXECUTED_HEADER, caller_headers, configuration, with_max_attempts,
};
use flamingowheel_standin::platform::raw::{Answer, Framing};
use framing::caller::{API_KEY, Received, parse};
use framing::entry::Entry;
use framing::{event, events_after};
use http::Request;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// Deadline of requests, which no case reaches.
const DEADLINE_MS: u64 = 60_000;

/// Time after which something that is waited for counts as missing.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Time between the passes of a group.
const ONE_PASS: Duration = Duration::from_millis(50);

/// Time between two looks at what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Where a stream stands when its server falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    BeforeHead,
    BetweenEvents,
}

/// What becomes of the attempt at another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Elsewhere {
    /// No retry is left.
    NoBudget,
    /// No other server is listed.
    NoServer,
    /// The route allows one attempt only.
    OneAttempt,
    /// The other server answers that it did not run the request.
    Refused,
    /// The other server fails.
    Failed,
    /// The other server's connection breaks.
    Lost,
    /// The silent server goes on before the other one has answered.
    Later,
    /// The other server answers first.
    First,
    /// The silent server's connection breaks while the other one is asked, which then answers.
    FirstAfterLoss,
}

/// A request that reached a server, whose answer the test writes.
struct Call {
    stream: TcpStream,
    server: usize,
    last_event_id: Option<u64>,
}

impl Call {
    async fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.expect("the entry has given up the connection");
    }

    fn assert_open(&self) {
        let read = self.stream.try_read(&mut [0]).map_err(|error| error.kind());
        assert_eq!(read, Err(std::io::ErrorKind::WouldBlock), "given up too soon");
    }

    async fn wait_until_given_up(&mut self) {
        let ended = async { while matches!(self.stream.read(&mut [0; 64]).await, Ok(1..)) {} };
        timeout(MAX_WAIT, ended).await.expect("the connection stays open");
    }
}

/// An entry in front of servers of one group, which runs passes at another server.
struct Fleet {
    entry: Entry,
    calls: mpsc::UnboundedReceiver<Call>,
}

impl Fleet {
    async fn start(elsewhere: Elsewhere) -> Self {
        let (sender, calls) = mpsc::unbounded_channel();
        let mut addresses = Vec::new();
        for server in 0..if elsewhere == Elsewhere::NoServer { 1 } else { 2 } {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addresses.push(listener.local_addr().unwrap());
            tokio::spawn(accept_calls(listener, server, sender.clone()));
        }
        let mut configuration = configuration(1, &[API_KEY], DEADLINE_MS);
        if elsewhere == Elsewhere::OneAttempt {
            configuration = with_max_attempts(&configuration, 1).unwrap();
        }
        let ratio = if elsewhere == Elsewhere::NoBudget { 0.0 } else { 100.0 };
        let configuration = Some(configuration.as_bytes());
        let entry = Entry::start_with_retries(&addresses, configuration, ratio).await;
        let group = entry.form_group(&addresses);
        tokio::spawn(run_passes(group, addresses.len() as u16));
        Self { entry, calls }
    }

    async fn next_call(&mut self) -> Call {
        timeout(MAX_WAIT, self.calls.recv()).await.expect("no request at any server").unwrap()
    }

    /// Waits until the entry avoids a server.
    async fn wait_until_avoided(&self, server: usize) {
        let name = format!("i-{server}");
        let view = self.entry.gateway.view();
        let named = view.servers_of("s").iter().find(|server| server.listed.id == name).unwrap();
        wait_until(|| named.status(Instant::now()).failure_ratio > 0.0).await;
    }

    /// Waits until the entry's metrics have a label of this value.
    async fn wait_until_counted(&self, label: &str) {
        let label = format!("=\"{label}\"");
        wait_until(|| self.entry.metrics.text().unwrap().contains(&label)).await;
    }
}

async fn wait_until<F>(is_shown: F)
where
    F: Fn() -> bool,
{
    let shown = async {
        while !is_shown() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(MAX_WAIT, shown).await.expect("not shown");
}

async fn accept_calls(listener: TcpListener, server: usize, calls: mpsc::UnboundedSender<Call>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(read_call(stream, server, calls.clone()));
    }
}

async fn read_call(mut stream: TcpStream, server: usize, calls: mpsc::UnboundedSender<Call>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        // A connection that only shows that the server lives ends without a request.
        if !matches!(stream.read_buf(&mut head).await, Ok(1..)) {
            return;
        }
    }
    let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
    let last_event_id = head.lines().find_map(|line| line.strip_prefix("last-event-id:"));
    let last_event_id = last_event_id.map(|id| id.trim().parse().unwrap());
    // The error is ignored: the test has ended.
    let _ = calls.send(Call { stream, server, last_event_id });
}

/// Passes at a rank of which this entry has other streams. The coordinator reports the others silent.
async fn run_passes(group: Arc<GroupLoad>, silent: u16) {
    let busy = SocketAddr::from(([127, 0, 0, 1], 1));
    let requests = vec![0; usize::from(silent) + 1];
    let status = GroupStatus { requests, silent: (0..silent).collect(), ..GroupStatus::default() };
    loop {
        group.record_event(busy, Instant::now());
        group.set_status(&status, Instant::now());
        sleep(ONE_PASS).await;
    }
}

async fn ask(entry: SocketAddr) -> Received {
    let request = caller_headers(Request::builder(), "a1", API_KEY, DEADLINE_MS).body(()).unwrap();
    let mut head = "GET /stream/x HTTP/1.1\r\n".to_owned();
    for (name, value) in request.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all((head + "\r\n").as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    loop {
        let is_open = matches!(stream.read_buf(&mut bytes).await, Ok(1..));
        let received = parse(&bytes, true, false);
        if received.is_complete || !is_open {
            return received;
        }
    }
}

/// The rest of a stream after an event, as a whole answer.
fn rest_after(event: Option<u64>) -> Vec<u8> {
    let events = events_after(event.unwrap_or(0)).into_bytes();
    Answer::whole(Framing::Length, events).encode("a1")
}

fn error_answer(is_run: bool) -> Vec<u8> {
    let answer = Answer { status: 503, ..Answer::whole(Framing::Length, Vec::new()) };
    let bytes = String::from_utf8(answer.encode("a1")).unwrap();
    let line = if is_run { String::new() } else { format!("{NOT_EXECUTED_HEADER}: 1\r\n") };
    bytes.replacen("content-length", &format!("{line}content-length"), 1).into_bytes()
}

/// A stream whose server falls silent; its caller gets each event once, whatever happens.
async fn play(stage: Stage, elsewhere: Elsewhere, stops: bool) {
    let mut fleet = Fleet::start(elsewhere).await;
    let caller = tokio::spawn(ask(fleet.entry.address));
    let mut own = fleet.next_call().await;
    let whole = rest_after(None);
    let (sent, after) = match stage {
        Stage::BeforeHead => (0, None),
        Stage::BetweenEvents => (whole.len() - events_after(1).len(), Some(1)),
    };
    own.write(&whole[..sent]).await;
    fleet.wait_until_avoided(own.server).await;
    if stops {
        fleet.entry.stop.leaving.cancel();
        fleet.entry.stop.closing.cancel();
    }
    let mut other = None;
    match elsewhere {
        Elsewhere::NoBudget => fleet.wait_until_counted("no_budget").await,
        Elsewhere::NoServer | Elsewhere::OneAttempt => {}
        _ => {
            let call = fleet.next_call().await;
            assert_eq!(call.last_event_id, after);
            assert_ne!(call.server, own.server);
            own.assert_open();
            other = Some(call);
        }
    }
    match (elsewhere, &mut other) {
        (Elsewhere::Refused, Some(other)) => {
            other.write(&error_answer(false)).await;
            other.wait_until_given_up().await;
            // It is asked again later.
            assert_eq!(fleet.next_call().await.server, other.server);
        }
        (Elsewhere::Failed, Some(other)) => {
            other.write(&error_answer(true)).await;
            other.wait_until_given_up().await;
        }
        (Elsewhere::Lost, other) => *other = None,
        (Elsewhere::First, Some(other)) => {
            other.write(&rest_after(after)).await;
            own.wait_until_given_up().await;
        }
        (Elsewhere::FirstAfterLoss, Some(other)) => {
            own.stream.shutdown().await.unwrap();
            fleet.wait_until_counted("connection").await;
            other.write(&rest_after(after)).await;
        }
        _ => {}
    }
    if !matches!(elsewhere, Elsewhere::First | Elsewhere::FirstAfterLoss) {
        own.write(&whole[sent..]).await;
    }
    if let (Elsewhere::Later, Some(other)) = (elsewhere, &mut other) {
        other.wait_until_given_up().await;
    }
    let received = caller.await.unwrap();
    let expected = (1..=3).map(event).collect::<String>();
    let case = format!("{stage:?}, {elsewhere:?}, stops: {stops}");
    assert!(received.is_complete && received.body == expected.as_bytes(), "{case}: {received:?}");
    assert!(
        elsewhere == Elsewhere::Refused || fleet.calls.try_recv().is_err(),
        "{case}: sent again"
    );
}

/// Plays a case at both stages, with and without a stop of the entry.
async fn play_all(elsewhere: Elsewhere) {
    tokio::join!(
        play(Stage::BeforeHead, elsewhere, false),
        play(Stage::BeforeHead, elsewhere, true),
        play(Stage::BetweenEvents, elsewhere, false),
        play(Stage::BetweenEvents, elsewhere, true),
    );
}

// A stream whose server is only silent was broken off as no retry was left, with its connection open.
#[tokio::test]
async fn stalled_stream_no_budget() {
    play_all(Elsewhere::NoBudget).await;
}

// The same as no other server is there.
#[tokio::test]
async fn stalled_stream_no_server() {
    play_all(Elsewhere::NoServer).await;
}

// A route with one attempt must not be sent elsewhere, and waits.
#[tokio::test]
async fn stalled_stream_one_attempt() {
    let elsewhere = Elsewhere::OneAttempt;
    for stage in [Stage::BeforeHead, Stage::BetweenEvents] {
        play(stage, elsewhere, false).await;
    }
}

// The other server refuses: the stream waits on, and the other one is asked again.
#[tokio::test]
async fn stalled_stream_other_refuses() {
    play_all(Elsewhere::Refused).await;
}

// The other server may have run the request and failed: no attempt is left, and the stream waits on.
#[tokio::test]
async fn stalled_stream_other_fails() {
    play_all(Elsewhere::Failed).await;
}

// A second loss must not end the stream at the server that is only silent.
#[tokio::test]
async fn stalled_stream_other_lost() {
    play_all(Elsewhere::Lost).await;
}

// The silent server goes on while the other one is asked: the stream stays, the other one stops work.
#[tokio::test]
async fn stalled_stream_goes_on_first() {
    play_all(Elsewhere::Later).await;
}

// The silent server's connection is kept until the other one has answered, and given up then.
#[tokio::test]
async fn stalled_stream_other_first() {
    play_all(Elsewhere::First).await;
}

// The silent server's connection breaks while the other one, the last attempt, is asked.
#[tokio::test]
async fn stalled_stream_lost_other_first() {
    play_all(Elsewhere::FirstAfterLoss).await;
}

// An attempt that was dropped may have run, and counts: a loss after it must not lead to a third run.
#[tokio::test]
async fn stalled_stream_dropped_attempt_counts() {
    let mut fleet = Fleet::start(Elsewhere::Later).await;
    let caller = tokio::spawn(ask(fleet.entry.address));
    let mut own = fleet.next_call().await;
    let whole = rest_after(None);
    own.write(&whole[..whole.len() - events_after(1).len()]).await;
    let mut other = fleet.next_call().await;
    own.write(event(2).as_bytes()).await;
    other.wait_until_given_up().await;
    drop(own);
    let received = caller.await.unwrap();
    assert!(!received.is_complete && received.body == (event(1) + &event(2)).as_bytes());
    assert!(fleet.calls.try_recv().is_err(), "sent a third time");
}

// The deadline ends the waits for the silent server and for the one that was asked beside it. A third one must
// not be asked after that: it would be avoided by others for an answer that it had no time to give.
#[tokio::test]
async fn stalled_stream_deadline_no_further_server() {
    const SHORT_DEADLINE_MS: u64 = 500;
    let (sender, mut calls) = mpsc::unbounded_channel();
    let mut addresses = Vec::new();
    for server in 0..3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        tokio::spawn(accept_calls(listener, server, sender.clone()));
    }
    let configuration = configuration(1, &[API_KEY], SHORT_DEADLINE_MS);
    let configuration = with_max_attempts(&configuration, 3).unwrap();
    let entry = Entry::start_with_retries(&addresses, Some(configuration.as_bytes()), 100.0).await;
    tokio::spawn(run_passes(entry.form_group(&addresses), 3));
    assert_eq!(ask(entry.address).await.status, 504);
    let mut asked = [false; 3];
    while let Ok(call) = calls.try_recv() {
        asked[call.server] = true;
    }
    let view = entry.gateway.view();
    for server in view.servers_of("s") {
        let number: usize = server.listed.id[2..].parse().unwrap();
        let is_avoided = server.status(Instant::now()).failure_ratio > 0.0;
        assert!(asked[number] || !is_avoided, "server {number} is avoided; asked: {asked:?}");
    }
}

// A stream that may crash servers runs at one of them at a time, so that no other gets it while its server is
// silent. One that was chosen in vain must still be asked after the silent server is lost.
#[tokio::test]
async fn stalled_suspect_stream_lost_goes_on_elsewhere() {
    let mut fleet = Fleet::start(Elsewhere::First).await;
    let view = fleet.entry.gateway.view();
    let configuration = view.configuration.as_ref().unwrap();
    let workspace = configuration.workspaces.as_ref().unwrap().get(API_KEY).unwrap();
    let (method, uri) = (http::Method::GET, "/stream/x".parse().unwrap());
    let fingerprint = fingerprint(Some(workspace), &method, "soak.example", &uri, b"");
    fleet.entry.gateway.suspects.record_end(ServerKey(9), &[fingerprint]);

    let mut caller = tokio::spawn(ask(fleet.entry.address));
    let own = fleet.next_call().await;
    fleet.wait_until_counted("lost").await;
    // Longer than the request waits for its turn at the other server.
    sleep(Duration::from_millis(1_500)).await;
    assert!(fleet.calls.try_recv().is_err(), "runs at two servers");
    drop(own);
    tokio::select! {
        mut other = fleet.next_call() => other.write(&rest_after(None)).await,
        received = &mut caller => panic!("not sent again: {:?}", received.unwrap()),
    }
    assert!(caller.await.unwrap().is_complete);
}
