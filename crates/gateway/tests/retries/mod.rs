//! A simulated fleet of entries before backend servers of which some or all refuse, with the entries'
//! own choice of servers and their retry budgets, under a paused clock.

mod arrivals;
mod case;
mod entry;
mod old;
mod trouble;

pub use arrivals::{RATIO, WINDOW};
pub use case::{Case, Report, TROUBLE_AT, TROUBLES, Trouble};

use arrivals::Arrivals;
use entry::{Attempt, Entry};
use flamingowheel_gateway::balance::{self, Choice};
use flamingowheel_gateway::server::Server;
use flamingowheel_policy::claim::StoredClaim;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Number of backend servers.
const SERVERS: usize = 12;

/// Delay of a link, and the time until a server answers.
const LINK_DELAY: Duration = Duration::from_millis(1);
const SLOW_LINK_DELAY: Duration = Duration::from_secs(5);
const WORK_TIME: Duration = Duration::from_millis(20);

/// Sends of a request in a row, the pause after them, and the longest time until the last one.
const MAX_SENDS_IN_ROW: usize = 3;
const RESEND_PAUSE: Duration = Duration::from_millis(150);
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Time between an entry's looks at the store.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time to live of an entry's record in the store.
const LEASE_TTL: Duration = Duration::from_millis(3_500);

enum Event {
    Request,
    Try(Box<Attempt>),
    Answer(Box<Attempt>, Arc<Server>),
    Poll(usize),
    Trouble(u32),
    Start(usize),
    End(usize),
}

/// The simulated fleet.
pub struct Fleet {
    case: Case,
    rng: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: HashMap<u64, Event>,
    next_event: u64,
    next_request: u64,
    /// All processes that were ever started.
    entries: Vec<Entry>,
    /// The newest process of each VM.
    newest: Vec<usize>,
    /// VMs that the store lists, and when their leases end.
    listed: BTreeMap<usize, Duration>,
    claims: HashMap<usize, StoredClaim>,
    store_away_until: Duration,
    /// VMs that reach neither the store nor the others.
    cut_off: HashSet<usize>,
    arrivals: Arrivals,
    report: Report,
}

impl Fleet {
    /// Runs a case. Needs a runtime with a paused clock.
    pub async fn run(case: Case, seed: u64) -> Report {
        let mut fleet = Self {
            case,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next_event: 0,
            next_request: 0,
            entries: Vec::new(),
            newest: Vec::new(),
            listed: BTreeMap::new(),
            claims: HashMap::new(),
            store_away_until: Duration::ZERO,
            cut_off: HashSet::new(),
            arrivals: Arrivals::default(),
            report: Report::default(),
        };
        for vm in 0..case.entries {
            fleet.newest.push(0);
            fleet.start(vm);
        }
        fleet.at(Duration::from_secs(1), Event::Request);
        fleet.at(TROUBLE_AT, Event::Trouble(0));
        while let Some(Reverse((at, id))) = fleet.events.pop() {
            if at > case.run_time {
                break;
            }
            advance(at - fleet.now).await;
            fleet.now = at;
            if let Some(event) = fleet.bodies.remove(&id) {
                fleet.handle(event);
            }
        }
        let mut report = fleet.report;
        fleet.arrivals.judge(case.slack, case.run_time, &mut report);
        report
    }

    fn at(&mut self, at: Duration, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.push(Reverse((at, id)));
        self.bodies.insert(id, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request => self.begin_request(),
            Event::Try(attempt) => self.send(attempt),
            Event::Answer(attempt, server) => self.answer(attempt, &server),
            Event::Poll(entry) => self.poll(entry),
            Event::Trouble(step) => self.trouble(step),
            Event::Start(vm) => self.start(vm),
            Event::End(entry) => self.entries[entry].is_up = false,
        }
    }

    fn start(&mut self, vm: usize) {
        let entry = self.entries.len();
        self.entries.push(Entry::new(vm, &self.case, self.now));
        self.newest[vm] = entry;
        let first_poll = Duration::from_millis(self.rng.random_range(20..150));
        self.at(self.now + first_poll, Event::Poll(entry));
    }

    fn reaches_store(&self, vm: usize) -> bool {
        self.now >= self.store_away_until && !self.cut_off.contains(&vm)
    }

    fn poll(&mut self, number: usize) {
        let (vm, now) = (self.entries[number].vm, self.now);
        if !self.entries[number].is_up {
            return;
        }
        if self.reaches_store(vm) && !self.entries[number].is_frozen(now) {
            if !self.entries[number].is_leaving {
                self.listed.insert(vm, now + LEASE_TTL);
            }
            self.listed.retain(|_, until| *until > now);
            let names: Vec<usize> = self.listed.keys().copied().collect();
            self.entries[number].see(&names, now);
        }
        self.entries[number].observe(now, self.case.trouble);
        if self.reaches_store(vm) && !self.entries[number].is_frozen(now) {
            self.entries[number].claim(&mut self.claims);
        }
        let jitter = POLL_INTERVAL.mul_f64(self.rng.random_range(0.8..1.2));
        self.at(now + jitter, Event::Poll(number));
    }

