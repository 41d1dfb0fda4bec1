//! A server's limit, kept by a fleet of entries that exchange permits over a lossy network.

use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::permits::{LimitReport, Meter, Permits, Verdict, meter_of};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::time::Duration;

/// Length of a simulated step, and the one-way delay of the network.
const STEP: Duration = Duration::from_millis(5);

/// The rule: in any 4 s, 1.5 times what the limit allows and 5 requests more.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time after which an entry that knows a limit has to keep to it, and after which the rule binds.
const REACTION_TIME: Duration = Duration::from_millis(500);
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// Longest wait of a request for a permit.
const PERMIT_WAIT: Duration = Duration::from_millis(50);

/// Time after which entries see that another one has died.
const LEASE: Duration = Duration::from_millis(3_500);

#[derive(Default)]
struct Entry {
    permits: Permits,
    meter: Meter,
    told_at: Option<Duration>,
    is_frozen: bool,
    is_dead: bool,
    /// Entries that are missing in this one's list.
    missing: Vec<usize>,
}

struct Ask {
    from: usize,
    to: usize,
    report: LimitReport,
    asked_at: Duration,
    wants_permit: bool,
}

/// The meter's word to an entry.
struct Broadcast {
    to: usize,
    report: LimitReport,
    at: Duration,
}

struct Answer {
    to: usize,
    asked_at: Duration,
    verdict: Verdict,
}

/// Entries before one server, each with requests that prefer it.
struct Fleet {
    now: Duration,
    rng: ChaCha8Rng,
    names: Vec<String>,
    entries: Vec<Entry>,
    asks: VecDeque<Ask>,
    answers: VecDeque<Answer>,
    broadcasts: VecDeque<Broadcast>,
    limit_per_s: Option<f64>,
    /// Requests per second and entry that prefer the server.
    demand_per_s: f64,
    loss: f64,
    /// Whether requests wait for a permit, as they do if no other server takes them.
    waits: bool,
    /// Entries with a request that waits for a permit, and until when.
    waiting: Vec<(usize, Duration)>,
    /// Arrivals of requests, and whether they count for the rule.
    arrivals: Vec<(Duration, bool)>,
    messages: u64,
}

fn server() -> ServerKey {
    ServerKey::from_name("s")
}

impl Fleet {
    fn new(count: usize, limit_per_s: f64) -> Self {
        Self {
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(5),
            names: (0..count).map(|number| format!("e-{number}")).collect(),
            entries: (0..count).map(|_| Entry::default()).collect(),
            asks: VecDeque::new(),
            answers: VecDeque::new(),
            broadcasts: VecDeque::new(),
            limit_per_s: Some(limit_per_s),
            demand_per_s: 5.0,
            loss: 0.01,
            waits: false,
            waiting: Vec::new(),
            arrivals: Vec::new(),
            messages: 0,
        }
    }

