//! Planned stops of an entry on the platform, as a separate process.

use flamingowheel_backing::client::http::{HttpClient, HttpLimits, Reuse};
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_soak::fleet::free_ports;
use flamingowheel_soak::process::{Daemon, Reaper};
use flamingowheel_standin::platform::messages::{
    CONFIGURATION_KEY, caller_headers, configuration, entry_settings, server_key, server_record,
};
use flamingowheel_standin::platform::raw::{Answer, Call, Ending, Framing, RawServer};
use flamingowheel_standin::platform::server::{
    PlatformServer, RequestLog, STREAM_EVENTS, stream_event,
};
use flamingowheel_standin::platform::store;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use rustix::process::Signal;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Barrier;
use tokio::task::JoinHandle;

const API_KEY: &str = "k";
const GRACE_S: u64 = 4;
/// Far longer than the grace time.
const WORK_DURATION: Duration = Duration::from_secs(60);
const WORK_LIMIT_MS: u64 = 60_000;

async fn write(kv: &FakeKeyValue, key: &str, value: String) {
    let put = Operation::Put { key: key.to_owned(), value: value.into(), lease: None };
    let transaction = Transaction { on_success: vec![put], ..Transaction::default() };
    kv.transact(transaction).await.unwrap();
}

/// An entry process with its store and one backend server.
struct Entry {
    daemon: Daemon,
    request_log: RequestLog,
    address: String,
    folder: PathBuf,
    _reaper: Reaper,
}

