//! Goodput and cost while a share of the backend servers is limited, with the entry's own code for
//! choosing servers and for permits, under a simulated clock.
//!
//!     cargo bench -p flamingowheel-gateway --bench limits -- [--seed N]

#![allow(clippy::print_stdout, reason = "the report is the output")]

use flamingowheel_fleet::BackendServer;
use flamingowheel_gateway::balance::{self, Choice, Chosen};
use flamingowheel_gateway::server::{InFlight, Server};
use flamingowheel_gateway::view::View;
use flamingowheel_platform::Stated;
use flamingowheel_policy::permits::{LimitReport, Meter, Verdict, meter_of};
use flamingowheel_protocol::permits::PermitMessage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, advance};

/// Length of a simulated step, and the one-way delay of the network.
const STEP: Duration = Duration::from_millis(5);

/// Simulated time, of which the first part is not measured.
const RUN_TIME: Duration = Duration::from_secs(14);
const WARM_UP: Duration = Duration::from_secs(4);

/// Mean time of a request at a server, which has this number of slots.
const WORK_MS: f64 = 100.0;
const SLOTS: u32 = 4;

/// Requests per second that a limited server takes.
const LIMIT_PER_S: f64 = 1.0;

/// Most servers to which one request is sent.
const MAX_SENDS: usize = 3;

/// One run.
#[derive(Clone, Copy)]
struct Case {
    entries: usize,
    servers: usize,
    /// Every n-th server is limited; 0 for none.
    limited_every: usize,
    /// Offered load as a share of what the servers without a limit have room for.
    load: f64,
}

/// What a run showed.
#[derive(Default)]
struct Report {
    offered: u64,
    served: u64,
    refused: u64,
    sends: u64,
    to_limited: u64,
    messages: u64,
    bytes: u64,
    /// Processor time of choices, in seconds.
    choices_s: f64,
    choices: u64,
    meter_s: f64,
}

struct Entry {
    view: View,
    meter: Meter,
}