    fn meter_seen_by(&self, entry: usize) -> Option<usize> {
        let missing = &self.entries[entry].missing;
        let listed = (0..self.names.len()).filter(|other| !missing.contains(other));
        let meter = meter_of(server(), listed.map(|other| self.names[other].as_str()))?;
        self.names.iter().position(|name| name == meter)
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            for (entry, until) in std::mem::take(&mut self.waiting) {
                if self.entries[entry].permits.admits(self.now) {
                    self.request(entry);
                } else if self.now < until {
                    self.waiting.push((entry, until));
                }
            }
            for entry in 0..self.entries.len() {
                let is_running = !self.entries[entry].is_frozen && !self.entries[entry].is_dead;
                let probability = self.demand_per_s * STEP.as_secs_f64();
                if is_running && self.rng.random_bool(probability) {
                    self.request(entry);
                }
            }
        }
    }

    /// A request of one entry's caller, which prefers the server.
    fn request(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if entry.permits.take(now) {
            let counts = entry.told_at.is_some_and(|told_at| told_at + REACTION_TIME <= now);
            self.arrivals.push((now, counts));
            let has_toggled = entry.permits.record_stated(self.limit_per_s, now, now);
            if self.limit_per_s.is_some() {
                entry.told_at.get_or_insert(now);
            }
            if has_toggled {
                self.send_ask(index, now, false);
            }
        } else if entry.permits.begin_ask(now) {
            self.send_ask(index, now, true);
            if self.waits {
                self.waiting.push((index, now + PERMIT_WAIT));
            }
        }
    }

    fn send_ask(&mut self, from: usize, asked_at: Duration, wants_permit: bool) {
        let Some(report) = self.entries[from].permits.report(asked_at) else { return };
        let Some(to) = self.meter_seen_by(from) else { return };
        self.messages += 1;
        if from == to || !self.rng.random_bool(self.loss) {
            self.asks.push_back(Ask { from, to, report, asked_at, wants_permit });
        }
    }

    /// Delivers what was sent in the step before; what is for a frozen entry waits.
    fn deliver(&mut self) {
        let now = self.now;
        for broadcast in std::mem::take(&mut self.broadcasts) {
            if self.entries[broadcast.to].is_frozen {
                self.broadcasts.push_back(broadcast);
            } else if !self.rng.random_bool(self.loss) {
                let report = LimitReport {
                    age: broadcast.report.age + now.saturating_sub(broadcast.at),
                    ..broadcast.report
                };
                self.entries[broadcast.to].permits.apply_report(report, now);
            }
        }
        for answer in std::mem::take(&mut self.answers) {
            let entry = &mut self.entries[answer.to];
            if entry.is_frozen {
                self.answers.push_back(answer);
            } else if !entry.is_dead {
                entry.permits.answer(answer.asked_at, answer.verdict, now);
            }
        }
        for ask in std::mem::take(&mut self.asks) {
            if self.entries[ask.to].is_frozen {
                self.asks.push_back(ask);
                continue;
            }
            if self.entries[ask.to].is_dead || self.meter_seen_by(ask.to) != Some(ask.to) {
                continue;
            }
            let Ask { from, to, report, asked_at, wants_permit } = ask;
            if self.entries[to].meter.record_report(server(), report, now) {
                let broadcasts =
                    (0..self.entries.len()).map(|to| Broadcast { to, report, at: now });
                self.broadcasts.extend(broadcasts);
            }
            if !wants_permit {
                continue;
            }
            let verdict = self.entries[to].meter.acquire(server(), now);
            self.messages += 1;
            if from == to || !self.rng.random_bool(self.loss) {
                self.answers.push_back(Answer { to: from, asked_at, verdict });
            }
        }
    }

    /// Largest number of counted requests in a window that ends between two times.
    fn most_in_window(&self, from: Duration, until: Duration) -> usize {
        let counted: Vec<Duration> =
            self.arrivals.iter().filter(|(_, counts)| *counts).map(|(at, _)| *at).collect();
        let ends = counted.iter().filter(|end| (from..until).contains(end));
        let in_window = |end: &Duration| {
            counted.iter().filter(|at| **at <= *end && *end - **at < WINDOW).count()
        };
        ends.map(in_window).max().unwrap_or(0)
    }

    fn assert_kept(&self, limit_per_s: f64, from: Duration) {
        let allowed = (FACTOR * WINDOW.as_secs_f64() * limit_per_s + SLACK) as usize;
        let most = self.most_in_window(from, self.now);
        assert!(most <= allowed, "{most} in 4 s at a limit of {limit_per_s}/s, {allowed} allowed");
    }

    /// Requests per second since `from`.
    fn rate_since(&self, from: Duration) -> f64 {
        let newer = self.arrivals.iter().filter(|(at, _)| *at >= from).count();
        newer as f64 / (self.now - from).as_secs_f64()
    }
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Each of many entries takes one request at least for its share of a limit far below their number.
#[test]
fn acquire_limit_below_entries_kept_and_used() {
    for (count, limit_per_s) in [(1, 1.0), (6, 1.0), (42, 1.0), (380, 1.0), (42, 30.0), (380, 0.5)]
    {
        let mut fleet = Fleet::new(count, limit_per_s);
        fleet.run(s(30));
        fleet.assert_kept(limit_per_s, STABILITY_WINDOW);
        let used = fleet.rate_since(s(10)) / limit_per_s;
        let demand = (fleet.demand_per_s * count as f64 / limit_per_s).min(1.0);
        assert!(used >= 0.8 * demand, "{count} entries use {used} of {limit_per_s}/s");
    }
}

