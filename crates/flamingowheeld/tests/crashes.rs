//! Entries as separate processes before backend servers that end under chosen requests.

use flamingowheel_soak::callers::{API_KEY, client, send_prompt, send_to};
use flamingowheel_soak::cli::Options;
use flamingowheel_soak::fleet::{Fleet, RESTART_TIME};
use flamingowheel_soak::proxy::LinkFault;
use flamingowheel_standin::platform::server::CRASH_PATH;
use futures_util::future::join_all;
use std::collections::HashSet;
use std::path::PathBuf;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time for the processes to start and discover each other.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Most sends of a request after three backend servers have ended under it.
const MAX_LATER_SENDS: usize = 3;

/// Time after the third end from which copies at all entries at once are no longer sent.
const REACTION_TIME: Duration = Duration::from_millis(500);

/// Ends under one part of prompts after which, and after a while, hardly any requests with it are sent.
const PART_ENDS: usize = 5;
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Most servers that end under one part of prompts.
const MAX_PART_ENDS: usize = 3;

/// Part of the prompts of sound and of crashing requests, and one that ends servers.
const SOUND_PART: &str = "f00d";
const CRASHING_PART: &str = "dead01";

/// A fleet of processes, and the callers' side of it.
struct Run {
    fleet: Fleet,
    folder: PathBuf,
    crashing: HashSet<String>,
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
            is_planned: false,
        };
        let fleet = Fleet::start_all(&options, &folder).await.unwrap();
        sleep(WARM_UP).await;
        Self { fleet, folder, crashing: HashSet::new(), sent: 0 }
    }

    /// Sends a request through several entries at once; returns the answers' statuses, 0 without an
    /// answer.
    async fn send_all(&mut self, entries: &[usize], path: &str) -> Vec<u16> {
        let mut sending = Vec::new();
        for entry in entries {
            let attempt = format!("{:016x}", self.sent);
            self.sent += 1;
            if path.contains(CRASH_PATH) {
                self.crashing.insert(attempt.clone());
            }
            let client = client(self.fleet.entries[*entry].callers).unwrap();
            sending.push(async move { send_to(&client, path, &attempt, API_KEY).await });
        }
        let answers = join_all(sending).await;
        answers.into_iter().map(|answer| answer.map_or(0, |a| a.status.as_u16())).collect()
    }

    async fn send(&mut self, entry: usize, path: &str) -> u16 {
        self.send_all(&[entry], path).await[0]
    }

    /// Begins to send a request with these parts in its prompt, and one of its own.
    fn begin_prompt(&mut self, entry: usize, path: &str, shared: &[&str]) -> JoinHandle<u16> {
        let attempt = format!("{:016x}", self.sent);
        self.sent += 1;
        if shared.contains(&CRASHING_PART) {
            self.crashing.insert(attempt.clone());
        }
        let parts: Vec<String> =
            shared.iter().copied().chain([&*attempt]).map(String::from).collect();
        let client = client(self.fleet.entries[entry].callers).unwrap();
        let path = path.to_owned();
        tokio::spawn(async move {
            let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
            let answer = send_prompt(&client, &path, &attempt, &parts).await;
            answer.map_or(0, |answer| answer.status.as_u16())
        })
    }

    /// Sends requests with the crashing part through entries by turns, no two alike, and sound ones
    /// that share their first part through all entries. Returns how many sound ones were served,
    /// and how many there were.
    async fn send_parts(&mut self, turns: usize, crashing: &[&str]) -> (usize, usize) {
        let entries = self.fleet.entries.len();
        let (mut served, mut sent) = (0, 0);
        for turn in 0..turns {
            // Its answer is not waited for: it may come late or not at all.
            drop(self.begin_prompt(turn % entries, "/stream/x", crashing));
            sleep(2 * RESTART_TIME).await;
            let sound: Vec<_> =
                (0..entries).map(|e| self.begin_prompt(e, "/stream/x", &[SOUND_PART])).collect();
            let statuses = join_all(sound).await;
            sent += statuses.len();
            served += statuses.iter().filter(|status| matches!(status, Ok(200))).count();
        }
        (served, sent)
    }

    /// Number of requests with the crashing part that reached a server later than 3 s after the
    /// fifth end.
    fn later_part_sends(&self) -> usize {
        let fifth = self.fleet.request_log.ends().get(PART_ENDS - 1).map(|end| end.at);
        let arrivals = self.fleet.request_log.arrivals().into_iter();
        let later = arrivals.filter(|arrival| {
            self.crashing.contains(&arrival.attempt)
                && fifth.is_some_and(|fifth| arrival.at > fifth + STABILITY_WINDOW)
        });
        later.map(|arrival| arrival.attempt).collect::<HashSet<_>>().len()
    }

    /// Sends a crashing request through entries, then a harmless one to each once servers are back.
    async fn send_both(&mut self, entries: &[usize], path: &str) {
        self.send_all(entries, path).await;
        sleep(2 * RESTART_TIME).await;
        let statuses = self.send_all(entries, "/safe/harmless").await;
        assert!(statuses.iter().all(|status| *status == 200), "harmless: {statuses:?}");
    }

    fn ends(&self) -> usize {
        self.fleet.request_log.ends().len()
    }

    /// Number of times that the crashing request reached a server later than `after` the third end.
    fn later_sends(&self, after: Duration) -> usize {
        let Some(third) = self.fleet.request_log.ends().get(2).map(|end| end.at) else {
            return 0;
        };
        let arrivals = self.fleet.request_log.arrivals().into_iter();
        let crashing = arrivals.filter(|arrival| self.crashing.contains(&arrival.attempt));
        crashing.filter(|arrival| arrival.at > third + after).count()
    }

    /// Checks the rule, and that at most `max_ends` servers ended.
    fn check(&self, max_ends: usize) {
        let (ends, later) = (self.ends(), self.later_sends(Duration::ZERO));
        let logs = self.folder.display();
        let seen = format!("{ends} servers ended, {later} sends after the third; logs: {logs}");
        assert!(ends > 0 && later <= MAX_LATER_SENDS, "{seen}");
        assert!(ends <= max_ends, "{seen}");
        self.clean_up();
    }

    fn clean_up(&self) {
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
        run.send_both(&[turn % 6], "/safe/crash").await;
    }
    run.check(2);
}

