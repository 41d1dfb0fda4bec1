//! Entries as separate processes before backend servers in need: they name a limit for all entries
//! together, ask each one for rest, say that they leave, or turn cold.

use flamingowheel_soak::callers::Caller;
use flamingowheel_soak::cli::Options;
use flamingowheel_soak::cold::ColdSpan;
use flamingowheel_soak::fleet::{Fleet, Server};
use flamingowheel_soak::report::{SharedTally, Tally};
use flamingowheel_soak::signals::{LimitSpan, Observed};
use flamingowheel_standin::platform::server::{Arrival, Conditions};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time for the processes to start and discover each other.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Time during which the servers are in need: a limit binds after 3 s, and its windows are 4 s long.
const NEED_TIME: Duration = Duration::from_secs(9);

const SEED: u64 = 11;

/// Time for which servers are cold: longer than the run.
const COLD_TIME: Duration = Duration::from_secs(30);

/// What was seen of a fleet with servers in need.
struct Run {
    tally: Tally,
    fleet: Fleet,
    spans: Vec<LimitSpan>,
    colds: Vec<ColdSpan>,
}

/// Runs `entries` processes before 4 servers, of which the first `count` are in need.
async fn run_in_need(entries: usize, count: usize, need: Conditions) -> Run {
    let name = format!("fw-need-{}-{:?}", std::process::id(), std::thread::current().id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    let options = Options {
        program: env!("CARGO_BIN_EXE_flamingowheeld").into(),
        seed: SEED,
        seeds: 1,
        seconds: 0,
        entries,
        servers: 4,
        callers: 12,
        is_planned: false,
    };
    let fleet = Fleet::start_all(&options, &folder).await.unwrap();
    sleep(WARM_UP).await;
    let from = Instant::now();
    fleet.servers[..count].iter().for_each(|server| server.standin.set_conditions(need));
    let (tally, stop, callers) =
        (SharedTally::default(), CancellationToken::new(), TaskTracker::new());
    let addresses: Vec<_> = fleet.entries.iter().map(|entry| entry.callers).collect();
    for number in 0..options.callers as u64 {
        let (entries, request_log) = (addresses.clone(), fleet.request_log.clone());
        let caller = Caller { entries, request_log, tally: tally.clone() };
        callers.spawn(caller.run(SEED + number, stop.clone()));
    }
    sleep(NEED_TIME).await;
    let until = Instant::now();
    stop.cancel();
    callers.close();
    callers.wait().await;
    let spans = fleet.servers[..count].iter().filter_map(|server| {
        let (server, limit_per_s) = (server.id.clone(), need.limit_per_s?);
        Some(LimitSpan { server, limit_per_s, from, until })
    });
    let colds = fleet.servers[..count].iter().filter(|_| need.cold_until.is_some());
    let cold = |server: &Server| ColdSpan { server: server.id.clone(), from, until };
    let colds = colds.map(cold).collect();
    // The error is ignored: a leftover directory in the temporary directory is harmless.
    let _ = std::fs::remove_dir_all(&folder);
    Run { tally: tally.read(), spans: spans.collect(), colds, fleet }
}

impl Run {
    fn violations(&self) -> Vec<String> {
        let arrivals = self.fleet.request_log.arrivals();
        let observed = Observed { arrivals: &arrivals, calls: &self.tally.calls, faults: &[] };
        let (limits, rests) = (observed.check_limits(&self.spans), observed.check_rests());
        let (leaving, colds) = (observed.check_leaving(), observed.check_cold(&self.colds));
        let asked = limits.iter().chain(&rests).chain(&leaving).chain(&colds);
        let violations = asked.chain(&self.tally.violations);
        violations.map(ToString::to_string).collect()
    }
}

/// A backend server names a limit of one request a second, and each of six entries goes on sending
/// to it.
#[tokio::test(flavor = "multi_thread")]
async fn named_limit_one_server_kept() {
    let limit = Conditions { limit_per_s: Some(1.0), ..Conditions::default() };
    let run = run_in_need(6, 1, limit).await;
    assert_eq!(run.violations(), [""; 0], "{}", run.tally);
}

/// Two of four backend servers answer each request with 503 and ask for 3 s of rest, and each of six
/// entries goes on sending to them.
#[tokio::test(flavor = "multi_thread")]
async fn asked_rest_two_servers_kept() {
    let rest = Conditions { rest: Some(Duration::from_secs(3)), ..Conditions::default() };
    let run = run_in_need(6, 2, rest).await;
    assert_eq!(run.violations(), [""; 0], "{}", run.tally);
}

/// A backend server says in its answers that it leaves, while it is still listed as ready, and each of
/// six entries goes on sending to it.
#[tokio::test(flavor = "multi_thread")]
async fn told_leaving_server_listed_kept() {
    let leaving = Conditions { is_leaving: true, ..Conditions::default() };
    let run = run_in_need(6, 1, leaving).await;
    assert_eq!(run.violations(), [""; 0], "{}", run.tally);
}

/// Two of four backend servers turn cold while they serve, and only their answers tell. Each of six
/// entries goes on sending to them, and none stops.
#[tokio::test(flavor = "multi_thread")]
async fn turned_cold_two_servers_kept() {
    let cold = Conditions { cold_until: Some(Instant::now() + COLD_TIME), ..Conditions::default() };
    let run = run_in_need(6, 2, cold).await;
    assert_eq!(run.violations(), [""; 0], "{}", run.tally);
    let arrivals = run.fleet.request_log.arrivals();
    let late = |arrival: &&Arrival| arrival.at > run.colds[0].from + NEED_TIME / 2;
    let count = |id: &str| arrivals.iter().filter(late).filter(|at| at.server == id).count();
    let (cold, warm) = (count(&run.colds[0].server), count(&run.fleet.servers[3].id));
    assert!(cold > 0);
    // A server that is not held to the limit of 20 in a second gets more.
    assert!(warm as f64 > 20.0 * (NEED_TIME / 2).as_secs_f64(), "{warm}");
}