struct Fleet {
    case: Case,
    rng: ChaCha8Rng,
    names: Vec<String>,
    entries: Vec<Entry>,
    /// Requests in progress at each server.
    running: Vec<u32>,
    /// Ends of requests, by time.
    ends: BTreeMap<Instant, Vec<(usize, usize, InFlight)>>,
    asks: Vec<(usize, usize, Instant, bool)>,
    answers: Vec<(usize, usize, Instant, Verdict)>,
    origin: Instant,
    report: Report,
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let listed = |number: usize| BackendServer {
            id: format!("i-{number}"),
            service: "s".to_owned(),
            address: format!("10.{}.{}.1:80", number / 256, number % 256).parse().unwrap(),
            data_centre: "z".to_owned(),
            slots: SLOTS,
            is_draining: false,
            started_ms: 1,
            cold_left_ms: 0,
        };
        let entry = |_| {
            let servers = (0..case.servers).map(|number| Arc::new(Server::new(listed(number))));
            let servers = HashMap::from([("s".to_owned(), servers.collect())]);
            Entry { view: View { servers, ..View::default() }, meter: Meter::default() }
        };
        Self {
            case,
            rng: ChaCha8Rng::seed_from_u64(seed),
            names: (0..case.entries).map(|number| format!("e-{number}")).collect(),
            entries: (0..case.entries).map(entry).collect(),
            running: vec![0; case.servers],
            ends: BTreeMap::new(),
            asks: Vec::new(),
            answers: Vec::new(),
            origin: Instant::now(),
            report: Report::default(),
        }
    }

    fn is_limited(&self, server: usize) -> bool {
        self.case.limited_every > 0 && server.is_multiple_of(self.case.limited_every)
    }

    /// Requests per second that the servers without a limit have room for.
    fn room_per_s(&self) -> f64 {
        let free = (0..self.case.servers).filter(|server| !self.is_limited(*server)).count();
        free as f64 * f64::from(SLOTS) * 1_000.0 / WORK_MS
    }

    async fn run(mut self) -> Report {
        let offered_per_s = self.room_per_s() * self.case.load;
        while self.origin.elapsed() < RUN_TIME {
            advance(STEP).await;
            if self.origin.elapsed() < WARM_UP {
                self.report = Report::default();
            }
            self.end_requests();
            self.deliver();
            let mean = offered_per_s * STEP.as_secs_f64();
            let count = mean as u32 + u32::from(self.rng.random_bool(mean.fract()));
            for _ in 0..count {
                let entry = self.rng.random_range(0..self.case.entries);
                self.request(entry);
            }
        }
        self.report
    }

    fn end_requests(&mut self) {
        let now = Instant::now();
        while let Some(first) = self.ends.first_entry().filter(|first| *first.key() <= now) {
            for (entry, number, in_flight) in first.remove() {
                self.running[number] -= 1;
                let stated = self.stated(number);
                let server = Arc::clone(in_flight.server());
                if server.record_limit(&stated, now, now).has_toggled {
                    self.asks.push((entry, number, now, false));
                }
                server.record_answer(Duration::from_secs_f64(WORK_MS / 1_000.0), false);
            }
        }
    }

    fn stated(&self, server: usize) -> Stated<f64> {
        if self.is_limited(server) { Stated::Value(LIMIT_PER_S) } else { Stated::Absent }
    }

    fn number_of(server: &Server) -> usize {
        server.listed.id[2..].parse().unwrap()
    }

    fn request(&mut self, entry: usize) {
        self.report.offered += 1;
        let mut tried = Vec::new();
        while tried.len() < MAX_SENDS {
            let now = Instant::now();
            let started = std::time::Instant::now();
            let Chosen { choice, wanted } =
                balance::choose(&self.entries[entry].view, "s", &tried, None, now);
            self.report.choices_s += started.elapsed().as_secs_f64();
            self.report.choices += 1;
            if let Some(wanted) = wanted.filter(|wanted| wanted.begin_ask(now)) {
                self.asks.push((entry, Self::number_of(&wanted), now, true));
            }
            let Choice::Send(server, _) = choice else { break };
            tried.push(Arc::clone(&server));
            if let Some(in_flight) = server.begin(None)
                && self.accept(entry, in_flight)
            {
                return;
            }
        }
        self.report.refused += 1;
    }

    /// Runs a request at a server; `false` if the server has no free slot and refuses.
    fn accept(&mut self, entry: usize, mut in_flight: InFlight) -> bool {
        let (now, number) = (Instant::now(), Self::number_of(in_flight.server()));
        self.report.sends += 1;
        self.report.to_limited += u64::from(self.is_limited(number));
        in_flight.record_first_byte(now);
        if self.running[number] >= SLOTS {
            in_flight.server().record_answer(Duration::ZERO, true);
            return false;
        }
        self.running[number] += 1;
        self.report.served += 1;
        let work = -self.rng.random_range(f64::EPSILON..1.0).ln() * WORK_MS / 1_000.0;
        let end = now + Duration::from_secs_f64(work);
        self.ends.entry(end).or_default().push((entry, number, in_flight));
        true
    }

    fn deliver(&mut self) {
        let now = Instant::now();
        for (entry, number, asked_at, verdict) in std::mem::take(&mut self.answers) {
            let server = &self.entries[entry].view.servers_of("s")[number];
            server.answer_ask(asked_at, verdict, now);
        }
        for (entry, number, asked_at, wants_permit) in std::mem::take(&mut self.asks) {
            let server = Arc::clone(&self.entries[entry].view.servers_of("s")[number]);
            let Some(report) = server.limit_report(now) else { continue };
            let started = std::time::Instant::now();
            let meter = meter_of(server.key, self.names.iter().map(String::as_str)).unwrap();
            let meter = self.names.iter().position(|name| name == meter).unwrap();
            let at = now - self.origin;
            let is_news = self.entries[meter].meter.record_report(server.key, report, at);
            let verdict = match wants_permit {
                true => self.entries[meter].meter.acquire(server.key, at),
                false => Verdict::Wait(Duration::ZERO),
            };
            self.report.meter_s += started.elapsed().as_secs_f64();
            if meter != entry {
                self.count_messages(&server, report, verdict);
            }
            if is_news {
                self.broadcast(number, report);
            }
            if wants_permit {
                self.answers.push((entry, number, asked_at, verdict));
            }
        }
    }

    fn broadcast(&mut self, number: usize, report: LimitReport) {
        for entry in &self.entries {
            let server = &entry.view.servers_of("s")[number];
            server.apply_limit_report(report, Instant::now());
            let message = PermitMessage::Broadcast { server: server.key, report };
            self.report.messages += 1;
            self.report.bytes += message.encode().map_or(0, |bytes| bytes.len()) as u64;
        }
    }

    fn count_messages(&mut self, server: &Server, report: LimitReport, verdict: Verdict) {
        let (number, server) = (u64::MAX, server.key);
        let ask = PermitMessage::Ask { number, server, report, wants_permit: true };
        let answer = PermitMessage::Answer { number, verdict };
        self.report.messages += 2;
        let sizes = [ask, answer].map(|message| message.encode().map_or(0, |bytes| bytes.len()));
        self.report.bytes += sizes.iter().sum::<usize>() as u64;
    }
}

async fn print_case(name: &str, case: Case, seed: u64) {
    let fleet = Fleet::new(case, seed);
    let (room_per_s, seconds) = (fleet.room_per_s(), (RUN_TIME - WARM_UP).as_secs_f64());
    let limited = (0..case.servers).filter(|server| fleet.is_limited(*server)).count();
    let report = fleet.run().await;
    let entry_seconds = seconds * case.entries as f64;
    let served_share = report.served as f64 / seconds / (room_per_s * case.load);
    let per_limited = report.to_limited as f64 / seconds / limited.max(1) as f64;
    println!("{name}_goodput: {served_share:.3}");
    println!("{name}_sends_per_request: {:.3}", report.sends as f64 / report.offered as f64);
    println!("{name}_requests_per_limited_server_per_s: {per_limited:.2}");
    println!("{name}_requests_per_entry_per_s: {:.1}", report.offered as f64 / entry_seconds);
    println!("{name}_messages_per_entry_per_s: {:.2}", report.messages as f64 / entry_seconds);
    println!("{name}_bytes_per_entry_per_s: {:.0}", report.bytes as f64 / entry_seconds);
    println!("{name}_choice_us: {:.1}", report.choices_s * 1e6 / report.choices as f64);
    println!("{name}_meter_us_per_entry_per_s: {:.1}", report.meter_s * 1e6 / entry_seconds);
}

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let seed = arguments.opt_value_from_str("--seed").ok().flatten().unwrap_or(1);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    for (entries, servers) in [(12, 70), (42, 70), (380, 350)] {
        for load in [0.8, 1.0] {
            for limited_every in [0, 7, 10] {
                let name = format!("entries_{entries}_load_{load}_limited_every_{limited_every}");
                let case = Case { entries, servers, limited_every, load };
                runtime.block_on(print_case(&name, case, seed));
            }
        }
    }
}
