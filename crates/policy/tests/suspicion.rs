//! Requests that crash backend servers, with several entries that exchange their records.

use std::collections::HashSet;
use std::time::Duration;

use flamingowheel_policy::admission::{
    Admission, AdmissionConfig, AdmissionDecision, Offer, Priority,
};
use flamingowheel_policy::key::{Fingerprint, ServerKey};
use flamingowheel_policy::load::{Availability, LoadTracker};
use flamingowheel_policy::routing::choose_alone;
use flamingowheel_policy::suspicion::{
    CrashId, CrashRecord, SuspectRecord, SuspectTracker, SuspicionConfig, Verdict,
};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENTRIES: usize = 8;
const SERVERS: usize = 64;
const BATCH: usize = 32;

fn tracker() -> SuspectTracker {
    SuspectTracker::new(SuspicionConfig::default())
}

fn record(fingerprint: u128, crashes: &[(u64, u64, bool, u64)]) -> SuspectRecord {
    let crash = |&(server, number, cleared, minutes): &(u64, u64, bool, u64)| CrashRecord {
        crash: CrashId { server: ServerKey(server), number },
        cleared,
        remaining_s: minutes * 60,
    };
    let crashes = crashes.iter().map(crash).collect();
    SuspectRecord { fingerprint: Fingerprint(fingerprint), crashes }
}

fn sorted(tracker: &SuspectTracker) -> Vec<SuspectRecord> {
    let mut records = tracker.records(Duration::ZERO);
    records.sort_by_key(|record| record.fingerprint);
    records
}

fn any_records() -> impl Strategy<Value = Vec<SuspectRecord>> {
    let crash = (0..6u64, 0..3u64, any::<bool>(), 1..60u64);
    let crashes = prop::collection::vec(crash, 1..6);
    prop::collection::vec((0..4u128, crashes), 0..6)
        .prop_map(|all| all.iter().map(|(f, crashes)| record(*f, crashes)).collect())
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    // Records reach processes in any order and more than once. If the order mattered, two entries
    // would permanently disagree about a request.
    #[test]
    fn merge_any_order_and_repeated(a in any_records(), b in any_records(), c in any_records()) {
        let mut first = tracker();
        let mut second = tracker();
        for records in [&a, &b, &c] {
            first.merge(records, Duration::ZERO);
        }
        for records in [&c, &a, &c, &b, &a] {
            second.merge(records, Duration::ZERO);
        }
        prop_assert_eq!(sorted(&first), sorted(&second));
    }
}

// Two processes that repeatedly exchange their records must not keep a crash alive forever.
#[test]
fn merge_records_exchanged_repeatedly_expire() {
    let (mut a, mut b) = (tracker(), tracker());
    let crash = CrashId { server: ServerKey(1), number: 1 };
    a.on_crash(crash, &[Fingerprint(1)], Duration::ZERO);
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(3_700) {
        let records = a.records(now);
        now += Duration::from_millis(900);
        b.merge(&records, now);
        let records = b.records(now);
        now += Duration::from_millis(900);
        a.merge(&records, now);
    }
    assert_eq!(a.verdict(Fingerprint(1), now), Verdict::Clear);
    assert_eq!(b.verdict(Fingerprint(1), now), Verdict::Clear);
}

// If a refusal expired while the request keeps being sent, its caller would crash two more backend
// servers per period.
#[test]
fn verdict_refused_request_sent_again_stays_refused() {
    let mut tracker = tracker();
    for server in [1, 2] {
        let crash = CrashId { server: ServerKey(server), number: 1 };
        tracker.on_crash(crash, &[Fingerprint(1)], Duration::ZERO);
    }
    for hours in 0..10 {
        let now = Duration::from_secs(3_500 * hours);
        assert!(matches!(tracker.verdict(Fingerprint(1), now), Verdict::Refused { .. }));
    }
    assert_eq!(tracker.verdict(Fingerprint(1), Duration::from_secs(50_000)), Verdict::Clear);
}

// A backend server that crashes repeatedly with ever new bodies must not exhaust the memory, nor
// evict the records of refused requests.
#[test]
fn on_crash_many_fingerprints_bounded_and_refused_kept() {
    let config = SuspicionConfig { max_fingerprints: 100, ..SuspicionConfig::default() };
    let mut tracker = SuspectTracker::new(config);
    let refused = Fingerprint(u128::MAX);
    for server in [1, 2] {
        tracker.on_crash(
            CrashId { server: ServerKey(server), number: 1 },
            &[refused],
            Duration::ZERO,
        );
    }
    for n in 0..1_000 {
        let crash = CrashId { server: ServerKey(3), number: n };
        tracker.on_crash(crash, &[Fingerprint(u128::from(n))], Duration::from_millis(n));
    }
    assert_eq!(tracker.len(), 100);
    let verdict = tracker.verdict(refused, Duration::from_secs(2));
    assert!(matches!(verdict, Verdict::Refused { .. }));
}

/// Result of one simulation.
struct RunResult {
    servers_lost: usize,
    harmless_refused: usize,
    harmless_finished: usize,
}

struct Fleet {
    rng: ChaCha8Rng,
    entries: Vec<SuspectTracker>,
    agents: Vec<Admission<usize>>,
    load: LoadTracker,
    keys: Vec<ServerKey>,
    crashes: u64,
    lost: HashSet<ServerKey>,
    now: Duration,
    /// Longest delay of a notice to another entry.
    max_notice_delay: Duration,
    notices: Vec<(Duration, usize, Vec<SuspectRecord>)>,
}