/// The meter dies. The entry that takes its place begins with a full bucket while permits of the old
/// one are still used, or nobody grants permits any more.
#[test]
fn acquire_meter_dies_kept_and_used_again() {
    let mut fleet = Fleet::new(12, 2.0);
    fleet.run(s(10));
    let meter = fleet.meter_seen_by(0).unwrap();
    fleet.entries[meter].is_dead = true;
    fleet.run(LEASE);
    fleet.entries.iter_mut().for_each(|entry| entry.missing.push(meter));
    let from = fleet.now + s(2);
    fleet.run(s(12));
    fleet.assert_kept(2.0, STABILITY_WINDOW);
    assert!(fleet.rate_since(from) >= 0.8 * 2.0);
}

/// The meter freezes with asks in its socket. On waking it grants permits whose time is over, besides
/// those of its successor.
#[test]
fn acquire_meter_frozen_late_permits_unused() {
    let mut fleet = Fleet::new(12, 2.0);
    fleet.run(s(8));
    let meter = fleet.meter_seen_by(0).unwrap();
    fleet.entries[meter].is_frozen = true;
    fleet.run(LEASE);
    fleet.entries.iter_mut().for_each(|entry| entry.missing.push(meter));
    fleet.run(s(2));
    fleet.entries[meter].is_frozen = false;
    fleet.entries[meter].missing.clear();
    fleet.run(s(1));
    fleet.entries.iter_mut().for_each(|entry| entry.missing.clear());
    fleet.run(s(6));
    fleet.assert_kept(2.0, STABILITY_WINDOW);
}

/// For a second, half of the entries know of an entry that the others don't, and both halves have a
/// meter of their own.
#[test]
fn acquire_entries_disagree_on_meter_kept() {
    for limit_per_s in [1.0, 10.0, 100.0] {
        let mut fleet = Fleet::new(12, limit_per_s);
        fleet.demand_per_s = 20.0;
        fleet.run(s(8));
        let meter = fleet.meter_seen_by(0).unwrap();
        for entry in (0..12).filter(|entry| entry % 2 == 0 && *entry != meter) {
            fleet.entries[entry].missing.push(meter);
        }
        fleet.run(s(1));
        fleet.entries.iter_mut().for_each(|entry| entry.missing.clear());
        fleet.run(s(6));
        fleet.assert_kept(limit_per_s, STABILITY_WINDOW);
    }
}

/// An entry restarts every second, without memory of the limit.
#[test]
fn acquire_entries_restart_kept() {
    let mut fleet = Fleet::new(12, 1.0);
    for entry in 0..12 {
        fleet.run(s(1));
        fleet.entries[entry] = Entry::default();
    }
    fleet.run(s(5));
    fleet.assert_kept(1.0, STABILITY_WINDOW);
}

/// A fifth of the datagrams are lost.
#[test]
fn acquire_datagrams_lost_kept_and_used() {
    let mut fleet = Fleet::new(12, 2.0);
    fleet.loss = 0.2;
    fleet.run(s(30));
    fleet.assert_kept(2.0, STABILITY_WINDOW);
    assert!(fleet.rate_since(s(10)) >= 0.6 * 2.0);
}

