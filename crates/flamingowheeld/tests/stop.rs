//! A planned stop of an entry on the platform while a request takes longer than the grace time.

use flamingowheel_backing::client::http::{HttpClient, HttpLimits, Reuse};
use flamingowheel_backing::fake::FakeKeyValue;
use flamingowheel_backing::kv::{KeyValue, Operation, Transaction};
use flamingowheel_soak::fleet::free_ports;
use flamingowheel_soak::process::{Daemon, Reaper};
use flamingowheel_standin::platform::messages::{
    CONFIGURATION_KEY, caller_headers, configuration, entry_settings, server_key, server_record,
};
use flamingowheel_standin::platform::server::{PlatformServer, RequestLog};
use flamingowheel_standin::platform::store;
use http::Method;
use rustix::process::Signal;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

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

/// A backend server still works on a request when the grace time is over. The process must exit by
/// itself within the grace time: if the platform kills it, its last log lines are lost, and with
/// them the reason why the request was cut off.
#[tokio::test(flavor = "multi_thread")]
async fn stop_ends_within_grace() {
    let kv = FakeKeyValue::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store_address = listener.local_addr().unwrap();
    tokio::spawn(store::serve(listener, kv.clone()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server_address = listener.local_addr().unwrap();
    let request_log = RequestLog::default();
    tokio::spawn(PlatformServer::new("s-1", request_log.clone(), WORK_DURATION, 4).serve(listener));
    write(&kv, &server_key("s-1"), server_record(server_address, 4, 1, false)).await;
    write(&kv, CONFIGURATION_KEY, configuration(1, &[API_KEY], WORK_LIMIT_MS)).await;

    let ports = free_ports(1).unwrap().remove(0);
    let folder = std::env::temp_dir().join(format!("flamingowheel-stop-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let settings = entry_settings("e-1", store_address, ports, GRACE_S);
    let program = Path::new(env!("CARGO_BIN_EXE_flamingowheeld"));
    let daemon = Daemon::new(program, &folder, "e-1", &settings).unwrap();
    let _reaper = Reaper(vec![daemon.clone()]);
    daemon.start().unwrap();

    let address = format!("127.0.0.1:{}", ports.callers);
    let limits = HttpLimits { head_timeout_ms: WORK_LIMIT_MS, ..HttpLimits::default() };
    let client = HttpClient::new(address.parse().unwrap(), limits);
    let caller = tokio::spawn(async move {
        loop {
            let request = client.request(Method::POST, "/once/x");
            let request = caller_headers(request, "a", API_KEY, WORK_LIMIT_MS);
            let request = request.body(Default::default()).unwrap();
            // Refused until the entry has started and read the configuration.
            if client.send(request, Reuse::Never).await.is_err() {
                tokio::task::yield_now().await;
            }
        }
    });
    while request_log.runs("a") == 0 {
        tokio::task::yield_now().await;
    }
    daemon.signal(Signal::TERM);
    let signalled_at = Instant::now();
    while daemon.is_running() && signalled_at.elapsed() < Duration::from_secs(GRACE_S + 2) {
        tokio::task::yield_now().await;
    }
    let took = signalled_at.elapsed();
    caller.abort();
    assert!(took < Duration::from_secs(GRACE_S), "the process ended after {took:?}");
    // The error is ignored: a leftover directory in the temporary directory is harmless.
    let _ = std::fs::remove_dir_all(&folder);
}
