//! Signals to a daemon process.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};

/// Settings of an agent whose key-value service and VM list are down.
const AGENT: &str = "name: orders-1\nvm: vm-1\ndata_centre: a\nregion: r\nrole: agent\n\
    listen: {inner: \"127.0.0.1:0\", operators: \"127.0.0.1:0\"}\n\
    key_value: {addresses: [\"127.0.0.1:1\"]}\nvm_list: {address: \"127.0.0.1:1\"}\n\
    fleet_key: {inline: a-fleet-key-of-32-characters-long}\n\
    operators_token: {inline: an-operators-token}\n\
    agent: {backend_server: \"127.0.0.1:1\", kind: service, service: orders}\n";

/// A folder of the test; removed when dropped.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let name = format!("signals-{}-{name}", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // The error is ignored: a leftover directory in the temporary directory is harmless.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A daemon process; killed when dropped.
struct Daemon(Child);

impl Daemon {
    fn start(command: &mut Command) -> Self {
        Self(command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap())
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.0), signal).unwrap();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn wait_for(lines: &mut BufReader<ChildStderr>, message: &str) {
    let mut line = String::new();
    while !line.contains(message) {
        line.clear();
        assert_ne!(lines.read_line(&mut line).unwrap(), 0, "the process ended before {message:?}");
    }
}

/// Operators ask for the settings to be read again. Without a handler the signal would end the
/// process and cut every request of it.
#[test]
fn hangup_reads_settings_again() {
    let folder = Folder::new("again");
    let file = folder.0.join("settings");
    std::fs::write(&file, AGENT).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_flamingowheeld"));
    let mut daemon = Daemon::start(command.arg("--settings").arg(&file));
    let mut lines = BufReader::new(daemon.0.stderr.take().unwrap());
    wait_for(&mut lines, "process_started");
    daemon.signal(Signal::HUP);
    wait_for(&mut lines, "settings read again: unchanged");
    std::fs::write(&file, AGENT.replace("orders}", "orders, places: 5}")).unwrap();
    daemon.signal(Signal::HUP);
    wait_for(&mut lines, "settings read again: changes apply at the next start");
    std::fs::write(&file, "no settings").unwrap();
    daemon.signal(Signal::HUP);
    wait_for(&mut lines, "settings can't be read");
    daemon.signal(Signal::TERM);
    assert!(daemon.0.wait().unwrap().success());
}
