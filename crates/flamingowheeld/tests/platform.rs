//! The daemon with `--platform`, as a separate process.

use flamingowheel_backing::client::http::{HttpClient, HttpLimits, Reuse};
use http::{Method, StatusCode};
use http_body_util::Full;
use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStdout, Command, Stdio};

/// Settings of an entry on the given IP. Nothing listens at the address of its store.
fn settings(ip: &str) -> String {
    format!(
        "node=e-1\nip={ip}\nzone=z\nregion=r\nlisten.front={ip}:18227\nlisten.ready={ip}:18220\n\
         listen.directory={ip}:18224\ninternalPortRange=17340,17341\nplatform.addr={ip}:18223\n\
         bounds.graceS=8\n"
    )
}

struct Entry {
    child: Child,
    lines: BufReader<ChildStdout>,
    client: HttpClient,
    _folder: Folder,
}

struct Folder(std::path::PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // The error is ignored: a leftover directory in the temporary directory is harmless.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Entry {
    fn start(last_byte: u8) -> Self {
        let id = std::process::id().to_be_bytes();
        let ip = format!("127.{}.{}.{last_byte}", id[2] | 1, id[3]);
        let folder =
            std::env::temp_dir().join(format!("flamingowheel-{}-{last_byte}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("boot.conf");
        std::fs::write(&file, settings(&ip)).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_flamingowheeld"))
            .arg("--platform")
            .env("FLAMINGOWHEEL_SETTINGS", &file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap());
        let client = HttpClient::new(format!("{ip}:18220").parse().unwrap(), HttpLimits::default());
        let mut entry = Self { child, lines, client, _folder: Folder(folder) };
        entry.wait_for("started");
        entry
    }

    /// Reads log lines until one whose message begins with `message`.
    fn wait_for(&mut self, message: &str) {
        let expected = format!("\"message\":\"{message}");
        let mut line = String::new();
        while !line.contains(&expected) {
            line.clear();
            assert_ne!(self.lines.read_line(&mut line).unwrap(), 0, "no line says {message}");
        }
    }

    async fn readiness(&self) -> StatusCode {
        loop {
            let request =
                self.client.request(Method::GET, "/v1/readyz").body(Full::default()).unwrap();
            if let Ok(answer) = self.client.fetch(request, Reuse::Never).await {
                return answer.status;
            }
            tokio::task::yield_now().await;
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        // If the test passed, the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The platform announces changed settings by SIGHUP. A process without a handler for it would be
/// ended by the signal and cut off all its streams.
#[tokio::test]
async fn hangup_process_keeps_running() {
    let mut entry = Entry::start(2);
    assert_eq!(entry.readiness().await, StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    entry.signal(Signal::HUP);
    entry.wait_for("settings read again: unchanged");
    assert_eq!(entry.readiness().await, StatusCode::SERVICE_UNAVAILABLE);
}

/// The store is unreachable when an entry gets SIGTERM. The entry must still exit by itself in
/// time, with its last line written.
#[tokio::test]
async fn terminate_store_unreachable() {
    let mut entry = Entry::start(3);
    entry.readiness().await;
    entry.signal(Signal::TERM);
    entry.wait_for("leaving");
    entry.wait_for("stopped");
    assert!(entry.child.wait().unwrap().success());
}