impl Fleet {
    fn new(seed: u64, max_notice_delay: Duration) -> Self {
        let keys: Vec<ServerKey> = (0..SERVERS as u64).map(ServerKey).collect();
        let mut load = LoadTracker::default();
        keys.iter().for_each(|key| assert!(load.insert(*key)));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..ENTRIES).map(|_| tracker()).collect(),
            agents: (0..SERVERS).map(|_| Admission::new(AdmissionConfig::default())).collect(),
            load,
            keys,
            crashes: 0,
            lost: HashSet::new(),
            now: Duration::ZERO,
            max_notice_delay,
            notices: Vec::new(),
        }
    }

    fn advance(&mut self, elapsed: Duration) {
        self.now += elapsed;
        for (at, entry, records) in std::mem::take(&mut self.notices) {
            match at <= self.now {
                true => self.entries[entry].merge(&records, self.now),
                false => self.notices.push((at, entry, records)),
            }
        }
    }

    /// The agent's notice reaches every entry twice, with random delays.
    fn crash(&mut self, server: ServerKey, running: &[Fingerprint]) {
        self.crashes += 1;
        self.lost.insert(server);
        let crash = CrashId { server, number: self.crashes };
        let notified = self.rng.random_range(0..ENTRIES);
        self.entries[notified].on_crash(crash, running, self.now);
        self.load.set_availability(server, Availability::Suspect);
        self.send_records(notified);
    }

    fn send_records(&mut self, from: usize) {
        let records = self.entries[from].drain_changes(self.now);
        for entry in (0..ENTRIES).chain(0..ENTRIES) {
            let at = self.now + self.max_notice_delay.mul_f64(self.rng.random());
            self.notices.push((at, entry, records.clone()));
        }
    }

    /// Sends one copy through each of the given entries at the same time. Returns whether the
    /// started copies finished, or `None` if none was started.
    fn send_concurrently(
        &mut self,
        request: Fingerprint,
        crashes_server: bool,
        entries: &[usize],
    ) -> Option<bool> {
        let mut started = Vec::new();
        for (copy, entry) in entries.iter().enumerate() {
            let crashed = match self.entries[*entry].verdict(request, self.now) {
                Verdict::Refused { .. } => continue,
                Verdict::Alone { crashed } => crashed,
                Verdict::Clear => Vec::new(),
            };
            let alone = !crashed.is_empty();
            let Ok(server) = choose_alone(request, &crashed, &self.keys, &self.load) else {
                continue;
            };
            let deadline = self.now + Duration::from_secs(10);
            let index = server.0 as usize;
            let offer = Offer { id: copy, priority: Priority(1), last_try: true, deadline };
            let agent = &mut self.agents[index];
            let admitted = if alone { agent.offer_alone(offer) } else { agent.offer(offer) };
            if admitted == AdmissionDecision::Start {
                started.push((server, *entry));
            }
        }
        if started.is_empty() {
            return None;
        }
        let servers: HashSet<ServerKey> = started.iter().map(|(server, _)| *server).collect();
        for server in servers {
            self.agents[server.0 as usize] = Admission::new(AdmissionConfig::default());
            if crashes_server {
                self.crash(server, &[request]);
            }
        }
        if !crashes_server {
            let entry = started[0].1;
            self.entries[entry].on_finished(request, self.now);
            self.send_records(entry);
        }
        Some(!crashes_server)
    }
}

/// A batch with one crashing request takes down a server. Then every request is sent again, the
/// crashing one 200 times, often through several entries concurrently.
fn run_batch(seed: u64, max_notice_delay: Duration) -> RunResult {
    let mut fleet = Fleet::new(seed, max_notice_delay);
    let batch: Vec<Fingerprint> = (0..BATCH as u128).map(Fingerprint).collect();
    let crasher = batch[0];
    fleet.crash(ServerKey(seed % SERVERS as u64), &batch);
    let (mut refused, mut finished) = (0, 0);
    for round in 0..200 {
        let longest_ms = if round % 2 == 0 { 3 } else { 60_000 };
        let pause_ms = fleet.rng.random_range(2..=longest_ms);
        fleet.advance(Duration::from_millis(pause_ms));
        let copies = fleet.rng.random_range(1..=ENTRIES);
        let entries: Vec<usize> = (0..copies).map(|_| fleet.rng.random_range(0..ENTRIES)).collect();
        fleet.send_concurrently(crasher, true, &entries);
        if let Some(harmless) = batch.get(round + 1) {
            match fleet.send_concurrently(*harmless, false, &entries) {
                Some(_) => finished += 1,
                None => refused += 1,
            }
        }
    }
    let servers_lost = fleet.lost.len();
    RunResult { servers_lost, harmless_refused: refused, harmless_finished: finished }
}

// One request crashes every backend server that runs it. Its caller resends it repeatedly through
// all entries, also concurrently, starting 2 ms after its answer was aborted; the agent's notice
// takes up to 2 ms to reach each entry. Without isolation of suspects each copy would crash a
// backend server and abort all requests running there.
#[test]
fn verdict_crashing_request_resent_two_servers_lost() {
    let (mut refused, mut harmless) = (0, 0);
    for seed in 0..50 {
        let result = run_batch(seed, Duration::from_millis(2));
        assert!(result.servers_lost <= 2, "seed {seed}: {} lost", result.servers_lost);
        refused += result.harmless_refused;
        harmless += result.harmless_refused + result.harmless_finished;
    }
    assert_eq!(harmless, 50 * (BATCH - 1));
    assert!(refused * 100 <= harmless, "{refused} of {harmless} harmless requests refused");
}
