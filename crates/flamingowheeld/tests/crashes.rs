//! Entries as separate processes before backend servers that end under chosen requests.

use flamingowheel_soak::callers::{API_KEY, client, send_to};
use flamingowheel_soak::cli::Options;
use flamingowheel_soak::fleet::{Fleet, RESTART_TIME};
use std::collections::HashSet;
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for the processes to start and discover each other.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Most sends of a request after three backend servers have ended under it.
const MAX_LATER_SENDS: usize = 3;

const CRASHING_PATH: &str = "/safe/crash";

/// A fleet of processes, and the callers' side of it.
struct Run {
    fleet: Fleet,
    folder: PathBuf,
    crashing: HashSet<String>,
    harmless_failed: Vec<String>,
    sent: usize,
}

impl Run {
    async fn start(name: &str, entries: usize, servers: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("fw-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let options = Options {
            program: env!("CARGO_BIN_EXE_flamingowheeld").into(),
            seed: 1,
            seeds: 1,
            seconds: 0,
            entries,
            servers,
            callers: 0,
        };
        let fleet = Fleet::start_all(&options, &folder).await.unwrap();
        sleep(WARM_UP).await;
        let (crashing, harmless_failed) = (HashSet::new(), Vec::new());
        Self { fleet, folder, crashing, harmless_failed, sent: 0 }
    }

    /// Sends a request through an entry; returns the answer's status, 0 without an answer.
    async fn send(&mut self, entry: usize, path: &str) -> u16 {
        let attempt = format!("{:016x}", self.sent);
        self.sent += 1;
        let client = client(self.fleet.entries[entry].callers).unwrap();
        let answer = send_to(&client, path, &attempt, API_KEY).await;
        let status = answer.map_or(0, |answer| answer.status.as_u16());
        if path == CRASHING_PATH {
            self.crashing.insert(attempt);
        }
        status
    }

    /// Sends the crashing request through an entry, then a harmless one once servers are back.
    async fn send_both(&mut self, entry: usize) {
        self.send(entry, CRASHING_PATH).await;
        sleep(2 * RESTART_TIME).await;
        let status = self.send(entry, "/safe/harmless").await;
        if status != 200 {
            self.harmless_failed.push(format!("entry {entry}: {status}"));
        }
    }

    /// Times at which the crashing request reached a server after three had ended under it.
    fn later_sends(&self) -> Vec<Instant> {
        let Some(third) = self.fleet.request_log.ends().get(2).copied() else {
            return Vec::new();
        };
        let arrivals = self.fleet.request_log.arrivals().into_iter();
        let crashing = arrivals.filter(|arrival| self.crashing.contains(&arrival.attempt));
        crashing.map(|arrival| arrival.at).filter(|at| *at > third).collect()
    }

    fn check(&self) {
        let (ends, later) = (self.fleet.request_log.ends().len(), self.later_sends().len());
        let logs = self.folder.display();
        assert!(
            later <= MAX_LATER_SENDS,
            "{ends} servers ended, {later} sends after the third; logs: {logs}"
        );
        assert!(self.harmless_failed.is_empty(), "{:?}; logs: {logs}", self.harmless_failed);
        // The error is ignored: a leftover directory in the temporary directory is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// A caller resends a request that ends every backend server that runs it, under new ids and through
// another entry each time. An entry that forgets the ends, or tells nobody, sends it on.
#[tokio::test(flavor = "multi_thread")]
async fn resend_crashing_request_entries_by_turns() {
    let mut run = Run::start("crashes", 6, 3).await;
    for turn in 0..9 {
        run.send_both(turn % 6).await;
    }
    run.check();
}