/// An entry that has not met the server since its limit fell goes on to ask with the old one.
#[test]
fn acquire_limit_falls_and_rises() {
    let mut fleet = Fleet::new(12, 20.0);
    fleet.run(s(10));
    fleet.limit_per_s = Some(1.0);
    let fallen_at = fleet.now;
    fleet.run(s(12));
    fleet.assert_kept(1.0, fallen_at + WINDOW + REACTION_TIME);
    fleet.limit_per_s = Some(20.0);
    fleet.run(s(10));
    assert!(fleet.rate_since(fleet.now - s(4)) >= 0.8 * 20.0, "an old limit holds requests back");
}

/// A limit of 1 a second ends. Entries that learn it only from an answer of their own each wait for a
/// permit of the old limit.
#[test]
fn acquire_limit_ends_known_to_all() {
    let mut fleet = Fleet::new(42, 1.0);
    fleet.run(s(10));
    fleet.limit_per_s = None;
    fleet.run(s(6));
    let limited = fleet.entries.iter().filter(|entry| entry.permits.is_limited());
    assert_eq!(limited.count(), 0);
}

/// A limit of zero would never be known to have ended if nothing were sent.
#[test]
fn acquire_limit_zero_probed() {
    let mut fleet = Fleet::new(6, 0.0);
    fleet.run(s(60));
    fleet.assert_kept(0.0, STABILITY_WINDOW);
    assert!(fleet.rate_since(s(20)) > 0.05);
}

#[test]
fn acquire_limit_huge_no_overflow() {
    let mut meter = Meter::default();
    let report = LimitReport { limit_per_s: Some(f64::MAX), age: Duration::ZERO };
    meter.record_report(server(), report, s(1));
    meter.acquire(server(), s(1));
    assert_eq!(meter.acquire(server(), s(2)), Verdict::Granted);
}

/// Each of many entries learns of a limit only from an answer of its own. Together, their first
/// requests are more than the limit allows for minutes.
#[test]
fn record_stated_first_answer_known_to_all() {
    let mut fleet = Fleet::new(380, 1.0);
    fleet.demand_per_s = 0.05;
    fleet.run(s(8));
    assert!(fleet.rate_since(s(4)) <= FACTOR * 1.0 + SLACK / 4.0, "{}", fleet.rate_since(s(4)));
}

/// The answer to a request from before the limit arrives after one that names it. It must not end
/// the limit.
#[test]
fn record_stated_older_answer_last() {
    let mut permits = Permits::default();
    permits.record_stated(Some(1.0), s(2), s(3));
    assert!(!permits.record_stated(None, s(1), s(4)));
    assert!(permits.is_limited());
    assert!(permits.record_stated(None, s(4), s(5)));
    assert!(!permits.is_limited());
}

/// The meter broadcasts what is older than an answer that this entry has got itself.
#[test]
fn apply_report_older_word_ignored() {
    let mut permits = Permits::default();
    permits.record_stated(Some(1.0), s(9), s(10));
    permits.apply_report(LimitReport { limit_per_s: None, age: s(2) }, s(11));
    assert!(permits.is_limited());
    permits.apply_report(LimitReport { limit_per_s: None, age: s(0) }, s(11));
    assert!(!permits.is_limited());
}

/// All servers are limited, and each entry has few requests. If a permit that nobody fetches at once
/// were lost, a third of the limit would never be used.
#[test]
fn acquire_rare_requests_used() {
    for (count, limit_per_s, demand_per_s) in
        [(6, 1.0, 1.5), (6, 3.0, 1.5), (42, 1.0, 0.3), (6, 6.0, 1.5), (3, 1.0, 1.0)]
    {
        let mut fleet = Fleet::new(count, limit_per_s);
        fleet.demand_per_s = demand_per_s;
        fleet.waits = true;
        fleet.run(s(60));
        fleet.assert_kept(limit_per_s, STABILITY_WINDOW);
        let most = (demand_per_s * count as f64).min(limit_per_s);
        let used = fleet.rate_since(s(10)) / most;
        assert!(used >= 0.8, "{count} entries with {demand_per_s}/s each use {used} of {most}/s");
    }
}