    fn begin_request(&mut self) {
        let rate_per_s = self.case.rate_per_s * self.case.entries as f64;
        let mut pause_s = -(1.0 - self.rng.random::<f64>()).ln() / rate_per_s;
        if self.case.trouble == Trouble::Bursts && self.now.as_secs() % 9 >= 3 {
            pause_s = 9.0 - self.now.as_secs_f64() % 9.0;
        }
        self.at(self.now + Duration::from_secs_f64(pause_s), Event::Request);
        self.arrivals.record_request(self.now);
        let Some(entry) = self.choose_entry() else {
            return;
        };
        let id = self.next_request;
        self.next_request += 1;
        self.entries[entry].record_request(self.now);
        self.send(Box::new(Attempt::new(id, entry, self.now)));
    }

    /// The process that a caller connects to.
    fn choose_entry(&mut self) -> Option<usize> {
        let (now, trouble) = (self.now, self.case.trouble);
        let takes = |entry: &usize| self.entries[*entry].takes_callers(now);
        let open: Vec<usize> = self.newest.iter().copied().filter(takes).collect();
        let weight = |entry: &usize| {
            let third = self.entries[*entry].vm % 3;
            match trouble {
                Trouble::TrafficMoves if now.as_secs() / 7 % 3 != third as u64 => 0.0,
                Trouble::FewRequests if third == 0 => 0.1,
                _ => 1.0,
            }
        };
        open.choose_weighted(&mut self.rng, weight).ok().copied()
    }

    fn send(&mut self, mut attempt: Box<Attempt>) {
        let now = self.now;
        let entry = &mut self.entries[attempt.entry];
        if !entry.is_up {
            return;
        }
        if entry.is_frozen(now) {
            let thaws_at = entry.frozen_until;
            return self.at(thaws_at, Event::Try(attempt));
        }
        if attempt.tried.len() >= MAX_SENDS_IN_ROW {
            if now + RESEND_PAUSE >= attempt.begun_at + MAX_WAIT {
                return;
            }
            attempt.tried.clear();
            return self.at(now + RESEND_PAUSE, Event::Try(attempt));
        }
        let chosen = balance::choose(&entry.view, "s", &attempt.tried, None, Instant::now()).choice;
        let Choice::Send(server, _) = chosen else {
            return;
        };
        if attempt.sends > 0 {
            if !entry.try_acquire(&mut attempt, now) {
                return;
            }
            if now > TROUBLE_AT && entry.started_at < TROUBLE_AT {
                let last = entry.last_retry_at.replace(now).unwrap_or(TROUBLE_AT);
                self.report.longest_gap = self.report.longest_gap.max(now - last);
            }
        }
        attempt.sends += 1;
        attempt.tried.push(Arc::clone(&server));
        let delay = self.link_delay(self.entries[attempt.entry].vm);
        self.arrivals.record(now + delay, attempt.id);
        self.at(now + delay * 2 + WORK_TIME, Event::Answer(attempt, server));
    }

    /// Whether a server refuses: all of them always, or some from the trouble on.
    fn is_sick(&self, server: &Server) -> bool {
        let sick = (self.case.sick_share * SERVERS as f64).round() as u16;
        let has_begun = self.case.sick_share >= 1.0 || self.now >= TROUBLE_AT;
        has_begun && server.listed.address.port() <= sick
    }

    fn link_delay(&self, vm: usize) -> Duration {
        let is_slow = self.case.trouble == Trouble::SlowLinks
            && vm.is_multiple_of(3)
            && (self.now.as_secs() / 7).is_multiple_of(2);
        if is_slow { SLOW_LINK_DELAY } else { LINK_DELAY }
    }

    fn answer(&mut self, mut attempt: Box<Attempt>, server: &Arc<Server>) {
        let entry = &self.entries[attempt.entry];
        if !entry.is_up {
            return;
        }
        if entry.is_frozen(self.now) {
            let thaws_at = entry.frozen_until;
            return self.at(thaws_at, Event::Answer(attempt, Arc::clone(server)));
        }
        attempt.end_send();
        let is_refused = self.is_sick(server);
        server.record_answer(WORK_TIME, is_refused);
        if attempt.sends == 1 && is_refused && self.now > TROUBLE_AT {
            self.report.failed_first += 1;
        }
        if is_refused {
            return self.send(attempt);
        }
        if attempt.sends > 1 && attempt.begun_at > TROUBLE_AT {
            self.report.rescued += 1;
        }
    }
}
