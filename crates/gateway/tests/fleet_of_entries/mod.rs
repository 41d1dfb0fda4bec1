//! Entries before servers that turn cold, over a network of datagrams that arrive a step later.

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::balance::{self, Choice, Chosen};
use flamingowheel_gateway::server::{InFlight, Server};
use flamingowheel_gateway::view::View;
use flamingowheel_gateway::warmth::EntryTenure;
use flamingowheel_policy::cold::{ColdAllowance, ColdMeter, Standing};
use flamingowheel_policy::key::ServerKey;
use flamingowheel_policy::permits::{Verdict, meter_of};
use flamingowheel_protocol::permits::ColdReport;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Length of a simulated step, and the one-way delay of the network.
const STEP: Duration = Duration::from_millis(5);

/// What a cold server tolerates, and what the deployment permits beyond that.
pub const RATE_PER_S: f64 = 26.0;
const RATIO: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Servers, of which the first ones turn cold.
const SERVERS: usize = 12;
const COLD_SERVERS: usize = 4;

/// Time of a request at a server, which has this number of slots.
const WORK: Duration = Duration::from_millis(80);
const SLOTS: u32 = 10;

/// Requests per second of all entries together: more than the warm servers have room for.
const DEMAND_PER_S: f64 = 1_800.0;

/// Longest waits for a permit, if no other server takes the request and if one does.
const PERMIT_WAIT: Duration = Duration::from_millis(50);
const COLD_PERMIT_WAIT: Duration = Duration::from_millis(10);

/// Time between two observations of the list of entries.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// How permits are granted.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Meters {
    /// As they should be.
    Kept,
    /// Planted: each entry is its own meter.
    EachItsOwn,
    /// Planted: a meter takes itself for the only one, however old its list.
    AlwaysSole,
}

struct Entry {
    view: View,
    meter: ColdMeter,
    tenure: EntryTenure,
    /// The entries that this one knows.
    list: Vec<usize>,
    complete_at: Instant,
    is_cut_off: bool,
}

/// A request that waits for a permit of the server that it asked for.
struct Waiting {
    index: usize,
    begun_at: Instant,
    asked: Option<Arc<Server>>,
}

enum Message {
    Ask { from: usize, number: usize, report: ColdReport, asked_at: Instant, is_ask: bool },
    Answer { number: usize, asked_at: Instant, verdict: Verdict },
    Cold { number: usize, left: Duration },
}

pub struct Fleet {
    rng: ChaCha8Rng,
    names: Vec<String>,
    entries: Vec<Entry>,
    messages: Vec<(usize, Message)>,
    /// Entries with a request that waits for a permit, and since when.
    waiting: Vec<Waiting>,
    /// News by listings: when each entry learns of the cold servers.
    news: BTreeMap<Instant, Vec<usize>>,
    ends: BTreeMap<Instant, Vec<InFlight>>,
    running: [u32; SERVERS],
    is_dark: bool,
    cold_since: Option<Instant>,
    origin: Instant,
    listed_at: Instant,
    /// Arrivals at the servers that turn cold.
    arrivals: [Vec<Instant>; COLD_SERVERS],
    pub cold_for: Duration,
    /// Longest time until an entry reads a listing; `None` if listings don't tell.
    pub news_delay: Option<Duration>,
    pub is_store_down: bool,
    pub loss: f64,
    pub meters: Meters,
}

pub fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn allowance() -> ColdAllowance {
    ColdAllowance::new(RATE_PER_S, RATIO, SLACK)
}

fn listed(number: usize) -> BackendServer {
    BackendServer {
        id: format!("i-{number}"),
        service: "s".to_owned(),
        address: format!("10.0.{number}.1:80").parse().unwrap(),
        data_centre: "z".to_owned(),
        slots: SLOTS,
        is_draining: false,
        started_ms: 1,
        cold_left_ms: 0,
    }
}

fn number_of(server: &Server) -> usize {
    server.listed.id[2..].parse().unwrap()
}

