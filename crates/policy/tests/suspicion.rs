//! Requests that crash backend servers, over several entries that tell each other what they know.

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

fn book() -> SuspectTracker {
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

fn sorted(book: &SuspectTracker) -> Vec<SuspectRecord> {
    let mut records = book.records(Duration::ZERO);
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
    // would judge the same request differently for good.
    #[test]
    fn merge_any_order_and_repeated(a in any_records(), b in any_records(), c in any_records()) {
        let mut first = book();
        let mut second = book();
        for records in [&a, &b, &c] {
            first.merge(records, Duration::ZERO);
        }
        for records in [&c, &a, &c, &b, &a] {
            second.merge(records, Duration::ZERO);
        }
        prop_assert_eq!(sorted(&first), sorted(&second));
    }
}

// Two processes that keep telling each other about one crash would otherwise remember it for ever.
#[test]
fn merge_records_told_back_and_forth_expire() {
    let (mut a, mut b) = (book(), book());
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

// A caller that sends a convicted request again just before the period ends would otherwise cost
// two more backend servers every hour.
#[test]
fn verdict_refused_request_sent_again_stays_refused() {
    let mut book = book();
    for server in [1, 2] {
        let crash = CrashId { server: ServerKey(server), number: 1 };
        book.on_crash(crash, &[Fingerprint(1)], Duration::ZERO);
    }
    for hours in 0..10 {
        let now = Duration::from_secs(3_500 * hours);
        assert!(matches!(book.verdict(Fingerprint(1), now), Verdict::Refused { .. }));
    }
    assert_eq!(book.verdict(Fingerprint(1), Duration::from_secs(50_000)), Verdict::Clear);
}

// A backend server that crashes again and again with always new bodies must not fill the memory,
// nor push out what is known of the requests that are refused.
#[test]
fn on_crash_many_fingerprints_bounded_and_convicts_kept() {
    let config = SuspicionConfig { max_fingerprints: 100, ..SuspicionConfig::default() };
    let mut book = SuspectTracker::new(config);
    let convict = Fingerprint(u128::MAX);
    for server in [1, 2] {
        book.on_crash(CrashId { server: ServerKey(server), number: 1 }, &[convict], Duration::ZERO);
    }
    for n in 0..1_000 {
        let crash = CrashId { server: ServerKey(3), number: n };
        book.on_crash(crash, &[Fingerprint(u128::from(n))], Duration::from_millis(n));
    }
    assert_eq!(book.len(), 100);
    let verdict = book.verdict(convict, Duration::from_secs(2));
    assert!(matches!(verdict, Verdict::Refused { .. }));
}

/// What one run of the fleet below came to.
struct Outcome {
    servers_lost: usize,
    innocents_refused: usize,
    innocents_finished: usize,
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
    /// Longest time a notice takes to another entry.
    notice: Duration,
    notices: Vec<(Duration, usize, Vec<SuspectRecord>)>,
}

impl Fleet {
    fn new(seed: u64, notice: Duration) -> Self {
        let keys: Vec<ServerKey> = (0..SERVERS as u64).map(ServerKey).collect();
        let mut load = LoadTracker::default();
        keys.iter().for_each(|key| assert!(load.insert(*key)));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: (0..ENTRIES).map(|_| book()).collect(),
            agents: (0..SERVERS).map(|_| Admission::new(AdmissionConfig::default())).collect(),
            load,
            keys,
            crashes: 0,
            lost: HashSet::new(),
            now: Duration::ZERO,
            notice,
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

    /// The agent's notice reaches every entry of its cell, each at its own time and twice.
    fn crash(&mut self, server: ServerKey, running: &[Fingerprint]) {
        self.crashes += 1;
        self.lost.insert(server);
        let crash = CrashId { server, number: self.crashes };
        let told = self.rng.random_range(0..ENTRIES);
        self.entries[told].on_crash(crash, running, self.now);
        self.load.set_availability(server, Availability::Suspect);
        self.spread(told);
    }

    fn spread(&mut self, from: usize) {
        let records = self.entries[from].drain_changes(self.now);
        for entry in (0..ENTRIES).chain(0..ENTRIES) {
            let at = self.now + self.notice.mul_f64(self.rng.random());
            self.notices.push((at, entry, records.clone()));
        }
    }

    /// Sends one copy through each of the given entries at the same moment. `true`: one finished.
    fn send_at_once(
        &mut self,
        request: Fingerprint,
        kills: bool,
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
            if kills {
                self.crash(server, &[request]);
            }
        }
        if !kills {
            let entry = started[0].1;
            self.entries[entry].on_finished(request, self.now);
            self.spread(entry);
        }
        Some(!kills)
    }
}

/// A batch with one killer crashes; then every request is sent again, the killer 200 times, often
/// through several entries at once.
fn run_batch(seed: u64, notice: Duration) -> Outcome {
    let mut fleet = Fleet::new(seed, notice);
    let batch: Vec<Fingerprint> = (0..BATCH as u128).map(Fingerprint).collect();
    let killer = batch[0];
    fleet.crash(ServerKey(seed % SERVERS as u64), &batch);
    let (mut refused, mut finished) = (0, 0);
    for round in 0..200 {
        let longest_ms = if round % 2 == 0 { 3 } else { 60_000 };
        let pause_ms = fleet.rng.random_range(2..=longest_ms);
        fleet.advance(Duration::from_millis(pause_ms));
        let copies = fleet.rng.random_range(1..=ENTRIES);
        let entries: Vec<usize> = (0..copies).map(|_| fleet.rng.random_range(0..ENTRIES)).collect();
        fleet.send_at_once(killer, true, &entries);
        if let Some(innocent) = batch.get(round + 1) {
            match fleet.send_at_once(*innocent, false, &entries) {
                Some(_) => finished += 1,
                None => refused += 1,
            }
        }
    }
    let servers_lost = fleet.lost.len();
    Outcome { servers_lost, innocents_refused: refused, innocents_finished: finished }
}

// One request crashes every backend server that runs it and its caller sends it again and again,
// through all entries, also at the same moment, from 2 ms after the answer broke off. The agent's
// notice takes up to 2 ms to each entry. Without suspicion each copy costs a backend server
// and everything that runs beside it; a user sees answers break off all over the fleet.
#[test]
fn suspicion_killer_sent_again_two_servers_lost() {
    let (mut refused, mut innocents) = (0, 0);
    for seed in 0..50 {
        let outcome = run_batch(seed, Duration::from_millis(2));
        assert!(outcome.servers_lost <= 2, "seed {seed}: {} lost", outcome.servers_lost);
        refused += outcome.innocents_refused;
        innocents += outcome.innocents_refused + outcome.innocents_finished;
    }
    assert_eq!(innocents, 50 * (BATCH - 1));
    assert!(refused * 100 <= innocents, "{refused} of {innocents} innocents refused");
}