// The same with a stream that ends servers after some events, and with work that runs at most once: a
// path of its own must not send on what another has stopped.
#[tokio::test(flavor = "multi_thread")]
async fn resend_crashing_request_stream_and_once() {
    for path in ["/stream/crash", "/once/crash"] {
        let mut run = Run::start(&path.replace('/', "-"), 3, 3).await;
        for turn in 0..6 {
            run.send_both(&[turn % 3], path).await;
        }
        run.check(2);
    }
}

// The same with answers that have neither length nor chunks and are closed in order by the server's end,
// inside an event or between two: taken for finished runs, they would clear the request.
#[tokio::test(flavor = "multi_thread")]
async fn resend_crashing_request_unframed_answers() {
    for path in ["/safe/crash-unframed", "/stream/crash-unframed", "/once/crash-unframed"] {
        let mut run = Run::start(&path.replace('/', "-"), 3, 3).await;
        for turn in 0..6 {
            run.send_both(&[turn % 3], path).await;
        }
        run.check(2);
    }
}

// Copies reach all entries before any server has ended. What follows must be refused by all of them.
#[tokio::test(flavor = "multi_thread")]
async fn resend_crashing_request_all_entries_at_once() {
    let mut run = Run::start("crashes-at-once", 6, 8).await;
    for _ in 0..4 {
        run.send_both(&[0, 1, 2, 3, 4, 5], "/safe/crash").await;
    }
    let (ends, later) = (run.ends(), run.later_sends(REACTION_TIME));
    assert!(ends > 0 && later == 0, "{ends} ended, {later} later; logs: {}", run.folder.display());
    run.clean_up();
}

// Requests of one caller, no two alike, share a part of their prompts that ends each server which begins
// to write on it. What is known of their content is worth nothing.
#[tokio::test(flavor = "multi_thread")]
async fn send_crashing_part_entries_by_turns() {
    let mut run = Run::start("parts", 6, 3).await;
    let (served, sent) = run.send_parts(14, &[SOUND_PART, CRASHING_PART]).await;
    let (ends, later) = (run.ends(), run.later_part_sends());
    let logs = run.folder.display();
    let seen = format!("{ends} ended, {later} later, {served} of {sent} sound ones; logs: {logs}");
    assert!(ends > 0 && later <= MAX_LATER_SENDS, "{seen}");
    assert!(ends <= MAX_PART_ENDS, "{seen}");
    // Two rounds may meet the ends themselves.
    assert!(served + 2 * run.fleet.entries.len() >= sent, "{seen}");
    run.clean_up();
}

// Entries that start after the ends know nothing yet, and are asked first.
#[tokio::test(flavor = "multi_thread")]
async fn resend_crashing_request_entries_started_again() {
    let mut run = Run::start("crashes-started", 4, 3).await;
    run.send_both(&[0], "/safe/crash").await;
    let ends = run.ends();
    for entry in [0, 1, 2, 3, 0] {
        run.fleet.kill_entry(entry).await;
        run.fleet.start_entry(entry);
        while run.send(entry, "/safe/crash").await == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }
    assert_eq!(run.ends(), ends, "logs: {}", run.folder.display());
    run.check(2);
}

// Connections to all servers are reset again and again under one and the same read. Nothing crashed, so
// that it must not be refused.
#[tokio::test(flavor = "multi_thread")]
async fn send_hot_read_amid_resets() {
    let mut run = Run::start("resets", 3, 3).await;
    for _ in 0..6 {
        let servers: Vec<_> = run.fleet.servers.iter().map(|s| s.proxy.clone()).collect();
        let resetting = tokio::spawn(async move {
            sleep(Duration::from_millis(10)).await;
            servers.iter().for_each(|proxy| proxy.set_fault(LinkFault::Reset));
            sleep(Duration::from_millis(100)).await;
            servers.iter().for_each(|proxy| proxy.set_fault(LinkFault::None));
        });
        run.send_all(&[0, 1, 2], "/safe/hot").await;
        resetting.await.unwrap();
        sleep(2 * RESTART_TIME).await;
        let statuses = run.send_all(&[0, 1, 2], "/safe/hot").await;
        assert_eq!(statuses, [200, 200, 200], "logs: {}", run.folder.display());
    }
    assert_eq!(run.ends(), 0);
    run.clean_up();
}

// Servers are back at their addresses and answer before the entries know of the new start. These answers
// say nothing about the start that ended.
#[tokio::test(flavor = "multi_thread")]
async fn resend_crashing_request_amid_traffic() {
    let mut run = Run::start("crashes-traffic", 4, 3).await;
    for turn in 0..6 {
        run.send(turn % 4, "/safe/crash").await;
        let started = Instant::now();
        while started.elapsed() < 2 * RESTART_TIME {
            run.send_all(&[0, 1, 2, 3], "/safe/harmless").await;
        }
    }
    run.check(2);
}