impl Drop for Entry {
    fn drop(&mut self) {
        // The error is ignored: a leftover directory in the temporary directory is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Entry {
    /// Starts an entry before a server with `slots` slots that waits for `delay` before a plain
    /// answer and before each event of a stream.
    async fn start(name: &str, delay: Duration, slots: u32, limit_ms: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server_address = listener.local_addr().unwrap();
        let request_log = RequestLog::default();
        let server = PlatformServer::new("s-1", request_log.clone(), delay, slots);
        tokio::spawn(server.serve(listener));
        Self::start_before(name, server_address, request_log, slots, limit_ms).await
    }

    async fn start_before(
        name: &str,
        server_address: SocketAddr,
        request_log: RequestLog,
        slots: u32,
        limit_ms: u64,
    ) -> Self {
        let kv = FakeKeyValue::new();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store_address = listener.local_addr().unwrap();
        tokio::spawn(store::serve(listener, kv.clone()));
        let record = server_record(server_address, slots, 1, false);
        write(&kv, &server_key("s-1"), record).await;
        write(&kv, CONFIGURATION_KEY, configuration(1, &[API_KEY], limit_ms)).await;

        let ports = free_ports(1).unwrap().remove(0);
        let folder = format!("flamingowheel-stop-{}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let settings = entry_settings("e-1", store_address, ports, GRACE_S);
        let program = Path::new(env!("CARGO_BIN_EXE_flamingowheeld"));
        let daemon = Daemon::new(program, &folder, "e-1", &settings).unwrap();
        let reaper = Reaper(vec![daemon.clone()]);
        daemon.start().unwrap();
        let address = format!("127.0.0.1:{}", ports.callers);
        Self { daemon, request_log, address, folder, _reaper: reaper }
    }

    fn client(&self, timeout_ms: u64) -> HttpClient {
        let limits = HttpLimits {
            head_timeout_ms: timeout_ms,
            read_timeout_ms: timeout_ms,
            body_timeout_ms: timeout_ms,
            ..HttpLimits::default()
        };
        HttpClient::new(self.address.parse().unwrap(), limits)
    }

    /// Starts a caller of a request that runs once, and waits until the backend server has it. The
    /// caller ends with the status of its answer.
    async fn begin_request(&self) -> JoinHandle<StatusCode> {
        let client = self.client(WORK_LIMIT_MS);
        let caller = tokio::spawn(async move {
            loop {
                let request = client.request(Method::POST, "/once/x");
                let request = caller_headers(request, "a", API_KEY, WORK_LIMIT_MS);
                let request = request.body(Default::default()).unwrap();
                // Refused until the entry has started and read the configuration.
                match client.send(request, Reuse::Never).await {
                    Ok(answer) if answer.status() != StatusCode::SERVICE_UNAVAILABLE => {
                        return answer.status();
                    }
                    _ => tokio::task::yield_now().await,
                }
            }
        });
        while self.request_log.runs("a") == 0 {
            tokio::task::yield_now().await;
        }
        caller
    }

    /// Sends a request until the entry has started and read the configuration.
    async fn wait_until_serving(&self) {
        let client = self.client(WORK_LIMIT_MS);
        loop {
            let request = client.request(Method::POST, "/safe/x");
            let request = caller_headers(request, "first", API_KEY, WORK_LIMIT_MS);
            let request = request.body(Default::default()).unwrap();
            let answer = client.fetch(request, Reuse::Never).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
            tokio::task::yield_now().await;
        }
    }
}

/// A backend server still works on a request when the grace time is over. The process must exit by
/// itself within the grace time: if the platform kills it, its last log lines are lost, and with
/// them the reason why the request was cut off.
#[tokio::test(flavor = "multi_thread")]
async fn stop_ends_within_grace() {
    let entry = Entry::start("grace", WORK_DURATION, 4, WORK_LIMIT_MS).await;
    let daemon = &entry.daemon;
    let caller = entry.begin_request().await;
    daemon.signal(Signal::TERM);
    let signalled_at = Instant::now();
    while daemon.is_running() && signalled_at.elapsed() < Duration::from_secs(GRACE_S + 2) {
        tokio::task::yield_now().await;
    }
    let took = signalled_at.elapsed();
    caller.abort();
    assert!(took < Duration::from_secs(GRACE_S), "the process ended after {took:?}");
}

/// Number of calls that open connections to the backend server from many threads of the entry.
const CALLS: usize = 32;

/// Number of streams in progress at the stop.
const STREAMS: usize = 4;

/// A thread of the entry that has no callers left at a planned stop ends before the others. The
/// connections to backend servers that it opened must outlive it: streams of other threads use them.
#[tokio::test(flavor = "multi_thread")]
async fn stop_streams_over_connections_of_ended_threads_whole() {
    let delay = Duration::from_millis(400);
    let entry = Entry::start("threads", delay, CALLS as u32, WORK_LIMIT_MS).await;
    entry.wait_until_serving().await;
    let calls = (0..CALLS).map(|number| {
        let client = entry.client(WORK_LIMIT_MS);
        let request = client.request(Method::POST, "/safe/x");
        let request = caller_headers(request, &format!("c{number}"), API_KEY, WORK_LIMIT_MS);
        let request = request.body(Default::default()).unwrap();
        tokio::spawn(async move { client.fetch(request, Reuse::Never).await.unwrap().status })
    });
    for call in calls.collect::<Vec<_>>() {
        assert_eq!(call.await.unwrap(), 200);
    }
    let begun = Arc::new(Barrier::new(STREAMS + 1));
    let streams = (0..STREAMS).map(|number| {
        let attempt = format!("s{number}");
        let client = entry.client(WORK_LIMIT_MS);
        let request = client.request(Method::POST, "/stream/x");
        let request = caller_headers(request, &attempt, API_KEY, WORK_LIMIT_MS);
        let request = request.body(Default::default()).unwrap();
        let begun = Arc::clone(&begun);
        tokio::spawn(async move {
            let mut answer = client.send(request, Reuse::Never).await.unwrap();
            let first = answer.body_mut().frame().await.unwrap().unwrap();
            begun.wait().await;
            let rest = answer.into_body().collect().await.unwrap().to_bytes();
            let received = [first.into_data().unwrap(), rest].concat();
            let events = (1..=STREAM_EVENTS).map(|id| stream_event(&attempt, id));
            assert_eq!(String::from_utf8(received).unwrap(), events.collect::<String>());
        })
    });
    let streams: Vec<_> = streams.collect();
    begun.wait().await;
    entry.daemon.signal(Signal::TERM);
    for stream in streams {
        stream.await.unwrap();
    }
}

/// Far longer than a line takes to be written.
const LOG_LIMIT: Duration = Duration::from_secs(20);

/// Waits for a log line with this message, and reads the last one.
async fn last_line(entry: &Entry, message: &str) -> serde_json::Value {
    loop {
        let log = std::fs::read_to_string(entry.folder.join("e-1.log")).unwrap();
        // The end of the file may be half of a line that is being written.
        let lines = log.lines().filter_map(|line| serde_json::from_str(line).ok());
        let mut named = lines.filter(|line: &serde_json::Value| line["message"] == message);
        if let Some(line) = named.next_back() {
            return line;
        }
        assert!(entry.daemon.is_running(), "no line says {message}");
        tokio::task::yield_now().await;
    }
}

/// A caller leaves while its request is at a backend server: the line of its end must tell what was lost.
#[tokio::test(flavor = "multi_thread")]
async fn leave_request_in_progress_logged() {
    let entry = Entry::start("left", WORK_DURATION, 4, WORK_LIMIT_MS).await;
    let caller = entry.begin_request().await;
    caller.abort();
    let ended = tokio::time::timeout(LOG_LIMIT, last_line(&entry, "request abandoned"));
    let line = ended.await.expect("a line says it");
    let field = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
    let fields = ["request", "route", "server", "outcome", "progress"].map(field);
    assert_eq!(fields, ["a", "once", "s-1", "abandoned", "sent"]);
    assert_eq!(line["is_leaving"], false);
    assert!(line["after_ms"].is_u64());
}

/// Requests are in progress when the grace time is over. Each must have an end: its caller is told that
/// the outcome is unknown, and all that was read has been counted.
#[tokio::test(flavor = "multi_thread")]
async fn stop_requests_in_progress_ended() {
    let entry = Entry::start("ended", WORK_DURATION, 4, WORK_LIMIT_MS).await;
    let caller = entry.begin_request().await;
    entry.daemon.signal(Signal::TERM);
    while entry.daemon.is_running() {
        tokio::task::yield_now().await;
    }
    let counted = last_line(&entry, "requests at exit").await;
    assert_eq!(counted["read"], counted["ended"]);
    assert_eq!(last_line(&entry, "refused").await["reason"], "answer_lost");
    last_line(&entry, "stopped").await;
    let told = tokio::time::timeout(Duration::from_secs(GRACE_S), caller).await;
    assert_eq!(told.expect("the caller has an answer").unwrap(), StatusCode::BAD_GATEWAY);
}

/// More than the buffers between a backend server and a caller hold.
const LARGE_BYTES: usize = 32 * 1024 * 1024;

/// A caller without chunks reads nothing until the process has exited: an answer that the exit cuts must end
/// with a reset, as a regular end would say that it is complete.
#[tokio::test(flavor = "multi_thread")]
async fn stop_unread_answer_without_chunks_not_complete() {
    let answer = Answer::whole(Framing::Chunks, vec![b'x'; LARGE_BYTES]);
    let script = move |call: &Call| match call.attempt.as_str() {
        "first" => Answer::whole(Framing::Length, Vec::new()),
        _ => Answer { ending: Ending::Silent, ..answer.clone() },
    };
    let server = RawServer::start(script).await.unwrap();
    let log = RequestLog::default();
    let entry = Entry::start_before("unread", server.address, log, 4, WORK_LIMIT_MS).await;
    entry.wait_until_serving().await;
    let request = caller_headers(http::Request::builder(), "a", API_KEY, WORK_LIMIT_MS);
    let mut head = "GET /safe/x HTTP/1.0\r\n".to_owned();
    for (name, value) in request.body(()).unwrap().headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap());
    }
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    let mut caller = socket.connect(entry.address.parse().unwrap()).await.unwrap();
    caller.write_all((head + "\r\n").as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    caller.read_buf(&mut bytes).await.unwrap();
    entry.daemon.signal(Signal::TERM);
    while entry.daemon.is_running() {
        tokio::task::yield_now().await;
    }
    let ended = caller.read_to_end(&mut bytes).await.map_err(|error| error.kind());
    assert!(bytes.len() < LARGE_BYTES);
    assert_eq!(ended, Err(ErrorKind::ConnectionReset), "{} bytes look complete", bytes.len());
}