/// An entry that starts now, and reads in the listings how long servers remain cold.
fn entry(name: &str, list: Vec<usize>, cold_left: Duration) -> Entry {
    let entries = list.len();
    let server = |number| {
        let left = if number < COLD_SERVERS { cold_left } else { Duration::ZERO };
        let listed = BackendServer { cold_left_ms: left.as_millis() as u64, ..listed(number) };
        let server = Server::new(listed);
        server.set_cold_allowance(Some(allowance()), entries);
        Arc::new(server)
    };
    let servers = HashMap::from([("s".to_owned(), (0..SERVERS).map(server).collect())]);
    Entry {
        view: View { servers, ..View::default() },
        meter: ColdMeter::default(),
        tenure: EntryTenure::new(name),
        list,
        complete_at: Instant::now(),
        is_cut_off: false,
    }
}

impl Fleet {
    pub fn new(size: usize, seed: u64) -> Self {
        let names: Vec<String> = (0..size).map(|number| format!("e-{number}")).collect();
        let now = Instant::now();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            entries: names.iter().map(|name| entry(name, (0..size).collect(), s(0))).collect(),
            names,
            messages: Vec::new(),
            waiting: Vec::new(),
            news: BTreeMap::new(),
            ends: BTreeMap::new(),
            running: [0; SERVERS],
            is_dark: false,
            cold_since: None,
            origin: now,
            listed_at: now,
            arrivals: Default::default(),
            cold_for: s(3),
            news_delay: Some(ms(300)),
            is_store_down: false,
            loss: 0.0,
            meters: Meters::Kept,
        }
    }

    /// The first servers are lost, with what runs there.
    pub fn darken(&mut self) {
        self.is_dark = true;
    }

    /// They are back, and cold.
    pub fn return_cold(&mut self) {
        self.is_dark = false;
        self.turn_cold();
    }

    /// They turn cold, which entries read in their listings some time later.
    pub fn turn_cold(&mut self) {
        let now = Instant::now();
        self.cold_since = Some(now);
        let Some(most) = self.news_delay else {
            return;
        };
        for index in 0..self.entries.len() {
            let delay = most.mul_f64(self.rng.random::<f64>());
            self.news.entry(now + delay).or_default().push(index);
        }
    }

    fn cold_left(&self, number: usize) -> Duration {
        let until = self.cold_since.map(|since| since + self.cold_for);
        let left =
            until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
        if number < COLD_SERVERS { left } else { Duration::ZERO }
    }

    fn meter_seen_by(&self, index: usize, server: ServerKey) -> Option<usize> {
        if self.meters == Meters::EachItsOwn {
            return Some(index);
        }
        let list = &self.entries[index].list;
        let meter = meter_of(server, list.iter().map(|entry| self.names[*entry].as_str()))?;
        self.names.iter().position(|name| name == meter)
    }

    fn meter_of_cold(&self, number: usize) -> usize {
        let key = self.entries[0].view.servers_of("s")[number % COLD_SERVERS].key;
        self.meter_seen_by(0, key).unwrap()
    }

    /// Kills the meter of a cold server. It starts again at once, reads the listings and has the lists
    /// of all others.
    pub fn restart_meter(&mut self, number: usize) {
        let index = self.meter_of_cold(number);
        let list = self.entries[index].list.clone();
        self.entries[index] = entry(&self.names[index], list, self.cold_left(0));
    }

    /// Every second entry learns that a meter has left, or is back; the others a moment later.
    pub fn delist_meter(&mut self, number: usize, is_leaving: bool) {
        let size = self.entries.len();
        let gone = self.meter_of_cold(number);
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let learns = self.rng.random_bool(0.5);
            match (is_leaving && learns, index == gone) {
                (true, false) => entry.list.retain(|other| *other != gone),
                (false, _) => entry.list = (0..size).collect(),
                (true, true) => {}
            }
        }
    }

    /// Cuts off the meters of the cold servers from the store and from all other entries.
    pub fn cut_off_meters(&mut self) {
        for number in 0..COLD_SERVERS {
            let meter = self.meter_of_cold(number);
            self.entries[meter].is_cut_off = true;
        }
    }

    /// Their leases end, which the others read.
    pub fn delist_cut_off(&mut self) {
        let is_cut_off: Vec<bool> = self.entries.iter().map(|entry| entry.is_cut_off).collect();
        for entry in self.entries.iter_mut().filter(|entry| !entry.is_cut_off) {
            entry.list.retain(|other| !is_cut_off[*other]);
        }
    }

    pub async fn run(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            advance(STEP).await;
            self.observe_lists();
            self.read_listings();
            self.end_requests();
            self.deliver();
            for waiting in std::mem::take(&mut self.waiting) {
                self.request(waiting);
            }
            let mean = DEMAND_PER_S * STEP.as_secs_f64();
            let count = mean as u32 + u32::from(self.rng.random_bool(mean.fract()));
            for _ in 0..count {
                let index = self.rng.random_range(0..self.entries.len());
                self.request(Waiting { index, begun_at: Instant::now(), asked: None });
            }
        }
    }

    fn observe_lists(&mut self) {
        let now = Instant::now();
        if now < self.listed_at + LIST_INTERVAL {
            return;
        }
        self.listed_at = now;
        for entry in &mut self.entries {
            if !entry.is_cut_off && !self.is_store_down {
                entry.complete_at = now;
            }
            let names = entry.list.iter().map(|other| self.names[*other].as_str());
            entry.tenure.observe(names, Some(now - entry.complete_at), now);
        }
    }

    /// Replaces the listings of the cold servers at entries that read them now.
    fn read_listings(&mut self) {
        let now = Instant::now();
        let left = self.cold_left(0);
        while let Some(first) = self.news.first_entry().filter(|first| *first.key() <= now) {
            for index in first.remove() {
                let servers = self.entries[index].view.servers.get_mut("s").unwrap();
                for server in &mut servers[..COLD_SERVERS] {
                    let cold_left_ms = left.as_millis() as u64;
                    let listed = BackendServer { cold_left_ms, ..server.listed.clone() };
                    *server = Arc::new(server.with_listing(listed));
                }
            }
        }
    }

    fn end_requests(&mut self) {
        let now = Instant::now();
        while let Some(first) = self.ends.first_entry().filter(|first| *first.key() <= now) {
            for mut in_flight in first.remove() {
                let server = Arc::clone(in_flight.server());
                self.running[number_of(&server)] -= 1;
                in_flight.record_first_byte(now);
                server.record_answer(WORK, false);
            }
        }
    }

    /// Chooses a server and sends a request, as `Selector::choose` and `Gateway::serve`.
    fn request(&mut self, waiting: Waiting) {
        let Waiting { index, begun_at, mut asked } = waiting;
        let mut tried = Vec::new();
        while tried.len() < 3 {
            let now = Instant::now();
            let view = &self.entries[index].view;
            let Chosen { choice, wanted } = balance::choose(view, "s", &tried, None, now);
            let is_held = matches!(choice, Choice::Held(_));
            if let Some(server) = wanted.filter(|_| is_held || asked.is_none()) {
                if server.begin_cold_ask(now) {
                    self.send_ask(index, &server, now, true);
                }
                asked = Some(server);
            }
            let mut servers = self.entries[index].view.servers_of("s").iter();
            let (is_awaited, max_wait) = if is_held {
                (servers.any(|server| server.is_asking_cold(now)), PERMIT_WAIT)
            } else {
                (asked.as_ref().is_some_and(|s| s.is_asking_cold(now)), COLD_PERMIT_WAIT)
            };
            if is_awaited && now < begun_at + max_wait {
                self.waiting.push(Waiting { index, begun_at, asked });
                return;
            }
            let view = &self.entries[index].view;
            let choice = balance::prefer_permitted(choice, view, asked.as_ref(), now);
            let Choice::Send(server, _) = choice else { return };
            tried.push(Arc::clone(&server));
            if let Some(in_flight) = server.begin(None)
                && self.arrive(index, in_flight)
            {
                return;
            }
        }
    }

    /// Whether a server runs the request; one that is full refuses, and a dark one is not reached.
    fn arrive(&mut self, index: usize, mut in_flight: InFlight) -> bool {
        let (now, server) = (Instant::now(), Arc::clone(in_flight.server()));
        let number = number_of(&server);
        if number < COLD_SERVERS && self.is_dark {
            server.record_unreachable(now);
            return false;
        }
        if number < COLD_SERVERS {
            self.arrivals[number].push(now);
        }
        if self.running[number] >= SLOTS {
            in_flight.record_first_byte(now);
            server.record_answer(Duration::ZERO, true);
            self.record_answered_cold(index, &server);
            return false;
        }
        self.record_answered_cold(index, &server);
        self.running[number] += 1;
        self.ends.entry(now + WORK).or_default().push(in_flight);
        true
    }

    fn record_answered_cold(&mut self, index: usize, server: &Arc<Server>) {
        let (left, now) = (self.cold_left(number_of(server)), Instant::now());
        if server.record_cold(left, now) {
            self.send_ask(index, server, now, false);
        }
    }

    fn send_ask(&mut self, from: usize, server: &Server, asked_at: Instant, is_ask: bool) {
        let Some(report) = server.cold_report(asked_at) else { return };
        let Some(to) = self.meter_seen_by(from, server.key) else { return };
        let number = number_of(server);
        self.send(from, to, Message::Ask { from, number, report, asked_at, is_ask });
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.entries[from].is_cut_off || self.entries[to].is_cut_off;
        if from == to || !(is_cut || self.rng.random_bool(self.loss)) {
            self.messages.push((to, message));
        }
    }

    fn deliver(&mut self) {
        for (to, message) in std::mem::take(&mut self.messages) {
            let now = Instant::now();
            match message {
                Message::Ask { from, number, report, asked_at, is_ask } => {
                    let verdict = self.decide(to, number, report, is_ask);
                    if let Some(verdict) = verdict.filter(|_| is_ask) {
                        self.send(to, from, Message::Answer { number, asked_at, verdict });
                    }
                }
                Message::Answer { number, asked_at, verdict } => {
                    let server = &self.entries[to].view.servers_of("s")[number];
                    server.answer_cold_ask(asked_at, verdict, now);
                }
                Message::Cold { number, left } => {
                    self.entries[to].view.servers_of("s")[number].record_cold(left, now);
                }
            }
        }
    }

    fn decide(
        &mut self,
        index: usize,
        number: usize,
        report: ColdReport,
        is_ask: bool,
    ) -> Option<Verdict> {
        let key = self.entries[index].view.servers_of("s")[number].key;
        if self.meter_seen_by(index, key) != Some(index) {
            return None;
        }
        let (now, at) = (Instant::now(), self.origin.elapsed());
        if self.entries[index].meter.record_cold(key, report.left, at) {
            for to in 0..self.entries.len() {
                self.send(index, to, Message::Cold { number, left: report.left });
            }
        }
        let entry = &mut self.entries[index];
        let standing = match self.meters {
            Meters::Kept => entry.tenure.standing(key, now),
            Meters::EachItsOwn | Meters::AlwaysSole => Standing::Sole,
        };
        is_ask.then(|| entry.meter.acquire(key, report.allowance, standing, at))
    }

    /// Largest number of requests in any second at one cold server, from `after` the start of the cold
    /// time on, beyond what is permitted.
    pub fn excess_after(&self, after: Duration) -> usize {
        let since = self.cold_since.unwrap();
        let until = since + self.cold_for;
        let most_of = |arrivals: &Vec<Instant>| {
            let counted: Vec<Instant> =
                arrivals.iter().copied().filter(|at| (since + after..until).contains(at)).collect();
            let in_second = |end: &Instant| {
                counted.iter().filter(|at| **at <= *end && *end - **at < s(1)).count()
            };
            counted.iter().map(in_second).max().unwrap_or(0)
        };
        let most = self.arrivals.iter().map(most_of).max().unwrap_or(0);
        most.saturating_sub(allowance().most as usize)
    }

    pub fn assert_kept(&self) {
        self.assert_kept_after(Duration::ZERO);
    }

    pub fn assert_kept_after(&self, after: Duration) {
        let (excess, size) = (self.excess_after(after), self.entries.len());
        assert_eq!(excess, 0, "{size} entries, {} permitted", allowance().most);
    }

    /// Share of what the cold servers tolerate that they got between two times after they had turned
    /// cold.
    pub fn used(&self, from: Duration, until: Duration) -> f64 {
        let since = self.cold_since.unwrap();
        let is_counted = |at: &&Instant| (since + from..since + until).contains(*at);
        let arrivals = self.arrivals.iter().flatten().filter(is_counted).count();
        arrivals as f64 / (RATE_PER_S * COLD_SERVERS as f64 * (until - from).as_secs_f64())
    }
}
