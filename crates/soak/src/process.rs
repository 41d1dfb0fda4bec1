//! A daemon process started by the soak test. Signals are sent only to such processes.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Time between two looks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Held while a process is started and while ports are searched. A process that is being started has
/// copies of all sockets of this one until its program begins, and would keep the ports taken.
pub(crate) static STARTING: Mutex<()> = Mutex::new(());

/// A daemon process with its settings file and its log file.
#[derive(Clone, Debug)]
pub struct Daemon {
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
}

impl Daemon {
    /// Creates a daemon that is not running yet. Its settings and log are written to `folder`.
    pub fn new(program: &Path, folder: &Path, name: &str, settings: &str) -> std::io::Result<Self> {
        let file = folder.join(format!("{name}.conf"));
        std::fs::write(&file, settings)?;
        Ok(Self {
            program: program.to_owned(),
            settings: file,
            log: folder.join(format!("{name}.log")),
            child: Arc::default(),
        })
    }

    /// Starts the process unless it is running.
    pub fn start(&self) -> std::io::Result<()> {
        let mut child = self.lock();
        if child.as_mut().is_some_and(is_running) {
            return Ok(());
        }
        let _starting = STARTING.lock().unwrap_or_else(PoisonError::into_inner);
        let log = File::options().create(true).append(true).open(&self.log)?;
        let started = Command::new(&self.program)
            .arg("--platform")
            .env("FLAMINGOWHEEL_SETTINGS", &self.settings)
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *child = Some(started);
        Ok(())
    }

    /// Sends a signal if the process is running.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = self.lock().as_mut()
            && is_running(child)
        {
            // The error is ignored: the process may have exited since the check.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Whether the process has not exited. A process paused by `SIGSTOP` counts as running.
    pub fn is_running(&self) -> bool {
        self.lock().as_mut().is_some_and(is_running)
    }

    /// Waits until the process has exited.
    pub async fn ended(&self) {
        while self.is_running() {
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// The file with the process's output.
    pub fn log(&self) -> &Path {
        &self.log
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Child>> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_running(child: &mut Child) -> bool {
    matches!(child.try_wait(), Ok(None))
}

/// Kills the processes when dropped, so that none outlives the test, even if it fails.
#[derive(Debug, Default)]
pub struct Reaper(pub Vec<Daemon>);

impl Drop for Reaper {
    fn drop(&mut self) {
        for daemon in &self.0 {
            daemon.signal(Signal::KILL);
            if let Some(child) = daemon.lock().as_mut() {
                // Returns at once or shortly after, since the process was killed.
                let _ = child.wait();
            }
        }
    }
}
