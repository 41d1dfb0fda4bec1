//! Signals that reach a daemon process early, or that ask it to read its settings again.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};

/// The exit code for settings that are refused.
const EXIT_SETTINGS: i32 = 3;

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

/// Returns the exit code of a daemon that gets a signal while it reads its settings, which are
/// refused afterwards; `None` if the signal ended it.
fn exit_code_after_early(signal: Signal, name: &str, arguments: &[&str]) -> Option<i32> {
    let folder = Folder::new(name);
    let pipe = folder.0.join("settings");
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_flamingowheeld"));
    command.args(arguments).env("FLAMINGOWHEEL_SETTINGS", &pipe).current_dir(&folder.0);
    let mut daemon = Daemon::start(&mut command);
    // Waits until the process has opened the pipe to read its settings.
    let mut settings: File = OpenOptions::new().write(true).open(&pipe).unwrap();
    daemon.signal(signal);
    // Fails if the process has ended, as nobody reads the pipe then.
    let _ = settings.write_all(b"no settings\n");
    drop(settings);
    daemon.0.wait().unwrap().code()
}

/// The platform announces changed settings while a process still starts. Without a handler the
/// signal would end the process, and its VM would be without one until the next restart.
#[test]
fn start_early_signal_does_not_kill() {
    for signal in [Signal::HUP, Signal::TERM] {
        let platform = exit_code_after_early(signal, "platform", &["--platform"]);
        let own = exit_code_after_early(signal, "own", &["--settings", "settings"]);
        assert_eq!([platform, own], [Some(EXIT_SETTINGS); 2], "{signal:?}");
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
